#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python scripts, which need
# no build beyond that of the deploy file: this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
shopt -s nullglob
python3 - standins-2/*.py {6,7,8,9,10}/case.p[y] <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
