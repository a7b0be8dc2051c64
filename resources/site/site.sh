#!/usr/bin/env bash
# Brings a small site up on loopback, shows it, puts load on it, and takes it down.
#
#     resources/site/site.sh up [bayou|prehod]   six VMs with both daemons, and nine fakes that announce themselves
#     resources/site/site.sh show                the VMs' states
#     resources/site/site.sh load                the deployment's scenario
#     resources/site/site.sh kill NAME           kills one process at once, such as gulf-1-entry or gulf-engine-2
#     resources/site/site.sh down                ends what `up` started, by process id
#
# MASTIC_BIN: the folder of the programs (target/release, built if missing). MASTIC_RUN: the run folder (target/site).
set -eu
cd "$(dirname "$0")/../.."
bin=${MASTIC_BIN:-target/release}
run=${MASTIC_RUN:-target/site}
mastic=$bin/mastic

build() {
    [ -n "${MASTIC_BIN:-}" ] && return
    cargo build --release --workspace --bins
}

# start NAME PROGRAM ARGUMENTS: notes process id and name, for `down`.
start() {
    local name=$1
    shift
    nohup "$@" >"$run/$name.log" 2>&1 &
    echo "$! $name" >>"$run/pids"
}

# fakes PLACE REGION MODEL SERVICE FIRST SECOND: two engines and a service, announced to the VMs first and second
fakes() {
    local at=$1 region=$2 model=$3 service=$4 first=$5 second=$6
    local place="--region $region --data-centre $region-a"
    start "$region-engine-1" "$bin/mastic-fake" engine "$region-engine-1" --listen "127.0.0.1:78${at}1" $place \
        --entry "$first" --entry "$second" --model "$model" --slots 8 --first-token-ms 60 --token-ms 8 --restart-ms 2000
    start "$region-engine-2" "$bin/mastic-fake" engine "$region-engine-2" --listen "127.0.0.1:78${at}2" $place \
        --entry "$second" --entry "$first" --model "$model" --slots 8 --first-token-ms 60 --token-ms 8 --restart-ms 2000
    start "$region-service" "$bin/mastic-fake" service "$region-service" --listen "127.0.0.1:78${at}3" $place \
        --entry "$first" --entry "$second" --model "$service" --slots 16 --token-ms 20 --restart-ms 2000
}

# until_done WHAT COMMAND: tries for half a minute.
until_done() {
    local what=$1 error=
    shift
    for _ in $(seq 60); do
        if error=$("$@" 2>&1 >/dev/null); then return; fi
        sleep 0.5
    done
    echo "$what: $error" >&2
    echo "logs are in $run; take the site down with: $0 down" >&2
    exit 1
}

# Whether all VMs have the same catalogue, with that many changes at least.
in_force() {
    local vm version
    for vm in 1 2 3 4 5 6; do
        version=$("$mastic" status --vm "127.0.0.1:7${vm}03" | sed -n 's/.*"version": \([0-9]*\).*/\1/p')
        [ "${version:-0}" -ge "$1" ] || { echo "VM $vm has version ${version:-none} of $1" >&2; return 1; }
    done
}

up() {
    local site=${1:-bayou} regions model service
    case $site in
    bayou) regions="gulf piedmont delta" model=storm-summary service=alert-delivery ;;
    prehod) regions="ljubljana maribor koper" model=drafting service=switching ;;
    *) echo "there are bayou and prehod" >&2; exit 2 ;;
    esac
    [ ! -e "$run/pids" ] || { echo "a site is up already: $0 down" >&2; exit 1; }
    build
    rm -rf "$run"
    mkdir -p "$run"
    cp "resources/site/$site.yaml" "$run/site.yaml"
    (umask 077 && head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/secret")
    echo "secret_file: secret" >>"$run/site.yaml"
    echo "$site" >"$run/name"
    "$mastic" check "$run/site.yaml"
    local at=0 region vm
    for region in $regions; do
        for vm in 1 2; do
            start "$region-$vm-control" "$bin/mastic-control" --settings "$run/site.yaml" --vm "$region-$vm"
            start "$region-$vm-entry" "$bin/mastic-entry" --settings "$run/site.yaml" --vm "$region-$vm"
        done
        local first=$((at * 2 + 1))
        fakes "$at" "$region" "$model" "$service" "127.0.0.1:7${first}02" "127.0.0.1:7$((first + 1))02"
        at=$((at + 1))
    done
    for vm in 1 2 3 4 5 6; do
        until_done "VM $vm" "$mastic" status --vm "127.0.0.1:7${vm}03"
    done
    local entry entries=0
    for entry in resources/site/"$site"/*.yaml; do
        until_done "$entry" "$mastic" put "$entry"
        entries=$((entries + 1))
    done
    until_done "catalogue" in_force "$entries"
    echo "the $site site is up: six VMs, nine fakes, logs in $run"
}

show() {
    local vm
    for vm in 1 2 3 4 5 6; do
        echo "VM $vm (127.0.0.1:7${vm}03)"
        "$mastic" status --vm "127.0.0.1:7${vm}03" || true
    done
    "$mastic" list
}

load() {
    "$mastic" load "resources/scenarios/$(cat "$run/name").yaml" "$@"
}

# Ends a process only if it is still one of ours: ids are used again.
ours() {
    [ -e "/proc/$1/exe" ] && case $(readlink "/proc/$1/exe") in */mastic-*) true ;; *) false ;; esac
}

# kill NAME, but for the shell's own word
end() {
    local id name found=
    while read -r id name; do
        if [ "$name" = "$1" ] && ours "$id"; then kill -KILL "$id" && found=1; fi
    done <"$run/pids"
    [ -n "$found" ] || { echo "no process $1 runs; $run/pids names them" >&2; exit 1; }
}

down() {
    [ -e "$run/pids" ] || { echo "no site is up" >&2; exit 1; }
    local id name
    while read -r id name; do
        if ours "$id"; then kill -TERM "$id"; fi
    done <"$run/pids"
    for _ in $(seq 80); do
        local left=0
        while read -r id name; do
            if ours "$id"; then left=1; fi
        done <"$run/pids"
        [ "$left" = 1 ] || break
        sleep 0.5
    done
    while read -r id name; do
        if ours "$id"; then
            echo "$name ($id) had to be killed" >&2
            kill -KILL "$id"
        fi
    done <"$run/pids"
    rm "$run/pids"
    echo "the site is down"
}

case ${1:-} in
up | show | load | down) "$@" ;;
kill) end "${2:?the name of a process}" ;;
*) sed -n '2,10p' "$0" | cut -c3- >&2; exit 2 ;;
esac
