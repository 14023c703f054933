"""Amounts of resources that hosts offer and tasks need."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amount of each resource, for capacity, demand and usage.

    Parameters
    ----------
    millicores : int
        Processor time in thousandths of a core.
    memory_mb : int
        Memory in mebibytes.
    accelerators : int
        Number of accelerators.
    slots : int
        Number of task slots.
    connections : int
        Number of connections to the worker.
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

    def fits_in(self, available: Resources) -> bool:
        """Return whether ``available`` covers this amount of each resource."""
        return (
            self.millicores <= available.millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
            and self.slots <= available.slots
            and self.connections <= available.connections
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

    def take_maximum(self, other: Resources) -> Resources:
        """Return the maximum of the two amounts for each resource."""
        return Resources(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
            max(self.connections, other.connections),
        )

    def take_minimum(self, other: Resources) -> Resources:
        """Return the minimum of the two amounts for each resource."""
        return Resources(
            min(self.millicores, other.millicores),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
            min(self.slots, other.slots),
            min(self.connections, other.connections),
        )


NO_RESOURCES = Resources()
