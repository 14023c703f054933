"""The task that polls the platform's list of leaving hosts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import StoreError
from sassafrasgate.daemons.freshness import ViewFreshness

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream
    from logbook import Logger

    from sassafrasgate.adapters.store import Store

HOST_LIST = 'hosts'
POLL_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class LeavingHostsChanged:
    """The platform lists other hosts as leaving than before.

    Parameters
    ----------
    leaving : frozenset of str
        Names of all hosts that are leaving.
    """

    leaving: frozenset[str]


class HostListTask:
    """Polls the list and passes changes on.

    The list is also read while the process owns no shard, so that a new
    owner knows which hosts are leaving before its first start.

    Parameters
    ----------
    store : Store
        Store client for the list.
    listener : MemoryObjectSendStream
        Receives `LeavingHostsChanged`.
    logger : Logger
        Logger for failures of the poll.

    Attributes
    ----------
    freshness : ViewFreshness
        When the list was last read.
    """

    def __init__(
        self,
        store: Store,
        listener: MemoryObjectSendStream[Any],
        logger: Logger,
    ) -> None:
        self.freshness = ViewFreshness(HOST_LIST, logger)
        self._store = store
        self._listener = listener
        self._leaving: frozenset[str] = frozenset()

    async def run(self) -> None:
        """Read the list at a fixed interval until cancelled."""
        while True:
            await self._read_list()
            await anyio.sleep(POLL_INTERVAL_S)

    async def _read_list(self) -> None:
        try:
            hosts = await self._store.list_hosts()
        except StoreError as error:
            self.freshness.record_failure(str(error))
            return
        self.freshness.confirm()
        leaving = frozenset(host.name for host in hosts if host.leaving)
        if leaving == self._leaving:
            return
        self._leaving = leaving
        await self._listener.send(LeavingHostsChanged(leaving))
