"""A client cancels a job before the time at which the job is due."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys
from time import time_ns

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform_2 import Cell
from platform_2 import has_trouble
from platform_2 import main
from platform_2 import make_job

FOLDER = Path(__file__).resolve().parent
SCHEDULED = 'a000000000000001'
DUE_IN_MS = 25_000
TASKS = 2
# Bounds of the pages: `ackMs` and `cancel_ms`.
ACK_S = 4.0
CANCEL_S = 3.0
OTHER_JOBS = 20


async def submit_others(cell: Cell) -> int:
    """Submit a short job each second; return how many were accepted."""
    accepted = 0
    for number in range(OTHER_JOBS):
        answers = await cell.request(
            'POST', f'b{number:015x}', make_job(300), attempts=1
        )
        accepted += answers[-1].status == 200
        await asyncio.sleep(1)
    return accepted


async def play(cell: Cell) -> str:
    """Submit a job that is due later, cancel it, and see whether it runs."""
    record = cell.record
    due_ms = time_ns() // 1_000_000 + DUE_IN_MS
    due_s = record.now_s + DUE_IN_MS / 1000
    job = make_job(500, TASKS, repeats=1, startAtMs=due_ms, intervalMs=1000)
    answers = await cell.request('POST', SCHEDULED, job)
    if answers[-1].status != 200:
        raise RuntimeError('the job was not accepted')
    others = asyncio.create_task(submit_others(cell))
    await asyncio.sleep(2)
    cancelled_s = record.now_s
    statuses = []
    if has_trouble():
        answers = await cell.request('DELETE', SCHEDULED)
        statuses = [answer.status for answer in answers]
    while record.now_s < due_s + 6:
        await asyncio.sleep(0.1)
    await cell.request('GET', SCHEDULED)
    lost = sum(h.count_log('unexpected error') for h in cell.hosts)
    record.write(
        'summary',
        cancel_statuses=statuses,
        others_accepted=f'{await others}/{OTHER_JOBS}',
        unexpected_error_lines=lost,
    )
    spans = cell.list_spans(SCHEDULED)
    if not has_trouble():
        if len(spans) != TASKS:
            raise RuntimeError('the job did not run as submitted')
        return ''
    acknowledged = statuses[-1] in (200, 410)
    bound_s = cancelled_s + CANCEL_S
    if not acknowledged:
        bound_s += ACK_S
    late = [span for span in spans if span.began_s > bound_s]
    if not late:
        return ''
    return (
        f'UNASKED: {len(late)} tasks of the cancelled job started, the first '
        f'{late[0].began_s - cancelled_s:.1f} s after the cancel was first '
        f'sent; its attempts got {statuses}'
    )


if __name__ == '__main__':
    main(FOLDER, 3, 'aaaa', play)
