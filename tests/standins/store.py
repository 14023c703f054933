"""Stand-in for the platform's key-value store, all in memory.

Run ``python -m tests.standins.store --address 127.0.0.1:PORT``.
"""

from __future__ import annotations

from argparse import ArgumentParser
from collections import Counter
from collections import deque
from dataclasses import dataclass
from secrets import token_hex
from time import CLOCK_BOOTTIME
from time import clock_gettime_ns
from typing import TYPE_CHECKING

from anyio import Event
from anyio import move_on_after
from anyio import run
from msgspec import ValidationError
from sortedcontainers import SortedDict
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import HostStatus
from sassafrasgate.core.items import Item
from tests.standins.serving import FaultGate
from tests.standins.serving import Listener
from tests.standins.serving import read_json
from tests.standins.serving import reply_invalid
from tests.standins.serving import reply_json
from tests.standins.serving import serve_applications

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Scope

MEGABYTE = 1 << 20
LOG_LENGTH = 20_000
LOG_BYTES = 64 * MEGABYTE


def read_clock_ms() -> int:
    """Return the suspend-counting clock in ms."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000


class RevisionMismatch(Exception):
    """A write's condition did not hold."""


class UnknownLease(Exception):
    """A lease has expired or never existed."""


@dataclass(frozen=True, slots=True)
class _Lease:
    ttl_ms: int
    expires_at: int


class StoreState:
    """Keys, leases and the change log; no I/O.

    Parameters
    ----------
    log_length : int
        How many changes a watch can look back.
    """

    def __init__(self, log_length: int = LOG_LENGTH) -> None:
        self.revision = 0
        self.log_start = 0
        self._items: SortedDict[str, Item] = SortedDict()
        self._lease_of: dict[str, str] = {}
        self._leases: dict[str, _Lease] = {}
        self._log: deque[Item] = deque()
        self._log_bytes = 0
        self._log_length = log_length
        self._waiting: dict[Event, str] = {}

    def find(self, key: str) -> Item | None:
        """Return a key's item."""
        item: Item | None = self._items.get(key)
        return item

    def put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> int:
        """Write a key at revision ``expected``; 0 for a new key."""
        if lease and lease not in self._leases:
            raise UnknownLease(lease)
        self._check(key, expected)
        self._lease_of.pop(key, None)
        if lease:
            self._lease_of[key] = lease
        self.revision += 1
        item = Item(key, value, self.revision)
        self._items[key] = item
        self._note(item)
        return self.revision

    def delete(self, key: str, expected: int | None) -> bool:
        """Delete a key; tells whether it was there."""
        self._check(key, expected)
        if key not in self._items:
            return False
        del self._items[key]
        self._lease_of.pop(key, None)
        self.revision += 1
        self._note(Item(key, None, self.revision))
        return True

    def _check(self, key: str, expected: int | None) -> None:
        if expected is None:
            return
        item = self._items.get(key)
        if (item.revision if item else 0) != expected:
            raise RevisionMismatch(key)

    def _note(self, change: Item) -> None:
        self._log.append(change)
        self._log_bytes += len(change.value or b'')
        while len(self._log) > self._log_length or self._log_bytes > LOG_BYTES:
            dropped = self._log.popleft()
            self._log_bytes -= len(dropped.value or b'')
            self.log_start = dropped.revision
        for event, prefix in self._waiting.items():
            if change.key.startswith(prefix):
                event.set()

    def list_prefix(
        self, prefix: str, after: str, values: bool
    ) -> tuple[list[Item], bool]:
        """Return a page of items, at most a megabyte, and if more follow."""
        page: list[Item] = []
        size = 0
        start = max(prefix, after)
        for key in self._items.irange(start, inclusive=(not after, True)):
            if not key.startswith(prefix):
                break
            item = self._items[key]
            size += len(key) + (len(item.value) if values else 0)
            if page and size > MEGABYTE:
                return page, True
            page.append(item if values else Item(key, None, item.revision))
        return page, False

    def list_changes(self, prefix: str, after: int) -> Changes:
        """Return the logged changes after a revision, a megabyte at most."""
        found: list[Item] = []
        size = 0
        for change in reversed(self._log):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                found.append(change)
        found.reverse()
        for count, change in enumerate(found):
            size += len(change.value or b'')
            if count and size > MEGABYTE:
                return Changes(found[count - 1].revision, tuple(found[:count]))
        return Changes(self.revision, tuple(found))

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | None:
        """Return changes, or none after ``wait_s``; None if trimmed."""
        if after < self.log_start or after > self.revision:
            return None
        changes = self.list_changes(prefix, after)
        if changes.items or wait_s <= 0:
            return changes
        event = Event()
        self._waiting[event] = prefix
        try:
            with move_on_after(wait_s):
                await event.wait()
        finally:
            del self._waiting[event]
        return self.list_changes(prefix, after)

    def grant(self, ttl_s: float, now: int) -> str:
        """Return a new lease."""
        lease = token_hex(8)
        ttl_ms = int(ttl_s * 1000)
        self._leases[lease] = _Lease(ttl_ms, now + ttl_ms)
        return lease

    def renew(self, lease: str, now: int) -> None:
        """Give a lease its whole time again."""
        if lease not in self._leases:
            raise UnknownLease(lease)
        ttl_ms = self._leases[lease].ttl_ms
        self._leases[lease] = _Lease(ttl_ms, now + ttl_ms)

    def revoke(self, lease: str) -> None:
        """End a lease and delete its keys."""
        if self._leases.pop(lease, None) is None:
            raise UnknownLease(lease)
        for key in [k for k, held in self._lease_of.items() if held == lease]:
            self.delete(key, None)

    def expire(self, now: int) -> int | None:
        """End expired leases; returns when the next one expires."""
        for lease, terms in list(self._leases.items()):
            if terms.expires_at <= now:
                self.revoke(lease)
        return min(
            (terms.expires_at for terms in self._leases.values()),
            default=None,
        )


class StoreProgram:
    """HTTP routes over `StoreState`."""

    def __init__(
        self, listener: Listener, hosts_lag_ms: int, log_length: int
    ) -> None:
        self._state = StoreState(log_length)
        self._counts: Counter[str] = Counter()
        self._leases_changed = Event()
        self._hosts_lag_ms = hosts_lag_ms
        self._hosts: list[tuple[int, tuple[HostStatus, ...]]] = [(0, ())]
        self._gate = FaultGate(
            Starlette(
                routes=[
                    Route('/v1/keys', self.list_keys),
                    Route('/v1/keys/{key:path}', self.get_key),
                    Route(
                        '/v1/keys/{key:path}', self.put_key, methods=['PUT']
                    ),
                    Route(
                        '/v1/keys/{key:path}',
                        self.delete_key,
                        methods=['DELETE'],
                    ),
                    Route('/v1/watch', self.watch),
                    Route('/v1/leases', self.grant_lease, methods=['POST']),
                    Route(
                        '/v1/leases/{lease}/renew',
                        self.renew_lease,
                        methods=['POST'],
                    ),
                    Route(
                        '/v1/leases/{lease}',
                        self.revoke_lease,
                        methods=['DELETE'],
                    ),
                    Route('/v1/hosts', self.list_hosts),
                    Route('/control/counts', self.show_counts),
                    Route(
                        '/control/faults',
                        self.change_faults,
                        methods=['POST'],
                    ),
                    Route(
                        '/control/hosts', self.change_hosts, methods=['PUT']
                    ),
                ],
                exception_handlers={
                    RevisionMismatch: _reply_conflict,
                    UnknownLease: _reply_unknown_lease,
                    ValidationError: _reply_bad_body,
                },
            ),
            listener,
            lambda scope: self._counts.update([_name_call(scope)]),
        )
        self._listener = listener

    async def serve(self) -> None:
        """Serve and expire leases until a signal."""
        await serve_applications(
            [(self._gate, self._listener)], self._expire_leases
        )

    async def _expire_leases(self) -> None:
        while True:
            now = read_clock_ms()
            expires_at = self._state.expire(now)
            self._leases_changed = Event()
            wait_s = None if expires_at is None else (expires_at - now) / 1000
            with move_on_after(wait_s):
                await self._leases_changed.wait()

    def _begin(self) -> int:
        """Expire leases before a call sees the state."""
        now = read_clock_ms()
        self._state.expire(now)
        return now

    async def list_keys(self, request: Request) -> Response:
        """Answer a list of a prefix."""
        self._begin()
        query = request.query_params
        page, more = self._state.list_prefix(
            query.get('prefix', ''),
            query.get('after', ''),
            query.get('values') == 'true',
        )
        return reply_json(
            {
                'revision': self._state.revision,
                'items': page,
                'more': more,
            }
        )

    async def get_key(self, request: Request) -> Response:
        """Answer a read of one key."""
        self._begin()
        item = self._state.find(request.path_params['key'])
        if item is None:
            return Response(status_code=404)
        return Response(item.value, headers={'ETag': f'"{item.revision}"'})

    async def put_key(self, request: Request) -> Response:
        """Answer a compare-and-swap."""
        value = await request.body()
        self._begin()
        if len(value) > MEGABYTE:
            return Response(status_code=413)
        revision = self._state.put(
            request.path_params['key'],
            value,
            _read_condition(request),
            request.headers.get('lease', ''),
        )
        return Response(headers={'ETag': f'"{revision}"'})

    async def delete_key(self, request: Request) -> Response:
        """Answer a delete."""
        self._begin()
        found = self._state.delete(
            request.path_params['key'], _read_condition(request)
        )
        return Response(status_code=204 if found else 404)

    async def watch(self, request: Request) -> Response:
        """Answer a watch once there are changes."""
        self._begin()
        query = request.query_params
        changes = await self._state.wait_for_changes(
            query.get('prefix', ''),
            int(query.get('after', '0')),
            float(query.get('wait', '0')),
        )
        if changes is None:
            return Response(status_code=410)
        return reply_json(changes)

    async def grant_lease(self, request: Request) -> Response:
        """Answer a request for a lease."""
        body = await read_json(request, dict[str, float])
        now = self._begin()
        lease = self._state.grant(body['ttl'], now)
        self._leases_changed.set()
        return reply_json({'lease': lease}, 201)

    async def renew_lease(self, request: Request) -> Response:
        """Answer a renewal."""
        self._state.renew(request.path_params['lease'], self._begin())
        return Response(status_code=204)

    async def revoke_lease(self, request: Request) -> Response:
        """Answer a revocation."""
        self._begin()
        self._state.revoke(request.path_params['lease'])
        return Response(status_code=204)

    async def list_hosts(self, request: Request) -> Response:
        """Answer with the host list as it was before the lag."""
        visible = self._begin() - self._hosts_lag_ms
        while len(self._hosts) > 1 and self._hosts[1][0] <= visible:
            self._hosts.pop(0)
        return reply_json(self._hosts[0][1])

    async def show_counts(self, request: Request) -> Response:
        """Answer with the number of calls of each kind."""
        return reply_json(self._counts)

    async def change_faults(self, request: Request) -> Response:
        """Set faults."""
        self._gate.change(await read_json(request, dict[str, object]))
        return Response(status_code=204)

    async def change_hosts(self, request: Request) -> Response:
        """Set the host list, visible after the lag."""
        hosts = await read_json(request, tuple[HostStatus, ...])
        self._hosts.append((read_clock_ms(), hosts))
        return Response(status_code=204)


def _name_call(scope: Scope) -> str:
    """Return the kind of a call, such as ``put keys`` or ``get list``."""
    parts = scope['path'].split('/')
    noun = 'renew' if parts[-1] == 'renew' else parts[2]
    if scope['path'] == '/v1/keys':
        noun = 'list'
    return f'{scope["method"].lower()} {noun}'


def _read_condition(request: Request) -> int | None:
    if request.headers.get('if-none-match') == '*':
        return 0
    tag = request.headers.get('if-match')
    return None if tag is None else int(tag.strip('"'))


def _reply_conflict(request: Request, error: Exception) -> Response:
    return Response(status_code=412)


def _reply_unknown_lease(request: Request, error: Exception) -> Response:
    return reply_json({'reason': f'unknown lease {error}'}, 409)


def _reply_bad_body(request: Request, error: Exception) -> Response:
    assert isinstance(error, ValidationError)
    return reply_invalid(error)


def run_program() -> None:
    """Read the arguments and serve."""
    parser = ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--hosts-lag-ms', type=int, default=0)
    parser.add_argument('--log-length', type=int, default=LOG_LENGTH)
    arguments = parser.parse_args()
    program = StoreProgram(
        Listener(arguments.address),
        arguments.hosts_lag_ms,
        arguments.log_length,
    )
    run(program.serve)


if __name__ == '__main__':
    run_program()
