"""A cancelled task runs on after a planned stop of the owner."""

from __future__ import annotations

import asyncio
from pathlib import Path
from signal import SIGTERM
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CannotRunError
from harness import Cell
from harness import Job
from harness import main

# The largest `for_s` of `srv_grey` on the site is 6.63 s.
UNHEALTHY_S = 4.0
# A stretch of contactMs + cancel_ms + stopMs after the end of the trouble,
# and several seconds more.
CALM_S = 15.0


async def play(cell: Cell) -> bool:
    """Return whether a task of a cancelled job runs on."""
    step = {
        'count': 1,
        'cpu': 1_000,
        'memMb': 512,
        'estimateMs': 1_000,
        'longRunning': True,
    }
    job = Job('00000000000000a1', [step], 600.0)
    if not await cell.submit(job) or not await cell.wait_for_runs(job, 1):
        raise CannotRunError('the job did not start')
    await asyncio.sleep(2.0)
    [(worker, _)] = cell.find_runs(job)
    owner = cell.find_owner()
    cell.record.add(f'{owner.name} owns the shard')
    if cell.trouble:
        worker.unhealthy_paths = frozenset({'run-start', 'run-stop'})
        cell.record.add(f'{worker.name} fails orders from now on')
    if not await cell.cancel(job):
        raise CannotRunError('the cancelling was not acknowledged')
    cancelled_at = cell.record.now()
    cell.record.add(f'SIGTERM to {owner.name}')
    owner.send(SIGTERM)
    await asyncio.sleep(UNHEALTHY_S)
    worker.unhealthy_paths = frozenset()
    cell.record.add(f'{worker.name} is healthy')
    await asyncio.sleep(CALM_S)
    running = cell.find_runs(job)
    await cell.query(job)
    for other, run in running:
        cell.record.add(
            f'{run.task} run {run.run} still runs on {other.name}, '
            f'{cell.record.now() - cancelled_at:.1f} s after the '
            'acknowledgement of its cancelling'
        )
    return bool(running)


main(play, __file__)
