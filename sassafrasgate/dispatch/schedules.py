"""Virtual time in which waiting work takes the room of a pool.

Room becomes free at known times. Work takes the earliest, and each of its
tasks returns what it has taken once its expected duration has passed, which
may be used by the next task of the same work.
"""

from __future__ import annotations

from heapq import heapify
from heapq import heappop
from heapq import heappush
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# No task ends at the moment of its start, whatever its estimate says.
MIN_DURATION_MS = 1


class Room(NamedTuple):
    """An amount of a resource that is free from a time on.

    Parameters
    ----------
    at : int
        Owner's clock, in ms.
    amount : int
        Amount of the resource.
    """

    at: int
    amount: int


class Schedule:
    """Room of a pool in virtual time.

    Parameters
    ----------
    now : int
        Owner's clock, in ms.
    free : int
        Amount that is free now.
    ends : iterable of (int, int)
        When running work ends, and the amounts that it releases.
    """

    def __init__(
        self, now: int, free: int, ends: Iterable[tuple[int, int]]
    ) -> None:
        self.now = now
        # A run that holds nothing of the resource leaves no room.
        self._ends = [Room(at, amount) for at, amount in ends if amount > 0]
        self._rooms = list(self._ends)
        heapify(self._rooms)
        self._add_room(now, free)

    def compute_release_rate(self) -> float:
        """Return the amount that running work releases in a millisecond.

        Work that ends evenly spread releases its amount in twice its mean
        remaining time.
        """
        amount = sum(end.amount for end in self._ends)
        left = sum((end.at - self.now) * end.amount for end in self._ends)
        return amount * amount / (2 * left) if left > 0 else 0.0

    def place(self, amount: int, duration_ms: int) -> int:
        """Start work as room becomes free.

        Each room is taken at most once, and what its reuse gives is computed,
        so that the number of steps depends neither on the amounts nor on the
        durations.

        Parameters
        ----------
        amount : int
            What all tasks of the work need.
        duration_ms : int
            Expected duration of each task, in ms.

        Returns
        -------
        int
            Owner's clock, in ms, when all tasks have started; the time of the
            schedule if there is never any room.
        """
        duration_ms = max(MIN_DURATION_MS, duration_ms)
        rooms = self._take_rooms(amount, duration_ms)
        if not rooms:
            return self.now
        self.now = _find_last_start(rooms, amount, duration_ms)
        unused = _count_offered(rooms, self.now, duration_ms) - amount
        for room in rooms:
            unused -= self._return_room(room, unused, duration_ms)
        return self.now

    def _take_rooms(self, amount: int, duration_ms: int) -> list[Room]:
        """Take the rooms of which the work may make use, in their order."""
        taken: list[Room] = []
        total = moment = 0
        while self._rooms and total < amount:
            at = max(self.now, self._rooms[0].at)
            # Up to that time, each room taken has been offered at least as
            # often as the duration fits into the time since it became free.
            if total * at - moment >= amount * duration_ms:
                break
            room = Room(at, heappop(self._rooms).amount)
            taken.append(room)
            total += room.amount
            moment += room.amount * at
        return taken

    def _return_room(self, room: Room, unused: int, duration_ms: int) -> int:
        """Return a room as the work leaves it; return what is left now.

        Parameters
        ----------
        unused : int
            Amount that is offered now and that the work does not need.
        """
        if room.at > self.now:
            heappush(self._rooms, room)
            return 0
        passed_ms = (self.now - room.at) % duration_ms
        left = 0 if passed_ms else min(unused, room.amount)
        self._add_room(self.now, left)
        self._add_room(self.now - passed_ms + duration_ms, room.amount - left)
        return left

    def _add_room(self, at: int, amount: int) -> None:
        if amount > 0:
            heappush(self._rooms, Room(at, amount))


def _find_last_start(
    rooms: Sequence[Room], amount: int, duration_ms: int
) -> int:
    """Return the first time by which the rooms have offered an amount."""
    total = sum(room.amount for room in rooms)
    first = rooms[0].at
    last = rooms[-1].at
    if total >= amount and last - first < duration_ms:
        return last
    low = first
    high = last + amount // total * duration_ms
    while low < high:
        middle = (low + high) // 2
        if _count_offered(rooms, middle, duration_ms) >= amount:
            high = middle
        else:
            low = middle + 1
    return low


def _count_offered(rooms: Sequence[Room], at: int, duration_ms: int) -> int:
    """Return what rooms have offered up to a time.

    A room is offered as soon as it is free, and again after each duration.
    """
    return sum(
        room.amount * ((at - room.at) // duration_ms + 1)
        for room in rooms
        if room.at <= at
    )
