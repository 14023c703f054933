"""A shard's journal: a log of numbered entries in a ring buffer of keys.

Entry ``n`` is written to slot ``n % RING_SLOTS`` by compare-and-swap on the
slot's revision. The compare-and-swap fences off a stale owner: two owners
cannot both write the entry of the same number, and a write that was delayed
until the ring has wrapped around finds another revision. Keys that are
created once and deleted by trimming would let such a late write succeed, and
would cost a second write for each entry.

An owner may write several entries concurrently. An entry takes effect only
once all entries before it are in their slots. A successor fills the first gap
with its takeover record. It may find entries behind the gap, of a lower epoch,
and overwrites them. If the previous owner fills the gap first, its entry
belongs to the log, and the successor reads on. `slots` has these rules.
"""

from __future__ import annotations

from dataclasses import dataclass
from time import monotonic
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.msgpack import encode

from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.errors import TakeoverConflictError
from sassafrasgate.journal.keys import make_chunk_key
from sassafrasgate.journal.keys import make_entry_key
from sassafrasgate.journal.keys import make_snapshot_key
from sassafrasgate.journal.keys import RING_SLOTS
from sassafrasgate.journal.loading import LoadedJournal
from sassafrasgate.journal.loading import read_pointer
from sassafrasgate.journal.loading import read_stored_slot
from sassafrasgate.journal.loading import SnapshotPointer
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.journal.records import decode_entry
from sassafrasgate.journal.records import encode_entry
from sassafrasgate.journal.records import encode_records
from sassafrasgate.journal.records import JournalEntry
from sassafrasgate.journal.slots import is_slot_covered
from sassafrasgate.journal.slots import is_successor_pointer
from sassafrasgate.journal.slots import may_replace_entry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafrasgate.core.stores import KeyStore

# Slots reserved for takeover records, so that a shard whose ring is full of
# entries that no snapshot covers can still be taken over. Each takeover needs
# one slot.
TAKEOVER_SLOTS = 64
# Snapshots are split into chunks that are read concurrently, because the
# window of one connection is small.
CHUNK_BYTES = 128 * 1024
INITIAL_RETRY_DELAY_S = 0.05
# A write is read back when its reply takes longer than this multiple of the
# average latency, within the bounds.
READ_BACK_DELAY_FACTOR = 4.0
MIN_READ_BACK_DELAY_S = 0.06
MAX_READ_BACK_DELAY_S = 0.6
# Weight of the latest sample in the moving average of the latency.
LATENCY_WEIGHT = 0.2
# Job acceptance waits for the next retry after the store has recovered.
MAX_RETRY_DELAY_S = 0.25


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """A numbered entry that has yet to be written.

    Parameters
    ----------
    sequence : int
        Number of the entry in the log.
    records : tuple
        Records of the entry.
    value : bytes
        Encoded entry.
    """

    sequence: int
    records: tuple[Any, ...]
    value: bytes


class Journal:
    """Writer of a shard's journal; used by one task.

    Parameters
    ----------
    store : KeyStore
        The platform's store.
    shard : str
        Shard name.
    writer : str
        Name and incarnation of this process.
    loaded : LoadedJournal
        Journal as this owner has read it.
    handle_failure : callable, optional
        Called after each attempt to write an entry that got no reply.
    """

    def __init__(
        self,
        store: KeyStore,
        shard: str,
        writer: str,
        loaded: LoadedJournal,
        handle_failure: Callable[[], None] | None = None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._writer = writer
        self._handle_failure = handle_failure
        self._snapshot_sequence = loaded.snapshot_sequence
        self._snapshot_revision = loaded.snapshot_revision
        self._snapshot_chunks = loaded.snapshot_chunks
        self._revisions = {
            loaded.next_sequence % RING_SLOTS: loaded.slot_revision
        }
        self._latency_s = 0.0
        self._takeover_sequence = loaded.next_sequence
        self.next_sequence = loaded.next_sequence
        self.epoch = 0

    async def export_position(self) -> LoadedJournal:
        """Return the position from which a successor continues the journal.

        The successor need not read the journal. The result has no records,
        since the owner hands over its state.

        Raises
        ------
        StoreUnavailableError
            When the next slot has to be read and the read gets no reply.
        ShardLostError
            When another process has written the next entry.
        """
        slot_index = self.next_sequence % RING_SLOTS
        if slot_index not in self._revisions:
            await self._read_revision(self.next_sequence)
        return LoadedJournal(
            (),
            self.next_sequence,
            self._revisions[slot_index],
            self._snapshot_sequence,
            self._snapshot_chunks,
            self._snapshot_revision,
            self.epoch,
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether a slot is free besides those for takeover records."""
        return is_slot_covered(
            self.next_sequence,
            self._snapshot_sequence,
            RING_SLOTS - TAKEOVER_SLOTS,
        )

    @property
    def uncovered_entries(self) -> int:
        """Number of entries after the snapshot."""
        return self.next_sequence - 1 - self._snapshot_sequence

    async def append(self, records: Iterable[Any]) -> None:
        """Append records as the next entry; retry until it is written.

        Raises
        ------
        ShardLostError
            When another process has written the entry, or when its slot holds
            an entry that no snapshot covers.
        """
        await self.write(self.prepare(records))

    def prepare(self, records: Iterable[Any]) -> PendingEntry:
        """Return an entry with the next number for some records.

        Raises
        ------
        ShardLostError
            When the entry's slot holds an entry that no snapshot covers.
        """
        if not is_slot_covered(
            self.next_sequence, self._snapshot_sequence, RING_SLOTS
        ):
            raise ShardLostError(
                f'the journal of shard {self._shard!r} has {RING_SLOTS} '
                'entries after its snapshot; another entry would '
                'overwrite one of them'
            )
        entry = JournalEntry(
            self._writer, self.epoch, self.next_sequence, tuple(records)
        )
        self.next_sequence += 1
        return PendingEntry(entry.sequence, entry.records, encode_entry(entry))

    async def write(self, entry: PendingEntry) -> None:
        """Write an entry; retry until it is written.

        Entries may be written concurrently. The records of an entry are
        durable once it and all entries before it are written.

        Raises
        ------
        ShardLostError
            When another process has written an entry with this number.
        """
        delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                if await self._try_write(entry):
                    return
            except StoreUnavailableError:
                if self._handle_failure is not None:
                    self._handle_failure()
                await anyio.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _try_write(self, entry: PendingEntry) -> bool:
        """Try to write an entry; False when it has to be retried at once."""
        slot_index = entry.sequence % RING_SLOTS
        key = make_entry_key(self._shard, entry.sequence)
        try:
            # Most slots whose revision this owner does not know are empty.
            # Reading them first would delay each entry until the ring wraps
            # around.
            revision = await self._write_with_read_back(
                key, entry, self._revisions.get(slot_index, 0)
            )
        except StoreConflictError:
            return await self._resolve_conflict(key, entry)
        if revision is None:
            return False
        self._revisions[slot_index] = revision
        return True

    async def _write_with_read_back(
        self, key: str, entry: PendingEntry, revision: int
    ) -> int | None:
        """Write a slot; read it back when the reply is overdue.

        Returns
        -------
        int or None
            The slot's new revision; None when the write has to be retried.
        """
        outcome: list[int | StoreError | None] = []

        async def write(scope: anyio.CancelScope) -> None:
            started = monotonic()
            try:
                outcome.append(
                    await self._write_key(
                        key, entry.value, revision, CallPriority.HIGH
                    )
                )
                self._record_latency(monotonic() - started)
            except StoreError as error:
                outcome.append(error)
            scope.cancel()

        async def read_back(scope: anyio.CancelScope) -> None:
            await anyio.sleep(self._compute_read_back_delay_s())
            try:
                item = await self._store.get(key, priority=CallPriority.HIGH)
            except StoreError:
                # The write itself may still get a reply.
                return
            if item is not None and item.value == entry.value:
                outcome.append(item.revision)
            # If the slot does not hold the value, the write may still be
            # executed. After the retry it fails, because the retry has
            # changed the slot's revision.
            scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write, tasks.cancel_scope)
            tasks.start_soon(read_back, tasks.cancel_scope)
        result = outcome[0] if outcome else None
        if isinstance(result, StoreError):
            raise result
        return result

    def _compute_read_back_delay_s(self) -> float:
        """Return the time after which the reply to a write is overdue."""
        delay_s = READ_BACK_DELAY_FACTOR * self._latency_s
        return min(max(delay_s, MIN_READ_BACK_DELAY_S), MAX_READ_BACK_DELAY_S)

    def _record_latency(self, seconds: float) -> None:
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)

    async def _resolve_conflict(self, key: str, entry: PendingEntry) -> bool:
        """Read a slot after a conflict; True if it holds this entry."""
        item = await self._store.get(key, priority=CallPriority.HIGH)
        slot_index = entry.sequence % RING_SLOTS
        if item is None or item.value is None:
            self._revisions[slot_index] = 0
            return False
        self._revisions[slot_index] = item.revision
        if item.value == entry.value:
            return True
        found = decode_entry(item.value)
        if self._may_replace(found, entry.sequence):
            return False
        raise self._make_conflict_error(found, entry.sequence)

    def _may_replace(self, found: JournalEntry, sequence: int) -> bool:
        return may_replace_entry(
            found.sequence,
            found.epoch,
            sequence,
            self.epoch,
            self._takeover_sequence,
        )

    def _make_conflict_error(
        self, found: JournalEntry, sequence: int
    ) -> ShardLostError:
        """Return the error for a slot that holds an entry of another owner."""
        if sequence == self._takeover_sequence and found.epoch < self.epoch:
            return TakeoverConflictError(
                f'{found.writer!r} has written entry {sequence} of the '
                f'journal of shard {self._shard!r} before the takeover; read '
                'the new entries and take over behind them'
            )
        return ShardLostError(
            f'entry {sequence} of the journal of shard {self._shard!r} was '
            f'written by another owner, {found.writer!r}; this process stops '
            'serving the shard'
        )

    async def _read_revision(self, sequence: int) -> None:
        """Read the revision of a slot that a previous owner wrote last."""
        slot = await read_stored_slot(self._store, self._shard, sequence)
        if slot.entry and not self._may_replace(slot.entry, sequence):
            raise self._make_conflict_error(slot.entry, sequence)
        self._revisions[sequence % RING_SLOTS] = slot.revision

    async def _write_key(
        self, key: str, value: bytes, revision: int, priority: CallPriority
    ) -> int:
        if revision == 0:
            return await self._store.create(key, value, priority=priority)
        return await self._store.swap(key, value, revision, priority=priority)

    async def write_snapshot(self, sequence: int, data: bytes) -> None:
        """Write a snapshot that covers entries up to ``sequence``.

        Raises
        ------
        StoreUnavailableError
            When a call gets no reply; the old snapshot stays valid.
        ShardLostError
            When another process has written a newer snapshot.
        """
        chunks = max(1, -(-len(data) // CHUNK_BYTES))
        for chunk in range(chunks):
            part = data[chunk * CHUNK_BYTES : (chunk + 1) * CHUNK_BYTES]
            await self._write_chunk(sequence, chunk, part)
        replaced = {self._snapshot_sequence: self._snapshot_chunks}
        while not await self._swap_pointer(sequence, chunks):
            pointer = await self._find_own_pointer()
            self._snapshot_revision = pointer.revision
            if (pointer.sequence, pointer.chunks) == (sequence, chunks):
                break
            replaced[pointer.sequence] = pointer.chunks
        self._snapshot_sequence = sequence
        self._snapshot_chunks = chunks
        replaced.pop(sequence, None)
        for old_sequence, old_chunks in replaced.items():
            for chunk in range(old_chunks):
                await self._store.delete(
                    make_chunk_key(self._shard, old_sequence, chunk),
                    priority=CallPriority.LOW,
                )

    async def _write_chunk(
        self, sequence: int, chunk: int, part: bytes
    ) -> None:
        key = make_chunk_key(self._shard, sequence, chunk)
        revision = 0
        while True:
            try:
                await self._write_key(key, part, revision, CallPriority.LOW)
                return
            except StoreConflictError:
                item = await self._store.get(key, priority=CallPriority.LOW)
            if item is not None and item.value == part:
                # An earlier attempt of this owner, whose reply was lost.
                return
            # Other content under this number can't be of a snapshot of this
            # log, in which this owner has written the entry of the number.
            revision = item.revision if item is not None else 0

    async def _swap_pointer(self, sequence: int, chunks: int) -> bool:
        """Write the snapshot pointer; False when it has another revision."""
        key = make_snapshot_key(self._shard)
        value = encode((sequence, chunks, self.epoch))
        try:
            self._snapshot_revision = await self._write_key(
                key, value, self._snapshot_revision, CallPriority.LOW
            )
        except StoreConflictError:
            return False
        return True

    async def _find_own_pointer(self) -> SnapshotPointer:
        """Read a pointer that was changed, unless by a successor."""
        pointer = await read_pointer(self._store, self._shard)
        if is_successor_pointer(
            pointer.sequence, pointer.epoch, self.next_sequence, self.epoch
        ):
            raise ShardLostError(
                f'the snapshot of shard {self._shard!r} was written by '
                'another owner; this process stops serving the shard'
            )
        return pointer


def encode_snapshot(records: Iterable[Any]) -> bytes:
    """Return the encoded content of a snapshot."""
    return encode_records(records)
