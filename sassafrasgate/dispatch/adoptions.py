"""Adoption of runs that previous owners have started."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import RunningRun
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.entries import RunEntry
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.pacing import choose_initial_pace
from sassafrasgate.dispatch.pacing import FULL_PACE_PERCENT
from sassafrasgate.dispatch.pacing import UNKNOWN_PACE_PERCENT
from sassafrasgate.dispatch.stops import stop_run
from sassafrasgate.dispatch.stops import stop_unknown_run
from sassafrasgate.dispatch.task_ids import parse_task_id

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState


def adopt_run(
    state: DispatchState, worker: str, running: RunningRun
) -> Actions:
    """Adopt a run that a previous owner has started, or stop it."""
    key = RunKey(running.task, running.run)
    state.prior_runs.settle(running.task)
    named = find_named_task(state, running.task)
    if named is None:
        yield from stop_unknown_run(state, worker, key)
        return
    step_key, index = named
    duplicate = running.task in state.runs_by_task
    run = _make_entry(state, worker, running, step_key, index)
    unknown = state.workers[worker].unknown_runs
    state.update_worker(worker, unknown_runs=unknown - {key})
    state.add_run(run)
    task = state.find_task(running.task)
    state.update_task(
        running.task, next_run=max(task.next_run, running.run + 1)
    )
    if not _wants_adopted(state, run, duplicate):
        yield from stop_run(
            state, run, 'the task has finished or has another run'
        )
        return
    _take_from_pending(state, step_key, index)
    mark_running(state, step_key.job_id)
    if key in unknown:
        # The stop call that was sent before the task became known may still
        # take effect.
        yield from stop_run(state, run, 'the task was unknown before')
        return
    yield LogEvent(
        'adopt',
        running.task,
        (
            ('run', running.run),
            ('worker', worker),
            ('percent', running.percent),
        ),
    )


def adopt_opened_runs(state: DispatchState) -> Actions:
    """Adopt unknown runs whose task has become known.

    A previous owner, whose clock is ahead, may have opened an occurrence
    earlier. The task must not start again while its run is present.
    """
    for place in list(state.pending_stops):
        if place in state.runs:
            continue
        key = place.key
        if find_named_task(state, key.task) is not None:
            running = RunningRun(key.task, key.run, '', 0)
            yield from adopt_run(state, place.worker, running)


def _make_entry(
    state: DispatchState,
    worker: str,
    running: RunningRun,
    step_key: StepKey,
    index: int,
) -> RunEntry:
    entry = state.workers[worker]
    assert entry.reading is not None
    job = state.jobs[step_key.job_id]
    step = state.find_step(step_key)
    reported_at = entry.reading.received_at
    percent = max(1, running.percent)
    return RunEntry(
        RunKey(running.task, running.run),
        step_key,
        index,
        worker,
        entry.incarnation_ms,
        compute_reservation(step),
        RunPhase.PRESENT,
        started_at=state.now - step.estimate_ms * percent // 100,
        expected_ms=step.estimate_ms,
        confirmed_clock_ms=entry.reading.clock,
        listed=True,
        percent=running.percent,
        percent_at=reported_at,
        checkpoint=running.checkpoint,
        target_ms=step.target_ms,
        fills=step.fills,
        load=running.load,
        load_at=reported_at,
        pace=choose_initial_pace(state, worker, step.fills),
        paced_at=state.now,
        # The previous owner may have set any pace.
        confirmed_pace=UNKNOWN_PACE_PERCENT
        if step.fills
        else FULL_PACE_PERCENT,
        tenant=job.tenant,
        pool=state.find_pool_of(job),
        charged=step.demand,
    )


def _take_from_pending(state: DispatchState, key: StepKey, index: int) -> None:
    entry = state.steps[key]
    state.update_step(key, pending_tasks=entry.pending_tasks.remove(index))
    if not state.steps[key].pending_tasks:
        state.waiting_steps.pop(key, None)


def find_named_task(
    state: DispatchState, task: str
) -> tuple[StepKey, int] | None:
    """Return the step and index of a reported task; None if there is none."""
    named = parse_task_id(task)
    if named is None:
        return None
    key, index = named
    if key.job_id not in state.jobs or key not in state.steps:
        return None
    return named if index < state.find_step(key).tasks else None


def _wants_adopted(
    state: DispatchState, run: RunEntry, duplicate: bool
) -> bool:
    job = state.jobs[run.step.job_id]
    if job.has_ended or state.find_task(run.key.task).finished:
        return False
    return not duplicate or state.find_step(run.step).speculative


def mark_running(state: DispatchState, job_id: str) -> None:
    """Mark a job as running once one of its runs is confirmed."""
    entry = state.jobs[job_id]
    if entry.state is entry.state.QUEUED:
        state.update_job(job_id, state=entry.state.RUNNING)


def compute_reservation(step: Step) -> Resources:
    """Return the capacity to reserve on a worker for a run of a step.

    A best-effort task reserves no processor time.
    """
    if step.fills:
        return replace(step.demand, millicores=0)
    return step.demand
