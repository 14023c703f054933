"""Routing of advice calls to the entry host that is to make them.

The advice service queues the calls of each host separately, so the
dispatcher spreads its calls over the entry hosts.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import NoReply
from sassafrasgate.daemons.advice import AdviceRequested
from sassafrasgate.daemons.replies import ReplyTable
from sassafrasgate.daemons.replies import wait_for_reply

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.protocol.links import OutgoingReply
    from sassafrasgate.protocol.workflows import SeekAdvice


class AdviceRouter:
    """Sends advice calls to entry hosts.

    Parameters
    ----------
    name : str
        Name of this entry host.
    directory : Directory
        Holds the other entry hosts and the links to them.
    advice_sender : MemoryObjectSendStream
        The inbox of this process's advice task.
    reply : callable
        Queues an `OutgoingReply` on the link server.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        advice_sender: MemoryObjectSendStream[Any],
        reply: Callable[[OutgoingReply], Awaitable[None]],
    ) -> None:
        self._name = name
        self._directory = directory
        self._advice_sender = advice_sender
        self._reply = reply

    async def request_advice(self, name: str, request: SeekAdvice) -> Any:
        """Have the named entry host call the advice service.

        Returns
        -------
        object
            The `AdviceGiven`, or another object if the call has failed.
        """
        timeout_s = request.timeout_ms / 1000
        if name == self._name:
            return await self._request_locally(request, timeout_s)
        member = self._directory.members.get(name)
        if member is None:
            return NoReply(f'entry host {name!r} is not a live member')
        link = self._directory.find_link(member.link_address)
        return await link.request(request, timeout_s)

    async def _request_locally(
        self, request: SeekAdvice, timeout_s: float
    ) -> Any:
        replies = ReplyTable(self._reply)

        def add(caller: MemoryObjectSendStream[Any]) -> int:
            token = replies.add_local_request(caller)

            async def send_reply(message: Any) -> None:
                await replies.send(token, message)

            self._advice_sender.send_nowait(
                AdviceRequested(request, send_reply)
            )
            return token

        return await wait_for_reply(add, replies.discard, timeout_s)
