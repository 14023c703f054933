"""Measures the backlogs of all pools from the dispatcher's state."""

from __future__ import annotations

from dataclasses import replace
from operator import attrgetter
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.adoptions import compute_reservation
from sassafrasgate.dispatch.backlogs import Backlog
from sassafrasgate.dispatch.backlogs import build_backlog
from sassafrasgate.dispatch.backlogs import correct_prediction
from sassafrasgate.dispatch.backlogs import MIN_LATE_SHARE
from sassafrasgate.dispatch.backlogs import WaitingWork
from sassafrasgate.dispatch.ordering import compute_due_time
from sassafrasgate.dispatch.ordering import LATENESS_TOLERANCE
from sassafrasgate.dispatch.overloads import list_overloaded_pools
from sassafrasgate.dispatch.plans import estimate_run_end
from sassafrasgate.dispatch.plans import make_plan
from sassafrasgate.dispatch.promises import list_due_work

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.dispatch.entries import WorkerEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

MEASURE_INTERVAL_MS = 250
LOG_INTERVAL_MS = 1_000
# Time over which the share of work that arrives in time is averaged.
ARRIVAL_WINDOW_MS = 2_000
# Work that lasts longer releases no room that a prediction could count on.
HORIZON_MS = 60_000
RESOURCE_NAMES = ('millicores', 'memory_mb', 'accelerators')


def measure_backlogs(state: DispatchState) -> Actions:
    """Measure what waits in each pool, unless that was done just before."""
    if not state.is_overload_managed:
        state.backlogs.clear()
        return
    if state.now - state.backlogs_measured_at < MEASURE_INTERVAL_MS:
        return
    state.backlogs_measured_at = state.now
    if not state.waiting_steps:
        for pool, backlog in state.backlogs.items():
            state.backlogs[pool] = _make_calm(state, backlog)
        return
    plan = make_plan(state)
    waiting = _group_by_pool(state)
    overloaded = list_overloaded_pools(
        state,
        plan,
        [key for key in state.waiting_steps if not _is_deferred(state, key)],
    )
    for pool in state.backlogs.keys() - plan.usable.keys():
        del state.backlogs[pool]
    for pool, workers in plan.usable.items():
        state.backlogs[pool] = _measure_pool(
            state, pool, workers, waiting.get(pool, []), pool in overloaded
        )
    yield from _log_backlogs(state)


def _make_calm(state: DispatchState, backlog: Backlog) -> Backlog:
    """Return the backlog of a pool in which nothing waits."""
    return Backlog(state.now, correction=_learn_correction(state, backlog))


def _group_by_pool(state: DispatchState) -> dict[str, list[StepKey]]:
    groups: dict[str, list[StepKey]] = {}
    for key in state.waiting_steps:
        queue = state.find_queue_of(state.jobs[key.job_id])
        groups.setdefault(queue.pool, []).append(key)
    return groups


def _measure_pool(
    state: DispatchState,
    pool: str,
    workers: dict[str, WorkerEntry],
    keys: list[StepKey],
    by_work: bool,
) -> Backlog:
    previous = state.backlogs.get(pool, Backlog(state.now))
    deferred_keys = [key for key in keys if _is_deferred(state, key)]
    keys = [key for key in keys if not _is_deferred(state, key)]
    resource, capacity, free = _find_scarcest(state, workers, keys)
    waiting = [_describe_step(state, key, resource) for key in keys]
    waiting += list_due_work(state, pool, resource)
    late_share = _learn_late_share(state, previous)
    backlog = build_backlog(
        state.now,
        resource,
        capacity,
        free,
        _list_ends(state, workers, resource),
        waiting,
        late_share,
        any(_is_blocked(state, key) for key in keys),
        [_describe_step(state, key, resource) for key in deferred_keys],
        by_work,
    )
    expectations = dict(backlog.expectations)
    for key, expectation in previous.expectations.items():
        if key in expectations:
            expectations[key] = expectation
    return replace(
        backlog,
        correction=_learn_correction(state, previous),
        expectations=expectations,
    )


def _is_deferred(state: DispatchState, key: StepKey) -> bool:
    """Return whether a step takes no room from what its pool admits.

    Steps of a tenant at its cap wait for room under the cap, however much the
    pool has, and surplus waits behind what tenants are entitled to.
    """
    job = state.jobs[key.job_id]
    return job.surplus or job.tenant in state.capped_tenants


def _is_blocked(state: DispatchState, key: StepKey) -> bool:
    """Return whether only room is missing for the start of a step."""
    job = state.jobs[key.job_id]
    waited_ms = state.now - state.steps[key].ready_at
    if not job.durable or waited_ms < MEASURE_INTERVAL_MS:
        return False
    if state.find_queue_of(job).advice is None:
        return True
    return key in state.advice and bool(state.advice[key].tickets)


def _find_scarcest(
    state: DispatchState,
    workers: dict[str, WorkerEntry],
    keys: list[StepKey],
) -> tuple[str, int, int]:
    """Return the resource of which most is wanted, its amount, and the rest.

    Wanted is what is in use and what waits, as a share of the capacity.
    """
    capacity = _add_all(
        entry.registration.capacity for entry in workers.values()
    )
    free = _add_all(
        state.free_resources[name].take_maximum(NO_RESOURCES)
        for name in workers
    )
    demand = _add_all(
        compute_reservation(state.find_step(key)).scale(
            len(state.steps[key].pending_tasks)
        )
        for key in keys
    )

    def find_wanted_share(name: str) -> float:
        get = attrgetter(name)
        if not get(capacity):
            return 0.0
        wanted: int = get(capacity) - get(free) + get(demand)
        return float(wanted / get(capacity))

    scarcest = max(RESOURCE_NAMES, key=find_wanted_share)
    return scarcest, getattr(capacity, scarcest), getattr(free, scarcest)


def _add_all(amounts: Iterable[Resources]) -> Resources:
    millicores = memory_mb = accelerators = 0
    for amount in amounts:
        millicores += amount.millicores
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(millicores, memory_mb, accelerators)


def _describe_step(
    state: DispatchState, key: StepKey, resource: str
) -> WaitingWork:
    job = state.jobs[key.job_id]
    step = state.find_step(key)
    path_ms = job.critical_paths_ms[key.step]
    due_at = compute_due_time(job, key)
    latest_start = due_at - path_ms
    task_amount = getattr(compute_reservation(step), resource)
    if step.long_running:
        latest_start = state.now
    return WaitingWork(
        latest_start,
        latest_start + int(LATENESS_TOLERANCE * path_ms),
        job.value_ends_at - path_ms,
        state.find_queue_of(job).priority,
        due_at,
        task_amount * len(state.steps[key].pending_tasks),
        HORIZON_MS if step.long_running else step.estimate_ms,
        task_amount,
        key,
        job.tenant,
    )


def _list_ends(
    state: DispatchState, workers: dict[str, WorkerEntry], resource: str
) -> list[tuple[int, int]]:
    get = attrgetter(resource)
    horizon = state.now + HORIZON_MS
    ends = (
        (max(state.now, estimate_run_end(state, run)), get(run.demand))
        for run in state.runs.values()
        if run.worker in workers
    )
    return [end for end in ends if end[0] < horizon]


def _learn_late_share(state: DispatchState, previous: Backlog) -> float:
    """Return the share of the room that arriving work leaves to late work."""
    elapsed_ms = state.now - previous.measured_at
    if not elapsed_ms or not previous.capacity:
        return previous.late_share
    arrived = sum(work.work for work in previous.added)
    share = 1 - arrived / (previous.capacity * elapsed_ms)
    weight = min(1.0, elapsed_ms / ARRIVAL_WINDOW_MS)
    learned = previous.late_share + weight * (share - previous.late_share)
    return min(1.0, max(MIN_LATE_SHARE, learned))


def _learn_correction(state: DispatchState, previous: Backlog) -> float:
    """Compare the starts that were expected with those that happened."""
    correction = previous.correction
    for key, expected in previous.expectations.items():
        job = state.jobs.get(key.job_id)
        if job is None or job.state is WorkflowState.CANCELLED:
            continue
        if key in state.waiting_steps:
            continue
        correction = correct_prediction(
            correction,
            expected.start_at - expected.seen_at,
            state.now - expected.seen_at,
        )
    return correction


def _log_backlogs(state: DispatchState) -> Actions:
    """Log what waits in each contended pool, once a second."""
    if state.now - state.backlogs_logged_at < LOG_INTERVAL_MS:
        return
    for pool, backlog in state.backlogs.items():
        if not backlog.is_contended:
            continue
        state.backlogs_logged_at = state.now
        yield LogEvent(
            'backlog',
            '',
            (
                ('pool', pool),
                ('resource', backlog.resource),
                ('capacity', backlog.capacity),
                ('used_percent', round(backlog.used_share * 100)),
                ('timely_steps', len(backlog.starts)),
                ('late_steps', len(backlog.late_starts)),
                ('drained_ms', backlog.drained_at - state.now),
                ('late_percent', round(backlog.late_share * 100)),
                ('correction_percent', round(backlog.correction * 100)),
                ('promises', len(state.promises)),
            ),
        )
