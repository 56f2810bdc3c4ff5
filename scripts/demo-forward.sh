#!/usr/bin/env bash
# Forwards published routes on loopback addresses, with a stand-in for the platform's store and the
# backend servers, and two hosts. Covers a stream that is resumed after its connection is lost,
# payments that succeed, are refused or have an unknown outcome, a draining server, and a graceful
# shutdown.
# Exits 0 only if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${DEMO_SKIP_SETUP:-}" = 1 ] || scripts/setup.sh > /dev/null
source scripts/demo-common.sh

store=http://$net.250:9300

announce() { # announce INSTANCE SERVICE ADDRESS STATE
    curl -sS -m 5 "$store/control/publish?key=servers/$1" -o /dev/null \
        -d "{\"service\":\"$2\",\"addr\":\"$3\",\"zone\":\"a\",\"slots\":16,\"state\":\"$4\",\"sequence\":1}"
}

call() { # call HOST OUTPUT PATH ID HEADER...
    local host=$1 output=$2 path=$3 id=$4
    shift 4
    curl -sS -m 10 -D "$work/$output.head" -o "$work/$output" "http://$net.1$host:8740$path" -d '{"question":"?"}' \
        -H 'Host: mill.example' -H "X-Request-Id: $id" -H 'Authorization: Bearer example-key' "$@"
}

servers=engine-1=$net.1:9401,engine-2=$net.2:9401,ledger-1=$net.1:9402,ledger-2=$net.2:9402
start site "$bin/standin-site" --store "$net.250:9300" --servers "$servers"
wait_until curl -sf "$store/control/seen"
curl -sS -m 5 "$store/control/publish?key=op/config" -o /dev/null \
    --data-binary @examples/published-routes/configuration.json
for n in 1 2; do
    announce "engine-$n" engines "$net.$n:9401" ready
    announce "ledger-$n" ledger "$net.$n:9402" ready
    sed "s/NET/$net/g; s/1N/1$n/g; s/host-N/host-$n/" examples/published-routes/host.toml > "$work/host-$n.toml"
    "$bin/currantreel" check-settings "$work/host-$n.toml" > /dev/null
    start "host-$n" "$bin/currantreeld" --settings "$work/host-$n.toml"
done
for n in 1 2; do wait_until curl -sf "http://$net.1$n:8749/ready"; done

call 1 question /gate/stream/1 question-1 -H 'X-Test: break'
expect question 'id: 6'
expect question.head 'X-Server-Stamp'
[ "$(grep -c '^id:' "$work/question")" = 6 ] || { echo "WRONG   events are missing or doubled"; failures=$((failures + 1)); }
call 2 payment /payments/1 payment-1
expect payment 'answer to payment-1'
call 2 refused /payments/2 payment-2 -H 'X-Test: refuse'
expect refused.head '503'
expect refused.head 'Retry-After'
expect refused '"outcome":"not_run"'
call 1 lost /payments/3 payment-3 -H 'X-Test: break'
expect lost.head '502'
expect lost '"outcome":"unknown"'
call 1 unknown /elsewhere/ unknown-1
expect unknown '3010'
announce ledger-1 ledger "$net.1:9402" draining
sleep 2 # time for the hosts to receive the update from the store
for i in 1 2 3 4; do call 1 "after-$i" /payments/4 "after-$i"; done
curl -sS "$store/control/seen" > "$work/seen"
python3 - "$work/seen" > "$work/leaving" <<'PYTHON'
import json, sys
runs = json.load(open(sys.argv[1]))
late = [run for run in runs if run["headers"].get("X-Request-Id", "").startswith("after-")]
print("new requests at the leaving server:", sum(run["instance"] == "ledger-1" for run in late), "of", len(late))
PYTHON
expect leaving 'server: 0 of 4'
kill -TERM "${pids[1]}"
wait "${pids[1]}" && echo 'ok      a planned stop ended with status 0' || failures=$((failures + 1))
expect host-1.log '"event":"stream_resumed","request":"question-1"'
[ "$failures" = 0 ] || { echo "$failures wrong"; exit 1; }
echo "demo-forward: all answers right"
