"""Periodic work: deadlines, retries and removal of old entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.admission import measure_delay
from sassafrasgate.dispatch.adoptions import adopt_opened_runs
from sassafrasgate.dispatch.backlog_measurements import measure_backlogs
from sassafrasgate.dispatch.capped_tenants import end_capped_periods
from sassafrasgate.dispatch.capped_tenants import log_tenants
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.hold_waits import adjust_hold_wait
from sassafrasgate.dispatch.pacing import adjust_paces
from sassafrasgate.dispatch.progress import forget_step
from sassafrasgate.dispatch.progress import open_due_occurrences
from sassafrasgate.dispatch.promises import forget_promises
from sassafrasgate.dispatch.registrations import forget_gone_workers
from sassafrasgate.dispatch.registrations import record_workers_in_use
from sassafrasgate.dispatch.reports import expire_leases
from sassafrasgate.dispatch.reports import stop_incomplete_gangs
from sassafrasgate.dispatch.stops import repeat_stops
from sassafrasgate.dispatch.stragglers import handle_stragglers
from sassafrasgate.shards.events import StopRequested
from sassafrasgate.shards.events import Ticked

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

# Callers may query a job for two minutes after its end.
JOB_RETENTION_MS = 150_000


@EVENT_HANDLERS.register(Ticked)
def handle_tick(state: DispatchState, event: Ticked) -> Actions:
    """Do the periodic work and request a scheduling pass if needed."""
    measure_delay(state, event)
    yield from expire_leases(state, event.fired_at or state.now)
    yield from repeat_stops(state)
    yield from stop_incomplete_gangs(state)
    yield from handle_stragglers(state)
    yield from adjust_paces(state)
    yield from adjust_hold_wait(state)
    yield from forget_gone_workers(state)
    yield from record_workers_in_use(state)
    yield from end_capped_periods(state)
    yield from log_tenants(state)
    for job_id, entry in list(state.jobs.items()):
        if not entry.has_ended and (
            entry.due_occurrences < entry.workflow.occurrences
        ):
            open_due_occurrences(state, job_id)
    yield from adopt_opened_runs(state)
    _forget_jobs(state)
    forget_promises(state)
    yield from measure_backlogs(state)
    # No event reports that a ticket expires or that a worker's pause ends, so
    # waiting steps are reconsidered at every tick.
    if state.waiting_steps:
        state.needs_pass = True


def _forget_jobs(state: DispatchState) -> None:
    """Remove ended jobs after the retention period, and their steps before."""
    for job_id in list(state.ended_jobs):
        entry = state.jobs[job_id]
        if entry.durable_state is entry.state:
            _forget_steps(state, entry)
        if state.now - entry.ended_known_at < JOB_RETENTION_MS:
            continue
        if entry.durable_state is not entry.state or entry.occurrences:
            continue
        del state.jobs[job_id]
        del state.ended_jobs[job_id]


def _forget_steps(state: DispatchState, entry: JobEntry) -> None:
    keys = list(state.list_steps_of(entry))
    if any(key in state.runs_by_step for key in keys):
        return
    for key in keys:
        forget_step(state, key)
    if entry.occurrences:
        state.update_job(entry.job_id, occurrences=0)


@EVENT_HANDLERS.register(StopRequested)
def handle_stop_request(state: DispatchState, event: StopRequested) -> Actions:
    """Stop accepting jobs and starting runs; records are still written."""
    state.stopping = True
    yield from ()
