"""Handlers of timer, journal, configuration and stop events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.journal.records import JobsForgotten
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.completions import end_job
from sassafrasgate.shards.events import ConfigurationChanged
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import StopRequested
from sassafrasgate.shards.events import Ticked
from sassafrasgate.shards.handlers import DURABLE_HANDLERS
from sassafrasgate.shards.handlers import EVENT_HANDLERS
from sassafrasgate.shards.handlers import write_record
from sassafrasgate.shards.quick_requests import expire_quick_requests
from sassafrasgate.shards.quota_shares import set_shares
from sassafrasgate.shards.recovery import update_hosts_from_configuration
from sassafrasgate.shards.submissions import expire_submits
from sassafrasgate.shards.transfers import publish_summary
from sassafrasgate.shards.transfers import resend_unanswered
from sassafrasgate.shards.views import expire_waiters
from sassafrasgate.shards.workers import expire_host_leases
from sassafrasgate.shards.workers import open_or_close_host

if TYPE_CHECKING:
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState

MAX_PASS_INTERVAL_MS = 1_000
RETENTION_MS = 24 * 3600 * 1000
MAX_FORGOTTEN_PER_TICK = 500


@EVENT_HANDLERS.register(Ticked)
def handle_tick(state: ShardState, event: Ticked, now: int) -> Actions:
    """Run the periodic work, such as expiring requests and leases."""
    state.wall_ms = event.wall_ms
    if now - state.last_pass_at >= MAX_PASS_INTERVAL_MS:
        # Quotas, transfers and preemption can place a job without a change
        # of the free capacity, so a pass also runs at this interval.
        state.last_pass_at = now
        state.needs_pass = True
    yield from expire_submits(state, now)
    yield from expire_quick_requests(state, now)
    yield from expire_waiters(state, now)
    yield from expire_host_leases(state, event.fired_at or now)
    yield from _repeat_stops(state)
    yield from resend_unanswered(state, now)
    yield from publish_summary(state, now)
    yield from _forget_old_jobs(state)
    yield from _expire_queued(state, now)
    for name in state.hosts:
        open_or_close_host(state, name)


def _repeat_stops(state: ShardState) -> Actions:
    """Send pending stops again, since a stop may get lost unnoticed."""
    for task in list(state.list_stopping_tasks()):
        yield StopTask(task.host, task.task)


def _expire_queued(state: ShardState, now: int) -> Actions:
    """End queued jobs whose deadline for starting has passed."""
    for job in state.queue.list_expired(now):
        entry = state.jobs[job.job_id]
        if not entry.durable:
            continue
        reason = f'not started within {entry.spec.deadline_s:g} s'
        outcome = Outcome(JobState.NOT_RUN, reason)
        if entry.may_have_run:
            outcome = Outcome(JobState.FAILED, reason)
        yield from end_job(state, entry, outcome)


def _forget_old_jobs(state: ShardState) -> Actions:
    oldest = state.wall_ms - RETENTION_MS
    due = []
    for job_id in state.ended_jobs:
        if state.jobs[job_id].ended_at_ms > oldest:
            break
        due.append(job_id)
        if len(due) >= MAX_FORGOTTEN_PER_TICK:
            break
    if due:
        yield from write_record(state, JobsForgotten(tuple(due)))


@EVENT_HANDLERS.register(RecordsDurable)
def handle_durable_records(
    state: ShardState, event: RecordsDurable, now: int
) -> Actions:
    """Carry out the effects of records that have become durable."""
    for record in event.records:
        if record.kind in DURABLE_HANDLERS:
            yield from DURABLE_HANDLERS.find(record.kind)(state, record, now)


@EVENT_HANDLERS.register(ConfigurationChanged)
def handle_configuration(
    state: ShardState, event: ConfigurationChanged, now: int
) -> Actions:
    """Apply a configuration if it is newer than the current one."""
    if event.configuration.version <= state.configuration.version:
        return
    state.configuration = event.configuration
    update_hosts_from_configuration(state, now)
    set_shares(state)
    state.queue.set_teams(event.configuration.teams)
    for name in list(state.hosts):
        open_or_close_host(state, name)
    state.needs_pass = True
    yield LogDecision(
        'configure', '', reason=f'version {event.configuration.version}'
    )


@EVENT_HANDLERS.register(StopRequested)
def handle_stop(state: ShardState, event: StopRequested, now: int) -> Actions:
    """Refuse new work from now on."""
    state.stopping = True
    yield LogDecision('stop', '', reason='the process is stopping')
