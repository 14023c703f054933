"""A table of open requests and their tokens."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import NoReply
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import OutcomeUnknown

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.protocol.links import IncomingRequest
    from sassafrasgate.protocol.messages import Refused


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
        self._handled: set[int] = set()
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
        self._handled.discard(token)

    def record_handled(self, token: int) -> None:
        """Record that a request has been handled; its reply may follow later.

        The request may have an effect from now on.
        """
        if token in self._open_requests:
            self._handled.add(token)

    async def send(self, token: int, message: Any) -> None:
        """Reply to the request with this token; each token is used once."""
        send_reply = self._open_requests.pop(token, None)
        self._handled.discard(token)
        if send_reply is not None:
            await send_reply(message)

    async def end_requests(
        self, refusal: Refused, kept: frozenset[int] = frozenset()
    ) -> None:
        """Reply to the open requests of a task that ends.

        A request that has been handled may have been recorded in the
        journal, where a successor finds it. Its outcome is unknown. The
        others have had no effect.

        Parameters
        ----------
        refusal : Refused
            Reply to requests that have not been handled.
        kept : frozenset of int
            Tokens of requests that stay open.
        """
        for token in [t for t in self._open_requests if t not in kept]:
            handled = token in self._handled
            await self.send(
                token, OutcomeUnknown(refusal.reason) if handled else refusal
            )


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
        Maximum time to wait for the reply, in seconds.

    Returns
    -------
    object
        The reply, or `NoReply`.
    """
    caller, replies = anyio.create_memory_object_stream[Any](1)
    with caller, replies:
        token = add(caller)
        with anyio.move_on_after(timeout_s):
            reply = await replies.receive()
            if isinstance(reply, OutcomeUnknown):
                return reply.to_no_reply()
            return reply
        discard(token)
    return NoReply(f'no reply within {timeout_s:.1f} s')
