"""Takeover of a shard of workflows by a new owner."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from anyio.lowlevel import checkpoint

from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.recovery import begin_ownership
from sassafrasgate.dispatch.recovery import list_prior_terms
from sassafrasgate.dispatch.recovery import replay_records
from sassafrasgate.journal.ring_buffer import Journal
from sassafrasgate.journal.takeovers import JournalOpener
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.clocks import wall_ms

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.journal.loading import LoadedJournal
    from sassafrasgate.journal.takeovers import OpenedJournal
    from sassafrasgate.shards.ownership import OwnerLease

    ReadLease = Callable[[], OwnerLease]

# Records that are applied before other tasks of the process may run.
REPLAYED_RECORDS = 50


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

    def read_valid_lease() -> OwnerLease:
        lease = read_lease()
        _check_lease(lease)
        return lease

    began = now_ms()
    opener = JournalOpener(
        store,
        state.shard,
        state.owner,
        read_valid_lease,
        record_failed_append,
    )
    if handed_over_journal is not None:
        opened = await _open_handed_over(state, opener, handed_over_journal)
    else:
        opened = await opener.open(await opener.load())
        await _replay_in_parts(state, opened.loaded.records)
    opened_ms = now_ms() - began
    replay_records(state, (opened.takeover,))
    state.now, state.wall_ms = now_ms(), wall_ms()
    begin_ownership(state)
    return CompletedTakeover(
        opened.journal,
        LogEvent(
            'takeover',
            '',
            (
                ('jobs', len(state.jobs)),
                ('records', len(opened.loaded.records)),
                ('workers', len(state.recorded_workers)),
                ('unreconciled', len(state.unreconciled_workers)),
                ('released', state.release is not None),
                ('prior_owners', len(list_prior_terms(state))),
                ('conflicts', opened.conflicts),
                ('opened_ms', opened_ms),
                ('took_ms', now_ms() - began),
            ),
        ),
    )


async def _open_handed_over(
    state: DispatchState, opener: JournalOpener, journal: LoadedJournal
) -> OpenedJournal:
    """Continue a journal whose records the previous owner has sent.

    If an entry has been written behind them, the previous owner has taken
    the offer back, and the shard is claimed like any other.
    """
    await _replay_in_parts(state, journal.records)
    return await opener.append_takeover(replace(journal, epoch=state.epoch))


async def _replay_in_parts(
    state: DispatchState, records: Sequence[Any]
) -> None:
    """Apply records to the state, and let the lease be renewed in between."""
    for begin in range(0, len(records), REPLAYED_RECORDS):
        replay_records(state, records[begin : begin + REPLAYED_RECORDS])
        await checkpoint()


def _check_lease(lease: OwnerLease) -> None:
    """Check that the lease is valid without the outage grace."""
    if now_ms() >= lease.renewed_at + lease.ttl_ms:
        raise ShardLostError('the lease expired before the takeover')
