"""Store calls that are relayed through another entry host when they fail.

The store may refuse single hosts, or be cut off from them, while it serves
the others. A write that is attempted on both paths takes effect only once,
because every write has a condition. Its caller reads the key back after a
conflict in any case.
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
from sassafrasgate.observability.logs import log_event
from sassafrasgate.protocol.relays import RelayCall
from sassafrasgate.protocol.relays import RelayReply

if TYPE_CHECKING:
    from collections import Counter

    from anyio.abc import TaskGroup
    from logbook import Logger

    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.daemons.directory import Directory

# Maximum number of hosts that are asked to relay a call, one after the other.
MAX_RELAY_HOSTS = 2
# Hosts among which those with a connection are preferred.
RELAY_CANDIDATES = 4
# Result types of the store methods that can be relayed.
RESULT_TYPES: Registry[str, Any] = Registry('relayed store method')
ERROR_TYPES: Registry[str, type[StoreError]] = Registry('store failure')

RESULT_TYPES.register('get')(Item | None)
RESULT_TYPES.register('create')(int)
RESULT_TYPES.register('swap')(int)
RESULT_TYPES.register('delete')(bool)
RESULT_TYPES.register('read_prefix')(Changes)
RESULT_TYPES.register('watch')(Changes)
RESULT_TYPES.register('grant_lease')(str)
RESULT_TYPES.register('renew_lease')(bool)
RESULT_TYPES.register('revoke_lease')(type(None))

ERROR_TYPES.register('conflict')(StoreConflictError)
ERROR_TYPES.register('lease-lost')(StoreLeaseLostError)
ERROR_TYPES.register('log-trimmed')(StoreLogTrimmedError)
ERROR_TYPES.register('unavailable')(StoreUnavailableError)
ERROR_TYPES.register('refused')(StoreError)

DIRECT = 'direct'
RELAY = 'relay'
# A call without a reply is relayed after this time. A store that can be
# reached replies sooner, even while it is slow.
RELAY_DELAY_S = 0.4
# Idempotent methods, whose calls are repeated on the direct path if there is
# no reply within this time.
HEDGED_METHODS = frozenset({'renew_lease', 'get'})
HEDGE_DELAY_S = 0.15
# After this many consecutive calls whose reply came through a relay only, the
# direct path is considered unresponsive.
MAX_UNANSWERED_DIRECT_CALLS = 2
# How long the relay path is preferred after a failure of the direct path.
RELAY_PREFERENCE_MS = 2_000
RELAY_TIMEOUT_S = 1.0
# A host that relays an idempotent call is given up sooner, so that a lease is
# renewed through the next one before it ends.
HEDGED_RELAY_TIMEOUT_S = 0.4
# When the preference ends, the direct path gets this head start, in which it
# can open a connection. Without it, the relay path could reply first again and
# again although the direct path works.
DIRECT_HEAD_START_S = 0.06

SendRelayCall = Callable[[RelayCall, float], Awaitable[RelayReply | None]]


class RelayedStore:
    """A store client that can reach the store through other entry hosts.

    Parameters
    ----------
    store : KeyStore
        Store client of the direct path.
    relay : callable
        Has another entry host make a `RelayCall` within a number of
        seconds; returns its reply, or None if no host has replied.
    logger : Logger
        Logger for changes between the direct and the relay path.
    """

    def __init__(
        self, store: KeyStore, relay: SendRelayCall, logger: Logger
    ) -> None:
        self._store = store
        self._relay = relay
        self._logger = logger
        self._prefer_relay_until = 0
        self._is_relaying = False
        self._unanswered_direct_calls = 0

    @property
    def calls(self) -> Counter[str]:
        """Number of calls made on the direct path, by method name."""
        return self._store.calls

    async def get(
        self, key: str, priority: int = CallPriority.NORMAL
    ) -> Item | None:
        """Return a key's item, or None if the key does not exist."""
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
        """Return the items under a prefix and the revision to watch from."""
        found: Changes = await self._call('read_prefix', prefix, priority)
        return found

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        priority: int = CallPriority.NORMAL,
    ) -> Changes:
        """Return changes under a prefix after a revision.

        The call waits up to ``wait_s`` seconds for the first change.
        """
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
        """Restart a lease's time; return False if it has expired."""
        return bool(await self._call('renew_lease', lease, priority))

    async def revoke_lease(
        self, lease: str, priority: int = CallPriority.NORMAL
    ) -> None:
        """End a lease; the store deletes its keys."""
        await self._call('revoke_lease', lease, priority)

    async def _call(
        self, method: str, *arguments: Any, wait_s: float = 0.0
    ) -> Any:
        """Make a call on the direct path, the relay path, or both.

        The relay path is used when the direct path has failed or has not
        replied within `RELAY_DELAY_S`, and alone while it is preferred. When
        the preference ends, calls are made on both paths, with a head start
        for the direct one, until it replies first. The first reply is the
        result.

        Parameters
        ----------
        method : str
            Name of the store method.
        *arguments
            Arguments of the method.
        wait_s : float
            Time in seconds for which the store may hold the call itself.

        Raises
        ------
        StoreUnavailableError
            If neither path has brought a reply in time.
        """
        hedged_call = _HedgedCall()
        direct = partial(getattr(self._store, method), *arguments)
        relay = partial(self._call_relay, method, arguments, wait_s)
        prefers_relay = now_ms() < self._prefer_relay_until
        async with anyio.create_task_group() as tasks:
            if not prefers_relay:
                tasks.start_soon(hedged_call.run, DIRECT, 0.0, direct, tasks)
            if method in HEDGED_METHODS and not prefers_relay:
                tasks.start_soon(
                    hedged_call.run, DIRECT, HEDGE_DELAY_S, direct, tasks
                )
            delay_s = self._compute_relay_delay_s(prefers_relay, wait_s)
            tasks.start_soon(hedged_call.run, RELAY, delay_s, relay, tasks)
        if hedged_call.first_reply is None:
            self._prefer_relay_until = 0
            raise hedged_call.get_first_error()
        if not prefers_relay:
            self._record_path(hedged_call, method)
        if isinstance(hedged_call.first_reply.result, StoreError):
            raise hedged_call.first_reply.result
        return hedged_call.first_reply.result

    def _compute_relay_delay_s(
        self, prefers_relay: bool, wait_s: float
    ) -> float:
        """Return how long a call waits before it is relayed, in seconds."""
        if prefers_relay:
            return 0.0
        if self._is_relaying:
            return DIRECT_HEAD_START_S
        return RELAY_DELAY_S + wait_s

    def _record_path(self, hedged_call: _HedgedCall, method: str) -> None:
        assert hedged_call.first_reply is not None
        if hedged_call.first_reply.path == DIRECT:
            self._unanswered_direct_calls = 0
            self._prefer_relay_until = 0
            self._log_path_change(False, method, '')
            return
        refused = hedged_call.has_failed(DIRECT)
        self._unanswered_direct_calls += 1
        if (
            refused
            or self._unanswered_direct_calls >= MAX_UNANSWERED_DIRECT_CALLS
        ):
            self._log_path_change(
                True, method, str(hedged_call.get_first_error())
            )
            self._prefer_relay_until = now_ms() + RELAY_PREFERENCE_MS

    def _log_path_change(
        self, relaying: bool, method: str, reason: str
    ) -> None:
        if relaying == self._is_relaying:
            return
        self._is_relaying = relaying
        log_event(
            self._logger,
            'store-relayed' if relaying else 'store-direct',
            (('method', method), ('reason', reason)),
        )

    async def _call_relay(
        self, method: str, arguments: tuple[Any, ...], wait_s: float
    ) -> Any:
        timeout_s = RELAY_TIMEOUT_S + wait_s
        if method in HEDGED_METHODS:
            timeout_s = HEDGED_RELAY_TIMEOUT_S
        reply = await self._relay(RelayCall(method, arguments), timeout_s)
        if reply is None:
            raise StoreUnavailableError(
                f'no entry host has relayed {method!r} to the store; read '
                'the key back to find out whether a write took effect'
            )
        if not reply.failure:
            return convert(reply.result, RESULT_TYPES.find(method))
        raise ERROR_TYPES.find(reply.failure)(reply.reason)


@dataclass(frozen=True, slots=True)
class _FirstReply:
    """The first reply to a call, and the path on which it came."""

    path: str
    result: Any


class _HedgedCall:
    """Concurrent attempts at one call, of which the first reply counts."""

    def __init__(self) -> None:
        self.first_reply: _FirstReply | None = None
        self._errors: list[tuple[str, StoreUnavailableError]] = []
        self._failed = anyio.Event()

    async def run(
        self,
        path: str,
        delay_s: float,
        make: Callable[[], Awaitable[Any]],
        tasks: TaskGroup,
    ) -> None:
        """Make one attempt after a delay, or sooner if another one fails.

        No attempt is made on a path on which one has already failed.
        """
        if delay_s:
            with anyio.move_on_after(delay_s):
                await self._failed.wait()
        if self.has_failed(path):
            return
        try:
            result = await make()
        except StoreUnavailableError as error:
            self._errors.append((path, error))
            self._failed.set()
            return
        except StoreError as error:
            # The store has replied with an error, which is a result, too.
            result = error
        if self.first_reply is None:
            self.first_reply = _FirstReply(path, result)
        tasks.cancel_scope.cancel()

    def has_failed(self, path: str) -> bool:
        """Return whether an attempt on a path has ended without a reply."""
        return any(known == path for known, _ in self._errors)

    def get_first_error(self) -> StoreUnavailableError:
        """Return the error of the first attempt that failed."""
        if self._errors:
            return self._errors[0][1]
        return StoreUnavailableError(
            'the store did not reply in time; read the key back to find out '
            'whether a write took effect'
        )


async def execute_relayed_call(store: KeyStore, call: RelayCall) -> RelayReply:
    """Make a store call on behalf of another entry host.

    Parameters
    ----------
    store : KeyStore
        Store client of this host's direct path.
    call : RelayCall
        The call to make.
    """
    if call.method not in RESULT_TYPES:
        return RelayReply('refused', f'{call.method!r} is not relayed')
    try:
        result = await getattr(store, call.method)(*call.arguments)
    except StoreError as error:
        for name in ERROR_TYPES:
            if type(error) is ERROR_TYPES.find(name):
                return RelayReply(name, str(error))
        return RelayReply('refused', str(error))
    return RelayReply(result=result)


async def relay_through_peers(
    directory: Directory, name: str, call: RelayCall, timeout_s: float
) -> RelayReply | None:
    """Have other entry hosts make a store call, until one reaches the store.

    Hosts to which there is no connection come last.

    Parameters
    ----------
    directory : Directory
        Holds the entry hosts and the links to them.
    name : str
        Name of this entry host. It determines the order in which the others
        are asked, so that the calls of several hosts are spread.
    call : RelayCall
        The call to make.
    timeout_s : float
        Time limit for the reply of each host, in seconds.

    Returns
    -------
    RelayReply or None
        The reply of a host that has reached the store. Otherwise one that
        reports the store unavailable, or None if no host has replied.
    """
    best: RelayReply | None = None
    others = [n for n in rank_names(name, directory.members) if n != name]
    links = [
        directory.find_link(directory.members[other].link_address)
        for other in others[:RELAY_CANDIDATES]
    ]
    links.sort(key=lambda link: link.unconnected_ms > 0)
    for link in links[:MAX_RELAY_HOSTS]:
        reply = await link.request(call, timeout_s)
        if not isinstance(reply, RelayReply):
            continue
        if reply.failure != 'unavailable':
            return reply
        best = reply
    return best
