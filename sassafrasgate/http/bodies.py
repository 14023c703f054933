"""Request bodies and query parameters."""

from __future__ import annotations

from math import isfinite
from typing import Any
from typing import TYPE_CHECKING

from anyio import create_task_group
from anyio import move_on_after
from msgspec.json import decode
from starlette.requests import ClientDisconnect
from starlette.requests import Request

from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.http.limits import KIB
from sassafrasgate.http.problems import Problem

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio import CancelScope
    from starlette.types import Message
    from starlette.types import Receive
    from starlette.types import Scope

    from sassafrasgate.http.limits import UsageLimiter

# Closing a connection with unread data resets it, and the client may then lose
# the response. The rest of a body is therefore read up to this size.
MAX_DISCARDED_BYTES = 32 * 1024 * KIB

_BODIES_KEY = 'bodies'


class HttpRequest(Request):
    """A request that tracks how much of its body is read and buffered.

    Parameters
    ----------
    scope : Scope
        ASGI scope.
    receive : Receive
        ASGI receive function.
    body_limiter : UsageLimiter
        Limits the bytes of all request bodies in memory.

    Attributes
    ----------
    is_received : bool
        Whether the whole body has been received or the client has
        disconnected.
    """

    def __init__(
        self, scope: Scope, receive: Receive, body_limiter: UsageLimiter
    ) -> None:
        super().__init__(scope, self._receive_message)
        self._receive_from_server = receive
        self._body_limiter = body_limiter
        self._reserved_bytes = 0
        self.is_received = False

    async def _receive_message(self) -> Message:
        message = await self._receive_from_server()
        if not message.get('more_body', False):
            self.is_received = True
        return message

    def reserve_bytes(self, amount: int) -> bool:
        """Reserve memory for a body; return False if the limit is reached."""
        if not self._body_limiter.acquire(_BODIES_KEY, amount):
            return False
        self._reserved_bytes += amount
        return True

    def release_bytes(self) -> None:
        """Release all bytes reserved for this request."""
        if self._reserved_bytes:
            self._body_limiter.release(_BODIES_KEY, self._reserved_bytes)
            self._reserved_bytes = 0

    async def discard_remaining_body(self, timeout_s: float) -> None:
        """Read the rest of the body, up to a limit of size and time."""
        size = 0
        with move_on_after(timeout_s):
            while not self.is_received and size < MAX_DISCARDED_BYTES:
                message = await self.receive()
                size += len(message.get('body', b''))

    async def run_until_disconnect(
        self, function: Callable[[], Awaitable[Any]]
    ) -> Any:
        """Return the result of ``function``; cancel it on a disconnect.

        It is meant for calls without side effects, such as a wait of up to
        a minute for a job whose caller may disconnect long before.

        Raises
        ------
        starlette.requests.ClientDisconnect
            If the client disconnects first.
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
        """Discard messages until the body ends or the client disconnects.

        hypercorn queues a limited number of body messages and waits for
        space in the queue when a response ends, so an unread body would
        block the response.
        """
        while not self.is_received:
            await self.receive()


async def read_body(
    request: HttpRequest, max_bytes: int, timeout_s: float
) -> bytes | Problem:
    """Return the whole body of a request.

    Parameters
    ----------
    request : HttpRequest
        A request whose body has not been read.
    max_bytes : int
        Maximum size of the body, in bytes.
    timeout_s : float
        Time limit for receiving the whole body, in seconds.

    Raises
    ------
    starlette.requests.ClientDisconnect
        If the client disconnects before the end of the body.
    """
    declared = request.headers.get('content-length', '')
    expected = int(declared) if declared.isdecimal() else max_bytes
    if expected > max_bytes:
        return _describe_too_large(max_bytes)
    if not request.reserve_bytes(expected):
        return _describe_body_memory_used_up(expected)
    parts: list[bytes] = []
    size = 0
    with move_on_after(timeout_s):
        async for part in request.stream():
            size += len(part)
            if size > max_bytes:
                return _describe_too_large(max_bytes)
            parts.append(part)
        return b''.join(parts)
    return Problem(
        'body-timeout',
        f'only {size} bytes of the body arrived within {timeout_s:g} s',
        'send the whole body without pauses',
    )


async def read_json_object(
    request: HttpRequest, max_bytes: int, timeout_s: float
) -> dict[str, Any] | Problem:
    """Return the members of a body that is a JSON object.

    The parameters are those of `read_body`.
    """
    body = await read_body(request, max_bytes, timeout_s)
    if isinstance(body, Problem):
        return body
    try:
        fields = decode_input(decode, body)
    except InputError as error:
        return describe_faults((f'body: is not valid JSON: {error}',))
    if not isinstance(fields, dict):
        return describe_faults(('body: must be a JSON object',))
    return fields


def read_seconds(request: Request, name: str, max_s: float) -> float | Problem:
    """Return a query parameter in seconds; 0 if it is absent."""
    text = request.query_params.get(name, '0')
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if isfinite(seconds) and 0 <= seconds <= max_s:
        return seconds
    return describe_faults(
        (f'{name}: must be a number from 0 to {max_s:g}, not {text!r:.80}',)
    )


def read_integer(
    request: Request, name: str, default: int, maximum: int
) -> int | Problem:
    """Return a whole number from 1 to ``maximum`` from a query parameter."""
    text = request.query_params.get(name, str(default))
    if text.isascii() and text.isdecimal() and 1 <= int(text) <= maximum:
        return int(text)
    return describe_faults(
        (
            f'{name}: must be a whole number from 1 to {maximum}, '
            f'not {text!r:.80}',
        )
    )


def describe_faults(faults: tuple[str, ...]) -> Problem:
    """Return the problem that lists all faults of a request."""
    return Problem(
        RefusalKind.INVALID,
        f'{len(faults)} fault(s): {"; ".join(faults)}',
        'correct every fault; nothing was accepted',
        faults=faults,
    )


def _describe_too_large(max_bytes: int) -> Problem:
    return Problem(
        'body-too-large',
        f'the body has more than {max_bytes} bytes',
        f'send at most {max_bytes} bytes',
    )


def _describe_body_memory_used_up(expected: int) -> Problem:
    return Problem(
        RefusalKind.OVERLOADED,
        f'this process has no free memory for a body of {expected} bytes',
        'send the request again after the time in Retry-After',
    )
