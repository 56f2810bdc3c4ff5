#!/usr/bin/env bash
# Builds and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
ctest --test-dir build --output-on-failure -j 4 "$@"
