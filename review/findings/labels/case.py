"""A worker that starts again as another kind gets what needs the old one."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from harness import CannotRunError
from harness import Cell
from harness import Job
from harness import main

# The largest `for_s` of `srv_crash` on the site is 4.7 s; its largest share
# is 0.14, and one worker of eight is down at a time.
DOWN_S = 0.3
ROUNDS = 5
ROUND_S = 3.0


async def play(cell: Cell) -> bool:
    """Return whether a task started on a worker without its label."""
    step = {
        'count': 24,
        'cpu': 5_000,
        'memMb': 512,
        'estimateMs': 20_000,
        'requires': 'a',
    }
    job = Job('00000000000000d4', [step], 20.0)
    if not await cell.submit(job) or not await cell.wait_for_runs(job, 24):
        raise CannotRunError('the job did not start')
    await asyncio.sleep(1.0)
    for number in range(ROUNDS):
        if cell.trouble:
            worker = cell.workers[f'w-{number}']
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            worker.kind = 'b'
            await worker.restart()
        await asyncio.sleep(ROUND_S)
    for text in cell.mislabelled:
        cell.record.add(text)
    return bool(cell.mislabelled)


main(play, __file__)
