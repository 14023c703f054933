"""Amounts of what a host carries and a task needs."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Whole numbers of each resource; used for capacity, demand and usage.

    Parameters
    ----------
    millicores : int
        Processor time in thousandths of a core.
    memory_mb : int
        Memory in mebibytes.
    accelerators : int
        Whole accelerators.
    slots : int
        Task slots.
    connections : int
        Connections to the worker.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
            self.connections + other.connections,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
            self.connections - other.connections,
        )

    def fits_in(self, room: Resources) -> bool:
        """Tell whether ``room`` has at least this much of everything."""
        return (
            self.millicores <= room.millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
            and self.slots <= room.slots
            and self.connections <= room.connections
        )

    def scale(self, count: int) -> Resources:
        """Return ``count`` times this amount."""
        return Resources(
            self.millicores * count,
            self.memory_mb * count,
            self.accelerators * count,
            self.slots * count,
            self.connections * count,
        )

    def cover(self, other: Resources) -> Resources:
        """Return the larger of the two amounts, resource by resource."""
        return Resources(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
            max(self.connections, other.connections),
        )

    def limit(self, other: Resources) -> Resources:
        """Return the smaller of the two amounts, resource by resource."""
        return Resources(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
            min(self.connections, other.connections),
        )


NOTHING = Resources()
