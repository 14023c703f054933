"""A shard's journal: a numbered chain of entries in a ring of keys.

Entry ``n`` is written to slot ``n % RING_SLOTS`` by compare-and-swap on the
slot's revision. That is what fences a stale owner: two owners can't both
write the entry of the same number, and a write that was delayed by a whole
lap of the ring finds another revision. Keys that are created once and
deleted by trimming would let such a late write succeed, and would cost a
second write for each entry.

An owner may write several entries at a time. An entry counts only once all
entries before it are in their slots; a successor may find a later one behind
a gap, whose epoch is lower than its own, and writes over it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
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
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.journal.records import decode_entry
from sassafrasgate.journal.records import decode_records
from sassafrasgate.journal.records import encode_entry
from sassafrasgate.journal.records import encode_records
from sassafrasgate.journal.records import JournalEntry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafrasgate.core.stores import KeyStore

RING_SLOTS = 512
# Slots that only takeover records use, so that a ring full of entries that no
# snapshot covers can still be taken over; each takeover needs one.
TAKEOVER_SLOTS = 64
# Chunks are read side by side, since a connection's window is small.
CHUNK_BYTES = 128 * 1024
# Slots that one call reads, and the blocks that a reader asks for at once:
# with a snapshot every 200 entries a chain mostly lies within three.
BLOCK_SLOTS = 100
FIRST_BLOCKS = 3
FIRST_RETRY_S = 0.05
# An answer is overdue after this many times the usual latency, within bounds.
PATIENCE_FACTOR = 4.0
LEAST_PATIENCE_S = 0.06
MOST_PATIENCE_S = 0.6
# Weight of the newest latency in the usual one.
LATENCY_WEIGHT = 0.2
# Acceptance waits for the next try once the store is back.
LONGEST_RETRY_S = 0.25


@dataclass(frozen=True, slots=True)
class LoadedJournal:
    """What a new owner reads.

    Parameters
    ----------
    records : tuple
        Snapshot and chain, oldest first.
    next_sequence : int
        Number of the first entry that does not exist.
    slot_revision : int
        Revision of the slot of ``next_sequence``; 0 when it is empty.
    snapshot_sequence : int
        Last number that the snapshot covers; 0 without one.
    snapshot_chunks, snapshot_revision : int
        Of the snapshot and its pointer.
    """

    records: tuple[Any, ...]
    next_sequence: int
    slot_revision: int
    snapshot_sequence: int
    snapshot_chunks: int
    snapshot_revision: int


@dataclass(frozen=True, slots=True)
class SnapshotPointer:
    """The value of a shard's snapshot key."""

    sequence: int
    chunks: int
    epoch: int = 0
    revision: int = 0


@dataclass(frozen=True, slots=True)
class _Slot:
    entry: JournalEntry | None
    revision: int

    def classify(self, expected: int, epoch: int) -> SlotState:
        if self.entry is None or self.entry.epoch < epoch:
            return SlotState.FREE
        return classify_slot(self.entry.sequence, expected)


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """An entry with a number, to be written.

    Parameters
    ----------
    sequence : int
        Its number in the chain.
    records : tuple
        Its records.
    value : bytes
        Encoded entry.
    """

    sequence: int
    records: tuple[Any, ...]
    value: bytes


class SlotState(StrEnum):
    """What a slot of the ring holds, seen from an expected number."""

    FREE = 'free'
    PRESENT = 'present'
    NEWER = 'newer'


def classify_slot(found: int | None, expected: int) -> SlotState:
    """Compare the entry of a slot with an expected entry.

    Parameters
    ----------
    found : int or None
        Number of the entry in the slot; None when the slot is empty.
    expected : int
        Number of an entry that belongs into the slot.

    Returns
    -------
    SlotState
        ``FREE`` when the slot is empty or holds an earlier entry.

    Examples
    --------
    >>> classify_slot(7, 7 + RING_SLOTS)
    <SlotState.FREE: 'free'>
    """
    if found is None or found < expected:
        return SlotState.FREE
    return SlotState.PRESENT if found == expected else SlotState.NEWER


def is_slot_covered(sequence: int, snapshot_sequence: int, slots: int) -> bool:
    """Tell whether writing an entry overwrites only what a snapshot covers.

    Parameters
    ----------
    sequence, snapshot_sequence : int
        Number of the entry, and the last one that the snapshot covers.
    slots : int
        Length of the ring.
    """
    return sequence - snapshot_sequence <= slots


def is_successor_pointer(sequence: int, next_sequence: int) -> bool:
    """Tell whether another owner's snapshot follows this owner's chain.

    A successor's snapshots cover its takeover record, which has this owner's
    next number or a later one. A pointer below that number was written by
    this owner, whose reply was lost, or late by an earlier one.

    Parameters
    ----------
    sequence : int
        Last number that the found snapshot covers.
    next_sequence : int
        The number that this owner writes next.
    """
    return sequence >= next_sequence


def make_entry_key(shard: str, sequence: int) -> str:
    """Return the key of the slot of one journal entry."""
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
    """Read a shard's snapshot and chain.

    Raises
    ------
    StoreUnavailableError
        When a read gets no answer.
    """
    pointer = await _read_pointer(store, shard)
    sequence = pointer.sequence + 1
    reader = _JournalReader(store, shard)
    try:
        async with anyio.create_task_group() as tasks:
            for chunk in range(pointer.chunks):
                tasks.start_soon(reader.read_chunk, pointer.sequence, chunk)
            for block in _list_blocks(sequence, FIRST_BLOCKS):
                tasks.start_soon(reader.read_block, block)
    except* StoreUnavailableError as group:
        raise StoreUnavailableError(
            f'the journal of shard {shard!r} was not read: '
            f'{group.exceptions[0]}; read it again'
        ) from group
    if len(reader.chunks) < pointer.chunks:
        # A newer snapshot has replaced this one meanwhile.
        return await load_journal(store, shard)
    records: list[Any] = []
    if reader.chunks:
        data = b''.join(reader.chunks[n] for n in range(pointer.chunks))
        records.extend(decode_records(data))
    epoch = pointer.epoch
    while True:
        await reader.read_block(_find_block(sequence))
        slot = reader.slots.get(sequence % RING_SLOTS, _Slot(None, 0))
        entry = slot.entry
        found = slot.classify(sequence, epoch)
        if found is SlotState.NEWER:
            # The owner has lapped this reader, and has a newer snapshot.
            return await load_journal(store, shard)
        if entry is None or found is SlotState.FREE:
            return LoadedJournal(
                tuple(records),
                sequence,
                slot.revision,
                pointer.sequence,
                pointer.chunks,
                pointer.revision,
            )
        records.extend(entry.records)
        epoch = entry.epoch
        sequence += 1


def _find_block(sequence: int) -> int:
    return sequence % RING_SLOTS // BLOCK_SLOTS


def _list_blocks(first: int, count: int) -> list[int]:
    """Return the blocks of the ring from an entry on, without repeats."""
    blocks = (_find_block(first + n * BLOCK_SLOTS) for n in range(count))
    return list(dict.fromkeys(blocks))


class _JournalReader:
    """Reads parts of a journal, each once.

    A call for each slot would take a process's share of the store for many
    seconds, and one call for the whole ring is as slow as its bytes on one
    connection. Slots that are written meanwhile have another revision, so
    that the takeover record fails and the reader starts over.
    """

    def __init__(self, store: KeyStore, shard: str) -> None:
        self._store = store
        self._shard = shard
        self._blocks: set[int] = set()
        self.slots: dict[int, _Slot] = {}
        self.chunks: dict[int, bytes] = {}

    async def read_chunk(self, sequence: int, chunk: int) -> None:
        """Read a chunk of the snapshot, unless it has been deleted."""
        key = make_chunk_key(self._shard, sequence, chunk)
        item = await self._store.get(key, priority=CallPriority.HIGH)
        if item is not None and item.value is not None:
            self.chunks[chunk] = item.value

    async def read_block(self, block: int) -> None:
        """Read neighbouring slots with one call, unless that was done."""
        if block in self._blocks:
            return
        self._blocks.add(block)
        prefix = make_ring_prefix(self._shard)
        # Slot numbers have four digits; a block shares the first two.
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
    """The writing end of a shard's chain; used by one task.

    Parameters
    ----------
    store : KeyStore
        The platform's store.
    shard : str
        Shard name.
    writer : str
        Process name and incarnation.
    loaded : LoadedJournal
        What this owner has read.
    note_failure : callable, optional
        Called after each try of an append that got no answer.
    """

    def __init__(
        self,
        store: KeyStore,
        shard: str,
        writer: str,
        loaded: LoadedJournal,
        note_failure: Callable[[], None] | None = None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._writer = writer
        self._note_failure = note_failure
        self._snapshot_sequence = loaded.snapshot_sequence
        self._snapshot_revision = loaded.snapshot_revision
        self._snapshot_chunks = loaded.snapshot_chunks
        self._revisions = {
            loaded.next_sequence % RING_SLOTS: loaded.slot_revision
        }
        self._latency_s = 0.0
        self.next_sequence = loaded.next_sequence
        self.epoch = 0

    async def export_position(self) -> LoadedJournal:
        """Return what a successor needs to go on without reading.

        Its records are left out; they are those of the owner's state.

        Raises
        ------
        StoreUnavailableError
            When the next slot has to be read and there is no answer.
        ShardLostError
            When another process has written the next entry.
        """
        number = self.next_sequence % RING_SLOTS
        if number not in self._revisions:
            await self._learn_revision(self.next_sequence)
        return LoadedJournal(
            (),
            self.next_sequence,
            self._revisions[number],
            self._snapshot_sequence,
            self._snapshot_chunks,
            self._snapshot_revision,
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether there is room for an entry besides takeover records."""
        return is_slot_covered(
            self.next_sequence,
            self._snapshot_sequence,
            RING_SLOTS - TAKEOVER_SLOTS,
        )

    @property
    def uncovered_entries(self) -> int:
        """Number of entries that the snapshot does not cover."""
        return self.next_sequence - 1 - self._snapshot_sequence

    async def append(self, records: Iterable[Any]) -> None:
        """Append records as the next entry; retry until that is certain.

        Raises
        ------
        ShardLostError
            As `prepare` and `write`.
        """
        await self.write(self.prepare(records))

    def prepare(self, records: Iterable[Any]) -> PendingEntry:
        """Give the next number to an entry with some records.

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
                'entries after its snapshot; a further entry would '
                'overwrite one of them'
            )
        entry = JournalEntry(
            self._writer, self.epoch, self.next_sequence, tuple(records)
        )
        self.next_sequence += 1
        return PendingEntry(entry.sequence, entry.records, encode_entry(entry))

    async def write(self, entry: PendingEntry) -> None:
        """Write an entry; retry until that is certain.

        Entries may be written side by side. The records of an entry are
        durable once it and all entries before it are written.

        Raises
        ------
        ShardLostError
            When another process has written the entry's number.
        """
        delay_s = FIRST_RETRY_S
        while True:
            try:
                if await self._try_write(entry):
                    return
            except StoreUnavailableError:
                if self._note_failure is not None:
                    self._note_failure()
                await anyio.sleep(delay_s)
                delay_s = min(delay_s * 2, LONGEST_RETRY_S)

    async def _try_write(self, entry: PendingEntry) -> bool:
        """Write an entry once; False when it should be tried again now."""
        number = entry.sequence % RING_SLOTS
        key = make_entry_key(self._shard, entry.sequence)
        try:
            # Most slots that this owner has not seen are empty; reading them
            # first would delay each entry of the ring's first lap.
            revision = await self._write_watched(
                key, entry, self._revisions.get(number, 0)
            )
        except StoreConflictError:
            return await self._resolve_conflict(key, entry)
        if revision is None:
            return False
        self._revisions[number] = revision
        return True

    async def _write_watched(
        self, key: str, entry: PendingEntry, revision: int
    ) -> int | None:
        """Write a slot; read it back when the answer is overdue.

        Returns
        -------
        int or None
            The slot's new revision; None when the write has to be repeated.
        """
        outcome: list[int | StoreError | None] = []

        async def write(scope: anyio.CancelScope) -> None:
            began = monotonic()
            try:
                outcome.append(
                    await self._write_key(
                        key, entry.value, revision, CallPriority.HIGH
                    )
                )
                self._note_latency(monotonic() - began)
            except StoreError as error:
                outcome.append(error)
            scope.cancel()

        async def read_back(scope: anyio.CancelScope) -> None:
            await anyio.sleep(self._find_patience_s())
            try:
                item = await self._store.get(key, priority=CallPriority.HIGH)
            except StoreError:
                # The write itself may still be answered.
                return
            if item is not None and item.value == entry.value:
                outcome.append(item.revision)
            # A write that is not there may be carried out later, after the
            # next try has changed the slot's revision.
            scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write, tasks.cancel_scope)
            tasks.start_soon(read_back, tasks.cancel_scope)
        result = outcome[0] if outcome else None
        if isinstance(result, StoreError):
            raise result
        return result

    def _find_patience_s(self) -> float:
        """Return when the answer to a write is overdue."""
        patience_s = PATIENCE_FACTOR * self._latency_s
        return min(max(patience_s, LEAST_PATIENCE_S), MOST_PATIENCE_S)

    def _note_latency(self, seconds: float) -> None:
        self._latency_s += LATENCY_WEIGHT * (seconds - self._latency_s)

    async def _resolve_conflict(self, key: str, entry: PendingEntry) -> bool:
        """Find out who has written the slot; True if this entry is in it."""
        item = await self._store.get(key, priority=CallPriority.HIGH)
        number = entry.sequence % RING_SLOTS
        if item is None or item.value is None:
            self._revisions[number] = 0
            return False
        self._revisions[number] = item.revision
        if item.value == entry.value:
            return True
        slot = _Slot(decode_entry(item.value), item.revision)
        if slot.classify(entry.sequence, self.epoch) is SlotState.FREE:
            # An entry of an earlier lap, or a late write of an earlier owner
            # behind a gap in its chain.
            return False
        raise ShardLostError(
            f'journal key {key!r} was written by another owner; this '
            'process stops serving the shard'
        )

    async def _learn_revision(self, sequence: int) -> None:
        """Read a slot that was last written by an earlier owner."""
        slot = await _read_slot(self._store, self._shard, sequence)
        if slot.classify(sequence, self.epoch) is not SlotState.FREE:
            raise ShardLostError(
                f'entry {sequence!r} of shard {self._shard!r} was '
                'written by another owner; this process stops serving it'
            )
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
            When a call gets no answer; the old snapshot stays valid.
        ShardLostError
            When another process has written a newer snapshot.
        """
        chunks = max(1, -(-len(data) // CHUNK_BYTES))
        for chunk in range(chunks):
            part = data[chunk * CHUNK_BYTES : (chunk + 1) * CHUNK_BYTES]
            await self._create_chunk(sequence, chunk, part)
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

    async def _create_chunk(
        self, sequence: int, chunk: int, part: bytes
    ) -> None:
        key = make_chunk_key(self._shard, sequence, chunk)
        try:
            await self._store.create(key, part, priority=CallPriority.LOW)
        except StoreConflictError:
            # Left by a try whose reply was lost. Chunk keys carry the
            # sequence, whose content only one owner could have written.
            return

    async def _swap_pointer(self, sequence: int, chunks: int) -> bool:
        """Return False when the pointer has another revision."""
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
        """Read a pointer that has moved, unless a successor has moved it."""
        pointer = await _read_pointer(self._store, self._shard)
        if is_successor_pointer(pointer.sequence, self.next_sequence):
            raise ShardLostError(
                f'the snapshot of shard {self._shard!r} was written by '
                'another owner; this process stops serving the shard'
            )
        return pointer


def encode_snapshot(records: Iterable[Any]) -> bytes:
    """Return the content of a snapshot."""
    return encode_records(records)
