"""A table of open requests and their tokens."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import NoReply
from sassafrasgate.protocol.links import OutgoingReply

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.protocol.links import IncomingRequest


class ReplyTable:
    """Assigns a token to each request and replies to it at most once.

    Parameters
    ----------
    reply : callable
        Queues an `OutgoingReply` for a request received over a link.
    """

    def __init__(
        self, reply: Callable[[OutgoingReply], Awaitable[None]]
    ) -> None:
        self._queue_reply = reply
        self._open_requests: dict[int, Callable[[Any], Awaitable[None]]] = {}
        self._next_token = 1

    def add_request(self, request: IncomingRequest) -> int:
        """Add a request received over a link and return its token.

        The token is 0 if the sender expects no reply.
        """
        if not request.request_id:
            return 0

        async def send_reply(message: Any) -> None:
            await self._queue_reply(
                OutgoingReply(request.client, request.request_id, message)
            )

        return self._add(send_reply)

    def add_local_request(self, caller: MemoryObjectSendStream[Any]) -> int:
        """Add a request of this process and return its token.

        Parameters
        ----------
        caller : MemoryObjectSendStream
            Receives the reply.
        """

        async def send_reply(message: Any) -> None:
            try:
                caller.send_nowait(message)
            except (
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                anyio.WouldBlock,
            ):
                # The caller no longer waits.
                return

        return self._add(send_reply)

    def _add(self, send_reply: Callable[[Any], Awaitable[None]]) -> int:
        token = self._next_token
        self._next_token += 1
        self._open_requests[token] = send_reply
        return token

    def discard(self, token: int) -> None:
        """Drop a request whose caller no longer waits."""
        self._open_requests.pop(token, None)

    def list_open(self) -> tuple[int, ...]:
        """Return the tokens of all unanswered requests."""
        return tuple(self._open_requests)

    async def send(self, token: int, message: Any) -> None:
        """Reply to the request with this token; each token is used once."""
        send_reply = self._open_requests.pop(token, None)
        if send_reply is not None:
            await send_reply(message)


async def wait_for_reply(
    add: Callable[[MemoryObjectSendStream[Any]], int],
    discard: Callable[[int], None],
    timeout_s: float,
) -> Any:
    """Send a request of this process and return its reply.

    Parameters
    ----------
    add : callable
        Sends the request. It is called with the stream that receives the
        reply, and returns the request's token.
    discard : callable
        Called with the token if no reply came in time.
    timeout_s : float
        Longest time to wait for the reply, in seconds.

    Returns
    -------
    object
        The reply, or `NoReply`.
    """
    caller, replies = anyio.create_memory_object_stream[Any](1)
    with caller, replies:
        token = add(caller)
        with anyio.move_on_after(timeout_s):
            return await replies.receive()
        discard(token)
    return NoReply(f'no reply within {timeout_s:.1f} s')
