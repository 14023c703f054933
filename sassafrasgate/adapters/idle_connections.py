"""Connections without a call, on which nothing may arrive.

aiohttp parses what arrives on an idle connection and keeps it until the next
call looks at the connection, without a bound.
"""

from __future__ import annotations

from asyncio import get_running_loop
from functools import partial
from typing import Any
from typing import TYPE_CHECKING

from aiohttp.client_proto import ResponseHandler

if TYPE_CHECKING:
    from aiohttp import ClientSession

# A call takes one response off at a time. More than a few that wait, such as
# interim ones, belong to no call.
MAX_WAITING_RESPONSES = 64


class _BoundedResponseHandler(ResponseHandler):
    """Closes its connection when responses arrive that no call takes."""

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived."""
        super().data_received(data)
        if len(self._buffer) > MAX_WAITING_RESPONSES and self.transport:
            self.transport.abort()


def close_on_unrequested_data(session: ClientSession) -> None:
    """Close connections of a session on which unrequested data arrives.

    aiohttp has no public option for the class of its connections.
    """
    connector = session.connector
    assert connector is not None
    factory: Any = partial(_BoundedResponseHandler, loop=get_running_loop())
    connector._factory = factory
