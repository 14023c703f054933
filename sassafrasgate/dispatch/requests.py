"""Requests to submit, query, cancel and count workflows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.admission import admit_workflow
from sassafrasgate.dispatch.admission import has_expired
from sassafrasgate.dispatch.admission import make_expiry_refusal
from sassafrasgate.dispatch.authorization import check_access
from sassafrasgate.dispatch.authorization import check_tenant
from sassafrasgate.dispatch.authorization import list_tenant_fields
from sassafrasgate.dispatch.caps import check_caps
from sassafrasgate.dispatch.entitlements import list_surplus_fields
from sassafrasgate.dispatch.events import JournalStalled
from sassafrasgate.dispatch.handlers import DURABLE_HANDLERS
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.handlers import REQUEST_HANDLERS
from sassafrasgate.dispatch.handlers import write_record
from sassafrasgate.dispatch.load_refusals import check_load
from sassafrasgate.dispatch.load_refusals import record_admission
from sassafrasgate.dispatch.outage_refusals import note_rate_before_stall
from sassafrasgate.dispatch.outage_refusals import refuse_stalled
from sassafrasgate.dispatch.progress import forget_job
from sassafrasgate.dispatch.stops import stop_job_runs
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.journal.workflows import WorkflowCancelled
from sassafrasgate.protocol.workflows import PendingCount
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.protocol.workflows import WorkflowView
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import WithdrawRecords
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import WithdrawalAnswered
from sassafrasgate.shards.handlers import reply_refusal

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

# Requests that take effect although their sender no longer waits.
UNEXPIRED_REQUESTS = frozenset({'cancel-workflow'})


@EVENT_HANDLERS.register(RequestReceived)
def dispatch_request(state: DispatchState, event: RequestReceived) -> Actions:
    """Pass a request to the handler for its kind."""
    kind = event.message.kind
    if has_expired(state, event) and kind not in UNEXPIRED_REQUESTS:
        yield reply_refusal(event.reply_to, make_expiry_refusal(event))
        return
    if kind not in REQUEST_HANDLERS:
        yield reply_refusal(
            event.reply_to,
            Refusal(
                RefusalKind.INVALID,
                f'the dispatcher does not handle messages of kind {kind!r}',
                'run the same release on every entry host',
            ),
        )
        return
    yield from REQUEST_HANDLERS.find(kind)(state, event)


@REQUEST_HANDLERS.register('submit-workflow')
def handle_submission(state: DispatchState, event: RequestReceived) -> Actions:
    """Accept or refuse a workflow.

    A repeated submission gets the same reply as the first one.
    """
    message: SubmitWorkflow = event.message
    entry = state.jobs.get(message.job_id)
    if entry is not None:
        yield from _reply_to_repeat(state, event, entry)
        return
    refusal = _check_submission(state, message)
    if refusal is not None:
        yield LogEvent(
            'refuse',
            message.job_id,
            (
                ('queue', message.queue),
                *list_tenant_fields(message.tenant),
                ('refusal', refusal.kind),
                ('cause', refusal.cause or refusal.kind),
                ('retry_after_ms', refusal.retry_after_ms),
                ('reason', refusal.reason),
            ),
        )
        yield reply_refusal(event.reply_to, refusal)
        return
    queue = state.routing_table.find_queue_by_name(message.queue)
    assert queue is not None
    record_admission(state, message)
    state.submit_callers[message.job_id] = [event.reply_to]
    yield from write_record(
        state,
        WorkflowAccepted(
            message.job_id,
            queue,
            message.workflow,
            event.wall_ms,
            message.tenant,
            _find_accepted_cap(state, message),
        ),
    )
    yield LogEvent(
        'accept',
        message.job_id,
        (
            ('queue', queue.name),
            *list_tenant_fields(message.tenant),
            *list_surplus_fields(state.jobs[message.job_id]),
            ('steps', len(message.workflow.steps)),
            ('tasks', sum(step.tasks for step in message.workflow.steps)),
            ('table', state.routing_table.version),
            ('due_ms', state.jobs[message.job_id].due_at - state.now),
        ),
    )


def _find_accepted_cap(
    state: DispatchState, message: SubmitWorkflow
) -> Resources:
    tenant = state.routing_table.find_tenant(message.tenant)
    return NO_RESOURCES if tenant is None else tenant.cap


def _reply_to_repeat(
    state: DispatchState, event: RequestReceived, entry: JobEntry
) -> Actions:
    refusal = check_access(state, entry, event.message.tenant)
    if refusal is not None:
        yield reply_refusal(event.reply_to, refusal)
        return
    if entry.durable:
        yield Reply(event.reply_to, make_view(state, entry))
        return
    callers = state.submit_callers.setdefault(entry.job_id, [])
    callers.append(event.reply_to)


def _check_submission(
    state: DispatchState, message: SubmitWorkflow
) -> Refusal | None:
    if state.stopping:
        return Refusal(
            RefusalKind.STOPPING,
            'the dispatcher moves to another process',
            'send the request again',
        )
    if state.routing_table.find_queue_by_name(message.queue) is None:
        return Refusal(
            RefusalKind.NOT_READY,
            f'queue {message.queue!r} is not in version '
            f'{state.routing_table.version!r} of the routing table',
            'send the request again once the owner has the newest version',
        )
    refusal = check_tenant(state, message) or check_caps(state, message)
    if refusal is not None:
        return refusal
    if state.stalled_since:
        queue = state.routing_table.find_queue_by_name(message.queue)
        assert queue is not None
        return refuse_stalled(state, message.job_id, queue, message.workflow)
    return check_load(state, message) or admit_workflow(
        state, message.workflow
    )


@EVENT_HANDLERS.register(JournalStalled)
def handle_journal_stall(
    state: DispatchState, event: JournalStalled
) -> Actions:
    """Withdraw jobs whose records were not sent to a failing store.

    Records that were sent may still take effect, so their callers have to
    wait.
    """
    if event.since and not state.stalled_since:
        note_rate_before_stall(state)
    state.stalled_since = event.since
    if not event.since:
        return
    for job_id in state.submit_callers:
        yield WithdrawRecords(job_id)


@EVENT_HANDLERS.register(WithdrawalAnswered)
def handle_withdrawal(
    state: DispatchState, event: WithdrawalAnswered
) -> Actions:
    """Refuse a job whose records were withdrawn."""
    if not event.withdrawn or event.job_id not in state.jobs:
        return
    job = state.jobs[event.job_id]
    forget_job(state, event.job_id)
    refusal = refuse_stalled(state, job.job_id, job.queue, job.workflow)
    yield LogEvent('withdraw', event.job_id, (('reason', refusal.reason),))
    for caller in state.submit_callers.pop(event.job_id, ()):
        yield reply_refusal(caller, refusal)
    for caller in state.cancel_callers.pop(event.job_id, ()):
        yield Reply(caller, WorkflowView(event.job_id, None, state.epoch))


def make_view(state: DispatchState, entry: JobEntry) -> WorkflowView:
    """Return the state of a workflow that callers may see."""
    shown = entry.durable_state
    if not entry.has_ended and entry.state is WorkflowState.RUNNING:
        shown = WorkflowState.RUNNING
    return WorkflowView(entry.job_id, shown, state.epoch)


@DURABLE_HANDLERS.register('workflow-accepted')
def reply_accepted(state: DispatchState, record: WorkflowAccepted) -> Actions:
    """Reply to the callers that submitted a job, which is now durable."""
    entry = state.update_job(record.job_id, durable=True)
    state.needs_pass = True
    for caller in state.submit_callers.pop(record.job_id, ()):
        yield Reply(caller, make_view(state, entry))


@REQUEST_HANDLERS.register('query-workflow')
def handle_query(state: DispatchState, event: RequestReceived) -> Actions:
    """Reply with the state of a workflow; None if it is unknown."""
    entry = state.jobs.get(event.message.job_id)
    if entry is None:
        yield Reply(
            event.reply_to,
            WorkflowView(event.message.job_id, None, state.epoch),
        )
        return
    refusal = check_access(state, entry, event.message.tenant)
    if refusal is not None:
        yield reply_refusal(event.reply_to, refusal)
        return
    yield Reply(event.reply_to, make_view(state, entry))


@REQUEST_HANDLERS.register('cancel-workflow')
def handle_cancellation(
    state: DispatchState, event: RequestReceived
) -> Actions:
    """Cancel a workflow and stop its runs."""
    job_id = event.message.job_id
    entry = state.jobs.get(job_id)
    if entry is None:
        yield Reply(event.reply_to, WorkflowView(job_id, None, state.epoch))
        return
    refusal = check_access(state, entry, event.message.tenant)
    if refusal is not None:
        yield reply_refusal(event.reply_to, refusal)
        return
    if entry.durable_state is entry.state and entry.has_ended:
        yield Reply(event.reply_to, make_view(state, entry))
        return
    state.cancel_callers.setdefault(job_id, []).append(event.reply_to)
    if entry.has_ended:
        return
    yield from write_record(state, WorkflowCancelled(job_id, event.wall_ms))
    yield LogEvent('cancel', job_id, (('queue', entry.queue.name),))
    yield from stop_job_runs(state, job_id)


@DURABLE_HANDLERS.register('workflow-cancelled')
def reply_cancelled(
    state: DispatchState, record: WorkflowCancelled
) -> Actions:
    """Reply to the callers of a cancellation, which is now durable."""
    yield from publish_end(state, record.job_id)


def publish_end(state: DispatchState, job_id: str) -> Actions:
    """Make a job's final state, which is now durable, visible to callers."""
    entry = state.jobs.get(job_id)
    if entry is None or not entry.has_ended:
        return
    entry = state.update_job(job_id, durable_state=entry.state)
    for caller in state.cancel_callers.pop(job_id, ()):
        yield Reply(caller, make_view(state, entry))


@REQUEST_HANDLERS.register('count-pending')
def handle_pending_count(
    state: DispatchState, event: RequestReceived
) -> Actions:
    """Reply with the number of workflows of a queue that have not begun."""
    queue = event.message.queue
    count = sum(
        1
        for entry in state.jobs.values()
        if entry.state is WorkflowState.QUEUED
        and entry.durable
        and entry.queue.name == queue
    )
    yield Reply(event.reply_to, PendingCount(queue, count))
