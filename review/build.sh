#!/bin/sh
# Builds the stand-ins of the scripts. They are Python modules that use the
# libraries of the product, so that only their syntax and imports are checked.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps python3 - <<'END'
from pathlib import Path
import sys

sys.path.insert(0, 'review')
import harness  # noqa: F401

for path in sorted(Path('review').glob('**/case.py')):
    compile(path.read_text(), str(path), 'exec')
END
