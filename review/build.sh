#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are written in Python (3.11, as in Debian 12): this checks that they compile.
# The scripts start no stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "stand-ins: ok"
