"""Plan of a scheduling pass: usable workers, free capacity, reservations."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.advice import is_ticket_valid
from sassafrasgate.dispatch.entries import RunEntry
from sassafrasgate.dispatch.entries import StepAdvice
from sassafrasgate.dispatch.entries import WorkerEntry
from sassafrasgate.dispatch.health import find_run_allowance
from sassafrasgate.dispatch.moves import is_paused_as_slow
from sassafrasgate.dispatch.pass_plans import PassPlan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.state import DispatchState

NO_ADVICE = StepAdvice()
_GET_MILLICORES = attrgetter('millicores')
_GET_MEMORY = attrgetter('memory_mb')
_GET_ACCELERATORS = attrgetter('accelerators')
# Progress below this percentage says little about the speed of a run.
MIN_PROGRESS_PERCENT = 10
# A run past its expected end is assumed to need this fraction of its expected
# duration in addition.
OVERDUE_SHARE = 0.25
# A long-running task only ends when its job is cancelled.
UNBOUNDED_MS = 10**9
# Factor on the duration of a task on another rack than the one with its data.
REMOTE_RACK_FACTOR = 1.5


def make_plan(state: DispatchState) -> PassPlan:
    """Return the plan for a scheduling pass that begins now."""
    usable, paused = _list_usable_workers(state)
    allowances: dict[str, int] = {}
    for worker in state.health:
        allowance = find_run_allowance(state, worker)
        if allowance is None:
            continue
        allowances[worker] = allowance
        if allowance == 0:
            for workers in (*usable.values(), *paused.values()):
                workers.pop(worker, None)
    return PassPlan(
        usable,
        paused,
        allowances,
        {
            pool: _find_max_free(state, workers | paused.get(pool, {}))
            for pool, workers in usable.items()
        },
    )


def refresh_plan(state: DispatchState, plan: PassPlan) -> None:
    """Update the workers of a plan whose pass goes on now.

    What is reserved in the pass, and what it has found about caps, stays.
    """
    current = make_plan(state)
    plan.usable = current.usable
    plan.paused = current.paused
    plan.allowances = current.allowances
    plan.max_free = current.max_free
    plan.total_free.clear()
    plan.run_ends.clear()
    plan.caps.unseen = None


def _list_usable_workers(
    state: DispatchState,
) -> tuple[
    dict[str, dict[str, WorkerEntry]], dict[str, dict[str, WorkerEntry]]
]:
    """Return the workers that may get runs but for their health, by pool.

    Those that are paused as slow are returned apart. Each pass looks at every
    worker, so that the checks are in one place without a call for each of
    them.
    """
    usable: dict[str, dict[str, WorkerEntry]] = {}
    paused: dict[str, dict[str, WorkerEntry]] = {}
    slow = {
        name for name in state.slow_workers if is_paused_as_slow(state, name)
    }
    now = state.now
    for worker, entry in state.workers.items():
        registration = entry.registration
        if (
            entry.silent_since
            or registration.leaving
            or not entry.registered
            or not entry.epoch_acknowledged
            or not entry.recorded
            or entry.unknown_runs
            or entry.avoid_until > now
            or registration.incarnation_ms != entry.incarnation_ms
            and not entry.is_described
        ):
            continue
        workers = usable.get(registration.pool)
        if workers is None:
            workers = usable[registration.pool] = {}
        if worker in slow:
            paused.setdefault(registration.pool, {})[worker] = entry
            continue
        workers[worker] = entry
    return usable, paused


def _find_max_free(
    state: DispatchState, workers: dict[str, WorkerEntry]
) -> Resources:
    free = [state.free_resources[worker] for worker in workers]
    return Resources(
        max(map(_GET_MILLICORES, free), default=0),
        max(map(_GET_MEMORY, free), default=0),
        max(map(_GET_ACCELERATORS, free), default=0),
    ).take_maximum(NO_RESOURCES)


def find_total_free(
    state: DispatchState, plan: PassPlan, pool: str
) -> Resources:
    """Return the free amount of each resource on a pool's usable workers.

    A gang that needs more cannot start now. The sum is computed at the first
    gang of a pass; later starts of the pass are not subtracted.
    """
    total = plan.total_free.get(pool)
    if total is None:
        workers = plan.usable[pool] | plan.paused.get(pool, {})
        free = [state.free_resources[worker] for worker in workers]
        total = plan.total_free[pool] = Resources(
            _add_positive(map(_GET_MILLICORES, free)),
            _add_positive(map(_GET_MEMORY, free)),
            _add_positive(map(_GET_ACCELERATORS, free)),
        )
    return total


def sum_capacity(plan: PassPlan, pool: str) -> Resources:
    """Return the capacity of a pool's usable workers.

    The sum is computed at the first use in a pass.
    """
    total = plan.capacity.get(pool)
    if total is None:
        workers = [
            *plan.usable.get(pool, {}).values(),
            *plan.paused.get(pool, {}).values(),
        ]
        capacities = [worker.registration.capacity for worker in workers]
        total = plan.capacity[pool] = Resources(
            sum(map(_GET_MILLICORES, capacities)),
            sum(map(_GET_MEMORY, capacities)),
            sum(map(_GET_ACCELERATORS, capacities)),
        )
    return total


def _add_positive(amounts: Iterable[int]) -> int:
    return sum(amount for amount in amounts if amount > 0)


def match_workers(
    step: Step, plan: PassPlan, pool: str
) -> dict[str, WorkerEntry]:
    """Return the usable workers with the label that a step requires.

    If all of them are paused as slow, a run there is still better than none.
    """
    matching = select_labelled(step, plan.usable[pool])
    if matching or pool not in plan.paused:
        return matching
    return select_labelled(step, plan.paused[pool])


def select_labelled(
    step: Step, workers: dict[str, WorkerEntry]
) -> dict[str, WorkerEntry]:
    """Return those of some workers that have the label a step requires."""
    if not step.label:
        return workers
    return {
        name: worker
        for name, worker in workers.items()
        if step.label in worker.registration.labels
    }


def split_admitted_workers(
    state: DispatchState, advice: StepAdvice, workers: dict[str, WorkerEntry]
) -> tuple[list[WorkerEntry], list[WorkerEntry]]:
    """Return the admitted workers with a valid ticket, and those without."""
    startable: list[WorkerEntry] = []
    unticketed: list[WorkerEntry] = []
    for name, ticket in advice.tickets.items():
        worker = workers.get(name)
        if worker is not None:
            valid = is_ticket_valid(ticket, worker.incarnation_ms, state.now)
            (startable if valid else unticketed).append(worker)
    return startable, unticketed


def list_by_free(state: DispatchState, plan: PassPlan, pool: str) -> list[str]:
    """Return a pool's usable workers, those with the most free cores first.

    The order is computed at the first use in a pass; later starts of the pass
    don't change it.
    """
    names = plan.by_free.get(pool)
    if names is None:
        names = plan.by_free[pool] = sorted(
            plan.usable[pool] | plan.paused.get(pool, {}),
            key=lambda name: -state.free_resources[name].millicores,
        )
    return names


def list_unasked_workers(
    state: DispatchState,
    plan: PassPlan,
    pool: str,
    advice: StepAdvice,
    workers: dict[str, WorkerEntry],
) -> list[str]:
    """Return the workers that the advice service was not asked about.

    Those with the most free processor capacity come first.
    """
    asked = advice.asked_incarnations
    return [
        name
        for name in list_by_free(state, plan, pool)
        if name in workers and name not in asked
    ]


def list_restarted_workers(
    advice: StepAdvice, workers: dict[str, WorkerEntry]
) -> list[str]:
    """Return workers without a ticket that have restarted since the call.

    The service may have left them out because they were away.
    """
    return [
        name
        for name, incarnation_ms in advice.asked_incarnations.items()
        if name in workers
        and name not in advice.tickets
        and workers[name].incarnation_ms != incarnation_ms
    ]


def estimate_run_ms(step: Step, worker: WorkerEntry) -> int:
    """Return the expected duration of a run of a step on a worker, in ms."""
    if step.rack and worker.registration.rack != step.rack:
        return int(step.estimate_ms * REMOTE_RACK_FACTOR)
    return step.estimate_ms


def respects_reservation(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    worker: WorkerEntry,
    demand: Resources,
) -> bool:
    """Return whether a run leaves the capacity reserved for a gang free."""
    reservation = plan.reservations.get(worker.registration.worker)
    if reservation is None:
        return True
    if state.now + estimate_run_ms(step, worker) <= reservation.start_at:
        return True
    return demand.fits_in(reservation.spare)


def record_planned_run(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    worker: WorkerEntry,
    demand: Resources,
) -> None:
    """Update the plan for a run that is about to start."""
    plan.starts_left -= 1
    name = worker.registration.worker
    if name in plan.allowances:
        plan.allowances[name] -= 1
    plan.run_ends.pop(name, None)
    reservation = plan.reservations.get(name)
    if (
        reservation is None
        or state.now + estimate_run_ms(step, worker) <= reservation.start_at
    ):
        return
    reservation.spare = reservation.spare - demand


def estimate_run_end(state: DispatchState, run: RunEntry) -> int:
    """Return the owner's clock, in ms, when a run is expected to end."""
    if run.step in state.steps and state.find_step(run.step).long_running:
        return state.now + UNBOUNDED_MS
    elapsed = state.now - run.started_at
    if run.percent >= MIN_PROGRESS_PERCENT:
        worked = max(1, run.percent_at - run.started_at)
        return run.started_at + worked * 100 // run.percent
    if elapsed < run.expected_ms:
        return run.started_at + run.expected_ms
    return state.now + int(run.expected_ms * OVERDUE_SHARE)


def list_run_ends(
    state: DispatchState, plan: PassPlan, worker: str
) -> list[tuple[int, Resources]]:
    """Return the expected ends of runs on a worker, and what they release."""
    if worker not in plan.run_ends:
        plan.run_ends[worker] = sorted(
            (
                (max(state.now, estimate_run_end(state, run)), run.demand)
                for run in state.list_runs_on(worker)
            ),
            key=lambda end: end[0],
        )
    return plan.run_ends[worker]
