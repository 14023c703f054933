"""Completion of tasks, attempts and jobs."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.identifiers import split_task_id
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.core.tasks import EndedTask
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.journal.records import JobEnded
from sassafrasgate.journal.records import JobRequeued
from sassafrasgate.protocol.messages import TransferEnded
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import ReleaseTask
from sassafrasgate.shards.actions import SendToShard
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.actions import StoreOutput
from sassafrasgate.shards.attempts import AttemptStatus
from sassafrasgate.shards.attempts import decide_retry
from sassafrasgate.shards.attempts import RetryDecision
from sassafrasgate.shards.events import OutputStored
from sassafrasgate.shards.handlers import DURABLE_HANDLERS
from sassafrasgate.shards.handlers import EVENT_HANDLERS
from sassafrasgate.shards.handlers import write_record
from sassafrasgate.shards.quick_requests import end_quick_request
from sassafrasgate.shards.quick_requests import retry_quick_request
from sassafrasgate.shards.state import FinishedTask
from sassafrasgate.shards.state import JobEntry
from sassafrasgate.shards.state import MAX_FAILED_ATTEMPTS
from sassafrasgate.shards.state import TaskEntry
from sassafrasgate.shards.state import TaskPhase
from sassafrasgate.shards.state import UnsuccessfulTask
from sassafrasgate.shards.views import reply_to_waiters

if TYPE_CHECKING:
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState

REPORT_RESEND_INTERVAL_MS = 1_000

# In ascending order of severity: an attempt is as bad as its worst task.
_STATUS_ORDER = (
    AttemptStatus.NOT_SENT,
    AttemptStatus.REFUSED,
    AttemptStatus.FAILED,
    AttemptStatus.LAPSED,
)


def process_ended_task(
    state: ShardState, host: str, report: EndedTask, now: int
) -> Actions:
    """Process a worker's report that a task has ended."""
    task = state.drop_task(report.task)
    state.needs_pass = True
    job_id = task.job_id if task else find_job_id(report.task)
    if task is not None:
        yield from _record_result(state, task, report.outcome, now)
    quick = state.quick_requests.get(job_id)
    if quick is not None and quick.task == report.task:
        yield from end_quick_request(state, job_id, report, now)
        return
    if report.task in state.pending_requeues:
        # The worker lists the task until it is released, which happens once
        # the record of its requeue is durable.
        return
    entry = state.jobs.get(job_id)
    if entry is None or not _is_current(entry, report.task):
        yield ReleaseTask(host, report.task)
        return
    if report.outcome is TaskOutcome.FINISHED:
        yield from _process_finished_task(state, host, entry, report)
        return
    if entry.outcome is not None:
        if entry.end_durable:
            yield ReleaseTask(host, report.task)
        return
    status = (
        AttemptStatus.FAILED
        if report.outcome is TaskOutcome.FAILED
        else AttemptStatus.LAPSED
    )
    reason = report.reason or str(report.outcome)
    unsuccessful = UnsuccessfulTask(report.task, host, status, reason)
    yield from _add_unsuccessful_task(state, entry, unsuccessful, now)


def find_job_id(task: str) -> str:
    """Return the job id in a task id of a job or a quick request."""
    return split_task_id(task)[0].partition('~')[0]


def _is_current(entry: JobEntry, task: str) -> bool:
    return any(placement.task == task for placement in entry.placements)


def _record_result(
    state: ShardState, task: TaskEntry, outcome: TaskOutcome, now: int
) -> Actions:
    """Update host health and learned sizes from a task's end."""
    entry = state.jobs.get(task.job_id)
    peak = state.peak_usage.pop(task.task, None)
    if entry is not None and peak is not None:
        state.demand_estimator.record_peak(entry.spec, peak)
    if outcome not in (TaskOutcome.FINISHED, TaskOutcome.FAILED):
        return
    succeeded = outcome is TaskOutcome.FINISHED
    changes = state.health.record_result(
        task.host, task.job_id, succeeded, now
    )
    for change in changes:
        yield LogDecision(
            change.status, '', host=change.host, reason=change.reason
        )


def _process_finished_task(
    state: ShardState, host: str, entry: JobEntry, report: EndedTask
) -> Actions:
    if entry.state is JobState.FINISHED:
        if entry.end_durable:
            yield ReleaseTask(host, report.task)
        return
    if any(task.task == report.task for task in entry.finished_tasks):
        return
    if report.size > len(report.output):
        if report.task in state.output_copies:
            return
        state.output_copies[report.task] = report
        yield StoreOutput(
            host, report.task, entry.job_id, report.size, report.digest
        )
        return
    outcome = Outcome(
        JobState.FINISHED, '', report.output, 0, report.size, report.digest
    )
    yield from _finish_task(state, entry, report.task, outcome)


@EVENT_HANDLERS.register(OutputStored)
def handle_stored_output(
    state: ShardState, event: OutputStored, now: int
) -> Actions:
    """Finish a task whose large output is in the store."""
    if state.output_copies.pop(event.task, None) is None:
        return
    job_id, _, _ = split_task_id(event.task)
    entry = state.jobs.get(job_id)
    if entry is None or not _is_current(entry, event.task):
        return
    if not event.chunks:
        # The copy failed; the worker's next report of the ended task starts
        # another one.
        return
    outcome = Outcome(
        JobState.FINISHED, '', b'', event.chunks, event.size, event.digest
    )
    yield from _finish_task(state, entry, event.task, outcome)


def _finish_task(
    state: ShardState, entry: JobEntry, task: str, outcome: Outcome
) -> Actions:
    finished = (*entry.finished_tasks, FinishedTask(task, outcome))
    entry = state.update_job(entry.job_id, finished_tasks=finished)
    if len(finished) == entry.spec.tasks:
        yield from end_job(state, entry, _choose_outcome(finished))
        return
    if entry.unsuccessful_tasks or entry.cancelling:
        yield from _end_attempt_if_complete(state, entry)


def _choose_outcome(finished: tuple[FinishedTask, ...]) -> Outcome:
    """Return the outcome of the lowest-numbered task that has output.

    Without any output, the outcome of the lowest-numbered task counts.
    """
    ordered = sorted(finished, key=lambda item: split_task_id(item.task)[1])
    for item in ordered:
        if item.outcome.size:
            return item.outcome
    return ordered[0].outcome


def end_job(state: ShardState, entry: JobEntry, outcome: Outcome) -> Actions:
    """Journal a job's end; callers get a reply once it is durable."""
    yield LogDecision(
        'end',
        entry.job_id,
        entry.attempt,
        ','.join(placement.host for placement in entry.placements),
        f'{outcome.state} {outcome.reason}'.strip(),
    )
    yield from write_record(
        state,
        JobEnded(entry.job_id, entry.attempt, outcome, state.wall_ms),
    )


@DURABLE_HANDLERS.register('ended')
def confirm_ended(state: ShardState, record: JobEnded, now: int) -> Actions:
    """Reply to the callers and release the tasks of a job that has ended."""
    entry = state.jobs.get(record.job_id)
    if entry is None:
        return
    state.update_job(record.job_id, end_durable=True)
    yield from reply_to_waiters(state, record.job_id)
    for placement in entry.placements:
        yield ReleaseTask(placement.host, placement.task)
    if entry.home:
        report = TransferEnded(
            entry.home, entry.job_id, entry.home_attempt, record.outcome
        )
        state.unacknowledged_ends[entry.job_id] = (
            report,
            now + REPORT_RESEND_INTERVAL_MS,
        )
        yield SendToShard(entry.home, report)


def record_unsuccessful_task(
    state: ShardState,
    task: TaskEntry,
    status: AttemptStatus,
    reason: str,
    now: int,
) -> Actions:
    """Process a task that certainly no longer runs and gave no result."""
    state.drop_task(task.task)
    state.needs_pass = True
    quick = state.quick_requests.get(task.job_id)
    if quick is not None and quick.task == task.task:
        yield from retry_quick_request(state, task.job_id, reason, now)
        return
    entry = state.jobs.get(task.job_id)
    if entry is None or not _is_current(entry, task.task) or entry.has_ended:
        return
    yield from _add_unsuccessful_task(
        state,
        entry,
        UnsuccessfulTask(task.task, task.host, status, reason),
        now,
    )


def _add_unsuccessful_task(
    state: ShardState,
    entry: JobEntry,
    unsuccessful: UnsuccessfulTask,
    now: int,
) -> Actions:
    entry = state.update_job(
        entry.job_id,
        unsuccessful_tasks=(*entry.unsuccessful_tasks, unsuccessful),
    )
    if entry.spec.job_class is not JobClass.SERVICE:
        yield from _stop_remaining_tasks(state, entry)
    yield from _end_attempt_if_complete(state, entry)


def _end_attempt_if_complete(state: ShardState, entry: JobEntry) -> Actions:
    """End the attempt if none of its tasks can still run."""
    if entry.cancelling:
        yield from finish_cancel(state, entry)
        return
    if entry.spec.job_class is not JobClass.SERVICE and any(
        True for _ in state.list_job_tasks(entry.job_id)
    ):
        # All tasks of a gang must end before any of them starts again.
        return
    yield from _end_attempt(state, entry)


def _stop_remaining_tasks(state: ShardState, entry: JobEntry) -> Actions:
    for task in state.list_job_tasks(entry.job_id):
        if task.stopping or task.phase is TaskPhase.PLANNED:
            continue
        state.tasks[task.task] = replace(task, stopping=True)
        yield StopTask(task.host, task.task)


def _end_attempt(state: ShardState, entry: JobEntry) -> Actions:
    status = max(
        (task.status for task in entry.unsuccessful_tasks),
        key=_STATUS_ORDER.index,
    )
    reason = next(
        task.reason
        for task in entry.unsuccessful_tasks
        if task.status is status
    )
    failures = entry.failures + 1
    if state.health.is_job_at_fault(entry.job_id):
        # The job failed on several healthy hosts, so that another attempt
        # would only use resources.
        failures = MAX_FAILED_ATTEMPTS
    decision = decide_retry(
        entry.spec.idempotent, status, failures, MAX_FAILED_ATTEMPTS
    )
    if decision is RetryDecision.END_FAILED:
        yield from end_job(state, entry, Outcome(JobState.FAILED, reason))
        return
    if decision is RetryDecision.END_UNKNOWN:
        yield from end_job(state, entry, Outcome(JobState.UNKNOWN, reason))
        return
    failed = status is AttemptStatus.FAILED
    ended = [task.task for task in entry.unsuccessful_tasks]
    if entry.spec.job_class is not JobClass.SERVICE:
        ended = [placement.task for placement in entry.placements]
    failed_hosts = entry.failed_hosts
    if failed:
        hosts = tuple(
            task.host
            for task in entry.unsuccessful_tasks
            if task.status is status
        )
        failed_hosts = (*failed_hosts, *hosts)[-MAX_FAILED_ATTEMPTS:]
    yield LogDecision(
        'retry', entry.job_id, entry.attempt, reason=f'{status}: {reason}'
    )
    hosts_of = {p.task: p.host for p in entry.placements}
    state.pending_requeues.update(ended)
    yield from write_record(
        state,
        JobRequeued(
            entry.job_id,
            entry.attempt,
            reason,
            tuple(ended),
            failed_hosts,
            int(failed),
            status in (AttemptStatus.FAILED, AttemptStatus.LAPSED),
            tuple(hosts_of[task] for task in ended),
        ),
    )


@DURABLE_HANDLERS.register('requeued')
def confirm_requeued(
    state: ShardState, record: JobRequeued, now: int
) -> Actions:
    """Release the ended tasks of a requeue that is in the journal."""
    state.pending_requeues.difference_update(record.tasks)
    for task, host in zip(record.tasks, record.hosts, strict=True):
        yield ReleaseTask(host, task)


def finish_cancel(state: ShardState, entry: JobEntry) -> Actions:
    """End a cancelled job once none of its tasks can run."""
    if any(True for _ in state.list_job_tasks(entry.job_id)):
        return
    yield from end_job(
        state, entry, Outcome(JobState.CANCELLED, 'cancelled by its caller')
    )
