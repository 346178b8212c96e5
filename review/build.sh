#!/bin/sh
# The stand-ins are Python files that need no package: building them is checking that they compile.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/rig.py review/*/case.py
