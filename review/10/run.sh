#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || { echo "build the project first"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=.. exec ../../.venv/bin/python case.py
