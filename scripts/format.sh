#!/usr/bin/env bash
# Formats the sources; --check reports differences without changing files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '/Generated/')
if [ "${1:-}" = "--check" ]; then
    clang-format --dry-run --Werror "${sources[@]}"
else
    clang-format -i "${sources[@]}"
fi
