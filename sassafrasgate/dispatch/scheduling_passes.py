"""Scheduling passes, which start waiting steps where capacity is free.

A pass may start any number of runs. It is decided in parts, so that the owner
renews its lease, sends what it has decided and handles events in between.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.adoptions import compute_reservation
from sassafrasgate.dispatch.advice import may_request_advice
from sassafrasgate.dispatch.advice import request_advice
from sassafrasgate.dispatch.capped_tenants import record_capped_tenants
from sassafrasgate.dispatch.caps import allows_start
from sassafrasgate.dispatch.caps import is_exhausted
from sassafrasgate.dispatch.caps import promise_room
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.gangs import place_gang
from sassafrasgate.dispatch.handlers import Actions
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.identities import make_task_id
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.kept_room import keep_room
from sassafrasgate.dispatch.kept_room import may_keep_room
from sassafrasgate.dispatch.launches import start_run
from sassafrasgate.dispatch.pass_plans import OpenPass
from sassafrasgate.dispatch.pass_plans import PassPlan
from sassafrasgate.dispatch.plans import list_restarted_workers
from sassafrasgate.dispatch.plans import list_unasked_workers
from sassafrasgate.dispatch.plans import make_plan
from sassafrasgate.dispatch.plans import match_workers
from sassafrasgate.dispatch.plans import NO_ADVICE
from sassafrasgate.dispatch.plans import record_planned_run
from sassafrasgate.dispatch.plans import refresh_plan
from sassafrasgate.dispatch.plans import respects_reservation
from sassafrasgate.dispatch.plans import split_admitted_workers
from sassafrasgate.dispatch.policies import order_steps
from sassafrasgate.dispatch.shares import log_shares
from sassafrasgate.dispatch.stops import stop_ended_jobs

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.entries import WorkerEntry
    from sassafrasgate.dispatch.state import DispatchState


# A decision starts at most this many single tasks. A gang starts as a whole.
MAX_PART_STARTS = 100


@EVENT_HANDLERS.register(PassDue)
def run_scheduling_pass(state: DispatchState, event: PassDue) -> Actions:
    """Start the tasks of waiting steps that fit, in order of their rank.

    After `MAX_PART_STARTS` the pass is left open, and the next decision goes
    on with it. It begins anew if anything has changed for waiting steps, so
    that room which has become free is offered to the first of them. The
    remaining runs of ended jobs are stopped before.
    """
    yield from stop_ended_jobs(state)
    if state.unstopped_jobs:
        return
    current = None if state.needs_pass else state.open_pass
    state.needs_pass = False
    state.open_pass = None
    if state.stopping or not state.waiting_steps:
        return
    if current is None:
        plan = make_plan(state)
        current = OpenPass(plan, tuple(order_steps(state, plan)))
        yield from log_shares(state, plan)
    else:
        refresh_plan(state, current.plan)
    yield from _run_part(state, current)


def _run_part(state: DispatchState, current: OpenPass) -> Actions:
    """Place steps until the part is full or the pass is complete."""
    plan = current.plan
    plan.starts_left = MAX_PART_STARTS
    plan.is_interrupted = False
    for place in range(current.place, len(current.keys)):
        key = current.keys[place]
        if key in state.waiting_steps:
            yield from _place_step(state, plan, key)
        if plan.is_part_full:
            left = place if plan.is_interrupted else place + 1
            state.open_pass = replace(current, place=left)
            break
    yield from record_capped_tenants(state, plan.caps.reached)


def _place_step(state: DispatchState, plan: PassPlan, key: StepKey) -> Actions:
    job = state.jobs[key.job_id]
    if job.from_previous_owner and state.unreconciled_workers:
        return
    step = state.find_step(key)
    if job.tenant and is_exhausted(plan.caps, job, step):
        return
    queue = state.find_queue_of(job)
    if queue.pool not in plan.usable:
        return
    workers = match_workers(step, plan, queue.pool)
    if not workers:
        return
    if step.gang:
        yield from place_gang(state, plan, key, step, queue, workers)
    elif not job.tenant or allows_start(state, plan.caps, job, step):
        yield from _place_tasks(state, plan, key, step, queue, workers)
    if job.tenant and not plan.is_interrupted:
        promise_room(state, plan.caps, key, step, job)


def _place_tasks(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    step: Step,
    queue: Queue,
    workers: dict[str, WorkerEntry],
) -> Actions:
    """Start the tasks of a step that fit.

    Parameters
    ----------
    workers : dict
        Workers with the label that the step requires.
    """
    advice = state.advice.get(key, NO_ADVICE)
    demand = compute_reservation(step)
    if queue.advice is not None and advice is NO_ADVICE:
        names = list_unasked_workers(state, plan, queue.pool, advice, workers)
        yield from request_advice(state, key, queue.advice, names)
        return
    if not state.jobs[key.job_id].durable:
        # While the store is unavailable, further tickets would expire unused.
        return
    keeps_room = may_keep_room(state, plan, key)
    if not keeps_room and not demand.fits_in(plan.max_free[queue.pool]):
        return
    startable: list[WorkerEntry] = list(workers.values())
    unticketed: list[WorkerEntry] = []
    if queue.advice is not None:
        startable, unticketed = split_admitted_workers(state, advice, workers)
    job = state.jobs[key.job_id]
    yield from _start_tasks(state, plan, key, step, job, startable)
    if plan.is_interrupted:
        return
    if keeps_room and state.steps[key].pending_tasks:
        keep_room(state, plan, key, demand, [*startable, *unticketed])
    if queue.advice is None or not state.steps[key].pending_tasks:
        return
    if not allows_start(state, plan.caps, job, step):
        return
    if not may_request_advice(state, key):
        return
    names = [worker.registration.worker for worker in unticketed]
    names += list_unasked_workers(state, plan, queue.pool, advice, workers)
    if not startable and not unticketed:
        names += list_restarted_workers(advice, workers)
    with_capacity = [
        name for name in names if demand.fits_in(state.free_resources[name])
    ]
    yield from request_advice(state, key, queue.advice, with_capacity)


def _start_tasks(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    step: Step,
    job: JobEntry,
    workers: list[WorkerEntry],
) -> Actions:
    demand = compute_reservation(step)
    fitting_workers = [
        worker
        for worker in workers
        if demand.fits_in(state.free_resources[worker.registration.worker])
    ]
    if not fitting_workers:
        return
    on_worker = _count_on_workers(state, key) if step.max_per_worker else {}
    for index in state.steps[key].pending_tasks:
        if not allows_start(state, plan.caps, job, step):
            return
        task = state.find_task(make_task_id(key, index))
        best = _choose_worker(
            state,
            plan,
            step,
            demand,
            fitting_workers,
            on_worker,
            (*task.failed_on, *task.moves.workers),
        )
        if best is None:
            return
        if plan.is_part_full:
            plan.is_interrupted = True
            return
        name = best.registration.worker
        on_worker[name] = on_worker.get(name, 0) + 1
        record_planned_run(state, plan, step, best, demand)
        yield from start_run(
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
    avoided: tuple[str, ...],
) -> WorkerEntry | None:
    """Return the best worker for a task, or None if it fits on none.

    Workers on which the task has not failed, and from which it was not moved,
    are preferred, then the rack with its data, then the worker with the least
    free processor capacity.
    Best-effort tasks avoid workers with latency-critical tasks, and
    latency-critical tasks prefer the worker with the most free processor
    capacity.
    """
    best: WorkerEntry | None = None
    best_score: tuple[bool, bool, bool, int] | None = None
    for worker in workers:
        name = worker.registration.worker
        free = state.free_resources[name]
        if not demand.fits_in(free):
            continue
        if plan.allowances.get(name, 1) <= 0:
            continue
        if step.max_per_worker and (
            on_worker.get(name, 0) >= step.max_per_worker
        ):
            continue
        if not respects_reservation(state, plan, step, worker, demand):
            continue
        remote = bool(step.rack) and worker.registration.rack != step.rack
        disturbing = step.fills and name in state.latency_critical_runs
        capacity_rank = -free.millicores if step.target_ms else free.millicores
        score = (name in avoided, remote, disturbing, capacity_rank)
        if best_score is None or score < best_score:
            best, best_score = worker, score
    return best
