"""The pass over waiting steps that places what there is room for."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NOTHING
from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.actions import Note
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.advice import ask_advice
from sassafrasgate.dispatch.advice import is_valid
from sassafrasgate.dispatch.advice import may_ask
from sassafrasgate.dispatch.advice import measure_call
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.health import find_allowance
from sassafrasgate.dispatch.ordering import find_slack
from sassafrasgate.dispatch.ordering import rank_step
from sassafrasgate.dispatch.recovery import find_next_run
from sassafrasgate.dispatch.reports import reserve_demand
from sassafrasgate.dispatch.sharing import choose_first_pace
from sassafrasgate.dispatch.speeds import is_paused
from sassafrasgate.dispatch.state import name_task
from sassafrasgate.dispatch.state import RunEntry
from sassafrasgate.dispatch.state import RunKey
from sassafrasgate.dispatch.state import StepAdvice
from sassafrasgate.dispatch.state import WorkerEntry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from sassafrasgate.core.routing import AdviceTerms
    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.dispatch.state import JobEntry
    from sassafrasgate.dispatch.state import StepKey

NO_ADVICE = StepAdvice()
# Gangs that may hold room at once; more would keep too much of it idle.
MOST_HOLDS = 4
# Room that a gang can only have later than this is not held for it.
HOLD_HORIZON_MS = 8_000
# A ticket must outlast the call for others by this time.
RENEWAL_MARGIN_MS = 250
# One further worker is named for so many that a gang needs.
SPARE_SHARE = 3
# A run with less progress than this says little about its speed.
LEAST_PERCENT = 10
# A run past its expected end is expected to take this share of it more.
OVERDUE_SHARE = 0.25
# A long-running task ends when its job is cancelled.
FOREVER_MS = 10**9
# Time on another rack than the one that holds the data, as a factor.
FAR_FACTOR = 1.5


@dataclass(slots=True)
class Hold:
    """Room on a worker that a gang is to get.

    Parameters
    ----------
    at : int
        Owner's clock when the gang is expected to start.
    spare : Resources
        What the gang leaves free at that time.
    """

    at: int
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
    most, total : dict
        The most that is free on one usable worker of a pool, and on all of
        them, when the pass began. Nothing that exceeds them can be placed.
    """

    usable: dict[str, dict[str, WorkerEntry]]
    allowances: dict[str, int]
    most: dict[str, Resources]
    total: dict[str, Resources]
    holds: dict[str, Hold] = field(default_factory=dict)
    holding: int = 0
    ends: dict[str, list[tuple[int, Resources]]] = field(default_factory=dict)


@EVENT_HANDLERS.register(PassDue)
def place_waiting(state: DispatchState, event: PassDue) -> Actions:
    """Go through the waiting steps in order and start what fits."""
    state.dirty = False
    if state.stopping or not state.waiting:
        return
    plan = _make_plan(state)
    for key in sorted(state.waiting, key=lambda key: rank_step(state, key)):
        job = state.jobs[key.job_id]
        if job.inherited and state.unsettled:
            continue
        terms = state.find_terms(job)
        workers = plan.usable.get(terms.pool)
        if not workers:
            continue
        step = state.find_step(key)
        if step.gang:
            yield from _place_gang(state, plan, key, step, terms, workers)
        else:
            yield from _place_tasks(state, plan, key, step, terms, workers)


def _make_plan(state: DispatchState) -> PassPlan:
    usable: dict[str, dict[str, WorkerEntry]] = {}
    allowances: dict[str, int] = {}
    for worker, entry in state.workers.items():
        if not _is_usable(state, entry):
            continue
        allowance = find_allowance(state, worker)
        if allowance == 0:
            continue
        if allowance is not None:
            allowances[worker] = allowance
        usable.setdefault(entry.registration.pool, {})[worker] = entry
    rooms = {
        pool: [state.free[worker] for worker in workers]
        for pool, workers in usable.items()
    }
    return PassPlan(
        usable,
        allowances,
        {pool: _combine(max, found) for pool, found in rooms.items()},
        {pool: _combine(sum, found) for pool, found in rooms.items()},
    )


def _combine(
    combine: Callable[[list[int]], int], rooms: list[Resources]
) -> Resources:
    """Combine free amounts by dimension; what is overdrawn counts as 0."""
    return Resources(
        combine([max(0, room.millicores) for room in rooms]),
        combine([max(0, room.memory_mb) for room in rooms]),
        combine([max(0, room.accelerators) for room in rooms]),
    )


def _is_usable(state: DispatchState, entry: WorkerEntry) -> bool:
    return (
        entry.fenced
        and entry.registered
        and entry.recorded
        and not entry.silent_since
        and not entry.foreign
        and not entry.registration.leaving
        and entry.avoid_until <= state.now
        and not is_paused(state, entry.registration.worker)
    )


def _match_workers(
    step: Step, workers: dict[str, WorkerEntry]
) -> dict[str, WorkerEntry]:
    if not step.label:
        return workers
    return {
        name: worker
        for name, worker in workers.items()
        if step.label in worker.registration.labels
    }


def _list_admitted(
    state: DispatchState, advice: StepAdvice, workers: dict[str, WorkerEntry]
) -> tuple[list[WorkerEntry], list[WorkerEntry]]:
    """Return the good workers with a valid ticket, and those without."""
    live: list[WorkerEntry] = []
    good: list[WorkerEntry] = []
    for name, ticket in advice.tickets.items():
        worker = workers.get(name)
        if worker is not None:
            valid = is_valid(ticket, worker.born_ms, state.now)
            (live if valid else good).append(worker)
    return live, good


def _list_unknown(
    state: DispatchState, advice: StepAdvice, workers: dict[str, WorkerEntry]
) -> list[str]:
    """Return the workers that nothing was asked about, the freest first."""
    unknown = [name for name in workers if name not in advice.asked]
    unknown.sort(key=lambda name: -state.free[name].millicores)
    return unknown


def _place_tasks(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    step: Step,
    terms: Queue,
    workers: dict[str, WorkerEntry],
) -> Actions:
    """Start as many tasks of a step as there is room for."""
    advice = state.advice.get(key, NO_ADVICE)
    demand = reserve_demand(step)
    if terms.advice is not None and advice is NO_ADVICE:
        workers = _match_workers(step, workers)
        names = _list_unknown(state, advice, workers)
        yield from ask_advice(state, key, terms.advice, names)
        return
    if not state.jobs[key.job_id].durable:
        # Tickets would lapse unused while the store is down.
        return
    if not demand.fits_in(plan.most[terms.pool]):
        return
    workers = _match_workers(step, workers)
    live: list[WorkerEntry] = list(workers.values())
    good: list[WorkerEntry] = []
    if terms.advice is not None:
        live, good = _list_admitted(state, advice, workers)
    job = state.jobs[key.job_id]
    yield from _start_tasks(state, plan, key, step, job, live)
    if terms.advice is None or not state.steps[key].pending:
        return
    if not may_ask(state, key):
        return
    names = [worker.registration.worker for worker in good]
    names += _list_unknown(state, advice, workers)
    with_room = [name for name in names if demand.fits_in(state.free[name])]
    yield from ask_advice(state, key, terms.advice, with_room)


def _start_tasks(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    step: Step,
    job: JobEntry,
    workers: list[WorkerEntry],
) -> Actions:
    demand = reserve_demand(step)
    open_workers = [
        worker
        for worker in workers
        if demand.fits_in(state.free[worker.registration.worker])
    ]
    if not open_workers:
        return
    on_worker = _count_on_workers(state, key) if step.max_per_worker else {}
    for index in sorted(state.steps[key].pending):
        task = state.find_task(name_task(key, index))
        best = _choose_worker(
            state, plan, step, demand, open_workers, on_worker, task.failed_on
        )
        if best is None:
            return
        name = best.registration.worker
        on_worker[name] = on_worker.get(name, 0) + 1
        _charge_plan(state, plan, step, best, demand)
        yield from _start_run(
            state, key, step, job, best, index, task.next_run, demand
        )


def _count_on_workers(state: DispatchState, key: StepKey) -> dict[str, int]:
    counts: dict[str, int] = {}
    for run in state.list_runs_of(key):
        counts[run.worker] = counts.get(run.worker, 0) + 1
    return counts


def _choose_worker(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    demand: Resources,
    workers: list[WorkerEntry],
    on_worker: dict[str, int],
    failed_on: tuple[str, ...],
) -> WorkerEntry | None:
    """Return the fullest worker that has room, near the data if possible.

    Filling tasks go where nothing serves, and tasks that serve where least
    works beside them.
    """
    best: WorkerEntry | None = None
    best_score: tuple[bool, bool, bool, int] | None = None
    for worker in workers:
        name = worker.registration.worker
        free = state.free[name]
        if not demand.fits_in(free):
            continue
        if plan.allowances.get(name, 1) <= 0:
            continue
        if step.max_per_worker and (
            on_worker.get(name, 0) >= step.max_per_worker
        ):
            continue
        if not _respects_hold(state, plan, step, worker, demand):
            continue
        far = bool(step.rack) and worker.registration.rack != step.rack
        beside = step.fills and name in state.serving
        room = -free.millicores if step.target_ms else free.millicores
        score = (name in failed_on, far, beside, room)
        if best_score is None or score < best_score:
            best, best_score = worker, score
    return best


def _expect_ms(step: Step, worker: WorkerEntry) -> int:
    if step.rack and worker.registration.rack != step.rack:
        return int(step.estimate_ms * FAR_FACTOR)
    return step.estimate_ms


def _respects_hold(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    worker: WorkerEntry,
    demand: Resources,
) -> bool:
    hold = plan.holds.get(worker.registration.worker)
    if hold is None:
        return True
    if state.now + _expect_ms(step, worker) <= hold.at:
        return True
    return demand.fits_in(hold.spare)


def _charge_plan(
    state: DispatchState,
    plan: PassPlan,
    step: Step,
    worker: WorkerEntry,
    demand: Resources,
) -> None:
    name = worker.registration.worker
    if name in plan.allowances:
        plan.allowances[name] -= 1
    plan.ends.pop(name, None)
    hold = plan.holds.get(name)
    if hold is None or state.now + _expect_ms(step, worker) <= hold.at:
        return
    hold.spare = hold.spare - demand


def _start_run(
    state: DispatchState,
    key: StepKey,
    step: Step,
    job: JobEntry,
    worker: WorkerEntry,
    index: int,
    number: int,
    demand: Resources,
) -> Actions:
    name = worker.registration.worker
    run = RunKey(name_task(key, index), number)
    task = state.update_task(run.task, next_run=number + 1)
    entry = state.steps[key]
    state.update_step(key, pending=entry.pending - {index})
    if not state.steps[key].pending:
        state.waiting.pop(key, None)
    state.add_run(
        RunEntry(
            run,
            key,
            index,
            name,
            worker.born_ms,
            demand,
            started_at=state.now,
            expected_ms=_expect_ms(step, worker),
            target_ms=step.target_ms,
            fills=step.fills,
            pace=choose_first_pace(state, name, step.fills),
            paced_at=state.now,
        )
    )
    advice = state.advice.get(key, StepAdvice())
    ticket = advice.tickets.get(name)
    checkpoint = entry.checkpoint if step.gang else task.checkpoint
    yield Note(
        'start',
        run.task,
        (
            ('run', number),
            ('worker', name),
            ('free', state.free[name].millicores),
            ('slack_ms', find_slack(job, key, state.now)),
            ('waited_ms', state.now - entry.ready_at),
            ('ticket_ms', ticket.expires_at - state.now if ticket else 0),
            ('checkpoint', bool(checkpoint)),
        ),
    )
    yield StartRun(
        name,
        run,
        job.workflow.payload,
        checkpoint,
        ticket.ticket if ticket else '',
        worker.born_ms,
    )


def _place_gang(
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
    workers = _match_workers(step, workers)
    advice = state.advice.get(key, NO_ADVICE)
    if terms.advice is not None and advice is NO_ADVICE:
        names = _list_unknown(state, advice, workers)
        yield from ask_advice(state, key, terms.advice, names)
        return
    job = state.jobs[key.job_id]
    if not job.durable:
        # As for single tasks; no room is held either.
        return
    live: list[WorkerEntry] = list(workers.values())
    good: list[WorkerEntry] = []
    if terms.advice is not None:
        live, good = _list_admitted(state, advice, workers)
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
            names = _list_unknown(state, advice, workers)
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
    terms: AdviceTerms,
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
        if not _respects_hold(state, plan, step, worker, demand):
            continue
        hold = plan.holds.get(name)
        if hold is not None and (
            state.now + _expect_ms(step, worker) > hold.at
        ):
            room = room.limit(hold.spare)
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
            _charge_plan(state, plan, step, worker, demand)
            yield from _start_run(
                state, key, step, job, worker, next(indexes), number, demand
            )


def expect_end(state: DispatchState, run: RunEntry) -> int:
    """Return the owner's clock at which a run is expected to end."""
    if run.step in state.steps and state.find_step(run.step).long_running:
        return state.now + FOREVER_MS
    elapsed = state.now - run.started_at
    if run.percent >= LEAST_PERCENT:
        worked = max(1, run.percent_at - run.started_at)
        return run.started_at + worked * 100 // run.percent
    if elapsed < run.expected_ms:
        return run.started_at + run.expected_ms
    return state.now + int(run.expected_ms * OVERDUE_SHARE)


def _list_ends(
    state: DispatchState, plan: PassPlan, worker: str
) -> list[tuple[int, Resources]]:
    if worker not in plan.ends:
        plan.ends[worker] = sorted(
            (
                (max(state.now, expect_end(state, run)), run.demand)
                for run in state.list_runs_on(worker)
            ),
            key=lambda end: end[0],
        )
    return plan.ends[worker]


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
        for at, demand in _list_ends(state, plan, name)
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
        for end, freed in _list_ends(state, plan, name):
            if end <= at:
                room = room + freed
        known = plan.holds.get(name)
        if known is not None:
            room = room.limit(known.spare)
            at = max(at, known.at)
        spare = room - demand.scale(count)
        plan.holds[name] = Hold(at, spare.cover(NOTHING))
