"""The task that keeps a process's configuration up to date.

The version in force never decreases.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.configuration.publication import MANIFEST_KEY
from sassafrasgate.configuration.publication import read_configuration
from sassafrasgate.configuration.versions import choose_newer
from sassafrasgate.configuration.versions import decode_configuration
from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.protocol.messages import ConfigurationReply
from sassafrasgate.protocol.messages import FetchConfiguration

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.adapters.store import Store

FETCH_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.5
LAG_ALLOWANCE_MS = 3_000


@dataclass(frozen=True, slots=True)
class PeerVersionReceived:
    """A peer's heartbeat has reported its configuration version."""

    peer: str
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationPublished:
    """A configuration that this process has just published."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The state that the configuration task sends to its listeners.

    Parameters
    ----------
    configuration : Configuration
        The newest version that this process holds.
    is_current : bool
        False once a peer has reported a newer version and this process has
        not obtained it within `LAG_ALLOWANCE_MS`.
    """

    configuration: Configuration
    is_current: bool


class ConfigurationTask:
    """Owns the process's configuration.

    Parameters
    ----------
    store : Store
        Holds the accepted versions.
    request_from_peers : callable
        Sends a message to every known peer and returns the replies. Used
        while the store does not respond.
    inbox : MemoryObjectReceiveStream
        Delivers `ControlListed`, `ControlChanged`, `PeerVersionReceived` and
        `ConfigurationPublished`.
    listeners : tuple of MemoryObjectSendStream
        Receive `ConfigurationStatus`.
    """

    def __init__(
        self,
        store: Store,
        request_from_peers: Callable[[Any, float], Awaitable[tuple[Any, ...]]],
        inbox: MemoryObjectReceiveStream[Any],
        listeners: tuple[MemoryObjectSendStream[Any], ...],
    ) -> None:
        self._store = store
        self._request_from_peers = request_from_peers
        self._inbox = inbox
        self._listeners = listeners
        self.current = Configuration()
        self._newest_reported = 0
        self._behind_since = 0
        self._has_loaded = False
        self._reported_current = True

    async def run(self) -> None:
        """Load the first version, then follow changes until cancelled."""
        await self._load_first()
        while True:
            message = None
            with anyio.move_on_after(RETRY_DELAY_S):
                message = await self._inbox.receive()
            await self._handle(message)

    async def _load_first(self) -> None:
        """Read the store or, if it does not respond, ask every peer."""
        while not self._has_loaded:
            if await self._read_store() or await self._read_peers():
                self._has_loaded = True
                continue
            await anyio.sleep(RETRY_DELAY_S)
        await self._notify_listeners()

    async def _handle(self, message: Any) -> None:
        if isinstance(message, PeerVersionReceived):
            self._newest_reported = max(self._newest_reported, message.version)
        if isinstance(message, ConfigurationPublished):
            await self._apply(message.configuration)
        if isinstance(message, ControlListed | ControlChanged) and any(
            item.key == MANIFEST_KEY for item in message.items
        ):
            await self._read_store()
        if (
            self._newest_reported > self.current.version
            and not await self._read_peers()
        ):
            await self._read_store()
        await self._update_lag()

    async def _update_lag(self) -> None:
        """Notify the listeners when this process falls behind or catches up.

        A process is behind while a peer holds a newer version.
        """
        if self._newest_reported <= self.current.version:
            self._behind_since = 0
        elif not self._behind_since:
            self._behind_since = now_ms()
        if self._is_current() != self._reported_current:
            await self._notify_listeners()

    def _is_current(self) -> bool:
        if not self._behind_since:
            return True
        return now_ms() - self._behind_since < LAG_ALLOWANCE_MS

    async def _read_store(self) -> bool:
        try:
            known = self.current if self.current.version else None
            found = await read_configuration(self._store, known)
        except SassafrasgateError:
            return False
        if found is not None:
            await self._apply(found)
        return True

    async def _read_peers(self) -> bool:
        """Fetch the newest configuration that any peer holds.

        Returns
        -------
        bool
            Whether this process now holds the newest version reported.
        """
        received = await self._request_from_peers(
            FetchConfiguration(), FETCH_TIMEOUT_S
        )
        replies = [
            reply
            for reply in received
            if isinstance(reply, ConfigurationReply)
        ]
        if not replies:
            return False
        newest = max(replies, key=lambda reply: reply.version)
        self._newest_reported = max(self._newest_reported, newest.version)
        if newest.version > self.current.version:
            await self._apply(decode_configuration(newest.encoded))
        return (
            newest.version > 0
            and self.current.version >= self._newest_reported
        )

    async def _apply(self, offered: Configuration) -> None:
        newer = choose_newer(self.current, offered)
        if newer.version == self.current.version:
            return
        self.current = newer
        if self._has_loaded:
            await self._notify_listeners()

    async def _notify_listeners(self) -> None:
        self._reported_current = self._is_current()
        status = ConfigurationStatus(self.current, self._reported_current)
        for listener in self._listeners:
            await listener.send(status)
