"""Reading of request bodies and query parameters."""

from __future__ import annotations

from math import isfinite
from typing import Any
from typing import TYPE_CHECKING

from anyio import move_on_after
from msgspec import DecodeError
from msgspec.json import decode

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.http.limits import KIB
from sassafrasgate.http.problems import Problem

if TYPE_CHECKING:
    from starlette.requests import Request

# A connection that is closed with unread data is reset, and the caller may
# lose the response. So the rest of a body that is somewhat too large is read.
MAX_DISCARDED_BYTES = 32 * 1024 * KIB


async def read_body(
    request: Request, limit: int, timeout_s: float
) -> bytes | Problem:
    """Return the whole body of a request.

    Parameters
    ----------
    request : Request
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
    parts: list[bytes] = []
    size = 0
    with move_on_after(timeout_s):
        async for part in request.stream():
            size += len(part)
            if size > limit + MAX_DISCARDED_BYTES:
                return _describe_too_large(limit)
            if size <= limit:
                parts.append(part)
        if size > limit:
            return _describe_too_large(limit)
        return b''.join(parts)
    return Problem(
        'body-timeout',
        f'{size} bytes of the body arrived within {timeout_s:g} s',
        'send the whole body at once',
    )


async def read_fields(
    request: Request, limit: int, timeout_s: float
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
