"""Application of journal records to a shard's state.

The same functions serve new records and the replay after a takeover.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.journal.records import AttemptRefused
from sassafrasgate.journal.records import JobAccepted
from sassafrasgate.journal.records import JobEnded
from sassafrasgate.journal.records import JobPlaced
from sassafrasgate.journal.records import JobRequeued
from sassafrasgate.journal.records import JobsForgotten
from sassafrasgate.journal.records import JobTransferred
from sassafrasgate.journal.records import ShareLent
from sassafrasgate.journal.records import Takeover
from sassafrasgate.shards.attempts import compute_takeover_lease_expiry
from sassafrasgate.shards.handlers import RECORD_APPLIERS
from sassafrasgate.shards.ownership import OwnerTerm
from sassafrasgate.shards.state import HostEntry
from sassafrasgate.shards.state import JobEntry
from sassafrasgate.shards.state import TaskEntry
from sassafrasgate.shards.state import TransferEntry

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from sassafrasgate.core.hosts import Host
    from sassafrasgate.core.jobs import Placement
    from sassafrasgate.shards.state import ShardState

MAX_TOMBSTONES = 10_000


def replay_records(state: ShardState, records: Iterable[Any]) -> None:
    """Apply records of a snapshot or the journal in order."""
    for record in records:
        RECORD_APPLIERS.find(record.kind)(state, record)


def begin_ownership(state: ShardState, now: int) -> None:
    """Set when the leases of previous owners expire on each host.

    Call this once the takeover record is durable.
    """
    state.took_over_at = now
    leases_expire_at = max(
        (
            _compute_term_expiry(term, now)
            for term in state.terms
            if term.epoch != state.epoch
        ),
        default=compute_takeover_lease_expiry(now, 0, ttl_ms=0),
    )
    for name in state.hosts:
        state.update_host(name, leases_expire_at=leases_expire_at)
    for entry in list(state.jobs.values()):
        if entry.outcome is not None:
            state.update_job(entry.job_id, end_durable=True)


def _compute_term_expiry(term: OwnerTerm, replaced_at: int) -> int:
    """Return when the leases of an owner that was replaced have expired."""
    return compute_takeover_lease_expiry(
        replaced_at, term.grace_ms, ttl_ms=term.ttl_ms
    )


def list_snapshot_records(state: ShardState) -> Iterator[Any]:
    """Yield records for a snapshot of the durable state."""
    for term in state.terms:
        expires_at = _compute_term_expiry(term, state.took_over_at)
        if term.epoch != state.epoch and state.now < expires_at:
            yield Takeover(term.epoch, term.owner, term.grace_ms, term.ttl_ms)
    yield Takeover(state.epoch, state.owner, state.grace_ms, state.ttl_ms)
    for entry in state.jobs.values():
        yield from _list_job_snapshot_records(entry)
    for job_id, home, attempt in state.tombstones:
        yield AttemptRefused(job_id, home, attempt)
    for (borrower, team), total in state.lent_shares.items():
        yield ShareLent(borrower, team, total)


def _list_job_snapshot_records(entry: JobEntry) -> Iterator[Any]:
    yield JobAccepted(
        entry.job_id,
        entry.spec,
        0,
        (),
        entry.accepted_at_ms,
        entry.home,
        entry.home_attempt,
    )
    if entry.transferred_to:
        yield JobTransferred(entry.job_id, entry.attempt, entry.transferred_to)
    if entry.attempt and not entry.transferred_to:
        yield JobPlaced(entry.job_id, entry.attempt, entry.placements)
    if entry.attempt and entry.state is JobState.QUEUED:
        yield JobRequeued(
            entry.job_id,
            entry.attempt,
            entry.reason,
            (),
            entry.failed_hosts,
            entry.failures,
            entry.may_have_run,
        )
    if entry.outcome is not None:
        yield JobEnded(
            entry.job_id, entry.attempt, entry.outcome, entry.ended_at_ms
        )


def _add_placements(
    state: ShardState, job_id: str, placements: Iterable[Placement]
) -> None:
    for placement in placements:
        state.add_task(
            TaskEntry(
                placement.task,
                job_id,
                placement.host,
                placement.demand,
                placement.incarnation,
                team=state.jobs[job_id].spec.team,
            )
        )


def _requeue(state: ShardState, entry: JobEntry) -> None:
    # Deadlines count from acceptance, and only the wall clock is comparable
    # between owners.
    waited_ms = max(0, state.wall_ms - entry.accepted_at_ms)
    group = (entry.spec.team, entry.spec.job_class, entry.failed_hosts)
    state.queue.add(
        entry.job_id,
        entry.spec,
        state.now - waited_ms,
        group if entry.failed_hosts else None,
    )


@RECORD_APPLIERS.register('takeover')
def apply_takeover(state: ShardState, record: Takeover) -> None:
    """Set the epoch; keep the terms of earlier owners."""
    term = OwnerTerm(
        record.owner, record.epoch, record.ttl_ms, record.grace_ms
    )
    state.terms = (*state.terms, term)
    state.epoch = record.epoch
    state.grace_ms = record.grace_ms
    state.ttl_ms = record.ttl_ms


@RECORD_APPLIERS.register('accepted')
def apply_accepted(state: ShardState, record: JobAccepted) -> None:
    """Add a job, either queued or with its first placements."""
    entry = JobEntry(
        record.job_id,
        record.spec,
        attempt=record.attempt,
        placements=record.placements,
        accepted_at_ms=record.accepted_at_ms,
        home=record.home,
        home_attempt=record.home_attempt,
        state=JobState.ACCEPTED if record.placements else JobState.QUEUED,
    )
    state.jobs[record.job_id] = entry
    _add_placements(state, record.job_id, record.placements)
    if not record.placements:
        _requeue(state, entry)


@RECORD_APPLIERS.register('placed')
def apply_placed(state: ShardState, record: JobPlaced) -> None:
    """Add the placements of a new attempt to the job's current ones."""
    entry = state.jobs[record.job_id]
    state.queue.remove(record.job_id)
    entry = state.update_job(
        record.job_id,
        attempt=record.attempt,
        placements=entry.placements + record.placements,
        state=JobState.ACCEPTED,
        reason='',
    )
    _add_placements(state, record.job_id, record.placements)
    if entry.unplaced_tasks > 0:
        _requeue(state, entry)


@RECORD_APPLIERS.register('requeued')
def apply_requeued(state: ShardState, record: JobRequeued) -> None:
    """Remove a job's ended tasks and queue the job again."""
    entry = state.jobs[record.job_id]
    ended = set(record.tasks)
    for task in record.tasks:
        state.drop_task(task)
    entry = state.update_job(
        record.job_id,
        placements=tuple(p for p in entry.placements if p.task not in ended),
        finished_tasks=tuple(
            f for f in entry.finished_tasks if f.task not in ended
        ),
        unsuccessful_tasks=(),
        failures=entry.failures + record.counted,
        may_have_run=entry.may_have_run or record.may_have_run,
        failed_hosts=record.failed_hosts,
        transferred_to='',
        state=JobState.QUEUED,
        reason=record.reason,
    )
    state.transfers.pop(record.job_id, None)
    _requeue(state, entry)


@RECORD_APPLIERS.register('ended')
def apply_ended(state: ShardState, record: JobEnded) -> None:
    """End a job, all of whose tasks have certainly ended."""
    entry = state.jobs[record.job_id]
    for placement in entry.placements:
        state.drop_task(placement.task)
    state.queue.remove(record.job_id)
    state.transfers.pop(record.job_id, None)
    state.preempt_again_at.pop(record.job_id, None)
    state.update_job(
        record.job_id,
        state=record.outcome.state,
        reason=record.outcome.reason,
        outcome=record.outcome,
        end_durable=False,
        ended_at_ms=record.ended_at_ms,
        finished_tasks=(),
        unsuccessful_tasks=(),
    )
    state.ended_jobs[record.job_id] = None


@RECORD_APPLIERS.register('transferred')
def apply_transferred(state: ShardState, record: JobTransferred) -> None:
    """Mark a job's attempt as transferred to another shard."""
    state.queue.remove(record.job_id)
    state.update_job(
        record.job_id,
        attempt=record.attempt,
        transferred_to=record.shard,
        state=JobState.ACCEPTED,
        reason=f'transferred to shard {record.shard!r}',
    )
    state.transfers[record.job_id] = TransferEntry(
        record.attempt, record.shard
    )


@RECORD_APPLIERS.register('tombstone')
def apply_tombstone(state: ShardState, record: AttemptRefused) -> None:
    """Remember that a transferred attempt was permanently refused."""
    state.tombstones[(record.job_id, record.home, record.home_attempt)] = None
    if len(state.tombstones) > MAX_TOMBSTONES:
        state.tombstones.pop(next(iter(state.tombstones)))


@RECORD_APPLIERS.register('forgotten')
def apply_forgotten(state: ShardState, record: JobsForgotten) -> None:
    """Remove jobs whose retention period has ended."""
    for job_id in record.job_ids:
        state.jobs.pop(job_id, None)
        state.health.remove_job_results(job_id)
        state.ended_jobs.pop(job_id, None)
        state.explanations.pop(job_id, None)


def update_hosts_from_configuration(
    state: ShardState, leases_expire_at: int
) -> None:
    """Update the hosts from the configuration.

    Hosts that were removed from the inventory stay, without new tasks, while
    tasks may run on them.
    """
    shard = _find_shard(state)
    if shard is None:
        return
    state.failure_domain = shard.failure_domain
    racks = set(shard.racks)
    wanted = {
        host.name: host
        for host in state.configuration.hosts
        if host.rack in racks and host.failure_domain == shard.failure_domain
    }
    for name, host in wanted.items():
        if state.index.hosts.get(name) != host:
            state.index.add_host(host)
        if name not in state.hosts:
            state.hosts[name] = HostEntry(
                name, leases_expire_at=leases_expire_at
            )
            state.index.set_open(name, False)
    _set_totals(state, list(wanted.values()))
    for name in [name for name in state.hosts if name not in wanted]:
        if not state.index.list_reservations(name):
            state.index.remove_host(name)
            state.health.remove_host_results(name)
            del state.hosts[name]
            continue
        state.index.set_open(name, False)


def _set_totals(state: ShardState, hosts: list[Host]) -> None:
    total = NO_RESOURCES
    for host in hosts:
        total = total + host.capacity
    state.queue.set_capacity(total)
    state.health.set_host_count(len(hosts))


def _find_shard(state: ShardState) -> Any:
    for shard in state.configuration.shards:
        if shard.name == state.name:
            return shard
    return None
