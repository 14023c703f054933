"""Jobs whose tasks take longer than estimated never finish."""

from __future__ import annotations

from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from idle_2 import KINDS
from idle_2 import watch_jobs
from idle_2 import Work
from platform_2 import Cell
from platform_2 import has_trouble
from platform_2 import main

FOLDER = Path(__file__).resolve().parent
JOBS = 4
# The largest work of a task in the site file, and an estimate of it.
WORK_MS = 12_000
ESTIMATE_MS = 3_500


async def play(cell: Cell) -> str:
    """Submit jobs with estimates that are too low."""
    estimate_ms = ESTIMATE_MS if has_trouble() else WORK_MS
    work = Work(JOBS, WORK_MS, estimate_ms)
    return await watch_jobs(cell, work, not has_trouble())


if __name__ == '__main__':
    main(FOLDER, 3, KINDS, play)
