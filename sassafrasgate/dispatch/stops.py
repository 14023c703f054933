"""Stopping of runs, and confirmation that they are gone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.events import StopAnswered
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

# A worker takes up to 900 ms to stop a run. A stop call without effect is
# repeated after this time.
STOP_RETRY_MS = 1_000


def stop_run(state: DispatchState, run: RunEntry, reason: str) -> Actions:
    """Stop a run; its reservation is kept until the run is certainly gone."""
    if run.stopping:
        return
    state.update_run(run.place, stopping=True, stop_sent_at=state.now)
    yield LogEvent(
        'stop',
        run.key.task,
        (
            ('run', run.key.run),
            ('worker', run.worker),
            ('phase', run.phase),
            ('percent', run.percent),
            ('reason', reason),
        ),
    )
    yield StopRun(run.worker, run.key)


def stop_job_runs(state: DispatchState, job_id: str) -> Actions:
    """Stop all runs of a job that has ended."""
    job = state.jobs[job_id]
    for key in state.list_steps_of(job):
        yield from stop_step_runs(state, key, f'the job is {job.state}')


def stop_step_runs(state: DispatchState, key: StepKey, reason: str) -> Actions:
    """Stop all runs of a step."""
    for run in state.list_runs_of(key):
        yield from stop_run(state, run, reason)


def repeat_stops(state: DispatchState) -> Actions:
    """Repeat stop calls that have had no effect."""
    for run in state.runs.values():
        if not run.stopping:
            continue
        if state.now - run.stop_sent_at < STOP_RETRY_MS:
            continue
        worker = state.workers.get(run.worker)
        if worker is None or worker.silent_since:
            continue
        state.update_run(run.place, stop_sent_at=state.now)
        yield StopRun(run.worker, run.key)


@EVENT_HANDLERS.register(StopAnswered)
def handle_stop_reply(state: DispatchState, event: StopAnswered) -> Actions:
    """Record that a run cannot start any more.

    The next report shows whether the run is present and about to end, or was
    never started.
    """
    run = state.find_run(event.worker, event.run)
    if run is None:
        return
    state.update_run(run.place, stop_confirmed_clock_ms=max(1, event.clock_ms))
    yield from ()


def is_gone(run: RunEntry, clock_ms: int) -> bool:
    """Return whether a run that a report does not list is certainly gone.

    Parameters
    ----------
    clock_ms : int
        Worker's clock in the report.
    """
    if run.stop_confirmed_clock_ms:
        return clock_ms > run.stop_confirmed_clock_ms
    return run.phase is RunPhase.PRESENT and clock_ms > run.confirmed_clock_ms
