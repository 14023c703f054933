"""Calls to the store that go through another entry host when they fail.

The store may turn single hosts away, or be cut off from them, while it
serves the others. A write that is tried on both ways takes effect once, since
every write has a condition; its caller reads back after a conflict anyway.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec import convert

from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLeaseLostError
from sassafrasgate.core.errors import StoreLogTrimmedError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item
from sassafrasgate.core.registries import Registry
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_facts
from sassafrasgate.protocol.relays import RelayCall
from sassafrasgate.protocol.relays import RelayReply

if TYPE_CHECKING:
    from collections import Counter

    from anyio.abc import TaskGroup
    from logbook import Logger

    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.daemons.directory import Directory

# Hosts that are asked to call the store, one after the other.
MOST_RELAYS = 2
# Results of the methods that can be relayed.
RESULTS: Registry[str, Any] = Registry('relayed store method')
FAILURES: Registry[str, type[StoreError]] = Registry('store failure')

RESULTS.register('get')(Item | None)
RESULTS.register('create')(int)
RESULTS.register('swap')(int)
RESULTS.register('delete')(bool)
RESULTS.register('read_prefix')(Changes)
RESULTS.register('watch')(Changes)
RESULTS.register('grant_lease')(str)
RESULTS.register('renew_lease')(bool)
RESULTS.register('revoke_lease')(type(None))

FAILURES.register('conflict')(StoreConflictError)
FAILURES.register('lease-lost')(StoreLeaseLostError)
FAILURES.register('log-trimmed')(StoreLogTrimmedError)
FAILURES.register('unavailable')(StoreUnavailableError)
FAILURES.register('refused')(StoreError)

DIRECT = 'direct'
RELAY = 'relay'
# A store that answers does so within this time even while it is slow.
PATIENCE_S = 0.4
# Calls that can be repeated without any harm, and when that is done.
REPEATED = frozenset({'renew_lease', 'get'})
REPEAT_S = 0.15
# So many calls in a row that only the other way has answered tell that the
# direct way is silent.
SILENT_CALLS = 2
# After a failure the other way is preferred for so long.
PREFERENCE_MS = 2_000
RELAY_TIMEOUT_S = 1.0

Relay = Callable[[RelayCall, float], Awaitable[RelayReply | None]]


class RelayedStore:
    """A store client with a second way to the store.

    Parameters
    ----------
    store : KeyStore
        The direct client.
    relay : callable
        Has another entry host make a `RelayCall`; returns its answer, or
        None when no host has given one.
    logger : Logger
        For the changes between the two ways.
    """

    def __init__(self, store: KeyStore, relay: Relay, logger: Logger) -> None:
        self._store = store
        self._relay = relay
        self._logger = logger
        self._relay_until = 0
        self._relaying = False
        self._silent = 0

    @property
    def calls(self) -> Counter[str]:
        """Calls made directly, by the name of the method."""
        return self._store.calls

    async def get(
        self, key: str, priority: int = CallPriority.NORMAL
    ) -> Item | None:
        """Return a key's item, or None when there is no such key."""
        found: Item | None = await self._call('get', key, priority)
        return found

    async def create(
        self,
        key: str,
        value: bytes,
        lease: str = '',
        priority: int = CallPriority.NORMAL,
    ) -> int:
        """Write a new key and return its revision."""
        return int(await self._call('create', key, value, lease, priority))

    async def swap(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: str = '',
        priority: int = CallPriority.NORMAL,
    ) -> int:
        """Replace the value at ``revision`` and return the new revision."""
        return int(
            await self._call('swap', key, value, revision, lease, priority)
        )

    async def delete(
        self,
        key: str,
        revision: int | None = None,
        priority: int = CallPriority.NORMAL,
    ) -> bool:
        """Delete a key."""
        return bool(await self._call('delete', key, revision, priority))

    async def read_prefix(
        self, prefix: str, priority: int = CallPriority.NORMAL
    ) -> Changes:
        """Return the items under a prefix and where to watch from."""
        found: Changes = await self._call('read_prefix', prefix, priority)
        return found

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        priority: int = CallPriority.NORMAL,
    ) -> Changes:
        """Return changes under a prefix, waiting for the first one."""
        found: Changes = await self._call(
            'watch', prefix, after, wait_s, priority, wait_s=wait_s
        )
        return found

    async def grant_lease(
        self, ttl_s: float, priority: int = CallPriority.HIGH
    ) -> str:
        """Return the id of a new lease of ``ttl_s`` seconds."""
        return str(await self._call('grant_lease', ttl_s, priority))

    async def renew_lease(
        self, lease: str, priority: int = CallPriority.HIGH
    ) -> bool:
        """Give a lease its whole time again; False if it has expired."""
        return bool(await self._call('renew_lease', lease, priority))

    async def revoke_lease(
        self, lease: str, priority: int = CallPriority.NORMAL
    ) -> None:
        """End a lease, which deletes its keys."""
        await self._call('revoke_lease', lease, priority)

    async def _call(
        self, method: str, *arguments: Any, wait_s: float = 0.0
    ) -> Any:
        """Make a call on the way that answers first.

        Raises
        ------
        StoreUnavailableError
            When no way has brought an answer in time.
        """
        race = _Race()
        direct = partial(getattr(self._store, method), *arguments)
        relay = partial(self._call_relay, method, arguments, wait_s)
        preferred = now_ms() < self._relay_until
        async with anyio.create_task_group() as tasks:
            if not preferred:
                tasks.start_soon(race.run, DIRECT, 0.0, direct, tasks)
            if method in REPEATED and not preferred:
                tasks.start_soon(race.run, DIRECT, REPEAT_S, direct, tasks)
            delay_s = 0.0 if preferred else PATIENCE_S + wait_s
            tasks.start_soon(race.run, RELAY, delay_s, relay, tasks)
        if race.winner is None:
            self._relay_until = 0
            raise race.find_failure()
        self._note_winner(race, method)
        if isinstance(race.winner.result, StoreError):
            raise race.winner.result
        return race.winner.result

    def _note_winner(self, race: _Race, method: str) -> None:
        assert race.winner is not None
        if race.winner.way == DIRECT:
            self._silent = 0
            self._note_way(False, method, '')
            return
        refused = race.has_failed(DIRECT)
        self._silent += 1
        if refused or self._silent >= SILENT_CALLS:
            self._note_way(True, method, str(race.find_failure()))
            self._relay_until = now_ms() + PREFERENCE_MS

    def _note_way(self, relaying: bool, method: str, reason: str) -> None:
        if relaying == self._relaying:
            return
        self._relaying = relaying
        log_facts(
            self._logger,
            'store-relayed' if relaying else 'store-direct',
            (('method', method), ('reason', reason)),
        )

    async def _call_relay(
        self, method: str, arguments: tuple[Any, ...], wait_s: float
    ) -> Any:
        answer = await self._relay(
            RelayCall(method, arguments), RELAY_TIMEOUT_S + wait_s
        )
        if answer is None:
            raise StoreUnavailableError(
                f'no entry host has relayed {method!r} to the store; read '
                'back what was written'
            )
        if not answer.failure:
            return convert(answer.result, RESULTS.find(method))
        raise FAILURES.find(answer.failure)(answer.reason)


@dataclass(frozen=True, slots=True)
class _Finish:
    """The first answer of a call, and the way that brought it."""

    way: str
    result: Any


class _Race:
    """Tries that run side by side until one of them has an answer."""

    def __init__(self) -> None:
        self.winner: _Finish | None = None
        self._failures: list[tuple[str, StoreUnavailableError]] = []
        self._failed = anyio.Event()

    async def run(
        self,
        way: str,
        delay_s: float,
        make: Callable[[], Awaitable[Any]],
        tasks: TaskGroup,
    ) -> None:
        """Make one try, after a delay or an earlier try's failure.

        A way on which a try has failed is not tried again.
        """
        if delay_s:
            with anyio.move_on_after(delay_s):
                await self._failed.wait()
        if self.has_failed(way):
            return
        try:
            result = await make()
        except StoreUnavailableError as error:
            self._failures.append((way, error))
            self._failed.set()
            return
        except StoreError as error:
            # The store has answered, if not as the caller hoped.
            result = error
        if self.winner is None:
            self.winner = _Finish(way, result)
        tasks.cancel_scope.cancel()

    def has_failed(self, way: str) -> bool:
        """Tell whether a try on a way has ended without an answer."""
        return any(known == way for known, _ in self._failures)

    def find_failure(self) -> StoreUnavailableError:
        """Return the first failure."""
        if self._failures:
            return self._failures[0][1]
        return StoreUnavailableError(
            'the store gave no answer in time; read back what was written'
        )


async def execute_relayed_call(store: KeyStore, call: RelayCall) -> RelayReply:
    """Make a call for another entry host.

    Parameters
    ----------
    store : KeyStore
        A direct client.
    """
    if call.method not in RESULTS:
        return RelayReply('refused', f'{call.method!r} is not relayed')
    try:
        result = await getattr(store, call.method)(*call.arguments)
    except StoreError as error:
        for name in FAILURES:
            if type(error) is FAILURES.find(name):
                return RelayReply(name, str(error))
        return RelayReply('refused', str(error))
    return RelayReply(result=result)


async def relay_through_peers(
    directory: Directory, name: str, call: RelayCall, timeout_s: float
) -> RelayReply | None:
    """Have another entry host call the store.

    Parameters
    ----------
    name : str
        Of this entry host; each host asks the others in an order of its own.

    Returns
    -------
    RelayReply or None
        None when none of the hosts that were asked has reached it.
    """
    best: RelayReply | None = None
    names = rank_names(name, directory.members)
    for other in [n for n in names if n != name][:MOST_RELAYS]:
        member = directory.members.get(other)
        if member is None:
            # It has gone while another host was asked.
            continue
        link = directory.find_link(member.link_address)
        answer = await link.ask(call, timeout_s)
        if not isinstance(answer, RelayReply):
            continue
        if answer.failure != 'unavailable':
            return answer
        best = answer
    return best
