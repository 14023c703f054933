"""Refusal of workflows while the store confirms no records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.dispatch.load_refusals import describe_work
from sassafrasgate.dispatch.load_refusals import MIN_RETURN_MS
from sassafrasgate.dispatch.promises import keep_promise
from sassafrasgate.dispatch.promises import Promise

if TYPE_CHECKING:
    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Workflow
    from sassafrasgate.dispatch.state import DispatchState

# An outage of the store may end at any time.
MAX_STALL_RETURN_MS = 5_000
# Tasks in a second at which callers return whose owner has no measured rate.
MIN_RETURN_TASKS_PER_S = 20.0


def note_rate_before_stall(state: DispatchState) -> None:
    """Record the rate of starts before the outage, if a pool was full.

    Where no pool was full the rate says what was asked for, not what can be
    served, so callers need no spread.
    """
    is_full = any(backlog.is_contended for backlog in state.backlogs.values())
    state.rate_before_stall = 0.0
    if is_full:
        state.rate_before_stall = max(
            state.admission.rate_per_s, MIN_RETURN_TASKS_PER_S
        )


def refuse_stalled(
    state: DispatchState, job_id: str, queue: Queue, workflow: Workflow
) -> Refusal:
    """Refuse a job while the store confirms no records.

    Nobody knows when the store returns. What comes back then should be what
    the owner can start, so callers return at the rate of the time before,
    those of urgent queues first, and then those that were refused first.
    """
    promise = state.promises.get(job_id)
    if promise is None or promise.at <= state.now:
        promise = _promise_after_stall(state, job_id, queue, workflow)
        keep_promise(state, job_id, promise)
    retry_after_ms = promise.at - state.now
    return Refusal(
        RefusalKind.STORE_UNAVAILABLE,
        f'the store has confirmed no record for '
        f'{state.now - state.stalled_since} ms',
        f'send the request again after {retry_after_ms} ms',
        retry_after_ms,
    )


def _promise_after_stall(
    state: DispatchState, job_id: str, queue: Queue, workflow: Workflow
) -> Promise:
    previous = state.promises.get(job_id)
    refused_at = previous.refused_at if previous is not None else state.now
    tasks = sum(step.tasks for step in workflow.steps)
    ahead = sum(
        other.tasks
        for name, other in state.promises.items()
        if name != job_id
        and other.at > state.now
        and (other.work.priority, other.refused_at)
        <= (queue.priority, refused_at)
    )
    wait_ms = MIN_RETURN_MS
    if state.rate_before_stall:
        spread_ms = int(ahead * 1_000 / state.rate_before_stall)
        wait_ms = max(wait_ms, min(spread_ms, MAX_STALL_RETURN_MS))
    return Promise(
        state.now + wait_ms,
        refused_at,
        queue.pool,
        'millicores',
        describe_work(queue, workflow, refused_at, 'millicores'),
        tasks,
    )
