"""Placement of gangs: all members at once, or room held for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.advice import ask_advice
from sassafrasgate.dispatch.advice import may_ask
from sassafrasgate.dispatch.advice import measure_call
from sassafrasgate.dispatch.launches import start_run
from sassafrasgate.dispatch.plans import charge_plan
from sassafrasgate.dispatch.plans import expect_ms
from sassafrasgate.dispatch.plans import Hold
from sassafrasgate.dispatch.plans import list_admitted
from sassafrasgate.dispatch.plans import list_ends
from sassafrasgate.dispatch.plans import list_unknown
from sassafrasgate.dispatch.plans import match_workers
from sassafrasgate.dispatch.plans import NO_ADVICE
from sassafrasgate.dispatch.plans import PassPlan
from sassafrasgate.dispatch.plans import respects_hold
from sassafrasgate.dispatch.recovery import find_next_run
from sassafrasgate.dispatch.reports import reserve_demand

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrasgate.core.routing import AdviceTiming
    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.dispatch.state import JobEntry
    from sassafrasgate.dispatch.state import StepKey
    from sassafrasgate.dispatch.state import WorkerEntry

# Gangs that may hold room at once; more would keep too much of it idle.
MOST_HOLDS = 4
# Room that a gang can only have later than this is not held for it.
HOLD_HORIZON_MS = 8_000
# A ticket must outlast the call for others by this time.
RENEWAL_MARGIN_MS = 250
# One further worker is named for so many that a gang needs.
SPARE_SHARE = 3


def place_gang(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    step: Step,
    terms: Queue,
    workers: dict[str, WorkerEntry],
) -> Actions:
    """Start a gang whole, or hold room for it."""
    if key in state.runs_of:
        # Members of an earlier run are present and have to be gone first.
        return
    workers = match_workers(step, workers)
    advice = state.advice.get(key, NO_ADVICE)
    if terms.advice is not None and advice is NO_ADVICE:
        names = list_unknown(state, advice, workers)
        yield from ask_advice(state, key, terms.advice, names)
        return
    job = state.jobs[key.job_id]
    if not job.durable:
        # As for single tasks; no room is held either.
        return
    live: list[WorkerEntry] = list(workers.values())
    good: list[WorkerEntry] = []
    if terms.advice is not None:
        live, good = list_admitted(state, advice, workers)
    demand = reserve_demand(step)
    chosen: dict[str, int] = {}
    admitted = [*live, *good]
    if demand.scale(step.tasks).fits_in(plan.total[terms.pool]):
        chosen = _assign_gang(state, plan, step, demand, live)
        if chosen:
            yield from _start_gang(state, plan, key, step, job, chosen, demand)
            return
        chosen = _assign_gang(state, plan, step, demand, admitted)
    at = state.now
    if not chosen:
        at, chosen = _find_start(state, plan, step, demand, admitted)
    if not chosen:
        # The known good workers can never hold it; others may be good.
        if terms.advice is not None and may_ask(state, key):
            names = list_unknown(state, advice, workers)
            yield from ask_advice(state, key, terms.advice, names)
        return
    _hold_room(state, plan, demand, chosen, at)
    if terms.advice is None or not may_ask(state, key):
        return
    names = _list_renewals(state, key, terms.advice, chosen, admitted)
    call_ms = measure_call(terms.advice, len(names))
    if names and at - state.now <= call_ms:
        yield from ask_advice(state, key, terms.advice, names)


def _list_renewals(
    state: DispatchState,
    key: StepKey,
    terms: AdviceTiming,
    chosen: dict[str, int],
    admitted: list[WorkerEntry],
) -> list[str]:
    """Return the workers that a gang needs new tickets of.

    All of its tickets have to be valid at one moment, so those that expire
    before the answer are renewed with it. A few more workers are named in
    case others take room of the chosen ones meanwhile.
    """
    tickets = state.advice[key].tickets
    answered_at = state.now + measure_call(terms, len(chosen))
    expired = [
        name
        for name in chosen
        if tickets[name].expires_at <= answered_at + RENEWAL_MARGIN_MS
    ]
    if not expired:
        return []
    spare = [
        worker.registration.worker
        for worker in admitted
        if worker.registration.worker not in chosen
    ]
    spare.sort(key=lambda name: -state.free[name].millicores)
    return sorted(expired) + spare[: 1 + len(chosen) // SPARE_SHARE]


def _count_slots(room: Resources, demand: Resources, most: int) -> int:
    """Return how many times a demand fits into a room."""
    slots = most
    if demand.millicores:
        slots = min(slots, room.millicores // demand.millicores)
    if demand.memory_mb:
        slots = min(slots, room.memory_mb // demand.memory_mb)
    if demand.accelerators:
        slots = min(slots, room.accelerators // demand.accelerators)
    return max(0, slots)


def _assign_gang(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    demand: Resources,
    workers: list[WorkerEntry],
) -> dict[str, int]:
    """Return tasks by worker if the whole gang fits now, else nothing."""
    slots: dict[str, int] = {}
    racks: dict[str, str] = {}
    for worker in workers:
        name = worker.registration.worker
        room = state.free[name]
        if not respects_hold(state, plan, step, worker, demand):
            continue
        hold = plan.holds.get(name)
        if hold is not None and (
            state.now + expect_ms(step, worker) > hold.at
        ):
            room = room.take_minimum(hold.spare)
        most = plan.allowances.get(name, step.tasks)
        most = min(most, step.max_per_worker or step.tasks)
        count = _count_slots(room, demand, most)
        if count:
            slots[name] = count
            racks[name] = worker.registration.rack
    return _share_out(slots, racks, step)


def _share_out(
    slots: dict[str, int], racks: dict[str, str], step: Step
) -> dict[str, int]:
    """Divide a gang among workers with slots, on one rack if it should."""
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
    number = find_next_run(state, key)
    indexes = iter(range(step.tasks))
    for name, count in chosen.items():
        worker = state.workers[name]
        for _ in range(count):
            charge_plan(state, plan, step, worker, demand)
            yield from start_run(
                state, key, step, job, worker, next(indexes), number, demand
            )


def _find_start(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    demand: Resources,
    workers: list[WorkerEntry],
) -> tuple[int, dict[str, int]]:
    """Return when and where a gang is expected to fit; nothing if never."""
    if plan.holding >= MOST_HOLDS:
        return 0, {}
    rooms: dict[str, Resources] = {}
    slots: dict[str, int] = {}
    racks: dict[str, str] = {}
    for worker in workers:
        name = worker.registration.worker
        if name in plan.holds:
            continue
        rooms[name] = state.free[name]
        slots[name] = _count_slots(rooms[name], demand, step.tasks)
        racks[name] = worker.registration.rack
    total = sum(slots.values())
    for at, name, freed in _merge_ends(state, plan, rooms):
        if total >= step.tasks or at > state.now + HOLD_HORIZON_MS:
            break
        rooms[name] = rooms[name] + freed
        count = _count_slots(rooms[name], demand, step.tasks)
        total += count - slots[name]
        slots[name] = count
        if total >= step.tasks:
            return at, _share_out(slots, racks, step)
    return 0, {}


def _merge_ends(
    state: DispatchState, plan: PassPlan, rooms: dict[str, Resources]
) -> Iterator[tuple[int, str, Resources]]:
    ends = [
        (at, name, demand)
        for name in rooms
        for at, demand in list_ends(state, plan, name)
    ]
    ends.sort(key=lambda end: end[:2])
    return iter(ends)


def _hold_room(
    state: DispatchState,
    plan: PassPlan,
    demand: Resources,
    chosen: dict[str, int],
    at: int,
) -> None:
    plan.holding += 1
    for name, count in chosen.items():
        room = state.free[name]
        for end, freed in list_ends(state, plan, name):
            if end <= at:
                room = room + freed
        known = plan.holds.get(name)
        if known is not None:
            room = room.take_minimum(known.spare)
            at = max(at, known.at)
        spare = room - demand.scale(count)
        plan.holds[name] = Hold(at, spare.take_maximum(NO_RESOURCES))
