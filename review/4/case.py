"""A step is never started on the one worker that may run it."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CannotRunError
from harness import Cell
from harness import Job
from harness import main

# The largest `for_s` of `srv_crash` on the site is 4.7 s.
DOWN_S = 0.05
# finish_s of the site, and several seconds more.
WATCH_S = 25.0


async def play(cell: Cell) -> bool:
    """Return whether a job waits while its worker is free."""
    step = {'count': 1, 'cpu': 1_000, 'memMb': 512, 'estimateMs': 1_000}
    job = Job('00000000000000c3', [step], 1.0, advised=True)
    worker = cell.workers['w-3']
    cell.admitted[job.job_id] = {worker.name}
    calls = cell.advice_calls
    submission = asyncio.create_task(cell.submit(job))
    for _ in range(300):
        if cell.advice_calls > calls:
            break
        await asyncio.sleep(0.01)
    else:
        raise CannotRunError('no advice was asked')
    await asyncio.sleep(0.02)
    if cell.trouble:
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.restart()
    if not await submission:
        raise CannotRunError('the job was not accepted')
    await asyncio.sleep(WATCH_S)
    status, answer = await cell.query(job)
    if status != 200 or answer is None:
        raise CannotRunError('the job was not shown')
    return not cell.order


main(play, __file__)
