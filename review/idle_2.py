"""Jobs that have nothing running although there is room, for cases 7 and 8."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from platform_2 import make_job

if TYPE_CHECKING:
    from platform_2 import Cell
    from platform_2 import RunSpan

# Two of six workers are of the kind that the jobs require. Each worker has
# 16 cores, and each task needs one.
KINDS = 'aaaabb'
LABEL = 'b'
CORES = 16 * len(KINDS)
# Quick jobs of the same queue, before the traffic ends.
QUICK_JOBS = 45
QUICK_MS = 400
QUICK_PERIOD_S = 0.33
WATCH_S = 50.0
# Bounds of the rule: `finish_s`, and the time without a run.
FINISH_S = 14.0
IDLE_S = 3.0


@dataclass(frozen=True)
class Work:
    """The jobs of a case: how long they take, and their estimates."""

    jobs: int
    work_ms: int
    estimate_ms: int


def find_idle_times(
    spans: list[RunSpan], from_s: float, until_s: float
) -> list[tuple[float, float]]:
    """Return the times in which no run of a job is present."""
    idle = []
    free_s = from_s
    for span in sorted(spans, key=lambda span: span.began_s):
        if span.began_s > free_s:
            idle.append((free_s, min(span.began_s, until_s)))
        ended_s = span.ended_s if span.how else until_s
        free_s = max(free_s, ended_s)
        if span.how == 'done':
            return idle
    if free_s < until_s:
        idle.append((free_s, until_s))
    return idle


def count_runs_at(cell: Cell, at_s: float) -> int:
    """Return the number of runs on all workers, of one core each."""
    return sum(
        span.began_s <= at_s and (not span.how or at_s < span.ended_s)
        for worker in cell.workers
        for span in worker.spans
    )


async def submit_quick_jobs(cell: Cell) -> None:
    """Submit quick jobs, one after the other."""
    fields = {'requires': LABEL}
    for number in range(QUICK_JOBS):
        await cell.request(
            'POST', f'd{number:015x}', make_job(QUICK_MS, fields=fields)
        )
        await asyncio.sleep(QUICK_PERIOD_S)


async def watch_jobs(cell: Cell, work: Work, must_finish: bool) -> str:
    """Submit jobs and quick jobs, then watch whether the former run.

    Parameters
    ----------
    must_finish : bool
        Whether the case could not run if a job is not done at the end.

    Returns
    -------
    str
        How the rule was broken, or ''.
    """
    record = cell.record
    fields = {'estimateMs': work.estimate_ms, 'requires': LABEL}
    ids = [f'c{number:015x}' for number in range(work.jobs)]
    for job_id in ids:
        answers = await cell.request(
            'POST', job_id, make_job(work.work_ms, fields=fields)
        )
        if answers[-1].status != 200:
            raise RuntimeError('a job was not accepted')
    await submit_quick_jobs(cell)
    traffic_ended_s = record.now_s
    await asyncio.sleep(WATCH_S)
    until_s = record.now_s
    states = [(await cell.request('GET', job))[-1].body for job in ids]
    done = starts = 0
    broken = []
    for job_id in ids:
        spans = cell.list_spans(job_id)
        starts += len(spans)
        done += any(span.how == 'done' for span in spans)
        for from_s, to_s in find_idle_times(
            spans, traffic_ended_s + FINISH_S, until_s
        ):
            used = max(count_runs_at(cell, s) for s in (from_s, to_s))
            if to_s - from_s >= IDLE_S and used < CORES / 2:
                broken.append((job_id, round(from_s, 2), round(to_s, 2)))
    record.write(
        'summary',
        finished=f'{done}/{work.jobs}',
        starts=starts,
        states=states,
        idle=broken,
    )
    if must_finish and done < work.jobs:
        raise RuntimeError('the jobs did not finish without the disruption')
    if not broken:
        return ''
    longest_s = max(to_s - from_s for _, from_s, to_s in broken)
    return (
        f'LOST: {len(broken)} times a job had nothing running for '
        f'{IDLE_S:g} s or more (longest {longest_s:.1f} s), later than '
        f'{FINISH_S:g} s after the traffic; {done} of {work.jobs} jobs were '
        f'done {WATCH_S:g} s after the traffic, after {starts} starts'
    )
