#!/bin/bash
# Builds the stand-ins of the cases 4 to 8: they are Python 3.11 and need only its standard library,
# so that this only checks that they compile.
cd "$(dirname "$0")" || exit 2
python3 - standins-2/standins2.py [4-8]/case.py <<'EOF'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("stand-ins compile:", *sys.argv[1:])
EOF
