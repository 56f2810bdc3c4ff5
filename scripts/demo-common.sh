# Shared functions of the demo scripts, which source this file: background processes that are
# terminated when the script exits, and checks of the output.
bin=$PWD/build
work=$(mktemp -d)
net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 2))
pids=()
failures=0

finish() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2> /dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT

start() {
    local log=$1
    shift
    "$@" > "$work/$log.log" 2>&1 &
    pids+=($!)
}

expect() { # expect NAME TEXT: the file $work/NAME contains TEXT
    if grep -q -- "$2" "$work/$1"; then
        printf 'ok      %-16s %s\n' "$1" "$2"
    else
        printf 'WRONG   %-16s lacks: %s\n' "$1" "$2"
        head -c 600 "$work/$1"; echo
        failures=$((failures + 1))
    fi
}

wait_until() { # wait_until COMMAND...: retries until it succeeds, for up to 10 s
    for _ in $(seq 100); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "timed out: $*"
    cat "$work"/*.log
    return 1
}
