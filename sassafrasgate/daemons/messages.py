"""Messages between the tasks of one process."""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.shards.ownership import OwnerLease


@dataclass(frozen=True, slots=True)
class StopProcess:
    """The process has been asked to release its shards and to end."""


@dataclass(frozen=True, slots=True)
class ClaimDue:
    """The check for shards without an owner is due."""


@dataclass(frozen=True, slots=True)
class LeaseUpdated:
    """The process's lease has been renewed, or the store's state changed.

    It is sent to shard and dispatcher tasks.
    """

    lease: OwnerLease


@dataclass(frozen=True, slots=True)
class ClaimsPaused:
    """No other host claims the shard until then, a steady clock in ms."""

    until: int


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Another owner has the shard, or the process has lost its lease."""

    reason: str


@dataclass(frozen=True, slots=True)
class OwnerLeaseChanged:
    """The owner's lease has been renewed, or the store's state changed.

    It is sent to host and worker tasks.
    """

    lease: OwnerLease


@dataclass(frozen=True, slots=True)
class StopPolling:
    """The owner releases the shard, so a worker is no longer polled.

    A host task still handles commands; a worker task ends.
    """
