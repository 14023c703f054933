"""Stopping of runs, and confirmation that they are gone.

A stop call may be refused, lost or cut short by the end of an owner. Every
run that has to be stopped, whether this owner knows its task or not, stays in
``pending_stops`` until it is certainly gone, and its call is repeated.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.entries import PendingStop
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.events import StopAnswered
from sassafrasgate.dispatch.events import StopFailed
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.identities import RunPlace

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.identities import RunKey
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

# A worker takes up to 900 ms to stop a run. A stop call without effect is
# repeated after this time, which also exceeds the duration of a call. A worker
# whose repeated call has failed gets the next one after this time.
STOP_RETRY_MS = 1_000
# A decision stops at most this many runs of ended jobs.
MAX_PART_STOPS = 200


def stop_run(state: DispatchState, run: RunEntry, reason: str) -> Actions:
    """Stop a run; its reservation is kept until the run is certainly gone."""
    if run.stopping:
        return
    state.update_run(run.place, stopping=True)
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
    yield _send_stop(state, run.place)


def stop_unknown_run(
    state: DispatchState, worker: str, key: RunKey
) -> Actions:
    """Stop a run whose task is unknown to this owner.

    It may be a run of a job that ended under a previous owner. Its demand is
    unknown, so the worker gets no new run until it is gone.
    """
    unknown = state.workers[worker].unknown_runs
    if key in unknown:
        return
    state.update_worker(worker, unknown_runs=unknown | {key})
    yield LogEvent(
        'stop',
        key.task,
        (
            ('run', key.run),
            ('worker', worker),
            ('reason', 'this owner knows no open task with this id'),
        ),
    )
    yield _send_stop(state, RunPlace(worker, key))


def forget_unknown_runs(
    state: DispatchState, worker: str, gone: frozenset[RunKey]
) -> None:
    """Remove unknown runs of a worker that are certainly gone."""
    unknown = state.workers[worker].unknown_runs
    if unknown.isdisjoint(gone):
        return
    for key in unknown & gone:
        state.pending_stops.pop(RunPlace(worker, key), None)
    state.update_worker(worker, unknown_runs=unknown - gone)
    state.needs_pass = True


def stop_job_runs(state: DispatchState, job_id: str) -> Actions:
    """Stop all runs of a job that has ended, the first of them now.

    A run that becomes known later is stopped as it is adopted.
    """
    state.update_job(job_id, runs_stopped=True)
    state.unstopped_jobs[job_id] = None
    yield from stop_ended_jobs(state)


def stop_ended_jobs(state: DispatchState) -> Actions:
    """Stop runs of ended jobs, as many as one decision may stop."""
    left = MAX_PART_STOPS
    for job_id in list(state.unstopped_jobs):
        for run in _list_active_runs(state, job_id):
            if not left:
                return
            left -= 1
            reason = f'the job is {state.jobs[job_id].state}'
            yield from stop_run(state, run, reason)
        del state.unstopped_jobs[job_id]


def _list_active_runs(state: DispatchState, job_id: str) -> list[RunEntry]:
    """Return the runs of a job that are not being stopped."""
    job = state.jobs.get(job_id)
    if job is None:
        return []
    return [
        run
        for key in state.list_steps_of(job)
        for run in state.list_runs_of(key)
        if not run.stopping
    ]


def stop_step_runs(state: DispatchState, key: StepKey, reason: str) -> Actions:
    """Stop all runs of a step."""
    for run in state.list_runs_of(key):
        yield from stop_run(state, run, reason)


def repeat_stops(state: DispatchState) -> Actions:
    """Repeat stop calls that have had no effect, the oldest first.

    A worker gets one repeated call at a time. As long as they fail, it gets
    one in `STOP_RETRY_MS`, however many of its runs have to be stopped.
    """
    for place, stop in list(state.pending_stops.items()):
        if state.now - stop.sent_at < STOP_RETRY_MS:
            return
        worker = state.workers.get(place.worker)
        if worker is None or worker.silent_since:
            continue
        if state.now < worker.stop_retry_at:
            continue
        state.update_worker(
            place.worker, stop_retry_at=state.now + STOP_RETRY_MS
        )
        yield _send_stop(state, place)


def _send_stop(state: DispatchState, place: RunPlace) -> StopRun:
    """Return the call, and move the run behind those called before it."""
    stop = state.pending_stops.pop(place, PendingStop())
    state.pending_stops[place] = PendingStop(state.now, stop.calls + 1)
    return StopRun(place.worker, place.key)


@EVENT_HANDLERS.register(StopAnswered)
def handle_stop_reply(state: DispatchState, event: StopAnswered) -> Actions:
    """Record that a run cannot start any more, and go on with other stops.

    The next report shows whether the run is present and about to end, or was
    never started.
    """
    run = state.find_run(event.worker, event.run)
    if run is not None:
        state.update_run(
            run.place, stop_confirmed_clock_ms=max(1, event.clock_ms)
        )
    yield from _end_stop_pause(state, event.worker)


@EVENT_HANDLERS.register(StopFailed)
def handle_failed_stop(state: DispatchState, event: StopFailed) -> Actions:
    """Log a failed stop call, which `repeat_stops` repeats.

    A worker that is not healthy refuses all calls alike. Any other refusal
    concerns this run only, so it does not delay other stops there.
    """
    place = RunPlace(event.worker, event.run)
    stop = state.pending_stops.get(place)
    if stop is None:
        return
    yield LogEvent(
        'stop-failed',
        event.run.task,
        (
            ('run', event.run.run),
            ('worker', event.worker),
            ('known', place in state.runs),
            ('calls', stop.calls),
            ('reason', event.refusal or event.reason),
        ),
    )
    if event.refusal not in (None, StartRefusal.UNHEALTHY):
        yield from _end_stop_pause(state, event.worker)


def _end_stop_pause(state: DispatchState, worker: str) -> Actions:
    """Send the next repeated stop call to a worker, which has replied."""
    if worker not in state.workers:
        return
    state.update_worker(worker, stop_retry_at=0)
    yield from repeat_stops(state)


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
