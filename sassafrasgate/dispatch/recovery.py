"""Takeover of the shard: replay of journal records, and snapshots."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.entitlements import count_job
from sassafrasgate.dispatch.entries import JobEntry
from sassafrasgate.dispatch.entries import NEW_TASK
from sassafrasgate.dispatch.events import LeaseConfirmed
from sassafrasgate.dispatch.events import OwnersEnded
from sassafrasgate.dispatch.events import WitnessesChanged
from sassafrasgate.dispatch.handlers import DURABLE_HANDLERS
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.handlers import RECORD_APPLIERS
from sassafrasgate.dispatch.handlers import write_record
from sassafrasgate.dispatch.identities import EndNumber
from sassafrasgate.dispatch.identities import GangRun
from sassafrasgate.dispatch.identities import make_task_id
from sassafrasgate.dispatch.identities import RunIdentity
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.prior_leases import bound_term
from sassafrasgate.dispatch.prior_leases import compute_lease_bound
from sassafrasgate.dispatch.prior_leases import list_remaining_waits
from sassafrasgate.dispatch.prior_leases import Release
from sassafrasgate.dispatch.prior_leases import shorten_lease_bound
from sassafrasgate.dispatch.prior_runs import add_prior_runs
from sassafrasgate.dispatch.prior_runs import compute_held
from sassafrasgate.dispatch.progress import advance_job
from sassafrasgate.dispatch.progress import apply_run_end
from sassafrasgate.dispatch.progress import end_job
from sassafrasgate.dispatch.progress import finish_task
from sassafrasgate.dispatch.progress import open_job
from sassafrasgate.dispatch.progress import open_occurrences_until
from sassafrasgate.dispatch.progress import record_ending_run
from sassafrasgate.dispatch.task_ids import parse_task_id
from sassafrasgate.journal.records import Takeover
from sassafrasgate.journal.workflows import RunEnded
from sassafrasgate.journal.workflows import ShardReleased
from sassafrasgate.journal.workflows import StepProgress
from sassafrasgate.journal.workflows import WorkerForgotten
from sassafrasgate.journal.workflows import WorkerSeen
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.journal.workflows import WorkflowCancelled
from sassafrasgate.journal.workflows import WorkflowClosed
from sassafrasgate.shards.ownership import limit_grace
from sassafrasgate.shards.ownership import OwnerTerm

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

# Task index that stands for the whole gang in records of progress.
GANG_INDEX = -1
# Tasks of a step whose progress one record of a snapshot holds, so that a
# successor applies it in a short time.
MAX_PROGRESS_TASKS = 1_000


def replay_records(state: DispatchState, records: Iterable[Any]) -> None:
    """Apply records of the journal to the state."""
    for record in records:
        RECORD_APPLIERS.find(record.kind)(state, record)


def begin_ownership(state: DispatchState) -> None:
    """Prepare a replayed state for its new owner.

    All replayed records are durable. Tasks of the replayed jobs may run on
    any worker that the journal names, so each of these workers stays
    unreconciled until it reports or its leases have expired. A release
    counts only if this takeover is the next one.
    """
    state.terms = tuple(limit_grace(term, state.owner) for term in state.terms)
    for job_id, entry in list(state.jobs.items()):
        state.update_job(
            job_id,
            durable=True,
            from_previous_owner=True,
            durable_state=entry.state,
        )
    state.took_over_at = state.now
    if state.release is not None and state.release.epoch != state.epoch - 1:
        state.release = None
    terms = list_prior_terms(state)
    waits_ms = _find_released_waits(state.release)
    for worker in state.recorded_workers:
        wait_ms = None if waits_ms is None else waits_ms.get(worker, 0)
        state.unreconciled_workers[worker] = compute_lease_bound(
            state.now, terms, state.release, wait_ms
        )
    add_prior_runs(state)
    state.needs_pass = True


def _find_released_waits(release: Release | None) -> dict[str, int] | None:
    if release is None or release.waits_ms is None:
        return None
    return dict(release.waits_ms)


def list_prior_terms(state: DispatchState) -> tuple[OwnerTerm, ...]:
    """Return previous owners that may not know yet that they were replaced."""
    return tuple(term for term in state.terms if term.owner != state.owner)


def describe_release(state: DispatchState, lapse_ms: int) -> ShardReleased:
    """Return the record with which this owner hands the shard over.

    Parameters
    ----------
    lapse_ms : int
        Time, in ms, until the leases that it has granted have expired.
    """
    waits_ms = list_remaining_waits(state.unreconciled_workers, state.now)
    return ShardReleased(lapse_ms, waits_ms)


def forget_expired_terms(state: DispatchState, known_until: int) -> None:
    """Forget previous owners that certainly can't act any more."""
    if len(state.terms) <= 1:
        return
    state.terms = tuple(
        term
        for term in state.terms
        if term.owner == state.owner
        or known_until < bound_term(term, state.took_over_at).expires_at
    )


@EVENT_HANDLERS.register(LeaseConfirmed)
def handle_confirmed_lease(
    state: DispatchState, event: LeaseConfirmed
) -> Actions:
    """Store until when this owner is certainly the only one."""
    state.lease_expires_at = event.expires_at
    yield from ()


@EVENT_HANDLERS.register(OwnersEnded)
def handle_owners_ended(state: DispatchState, event: OwnersEnded) -> Actions:
    """Shorten the wait for workers to the leases that are already granted.

    The processes of the previous owners have ended, so they grant no further
    leases.
    """
    if state.previous_owners_ended:
        return
    state.previous_owners_ended = True
    owners = ','.join(term.owner for term in list_prior_terms(state))
    state.terms = tuple(
        term for term in state.terms if term.owner == state.owner
    )
    before_ms = _find_longest_wait(state)
    for worker, bound in state.unreconciled_workers.items():
        state.unreconciled_workers[worker] = shorten_lease_bound(
            bound, state.now
        )
    yield LogEvent(
        'owners-ended',
        '',
        (
            ('owners', owners),
            ('unreconciled', len(state.unreconciled_workers)),
            ('before_ms', before_ms),
            ('reconciled_in_ms', _find_longest_wait(state)),
            ('took_over_ms_ago', state.now - state.took_over_at),
        ),
    )


def _find_longest_wait(state: DispatchState) -> int:
    """Return the time in ms until all workers count as reconciled."""
    waits_ms = list_remaining_waits(state.unreconciled_workers, state.now)
    return max((wait_ms for _, wait_ms in waits_ms), default=0)


def _describe_term(term: OwnerTerm) -> Takeover:
    return Takeover(
        term.epoch, term.owner, term.grace_ms, term.ttl_ms, term.witnesses
    )


def find_own_term(state: DispatchState) -> OwnerTerm:
    """Return the term of this owner."""
    for term in state.terms:
        if term.owner == state.owner:
            return term
    return OwnerTerm(state.owner, state.epoch, state.ttl_ms, state.grace_ms)


@EVENT_HANDLERS.register(WitnessesChanged)
def handle_witnesses_change(
    state: DispatchState, event: WitnessesChanged
) -> Actions:
    """Record without whose agreement this owner does not act after its lease.

    Until the record is durable, a successor may know either set, so that both
    have to agree.
    """
    term = find_own_term(state)
    if event.names == term.witnesses:
        return
    state.needed_witnesses |= frozenset(event.names)
    yield from write_record(
        state, _describe_term(replace(term, witnesses=event.names))
    )


@DURABLE_HANDLERS.register('takeover')
def handle_recorded_term(state: DispatchState, record: Takeover) -> Actions:
    """Need the agreement of the recorded witnesses only."""
    if record.witnesses == find_own_term(state).witnesses:
        state.needed_witnesses = frozenset(record.witnesses)
    yield from ()


def list_snapshot_records(state: DispatchState) -> Iterator[Any]:
    """Yield the records of a snapshot, which restore the durable state."""
    for term in list_prior_terms(state):
        yield _describe_term(term)
    yield _describe_term(find_own_term(state))
    for worker, (pool, address) in state.recorded_workers.items():
        yield WorkerSeen(worker, pool, address)
    held = compute_held(state)
    for entry in state.jobs.values():
        if entry.has_ended:
            yield WorkflowClosed(
                entry.job_id,
                entry.queue,
                entry.state,
                entry.ended_at_ms,
                max(0, state.now - entry.ended_known_at),
                entry.tenant,
                held.get(entry.job_id, NO_RESOURCES),
            )
            continue
        yield WorkflowAccepted(
            entry.job_id,
            entry.queue,
            entry.workflow,
            entry.accepted_at_ms,
            entry.tenant,
            entry.cap,
        )
        for key in state.list_steps_of(entry):
            yield from _list_progress(state, key)


def _list_progress(
    state: DispatchState, key: StepKey
) -> Iterator[StepProgress]:
    """Yield the progress of a step, in records of limited size."""
    tasks = state.find_step(key).tasks
    for begin in range(0, tasks, MAX_PROGRESS_TASKS):
        indexes = range(begin, min(tasks, begin + MAX_PROGRESS_TASKS))
        yield from _list_progress_of(state, key, indexes)


def _list_progress_of(
    state: DispatchState, key: StepKey, indexes: range
) -> Iterator[StepProgress]:
    step = state.find_step(key)
    entry = state.steps[key]
    tasks = [
        (index, state.tasks[name])
        for index in indexes
        if (name := make_task_id(key, index)) in state.tasks
    ]
    if not tasks:
        return
    failures = [
        (index, task.failures) for index, task in tasks if task.failures
    ]
    checkpoints = [
        (index, task.checkpoint) for index, task in tasks if task.checkpoint
    ]
    ended_runs = [
        (index, task.ended_runs) for index, task in tasks if task.ended_runs
    ]
    ended_numbers = [
        (index, _list_numbers(runs)) for index, runs in ended_runs
    ]
    if step.gang:
        failures = [(GANG_INDEX, entry.gang_failures)]
        checkpoints = [(GANG_INDEX, entry.checkpoint)]
        ended_numbers.append(
            (GANG_INDEX, _list_numbers(entry.failed_gang_runs))
        )
    yield StepProgress(
        key.job_id,
        key.occurrence,
        key.step,
        tuple(index for index, task in tasks if task.finished),
        tuple(failures),
        tuple(
            (index, task.next_run)
            for index, task in tasks
            if task.next_run > 1
        ),
        tuple(checkpoints),
        tuple(ended_numbers),
        tuple(ended_runs),
        entry.failed_gang_runs,
    )


def _list_numbers(
    runs: tuple[RunIdentity, ...] | tuple[GangRun, ...],
) -> tuple[int, ...]:
    """Return the numbers of some runs, each once."""
    return tuple(dict.fromkeys(run.run for run in runs))


@RECORD_APPLIERS.register('takeover')
def _apply_takeover(state: DispatchState, record: Takeover) -> None:
    state.ttl_ms = record.ttl_ms
    state.grace_ms = record.grace_ms
    state.epoch = record.epoch
    term = OwnerTerm(
        record.owner,
        record.epoch,
        record.ttl_ms,
        record.grace_ms,
        record.witnesses,
    )
    others = (other for other in state.terms if other.owner != term.owner)
    state.terms = (*others, term)


@RECORD_APPLIERS.register('released')
def _apply_released(state: DispatchState, record: ShardReleased) -> None:
    releaser = state.terms[-1].owner if state.terms else ''
    state.release = Release(
        state.epoch, releaser, record.lapse_ms, record.waits_ms
    )
    state.terms = state.terms[:-1]


@RECORD_APPLIERS.register('worker-seen')
def _apply_worker_seen(state: DispatchState, record: WorkerSeen) -> None:
    state.recorded_workers[record.worker] = (record.pool, record.address)


@RECORD_APPLIERS.register('worker-forgotten')
def _apply_worker_forgotten(
    state: DispatchState, record: WorkerForgotten
) -> None:
    state.recorded_workers.pop(record.worker, None)


@RECORD_APPLIERS.register('workflow-accepted')
def _apply_accepted(state: DispatchState, record: WorkflowAccepted) -> None:
    if record.job_id in state.jobs:
        return
    entry = JobEntry(
        record.job_id,
        record.queue,
        record.workflow,
        record.accepted_at_ms,
        record.tenant,
        record.cap,
    )
    state.jobs[record.job_id] = entry
    open_job(state, count_job(state, entry))


@RECORD_APPLIERS.register('workflow-cancelled')
def _apply_cancelled(state: DispatchState, record: WorkflowCancelled) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is None or entry.has_ended:
        return
    end_job(state, record.job_id, WorkflowState.CANCELLED)


@RECORD_APPLIERS.register('run-ended')
def _apply_run_ended(state: DispatchState, record: RunEnded) -> None:
    named = parse_task_id(record.task)
    if named is None or named[0].job_id not in state.jobs:
        # A worker may report anything; such an end is only acknowledged.
        return
    key, index = named
    open_occurrences_until(state, key.job_id, key.occurrence)
    apply_run_end(state, record, key, index)
    record_ending_run(
        state,
        key.job_id,
        EndNumber(record.worker, record.born_ms, record.number),
    )


@RECORD_APPLIERS.register('step-progress')
def _apply_progress(state: DispatchState, record: StepProgress) -> None:
    key = StepKey(record.job_id, record.occurrence, record.step)
    open_occurrences_until(state, record.job_id, record.occurrence)
    if key not in state.steps:
        return
    for index, next_run in record.next_runs:
        state.update_task(make_task_id(key, index), next_run=next_run)
    for index, failures in record.failures:
        if index == GANG_INDEX:
            state.update_step(key, gang_failures=failures)
        else:
            state.update_task(make_task_id(key, index), failures=failures)
    for index, checkpoint in record.checkpoints:
        if index == GANG_INDEX:
            state.update_step(key, checkpoint=checkpoint)
        else:
            state.update_task(make_task_id(key, index), checkpoint=checkpoint)
    for index, numbers in record.ended:
        # A snapshot of an earlier release has the numbers only.
        if index == GANG_INDEX:
            gang_runs = tuple(GangRun(number) for number in numbers)
            state.update_step(key, failed_gang_runs=gang_runs)
        else:
            ended_runs = tuple(RunIdentity(number) for number in numbers)
            state.update_task(make_task_id(key, index), ended_runs=ended_runs)
    for index, runs in record.ended_runs:
        identities = tuple(RunIdentity(*run) for run in runs)
        state.update_task(make_task_id(key, index), ended_runs=identities)
    if record.failed_gang_runs:
        state.update_step(
            key,
            failed_gang_runs=tuple(
                GangRun(*run) for run in record.failed_gang_runs
            ),
        )
    for index in record.finished:
        finish_task(state, key, index)
    advance_job(state, key)


@RECORD_APPLIERS.register('workflow-closed')
def _apply_closed(state: DispatchState, record: WorkflowClosed) -> None:
    state.jobs[record.job_id] = JobEntry(
        record.job_id,
        record.queue,
        Workflow('', ()),
        0,
        record.tenant,
        held=record.held,
        state=record.state,
        durable_state=record.state,
        durable=True,
        ended_at_ms=record.ended_at_ms,
        ended_known_at=state.now - record.kept_ms,
    )
    state.ended_jobs[record.job_id] = None


def find_next_run(state: DispatchState, key: StepKey) -> int:
    """Return the number of a gang's next run."""
    step = state.find_step(key)
    return max(
        state.tasks.get(make_task_id(key, index), NEW_TASK).next_run
        for index in range(step.tasks)
    )
