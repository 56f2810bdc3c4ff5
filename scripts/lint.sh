#!/usr/bin/env bash
# Lints every source file of ours with clang-tidy, in parallel; with arguments, only the files named.
set -euo pipefail
cd "$(dirname "$0")/.."
# clang cannot read the precompiled headers of another compiler, so lint has a build tree of its own.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON > /dev/null
if [ $# -gt 0 ]; then
    sources=("$@")
else
    mapfile -t sources < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '/Generated/')
fi
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet \
    > build-lint/lint.log 2>&1 && exit 0
grep -v -E 'warnings? generated|^Suppressed|^Use -header-filter' build-lint/lint.log
exit 1
