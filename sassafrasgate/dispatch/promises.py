"""Times at which refused callers have been told to come back.

A promise names a job, not a connection: whoever submits the job again at the
promised time, or later, is admitted before jobs that nobody has been told to
send again. Promises are in the owner's memory only. A successor begins without
any, so its callers are treated like new ones.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.backlogs import WaitingWork

if TYPE_CHECKING:
    from sassafrasgate.dispatch.state import DispatchState

# A caller that comes later than this is treated like a new one.
PROMISE_RETENTION_MS = 10_000
# About 1 MB. A caller beyond that is told the time without a promise.
MAX_PROMISES = 4_096
# Work of callers that return within this time counts as waiting.
LOOKAHEAD_MS = 1_000


@dataclass(frozen=True, slots=True)
class Promise:
    """What a refused caller has been told.

    Parameters
    ----------
    at : int
        Owner's clock, in ms, from which on the caller is admitted.
    refused_at : int
        Owner's clock, in ms, when the caller was first refused.
    pool : str
        Pool that the work needs.
    resource : str
        Resource to which the amount of the work refers.
    work : WaitingWork
        The work of the job's first steps.
    tasks : int
        Number of the job's tasks.
    """

    at: int
    refused_at: int
    pool: str
    resource: str
    work: WaitingWork
    tasks: int = 0


def keep_promise(state: DispatchState, job_id: str, promise: Promise) -> None:
    """Remember a promise, unless there are too many."""
    if job_id in state.promises or len(state.promises) < MAX_PROMISES:
        state.promises[job_id] = promise


def forget_promises(state: DispatchState) -> None:
    """Remove the promises whose callers have not come back in time."""
    overdue_at = state.now - PROMISE_RETENTION_MS
    overdue = [
        job_id
        for job_id, promise in state.promises.items()
        if promise.at < overdue_at
    ]
    for job_id in overdue:
        del state.promises[job_id]


def is_due(state: DispatchState, job_id: str) -> bool:
    """Return whether a caller was told to come back by now."""
    promise = state.promises.get(job_id)
    return promise is not None and promise.at <= state.now


def list_due_work(
    state: DispatchState, pool: str, resource: str
) -> list[WaitingWork]:
    """Return the work of the callers that will be back in a moment.

    It takes room before the work of new callers. A caller that is overdue
    may have given up, so its work no longer counts.
    """
    return [
        promise.work
        for promise in state.promises.values()
        if promise.pool == pool
        and promise.resource == resource
        and -LOOKAHEAD_MS <= promise.at - state.now <= LOOKAHEAD_MS
    ]
