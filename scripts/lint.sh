#!/usr/bin/env bash
# Runs clang-tidy in parallel on the given files, or on all sources except generated code. A file that
# passed before with the same contents, headers, checks and command is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."
# Uses a separate build tree without precompiled headers: clang cannot read another compiler's.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
if [ $# -gt 0 ]; then
    sources=("$@")
else
    mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '/Generated/')
fi
export CURRANTREEL_LINT_CACHE=${XDG_CACHE_HOME:-$HOME/.cache}/currantreel-lint
mkdir -p "$CURRANTREEL_LINT_CACHE"
find "$CURRANTREEL_LINT_CACHE" -type f -mtime +30 -delete
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 scripts/lint-file.py \
    > build-lint/lint.log 2>&1 && exit 0
grep -v -E 'warnings? generated|^Suppressed|^Use -header-filter' build-lint/lint.log
exit 1
