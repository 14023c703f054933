"""A shard's journal: a numbered chain of entries in a ring of keys.

Entry ``n`` is written to slot ``n % RING_SLOTS`` by compare-and-swap on the
slot's revision. That is what fences a stale owner: two owners can't both
write the entry of the same number, and a write that was delayed by a whole
lap of the ring finds another revision. Keys that are created once and
deleted by trimming would let such a late write succeed, and would cost a
second write for each entry.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.msgpack import decode
from msgspec.msgpack import encode

from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.journal.budget import CallPriority
from sassafrasgate.journal.records import decode_entry
from sassafrasgate.journal.records import decode_records
from sassafrasgate.journal.records import encode_entry
from sassafrasgate.journal.records import encode_records
from sassafrasgate.journal.records import JournalEntry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.platform.store import Store

RING_SLOTS = 512
CHUNK_BYTES = 512 * 1024
READ_WINDOW = 16
FIRST_RETRY_S = 0.05
LONGEST_RETRY_S = 1.0


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
    revision: int = 0


@dataclass(frozen=True, slots=True)
class _Slot:
    entry: JournalEntry | None
    revision: int


def make_entry_key(shard: str, sequence: int) -> str:
    """Return the key of the slot of one journal entry."""
    return f'journal/{shard}/{sequence % RING_SLOTS:04d}'


def make_snapshot_key(shard: str) -> str:
    """Return the key of a shard's snapshot pointer."""
    return f'snapshot/{shard}'


def make_chunk_key(shard: str, sequence: int, chunk: int) -> str:
    """Return the key of one chunk of a snapshot."""
    return f'snapshot-chunk/{shard}/{sequence:012d}/{chunk:04d}'


async def load_journal(store: Store, shard: str) -> LoadedJournal:
    """Read a shard's snapshot and chain.

    Raises
    ------
    StoreUnavailableError
        When a read gets no answer.
    """
    pointer = await _read_pointer(store, shard)
    records: list[Any] = []
    if pointer.chunks:
        data = bytearray()
        for chunk in range(pointer.chunks):
            key = make_chunk_key(shard, pointer.sequence, chunk)
            item = await store.get(key)
            if item is None or item.value is None:
                # A newer snapshot has replaced this one meanwhile.
                return await load_journal(store, shard)
            data += item.value
        records.extend(decode_records(bytes(data)))
    sequence = pointer.sequence + 1
    while True:
        slots = await _read_slots(store, shard, sequence)
        for slot in slots:
            entry = slot.entry
            if entry is not None and entry.sequence > sequence:
                # The owner has lapped this reader, and has a newer snapshot.
                return await load_journal(store, shard)
            if entry is None or entry.sequence < sequence:
                return LoadedJournal(
                    tuple(records),
                    sequence,
                    slot.revision,
                    pointer.sequence,
                    pointer.chunks,
                    pointer.revision,
                )
            records.extend(entry.records)
            sequence += 1


async def _read_pointer(store: Store, shard: str) -> SnapshotPointer:
    item = await store.get(make_snapshot_key(shard))
    if item is None or item.value is None:
        return SnapshotPointer(0, 0)
    sequence, chunks = decode(item.value)
    return SnapshotPointer(sequence, chunks, item.revision)


async def _read_slots(store: Store, shard: str, first: int) -> list[_Slot]:
    """Read `READ_WINDOW` slots from entry ``first`` on."""
    found: dict[int, _Slot] = {}

    async def read_slot(sequence: int) -> None:
        found[sequence] = await _read_slot(store, shard, sequence)

    async with anyio.create_task_group() as tasks:
        for sequence in range(first, first + READ_WINDOW):
            tasks.start_soon(read_slot, sequence)
    return [found[sequence] for sequence in sorted(found)]


async def _read_slot(store: Store, shard: str, sequence: int) -> _Slot:
    item = await store.get(make_entry_key(shard, sequence))
    if item is None or item.value is None:
        return _Slot(None, 0)
    return _Slot(decode_entry(item.value), item.revision)


class Journal:
    """The writing end of a shard's chain; used by one task.

    Parameters
    ----------
    store : Store
        The platform's store.
    shard : str
        Shard name.
    writer : str
        Process name and incarnation.
    loaded : LoadedJournal
        What this owner has read.
    """

    def __init__(
        self, store: Store, shard: str, writer: str, loaded: LoadedJournal
    ) -> None:
        self._store = store
        self._shard = shard
        self._writer = writer
        self._snapshot_sequence = loaded.snapshot_sequence
        self._snapshot_revision = loaded.snapshot_revision
        self._snapshot_chunks = loaded.snapshot_chunks
        self._revisions = {
            loaded.next_sequence % RING_SLOTS: loaded.slot_revision
        }
        self.next_sequence = loaded.next_sequence
        self.epoch = 0

    @property
    def has_room(self) -> bool:
        """Whether the next entry's slot is covered by the snapshot."""
        return self.next_sequence - self._snapshot_sequence <= RING_SLOTS

    async def append(self, records: Iterable[Any]) -> None:
        """Append records as the next entry; retry until that is certain.

        A lost reply is resolved by the next try: if the slot has another
        revision, it is read back and compared.

        Raises
        ------
        ShardLostError
            When another process has written the entry's number.
        """
        entry = JournalEntry(
            self._writer, self.epoch, self.next_sequence, tuple(records)
        )
        value = encode_entry(entry)
        delay_s = FIRST_RETRY_S
        while not await self._try_append(value):
            await anyio.sleep(delay_s)
            delay_s = min(delay_s * 2, LONGEST_RETRY_S)
        self.next_sequence += 1

    async def _try_append(self, value: bytes) -> bool:
        number = self.next_sequence % RING_SLOTS
        key = make_entry_key(self._shard, self.next_sequence)
        try:
            if number not in self._revisions:
                await self._learn_revision(number)
            self._revisions[number] = await self._write_slot(
                key, value, self._revisions[number]
            )
            return True
        except StoreUnavailableError:
            return False
        except StoreConflictError:
            pass
        try:
            item = await self._store.get(key, priority=CallPriority.HIGH)
        except StoreUnavailableError:
            return False
        if item is not None and item.value == value:
            self._revisions[number] = item.revision
            return True
        raise ShardLostError(
            f'journal key {key!r} was written by another owner; this '
            'process stops serving the shard'
        )

    async def _learn_revision(self, number: int) -> None:
        """Read a slot that was last written by an earlier owner."""
        slot = await _read_slot(self._store, self._shard, self.next_sequence)
        if slot.entry is not None and (
            slot.entry.sequence >= self.next_sequence
        ):
            raise ShardLostError(
                f'entry {self.next_sequence!r} of shard {self._shard!r} was '
                'written by another owner; this process stops serving it'
            )
        self._revisions[number] = slot.revision

    async def _write_slot(self, key: str, value: bytes, revision: int) -> int:
        if revision == 0:
            return await self._store.create(
                key, value, priority=CallPriority.HIGH
            )
        return await self._store.swap(
            key, value, revision, priority=CallPriority.HIGH
        )

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
        old_sequence = self._snapshot_sequence
        old_chunks = self._snapshot_chunks
        await self._swap_pointer(sequence, chunks)
        self._snapshot_sequence = sequence
        self._snapshot_chunks = chunks
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

    async def _swap_pointer(self, sequence: int, chunks: int) -> None:
        key = make_snapshot_key(self._shard)
        value = encode((sequence, chunks))
        try:
            if self._snapshot_revision == 0:
                revision = await self._store.create(
                    key, value, priority=CallPriority.LOW
                )
            else:
                revision = await self._store.swap(
                    key,
                    value,
                    self._snapshot_revision,
                    priority=CallPriority.LOW,
                )
        except StoreConflictError:
            item = await self._store.get(key)
            if item is None or item.value != value:
                raise ShardLostError(
                    f'snapshot key {key!r} was written by another owner; '
                    'this process stops serving the shard'
                ) from None
            revision = item.revision
        self._snapshot_revision = revision


def encode_snapshot(records: Iterable[Any]) -> bytes:
    """Return the content of a snapshot."""
    return encode_records(records)
