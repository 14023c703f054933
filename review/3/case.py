"""The end of a second run is taken for that of an earlier one."""

from __future__ import annotations

import asyncio
from pathlib import Path
from signal import SIGKILL
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import CannotRunError
from harness import Cell
from harness import Job
from harness import main

# The largest `for_s` of `srv_grey` with `hang` on the site is 6.63 s.
HANG_S = 6.6
WORK_S = 4.0
# The worker's run has to last until the worker hangs.
FIRST_WORK_S = 12.0
RESTART_S = 0.05
WATCH_S = 30.0


async def play(cell: Cell) -> bool:
    """Return whether a task starts after its noted end as `done`."""
    step = {'count': 1, 'cpu': 1_000, 'memMb': 512, 'estimateMs': 4_000}
    job = Job('00000000000000b2', [step], FIRST_WORK_S)
    if not await cell.submit(job) or not await cell.wait_for_runs(job, 1):
        raise CannotRunError('the job did not start')
    await asyncio.sleep(1.0)
    [(worker, _)] = cell.find_runs(job)
    job.work_s = WORK_S
    owner = cell.find_owner()
    cell.record.add(f'{owner.name} owns the shard')
    if cell.trouble:
        cell.record.add(f'SIGKILL to {owner.name}')
        owner.send(SIGKILL)
        cell.record.add(f'{worker.name} hangs')
        worker.cut_off = True
        await asyncio.sleep(RESTART_S)
        owner.start()
        cell.record.add(f'{owner.name} starts again')
        await asyncio.sleep(HANG_S - RESTART_S)
        worker.cut_off = False
        cell.record.add(f'{worker.name} answers again')
    await asyncio.sleep(WATCH_S)
    await cell.query(job)
    repeated = cell.find_repeated_tasks()
    for text in repeated:
        cell.record.add(text)
    return bool(repeated)


main(play, __file__)
