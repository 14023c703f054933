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
from dataclasses import replace
from time import monotonic
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.msgpack import decode
from msgspec.msgpack import encode

from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.errors import TakeoverConflictError
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.journal.records import decode_entry
from sassafrasgate.journal.records import decode_records
from sassafrasgate.journal.records import encode_entry
from sassafrasgate.journal.records import encode_records
from sassafrasgate.journal.records import JournalEntry
from sassafrasgate.journal.slots import classify_slot
from sassafrasgate.journal.slots import ends_log
from sassafrasgate.journal.slots import is_slot_covered
from sassafrasgate.journal.slots import is_successor_pointer
from sassafrasgate.journal.slots import may_replace_entry
from sassafrasgate.journal.slots import SlotState

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafrasgate.core.stores import KeyStore

RING_SLOTS = 512
# Slots reserved for takeover records, so that a shard whose ring is full of
# entries that no snapshot covers can still be taken over. Each takeover needs
# one slot.
TAKEOVER_SLOTS = 64
# Snapshots are split into chunks that are read concurrently, because the
# window of one connection is small.
CHUNK_BYTES = 128 * 1024
# A call reads one block of slots. A reader first requests three blocks, which
# usually contain the complete log when a snapshot is taken every 200 entries.
BLOCK_SLOTS = 100
INITIAL_BLOCKS = 3
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
class LoadedJournal:
    """Content and position of a journal, as a new owner needs them.

    Parameters
    ----------
    records : tuple
        Records of the snapshot and of the log after it, oldest first.
    next_sequence : int
        Number of the next entry to write.
    slot_revision : int
        Revision of the slot of ``next_sequence``; 0 when the slot is empty.
    snapshot_sequence : int
        Number of the last entry that the snapshot covers; 0 when there is no
        snapshot.
    snapshot_chunks, snapshot_revision : int
        Number of chunks of the snapshot, and revision of its pointer key.
    epoch : int
        Epoch of the last owner that has written to the journal.
    """

    records: tuple[Any, ...]
    next_sequence: int
    slot_revision: int
    snapshot_sequence: int
    snapshot_chunks: int
    snapshot_revision: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class SnapshotPointer:
    """Value and revision of the key that points to a shard's snapshot."""

    sequence: int
    chunks: int
    epoch: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class _Slot:
    entry: JournalEntry | None
    revision: int

    def classify(self, expected: int, log_epoch: int) -> SlotState:
        """Compare the slot with an entry of the log, for a reader."""
        if self.entry is None or ends_log(self.entry.epoch, log_epoch):
            return SlotState.FREE
        return classify_slot(self.entry.sequence, expected)


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


def make_entry_key(shard: str, sequence: int) -> str:
    """Return the key of the slot for a journal entry."""
    return f'{make_ring_prefix(shard)}{sequence % RING_SLOTS:04d}'


def make_ring_prefix(shard: str) -> str:
    """Return the prefix of all slots of a shard's ring."""
    return f'journal/{shard}/'


def make_snapshot_key(shard: str) -> str:
    """Return the key of a shard's snapshot pointer."""
    return f'snapshot/{shard}'


def make_chunk_key(shard: str, sequence: int, chunk: int) -> str:
    """Return the key of one chunk of a snapshot."""
    return f'snapshot-chunk/{shard}/{sequence:012d}/{chunk:04d}'


async def load_journal(store: KeyStore, shard: str) -> LoadedJournal:
    """Read a shard's snapshot and the log after it.

    Raises
    ------
    StoreUnavailableError
        When a read gets no reply.
    """
    pointer = await _read_pointer(store, shard)
    sequence = pointer.sequence + 1
    reader = _JournalReader(store, shard)
    try:
        async with anyio.create_task_group() as tasks:
            for chunk in range(pointer.chunks):
                tasks.start_soon(reader.read_chunk, pointer.sequence, chunk)
            for block in _list_blocks(sequence, INITIAL_BLOCKS):
                tasks.start_soon(reader.read_block, block)
    except* StoreUnavailableError as group:
        raise StoreUnavailableError(
            f'cannot read the journal of shard {shard!r}: '
            f'{group.exceptions[0]}; read it again'
        ) from group
    if len(reader.chunks) < pointer.chunks:
        # A newer snapshot has replaced this one during the read.
        return await load_journal(store, shard)
    records: list[Any] = []
    if reader.chunks:
        data = b''.join(reader.chunks[n] for n in range(pointer.chunks))
        records.extend(decode_records(data))

    async def read_slot(number: int) -> _Slot:
        await reader.read_block(_find_block(number))
        return reader.slots.get(number % RING_SLOTS, _Slot(None, 0))

    start = LoadedJournal(
        tuple(records),
        sequence,
        0,
        pointer.sequence,
        pointer.chunks,
        pointer.revision,
        pointer.epoch,
    )
    loaded = await _read_log(start, read_slot)
    # Without a result, the owner has wrapped around the ring during the
    # read, and has written a newer snapshot.
    return loaded or await load_journal(store, shard)


async def read_new_entries(
    store: KeyStore, shard: str, loaded: LoadedJournal
) -> LoadedJournal:
    """Read the entries that were written after a journal was loaded.

    Raises
    ------
    StoreUnavailableError
        When a read gets no reply.
    """

    async def read_slot(number: int) -> _Slot:
        return await _read_slot(store, shard, number)

    return await _read_log(loaded, read_slot) or await load_journal(
        store, shard
    )


async def _read_log(
    loaded: LoadedJournal, read_slot: Callable[[int], Awaitable[_Slot]]
) -> LoadedJournal | None:
    """Append the entries from ``next_sequence`` on to a loaded journal.

    Returns
    -------
    LoadedJournal or None
        None when a slot holds an entry of a later lap around the ring.
    """
    records = list(loaded.records)
    sequence, epoch = loaded.next_sequence, loaded.epoch
    while True:
        slot = await read_slot(sequence)
        found = slot.classify(sequence, epoch)
        if found is SlotState.NEWER:
            return None
        if slot.entry is None or found is SlotState.FREE:
            return replace(
                loaded,
                records=tuple(records),
                next_sequence=sequence,
                slot_revision=slot.revision,
                epoch=epoch,
            )
        records.extend(slot.entry.records)
        epoch = slot.entry.epoch
        sequence += 1


def _find_block(sequence: int) -> int:
    return sequence % RING_SLOTS // BLOCK_SLOTS


def _list_blocks(first: int, count: int) -> list[int]:
    """Return the distinct blocks of the ring from an entry on."""
    blocks = (_find_block(first + n * BLOCK_SLOTS) for n in range(count))
    return list(dict.fromkeys(blocks))


class _JournalReader:
    """Reads chunks and blocks of a journal, each at most once.

    One call for each slot would use up the process's rate of store calls for
    many seconds, and one call for the entire ring is limited by the throughput
    of one connection. Slots that are written during the read get another
    revision, so that writing the takeover record fails and the new owner
    reads on.
    """

    def __init__(self, store: KeyStore, shard: str) -> None:
        self._store = store
        self._shard = shard
        self._blocks: set[int] = set()
        self.slots: dict[int, _Slot] = {}
        self.chunks: dict[int, bytes] = {}

    async def read_chunk(self, sequence: int, chunk: int) -> None:
        """Read a chunk of the snapshot; skip it if it has been deleted."""
        key = make_chunk_key(self._shard, sequence, chunk)
        item = await self._store.get(key, priority=CallPriority.HIGH)
        if item is not None and item.value is not None:
            self.chunks[chunk] = item.value

    async def read_block(self, block: int) -> None:
        """Read a block of slots with one call, unless it was already read."""
        if block in self._blocks:
            return
        self._blocks.add(block)
        prefix = make_ring_prefix(self._shard)
        # Slot numbers have four digits; slots of a block share the first two.
        listed = await self._store.read_prefix(
            f'{prefix}{block:02d}', CallPriority.HIGH
        )
        for item in listed.items:
            if item.value is not None:
                number = int(item.key.removeprefix(prefix))
                self.slots[number] = _Slot(
                    decode_entry(item.value), item.revision
                )


async def _read_pointer(store: KeyStore, shard: str) -> SnapshotPointer:
    item = await store.get(make_snapshot_key(shard))
    if item is None or item.value is None:
        return SnapshotPointer(0, 0)
    sequence, chunks, epoch = decode(item.value)
    return SnapshotPointer(sequence, chunks, epoch, item.revision)


async def _read_slot(store: KeyStore, shard: str, sequence: int) -> _Slot:
    key = make_entry_key(shard, sequence)
    item = await store.get(key, priority=CallPriority.HIGH)
    if item is None or item.value is None:
        return _Slot(None, 0)
    return _Slot(decode_entry(item.value), item.revision)


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
        slot = await _read_slot(self._store, self._shard, sequence)
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
        pointer = await _read_pointer(self._store, self._shard)
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
