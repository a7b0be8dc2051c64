#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] || rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
