"""Watch of the keys under a prefix of the store.

A connection can go silent without a reset, and a store can lose a call that
waits. Each call therefore waits for a short time only, and a reply without
changes confirms the known keys. If it does not arrive in time, the keys are
listed again over a new connection.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLogTrimmedError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.daemons.freshness import ViewFreshness

if TYPE_CHECKING:
    from sassafrasgate.core.items import Changes
    from sassafrasgate.core.items import Item
    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.observability.failures import FailureRecorder

# A host has to act on all acknowledged changes 3 s after its connections have
# gone silent. Until a watch has listed its keys again, the wait, the time
# limit of the reply and the retry delay pass. A long list takes several calls,
# each with the time limit of the store client.
WATCH_WAIT_S = 1.5
REPLY_TIMEOUT_S = 0.6
RETRY_DELAY_S = 0.3
ERROR_RETRY_DELAY_S = 1.0

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
    failures : FailureRecorder
        Records failures of the watch.
    pause_s : float
        Time in seconds between a reply with changes and the next call.
        Changes in quick succession then share a call, which saves calls
        that are charged for.
    wait_s : float
        Time in seconds for which the store may hold a call while nothing
        changes.

    Attributes
    ----------
    freshness : ViewFreshness
        When the store last confirmed the known keys.
    """

    def __init__(
        self,
        store: KeyStore,
        prefix: str,
        failures: FailureRecorder,
        pause_s: float = 0.0,
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self.prefix = prefix
        self.freshness = ViewFreshness(prefix, failures.logger)
        self._failures = failures
        self._store = store
        self._pause_s = pause_s
        self._wait_s = wait_s

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
                self.freshness.confirm()
                await handle_list(listed)
                await self._follow(listed.revision, handle_changes)
            except StoreLogTrimmedError:
                continue
            except StoreError as error:
                self.freshness.record_failure(str(error))
                await anyio.sleep(RETRY_DELAY_S)
            except Exception as error:
                # A watch that ended would leave this process with an old
                # view for good.
                self._failures.record(
                    'watch', error, (('prefix', self.prefix),)
                )
                await anyio.sleep(ERROR_RETRY_DELAY_S)

    async def _follow(
        self, revision: int, handle_changes: HandleChanges
    ) -> None:
        while True:
            changes = await self._wait_for_changes(revision)
            self.freshness.confirm()
            revision = changes.revision
            await handle_changes(changes.items)
            if changes.items:
                await anyio.sleep(self._pause_s)

    async def _wait_for_changes(self, revision: int) -> Changes:
        """Return the changes after a revision, or none after the wait.

        The time limit covers all paths to the store. A dropped call closes
        its connection.
        """
        timeout_s = self._wait_s + REPLY_TIMEOUT_S
        try:
            with anyio.fail_after(timeout_s):
                return await self._store.watch(
                    self.prefix, revision, self._wait_s
                )
        except TimeoutError as error:
            raise StoreUnavailableError(
                f'the store has not confirmed the keys under {self.prefix!r} '
                f'within {timeout_s:g} s; they are listed again'
            ) from error
