"""The task that watches the control keys for the whole process.

The control keys hold members, shard owners and the configuration manifest.
One watch call serves all tasks of the process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLogTrimmedError
from sassafrasgate.core.items import Item

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.core.stores import KeyStore

CONTROL_PREFIX = 'control/'
WATCH_WAIT_S = 20.0
RETRY_DELAY_S = 0.3


@dataclass(frozen=True, slots=True)
class ControlListed:
    """All control keys at one revision; keys not listed do not exist.

    Parameters
    ----------
    items : tuple of Item
        The control keys and their values.
    revision : int
        Revision of the store at which the keys were listed.
    """

    items: tuple[Item, ...]
    revision: int = 0


@dataclass(frozen=True, slots=True)
class ControlChanged:
    """Control keys that have changed; a value of None means deleted."""

    items: tuple[Item, ...]


class ControlWatchTask:
    """Owns the watch and forwards its results to listeners.

    Parameters
    ----------
    store : KeyStore
        Store client that only this task uses.
    listeners : tuple of MemoryObjectSendStream
        Receive `ControlListed` and `ControlChanged`.
    """

    def __init__(
        self,
        store: KeyStore,
        listeners: tuple[MemoryObjectSendStream[Any], ...],
    ) -> None:
        self._store = store
        self._listeners = listeners

    async def run(self) -> None:
        """List the keys, then watch them, until cancelled."""
        while True:
            try:
                listed = await self._store.read_prefix(CONTROL_PREFIX)
                await self._notify_listeners(
                    ControlListed(listed.items, listed.revision)
                )
                await self._follow(listed.revision)
            except StoreLogTrimmedError:
                continue
            except StoreError:
                await anyio.sleep(RETRY_DELAY_S)

    async def _follow(self, revision: int) -> None:
        while True:
            changes = await self._store.watch(
                CONTROL_PREFIX, revision, WATCH_WAIT_S
            )
            revision = changes.revision
            if changes.items:
                await self._notify_listeners(ControlChanged(changes.items))

    async def _notify_listeners(self, message: Any) -> None:
        for listener in self._listeners:
            await listener.send(message)
