"""Scheduling passes, which place or transfer queued jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.shards.placements import place_job
from sassafrasgate.shards.preemption import may_preempt
from sassafrasgate.shards.preemption import preempt_for_job
from sassafrasgate.shards.quota_shares import borrow_share
from sassafrasgate.shards.transfers import begin_transfer
from sassafrasgate.shards.transfers import find_transfer_target
from sassafrasgate.shards.transfers import TRANSFER_DELAY_MS

if TYPE_CHECKING:
    from collections.abc import Generator
    from typing import Any

    from sassafrasgate.core.errors import Refusal
    from sassafrasgate.placement.queues import QueuedJob
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState

MAX_PLACEMENTS_PER_PASS = 200
MAX_TRANSFERS_PER_PASS = 20


def place_queued_jobs(state: ShardState, now: int) -> Actions:
    """Place queued jobs in fair order, a limited number per call.

    A job that does not fit now is skipped and does not block those behind
    it.
    """
    placed = 0
    transferred = 0
    jobs = state.queue.begin_pass(now, state.quotas.reserved)
    for job in jobs:
        refusal = yield from place_job(state, state.jobs[job.job_id])
        if refusal is None:
            state.start_rate.record_starts(now)
            placed += 1
            if placed >= MAX_PLACEMENTS_PER_PASS:
                state.needs_pass = True
                return
            continue
        if refusal.kind is RefusalKind.QUOTA:
            jobs.skip_team(job.spec.team)
            yield from borrow_share(state, job.spec, now)
            continue
        may_transfer_more = transferred < MAX_TRANSFERS_PER_PASS
        transferred += yield from _transfer_or_preempt(
            state, job, refusal, may_transfer_more, now
        )


def _transfer_or_preempt(
    state: ShardState,
    job: QueuedJob,
    refusal: Refusal,
    may_transfer_more: bool,
    now: int,
) -> Generator[Any, None, int]:
    """Transfer an unplaced job or preempt others for it.

    Returns the number of transfers, 0 or 1.
    """
    entry = state.jobs[job.job_id]
    if may_transfer_more and may_transfer(state, job, refusal, now):
        target = find_transfer_target(state, job.spec, now)
        if target is not None:
            yield from begin_transfer(state, entry, target)
            return 1
    if refusal.kind is RefusalKind.NO_ROOM and may_preempt(state, job.spec):
        yield from preempt_for_job(state, entry, now)
    return 0


def may_transfer(
    state: ShardState, job: QueuedJob, refusal: Refusal, now: int
) -> bool:
    """Return whether a job may leave its home shard now.

    Running in another failure domain adds a network hop, so a job that
    could run on its home shard waits there for `TRANSFER_DELAY_MS` first,
    unless it is urgent.
    """
    entry = state.jobs[job.job_id]
    if entry.placements or entry.home or entry.cancelling:
        return False
    if job.spec.job_class is JobClass.URGENT:
        return True
    if refusal.kind is RefusalKind.FITS_NOWHERE:
        return True
    return now - job.queued_at >= TRANSFER_DELAY_MS
