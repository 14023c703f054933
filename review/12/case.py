"""One accepted job of many small tasks: no owner lives long enough."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_in_3 import Cell
from stand_in_3 import has_trouble

HERE = Path(__file__).resolve().parent
# The most that the program accepts; the pages set no limit.
TASKS = 100_000
BIG = '00000000000000bb'
SECONDS = 14
BIG_AT = 6
FINISH_S = 14.0
IDLE_S = 3.0
# Step and index of each task of an ordinary job.
TASK_NUMBERS = ((0, 0), (0, 1), (1, 0), (1, 1))


def make_ordinary() -> dict[str, object]:
    """Return a job of two steps of two tasks that take 2 s each."""
    step = {'count': 2, 'cpu': 1000, 'memMb': 512, 'estimateMs': 2000}
    return {'spec': '{"ms":2000}', 'steps': [step, {**step, 'after': [0]}]}


def make_big() -> dict[str, object]:
    """Return a job of many tasks of a tenth of a core."""
    step = {'count': TASKS, 'cpu': 100, 'memMb': 64, 'estimateMs': 1000}
    return {'spec': '{"ms":1000}', 'steps': [step]}


async def play(cell: Cell) -> list[str]:
    """Play the case and return how the rule was broken."""
    record = cell.record
    async with asyncio.TaskGroup() as group:
        for number in range(1, SECONDS + 1):
            job = f'{number:016x}'
            group.create_task(cell.submit(job, make_ordinary(), cell.entries))
            if number == BIG_AT and has_trouble():
                group.create_task(cell.submit(BIG, make_big(), cell.entries))
            await asyncio.sleep(1.0)
            owner = await cell.store.find_owner()
            record.add(f'owner: {owner or "none"}')
    traffic_end = cell.last_send
    await asyncio.sleep(max(0.0, traffic_end + FINISH_S - record.now()))
    return check(cell)


def check(cell: Cell) -> list[str]:
    """Return accepted jobs that are open and idle at the end."""
    broken = []
    now = cell.record.now()
    used = sum(len(worker.runs) for worker in cell.workers)
    cell.record.add(f'{used} runs on all workers at the end')
    for job in sorted(cell.accepted):
        numbers = TASK_NUMBERS if job != BIG else ((0, 0),)
        names = [f'{job}.0.{step}.{index}' for step, index in numbers]
        tasks = [cell.list_runs(name) for name in names]
        if all(any(run[4] == 'done' for run in runs) for runs in tasks):
            continue
        ends = [run[3] for runs in tasks for run in runs]
        last = max(ends, default=cell.accepted[job])
        if now - last >= IDLE_S:
            broken.append(
                f'LOST: {job}, accepted at {cell.accepted[job]:.1f} s, had '
                f'nothing running from {last:.1f} to {now:.1f} s'
            )
    return broken


async def main() -> int:
    """Play the case; return its exit status."""
    cell = Cell(entries=4, workers=24)
    try:
        await cell.start()
        broken = await play(cell)
        for text in broken:
            cell.record.add(text)
    finally:
        await cell.stop(HERE / 'record.txt')
    print('\n'.join(broken[:5]) or 'held')
    print(f'{len(broken)} of {len(cell.accepted)} accepted jobs')
    return 1 if broken else 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, TimeoutError, StopIteration) as error:
        print(f'cannot run: {error!r}')
        sys.exit(2)
