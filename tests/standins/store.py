"""Stand-in for the platform's key-value store, in memory.

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
from tests.standins.serving import FaultMiddleware
from tests.standins.serving import Listener
from tests.standins.serving import make_bad_request_response
from tests.standins.serving import make_json_response
from tests.standins.serving import read_json
from tests.standins.serving import serve_applications

if TYPE_CHECKING:
    from starlette.requests import Request
    from starlette.types import Scope

MEBIBYTE = 1 << 20
DEFAULT_LOG_LENGTH = 20_000
MAX_LOG_BYTES = 64 * MEBIBYTE


def read_clock_ms() -> int:
    """Return the clock that counts time in suspension, in ms."""
    return clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000


class RevisionMismatch(Exception):
    """A key is not at the revision that a write expects."""


class UnknownLease(Exception):
    """A lease has expired or never existed."""


@dataclass(frozen=True, slots=True)
class _Lease:
    ttl_ms: int
    expires_at: int


class StoreState:
    """Keys, leases and the change log, without I/O.

    Parameters
    ----------
    log_length : int
        Number of past changes that a watch can return.
    """

    def __init__(self, log_length: int = DEFAULT_LOG_LENGTH) -> None:
        self.revision = 0
        self.log_start = 0
        self._items: SortedDict[str, Item] = SortedDict()
        self._lease_by_key: dict[str, str] = {}
        self._leases: dict[str, _Lease] = {}
        self._log: deque[Item] = deque()
        self._log_bytes = 0
        self._log_length = log_length
        self._waiters: dict[Event, str] = {}

    def find(self, key: str) -> Item | None:
        """Return a key's item, None if the key does not exist."""
        item: Item | None = self._items.get(key)
        return item

    def put(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> int:
        """Write a key that is at revision ``expected``, 0 if it is new."""
        if lease and lease not in self._leases:
            raise UnknownLease(lease)
        self._check_revision(key, expected)
        self._lease_by_key.pop(key, None)
        if lease:
            self._lease_by_key[key] = lease
        self.revision += 1
        item = Item(key, value, self.revision)
        self._items[key] = item
        self._append_to_log(item)
        return self.revision

    def delete(self, key: str, expected: int | None) -> bool:
        """Delete a key; return whether it existed."""
        self._check_revision(key, expected)
        if key not in self._items:
            return False
        del self._items[key]
        self._lease_by_key.pop(key, None)
        self.revision += 1
        self._append_to_log(Item(key, None, self.revision))
        return True

    def _check_revision(self, key: str, expected: int | None) -> None:
        if expected is None:
            return
        item = self._items.get(key)
        if (item.revision if item else 0) != expected:
            raise RevisionMismatch(key)

    def _append_to_log(self, change: Item) -> None:
        self._log.append(change)
        self._log_bytes += len(change.value or b'')
        while (
            len(self._log) > self._log_length
            or self._log_bytes > MAX_LOG_BYTES
        ):
            dropped = self._log.popleft()
            self._log_bytes -= len(dropped.value or b'')
            self.log_start = dropped.revision
        for event, prefix in self._waiters.items():
            if change.key.startswith(prefix):
                event.set()

    def list_prefix(
        self, prefix: str, after: str, values: bool
    ) -> tuple[list[Item], bool]:
        """Return a page of at most 1 MiB, and whether more items follow."""
        page: list[Item] = []
        size = 0
        start = max(prefix, after)
        for key in self._items.irange(start, inclusive=(not after, True)):
            if not key.startswith(prefix):
                break
            item = self._items[key]
            size += len(key) + (len(item.value) if values else 0)
            if page and size > MEBIBYTE:
                return page, True
            page.append(item if values else Item(key, None, item.revision))
        return page, False

    def list_changes(self, prefix: str, after: int) -> Changes:
        """Return the changes after a revision, at most 1 MiB of values."""
        changes: list[Item] = []
        size = 0
        for change in reversed(self._log):
            if change.revision <= after:
                break
            if change.key.startswith(prefix):
                changes.append(change)
        changes.reverse()
        for count, change in enumerate(changes):
            size += len(change.value or b'')
            if count and size > MEBIBYTE:
                return Changes(
                    changes[count - 1].revision, tuple(changes[:count])
                )
        return Changes(self.revision, tuple(changes))

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> Changes | None:
        """Return the changes after a revision, waiting for the first one.

        Returns no changes if none happen within ``wait_s``, and None if the
        log no longer reaches back to the revision.
        """
        if after < self.log_start or after > self.revision:
            return None
        changes = self.list_changes(prefix, after)
        if changes.items or wait_s <= 0:
            return changes
        event = Event()
        self._waiters[event] = prefix
        try:
            with move_on_after(wait_s):
                await event.wait()
        finally:
            del self._waiters[event]
        return self.list_changes(prefix, after)

    def grant(self, ttl_s: float, now: int) -> str:
        """Grant a lease and return its id."""
        lease = token_hex(8)
        ttl_ms = int(ttl_s * 1000)
        self._leases[lease] = _Lease(ttl_ms, now + ttl_ms)
        return lease

    def renew(self, lease: str, now: int) -> None:
        """Restart a lease's time to live."""
        if lease not in self._leases:
            raise UnknownLease(lease)
        ttl_ms = self._leases[lease].ttl_ms
        self._leases[lease] = _Lease(ttl_ms, now + ttl_ms)

    def revoke(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        if self._leases.pop(lease, None) is None:
            raise UnknownLease(lease)
        for key in [
            k for k, held in self._lease_by_key.items() if held == lease
        ]:
            self.delete(key, None)

    def expire(self, now: int) -> int | None:
        """Revoke expired leases; return when the next one expires, in ms."""
        for lease, held_lease in list(self._leases.items()):
            if held_lease.expires_at <= now:
                self.revoke(lease)
        return min(
            (held_lease.expires_at for held_lease in self._leases.values()),
            default=None,
        )


class StoreProgram:
    """HTTP API over `StoreState`."""

    def __init__(
        self, listener: Listener, hosts_lag_ms: int, log_length: int
    ) -> None:
        self._state = StoreState(log_length)
        self._counts: Counter[str] = Counter()
        self._leases_changed = Event()
        self._hosts_lag_ms = hosts_lag_ms
        self._hosts: list[tuple[int, tuple[HostStatus, ...]]] = [(0, ())]
        self._middleware = FaultMiddleware(
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
                    RevisionMismatch: _handle_revision_mismatch,
                    UnknownLease: _handle_unknown_lease,
                    ValidationError: _handle_bad_body,
                },
            ),
            listener,
            lambda scope: self._counts.update([_classify_call(scope)]),
        )
        self._listener = listener

    async def serve(self) -> None:
        """Serve and expire leases until SIGTERM or SIGINT."""
        await serve_applications(
            [(self._middleware, self._listener)], self._expire_leases
        )

    async def _expire_leases(self) -> None:
        while True:
            now = read_clock_ms()
            expires_at = self._state.expire(now)
            self._leases_changed = Event()
            wait_s = None if expires_at is None else (expires_at - now) / 1000
            with move_on_after(wait_s):
                await self._leases_changed.wait()

    def _expire_due_leases(self) -> int:
        """Expire leases before a call reads the state; return the clock."""
        now = read_clock_ms()
        self._state.expire(now)
        return now

    async def list_keys(self, request: Request) -> Response:
        """Handle a read of the keys under a prefix."""
        self._expire_due_leases()
        query = request.query_params
        page, more = self._state.list_prefix(
            query.get('prefix', ''),
            query.get('after', ''),
            query.get('values') == 'true',
        )
        return make_json_response(
            {
                'revision': self._state.revision,
                'items': page,
                'more': more,
            }
        )

    async def get_key(self, request: Request) -> Response:
        """Handle a read of one key."""
        self._expire_due_leases()
        item = self._state.find(request.path_params['key'])
        if item is None:
            return Response(status_code=404)
        return Response(item.value, headers={'ETag': f'"{item.revision}"'})

    async def put_key(self, request: Request) -> Response:
        """Handle a compare-and-swap."""
        value = await request.body()
        self._expire_due_leases()
        if len(value) > MEBIBYTE:
            return Response(status_code=413)
        revision = self._state.put(
            request.path_params['key'],
            value,
            _read_condition(request),
            request.headers.get('lease', ''),
        )
        return Response(headers={'ETag': f'"{revision}"'})

    async def delete_key(self, request: Request) -> Response:
        """Handle a delete."""
        self._expire_due_leases()
        deleted = self._state.delete(
            request.path_params['key'], _read_condition(request)
        )
        return Response(status_code=204 if deleted else 404)

    async def watch(self, request: Request) -> Response:
        """Handle a watch: respond at the next change or after the wait."""
        self._expire_due_leases()
        query = request.query_params
        changes = await self._state.wait_for_changes(
            query.get('prefix', ''),
            int(query.get('after', '0')),
            float(query.get('wait', '0')),
        )
        if changes is None:
            return Response(status_code=410)
        return make_json_response(changes)

    async def grant_lease(self, request: Request) -> Response:
        """Handle a request for a new lease."""
        body = await read_json(request, dict[str, float])
        now = self._expire_due_leases()
        lease = self._state.grant(body['ttl'], now)
        self._leases_changed.set()
        return make_json_response({'lease': lease}, 201)

    async def renew_lease(self, request: Request) -> Response:
        """Handle a lease renewal."""
        self._state.renew(
            request.path_params['lease'], self._expire_due_leases()
        )
        return Response(status_code=204)

    async def revoke_lease(self, request: Request) -> Response:
        """Handle a lease revocation."""
        self._expire_due_leases()
        self._state.revoke(request.path_params['lease'])
        return Response(status_code=204)

    async def list_hosts(self, request: Request) -> Response:
        """Return the host list as it was before the configured lag."""
        visible_until_ms = self._expire_due_leases() - self._hosts_lag_ms
        while len(self._hosts) > 1 and self._hosts[1][0] <= visible_until_ms:
            self._hosts.pop(0)
        return make_json_response(self._hosts[0][1])

    async def show_counts(self, request: Request) -> Response:
        """Return the number of calls of each kind."""
        return make_json_response(self._counts)

    async def change_faults(self, request: Request) -> Response:
        """Set faults of the connections."""
        self._middleware.change_faults(
            await read_json(request, dict[str, object])
        )
        return Response(status_code=204)

    async def change_hosts(self, request: Request) -> Response:
        """Set the host list, which callers see after the lag."""
        hosts = await read_json(request, tuple[HostStatus, ...])
        self._hosts.append((read_clock_ms(), hosts))
        return Response(status_code=204)


def _classify_call(scope: Scope) -> str:
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


def _handle_revision_mismatch(request: Request, error: Exception) -> Response:
    return Response(status_code=412)


def _handle_unknown_lease(request: Request, error: Exception) -> Response:
    return make_json_response({'reason': f'unknown lease {error}'}, 409)


def _handle_bad_body(request: Request, error: Exception) -> Response:
    assert isinstance(error, ValidationError)
    return make_bad_request_response(error)


def run_program() -> None:
    """Parse the arguments and serve."""
    parser = ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--hosts-lag-ms', type=int, default=0)
    parser.add_argument('--log-length', type=int, default=DEFAULT_LOG_LENGTH)
    arguments = parser.parse_args()
    program = StoreProgram(
        Listener(arguments.address),
        arguments.hosts_lag_ms,
        arguments.log_length,
    )
    run(program.serve)


if __name__ == '__main__':
    run_program()
