"""Task inboxes and stop signals, used by every kind of process."""

from __future__ import annotations

from dataclasses import dataclass
from signal import SIGINT
from signal import SIGTERM
from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream
from anyio.streams.memory import MemoryObjectSendStream

INBOX_SIZE = 10_000


@dataclass(frozen=True, slots=True)
class Inbox:
    """The sending and the receiving end of a task's inbox."""

    send: MemoryObjectSendStream[Any]
    receive: MemoryObjectReceiveStream[Any]


def make_inbox(size: int = INBOX_SIZE) -> Inbox:
    """Return an inbox for one task that holds up to ``size`` messages."""
    send, receive = anyio.create_memory_object_stream[Any](size)
    return Inbox(send, receive)


async def wait_for_stop(event: anyio.Event) -> None:
    """Set an event when SIGTERM or SIGINT arrives."""
    with anyio.open_signal_receiver(SIGTERM, SIGINT) as signals:
        async for _ in signals:
            event.set()
