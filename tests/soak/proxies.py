"""TCP proxies on loopback addresses that inject network faults."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from tests.processes import find_free_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import SocketStream

    Translation = Callable[[bytes], bytes]

CHUNK_BYTES = 65_536
HOLD_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class NetworkFault:
    """A network fault that a proxy applies to its connections.

    Parameters
    ----------
    delay_s : float
        Time in seconds before bytes are forwarded.
    drop_to_target, drop_from_target : bool
        Whether bytes to, and from, the target are dropped.
    hold_to_target, hold_from_target : bool
        Whether bytes to, and from, the target are held back until the fault
        ends, as TCP does when it repeats lost packets.
    refuse : bool
        Whether new connections are closed at once.
    """

    delay_s: float = 0.0
    drop_to_target: bool = False
    drop_from_target: bool = False
    hold_to_target: bool = False
    hold_from_target: bool = False
    refuse: bool = False


NO_FAULT = NetworkFault()


class Proxy:
    """Forwards connections to one address.

    Parameters
    ----------
    target : str
        IP number and port to connect to.
    translate_to_target, translate_from_target : callable, optional
        Change the bytes to, and from, the target, and keep their number. A
        text that two reads share is not found.
    """

    def __init__(
        self,
        target: str,
        translate_to_target: Translation = bytes,
        translate_from_target: Translation = bytes,
    ) -> None:
        self._target = target
        self.translate_to_target = translate_to_target
        self.translate_from_target = translate_from_target
        self._open_streams: set[SocketStream] = set()
        self._silenced_streams: set[SocketStream] = set()
        self.fault = NO_FAULT
        self.address = find_free_address()

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        host, _, port = self.address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        task_status.started()
        async with listener:
            await listener.serve(self._forward)

    def silence(self) -> None:
        """Drop all further bytes on the connections that are open now."""
        self._silenced_streams.update(self._open_streams)

    async def reset(self) -> None:
        """Close all open connections."""
        for stream in list(self._open_streams):
            await anyio.aclose_forcefully(stream)

    async def _forward(self, client: SocketStream) -> None:
        if self.fault.refuse:
            await anyio.aclose_forcefully(client)
            return
        host, _, port = self._target.rpartition(':')
        # Either end may close the connection at any time.
        with suppress(OSError):
            async with (
                client,
                await anyio.connect_tcp(host, int(port)) as upstream,
            ):
                self._open_streams.update((client, upstream))
                async with anyio.create_task_group() as group:
                    group.start_soon(self._copy, client, upstream, True, group)
                    group.start_soon(
                        self._copy, upstream, client, False, group
                    )
                self._open_streams.difference_update((client, upstream))
                self._silenced_streams.difference_update((client, upstream))

    async def _copy(
        self,
        source: SocketStream,
        sink: SocketStream,
        to_target: bool,
        group: anyio.abc.TaskGroup,
    ) -> None:
        translate = (
            self.translate_to_target
            if to_target
            else self.translate_from_target
        )
        with suppress(
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            while True:
                data = await source.receive(CHUNK_BYTES)
                data = translate(data)
                if self.fault.delay_s:
                    await anyio.sleep(self.fault.delay_s)
                while self._holds(to_target):
                    await anyio.sleep(HOLD_POLL_INTERVAL_S)
                fault = self.fault
                dropped = (
                    fault.drop_to_target
                    if to_target
                    else fault.drop_from_target
                )
                if not dropped and source not in self._silenced_streams:
                    await sink.send(data)
        group.cancel_scope.cancel()

    def _holds(self, to_target: bool) -> bool:
        fault = self.fault
        return fault.hold_to_target if to_target else fault.hold_from_target


class ProxyGroup:
    """Several proxies that have their faults in common.

    Parameters
    ----------
    proxies : list of Proxy
        The proxies.
    """

    def __init__(self, proxies: list[Proxy]) -> None:
        self.proxies = proxies

    @property
    def fault(self) -> NetworkFault:
        """Fault of the first proxy; setting it sets that of all."""
        return self.proxies[0].fault

    @fault.setter
    def fault(self, fault: NetworkFault) -> None:
        for proxy in self.proxies:
            proxy.fault = fault

    def silence(self) -> None:
        """Drop all further bytes on the connections that are open now."""
        for proxy in self.proxies:
            proxy.silence()

    async def reset(self) -> None:
        """Close all open connections."""
        for proxy in self.proxies:
            await proxy.reset()
