"""A worker leaves and the owner is frozen: prior work waits 14 s."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_in_3 import Cell
from stand_in_3 import has_trouble

HERE = Path(__file__).resolve().parent
# The site's `node_freeze` lasts 4 s, its workers drain for 2 s.
FREEZE_S = 4.0
DRAIN_S = 2.0
# RULES.md, LOST: from 6 s after the last run, 4 s of calm and then 3 s.
AFTER_RUN_S = 6.0
CALM_S = 4.0
IDLE_S = 3.0
FINISH_S = 14.0
LASTING = '00000000000000aa'
LASTING_TASKS = 8
STEP = {'cpu': 1000, 'memMb': 512}


def make_jobs() -> dict[str, dict[str, object]]:
    """Return ordinary jobs of two steps, by id."""
    jobs: dict[str, dict[str, object]] = {}
    for number in range(12):
        steps = [
            {**STEP, 'count': 4, 'estimateMs': 3000},
            {**STEP, 'count': 4, 'estimateMs': 3000, 'after': [0]},
        ]
        jobs[f'{number + 1:016x}'] = {'spec': '{"ms":3000}', 'steps': steps}
    return jobs


async def play(cell: Cell) -> list[str]:
    """Play the case and return how the rule was broken."""
    record = cell.record
    lasting = {
        **STEP,
        'count': LASTING_TASKS,
        'longRunning': True,
        'antiAffinity': 1,
    }
    body = {'spec': '{"lasts":true}', 'steps': [lasting]}
    await cell.submit(LASTING, body, cell.entries)
    await asyncio.sleep(5.0)
    jobs = make_jobs()
    for job, body in jobs.items():
        await cell.submit(job, body, cell.entries)
    await asyncio.sleep(1.0)
    calm_from = record.now()
    if has_trouble():
        owner = await cell.find_owner()
        # Planned work: a worker is emptied and taken away.
        await cell.workers[0].leave(DRAIN_S)
        record.add(f'{owner.name}, the owner, is frozen')
        owner.freeze()
        await asyncio.sleep(FREEZE_S)
        owner.thaw()
        record.add(f'{owner.name} goes on')
        calm_from = record.now()
    # The last request of the traffic is a look at each job.
    for job in (LASTING, *jobs):
        status, found = await cell.call('GET', cell.entries[0], job)
        record.add(f'GET {job}: {status} {found}')
    traffic_end = cell.last_send
    await asyncio.sleep(max(0.0, traffic_end + FINISH_S - record.now()))
    broken = check_lasting(cell, calm_from)
    broken += check_ordinary(cell, jobs)
    return broken


def check_lasting(cell: Cell, calm_from: float) -> list[str]:
    """Return the lasting tasks that had no run in a calm span of 3 s."""
    broken = []
    now = cell.record.now()
    for index in range(LASTING_TASKS):
        task = f'{LASTING}.0.0.{index}'
        runs = cell.list_runs(task)
        if not runs:
            broken.append(f'{task} has never run')
            continue
        ends = [(run[3], run[4]) for run in runs]
        starts = [*(run[2] for run in runs[1:]), now]
        for (ended, how), started in zip(ends, starts, strict=True):
            begin = max(ended + AFTER_RUN_S, calm_from + CALM_S)
            if how != 'runs' and started - begin >= IDLE_S:
                broken.append(
                    f'LOST: {task} had no run from {ended:.2f} to '
                    f'{started:.2f} s; calm from {calm_from:.2f} s'
                )
    return broken


def check_ordinary(
    cell: Cell, jobs: dict[str, dict[str, object]]
) -> list[str]:
    """Return accepted jobs that are open and idle at the end."""
    broken = []
    now = cell.record.now()
    for job in jobs:
        if job not in cell.accepted:
            continue
        tasks = [f'{job}.0.{step}.{i}' for step in (0, 1) for i in range(4)]
        runs = [run for task in tasks for run in cell.list_runs(task)]
        done = sum(run[4] == 'done' for run in runs)
        last = max((run[3] for run in runs), default=cell.accepted[job])
        if done < len(tasks) and now - last >= IDLE_S:
            broken.append(
                f'LOST: {job} had nothing running from {last:.2f} to '
                f'{now:.2f} s, with {done} of {len(tasks)} tasks done'
            )
    return broken


async def main() -> int:
    """Play the case; return its exit status."""
    cell = Cell(entries=4, workers=9)
    try:
        await cell.start()
        broken = await play(cell)
        for text in broken:
            cell.record.add(text)
    finally:
        await cell.stop(HERE / 'record.txt')
    print('\n'.join(broken) or 'held')
    return 1 if broken else 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, TimeoutError, StopIteration) as error:
        print(f'cannot run: {error!r}')
        sys.exit(2)
