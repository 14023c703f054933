"""Cancellation of jobs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.completions import end_job
from sassafrasgate.shards.handlers import reply_refusal
from sassafrasgate.shards.handlers import REQUEST_HANDLERS
from sassafrasgate.shards.state import JobWaiter
from sassafrasgate.shards.views import refuse_unknown_job
from sassafrasgate.shards.views import view_job

if TYPE_CHECKING:
    from sassafrasgate.protocol.messages import Cancel
    from sassafrasgate.shards.events import RequestReceived
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import JobEntry
    from sassafrasgate.shards.state import ShardState

CANCEL_WAIT_MS = 5_000


@REQUEST_HANDLERS.register('cancel')
def cancel_job(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """End a queued job at once, or stop the tasks of a placed one.

    The reply is sent when the end is durable, or with the current state
    after `CANCEL_WAIT_MS`.
    """
    message: Cancel = request.message
    entry = state.jobs.get(message.job_id)
    if entry is None:
        yield reply_refusal(
            request.reply_to, refuse_unknown_job(message.job_id)
        )
        return
    if entry.has_ended:
        yield Reply(request.reply_to, view_job(state, entry))
        return
    waiters = state.waiters.get(message.job_id, ())
    waiter = JobWaiter(request.reply_to, now + CANCEL_WAIT_MS)
    state.waiters[message.job_id] = (*waiters, waiter)
    if entry.cancelling:
        return
    yield from begin_cancel(state, entry)


def begin_cancel(state: ShardState, entry: JobEntry) -> Actions:
    """Start to cancel a job, which ends once none of its tasks can run."""
    entry = state.update_job(entry.job_id, cancelling=True)
    yield LogDecision('cancel', entry.job_id, entry.attempt)
    if entry.transferred_to:
        # The next timer event sends a recall to the shard that runs it.
        transfer = state.transfers[entry.job_id]
        state.transfers[entry.job_id] = replace(transfer, next_at=0)
        return
    tasks = list(state.list_job_tasks(entry.job_id))
    if not tasks and entry.state is not JobState.UNKNOWN:
        yield from end_job(
            state,
            entry,
            Outcome(JobState.CANCELLED, 'cancelled by its caller'),
        )
        return
    for task in tasks:
        state.tasks[task.task] = replace(task, stopping=True)
        yield StopTask(task.host, task.task)
