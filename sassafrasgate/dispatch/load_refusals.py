"""Refusal of workflows that a full pool can't complete in time.

A job is refused only if its pool is full, or its tenant at its cap, and its
predicted completion misses the objective by a margin. It would take the same
room as a job that can still be on time, and be worth little. Whoever is
refused is told when there will be room. A prediction that rests on a guess
refuses nothing: jobs with a start time, long-running ones and those without an
estimate are admitted.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.registries import Registry
from sassafrasgate.dispatch.adoptions import compute_reservation
from sassafrasgate.dispatch.backlogs import add_work
from sassafrasgate.dispatch.backlogs import Backlog
from sassafrasgate.dispatch.backlogs import ERROR_SHARE
from sassafrasgate.dispatch.backlogs import find_tenant_work_ahead
from sassafrasgate.dispatch.backlogs import predict_start
from sassafrasgate.dispatch.backlogs import WaitingWork
from sassafrasgate.dispatch.ordering import LATENESS_TOLERANCE
from sassafrasgate.dispatch.progress import compute_advice_ms
from sassafrasgate.dispatch.progress import compute_critical_paths
from sassafrasgate.dispatch.progress import compute_objective_ms
from sassafrasgate.dispatch.progress import VALUE_LIMIT_FACTOR
from sassafrasgate.dispatch.promises import is_due
from sassafrasgate.dispatch.promises import keep_promise
from sassafrasgate.dispatch.promises import Promise
from sassafrasgate.dispatch.shares import MIN_WEIGHT

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Workflow
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.protocol.workflows import SubmitWorkflow

# A job that would only be late is refused if it is still late when its wait is
# shorter than predicted by this fraction.
LATE_MARGIN = 0.35
# Returning callers get this share of the room; the rest is for new ones.
RETURN_SHARE = 0.5
# Predictions beyond this are unreliable: what will run then has not been
# submitted.
MAX_RETURN_MS = 15_000
MIN_RETURN_MS = 1_000
# An older measurement refuses nothing: what waited then may have started.
MAX_BACKLOG_AGE_MS = 1_000
# A task that doesn't fit below the cap leaves this share of it in use.
CAP_REACHED_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Verdict:
    """Why a job is refused.

    Parameters
    ----------
    cause : str
        Label of the metric and of the log line: what is full.
    reason : str
        Full sentence with the figures that have decided.
    return_at : float
        Owner's clock, in ms, from which on there is room.
    """

    cause: str
    reason: str
    return_at: float


JUDGES: Registry[str, Callable[..., Verdict | None]] = Registry('judge')


def check_load(
    state: DispatchState, message: SubmitWorkflow
) -> Refusal | None:
    """Return a refusal if a job would miss its objective for want of room."""
    queue = state.routing_table.find_queue_by_name(message.queue)
    assert queue is not None
    backlog = state.backlogs.get(queue.pool)
    if (
        backlog is None
        or not backlog.tenant_work
        or not _is_fresh(state, backlog)
        or not _is_predictable(message.workflow)
        or is_due(state, message.job_id)
    ):
        return None
    work = make_candidate(state, message, queue, backlog.resource)
    for name in JUDGES:
        judge = JUDGES.find(name)
        verdict = judge(state, backlog, work)
        if verdict is not None:
            return _refuse(state, message.job_id, queue, work, verdict)
    return None


def record_admission(state: DispatchState, message: SubmitWorkflow) -> None:
    """Count a job that is about to be accepted as waiting work."""
    queue = state.routing_table.find_queue_by_name(message.queue)
    assert queue is not None
    backlog = state.backlogs.get(queue.pool)
    if backlog is not None and _is_current(state, backlog):
        work = make_candidate(state, message, queue, backlog.resource)
        state.backlogs[queue.pool] = add_work(backlog, work)
    state.promises.pop(message.job_id, None)


def _is_current(state: DispatchState, backlog: Backlog) -> bool:
    return backlog.is_contended and _is_fresh(state, backlog)


def _is_fresh(state: DispatchState, backlog: Backlog) -> bool:
    return state.now - backlog.measured_at <= MAX_BACKLOG_AGE_MS


def _is_predictable(workflow: Workflow) -> bool:
    if workflow.start_at_ms or workflow.occurrences > 1:
        return False
    return all(
        step.estimate_ms and not step.long_running for step in workflow.steps
    )


def make_candidate(
    state: DispatchState,
    message: SubmitWorkflow,
    queue: Queue,
    resource: str,
) -> WaitingWork:
    """Describe a job as it would wait if it were accepted.

    The time in which a job is of use begins when its caller was first
    refused.
    """
    promise = state.promises.get(message.job_id)
    sent_at = promise.refused_at if promise is not None else state.now
    work = describe_work(queue, message.workflow, sent_at, resource)
    return replace(work, tenant=message.tenant)


def describe_work(
    queue: Queue, workflow: Workflow, sent_at: int, resource: str
) -> WaitingWork:
    """Describe the steps of a job that can start at once.

    Parameters
    ----------
    sent_at : int
        Owner's clock, in ms, when the job's objective begins.
    resource : str
        Resource to which the amount refers.
    """
    path_ms = max(compute_critical_paths(workflow, compute_advice_ms(queue)))
    objective_ms = compute_objective_ms(queue, path_ms)
    latest_start = sent_at + objective_ms - path_ms
    ready = [step for step in workflow.steps if not step.after]
    amounts = [getattr(compute_reservation(step), resource) for step in ready]
    return WaitingWork(
        latest_start,
        latest_start + int(LATENESS_TOLERANCE * path_ms),
        sent_at + VALUE_LIMIT_FACTOR * objective_ms - path_ms,
        queue.priority,
        sent_at + objective_ms,
        sum(
            amount * step.tasks
            for amount, step in zip(amounts, ready, strict=True)
        ),
        max(step.estimate_ms for step in ready),
        min(amounts),
    )


@JUDGES.register('pool-full')
def judge_pool(
    state: DispatchState, backlog: Backlog, work: WaitingWork
) -> Verdict | None:
    """Judge a job by the work that starts before its own."""
    if not backlog.is_contended:
        return None
    start = predict_start(backlog, work)
    if not _is_too_late(work, state.now, start):
        return None
    return Verdict(
        'pool-full',
        f'its tasks would start in {_format_wait(state, start)}, while '
        f'{len(backlog.starts) + len(backlog.late_starts)} steps wait, and it '
        f'is in time if they start within '
        f'{max(0, work.latest_start - state.now)} ms; measured '
        f'{state.now - backlog.measured_at} ms ago',
        _predict_drain(backlog),
    )


def _predict_drain(backlog: Backlog) -> float:
    """Return when there is room that nothing waits for.

    Work that arrives until then takes its share of the room.
    """
    wait_ms = (backlog.drained_at - backlog.measured_at) * backlog.correction
    return backlog.measured_at + wait_ms / backlog.late_share


@JUDGES.register('tenant-share')
def judge_tenant_share(
    state: DispatchState, backlog: Backlog, work: WaitingWork
) -> Verdict | None:
    """Judge a job by what its tenant has waiting and is entitled to.

    A tenant that alone waits for room is entitled to all of it.
    """
    if not backlog.is_contended:
        return None
    tenant = work.tenant
    waiting = find_tenant_work_ahead(backlog, work)
    others = [name for name in backlog.tenant_work if name != tenant]
    if not tenant or not waiting or not others:
        return None
    share = find_weight_share(state, tenant, others)
    wait_ms = waiting * backlog.correction / (share * max(1, backlog.capacity))
    if not _is_too_late(work, state.now, state.now + wait_ms):
        return None
    return Verdict(
        'tenant-share',
        f'tenant {tenant!r} has work waiting for {wait_ms:.0f} ms of its '
        f'share of {share:.0%}',
        state.now + wait_ms,
    )


@JUDGES.register('tenant-cap')
def judge_tenant_cap(
    state: DispatchState, backlog: Backlog, work: WaitingWork
) -> Verdict | None:
    """Judge a job by what waits behind its tenant's cap.

    A cap binds however much room the pool has.
    """
    tenant = state.routing_table.find_tenant(work.tenant)
    if tenant is None or not tenant.has_cap:
        return None
    cap = getattr(tenant.cap, backlog.resource)
    usage = getattr(state.get_tenant_usage(tenant.name), backlog.resource)
    if not cap or usage < cap * CAP_REACHED_SHARE:
        return None
    wait_ms = find_tenant_work_ahead(backlog, work) * backlog.correction / cap
    if not _is_too_late(work, state.now, state.now + wait_ms):
        return None
    return Verdict(
        'tenant-cap',
        f'tenant {tenant.name!r} is at its cap, with work waiting for '
        f'{wait_ms:.0f} ms',
        state.now + wait_ms,
    )


def find_weight_share(
    state: DispatchState, tenant: str, others: list[str]
) -> float:
    """Return a tenant's share of a pool among those with waiting work."""
    weights = [_find_weight(state, name) for name in others]
    weight = _find_weight(state, tenant)
    total = weight + sum(weights)
    return weight / total if total > 0 else 1.0


def _find_weight(state: DispatchState, name: str) -> float:
    tenant = state.routing_table.find_tenant(name)
    return max(MIN_WEIGHT, tenant.weight) if tenant is not None else 1.0


def _is_too_late(work: WaitingWork, now: int, start: float) -> bool:
    wait_ms = start - now
    if now + wait_ms * (1 - ERROR_SHARE) > work.last_start:
        return True
    return now + wait_ms * (1 - LATE_MARGIN) > work.latest_start


def _format_wait(state: DispatchState, start: float) -> str:
    return 'no known time' if start == inf else f'{start - state.now:.0f} ms'


def _refuse(
    state: DispatchState,
    job_id: str,
    queue: Queue,
    work: WaitingWork,
    verdict: Verdict,
) -> Refusal:
    """Promise the time from which on there is room, unless that was done."""
    promise = state.promises.get(job_id)
    if promise is None:
        promise = Promise(
            _choose_return(state, queue.pool, work, verdict),
            state.now,
            queue.pool,
            state.backlogs[queue.pool].resource,
            work,
        )
        keep_promise(state, job_id, promise)
    retry_after_ms = promise.at - state.now
    return Refusal(
        RefusalKind.OVERLOADED,
        verdict.reason,
        f'send the request again after {retry_after_ms} ms',
        retry_after_ms,
        verdict.cause,
    )


def _choose_return(
    state: DispatchState, pool: str, work: WaitingWork, verdict: Verdict
) -> int:
    """Return when a caller is to come back, and reserve room for it.

    Callers come back one after the other, at the rate at which the pool does
    their work.
    """
    backlog = state.backlogs[pool]
    capacity = max(1, backlog.capacity)
    takes_ms = work.work / (capacity * RETURN_SHARE)
    earliest = max(
        verdict.return_at,
        state.promised_until.get(pool, 0),
        state.now + MIN_RETURN_MS,
    )
    latest = state.now + MAX_RETURN_MS
    state.promised_until[pool] = int(min(earliest + takes_ms, latest))
    return int(min(earliest, latest))
