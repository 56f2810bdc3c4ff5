#!/usr/bin/env bash
# Installs missing packages and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/install.sh
cmake -S . -B build -G Ninja > build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
cmake --build build
