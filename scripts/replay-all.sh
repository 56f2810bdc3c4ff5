#!/usr/bin/env bash
# Replays every trace, checks it against its expected outcomes and prints a table. Exits 1 if an
# outcome is missed, 2 if a trace cannot be run. Arguments are passed to each replay, for example:
# scripts/replay-all.sh --seed 3
# With --known-red as the first argument, a missed outcome of a trace that KNOWN-RED.txt lists as
# "replay NAME:" is printed but doesn't affect the exit status.
set -euo pipefail
cd "$(dirname "$0")/.."
tool=$PWD/build/currantreel
known_red=/dev/null
if [ "${1:-}" = --known-red ]; then
    shift
    [ ! -f KNOWN-RED.txt ] || known_red=KNOWN-RED.txt
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

replay() { # replay TRACE ARGUMENT...: writes output and exit status to the work directory
    local trace=$1 name status=0
    shift
    name=$(basename "$trace" .trace)
    "$tool" replay "$trace" --expect "${trace%.trace}.outcomes.toml" "$@" > "$work/$name.out" 2>&1 \
        || status=$?
    echo "$status" > "$work/$name.status"
}
export -f replay
export tool work
printf '%s\0' traces/*.trace | xargs -0 -P 4 -I {} bash -c 'replay "$@"' _ {} "$@"

worst=0
for trace in traces/*.trace; do
    name=$(basename "$trace" .trace)
    status=$(cat "$work/$name.status")
    case $status in
        0) verdict=held ;;
        1) verdict=MISSED ;;
        *) verdict=BROKEN ;;
    esac
    printf '%-7s %-26s %s\n' "$verdict" "$name" "$(grep -m 1 'goodput' "$work/$name.out" || true)"
    [ "$status" = 0 ] || grep -E 'MISSED|\([0-9]{4} ' "$work/$name.out" || head -5 "$work/$name.out"
    if [ "$status" = 1 ] && grep -q "^replay $name:" "$known_red"; then
        echo "  listed in KNOWN-RED.txt, passed over"
    elif [ "$status" -gt "$worst" ]; then
        worst=$status
    fi
done
exit "$worst"
