"""Stand-in for the key-value store of the users' platform, in memory.

Run ``python -m tests.standins.platform_store --address 127.0.0.1:PORT``.
The program injects no faults itself: tests suspend it with signals or put a
proxy in front of it.
"""

from __future__ import annotations

from argparse import ArgumentParser
from base64 import b64decode
from base64 import b64encode
from copy import copy
from json import dumps
from json import loads
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web
import anyio

from tests.standins.addresses import AddressMap
from tests.standins.store import read_clock_ms
from tests.standins.store import RevisionMismatch
from tests.standins.store import StoreState
from tests.standins.store import UnknownLease

if TYPE_CHECKING:
    from sassafrasgate.core.items import Item

EXPIRY_INTERVAL_S = 0.02
MAX_PAGE_ITEMS = 500


class StoreProgram:
    """HTTP API of the platform's store over `StoreState`."""

    def __init__(self) -> None:
        self._state = StoreState()
        self._numbers: dict[str, int] = {}
        self._leases: dict[int, str] = {}
        self._addresses = AddressMap({})
        self._caller = ''

    def make_view(self, addresses: AddressMap, caller: str) -> StoreProgram:
        """Return the same store as one entry host sees it.

        Values that the host reads name the addresses of its own proxies.
        """
        view = copy(self)
        view._addresses = addresses
        view._caller = caller
        return view

    def build(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=4 << 20)
        application.add_routes(
            [
                web.get('/api/kv-key', self.get_key),
                web.get('/api/kv-range', self.list_range),
                web.get('/api/kv-watch', self.watch),
                web.post('/api/kv-txn', self.change),
                web.post('/api/kv-lease', self.grant_lease),
                web.post('/api/kv-keep/{lease}', self.renew_lease),
                web.delete('/api/kv-lease-end/{lease}', self.end_lease),
                web.post('/control/put', self.put),
            ]
        )
        return application

    async def expire(self) -> None:
        """Expire leases periodically, until cancelled."""
        while True:
            self._state.expire(read_clock_ms())
            await anyio.sleep(EXPIRY_INTERVAL_S)

    def _describe(self, item: Item) -> dict[str, Any]:
        if item.value is None:
            return {
                'key': item.key,
                'revision': item.revision,
                'deleted': True,
            }
        return {
            'key': item.key,
            'value': b64encode(
                self._addresses.localize(self._caller, item.value)
            ).decode(),
            'revision': item.revision,
            'createdRev': item.revision,
            'lease': 0,
        }

    async def get_key(self, request: web.Request) -> web.Response:
        """Handle a read of one key."""
        item = self._state.find(request.query['key'])
        if item is None:
            return web.Response(status=404)
        return _make_response(
            {**self._describe(item), 'currentRev': self._state.revision}
        )

    async def list_range(self, request: web.Request) -> web.Response:
        """Handle a read of one page of the keys under a prefix."""
        page, more = self._state.list_prefix(
            request.query['prefix'], request.query.get('after', ''), True
        )
        more = more or len(page) > MAX_PAGE_ITEMS
        return _make_response(
            {
                'items': [
                    self._describe(item) for item in page[:MAX_PAGE_ITEMS]
                ],
                'truncated': more,
                'currentRev': self._state.revision,
            }
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Handle a long poll: respond at the next change or after the wait."""
        changes = await self._state.wait_for_changes(
            request.query['prefix'],
            int(request.query['after']),
            int(request.query['waitMs']) / 1000,
        )
        if changes is None:
            return web.Response(status=410)
        return _make_response(
            {
                'events': [self._describe(item) for item in changes.items],
                'currentRev': changes.revision,
            }
        )

    async def change(self, request: web.Request) -> web.Response:
        """Handle a transaction, which takes effect if its conditions hold."""
        body = loads(await request.read())
        self._state.expire(read_clock_ms())
        for condition in body['ifRevision']:
            item = self._state.find(condition['key'])
            if (item.revision if item else 0) != condition['revision']:
                return _make_response({'items': []}, 412)
        try:
            for put in body['puts']:
                lease = self._leases.get(put.get('lease', 0), '')
                if put.get('lease') and not lease:
                    return web.Response(status=404)
                value = self._addresses.restore(b64decode(put['value']))
                self._state.put(put['key'], value, None, lease)
        except UnknownLease:
            return web.Response(status=404)
        for key in body['deletes']:
            self._state.delete(key, None)
        return _make_response({'revision': self._state.revision})

    async def put(self, request: web.Request) -> web.Response:
        """Write a key as operators and workers do; a null value deletes it.

        A text under ``raw`` is written as it is; any other value as JSON.
        """
        body = loads(await request.read())
        if 'raw' in body:
            self._state.put(body['key'], body['raw'].encode(), None, '')
        elif body['value'] is None:
            self._state.delete(body['key'], None)
        else:
            value = dumps(body['value']).encode()
            self._state.put(body['key'], value, None, '')
        return _make_response({'revision': self._state.revision})

    async def grant_lease(self, request: web.Request) -> web.Response:
        """Handle a request for a new lease."""
        ttl_ms = loads(await request.read())['ttlMs']
        number = len(self._leases) + 1
        self._leases[number] = self._state.grant(
            ttl_ms / 1000, read_clock_ms()
        )
        return _make_response({'lease': number, 'ttlMs': ttl_ms})

    async def renew_lease(self, request: web.Request) -> web.Response:
        """Handle a lease renewal."""
        lease = self._leases.get(int(request.match_info['lease']), '')
        try:
            self._state.expire(read_clock_ms())
            self._state.renew(lease, read_clock_ms())
        except UnknownLease:
            return web.Response(status=404)
        return _make_response({'ttlMs': 0})

    async def end_lease(self, request: web.Request) -> web.Response:
        """Handle a lease revocation."""
        lease = self._leases.pop(int(request.match_info['lease']), '')
        try:
            self._state.revoke(lease)
        except (UnknownLease, RevisionMismatch):
            return web.Response(status=404)
        return _make_response({})


def _make_response(body: Any, status: int = 200) -> web.Response:
    return web.json_response(body, status=status)


async def _listen(program: StoreProgram, address: str) -> None:
    runner = web.AppRunner(program.build(), access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()


async def serve(address: str, views: Path | None) -> None:
    """Serve until cancelled.

    Parameters
    ----------
    address : str
        IP number and port.
    views : Path, optional
        File with the address at which each entry host finds its view of the
        store, and the addresses of its proxies.
    """
    program = StoreProgram()
    if views is not None:
        document = loads(views.read_bytes())
        addresses = AddressMap(document['paths'])
        for caller, view_address in document['views'].items():
            await _listen(program.make_view(addresses, caller), view_address)
    await _listen(program, address)
    print(f'serving {address}', flush=True)
    await program.expire()


if __name__ == '__main__':
    parser = ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--views', type=Path)
    arguments = parser.parse_args()
    anyio.run(serve, arguments.address, arguments.views)
