#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python modules in this folder
# (common-2/rig.py and the play.py of each case) and need no compiler: this compiles them in memory, so that
# an error in one is reported here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - common-2/*.py {6,7,8,9,10}/*.py <<'PYTHON'
import os
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
PYTHON
echo "build-2: the stand-ins are ready"
