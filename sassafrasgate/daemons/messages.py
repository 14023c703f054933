"""Messages between the tasks of one process."""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.shards.ownership import OwnerLease


@dataclass(frozen=True, slots=True)
class StopProcess:
    """The process should release its shards and end."""


@dataclass(frozen=True, slots=True)
class ClaimDue:
    """It is time to look for shards without an owner."""


@dataclass(frozen=True, slots=True)
class LeaseUpdated:
    """The process's lease as it stands now."""

    lease: OwnerLease


@dataclass(frozen=True, slots=True)
class ShardAbandoned:
    """Another owner has the shard, or the process has lost its lease."""

    reason: str


@dataclass(frozen=True, slots=True)
class OwnerLeaseChanged:
    """The owner's lease has been renewed, or the store's state changed."""

    lease: OwnerLease


@dataclass(frozen=True, slots=True)
class StopSyncing:
    """A successor may take over; only open calls are still served."""
