"""A TCP relay that can stop forwarding while connections stay open."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import anyio

from tests.processes import find_free_address

if TYPE_CHECKING:
    from anyio.abc import SocketStream

CHUNK_BYTES = 65_536


class Relay:
    """Forwards connections to one address.

    Parameters
    ----------
    target : str
        IP number and port to connect to.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self._silenced: set[int] = set()
        self.connections = 0
        self.address = find_free_address()
        self.ready = anyio.Event()

    async def run(self) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        self.ready.set()
        async with listener:
            await listener.serve(self._forward)

    def silence(self) -> None:
        """Drop all further bytes on the connections opened so far."""
        self._silenced.update(range(1, self.connections + 1))

    async def _forward(self, client: SocketStream) -> None:
        self.connections += 1
        number = self.connections
        host, _, port = self._target.rpartition(':')
        # Either end may reset the connection at any time.
        with suppress(OSError):
            upstream = await anyio.connect_tcp(host, int(port))
            async with client, upstream, anyio.create_task_group() as group:
                group.start_soon(self._copy, number, client, upstream)
                group.start_soon(self._copy, number, upstream, client)

    async def _copy(
        self, number: int, source: SocketStream, sink: SocketStream
    ) -> None:
        with suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(CHUNK_BYTES)
                if number not in self._silenced:
                    await sink.send(data)
