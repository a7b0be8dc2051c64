#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/stand/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = harness ] || rustc --edition 2024 -O -o "target/review/$name" "$source"
done
