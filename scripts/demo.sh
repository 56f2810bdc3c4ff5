#!/usr/bin/env bash
# End-to-end demo: the three failure domains of the example mill on loopback addresses, each with a
# daemon, engines and a service as separate processes. Exits 0 only if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${DEMO_SKIP_SETUP:-}" = 1 ] || scripts/setup.sh > /dev/null
source scripts/demo-common.sh

for file in configuration.toml hosts.json host-edirne-a-1.toml host-edirne-b-1.toml host-uzunkopru-1.toml; do
    sed "s/127\.0\.1\./$net./; s/127\.0\.0\.1/$net.100/" "examples/karacay-mill/$file" > "$work/$file"
done
# hosts.json has two addresses per line, and the loop replaces only the first one.
sed -i "s/127\.0\.1\./$net./g" "$work/hosts.json"
"$bin/currantreel" config init "$work" "$work/configuration.toml"

start platform "$bin/standin-platform" --listen "$net.100:9000" --directory "$work"
for domain in 1 2 3; do
    for engine in 1 2 3; do
        start "engine-$domain-$engine" "$bin/standin-engine" --listen "$net.$domain:910$engine" \
            --name "engine-$domain-$engine" --token_us 5000
    done
    start "payment-$domain" "$bin/standin-service" --listen "$net.$domain:9201" --name "payment-$domain"
done
for host in edirne-a-1 edirne-b-1 uzunkopru-1; do
    "$bin/currantreel" check-settings "$work/host-$host.toml" > /dev/null
    start "$host" "$bin/currantreeld" --settings "$work/host-$host.toml"
done
for domain in 1 2 3; do wait_until curl -sf "http://$net.$domain:8081/readyz"; done

chat() { # chat HOST OUTPUT CLASS STREAM TOKENS
    curl -sS -m 20 "http://$net.$1:8080/v1/chat/completions" -o "$work/$2" \
        -H "Currantreel-Workspace: gate-edirne" -H "Currantreel-Class: $3" \
        -d "{\"model\":\"paddy-8b\",\"stream\":$4,\"max_tokens\":$5,\"messages\":[{\"role\":\"user\",\"content\":\"Which gate?\"}]}"
}
chat 1 gate-question gate-question true 12
expect gate-question 't11 '
expect gate-question 'data: \[DONE\]'
chat 3 summary lot-summary false 40
expect summary 't39 '
expect summary '"completion_tokens":40'

key=$(curl -sS -X POST "http://$net.1:8080/v1/idempotency-keys" | sed 's/.*"key":"\([^"]*\)".*/\1/')
pay() { # pay HOST OUTPUT
    curl -sS -m 20 "http://$net.$1:8080/v1/services/payment/entries" -o "$work/$2" \
        -H "Currantreel-Workspace: gate-edirne" -H "Currantreel-Class: payment-entry" \
        -H "Idempotency-Key: $key" -d '{"ticket":4711,"kilograms":21840}'
}
pay 1 payment-first
pay 2 payment-second
expect payment-first '"runs_of_key":1'
expect payment-second '"runs_of_key":1'
cmp -s "$work/payment-first" "$work/payment-second" || { echo "WRONG   the two payment answers differ"; failures=$((failures + 1)); }
for domain in 1 2 3; do curl -sS "http://$net.$domain:9201/control/runs"; echo; done > "$work/payment-runs"
expect payment-runs "\"$key\":1"
[ "$(grep -c "$key" "$work/payment-runs")" = 1 ] || { echo "WRONG   more than one service ran the payment"; failures=$((failures + 1)); }
curl -sS "http://$net.3:8080/v1/idempotency-keys/$key" > "$work/payment-state"
expect payment-state '"state":"completed"'

# One patch is based on the version in force, the other on an outdated version.
cat > "$work/changes.toml" << 'EOF'
[[workspace]]
name = "cooperative-kesan"
default_class = "lot-summary"
EOF
hosts=("$net.1:8081" "$net.2:8081" "$net.3:8081")
"$bin/currantreel" config propose "${hosts[0]}" "$work/changes.toml" --author ayse --reason "new cooperative" \
    > "$work/patch.toml" 2> "$work/propose"
expect propose 'patch 2 is accepted'
"$bin/currantreel" config submit "$work" "$work/patch.toml" 2> /dev/null
"$bin/currantreel" config wait 2 "${hosts[@]}" > "$work/wait"
expect wait 'version 2 in force on 3 hosts'
"$bin/currantreel" config check "$work" "$work/patch.toml" 2> "$work/stale" && failures=$((failures + 1))
expect stale 'patch_stale_base'
"$bin/currantreel" config submit "$work" "$work/patch.toml" --unchecked > /dev/null 2>&1
"$bin/currantreel" config propose "$work" "$work/patch.toml" --rebase > "$work/rebased.toml" 2> "$work/rebase"
expect rebase 'patch 4 is accepted'
"$bin/currantreel" config submit "$work" "$work/rebased.toml" > /dev/null 2>&1
"$bin/currantreel" config wait 4 "${hosts[@]}" > "$work/wait-rebased"
expect wait-rebased 'version 4 in force on 3 hosts'
for host in "${hosts[@]}"; do
    "$bin/currantreel" config audit "$host" > "$work/audit"
    expect audit 'patch 3      rejected 2006'
    expect audit 'patch 4      accepted'
done
"$bin/currantreel" config show "$net.3:8081" > "$work/show"
expect show 'cooperative-kesan'

"$bin/currantreel" status "$net.1:8081" "$net.2:8081" "$net.3:8081" | tee "$work/status"
expect status 'edirne-a-1'
[ "$failures" = 0 ] || { echo "$failures wrong"; exit 1; }
echo "demo: all answers right"
