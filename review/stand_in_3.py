"""Stand-ins of the review's scripts: store, workers, advice and clients.

They follow the pages of the platform and run in the process of a case. The
entry hosts are processes of their own, started as the deploy file says.
"""

from __future__ import annotations

import asyncio
from base64 import b64decode
from base64 import b64encode
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from json import dumps
from json import loads
from os import environ
from os import getppid
from pathlib import Path
import re
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from socket import socket
import subprocess
import sys
from tempfile import mkdtemp
import time
from typing import Any

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST = 'orders.example'
SERVICE = 'orders-1'
VALUE_BYTES = 1_048_576
HISTORY_EVENTS = 20_000
PAGE_ITEMS = 500
STORE_DELAY_S = 0.004
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000
STOP_S = 0.3
STARTUP_S = 0.5
TICK_S = 0.005
LISTED_ENDS = 500


def free_address() -> str:
    """Return a loopback address with a free port."""
    with socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


async def serve(application: web.Application, address: str) -> web.AppRunner:
    """Serve an application at an address."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.01)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    return runner


@dataclass
class Item:
    """One key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's key-value store."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.events: list[tuple[int, str, bytes | None]] = []
        self.dropped = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.refused_values = 0
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Serve the store and let leases expire."""
        application = web.Application(client_max_size=16 << 20)
        application.add_routes(
            [
                web.get('/api/kv-key', self._get),
                web.get('/api/kv-range', self._list),
                web.get('/api/kv-watch', self._watch),
                web.post('/api/kv-txn', self._change),
                web.post('/api/kv-lease', self._grant),
                web.post('/api/kv-keep/{id}', self._keep),
                web.delete('/api/kv-lease-end/{id}', self._end),
                web.post('/control/put', self._control_put),
                web.post('/control/delete', self._control_delete),
            ]
        )
        await serve(application, self.address)
        asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            now = time.monotonic()
            for lease, (_, expires) in list(self.leases.items()):
                if expires <= now:
                    self._drop_lease(lease)
            await asyncio.sleep(0.01)

    def _drop_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.delete(key)

    def _note(self, key: str, value: bytes | None) -> None:
        self.events.append((self.revision, key, value))
        if len(self.events) > HISTORY_EVENTS:
            self.dropped = self.events[HISTORY_EVENTS // 2][0]
            del self.events[: HISTORY_EVENTS // 2 + 1]
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._note(key, value)

    def delete(self, key: str) -> None:
        """Delete a key, if it is there."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(key, None)

    def _describe(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        return {
            'key': key,
            'value': b64encode(item.value).decode(),
            'revision': item.revision,
            'createdRev': item.created,
            'lease': item.lease,
        }

    async def _get(self, request: web.Request) -> web.Response:
        await asyncio.sleep(STORE_DELAY_S)
        key = request.query['key']
        if key not in self.items:
            return web.json_response({}, status=404)
        found = {**self._describe(key), 'currentRev': self.revision}
        return web.json_response(found)

    async def _list(self, request: web.Request) -> web.Response:
        await asyncio.sleep(STORE_DELAY_S)
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            if size > VALUE_BYTES:
                break
            page.append(self._describe(key))
            size += len(self.items[key].value)
        return web.json_response(
            {
                'items': page,
                'truncated': len(page) < len(keys),
                'currentRev': self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = int(request.query['after'])
        until = time.monotonic() + int(request.query['waitMs']) / 1000
        while True:
            if after < self.dropped:
                return web.json_response({}, status=410)
            found = [
                {'key': k, 'revision': r, 'deleted': True}
                if v is None
                else {
                    'key': k,
                    'revision': r,
                    'value': b64encode(v).decode(),
                    'createdRev': r,
                    'lease': 0,
                }
                for r, k, v in self.events
                if r > after and k.startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
        await asyncio.sleep(STORE_DELAY_S)
        return web.json_response(
            {'events': found, 'currentRev': self.revision}
        )

    async def _change(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        await asyncio.sleep(STORE_DELAY_S)
        puts = body.get('puts', [])
        for put in puts:
            if len(b64decode(put['value'])) > VALUE_BYTES:
                self.refused_values += 1
                return web.json_response({'error': 'valueBytes'}, status=400)
        stale = [
            row['key']
            for row in body.get('ifRevision', [])
            if row['revision'] != self._find_revision(row['key'])
        ]
        if stale:
            items = [self._describe(k) for k in stale if k in self.items]
            return web.json_response({'items': items}, status=412)
        for put in puts:
            if put.get('lease', 0) and put['lease'] not in self.leases:
                return web.json_response({}, status=404)
        for put in puts:
            self.put(put['key'], b64decode(put['value']), put.get('lease', 0))
        for key in body.get('deletes', []):
            self.delete(key)
        return web.json_response({'revision': self.revision})

    def _find_revision(self, key: str) -> int:
        return self.items[key].revision if key in self.items else 0

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = loads(await request.read())['ttlMs']
        await asyncio.sleep(STORE_DELAY_S)
        lease = self.revision * 1000 + len(self.leases) + 1
        self.leases[lease] = (
            ttl_ms / 1000,
            time.monotonic() + ttl_ms / 1000,
        )
        self.revision += 1
        return web.json_response({'lease': lease, 'ttlMs': ttl_ms})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['id'])
        await asyncio.sleep(STORE_DELAY_S)
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl_s = self.leases[lease][0]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return web.json_response({'ttlMs': int(ttl_s * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['id'])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        self._drop_lease(lease)
        return web.json_response({})

    async def _control_put(self, request: web.Request) -> web.Response:
        self.put(request.query['key'], await request.read())
        return web.json_response({})

    async def _control_delete(self, request: web.Request) -> web.Response:
        self.delete(request.query['key'])
        return web.json_response({})


class StoreProcess:
    """The store in a process of its own, and a client of it."""

    def __init__(self) -> None:
        self.address = free_address()
        self._process = subprocess.Popen(
            [sys.executable, str(Path(__file__).resolve()), self.address],
            stdout=subprocess.DEVNULL,
        )
        self._session: ClientSession

    async def start(self) -> None:
        """Wait until the store answers."""
        self._session = ClientSession(timeout=ClientTimeout(total=5.0))
        until = time.monotonic() + 20
        while time.monotonic() < until:
            try:
                await self.find_owner()
                return
            except ClientError:
                await asyncio.sleep(0.05)
        raise TimeoutError('the store does not answer')

    async def _control(self, verb: str, key: str, value: bytes) -> None:
        url = f'http://{self.address}/control/{verb}'
        async with self._session.post(
            url, params={'key': key}, data=value
        ) as response:
            response.raise_for_status()

    async def put(self, key: str, value: bytes) -> None:
        """Write a key, as a worker or the operator does."""
        await self._control('put', key, value)

    async def delete(self, key: str) -> None:
        """Delete a key."""
        await self._control('delete', key, b'')

    async def find_owner(self) -> str:
        """Return the name of the entry host that owns the cell, or ''."""
        url = f'http://{self.address}/api/kv-range'
        params = {'prefix': 'control/owners/'}
        async with self._session.get(url, params=params) as response:
            for item in (await response.json())['items']:
                return str(loads(b64decode(item['value']))['name'])
        return ''

    async def stop(self) -> None:
        """End the process."""
        await self._session.close()
        self._process.kill()
        self._process.wait()


class Record:
    """Events of a case, with the seconds since its start."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Add an event."""
        self.lines.append(f'{self.now():8.3f} {text}')


@dataclass
class Run:
    """A run that is present on a worker."""

    task: str
    number: int
    began: float
    ends_at: float
    lasts: bool
    stops_at: float = 0.0


@dataclass
class Worker:
    """One worker; its ``spec`` tells how long a task takes."""

    name: str
    store: StoreProcess
    record: Record
    cores: int = 16
    address: str = field(default_factory=free_address)
    state: str = 'ready'
    alive: bool = True
    fence: int = 0
    deadline: float = 0.0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    history: list[tuple[str, int, float, float, str]] = field(
        default_factory=list
    )
    sequence: int = 0
    ends: int = 0
    leaves_at: float = 0.0

    def __post_init__(self) -> None:
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        self._changed = asyncio.Event()
        self._seen_at = time.monotonic()

    def clock(self) -> int:
        """Return the worker's clock, in ms."""
        return int((time.monotonic() - self.clock_began) * 1000) + 1_000

    async def start(self) -> None:
        """Serve the worker and register it."""
        application = web.Application()
        application.add_routes(
            [
                web.post('/api/hold', self._checked(self._hold)),
                web.post('/api/run-start', self._checked(self._start)),
                web.post('/api/run-stop', self._checked(self._stop)),
                web.post('/api/pace', self._checked(self._pace)),
            ]
        )
        self._runner = await serve(application, self.address)
        self._tasks = [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._register()),
        ]

    async def crash(self) -> None:
        """End at once; the platform removes the entry after its silence."""
        await self.end('crashes for good')
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.delete(f'servers/{self.name}')

    async def end(self, how: str) -> None:
        """End the worker's process and all that runs there."""
        self.alive = False
        now = self.record.now()
        self.record.add(f'{self.name} {how}')
        for task in self._tasks:
            task.cancel()
        for run in self.runs.values():
            self.history.append((run.task, run.number, run.began, now, 'gone'))
        self.runs.clear()
        server = self._runner.server
        for connection in list(server.connections if server else ()):
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    async def leave(self, drain_s: float) -> None:
        """Drain, and then leave; what still runs is terminated."""
        self.state = 'draining'
        self.leaves_at = self.record.now() + drain_s
        await self._write_entry()
        self.record.add(f'{self.name} drains')
        await asyncio.sleep(drain_s)
        await self.end('leaves')
        await self.store.delete(f'servers/{self.name}')

    async def _register(self) -> None:
        while True:
            with suppress(ClientError, TimeoutError):
                await self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self) -> None:
        self.sequence += 1
        entry = {
            'service': SERVICE,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'sequence': self.sequence,
            'machine': f'm-{self.name}',
            'born': self.born,
            'capacity': {'cpu': self.cores * 1000, 'memMb': 32_768},
            'labels': ['a', 'r1'],
        }
        if self.state == 'draining':
            left_s = max(0.0, self.leaves_at - self.record.now())
            entry['remainingMs'] = int(left_s * 1000)
        await self.store.put(f'servers/{self.name}', dumps(entry).encode())

    async def _advance(self) -> None:
        while True:
            now = self.record.now()
            lapsed = bool(self.runs) and self.clock() >= self.deadline
            for run in list(self.runs.values()):
                if lapsed:
                    self._finish(run, 'lapsed')
                elif run.stops_at and now >= run.stops_at:
                    self._finish(run, 'stopped')
                elif not run.lasts and now >= run.ends_at:
                    self._finish(run, 'done')
            await asyncio.sleep(TICK_S)

    def _finish(self, run: Run, how: str) -> None:
        del self.runs[run.task, run.number]
        self.ends += 1
        self.ended.append([self.ends, run.task, run.number, how, ''])
        now = self.record.now()
        self.history.append((run.task, run.number, run.began, now, how))
        self.record.add(f'{self.name} {run.task} run {run.number} {how}')
        self._changed.set()
        self._changed = asyncio.Event()

    def _checked(self, handle: Any) -> Any:
        async def serve_call(request: web.Request) -> web.Response:
            if request.headers.get('Expected-Instance') != self.name:
                return web.json_response({}, status=421)
            body = loads(await request.read())
            if body.get('fencingToken', 0) < self.fence:
                return self._refuse('fence')
            self.fence = body.get('fencingToken', 0)
            response: web.Response = await handle(body)
            return response

        return serve_call

    def _refuse(self, reason: str) -> web.Response:
        body = {'clockMs': self.clock(), 'born': self.born, 'reason': reason}
        return web.json_response(body, status=409)

    def _answer(self, **fields: Any) -> web.Response:
        body = {'clockMs': self.clock(), 'born': self.born, **fields}
        return web.json_response(body)

    def _renew(self, deadline: int) -> None:
        limit = self.clock() + HOLD_MAX_MS
        self.deadline = max(self.deadline, min(deadline, limit))

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        self.ended = [e for e in self.ended if e[0] > body['ackCursor']]
        if body.get('deadlineMs'):
            self._renew(body['deadlineMs'])
        if body.get('waitMs') and not self.ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._changed.wait(), body['waitMs'] / 1000
                )
        now = self.record.now()
        running = [
            [run.task, run.number, '', self._measure(run, now), 0]
            for run in self.runs.values()
        ]
        return self._answer(running=running, ended=self.ended[:LISTED_ENDS])

    def _measure(self, run: Run, now: float) -> int:
        if run.lasts:
            return 100 if now >= run.began + STARTUP_S else 0
        share = (now - run.began) / max(0.001, run.ends_at - run.began)
        return min(99, int(100 * share))

    async def _start(self, body: dict[str, Any]) -> web.Response:
        task, number = body['task'], body['run']
        if self.clock() >= body['deadlineMs']:
            return self._refuse('late')
        self._renew(body['deadlineMs'])
        if (task, number) in self.runs:
            return self._answer()
        if number <= self.highest.get(task, 0):
            return self._refuse('old')
        spec = loads(body['spec'])
        now = self.record.now()
        self.highest[task] = number
        self.runs[task, number] = Run(
            task,
            number,
            now,
            now + spec.get('ms', 0) / 1000,
            bool(spec.get('lasts')),
        )
        self.record.add(f'{self.name} {task} run {number} starts')
        return self._answer()

    async def _stop(self, body: dict[str, Any]) -> web.Response:
        task, number = body['task'], body['run']
        run = self.runs.get((task, number))
        self.highest[task] = max(number, self.highest.get(task, 0))
        if run is not None and not run.stops_at:
            run.stops_at = self.record.now() + STOP_S
        return self._answer()

    async def _pace(self, body: dict[str, Any]) -> web.Response:
        return self._answer()


class EntryHost:
    """The process of one entry host."""

    def __init__(
        self, name: str, store: StoreProcess, directory: Path
    ) -> None:
        self.name = name
        self.front = free_address()
        self.ready = free_address()
        port = int(free_address().rpartition(':')[2])
        self._directory = directory
        self._settings = directory / f'{name}.yaml'
        self._settings.write_text(
            render_settings(
                {
                    'nodeName': name,
                    'zone': 'z1',
                    'ip': '127.0.0.1',
                    'listen.front': self.front,
                    'listen.ready': self.ready,
                    'internalPorts.0': port,
                    'internalPorts.1': int(free_address().rpartition(':')[2]),
                    'platform.address': store.address,
                    'platform.writesPerS': 400,
                    'platform.readsPerS': 2000,
                    'advice': '127.0.0.1:9',
                    'limits.cpuShare': 0.537,
                    'limits.cores': 2,
                    'limits.memoryMb': 300,
                    'limits.maxFds': 4100,
                    'bounds.graceS': 6.0,
                }
            )
        )
        self.process: subprocess.Popen[bytes]
        self.start()

    def start(self) -> None:
        """Start the process as the deploy file does."""
        log = (self._directory / f'{self.name}.log').open('ab')
        path = f'{ROOT / "target" / "deps"}:{ROOT}'
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'sassafrasgate.entry',
                str(self._settings),
            ],
            cwd=ROOT,
            env={**environ, 'PYTHONPATH': path},
            stdout=log,
            stderr=log,
        )

    def freeze(self) -> None:
        """Suspend the process."""
        self.process.send_signal(SIGSTOP)

    def thaw(self) -> None:
        """Continue the process."""
        self.process.send_signal(SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        if self.process.poll() is None:
            self.process.send_signal(SIGCONT)
            self.process.send_signal(SIGKILL)
            self.process.wait()


def render_settings(values: dict[str, object]) -> str:
    """Fill in the template of the deploy file."""
    text = (ROOT / 'deploy' / 'settings.yaml').read_text()
    text = re.sub(r'\{\{#([^}]*)\}\}.*?\{\{/\1\}\}', '', text)

    def replace(match: re.Match[str]) -> str:
        name, _, form = match[1].partition('|')
        value = values[name]
        return dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^}]*)\}\}', replace, text)


class Cell:
    """A small deployment: a store, workers, entry hosts and clients."""

    def __init__(
        self, entries: int, workers: int, tenants: tuple[str, ...] = ()
    ) -> None:
        self.tenants = tenants
        self.record = Record()
        self.directory = Path(mkdtemp(prefix='review-'))
        self.store = StoreProcess()
        self.workers = [
            Worker(f'w-{number}', self.store, self.record)
            for number in range(workers)
        ]
        self._entry_count = entries
        self.entries: list[EntryHost] = []
        self.accepted: dict[str, float] = {}
        self.sent = 0
        self.last_send = 0.0
        self.answers: dict[str, int] = {}

    async def start(self) -> None:
        """Start everything and wait until each entry host is ready."""
        self.session = ClientSession(
            headers={'Host': HOST, 'Request-Deadline': '3000'},
            timeout=ClientTimeout(total=3.0),
        )
        await self.store.start()
        await self.configure(10)
        for worker in self.workers:
            await worker.start()
        self.entries = [
            EntryHost(f'front-{number}', self.store, self.directory)
            for number in range(self._entry_count)
        ]
        for entry in self.entries:
            await self.wait_until_ready(entry)
        while not await self.store.find_owner():
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    async def configure(self, version: int) -> None:
        """Write a configuration, as the operator does."""
        table: dict[str, Any] = {
            'version': version,
            'routes': [
                {
                    'name': 'jobs',
                    'host': HOST,
                    'prefix': '/jobs/',
                    'service': SERVICE,
                    'kind': 'non_idempotent',
                    'timeoutMs': 3000,
                    'targetLatencyMs': 1000,
                    'maxAttempts': 4,
                    'priority': 1,
                    'stretch': 4.0,
                }
            ],
            'services': [{'name': SERVICE, 'enforcesCapacity': False}],
            'limits': {'maxBodyBytes': 262_144},
        }
        if self.tenants:
            table['tenants'] = [
                {
                    'name': name,
                    'apiKeys': [f'key-{name}'],
                    'weight': 10,
                    'cap': {'cpu': 0, 'memMb': 0, 'gpu': 0},
                }
                for name in self.tenants
            ]
        await self.store.put('op/config', dumps(table).encode())

    async def wait_until_ready(self, entry: EntryHost) -> None:
        """Wait for the first 200 at an entry host's ready address."""
        until = time.monotonic() + 30
        while time.monotonic() < until:
            try:
                async with self.session.get(
                    f'http://{entry.ready}/api/readyz'
                ) as response:
                    if response.status == 200:
                        return
            except (ClientError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{entry.name} is not ready')

    async def find_owner(self) -> EntryHost:
        """Return the entry host that owns the cell."""
        name = await self.store.find_owner()
        return next(entry for entry in self.entries if entry.name == name)

    async def call(
        self, method: str, entry: EntryHost, path: str, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Make a call of a client; the status is 0 without an answer."""
        self.last_send = self.record.now()
        headers = {}
        if self.tenants:
            # The tenant of a job follows from its id.
            number = int(path, 16) % len(self.tenants) if path else 0
            key = f'key-{self.tenants[number]}'
            headers['Authorization'] = f'Bearer {key}'
        try:
            async with self.session.request(
                method,
                f'http://{entry.front}/jobs/{path}',
                data=None if body is None else dumps(body),
                headers=headers,
            ) as response:
                found = await response.json(content_type=None)
                return response.status, found or {}
        except (ClientError, TimeoutError, ValueError):
            return 0, {}

    async def submit(
        self, job: str, body: Any, entries: list[EntryHost], attempts: int = 4
    ) -> bool:
        """Hand a job in, as a client with retries; return if accepted."""
        for attempt in range(attempts):
            entry = entries[(int(job, 16) + attempt) % len(entries)]
            status, _ = await self.call('POST', entry, job, body)
            self.record.add(f'POST {job} to {entry.name}: {status}')
            if status == 200:
                self.accepted[job] = self.record.now()
                return True
            await asyncio.sleep(0.3)
        return False

    def list_runs(self, task: str) -> list[tuple[str, int, float, float, str]]:
        """Return worker, number, start, end and kind of a task's runs."""
        now = self.record.now()
        runs = [
            (worker.name, number, began, ended, how)
            for worker in self.workers
            for name, number, began, ended, how in worker.history
            if name == task
        ]
        runs += [
            (worker.name, run.number, run.began, now, 'runs')
            for worker in self.workers
            for run in worker.runs.values()
            if run.task == task
        ]
        return sorted(runs, key=lambda run: run[2])

    async def stop(self, path: Path) -> None:
        """End all processes and write the record."""
        for entry in self.entries:
            entry.kill()
        path.write_text('\n'.join(self.record.lines) + '\n')
        await self.session.close()
        await self.store.stop()


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return environ.get('TROUBLE', '1') != '0'


async def run_store(address: str) -> None:
    """Serve a store for as long as the process that has started it lives."""
    parent = getppid()
    await Store(address).start()
    while getppid() == parent:
        await asyncio.sleep(0.2)


if __name__ == '__main__':
    asyncio.run(run_store(sys.argv[1]))
