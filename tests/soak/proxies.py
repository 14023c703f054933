"""Loopback TCP proxies that misbehave on request."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute

if TYPE_CHECKING:
    from anyio.abc import SocketStream

CHUNK_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Trouble:
    """What a proxy does to the bytes of its connections.

    Parameters
    ----------
    delay_s : float
        Time before bytes are passed on.
    cut_up, cut_down : bool
        Whether bytes to, and from, the target are lost.
    refuse : bool
        Whether new connections are closed at once.
    """

    delay_s: float = 0.0
    cut_up: bool = False
    cut_down: bool = False
    refuse: bool = False


CALM = Trouble()


class Proxy:
    """Forwards connections to one address.

    Parameters
    ----------
    ip : str
        Where it listens.
    target : str
        IP number and port to connect to.
    """

    def __init__(self, ip: str, target: str) -> None:
        self._ip = ip
        self._target = target
        self._open: set[SocketStream] = set()
        self._silent: set[SocketStream] = set()
        self.trouble = CALM
        self.address = ''

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._ip, local_port=0
        )
        host, port = listener.extra(SocketAttribute.local_address)
        self.address = f'{host}:{port}'
        task_status.started()
        async with listener:
            await listener.serve(self._forward)

    def silence(self) -> None:
        """Pass nothing more on over the connections opened so far."""
        self._silent.update(self._open)

    async def reset(self) -> None:
        """Close all open connections."""
        for stream in list(self._open):
            await anyio.aclose_forcefully(stream)

    async def _forward(self, near: SocketStream) -> None:
        if self.trouble.refuse:
            await anyio.aclose_forcefully(near)
            return
        host, _, port = self._target.rpartition(':')
        # Either end may go away at any moment.
        with suppress(OSError):
            async with near, await anyio.connect_tcp(host, int(port)) as far:
                self._open.update((near, far))
                async with anyio.create_task_group() as group:
                    group.start_soon(self._copy, near, far, True, group)
                    group.start_soon(self._copy, far, near, False, group)
                self._open.difference_update((near, far))
                self._silent.difference_update((near, far))

    async def _copy(
        self,
        source: SocketStream,
        sink: SocketStream,
        up: bool,
        group: anyio.abc.TaskGroup,
    ) -> None:
        with suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(CHUNK_BYTES)
                trouble = self.trouble
                if trouble.delay_s:
                    await anyio.sleep(trouble.delay_s)
                lost = trouble.cut_up if up else trouble.cut_down
                if not lost and source not in self._silent:
                    await sink.send(data)
        group.cancel_scope.cancel()
