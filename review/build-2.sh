#!/bin/sh
# Builds the stand-ins of the scripts of the second review. They are Python
# modules that use the libraries of the product, so that only their syntax and
# their imports are checked.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review python3 - <<'END_OF_CHECK'
from pathlib import Path

import platform_2  # noqa: F401

for number in range(6, 11):
    for path in sorted(Path('review').glob(f'{number}/*.py')):
        compile(path.read_text(), str(path), 'exec')
END_OF_CHECK
