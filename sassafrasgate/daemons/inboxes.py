"""Inboxes of tasks, and of the tasks that one task has for each worker."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.daemons.messages import ClaimsPaused
from sassafrasgate.daemons.messages import LeaseUpdated
from sassafrasgate.daemons.messages import OwnershipLost

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream

MAX_INBOX_EVENTS = 20_000
URGENT_EVENTS = (ClaimsPaused, LeaseUpdated, OwnershipLost)
# Wakes a receiver that waits for an event.
_WAKE = object()


class EventSender(Protocol):
    """Sending end of an inbox."""

    async def send(self, item: Any) -> None:
        """Send an event; wait while the inbox is full."""

    def send_nowait(self, item: Any) -> None:
        """Send an event, or raise `anyio.WouldBlock`."""


def make_task_inbox(
    size: float = MAX_INBOX_EVENTS,
) -> tuple[MemoryObjectSendStream[Any], MemoryObjectReceiveStream[Any]]:
    """Return both ends of an inbox that holds up to ``size`` messages."""
    return anyio.create_memory_object_stream[Any](size)


class OwnerInbox:
    """Inbox of the owner of a shard, with both its ends.

    Changes of the ownership overtake all other events. Behind a queue that
    is longer than the lease, an owner would take its renewed lease for
    expired, refuse its callers, and get the same requests again at once.
    """

    def __init__(self) -> None:
        self._sender, self._receiver = make_task_inbox()
        self._urgent: deque[Any] = deque()

    @property
    def waiting(self) -> int:
        """Number of events that wait to be received."""
        return self._receiver.statistics().current_buffer_used

    async def send(self, item: Any) -> None:
        """Send an event; wait while the inbox is full."""
        try:
            self.send_nowait(item)
        except anyio.WouldBlock:
            await self._sender.send(item)

    def send_nowait(self, item: Any) -> None:
        """Send an event; raise `anyio.WouldBlock` if the inbox is full.

        It is never full for changes of the ownership.
        """
        if not isinstance(item, URGENT_EVENTS):
            self._sender.send_nowait(item)
            return
        self._urgent.append(item)
        if not self.waiting:
            self._sender.send_nowait(_WAKE)

    async def receive(self) -> Any:
        """Return the next event; wait for one if there is none."""
        while not self._urgent:
            event = await self._receiver.receive()
            if event is not _WAKE:
                return event
        return self._urgent.popleft()

    def receive_nowait(self) -> Any:
        """Return the next event, or raise `anyio.WouldBlock`."""
        while not self._urgent:
            event = self._receiver.receive_nowait()
            if event is not _WAKE:
                return event
        return self._urgent.popleft()


class InboxTable:
    """Sending ends of the inboxes of tasks, by the name of their worker.

    The inboxes are unbounded: a command is never lost, and the number of
    commands is bounded by what is placed on a worker.
    """

    def __init__(self) -> None:
        self._senders: dict[str, MemoryObjectSendStream[Any]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._senders

    def __iter__(self) -> Iterator[str]:
        return iter(self._senders)

    def open(self, name: str) -> MemoryObjectReceiveStream[Any]:
        """Return a new inbox; the previous one of this name is closed."""
        self.close(name)
        sender, inbox = make_task_inbox(inf)
        self._senders[name] = sender
        return inbox

    def close(self, name: str) -> None:
        """Close an inbox if there is one; its task then ends."""
        sender = self._senders.pop(name, None)
        if sender is not None:
            sender.close()

    def clear(self) -> None:
        """Remove all inboxes; their tasks handle what was sent before."""
        self._senders.clear()

    def send(self, name: str, command: Any) -> bool:
        """Send a command; return False if there is no such inbox."""
        sender = self._senders.get(name)
        if sender is None:
            return False
        sender.send_nowait(command)
        return True

    def send_to_all(self, command: Any) -> None:
        """Send a command to all tasks."""
        for sender in self._senders.values():
            sender.send_nowait(command)
