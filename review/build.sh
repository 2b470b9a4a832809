#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They need Python 3 and its standard library only; nothing is compiled, so this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lab.py */case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
CHECK
