"""Runs the application for the requests of a connection."""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import Event
from asyncio import Queue
from typing import Any
from typing import TYPE_CHECKING

from hypercorn.protocol.h11 import H11Protocol

if TYPE_CHECKING:
    from asyncio import TaskGroup
    from collections.abc import Awaitable
    from collections.abc import Callable

    import h11
    from hypercorn.config import Config

MAX_QUEUED_MESSAGES = 2


class UnsupportedProtocolError(Exception):
    """A request asks for a protocol other than HTTP/1.1."""


class Http1Protocol(H11Protocol):
    """HTTP/1.1 without a change to HTTP/2 or WebSocket."""

    async def _check_protocol(self, event: h11.Request) -> None:
        upgrades = [
            value.strip().lower()
            for name, value in event.headers
            if name == b'upgrade'
        ]
        if event.method == b'PRI' or b'websocket' in upgrades:
            raise UnsupportedProtocolError


class MessageQueue:
    """Messages of one request on their way to the application.

    Parts of a body wait while the queue is full. The disconnect does not:
    hypercorn sends it from the task of the application.
    """

    def __init__(self) -> None:
        self._queue: Queue[Any] = Queue()
        self._room = Event()
        self._room.set()

    async def put(self, message: Any) -> None:
        """Add a message."""
        if message['type'] == 'http.request':
            await self._room.wait()
        self._queue.put_nowait(message)
        if self._queue.qsize() >= MAX_QUEUED_MESSAGES:
            self._room.clear()

    async def get(self) -> Any:
        """Remove the first message; wait for one."""
        message = await self._queue.get()
        self._room.set()
        return message


class RequestTasks:
    """Runs the application for the requests of one connection."""

    def __init__(self, group: TaskGroup) -> None:
        self._group = group

    async def spawn_app(
        self, app: Any, config: Config, scope: Any, send: Any
    ) -> Callable[[Any], Awaitable[None]]:
        """Start the application and return how it is sent messages."""
        queue = MessageQueue()
        self._group.create_task(_run_app(app, config, scope, queue, send))
        return queue.put


async def _run_app(
    app: Any, config: Config, scope: Any, queue: MessageQueue, send: Any
) -> None:
    try:
        await app(scope, queue.get, send)
    except CancelledError:
        raise
    except Exception:
        await config.log.exception('Error in ASGI Framework')
    finally:
        await send(None)
