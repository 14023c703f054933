#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They are
# Python and need only the libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps"
python3 -m py_compile review/stand_in_3.py review/1[1-5]/*.py
python3 -c 'import aiohttp'
