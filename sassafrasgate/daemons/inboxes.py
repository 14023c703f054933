"""Inboxes of tasks, and of the tasks that one task has for each worker."""

from __future__ import annotations

from math import inf
from typing import Any
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream

MAX_INBOX_EVENTS = 20_000


def make_task_inbox(
    size: float = MAX_INBOX_EVENTS,
) -> tuple[MemoryObjectSendStream[Any], MemoryObjectReceiveStream[Any]]:
    """Return both ends of an inbox that holds up to ``size`` messages."""
    return anyio.create_memory_object_stream[Any](size)


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
