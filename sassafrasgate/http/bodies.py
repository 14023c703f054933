"""Reading of request bodies and query parameters."""

from __future__ import annotations

from math import isfinite
from typing import Any
from typing import TYPE_CHECKING

from anyio import create_task_group
from anyio import move_on_after
from msgspec import DecodeError
from msgspec.json import decode
from starlette.requests import ClientDisconnect
from starlette.requests import Request

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.http.limits import KIB
from sassafrasgate.http.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio import CancelScope
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope

    from sassafrasgate.http.limits import OpenRequests

# A connection that is closed with unread data is reset, and the caller may
# lose the response. So what is left of a body is read up to this bound.
MAX_DISCARDED_BYTES = 32 * 1024 * KIB

_BODIES = 'bodies'


class CallerRequest(Request):
    """A request that tracks its body.

    Parameters
    ----------
    scope : Scope
        ASGI scope.
    receive : Receive
        ASGI receive function.
    open_bytes : OpenRequests
        Count of the bytes of all bodies in memory.

    Attributes
    ----------
    is_received : bool
        Whether the body, or the connection, has ended.
    """

    def __init__(
        self, scope: Scope, receive: Receive, open_bytes: OpenRequests
    ) -> None:
        super().__init__(scope, self._receive_part)
        self._receive_plain = receive
        self._open_bytes = open_bytes
        self._reserved = 0
        self.is_received = False

    async def _receive_part(self) -> Message:
        message = await self._receive_plain()
        if not message.get('more_body', False):
            self.is_received = True
        return message

    def reserve_bytes(self, amount: int) -> bool:
        """Count ``amount`` bytes of body, unless the process has too many."""
        if not self._open_bytes.enter(_BODIES, amount):
            return False
        self._reserved += amount
        return True

    def release_bytes(self) -> None:
        """Give back all reserved bytes."""
        if self._reserved:
            self._open_bytes.leave(_BODIES, self._reserved)
            self._reserved = 0

    async def discard_body(self, timeout_s: float) -> None:
        """Read what is left of the body, within bounds of size and time."""
        size = 0
        with move_on_after(timeout_s):
            while not self.is_received and size < MAX_DISCARDED_BYTES:
                message = await self.receive()
                size += len(message.get('body', b''))

    async def wait_unless_disconnected(
        self, function: Callable[[], Awaitable[Any]]
    ) -> Any:
        """Return what ``function`` returns, or stop it with the connection.

        It is for calls without effect: their callers may be gone long
        before a wait of a minute ends.

        Raises
        ------
        starlette.requests.ClientDisconnect
            When the connection ends first.
        """
        results = []
        async with create_task_group() as group:
            group.start_soon(self._cancel_after_disconnect, group.cancel_scope)
            results.append(await function())
            group.cancel_scope.cancel()
        if not results:
            raise ClientDisconnect()
        return results[0]

    async def _cancel_after_disconnect(self, scope: CancelScope) -> None:
        while (await self.receive())['type'] != 'http.disconnect':
            pass
        scope.cancel()

    async def discard_messages(self) -> None:
        """Read on until the body or the connection has ended.

        hypercorn queues a bounded number of body messages and waits for
        room when a response ends, so an unread body would block it.
        """
        while not self.is_received:
            await self.receive()


async def read_body(
    request: CallerRequest, limit: int, timeout_s: float
) -> bytes | Problem:
    """Return the whole body of a request.

    Parameters
    ----------
    request : CallerRequest
        A request whose body is not read yet.
    limit : int
        Longest body, in bytes.
    timeout_s : float
        How long the whole body may take, in seconds.

    Raises
    ------
    starlette.requests.ClientDisconnect
        When the caller goes away before the end of the body.
    """
    declared = request.headers.get('content-length', '')
    expected = int(declared) if declared.isdecimal() else limit
    if expected > limit:
        return _describe_too_large(limit)
    if not request.reserve_bytes(expected):
        return _describe_busy(expected)
    parts: list[bytes] = []
    size = 0
    with move_on_after(timeout_s):
        async for part in request.stream():
            size += len(part)
            if size > limit:
                return _describe_too_large(limit)
            parts.append(part)
        return b''.join(parts)
    return Problem(
        'body-timeout',
        f'{size} bytes of the body arrived within {timeout_s:g} s',
        'send the whole body at once',
    )


async def read_fields(
    request: CallerRequest, limit: int, timeout_s: float
) -> dict[str, Any] | Problem:
    """Return the members of a JSON object; see `read_body`."""
    body = await read_body(request, limit, timeout_s)
    if isinstance(body, Problem):
        return body
    try:
        fields = decode(body)
    except (DecodeError, UnicodeDecodeError) as error:
        return describe_faults((f'body: is not JSON: {error}',))
    if not isinstance(fields, dict):
        return describe_faults(('body: must be a JSON object',))
    return fields


def read_seconds(request: Request, name: str, most: float) -> float | Problem:
    """Return a query parameter in seconds, 0 when it is absent."""
    text = request.query_params.get(name, '0')
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if isfinite(seconds) and 0 <= seconds <= most:
        return seconds
    return describe_faults(
        (f'{name}: must be a number from 0 to {most:g}, not {text!r:.80}',)
    )


def read_whole(
    request: Request, name: str, default: int, most: int
) -> int | Problem:
    """Return a whole number from 1 to ``most`` of the query."""
    text = request.query_params.get(name, str(default))
    if text.isascii() and text.isdecimal() and 1 <= int(text) <= most:
        return int(text)
    return describe_faults(
        (f'{name}: must be a whole number from 1 to {most}, not {text!r:.80}',)
    )


def describe_faults(faults: tuple[str, ...]) -> Problem:
    """Return the problem that names all faults of a request."""
    return Problem(
        RefusalKind.INVALID,
        f'{len(faults)} fault(s): {"; ".join(faults)}',
        'correct every fault; nothing was accepted',
        faults=faults,
    )


def _describe_too_large(limit: int) -> Problem:
    return Problem(
        'body-too-large',
        f'the body has more than {limit} bytes',
        f'send at most {limit} bytes',
    )


def _describe_busy(expected: int) -> Problem:
    return Problem(
        RefusalKind.OVERLOADED,
        f'this process has no room for a body of {expected} bytes now',
        'send the request again after the time in Retry-After',
    )
