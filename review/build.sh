#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are scripts of the standard library of Python 3.11, so
# that this only checks them; the program itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/case.py <<'END'
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
