"""Handlers of what workers and the platform report about hosts."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.tasks import EndedTask
from sassafrasgate.core.tasks import StartStatus
from sassafrasgate.core.tasks import SyncReply
from sassafrasgate.shards.actions import AllowStarts
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import ReleaseTask
from sassafrasgate.shards.actions import StepDown
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.attempts import AttemptStatus
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.attempts import compute_task_lease_expiry
from sassafrasgate.shards.attempts import LEASE_MS
from sassafrasgate.shards.completions import process_ended_task
from sassafrasgate.shards.completions import record_unsuccessful_task
from sassafrasgate.shards.events import HostListed
from sassafrasgate.shards.events import HostSilent
from sassafrasgate.shards.events import HostSynced
from sassafrasgate.shards.events import StartAnswered
from sassafrasgate.shards.events import StartNotSent
from sassafrasgate.shards.events import StartUnanswered
from sassafrasgate.shards.handlers import EVENT_HANDLERS
from sassafrasgate.shards.ownership import accepts_placements
from sassafrasgate.shards.state import HostEntry
from sassafrasgate.shards.state import TaskEntry
from sassafrasgate.shards.state import TaskPhase
from sassafrasgate.shards.usage import record_usage

if TYPE_CHECKING:
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState


def open_or_close_host(state: ShardState, name: str) -> None:
    """Open or close a host for new tasks according to its entry."""
    entry = state.hosts[name]
    host = state.index.hosts[name]
    is_open = accepts_placements(
        entry.epoch_acknowledged and not entry.silent_since,
        entry.leaving or entry.listed_leaving,
        host.drained,
        not is_below_task_limit(state, name),
    )
    if is_open == state.index.is_open(name):
        return
    state.index.set_open(name, is_open)
    state.needs_pass = state.needs_pass or is_open


def is_below_task_limit(state: ShardState, name: str) -> bool:
    """Return whether a host's health record allows it another task."""
    limit = state.health.get_task_limit(name, state.now)
    return limit is None or len(state.index.list_reservations(name)) < limit


@EVENT_HANDLERS.register(HostSynced)
def handle_sync(state: ShardState, event: HostSynced, now: int) -> Actions:
    """Update a host and its tasks from its worker's sync reply."""
    if event.host not in state.hosts:
        return
    reply = event.reply
    if not reply.accepted:
        yield StepDown(
            f'host {event.host!r} has acknowledged epoch {reply.epoch}, '
            f'but this owner has epoch {state.epoch}'
        )
        return
    entry = state.hosts[event.host]
    first_sync = not entry.epoch_acknowledged
    state.update_host(
        event.host,
        epoch_acknowledged=True,
        incarnation=reply.incarnation,
        reading=ClockReading(reply.clock, event.received_at),
        silent_since=0,
        leases_expire_at=0,
        leases_expired=False,
        leaving=reply.leaving,
    )
    if entry.incarnation and entry.incarnation != reply.incarnation:
        yield LogDecision(
            'restart', '', host=event.host, reason='worker restarted'
        )
    yield from _reconcile_tasks(state, event.host, reply, first_sync, now)
    yield from _adopt_tasks(state, event.host, reply)
    yield from record_usage(state, event.host, reply.usage, now)
    open_or_close_host(state, event.host)


def _reconcile_tasks(
    state: ShardState, host: str, reply: SyncReply, first_sync: bool, now: int
) -> Actions:
    running = {task.task for task in reply.running}
    ended = {task.task: task for task in reply.ended}
    for task_id in list(state.index.list_reservations(host)):
        task = state.tasks.get(task_id)
        if task is None or task_id in ended:
            continue
        if task_id in running:
            _mark_running(state, task, reply.clock)
            continue
        status = find_unlisted_status(task, reply, first_sync)
        if status is not AttemptStatus.UNDETERMINED:
            yield from record_unsuccessful_task(
                state, task, status, 'the worker no longer lists the task', now
            )
    for report in ended.values():
        yield from _process_or_release(state, host, report, now)


def find_unlisted_status(
    task: TaskEntry, reply: SyncReply, first_sync: bool
) -> AttemptStatus:
    """Return what is certain about a task that its worker does not list.

    Parameters
    ----------
    first_sync : bool
        Whether this is the worker's first reply under this owner's epoch,
        after which it refuses starts of previous owners.
    """
    if task.incarnation != reply.incarnation:
        return AttemptStatus.LAPSED
    if task.phase is TaskPhase.RUNNING:
        if reply.clock <= task.started_clock:
            return AttemptStatus.UNDETERMINED
        return AttemptStatus.LAPSED
    if task.phase is TaskPhase.SENT:
        if 0 < task.start_before_clock <= reply.clock:
            return AttemptStatus.REFUSED
        return AttemptStatus.UNDETERMINED
    return AttemptStatus.REFUSED if first_sync else AttemptStatus.UNDETERMINED


def _mark_running(state: ShardState, task: TaskEntry, clock: int) -> None:
    if task.phase is TaskPhase.RUNNING:
        return
    state.tasks[task.task] = replace(
        task, phase=TaskPhase.RUNNING, started_clock=clock
    )
    state.mark_job_running(task.job_id)


def _process_or_release(
    state: ShardState, host: str, report: EndedTask, now: int
) -> Actions:
    task = state.tasks.get(report.task)
    if task is None and state.may_release(report.task):
        yield ReleaseTask(host, report.task)
        return
    yield from process_ended_task(state, host, report, now)


def _adopt_tasks(state: ShardState, host: str, reply: SyncReply) -> Actions:
    """Reserve resources for running tasks that this owner does not know.

    They are quick requests of a previous owner, or belong to an attempt that
    the owner has ended in the meantime.
    """
    for report in reply.running:
        if report.task in state.tasks:
            continue
        must_stop = state.must_stop(report)
        state.add_task(
            TaskEntry(
                report.task,
                '',
                host,
                report.resources,
                reply.incarnation,
                TaskPhase.RUNNING,
                started_clock=reply.clock,
                stopping=must_stop,
            )
        )
        yield LogDecision(
            'adopt',
            report.task,
            host=host,
            reason='running task unknown to this owner',
        )
        if must_stop:
            yield StopTask(host, report.task)


@EVENT_HANDLERS.register(HostSilent)
def handle_silent_host(
    state: ShardState, event: HostSilent, now: int
) -> Actions:
    """Exclude a host whose worker does not respond from placement."""
    entry = state.hosts.get(event.host)
    if entry is None or entry.silent_since:
        return
    state.update_host(event.host, silent_since=now)
    open_or_close_host(state, event.host)
    yield LogDecision(
        'silent', '', host=event.host, reason='worker did not respond'
    )


@EVENT_HANDLERS.register(HostListed)
def handle_host_list(
    state: ShardState, event: HostListed, now: int
) -> Actions:
    """Exclude hosts that the platform lists as leaving from placement."""
    for name, entry in list(state.hosts.items()):
        listed = name in event.leaving
        if listed == entry.listed_leaving:
            continue
        state.update_host(name, listed_leaving=listed)
        open_or_close_host(state, name)
        yield AllowStarts(name, not listed)
        yield LogDecision(
            'leaving' if listed else 'staying',
            '',
            host=name,
            reason='reported by the platform host list',
        )


@EVENT_HANDLERS.register(StartAnswered)
def handle_start_reply(
    state: ShardState, event: StartAnswered, now: int
) -> Actions:
    """Process a worker's reply to a start."""
    task = state.tasks.get(event.task)
    if task is None:
        return
    reply = event.reply
    if reply.status is StartStatus.REFUSED:
        status = AttemptStatus.REFUSED
        if reply.incarnation != task.incarnation and task.phase in (
            TaskPhase.SENT,
            TaskPhase.RUNNING,
        ):
            # An earlier send of the same start may have run before the
            # worker restarted.
            status = AttemptStatus.LAPSED
        yield from record_unsuccessful_task(
            state, task, status, reply.reason, now
        )
        return
    if reply.status is StartStatus.ENDED and reply.ended is not None:
        yield from process_ended_task(state, event.host, reply.ended, now)
        return
    _mark_running(state, task, reply.clock)


@EVENT_HANDLERS.register(StartUnanswered)
def handle_unanswered_start(
    state: ShardState, event: StartUnanswered, now: int
) -> Actions:
    """Keep a task whose start may have taken effect.

    A later sync shows whether it runs.
    """
    task = state.tasks.get(event.task)
    if task is None or task.phase is TaskPhase.RUNNING:
        return
    state.tasks[event.task] = replace(
        task,
        phase=TaskPhase.SENT,
        start_before_clock=max(
            task.start_before_clock, event.start_before_clock
        ),
    )
    yield LogDecision(
        'unanswered',
        task.job_id,
        host=event.host,
        reason='the start call got no reply',
    )


@EVENT_HANDLERS.register(StartNotSent)
def handle_unsent_start(
    state: ShardState, event: StartNotSent, now: int
) -> Actions:
    """End the attempt of a task whose start was never sent."""
    task = state.tasks.get(event.task)
    if task is None or task.phase is not TaskPhase.PLANNED:
        return
    yield from record_unsuccessful_task(
        state, task, AttemptStatus.NOT_SENT, event.reason, now
    )


def expire_host_leases(state: ShardState, now: int) -> Actions:
    """Record tasks as lapsed on hosts whose leases have certainly expired."""
    for name, entry in list(state.hosts.items()):
        if entry.leases_expired or now < compute_host_lease_expiry(entry):
            continue
        state.update_host(name, leases_expired=True)
        yield LogDecision('lapse', '', host=name, reason='leases expired')
        for task_id in list(state.index.list_reservations(name)):
            task = state.tasks.get(task_id)
            if (
                task is None
                or task.phase is TaskPhase.PLANNED
                and entry.epoch_acknowledged
            ):
                continue
            yield from record_unsuccessful_task(
                state, task, AttemptStatus.LAPSED, 'lease expired', now
            )


def compute_host_lease_expiry(entry: HostEntry) -> int:
    """Return the owner's time from which no task can run on a host.

    For a responsive host it stays in the future, since each reply brings
    a newer clock reading.
    """
    if entry.reading is None:
        return entry.leases_expire_at
    return compute_task_lease_expiry(
        entry.reading.clock + LEASE_MS, entry.reading
    )
