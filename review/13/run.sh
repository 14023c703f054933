#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps"
exec python3 review/13/case.py
