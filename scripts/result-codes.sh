#!/usr/bin/env bash
# Generates docs/RESULT-CODES.md from the output of the built tool.
set -euo pipefail
cd "$(dirname "$0")/.."
{
    echo "# Result codes"
    echo
    echo "Ranges: 1000 settings, 2000 configuration, 3000 callers' requests, 4000 admission and running,"
    echo "5000 idempotency keys, 6000 peers, 7000 tools. \`currantreel codes\` prints the same table;"
    echo "\`scripts/result-codes.sh\` writes this page and a test holds it equal to the program."
    echo
    echo "| code | name | HTTP status | what to do |"
    echo "|---|---|---|---|"
    build/currantreel codes | sed -E 's/^([0-9]+) ([a-z_]+) +([0-9]+) +(.*)$/| \1 | `\2` | \3 | \4 |/; s/\| 0 \|/| - |/'
} > docs/RESULT-CODES.md
