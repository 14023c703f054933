"""Registered workers, as their entries in the store describe them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.workers import Registration
from sassafrasgate.dispatch.actions import AllowStarts
from sassafrasgate.dispatch.actions import ForgetWorker
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import WatchWorker
from sassafrasgate.dispatch.entitlements import rebuild_entitlements
from sassafrasgate.dispatch.entries import WorkerEntry
from sassafrasgate.dispatch.events import RegistrationsConfirmed
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.dispatch.events import WorkersListed
from sassafrasgate.dispatch.events import WorkerUnregistered
from sassafrasgate.dispatch.handlers import DURABLE_HANDLERS
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.handlers import write_record
from sassafrasgate.dispatch.hold_waits import NORMAL_HOLD_WAIT_MS
from sassafrasgate.dispatch.leases import compute_worker_lease_expiry
from sassafrasgate.dispatch.leases import RESTARTS_PER_WATCH
from sassafrasgate.dispatch.start_replies import stop_unanswered_starts
from sassafrasgate.journal.workflows import WorkerForgotten
from sassafrasgate.journal.workflows import WorkerSeen

if TYPE_CHECKING:
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState


@EVENT_HANDLERS.register(TableChanged)
def handle_table_change(state: DispatchState, event: TableChanged) -> Actions:
    """Replace the routing table by a newer one."""
    if event.table.version <= state.routing_table.version:
        return
    previous = state.routing_table.version
    state.routing_table = event.table
    if not previous:
        rebuild_entitlements(state)
    state.needs_pass = True
    yield LogEvent(
        'table',
        '',
        (('version', event.table.version), ('previous', previous)),
    )


@EVENT_HANDLERS.register(WorkersListed)
def handle_worker_list(state: DispatchState, event: WorkersListed) -> Actions:
    """Apply a complete list of entries.

    Workers that are not on the list have no entry any more.
    """
    listed = {entry.worker for entry in event.registrations}
    for registration in event.registrations:
        yield from handle_registration(state, WorkerRegistered(registration))
    for worker, entry in list(state.workers.items()):
        if entry.registered and worker not in listed:
            yield from handle_unregistration(state, WorkerUnregistered(worker))


@EVENT_HANDLERS.register(RegistrationsConfirmed)
def handle_confirmation(
    state: DispatchState, event: RegistrationsConfirmed
) -> Actions:
    """Record when the known entries were those of the store."""
    state.registrations_confirmed_at = event.confirmed_at
    yield from ()


@EVENT_HANDLERS.register(WorkerRegistered)
def handle_registration(
    state: DispatchState, event: WorkerRegistered
) -> Actions:
    """Add a worker, or apply changes to its entry."""
    registration = event.registration
    worker = registration.worker
    entry = state.workers.get(worker)
    if entry is None:
        state.workers[worker] = WorkerEntry(registration)
        state.update_free_resources(worker)
        yield from _record_worker(state, registration)
        yield _watch_worker(state, registration)
        yield _describe_worker('worker-added', registration)
        return
    previous = entry.registration
    if entry.registered and previous == registration:
        return
    took_starts = entry.takes_starts
    state.update_worker(worker, registration=registration, registered=True)
    state.update_free_resources(worker)
    state.needs_pass = True
    if previous.address != registration.address:
        yield from _record_worker(state, registration)
        yield _watch_worker(state, registration)
        yield from stop_unanswered_starts(state, worker)
    takes_starts = state.workers[worker].takes_starts
    if takes_starts != took_starts:
        yield AllowStarts(worker, takes_starts)
    if replace(previous, remaining_ms=0) != replace(
        registration, remaining_ms=0
    ):
        yield _describe_worker('worker-changed', registration)


def _watch_worker(
    state: DispatchState, registration: Registration
) -> WatchWorker:
    """Begin to poll a worker, which replaces any polling begun before.

    The worker may have obeyed a call for a later incarnation than the first,
    so the new count of restarts begins above the previous one. The expiry of
    the leases that previous calls have granted is not known exactly, so an
    upper bound for it is used.
    """
    worker = registration.worker
    number = state.watch_counts.get(worker, 0)
    state.watch_counts[worker] = number + 1
    if number:
        entry = state.workers[worker]
        expires_at = compute_worker_lease_expiry(
            state.now, NORMAL_HOLD_WAIT_MS
        )
        state.update_worker(
            worker, leases_expire_at=max(entry.leases_expire_at, expires_at)
        )
    return WatchWorker(registration, number * RESTARTS_PER_WATCH)


def _record_worker(
    state: DispatchState, registration: Registration
) -> Actions:
    """Name a worker in the journal.

    No run starts on the worker before the record is durable.
    """
    pool, address = state.recorded_workers.get(registration.worker, ('', ''))
    if (pool, address) == (registration.pool, registration.address):
        state.update_worker(registration.worker, recorded=True)
        return
    state.update_worker(registration.worker, recorded=False)
    yield from write_record(
        state,
        WorkerSeen(
            registration.worker, registration.pool, registration.address
        ),
    )


def _describe_worker(kind: str, registration: Registration) -> LogEvent:
    return LogEvent(
        kind,
        '',
        (
            ('worker', registration.worker),
            ('pool', registration.pool),
            ('address', registration.address),
            ('leaving', registration.leaving),
            ('millicores', registration.capacity.millicores),
            ('memory_mb', registration.capacity.memory_mb),
            ('labels', ','.join(registration.labels)),
        ),
    )


@DURABLE_HANDLERS.register('worker-seen')
def handle_worker_recorded(
    state: DispatchState, record: WorkerSeen
) -> Actions:
    """Allow runs on a worker, because a successor will know the worker."""
    entry = state.workers.get(record.worker)
    named = state.recorded_workers.get(record.worker)
    if entry is not None and named == (record.pool, record.address):
        state.update_worker(record.worker, recorded=True)
        state.needs_pass = True
    yield from ()


@EVENT_HANDLERS.register(WorkerUnregistered)
def handle_unregistration(
    state: DispatchState, event: WorkerUnregistered
) -> Actions:
    """Start no new runs on a worker whose entry was deleted.

    The worker may only be partitioned from the store, so calls to it
    continue until its runs are known to be gone.
    """
    entry = state.workers.get(event.worker)
    if entry is None or not entry.registered:
        return
    state.update_worker(event.worker, registered=False)
    yield AllowStarts(event.worker, False)
    yield LogEvent(
        'worker-unregistered',
        '',
        (
            ('worker', event.worker),
            ('silent', bool(entry.silent_since)),
            ('runs', len(state.runs_by_worker.get(event.worker, ()))),
        ),
    )


def watch_recorded_workers(state: DispatchState) -> Actions:
    """Poll workers that only the journal names.

    The entry of a worker may have expired while runs that a previous owner
    started are still present on the worker.
    """
    for worker, (pool, address) in state.recorded_workers.items():
        if worker in state.workers:
            continue
        registration = Registration(worker, pool, address, '', NO_RESOURCES)
        state.workers[worker] = WorkerEntry(
            registration, registered=False, recorded=True
        )
        state.update_free_resources(worker)
        yield _watch_worker(state, registration)


def forget_gone_workers(state: DispatchState) -> Actions:
    """Remove workers on which no run can be present.

    They are removed from the journal because a successor waits for every
    worker that the journal names and that does not respond. A worker that
    comes back into use is recorded again before its next run.
    """
    for worker, entry in list(state.workers.items()):
        if (
            state.runs_by_worker.get(worker)
            or worker in state.unreconciled_workers
        ):
            continue
        if entry.unknown_runs or not _is_idle_for_good(entry):
            continue
        if worker in state.recorded_workers:
            yield from write_record(state, WorkerForgotten(worker))
            state.update_worker(worker, recorded=False)
        if entry.registered or not _is_silent_for_good(entry):
            continue
        del state.workers[worker]
        state.free_resources.pop(worker, None)
        state.health.pop(worker, None)
        yield ForgetWorker(worker)
        yield LogEvent('worker-forgotten', '', (('worker', worker),))


def _is_idle_for_good(entry: WorkerEntry) -> bool:
    """Return whether a worker without runs will get no further run."""
    return (
        entry.registration.leaving
        or not entry.registered
        or _is_silent_for_good(entry)
    )


def _is_silent_for_good(entry: WorkerEntry) -> bool:
    return bool(entry.silent_since) and (
        entry.leases_expired or not entry.epoch_acknowledged
    )


def record_workers_in_use(state: DispatchState) -> Actions:
    """Record workers that have come back into use in the journal."""
    for worker, entry in list(state.workers.items()):
        if worker in state.recorded_workers or _is_idle_for_good(entry):
            continue
        if entry.registered and not entry.silent_since:
            yield from _record_worker(state, entry.registration)
