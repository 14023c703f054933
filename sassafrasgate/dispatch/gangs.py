"""Placement of gangs: all members start at once, or capacity is reserved."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.adoptions import compute_reservation
from sassafrasgate.dispatch.advice import estimate_call_ms
from sassafrasgate.dispatch.advice import may_request_advice
from sassafrasgate.dispatch.advice import request_advice
from sassafrasgate.dispatch.caps import allows_start
from sassafrasgate.dispatch.entries import GangLook
from sassafrasgate.dispatch.launches import start_run
from sassafrasgate.dispatch.pass_plans import GangReservation
from sassafrasgate.dispatch.pass_plans import PassPlan
from sassafrasgate.dispatch.plans import estimate_run_ms
from sassafrasgate.dispatch.plans import find_total_free
from sassafrasgate.dispatch.plans import list_restarted_workers
from sassafrasgate.dispatch.plans import list_run_ends
from sassafrasgate.dispatch.plans import list_unasked_workers
from sassafrasgate.dispatch.plans import NO_ADVICE
from sassafrasgate.dispatch.plans import record_planned_run
from sassafrasgate.dispatch.plans import respects_reservation
from sassafrasgate.dispatch.plans import split_admitted_workers
from sassafrasgate.dispatch.recovery import find_next_run

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from sassafrasgate.core.routing import AdviceTiming
    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.entries import StepAdvice
    from sassafrasgate.dispatch.entries import WorkerEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

# Number of gangs that may have capacity reserved at once. More reservations
# would keep too much capacity idle.
MAX_GANG_RESERVATIONS = 4
# No capacity is reserved for a gang that can only start later than this.
RESERVATION_HORIZON_MS = 8_000
# A gang that does not fit is looked at again after this time, or once there is
# room for it or its advice has changed.
LOOK_INTERVAL_MS = 50
# A ticket is renewed unless it outlasts the call for the other tickets by this
# time.
TICKET_RENEWAL_MARGIN_MS = 250
# A renewal asks about one spare worker for every three that the gang needs.
GANG_WORKERS_PER_SPARE = 3


def place_gang(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    step: Step,
    queue: Queue,
    workers: dict[str, WorkerEntry],
) -> Actions:
    """Start all members of a gang, or reserve capacity for them.

    Parameters
    ----------
    workers : dict
        Workers with the label that the step requires.
    """
    if key in state.runs_by_step:
        # Members of a previous run may still be present.
        return
    job = state.jobs[key.job_id]
    if not allows_start(state, plan.caps, job, step):
        # Neither is capacity reserved, which others can use meanwhile.
        return
    advice = state.advice.get(key, NO_ADVICE)
    if queue.advice is not None and advice is NO_ADVICE:
        names = list_unasked_workers(state, plan, queue.pool, advice, workers)
        yield from request_advice(state, key, queue.advice, names)
        return
    if not job.durable:
        # No capacity is reserved either, as for single tasks.
        return
    demand = compute_reservation(step)
    admissible: Iterable[str] = workers
    if queue.advice is not None:
        admissible = advice.tickets
    has_room = _has_room(state, step, demand, admissible, workers)
    look = state.gang_looks.get(key)
    if look is not None and not _is_look_due(state, look, advice, has_room):
        _repeat_reservation(state, plan, demand, look, workers)
        return
    startable: list[WorkerEntry] = list(workers.values())
    unticketed: list[WorkerEntry] = []
    if queue.advice is not None:
        startable, unticketed = split_admitted_workers(state, advice, workers)
    chosen: dict[str, int] = {}
    admitted = [*startable, *unticketed]
    total_free = find_total_free(state, plan, queue.pool)
    if demand.scale(step.tasks).fits_in(total_free):
        avoided = state.steps[key].moves.workers
        preferred = [
            worker
            for worker in startable
            if worker.registration.worker not in avoided
        ]
        chosen = _assign_gang(state, plan, step, demand, preferred)
        if not chosen and avoided:
            chosen = _assign_gang(state, plan, step, demand, startable)
        if chosen:
            yield from _start_gang(state, plan, key, step, job, chosen, demand)
            return
        chosen = _assign_gang(state, plan, step, demand, admitted)
    at = state.now
    if not chosen:
        at, chosen = _find_earliest_start(state, plan, step, demand, admitted)
    state.gang_looks[key] = GangLook(
        advice, has_room, state.now + LOOK_INTERVAL_MS, at, chosen
    )
    if not chosen:
        # The gang cannot fit on the admitted workers, but others may be
        # admitted too.
        if queue.advice is not None and may_request_advice(state, key):
            names = list_unasked_workers(
                state, plan, queue.pool, advice, workers
            )
            names += list_restarted_workers(advice, workers)
            yield from request_advice(state, key, queue.advice, names)
        return
    _reserve_capacity(state, plan, demand, chosen, at)
    if queue.advice is None or not may_request_advice(state, key):
        return
    names = _list_renewals(state, key, queue.advice, chosen, admitted)
    call_ms = estimate_call_ms(queue.advice, len(names))
    if names and at - state.now <= call_ms:
        yield from request_advice(state, key, queue.advice, names)


def _has_room(
    state: DispatchState,
    step: Step,
    demand: Resources,
    names: Iterable[str],
    workers: dict[str, WorkerEntry],
) -> bool:
    """Return whether a gang fits into what is free on some workers.

    Parameters
    ----------
    names : iterable of str
        The workers; those that are not usable are left out.
    """
    missing = step.tasks
    for name in names:
        free = state.free_resources[name] if name in workers else NO_RESOURCES
        if free.millicores < demand.millicores:
            continue
        missing -= _count_slots(
            free, demand, step.max_per_worker or step.tasks
        )
        if missing <= 0:
            return True
    return False


def _is_look_due(
    state: DispatchState, look: GangLook, advice: StepAdvice, has_room: bool
) -> bool:
    """Return whether a gang may be able to start since the latest look."""
    return (
        advice is not look.advice
        or state.now >= look.next_at
        or (has_room and not look.had_room)
    )


def _repeat_reservation(
    state: DispatchState,
    plan: PassPlan,
    demand: Resources,
    look: GangLook,
    workers: dict[str, WorkerEntry],
) -> None:
    """Reserve what the latest look at a gang has reserved for it."""
    chosen = {
        name: count for name, count in look.chosen.items() if name in workers
    }
    if chosen:
        _reserve_capacity(state, plan, demand, chosen, look.start_at)


def _list_renewals(
    state: DispatchState,
    key: StepKey,
    timing: AdviceTiming,
    chosen: dict[str, int],
    admitted: list[WorkerEntry],
) -> list[str]:
    """Return the workers for which a gang needs new tickets.

    All tickets of a gang have to be valid at the same time, so a call also
    renews those that would expire before its reply. It asks about a few
    spare workers in case other runs take capacity of the chosen ones in the
    meantime.
    """
    tickets = state.advice[key].tickets
    needed_until = (
        state.now
        + estimate_call_ms(timing, len(chosen))
        + TICKET_RENEWAL_MARGIN_MS
    )
    expired = [
        name
        for name in chosen
        if tickets[name].expires_at <= needed_until
        or tickets[name].incarnation_ms != state.workers[name].incarnation_ms
    ]
    if not expired:
        return []
    spare = [
        worker.registration.worker
        for worker in admitted
        if worker.registration.worker not in chosen
    ]
    spare.sort(key=lambda name: -state.free_resources[name].millicores)
    return sorted(expired) + spare[: 1 + len(chosen) // GANG_WORKERS_PER_SPARE]


def _count_slots(
    available: Resources, demand: Resources, max_slots: int
) -> int:
    """Return how many times a demand fits into the available resources."""
    slots = max_slots
    if demand.millicores:
        slots = min(slots, available.millicores // demand.millicores)
    if demand.memory_mb:
        slots = min(slots, available.memory_mb // demand.memory_mb)
    if demand.accelerators:
        slots = min(slots, available.accelerators // demand.accelerators)
    return max(0, slots)


def _assign_gang(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    demand: Resources,
    workers: list[WorkerEntry],
) -> dict[str, int]:
    """Return the number of tasks by worker if the whole gang fits now.

    The result is empty if it does not fit.
    """
    slots: dict[str, int] = {}
    racks: dict[str, str] = {}
    for worker in workers:
        name = worker.registration.worker
        available = state.free_resources[name]
        if not respects_reservation(state, plan, step, worker, demand):
            continue
        reservation = plan.reservations.get(name)
        if reservation is not None and (
            state.now + estimate_run_ms(step, worker) > reservation.start_at
        ):
            available = available.take_minimum(reservation.spare)
        max_slots = plan.allowances.get(name, step.tasks)
        max_slots = min(max_slots, step.max_per_worker or step.tasks)
        count = _count_slots(available, demand, max_slots)
        if count:
            slots[name] = count
            racks[name] = worker.registration.rack
    return _distribute_gang(slots, racks, step)


def _distribute_gang(
    slots: dict[str, int], racks: dict[str, str], step: Step
) -> dict[str, int]:
    """Distribute a gang over workers with free slots.

    A gang that asks for it is placed on one rack if it fits on one.
    """
    if sum(slots.values()) < step.tasks:
        return {}
    if step.same_rack:
        for rack in sorted(set(racks.values())):
            inside = {
                name: count
                for name, count in slots.items()
                if racks[name] == rack
            }
            if sum(inside.values()) >= step.tasks:
                slots = inside
                break
    chosen: dict[str, int] = {}
    left = step.tasks
    for name in sorted(slots, key=lambda name: (-slots[name], name)):
        chosen[name] = min(left, slots[name])
        left -= chosen[name]
        if not left:
            break
    return chosen


def _start_gang(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    step: Step,
    job: JobEntry,
    chosen: dict[str, int],
    demand: Resources,
) -> Actions:
    state.gang_looks.pop(key, None)
    number = find_next_run(state, key)
    indexes = iter(range(step.tasks))
    for name, count in chosen.items():
        worker = state.workers[name]
        for _ in range(count):
            record_planned_run(state, plan, step, worker, demand)
            yield from start_run(
                state, key, step, job, worker, next(indexes), number, demand
            )


def _find_earliest_start(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    demand: Resources,
    workers: list[WorkerEntry],
) -> tuple[int, dict[str, int]]:
    """Return when and where a gang is expected to fit.

    Returns
    -------
    int
        Owner's clock, in ms.
    dict
        Number of tasks by worker; empty if the gang is not expected to fit
        within the horizon.
    """
    if plan.reserved_gangs >= MAX_GANG_RESERVATIONS:
        return 0, {}
    free: dict[str, Resources] = {}
    slots: dict[str, int] = {}
    racks: dict[str, str] = {}
    for worker in workers:
        name = worker.registration.worker
        if name in plan.reservations:
            continue
        free[name] = state.free_resources[name]
        slots[name] = _count_slots(free[name], demand, step.tasks)
        racks[name] = worker.registration.rack
    total = sum(slots.values())
    for at, name, freed in _merge_run_ends(state, plan, free):
        if total >= step.tasks or at > state.now + RESERVATION_HORIZON_MS:
            break
        free[name] = free[name] + freed
        count = _count_slots(free[name], demand, step.tasks)
        total += count - slots[name]
        slots[name] = count
        if total >= step.tasks:
            return at, _distribute_gang(slots, racks, step)
    return 0, {}


def _merge_run_ends(
    state: DispatchState, plan: PassPlan, free: dict[str, Resources]
) -> Iterator[tuple[int, str, Resources]]:
    ends = [
        (at, name, demand)
        for name in free
        for at, demand in list_run_ends(state, plan, name)
    ]
    ends.sort(key=lambda end: end[:2])
    return iter(ends)


def _reserve_capacity(
    state: DispatchState,
    plan: PassPlan,
    demand: Resources,
    chosen: dict[str, int],
    at: int,
) -> None:
    plan.reserved_gangs += 1
    for name, count in chosen.items():
        available = state.free_resources[name]
        for end, freed in list_run_ends(state, plan, name):
            if end <= at:
                available = available + freed
        previous = plan.reservations.get(name)
        if previous is not None:
            available = available.take_minimum(previous.spare)
            at = max(at, previous.start_at)
        spare = available - demand.scale(count)
        plan.reservations[name] = GangReservation(
            at, spare.take_maximum(NO_RESOURCES)
        )
