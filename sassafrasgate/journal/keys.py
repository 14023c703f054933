"""Keys of a shard's journal and snapshot in the store."""

from __future__ import annotations

RING_SLOTS = 512


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
