"""Takeover of a shard of workflows by a new owner."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.recovery import begin_ownership
from sassafrasgate.dispatch.recovery import replay_records
from sassafrasgate.journal.records import Takeover
from sassafrasgate.journal.ring_buffer import Journal
from sassafrasgate.journal.ring_buffer import load_journal
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.clocks import wall_ms

if TYPE_CHECKING:
    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.journal.ring_buffer import LoadedJournal
    from sassafrasgate.shards.ownership import OwnerLease

LOAD_RETRY_DELAY_S = 0.1

ReadLease = Callable[[], 'OwnerLease']


@dataclass(frozen=True, slots=True)
class CompletedTakeover:
    """A journal that this process may write, and the log line about it."""

    journal: Journal
    event: LogEvent


async def take_over_shard(
    state: DispatchState,
    store: KeyStore,
    read_lease: ReadLease,
    record_failed_append: Callable[[], None],
    handed_over_journal: LoadedJournal | None,
) -> CompletedTakeover:
    """Read the journal, append the takeover record and begin the ownership.

    Parameters
    ----------
    state : DispatchState
        State of the new owner, to which the journal's records are applied.
    store : KeyStore
        Store client for the journal.
    read_lease : callable
        Returns the newest lease of the process.
    record_failed_append : callable
        Called by the journal for each append that got no reply.
    handed_over_journal : LoadedJournal or None
        State that the previous owner has handed over. Without it the
        journal is read from the store.

    Raises
    ------
    ShardLostError
        When the lease expires first, another process has taken the shard
        over, or the journal can't be read.
    """
    began = now_ms()
    loaded = handed_over_journal or await _load_journal(
        store, state.shard, read_lease
    )
    read_ms = now_ms() - began
    lease = read_lease()
    _check_lease(lease)
    replay_records(state, loaded.records)
    replayed_ms = now_ms() - began
    takeover = Takeover(
        state.epoch + 1, state.owner, lease.grace_ms, lease.ttl_ms
    )
    journal = Journal(
        store, state.shard, state.owner, loaded, record_failed_append
    )
    journal.epoch = takeover.epoch
    await journal.append((takeover,))
    replay_records(state, (takeover,))
    state.now, state.wall_ms = now_ms(), wall_ms()
    begin_ownership(state)
    return CompletedTakeover(
        journal,
        LogEvent(
            'takeover',
            '',
            (
                ('jobs', len(state.jobs)),
                ('records', len(loaded.records)),
                ('workers', len(state.recorded_workers)),
                ('unreconciled', len(state.unreconciled_workers)),
                ('released', state.handover_lease_ms >= 0),
                ('read_ms', read_ms),
                ('replayed_ms', replayed_ms),
                ('took_ms', now_ms() - began),
            ),
        ),
    )


async def _load_journal(
    store: KeyStore, shard: str, read_lease: ReadLease
) -> LoadedJournal:
    while True:
        _check_lease(read_lease())
        try:
            return await load_journal(store, shard)
        except StoreError:
            await anyio.sleep(LOAD_RETRY_DELAY_S)
        except MessageError as error:
            raise ShardLostError(str(error)) from error


def _check_lease(lease: OwnerLease) -> None:
    """Check that the lease is valid without the outage grace."""
    if now_ms() >= lease.renewed_at + lease.ttl_ms:
        raise ShardLostError('the lease expired before the takeover')
