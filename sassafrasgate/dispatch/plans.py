"""What one pass works with: usable workers, free room and holds."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.advice import is_ticket_valid
from sassafrasgate.dispatch.health import find_run_allowance
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.dispatch.state import RunEntry
from sassafrasgate.dispatch.state import StepAdvice
from sassafrasgate.dispatch.state import WorkerEntry
from sassafrasgate.dispatch.stragglers import is_paused

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.core.workflows import Step

NO_ADVICE = StepAdvice()
# A run with less progress than this says little about its speed.
MIN_PERCENT = 10
# A run past its expected end is expected to take this share of it more.
OVERDUE_SHARE = 0.25
# A long-running task ends when its job is cancelled.
UNBOUNDED_MS = 10**9
# Time on another rack than the one that holds the data, as a factor.
REMOTE_RACK_FACTOR = 1.5


@dataclass(slots=True)
class GangReservation:
    """Room on a worker that a gang is to get.

    Parameters
    ----------
    start_at : int
        Owner's clock when the gang is expected to start.
    spare : Resources
        What the gang leaves free at that time.
    """

    start_at: int
    spare: Resources


@dataclass(slots=True)
class PassPlan:
    """What one pass works with.

    Parameters
    ----------
    usable : dict
        Workers that may get new runs, by pool and id.
    allowances : dict
        Most further runs of workers in probation.
    max_free, total_free : dict
        The most that is free on one usable worker of a pool, and on all of
        them, when the pass began. Nothing that exceeds them can be placed.
    """

    usable: dict[str, dict[str, WorkerEntry]]
    allowances: dict[str, int]
    max_free: dict[str, Resources]
    total_free: dict[str, Resources]
    reservations: dict[str, GangReservation] = field(default_factory=dict)
    reserved_gangs: int = 0
    run_ends: dict[str, list[tuple[int, Resources]]] = field(
        default_factory=dict
    )


def make_plan(state: DispatchState) -> PassPlan:
    """Return the plan of a pass that begins now."""
    usable: dict[str, dict[str, WorkerEntry]] = {}
    allowances: dict[str, int] = {}
    for worker, entry in state.workers.items():
        if not _is_usable(state, entry):
            continue
        allowance = find_run_allowance(state, worker)
        if allowance == 0:
            continue
        if allowance is not None:
            allowances[worker] = allowance
        usable.setdefault(entry.registration.pool, {})[worker] = entry
    free_by_pool = {
        pool: [state.free_resources[worker] for worker in workers]
        for pool, workers in usable.items()
    }
    return PassPlan(
        usable,
        allowances,
        {
            pool: _combine_free(max, found)
            for pool, found in free_by_pool.items()
        },
        {
            pool: _combine_free(sum, found)
            for pool, found in free_by_pool.items()
        },
    )


def _combine_free(
    combine: Callable[[list[int]], int], amounts: list[Resources]
) -> Resources:
    """Combine free amounts by dimension; what is overdrawn counts as 0."""
    return Resources(
        combine([max(0, amount.millicores) for amount in amounts]),
        combine([max(0, amount.memory_mb) for amount in amounts]),
        combine([max(0, amount.accelerators) for amount in amounts]),
    )


def _is_usable(state: DispatchState, entry: WorkerEntry) -> bool:
    return (
        entry.epoch_acknowledged
        and entry.registered
        and entry.recorded
        and not entry.silent_since
        and not entry.unknown_runs
        and not entry.registration.leaving
        and entry.avoid_until <= state.now
        and not is_paused(state, entry.registration.worker)
    )


def match_workers(
    step: Step, workers: dict[str, WorkerEntry]
) -> dict[str, WorkerEntry]:
    """Return the workers with the label that a step asks for."""
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
    """Return the good workers with a valid ticket, and those without."""
    startable: list[WorkerEntry] = []
    unticketed: list[WorkerEntry] = []
    for name, ticket in advice.tickets.items():
        worker = workers.get(name)
        if worker is not None:
            valid = is_ticket_valid(ticket, worker.incarnation_ms, state.now)
            (startable if valid else unticketed).append(worker)
    return startable, unticketed


def list_unasked_workers(
    state: DispatchState, advice: StepAdvice, workers: dict[str, WorkerEntry]
) -> list[str]:
    """Return the workers that nothing was asked about, the freest first."""
    unknown = [name for name in workers if name not in advice.asked_workers]
    unknown.sort(key=lambda name: -state.free_resources[name].millicores)
    return unknown


def estimate_run_ms(step: Step, worker: WorkerEntry) -> int:
    """Return how long a run of a step is expected to take on a worker."""
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
    """Tell whether a run leaves a gang the room that is held for it."""
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
    """Count a run that is placed by the plan."""
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
    """Return the owner's clock at which a run is expected to end."""
    if run.step in state.steps and state.find_step(run.step).long_running:
        return state.now + UNBOUNDED_MS
    elapsed = state.now - run.started_at
    if run.percent >= MIN_PERCENT:
        worked = max(1, run.percent_at - run.started_at)
        return run.started_at + worked * 100 // run.percent
    if elapsed < run.expected_ms:
        return run.started_at + run.expected_ms
    return state.now + int(run.expected_ms * OVERDUE_SHARE)


def list_run_ends(
    state: DispatchState, plan: PassPlan, worker: str
) -> list[tuple[int, Resources]]:
    """Return when runs on a worker are expected to end, and what they free."""
    if worker not in plan.run_ends:
        plan.run_ends[worker] = sorted(
            (
                (max(state.now, estimate_run_end(state, run)), run.demand)
                for run in state.list_runs_on(worker)
            ),
            key=lambda end: end[0],
        )
    return plan.run_ends[worker]
