#!/usr/bin/env bash
# Fails if a name from scripts/platform-names.txt occurs in a source file outside platform/, test/
# and standins/.
set -euo pipefail
cd "$(dirname "$0")/.."
found=$(git grep -nwF -f scripts/platform-names.txt -- '*.cpp' '*.h' '*.fbs' ':!platform' ':!test' ':!standins' || true)
[ -z "$found" ] && exit 0
printf 'Names of the platform outside platform/:\n%s\n' "$found"
exit 1
