"""Watch of the keys under a prefix of the store.

A watch knows when the store last confirmed what it has passed on, so that an
operator can tell an idle prefix from a watch that has lost its connection.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLogTrimmedError
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_event

if TYPE_CHECKING:
    from logbook import Logger

    from sassafrasgate.core.items import Changes
    from sassafrasgate.core.items import Item
    from sassafrasgate.core.stores import KeyStore

WATCH_WAIT_S = 20.0
RETRY_DELAY_S = 0.3

HandleList = Callable[['Changes'], Awaitable[Any]]
HandleChanges = Callable[[tuple['Item', ...]], Awaitable[Any]]


class PrefixWatch:
    """Lists the keys of a prefix and then watches them.

    Parameters
    ----------
    store : KeyStore
        Store client that only this watch uses.
    prefix : str
        Prefix of the keys.
    logger : Logger
        Logger for failures of the watch.
    pause_s : float
        Time in seconds between a reply with changes and the next call.
        Changes in quick succession then share a call, which saves calls
        that are charged for.
    """

    def __init__(
        self,
        store: KeyStore,
        prefix: str,
        logger: Logger,
        pause_s: float = 0.0,
    ) -> None:
        self.prefix = prefix
        self._store = store
        self._logger = logger
        self._pause_s = pause_s
        self._confirmed_at = now_ms()
        self._failing = False

    @property
    def age_ms(self) -> int:
        """Time in ms since the store last confirmed the watched keys."""
        return now_ms() - self._confirmed_at

    async def run(
        self, handle_list: HandleList, handle_changes: HandleChanges
    ) -> None:
        """Follow the prefix until cancelled.

        Parameters
        ----------
        handle_list : callable
            Awaited with all items, at the start and after each failure.
        handle_changes : callable
            Awaited with the items that have changed; with none if the store
            has confirmed that nothing has changed.
        """
        while True:
            try:
                listed = await self._store.read_prefix(self.prefix)
                self._confirm()
                await handle_list(listed)
                await self._follow(listed.revision, handle_changes)
            except StoreLogTrimmedError:
                continue
            except StoreError as error:
                self._record_failure(str(error))
                await anyio.sleep(RETRY_DELAY_S)

    async def _follow(
        self, revision: int, handle_changes: HandleChanges
    ) -> None:
        while True:
            changes = await self._store.watch(
                self.prefix, revision, WATCH_WAIT_S
            )
            self._confirm()
            revision = changes.revision
            await handle_changes(changes.items)
            if changes.items:
                await anyio.sleep(self._pause_s)

    def _confirm(self) -> None:
        if self._failing:
            self._log('watch-restored', (('age_ms', self.age_ms),))
        self._failing = False
        self._confirmed_at = now_ms()

    def _record_failure(self, reason: str) -> None:
        if not self._failing:
            self._log(
                'watch-lost', (('age_ms', self.age_ms), ('reason', reason))
            )
        self._failing = True

    def _log(self, kind: str, fields: tuple[tuple[str, object], ...]) -> None:
        log_event(self._logger, kind, (('prefix', self.prefix), *fields))
