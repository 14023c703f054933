"""Receives the whole body of a request before the application sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.http.connections import CONNECTION_KEY
from sassafrasgate.http.refusals import CloseReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.types import ASGIApp
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from sassafrasgate.http.connections import Connection

# Length of a body that is sent in chunks.
UNKNOWN_LENGTH = -1


class BodyBuffer:
    """ASGI application that calls another one once a body is complete.

    Until then nothing of the request can have run, so that it may be refused
    at any time. The size is checked against the head before the body is read,
    and as it arrives.

    Parameters
    ----------
    app : ASGI application
        Application that handles the requests.
    reads_body : callable
        Returns whether the application will read the body of a request with
        this scope. If not, the body is left unread.
    """

    def __init__(
        self, app: ASGIApp, reads_body: Callable[[Scope], bool]
    ) -> None:
        self._app = app
        self._reads_body = reads_body

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        length = _read_length(scope)
        if not length or not self._reads_body(scope):
            await self._app(scope, receive, send)
            return
        connection: Connection = scope['state'][CONNECTION_KEY]
        connection.begin_body()
        if length > connection.get_limits().max_body_bytes:
            connection.refuse(CloseReason.BODY_TOO_LARGE)
            return
        # One buffer: a list of the pieces of a body that arrives in pieces of
        # a few bytes takes many times the size of the body.
        body = bytearray()
        try:
            if await _receive_body(connection, receive, body):
                message = _make_message(body)
                await self._app(scope, _replay(message, receive), send)
        finally:
            connection.release_body()


async def _receive_body(
    connection: Connection, receive: Receive, body: bytearray
) -> bool:
    """Collect a body as it arrives; return whether it is complete."""
    while True:
        message = await receive()
        if message['type'] != 'http.request':
            return False
        body += message.get('body', b'')
        if len(body) > connection.get_limits().max_body_bytes:
            connection.refuse(CloseReason.BODY_TOO_LARGE)
            return False
        if not message.get('more_body', False):
            return connection.end_body()


def _make_message(body: bytearray) -> Message:
    content = bytes(body)
    body.clear()
    return {'type': 'http.request', 'body': content, 'more_body': False}


def _replay(first: Message, receive: Receive) -> Receive:
    """Return a receive function that returns a message before all others."""
    waiting = [first]

    async def receive_next() -> Message:
        return waiting.pop() if waiting else await receive()

    return receive_next


def _read_length(scope: Scope) -> int:
    """Return the announced length of the body; 0 if there is none."""
    length = 0
    for name, value in scope['headers']:
        if name == b'content-length':
            length = int(value)
        elif name == b'transfer-encoding':
            return UNKNOWN_LENGTH
    return length
