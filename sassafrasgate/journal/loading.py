"""Reading of a shard's snapshot and of the log after it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.msgpack import decode

from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.journal.keys import make_chunk_key
from sassafrasgate.journal.keys import make_entry_key
from sassafrasgate.journal.keys import make_ring_prefix
from sassafrasgate.journal.keys import make_snapshot_key
from sassafrasgate.journal.keys import RING_SLOTS
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.journal.records import decode_entry
from sassafrasgate.journal.records import decode_records
from sassafrasgate.journal.records import JournalEntry
from sassafrasgate.journal.slots import classify_slot
from sassafrasgate.journal.slots import ends_log
from sassafrasgate.journal.slots import SlotState

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sassafrasgate.core.stores import KeyStore

# A call reads one block of slots. A reader first requests three blocks, which
# usually contain the complete log when a snapshot is taken every 200 entries.
BLOCK_SLOTS = 100
INITIAL_BLOCKS = 3


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
class Slot:
    """The entry in a slot of the ring, and the revision of its key."""

    entry: JournalEntry | None
    revision: int

    def classify(self, expected: int, log_epoch: int) -> SlotState:
        """Compare the slot with an entry of the log, for a reader."""
        if self.entry is None or ends_log(self.entry.epoch, log_epoch):
            return SlotState.FREE
        return classify_slot(self.entry.sequence, expected)


async def load_journal(store: KeyStore, shard: str) -> LoadedJournal:
    """Read a shard's snapshot and the log after it.

    Raises
    ------
    StoreUnavailableError
        When a read gets no reply.
    """
    pointer = await read_pointer(store, shard)
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

    async def read_slot(number: int) -> Slot:
        await reader.read_block(_find_block(number))
        return reader.slots.get(number % RING_SLOTS, Slot(None, 0))

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

    async def read_slot(number: int) -> Slot:
        return await read_stored_slot(store, shard, number)

    return await _read_log(loaded, read_slot) or await load_journal(
        store, shard
    )


async def _read_log(
    loaded: LoadedJournal, read_slot: Callable[[int], Awaitable[Slot]]
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
        self.slots: dict[int, Slot] = {}
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
                self.slots[number] = Slot(
                    decode_entry(item.value), item.revision
                )


async def read_pointer(store: KeyStore, shard: str) -> SnapshotPointer:
    """Read the pointer to a shard's snapshot; its numbers may be 0."""
    item = await store.get(make_snapshot_key(shard))
    if item is None or item.value is None:
        return SnapshotPointer(0, 0)
    sequence, chunks, epoch = decode(item.value)
    return SnapshotPointer(sequence, chunks, epoch, item.revision)


async def read_stored_slot(store: KeyStore, shard: str, sequence: int) -> Slot:
    """Read the slot of an entry."""
    key = make_entry_key(shard, sequence)
    item = await store.get(key, priority=CallPriority.HIGH)
    if item is None or item.value is None:
        return Slot(None, 0)
    return Slot(decode_entry(item.value), item.revision)
