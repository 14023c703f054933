"""Tests the server with clients that send too much, too slowly or ahead."""

from contextlib import asynccontextmanager
from socket import IPPROTO_TCP
from socket import TCP_NODELAY

import anyio
from logbook import Logger
import pytest
from starlette.requests import Request
from starlette.responses import Response

from sassafrasgate.core.caller_limits import CallerLimits
from sassafrasgate.http import guards
from sassafrasgate.http import time_limits
from sassafrasgate.http.admission import AdmissionBudget
from sassafrasgate.http.admission import SMALL_BYTES
from sassafrasgate.http.body_buffers import BodyBuffer
from sassafrasgate.http.connections import CONNECTION_KEY
from sassafrasgate.http.guards import ConnectionGuard
from sassafrasgate.http.server import serve_http
from sassafrasgate.observability.metrics import Metrics

pytestmark = pytest.mark.anyio

LIMITS = CallerLimits(max_header_bytes=20_000, max_body_bytes=100_000)
MIB = 1 << 20


class Application:
    """Returns the size of each body, and keeps the requests that it sees."""

    def __init__(self):
        self.bodies = []
        self.scopes = []

    async def __call__(self, scope, receive, send):
        self.scopes.append(scope)
        body = await Request(scope, receive).body()
        self.bodies.append(body)
        await Response(str(len(body)))(scope, receive, send)


class Server:
    """A server in this process and the addresses of what it uses."""

    def __init__(self, budget, limits):
        self.application = Application()
        self.metrics = Metrics()
        self.guard = ConnectionGuard(budget, Logger('test'), self.metrics)
        self.limits = limits
        self.address = ''

    async def __call__(self, scope, receive, send):
        if self.reads_body(scope):
            await self.application(scope, receive, send)
            return
        await Response('denied', status_code=401)(scope, receive, send)

    def reads_body(self, scope):
        return scope['path'] != '/denied'

    async def connect(self):
        host, _, port = self.address.partition(':')
        return await anyio.connect_tcp(host, int(port))

    async def exchange(self, *parts):
        """Send parts on a new connection; return all that it receives."""
        async with await self.connect() as client:
            for part in parts:
                await client.send(part)
            return await read_all(client)


@asynccontextmanager
async def run_server(budget=None, limits=LIMITS):
    server = Server(budget or AdmissionBudget(64 * MIB, 100), limits)
    stop = anyio.Event()

    async def serve(*, task_status):
        await serve_http(
            BodyBuffer(server, server.reads_body),
            '127.0.0.1:0',
            stop,
            1.0,
            guard=server.guard,
            get_limits=lambda: server.limits,
            task_status=task_status,
        )

    with anyio.fail_after(30):
        async with anyio.create_task_group() as group:
            server.address = await group.start(serve)
            yield server
            stop.set()


async def read_all(client):
    received = b''
    try:
        while True:
            received += await client.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


def make_post(length, *headers):
    lines = ('POST /q HTTP/1.1', 'Host: h', f'Content-Length: {length}')
    return '\r\n'.join((*lines, *headers, '', '')).encode()


async def test_small_requests_are_served_one_after_the_other():
    """Guards against responses out of order and against waits for an ACK."""
    async with run_server() as server:
        get = b'GET / HTTP/1.1\r\nHost: h\r\n'
        last = get + b'Connection: close\r\n\r\n'
        received = await server.exchange(
            make_post(3) + b'abc' + get + b'\r\n', make_post(2) + b'de' + last
        )
        connection = server.application.scopes[0]['state'][CONNECTION_KEY]
        socket = connection._transport.get_extra_info('socket')
        assert server.application.bodies == [b'abc', b'', b'de', b'']
        assert received.count(b'HTTP/1.1 200') == 4
        assert socket.fileno() == -1 or socket.getsockopt(
            IPPROTO_TCP, TCP_NODELAY
        )


async def test_body_of_a_denied_request_is_not_waited_for():
    """Guards against holding the bodies of clients without an account."""
    async with run_server() as server:
        head = make_post(90_000).replace(b'/q', b'/denied')
        received = await server.exchange(head, b'x' * 10)
        assert received.startswith(b'HTTP/1.1 401')
        assert received.endswith(b'denied')
        assert not server.application.scopes


async def test_body_in_pieces_inside_the_limits_is_served():
    """Guards against limits that a single slow client meets."""
    async with run_server() as server:
        parts = [b'x' * 10_000] * 10
        head = make_post(100_000, 'Connection: close')
        received = await server.exchange(head, *parts)
        assert received.endswith(b'100000')


@pytest.mark.parametrize(
    ('head', 'part'),
    [
        (make_post(100_001), b''),
        (
            b'POST /q HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n',
            b'5000\r\n' + b'x' * 0x5000 + b'\r\n',
        ),
    ],
    ids=['announced', 'chunked'],
)
async def test_body_over_the_limit_is_refused(head, part):
    """Guards against a job of which a refused client believes that it ran."""
    async with run_server() as server:
        received = await server.exchange(head, *[part] * 5)
        assert received.startswith(b'HTTP/1.1 413 ')
        assert server.application.bodies == []


async def test_refusal_arrives_although_the_client_still_sends():
    """Guards against a reset before the client has read the refusal."""
    async with run_server() as server:
        parts = [bytes(10_000)] * 11
        received = await server.exchange(make_post(110_000), *parts)
        assert received.startswith(b'HTTP/1.1 413 ')
        assert received.count(b'HTTP/1.1') == 1


async def test_head_over_the_limit_is_refused():
    """Guards against heads that grow without a limit."""
    async with run_server() as server:
        line = b'X-Header: ' + b'x' * 10_000 + b'\r\n'
        received = await server.exchange(
            b'GET / HTTP/1.1\r\nHost: h\r\n', *[line] * 3
        )
        assert received.startswith(b'HTTP/1.1 431 ')


async def test_http2_and_websocket_are_not_served():
    """Guards against protocols whose buffers have no limits here."""
    async with run_server() as server:
        preface = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
        upgrade = (
            b'GET / HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\n'
            b'Upgrade: websocket\r\n\r\n'
        )
        for request in (preface, upgrade):
            assert b'HTTP/1.1 1' not in await server.exchange(request)
        assert server.application.bodies == []


async def test_incomplete_bodies_are_refused_when_memory_is_used_up():
    """Guards against a crowd of bodies that stop short of their end."""
    budget = AdmissionBudget(MIB, 100)
    async with (
        run_server(budget) as server,
        anyio.create_task_group() as group,
    ):
        responses = []

        async def send():
            responses.append(
                await server.exchange(make_post(90_000), b'x' * 89_999)
            )

        for _ in range(12):
            group.start_soon(send)
        while not responses:
            await anyio.sleep(0.01)
        group.cancel_scope.cancel()
        assert server.application.bodies == []
    assert responses[0].startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: 1' in responses[0]


async def test_overdue_head_and_silent_connection_are_closed(monkeypatch):
    """Guards against connections that stay open without a request."""
    monkeypatch.setattr(time_limits, 'MARGIN_MS', 0)
    limits = CallerLimits(header_timeout_ms=1, idle_timeout_ms=1)
    async with run_server(limits=limits) as server:
        async with (
            await server.connect() as slow,
            await server.connect() as silent,
        ):
            await slow.send(b'GET / HTTP/1.1\r\n')
            await anyio.sleep(0.1)
            server.guard.sweep()
            assert (await read_all(slow)).startswith(b'HTTP/1.1 408 ')
            assert await read_all(silent) == b''
        metrics = server.metrics.render()
        assert b'reason="head-timeout"} 1' in metrics
        assert b'reason="idle"} 1' in metrics


async def test_failing_sweep_is_recorded_and_repeated(monkeypatch):
    """Guards against a process that one odd connection ends."""
    monkeypatch.setattr(guards, 'SWEEP_INTERVAL_S', 0.001)
    guard = ConnectionGuard(
        AdmissionBudget(MIB, 100), Logger('test'), Metrics()
    )
    swept = []

    def fail():
        swept.append(1)
        raise ValueError('odd')

    monkeypatch.setattr(guard, 'sweep', fail)
    with anyio.fail_after(30):
        async with anyio.create_task_group() as group:
            group.start_soon(guard.run)
            while len(swept) < 2:
                await anyio.sleep(0.001)
            group.cancel_scope.cancel()


async def test_request_of_a_client_that_has_left_is_served():
    """Guards against a submission that ends because its client does."""
    async with run_server() as server:
        async with await server.connect() as client:
            await client.send(make_post(SMALL_BYTES) + bytes(SMALL_BYTES))
        while not server.application.bodies:
            await anyio.sleep(0.01)
