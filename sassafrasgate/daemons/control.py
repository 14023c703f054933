"""The task that watches the control keys for the whole process.

The control keys hold members, shard owners and the configuration manifest.
One watch call serves all tasks of the process.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.daemons.prefix_watches import PrefixWatch

CONTROL_PREFIX = 'control/'


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
    """Forwards the results of the watch of the control keys to listeners.

    Parameters
    ----------
    watch : PrefixWatch
        Watch of `CONTROL_PREFIX`.
    listeners : tuple of MemoryObjectSendStream
        Receive `ControlListed` and `ControlChanged`.
    """

    def __init__(
        self,
        watch: PrefixWatch,
        listeners: tuple[MemoryObjectSendStream[Any], ...],
    ) -> None:
        self._watch = watch
        self._listeners = listeners

    async def run(self) -> None:
        """Follow the keys until cancelled."""
        await self._watch.run(self._handle_list, self._handle_changes)

    async def _handle_list(self, listed: Changes) -> None:
        await self._notify_listeners(
            ControlListed(listed.items, listed.revision)
        )

    async def _handle_changes(self, items: tuple[Item, ...]) -> None:
        if items:
            await self._notify_listeners(ControlChanged(items))

    async def _notify_listeners(self, message: Any) -> None:
        for listener in self._listeners:
            await listener.send(message)
