"""Processes that own the shard in turn."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from tests.dispatch.simulation import SimOwner

PROCESSES = ('p0', 'p1', 'p2', 'p3')


class ProcessTable:
    """Names and incarnations of the processes, and their latest owners."""

    def __init__(self) -> None:
        self.owners: dict[str, SimOwner] = {}
        self._incarnations = dict.fromkeys(PROCESSES, 1)
        self._next = 0

    def get_name(self, process: str) -> str:
        """Return the owner name of a process in its current incarnation."""
        return f'{process}/{self._incarnations[process]}'

    def restart(self, owner: str) -> None:
        """Start a new incarnation if the owner's one is the latest."""
        process = owner.partition('/')[0]
        if not self.has_ended(owner):
            self._incarnations[process] += 1

    def has_ended(self, owner: str) -> bool:
        """Return whether the incarnation of an owner's process has ended."""
        return owner != self.get_name(owner.partition('/')[0])

    def find_idle(self, excluded: Collection[str]) -> str:
        """Return the next process without an owner that acts, or ''."""
        for _ in PROCESSES:
            process = self.find_next(excluded)
            owner = self.owners.get(process)
            if owner is None or not owner.may_send():
                if owner is not None:
                    owner.dead = True
                return process
        return ''

    def find_next(self, excluded: Collection[str]) -> str:
        """Return the process that is next in turn."""
        names = [name for name in PROCESSES if name not in excluded]
        self._next += 1
        return (names or PROCESSES)[self._next % len(names or PROCESSES)]

    def list_acting(self) -> list[SimOwner]:
        """Return the owners that still act."""
        return [owner for owner in self.owners.values() if owner.may_send()]
