"""Opening a journal for writing: the takeover record of a new owner."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import TakeoverConflictError
from sassafrasgate.journal.loading import load_journal
from sassafrasgate.journal.loading import LoadedJournal
from sassafrasgate.journal.loading import read_new_entries
from sassafrasgate.journal.records import Takeover
from sassafrasgate.journal.ring_buffer import Journal

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.shards.ownership import OwnerLease

    ReadLease = Callable[[], OwnerLease]

LOAD_RETRY_DELAY_S = 0.1


@dataclass(frozen=True, slots=True)
class OpenedJournal:
    """A journal that its new owner may write.

    Parameters
    ----------
    journal : Journal
        Positioned after the takeover record.
    loaded : LoadedJournal
        All that precedes the takeover record.
    takeover : Takeover
        The takeover record.
    conflicts : int
        Number of times that the previous owner was faster in writing the
        next entry.
    """

    journal: Journal
    loaded: LoadedJournal
    takeover: Takeover
    conflicts: int


class JournalOpener:
    """Opens a shard's journal for a new owner.

    Parameters
    ----------
    store : KeyStore
        The platform's store.
    shard : str
        Shard name.
    owner : str
        Name and incarnation of this process.
    read_lease : callable
        Returns the process's newest lease. It raises `ShardLostError` when
        the process may no longer take the shard over.
    handle_failure : callable, optional
        Called after each attempt to write an entry that got no reply.
    """

    def __init__(
        self,
        store: KeyStore,
        shard: str,
        owner: str,
        read_lease: ReadLease,
        handle_failure: Callable[[], None] | None = None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._owner = owner
        self._read_lease = read_lease
        self._handle_failure = handle_failure

    async def load(self) -> LoadedJournal:
        """Read the journal; retry until the store replies.

        Raises
        ------
        ShardLostError
            When the shard may no longer be taken over, or the journal
            cannot be decoded.
        """
        return await self._repeat(
            lambda: load_journal(self._store, self._shard)
        )

    async def open(self, loaded: LoadedJournal) -> OpenedJournal:
        """Append the takeover record behind all that has been written.

        The previous owner may be alive and write entries meanwhile. They
        belong to the log, so that this owner reads them first.

        Raises
        ------
        ShardLostError
            When the shard may no longer be taken over, or another process
            has taken it over.
        """
        conflicts = 0
        while True:
            try:
                return await self.append_takeover(loaded, conflicts)
            except TakeoverConflictError:
                conflicts += 1
                loaded = await self._read_new_entries(loaded)

    async def append_takeover(
        self, loaded: LoadedJournal, conflicts: int = 0
    ) -> OpenedJournal:
        """Append the takeover record as the next entry.

        Raises
        ------
        TakeoverConflictError
            When the previous owner has written that entry.
        ShardLostError
            As for `open`.
        """
        lease = self._read_lease()
        takeover = Takeover(
            loaded.epoch + 1, self._owner, lease.grace_ms, lease.ttl_ms
        )
        journal = Journal(
            self._store,
            self._shard,
            self._owner,
            loaded,
            self._handle_failure,
        )
        journal.epoch = takeover.epoch
        await journal.append((takeover,))
        return OpenedJournal(journal, loaded, takeover, conflicts)

    async def _read_new_entries(self, loaded: LoadedJournal) -> LoadedJournal:
        return await self._repeat(
            lambda: read_new_entries(self._store, self._shard, loaded)
        )

    async def _repeat(
        self, read: Callable[[], Awaitable[LoadedJournal]]
    ) -> LoadedJournal:
        """Repeat a read until the store replies."""
        while True:
            self._read_lease()
            try:
                return await read()
            except StoreError:
                await anyio.sleep(LOAD_RETRY_DELAY_S)
            except MessageError as error:
                raise ShardLostError(str(error)) from error
