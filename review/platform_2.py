"""Stand-ins and drivers of the scripts of the second review.

The store, the workers and the clients run in the process of a script. Entry
hosts are separate processes, started with the command and the settings
template of the deploy file. Every address is a loopback address.
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
from pathlib import Path
import re
from shlex import split
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGTERM
from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket
from subprocess import Popen
from subprocess import STDOUT
from subprocess import TimeoutExpired
import sys
from tempfile import TemporaryDirectory
from time import monotonic
from time import time_ns
import tomllib
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = '127.0.0.1'
ROUTE_HOST = 'review.example'
PREFIX = '/plain/'
SERVICE = 'pool'

# Bounds of the deployment; the pages call them `holdMaxMs` and `stopMs`.
HOLD_MAX_MS = 10_000
STOP_MS = 900
HEARTBEAT_S = 1.5
STORE_DELAY_S = 0.004
HISTORY_S = 20.0
MAX_PAGE_ITEMS = 500
MAX_LISTED_ENDS = 500

HELD, BROKEN, NOT_RUN = 0, 1, 2

# Addresses that a view of the store replaces, and those of the proxies.
PROXIES: web.AppKey[dict[str, str]] = web.AppKey('proxies', dict)

_ports: set[int] = set()


def find_free_port() -> int:
    """Return a free port, each at most once."""
    while True:
        with socket(AF_INET, SOCK_STREAM) as probe:
            probe.bind((LOOPBACK, 0))
            port = int(probe.getsockname()[1])
        if port not in _ports:
            _ports.add(port)
            return port


def find_free_address() -> str:
    """Return a free loopback address."""
    return f'{LOOPBACK}:{find_free_port()}'


async def listen(application: web.Application, address: str) -> web.AppRunner:
    """Serve an application at an address."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    return runner


class Record:
    """Writes what was sent, answered and run to a file.

    Parameters
    ----------
    path : Path
        File that is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open('w')
        self._began = monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the beginning."""
        return monotonic() - self._began

    def write(self, kind: str, **fields: Any) -> None:
        """Write one line."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{self.now_s:8.3f} {kind} {text}\n')
        self._file.flush()


class Proxy:
    """Forwards connections to an address, and holds bytes during a cut.

    A cut is silent: bytes and new connections are held back until it ends,
    as TCP does.
    """

    def __init__(self, target: str) -> None:
        self.address = find_free_address()
        self.is_cut = False
        self._target = target

    async def run(self) -> None:
        """Begin to serve."""
        host, _, port = self.address.rpartition(':')
        await asyncio.start_server(self._forward, host, int(port))

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await self._wait()
        host, _, port = self._target.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.wait(
            [
                asyncio.create_task(self._copy(reader, upstream[1])),
                asyncio.create_task(self._copy(upstream[0], writer)),
            ],
            return_when=asyncio.FIRST_COMPLETED,
        )
        for end in (writer, upstream[1]):
            end.close()

    async def _wait(self) -> None:
        while self.is_cut:
            await asyncio.sleep(0.02)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(65_536):
                await self._wait()
                writer.write(data)
                await writer.drain()
            await self._wait()


@dataclass
class _Item:
    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """The platform's key-value store, in memory.

    Attributes
    ----------
    is_down : bool
        Whether every call gets 503, as in an outage of the variant `busy`.
    """

    def __init__(self, record: Record) -> None:
        self.address = find_free_address()
        self.is_down = False
        self.on_write: Callable[[str, bytes], None] = lambda key, value: None
        self._record = record
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, tuple[int, float]] = {}
        self._log: list[tuple[float, int, str, _Item | None]] = []
        self._trimmed = 0
        self._revision = 1
        self._changed = asyncio.Event()

    async def run(self) -> None:
        """Serve until cancelled."""
        runner = await listen(self._build({}), self.address)
        try:
            while True:
                await asyncio.sleep(0.02)
                # Leases pause while the store is down.
                if not self.is_down:
                    self._expire()
        finally:
            await runner.cleanup()

    async def add_view(self, proxies: dict[str, str]) -> str:
        """Serve the store as a host sees it that is reached by proxies.

        Parameters
        ----------
        proxies : dict of str to str
            Address of a proxy for each address behind one. All addresses
            have the same length.

        Returns
        -------
        str
            Address of the view.
        """
        address = find_free_address()
        await listen(self._build(proxies), address)
        return address

    def _build(self, proxies: dict[str, str]) -> web.Application:
        application = web.Application(
            client_max_size=4 << 20, middlewares=[self._limit]
        )
        application[PROXIES] = proxies
        application.add_routes(
            [
                web.get('/api/kv-key', self._get),
                web.get('/api/kv-range', self._list),
                web.get('/api/kv-watch', self._watch),
                web.post('/api/kv-txn', self._change),
                web.post('/api/kv-lease', self._grant),
                web.post('/api/kv-keep/{lease}', self._renew),
                web.delete('/api/kv-lease-end/{lease}', self._end),
            ]
        )
        return application

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; leases pause during it."""
        self._record.write('store', down=down)
        if self.is_down and not down:
            now = monotonic()
            self._leases = {
                lease: (ttl_ms, now + ttl_ms / 1000)
                for lease, (ttl_ms, _) in self._leases.items()
            }
        self.is_down = down
        self._notify()

    def put(self, key: str, value: Any, lease: int = 0) -> None:
        """Write a key as operators and workers do."""
        self._put(key, dumps(value).encode(), lease)

    def delete(self, key: str) -> None:
        """Delete a key."""
        if self._items.pop(key, None) is not None:
            self._add_change(key, None)

    def find(self, key: str) -> Any:
        """Return a key's value, or None."""
        item = self._items.get(key)
        return loads(item.value) if item else None

    def _put(self, key: str, value: bytes, lease: int) -> None:
        old = self._items.get(key)
        revision = self._revision + 1
        created = old.created if old else revision
        item = _Item(value, revision, created, lease)
        self._items[key] = item
        self._add_change(key, item)
        self.on_write(key, value)

    def _add_change(self, key: str, item: _Item | None) -> None:
        self._revision += 1
        self._log.append((monotonic(), self._revision, key, item))
        while self._log and self._log[0][0] < monotonic() - HISTORY_S:
            self._trimmed = self._log.pop(0)[1]
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = monotonic()
        for lease, (_, ends_at) in list(self._leases.items()):
            if now >= ends_at:
                self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item.lease == lease:
                self.delete(key)

    @web.middleware
    async def _limit(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.Response]],
    ) -> web.Response:
        await asyncio.sleep(STORE_DELAY_S)
        if self.is_down:
            return web.Response(status=503)
        return await handler(request)

    def _describe(
        self, request: web.Request, key: str, item: _Item
    ) -> dict[str, Any]:
        value = item.value
        for real, proxy in request.app[PROXIES].items():
            value = value.replace(real.encode(), proxy.encode())
        return {
            'key': key,
            'value': b64encode(value).decode(),
            'revision': item.revision,
            'createdRev': item.created,
            'lease': item.lease,
        }

    async def _get(self, request: web.Request) -> web.Response:
        key = request.query['key']
        item = self._items.get(key)
        if item is None:
            return web.Response(status=404)
        return web.json_response(
            {
                **self._describe(request, key, item),
                'currentRev': self._revision,
            }
        )

    async def _list(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        page = keys[:MAX_PAGE_ITEMS]
        return web.json_response(
            {
                'items': [
                    self._describe(request, k, self._items[k]) for k in page
                ],
                'truncated': len(keys) > len(page),
                'currentRev': self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query['prefix'], int(request.query['after'])
        ends_at = monotonic() + int(request.query['waitMs']) / 1000
        while True:
            if self.is_down:
                return web.Response(status=503)
            if after < self._trimmed:
                return web.Response(status=410)
            events = [
                self._describe(request, key, item)
                if item
                else {'key': key, 'revision': revision, 'deleted': True}
                for _, revision, key, item in self._log
                if revision > after and key.startswith(prefix)
            ]
            left_s = ends_at - monotonic()
            if events or left_s <= 0:
                break
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        return web.json_response(
            {'events': events, 'currentRev': self._revision}
        )

    async def _change(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        self._expire()
        rows = body.get('ifRevision', ())
        found = {row['key']: self._items.get(row['key']) for row in rows}
        for row in rows:
            item = found[row['key']]
            if (item.revision if item else 0) != row['revision']:
                items = [
                    self._describe(request, key, known)
                    for key, known in found.items()
                    if known
                ]
                return web.json_response({'items': items}, status=412)
        puts = body.get('puts', ())
        for put in puts:
            if put.get('lease') and put['lease'] not in self._leases:
                return web.Response(status=404)
        for put in puts:
            self._put(put['key'], b64decode(put['value']), put.get('lease', 0))
        for key in body.get('deletes', ()):
            self.delete(key)
        return web.json_response({'revision': self._revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl_ms = loads(await request.read())['ttlMs']
        lease = self._revision * 1000 + len(self._leases) + 1
        self._revision += 1
        self._leases[lease] = (ttl_ms, monotonic() + ttl_ms / 1000)
        return web.json_response({'lease': lease, 'ttlMs': ttl_ms})

    async def _renew(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        self._expire()
        if lease not in self._leases:
            return web.Response(status=404)
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = (ttl_ms, monotonic() + ttl_ms / 1000)
        return web.json_response({'lease': lease, 'ttlMs': ttl_ms})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self._leases:
            return web.Response(status=404)
        self._drop_lease(lease)
        return web.json_response({})


@dataclass
class _Run:
    task: str
    run: int
    began: float
    work_s: float
    stop_at: float = 0.0
    pace: int = 100


@dataclass
class RunSpan:
    """What a worker did for one start: from when to when, and the end."""

    worker: str
    task: str
    run: int
    began_s: float
    ended_s: float = 0.0
    how: str = ''


class Worker:
    """A worker of the platform.

    The text `spec` of a job is a JSON object with `ms`, the time that each
    task works; 0 stands for a task that lasts until it is stopped.

    Parameters
    ----------
    name : str
        Id of the worker.
    store : Store
        The platform's store.
    record : Record
        Receives starts and ends.
    kind : str
        Label of the worker's kind.
    """

    def __init__(
        self, name: str, store: Store, record: Record, kind: str = 'a'
    ) -> None:
        self.name = name
        self.kind = kind
        self.address = find_free_address()
        self.spans: list[RunSpan] = []
        self._store = store
        self._record = record
        self._task: asyncio.Task[None] | None = None
        self._reset()

    def _reset(self) -> None:
        self._born = time_ns() // 1_000_000
        self._began = monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._last_end = 0
        self._sequence = 0
        self._run_ended = asyncio.Event()

    def start(self) -> None:
        """Start the worker."""
        self._task = asyncio.create_task(self._serve())

    async def remove(self) -> None:
        """Lose the worker for good, without a sign: nothing answers."""
        self._record.write('worker-gone', worker=self.name)
        for key in list(self._runs):
            self._close_span(key, 'gone')
        assert self._task is not None
        self._task.cancel()
        # The platform removes an entry after three heartbeats of silence.
        asyncio.get_running_loop().call_later(
            3 * HEARTBEAT_S, self._store.delete, f'servers/{self.name}'
        )
        await asyncio.wait([self._task])

    async def _serve(self) -> None:
        application = web.Application()
        application.add_routes(
            [
                web.post('/api/hold', self._hold),
                web.post('/api/run-start', self._start),
                web.post('/api/run-stop', self._stop),
                web.post('/api/pace', self._pace),
            ]
        )
        runner = await listen(application, self.address)
        written = 0.0
        try:
            while True:
                self._advance()
                if monotonic() - written >= HEARTBEAT_S:
                    written = monotonic()
                    self._register()
                await asyncio.sleep(0.005)
        finally:
            await runner.cleanup()

    def _register(self) -> None:
        if self._store.is_down:
            return
        self._sequence += 1
        self._store.put(
            f'servers/{self.name}',
            {
                'service': SERVICE,
                'address': self.address,
                'zone': 'z1',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldLeftMs': 0,
                'sequence': self._sequence,
                'capacity': {'cpu': 16_000, 'memMb': 32_000, 'gpu': 0},
                'labels': [self.kind, 'r1'],
                'machine': f'm-{self.name}',
                'born': self._born,
            },
        )

    @property
    def _clock_ms(self) -> int:
        return 1_000 + int((monotonic() - self._began) * 1000)

    def _advance(self) -> None:
        now = monotonic()
        lapsed = self._clock_ms >= self._deadline_ms
        for key, run in list(self._runs.items()):
            if lapsed:
                self._end(key, 'lapsed')
            elif run.stop_at and now >= run.stop_at:
                self._end(key, 'stopped')
            elif run.work_s and now >= run.began + run.work_s:
                self._end(key, 'done')

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self._runs.pop(key)
        self._bar(run.task, run.run)
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.run, how, ''])
        self._close_span(key, how)
        self._run_ended.set()
        self._run_ended = asyncio.Event()

    def _close_span(self, key: tuple[str, int], how: str) -> None:
        task, run = key
        for span in self.spans:
            if (span.task, span.run, span.how) == (task, run, ''):
                span.ended_s, span.how = self._record.now_s, how
        self._record.write(
            'end', worker=self.name, task=task, run=run, how=how
        )

    def _bar(self, task: str, run: int) -> None:
        self._barred[task] = max(self._barred.get(task, 0), run)

    def _check(self, request: web.Request, body: Any) -> web.Response | None:
        """Return the refusal of a call for another worker or a lower token."""
        self._advance()
        if request.headers.get('Expected-Instance') != self.name:
            return web.Response(status=421)
        token = body.get('fencingToken', 0)
        if token < self._token:
            return self._refuse('fence')
        self._token = token
        return None

    def _refuse(self, reason: str) -> web.Response:
        return web.json_response(
            {'clockMs': self._clock_ms, 'reason': reason}, status=409
        )

    def _extend_lease(self, body: Any) -> None:
        deadline = min(body.get('deadlineMs', 0), self._clock_ms + HOLD_MAX_MS)
        self._deadline_ms = max(self._deadline_ms, deadline)

    async def _hold(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        self._extend_lease(body)
        cursor = body.get('ackCursor', 0)
        self._ended = [end for end in self._ended if end[0] > cursor]
        if body.get('waitMs') and not self._ended:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._run_ended.wait(), body['waitMs'] / 1000
                )
        self._advance()
        return web.json_response(
            {
                'clockMs': self._clock_ms,
                'born': self._born,
                'running': [
                    [run.task, run.run, '', self._find_percent(run), 0]
                    for run in self._runs.values()
                ],
                'ended': self._ended[:MAX_LISTED_ENDS],
            }
        )

    def _find_percent(self, run: _Run) -> int:
        if not run.work_s:
            return 100
        return min(99, int(100 * (monotonic() - run.began) / run.work_s))

    async def _start(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        key = task, run = body['task'], body['run']
        if key in self._runs:
            return web.json_response({'clockMs': self._clock_ms})
        if body['deadlineMs'] <= self._clock_ms:
            return self._refuse('late')
        self._extend_lease(body)
        if run <= self._barred.get(task, 0):
            return self._refuse('old')
        work_s = loads(body['spec'])['ms'] / 1000
        self._runs[key] = _Run(task, run, monotonic(), work_s)
        self.spans.append(RunSpan(self.name, task, run, self._record.now_s))
        self._record.write('start', worker=self.name, task=task, run=run)
        return web.json_response({'clockMs': self._clock_ms})

    async def _stop(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        key = task, number = body['task'], body['run']
        self._bar(task, number)
        run = self._runs.get(key)
        if run is not None and not run.stop_at:
            run.stop_at = monotonic() + STOP_MS / 2000
        return web.json_response({'clockMs': self._clock_ms})

    async def _pace(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        refusal = self._check(request, body)
        if refusal is not None:
            return refusal
        run = self._runs.get((body['task'], body['run']))
        if run is not None:
            run.pace = body['percent']
        return web.json_response({'clockMs': self._clock_ms})


@dataclass
class EntryHost:
    """An entry host and its process."""

    name: str
    settings: Path
    caller_address: str
    ready_address: str
    log: Path
    process: Popen[bytes] | None = None
    is_removed: bool = False

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = split(deploy['roles']['entry']['run'])
        command = [
            str(self.settings) if word.startswith('/etc/') else word
            for word in words
        ]
        variables = {
            name: environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in environ
        }
        with self.log.open('ab') as log:
            self.process = Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env={**variables, 'PYTHONPATH': str(ROOT / 'target/deps')},
                stdout=log,
                stderr=STDOUT,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(SIGKILL)
        if self.process is not None:
            self.process.wait()

    def count_log(self, text: str) -> int:
        """Return the number of log lines that contain a text."""
        lines = self.log.read_text(errors='replace').splitlines()
        return sum(text in line for line in lines)


def render(template: str, values: dict[str, Any]) -> str:
    """Fill in the placeholders of a template as the platform does."""

    def replace(match: re.Match[str]) -> str:
        path, _, form = match[1].partition('|')
        value: Any = values
        for part in path.split('.'):
            value = value[int(part) if isinstance(value, list) else part]
        return dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^}]+)\}\}', replace, template)


@dataclass
class Answer:
    """Response to one attempt of a client; status 0 stands for none."""

    status: int
    body: Any = None


@dataclass
class Cell:
    """A small deployment: one store, workers and entry hosts."""

    record: Record
    directory: Path
    store: Store
    workers: list[Worker] = field(default_factory=list)
    hosts: list[EntryHost] = field(default_factory=list)
    session: ClientSession | None = None
    _next_host: int = 0

    def add_host(
        self, name: str, link_port: int = 0, store_address: str = ''
    ) -> EntryHost:
        """Add an entry host and start its process."""
        ports = [link_port or find_free_port(), find_free_port()]
        host = EntryHost(
            name,
            self.directory / f'{name}.yaml',
            find_free_address(),
            find_free_address(),
            self.directory / f'{name}.log',
        )
        values = {
            'nodeName': name,
            'zone': 'z1',
            'ip': LOOPBACK,
            'listen': {
                'front': host.caller_address,
                'ready': host.ready_address,
            },
            'internalPorts': ports,
            'platform': {
                'address': store_address or self.store.address,
                'writesPerS': 400,
                'readsPerS': 2000,
            },
            'advice': find_free_address(),
            'limits': {'cpuShare': 0.537, 'cores': 2},
            'bounds': {'graceS': 6},
        }
        template = (ROOT / 'deploy/settings.yaml').read_text()
        host.settings.write_text(render(template, values))
        host.start()
        self.record.write('host-start', host=name)
        self.hosts.append(host)
        return host

    def find_owner(self) -> EntryHost | None:
        """Return the entry host that the owner key in the store names."""
        for key in self.store._items:
            if key.startswith('control/owners/'):
                name = self.store.find(key)['name']
                return next(h for h in self.hosts if h.name == name)
        return None

    async def wait_until_ready(self, host: EntryHost) -> None:
        """Wait until an entry host answers its readiness probe with 200."""
        ends_at = monotonic() + 30
        while monotonic() < ends_at:
            answer = await self.call(
                'GET', f'http://{host.ready_address}/api/readyz', 1.0
            )
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f'{host.name} is not ready')

    async def call(
        self, method: str, url: str, timeout_s: float, body: Any = None
    ) -> Answer:
        """Make one call of a client."""
        assert self.session is not None
        headers = {
            'Host': ROUTE_HOST,
            'Request-Deadline': str(int(timeout_s * 1000)),
        }
        try:
            async with self.session.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=ClientTimeout(total=timeout_s),
            ) as response:
                content = await response.read()
                with suppress(ValueError):
                    return Answer(response.status, loads(content))
                return Answer(response.status)
        except (ClientError, TimeoutError, OSError):
            return Answer(0)

    def choose_host(self) -> EntryHost:
        """Return the next entry host whose process runs."""
        alive = [
            host
            for host in self.hosts
            if host.process is not None and host.process.poll() is None
        ]
        if not alive:
            return self.hosts[0]
        self._next_host += 1
        return alive[self._next_host % len(alive)]

    async def request(
        self,
        method: str,
        job_id: str,
        body: Any = None,
        attempts: int = 5,
        deadline_s: float = 3.0,
    ) -> list[Answer]:
        """Make a request with retries at other hosts, as a client does.

        A client repeats it after no response, 429, 502, 503 and 504.
        """
        answers = []
        for number in range(attempts):
            host = self.choose_host()
            url = f'http://{host.caller_address}{PREFIX}{job_id}'
            self.record.write('send', method=method, job=job_id, to=host.name)
            answer = await self.call(method, url, deadline_s, body)
            self.record.write(
                'answer',
                method=method,
                job=job_id,
                status=answer.status,
                body=dumps(answer.body),
            )
            answers.append(answer)
            if answer.status not in (0, 429, 502, 503, 504):
                break
            if number + 1 < attempts:
                await asyncio.sleep(0.3)
        return answers

    def list_spans(self, job_id: str) -> list[RunSpan]:
        """Return what the workers did for a job."""
        spans = [span for worker in self.workers for span in worker.spans]
        return [span for span in spans if span.task.startswith(job_id)]

    async def close(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.send_signal(SIGCONT)
            host.send_signal(SIGTERM)
        for host in self.hosts:
            if host.process is None:
                continue
            try:
                await asyncio.to_thread(host.process.wait, 8)
            except TimeoutExpired:
                host.kill()
        if self.session is not None:
            await self.session.close()


def make_job(
    work_ms: int, tasks: int = 1, fields: Any = None, **job: Any
) -> dict[str, Any]:
    """Return the body of a job of one step."""
    step = {
        'count': tasks,
        'cpu': 1_000,
        'memMb': 500,
        'estimateMs': work_ms or 1_000,
        **(fields or {}),
    }
    return {'spec': dumps({'ms': work_ms}), 'steps': [step], **job}


def make_configuration(version: int) -> dict[str, Any]:
    """Return the operators' configuration with one queue."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'plain',
                'host': ROUTE_HOST,
                'prefix': PREFIX,
                'kind': 'non_idempotent',
                'timeoutMs': 3000,
                'targetLatencyMs': 1000,
                'priority': 1,
                'service': SERVICE,
                'maxAttempts': 3,
                'stretch': 3.0,
            }
        ],
        'services': [{'name': SERVICE, 'enforcesCapacity': False}],
        'limits': {},
    }


def has_trouble() -> bool:
    """Return whether the script is to cause its disruption."""
    return environ.get('TROUBLE', '1') != '0'


async def run_cell(
    folder: Path,
    hosts: int,
    kinds: str,
    play: Callable[[Cell], Awaitable[str]],
) -> int:
    """Run a case on a new cell and return the exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case, for the record.
    hosts : int
        Number of entry hosts.
    kinds : str
        A letter for each worker, which is the label of its kind.
    play : callable
        Plays the case; returns how the rule was broken, or ''.
    """
    playing = asyncio.current_task()
    assert playing is not None
    # The processes are ended as well when the script is told to stop.
    asyncio.get_running_loop().add_signal_handler(SIGTERM, playing.cancel)
    record = Record(folder / 'record.txt')
    record.write('case', folder=folder.name, trouble=has_trouble())
    with TemporaryDirectory() as temporary:
        store = Store(record)
        cell = Cell(record, Path(temporary), store)
        serving = asyncio.create_task(store.run())
        store.put('op/config', make_configuration(3))
        for number, kind in enumerate(kinds):
            worker = Worker(f'i-{number:04d}', store, record, kind)
            worker.start()
            cell.workers.append(worker)
        cell.session = ClientSession()
        try:
            for number in range(hosts):
                cell.add_host(f'front-{number}')
            for host in cell.hosts:
                await cell.wait_until_ready(host)
            broken = await play(cell)
        except Exception as error:
            record.write('not-run', error=repr(error))
            print(f'the case could not run: {error!r}')
            return NOT_RUN
        finally:
            await cell.close()
            if 'KEEP_LOGS' in environ:
                for host in cell.hosts:
                    target = Path(environ['KEEP_LOGS']) / host.log.name
                    target.write_bytes(host.log.read_bytes())
            serving.cancel()
        record.write('result', broken=broken or 'no')
        print(f'rule broken: {broken}' if broken else 'rule held')
        return BROKEN if broken else HELD


def main(
    folder: Path,
    hosts: int,
    kinds: str,
    play: Callable[[Cell], Awaitable[str]],
) -> None:
    """Run a case as a program."""
    sys.exit(asyncio.run(run_cell(folder, hosts, kinds, play)))
