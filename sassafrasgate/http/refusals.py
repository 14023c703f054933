"""Why connections are closed, and what is sent to their clients."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus

from msgspec.json import encode

RETRY_AFTER_S = 1


class CloseReason(StrEnum):
    """Why the server closes a connection."""

    IDLE = 'idle'
    HEAD_TOO_LARGE = 'head-too-large'
    HEAD_TIMEOUT = 'head-timeout'
    BODY_TOO_LARGE = 'body-too-large'
    BODY_TIMEOUT = 'body-timeout'
    UNREAD_RESPONSE = 'unread-response'
    LATE_CLOSE = 'late-close'
    OVERLOADED = 'overloaded'
    NOT_ACCEPTED = 'not-accepted'
    ACCEPT_FAILED = 'accept-failed'


@dataclass(frozen=True, slots=True)
class ConnectionRefusal:
    """The response to a request that has not arrived whole.

    Nothing has run, so that each of these may be sent again.

    Parameters
    ----------
    status : HTTPStatus
        Status of the response.
    text : str
        Problem and remedy.
    """

    status: HTTPStatus
    text: str

    def render(self) -> bytes:
        """Return the response; the connection is closed after it."""
        body = encode({'error': self.text})
        lines = [
            f'HTTP/1.1 {self.status.value} {self.status.phrase}',
            'content-type: application/json',
            f'content-length: {len(body)}',
            'connection: close',
        ]
        if self.status is HTTPStatus.SERVICE_UNAVAILABLE:
            lines.append(f'retry-after: {RETRY_AFTER_S}')
        return '\r\n'.join((*lines, '', '')).encode() + body


REFUSALS = {
    CloseReason.HEAD_TOO_LARGE: ConnectionRefusal(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        'the head of the request is too large; send fewer or shorter headers',
    ),
    CloseReason.HEAD_TIMEOUT: ConnectionRefusal(
        HTTPStatus.REQUEST_TIMEOUT,
        'the head of the request did not arrive in time; send it at once',
    ),
    CloseReason.BODY_TOO_LARGE: ConnectionRefusal(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'the body of the request is too large; send less',
    ),
    CloseReason.BODY_TIMEOUT: ConnectionRefusal(
        HTTPStatus.REQUEST_TIMEOUT,
        'the body of the request arrived too slowly; send it without pauses',
    ),
    CloseReason.OVERLOADED: ConnectionRefusal(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'this process holds too many requests; try again after the time in '
        'Retry-After',
    ),
}
