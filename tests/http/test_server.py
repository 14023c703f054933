"""Guards the server's body transfers, disconnects and graceful shutdowns."""

from contextlib import asynccontextmanager
from contextlib import suppress
from dataclasses import dataclass

import anyio
from httpx import AsyncClient
from httpx import ConnectError
from httpx import RemoteProtocolError
from httpx import TransportError
import pytest

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http import bodies
from sassafrasgate.http.application import build_application
from sassafrasgate.http.limits import Limits
from sassafrasgate.http.listeners import AddressError
from sassafrasgate.http.server import serve_http
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.protocol.messages import JobView
from tests.http.gateways import echo
from tests.http.gateways import make_finished

pytestmark = pytest.mark.anyio

LARGE = bytes(range(256)) * 4_096
TEXT = LARGE.decode('latin-1')
REQUEST = {'team': 'pages', 'payload': TEXT}


@dataclass(frozen=True)
class Server:
    """A running server with a client for it."""

    client: AsyncClient
    address: str
    stop: anyio.Event
    scope: anyio.CancelScope


@asynccontextmanager
async def run_server(gateway, limits=None, drain_s=20.0):
    application = build_application(gateway, Metrics(), limits or Limits())
    stop = anyio.Event()
    scope = anyio.CancelScope()

    async def serve(*, task_status):
        with scope:
            address = '127.0.0.1:0'
            await serve_http(
                application, address, stop, drain_s, task_status=task_status
            )

    with anyio.fail_after(30):
        async with anyio.create_task_group() as group:
            address = await group.start(serve)
            url = f'http://{address}'
            async with AsyncClient(base_url=url, timeout=30) as client:
                yield Server(client, address, stop, scope)
            stop.set()


async def wait_until_closed(address):
    async with AsyncClient() as client:
        while True:
            try:
                await client.get(f'http://{address}/healthz')
            except ConnectError:
                return
            except TransportError:
                # The connection was queued when the socket was closed.
                pass
            await anyio.sleep(0.01)


async def disconnect_after_arrival(gateway, function, argument):
    async with anyio.create_task_group() as group:
        group.start_soon(function, argument)
        await gateway.message_received.wait()
        group.cancel_scope.cancel()


async def test_large_request_and_response_bodies_are_transferred_whole(
    gateway,
):
    gateway.reply = echo
    async with run_server(gateway) as server:
        for _ in range(3):
            response = await server.client.post('/v1/requests', json=REQUEST)
            assert response.content == TEXT.encode()
        gateway.chunks = (LARGE,) * 8
        gateway.reply = make_finished('j', LARGE * 8, chunks=8)
        response = await server.client.get('/v1/jobs/j/output')
        assert response.content == LARGE * 8


async def test_damaged_output_ends_the_transfer_early(gateway):
    gateway.chunks = (LARGE, LARGE[:-1] + b'x')
    gateway.reply = make_finished('j', LARGE * 2, chunks=2)
    async with run_server(gateway) as server:
        with pytest.raises(RemoteProtocolError, match='without sending'):
            await server.client.get('/v1/jobs/j/output')


async def test_refused_request_with_a_large_body_gets_its_response(gateway):
    gateway.refusal = Refusal(RefusalKind.NOT_READY, 'a', 'b')
    async with run_server(gateway) as server:
        for path in ('/v1/requests', '/v1/jobs', '/nowhere'):
            response = await server.client.post(path, content=LARGE * 4)
            assert response.status_code == (404 if path == '/nowhere' else 503)
        gateway.refusal = None
        response = await server.client.post('/v1/jobs', content=LARGE * 4)
        assert response.status_code == 413


async def test_unread_body_does_not_block_the_response(gateway, monkeypatch):
    async def make_reply(message):
        # Wait until hypercorn's queue of body messages is full.
        await anyio.sleep(0.3)
        return JobView('j', JobState.CANCELLED)

    monkeypatch.setattr(bodies, 'MAX_DISCARDED_BYTES', 0)
    gateway.reply = make_reply
    async with run_server(gateway, drain_s=60) as server:
        with suppress(TransportError):
            request = server.client.request
            response = await request(
                'DELETE', '/v1/jobs/j', content=LARGE * 16
            )
            assert response.status_code == 200


async def post_until_served(client):
    # The limit of open requests allows another one once the server has
    # detected the disconnect; run_server fails the test if it never does.
    while True:
        response = await client.post('/v1/requests', json=REQUEST)
        if response.status_code != 503:
            return response
        await anyio.sleep(0.01)


async def test_disconnect_ends_a_wait_but_not_a_submission(gateway):
    gateway.reply = gateway.wait_and_echo
    limits = Limits(max_open_caller_requests=1, reply_timeout_s=60)
    async with run_server(gateway, limits) as server:
        get, post = server.client.get, server.client.post
        await disconnect_after_arrival(gateway, get, '/v1/jobs/j?wait=60')
        await gateway.request_ended.wait()
        gateway.message_received = anyio.Event()
        await disconnect_after_arrival(
            gateway, post_until_served, server.client
        )
        assert (await post('/v1/requests', json=REQUEST)).status_code == 503
        gateway.may_reply.set()
        response = await post_until_served(server.client)
        assert response.content == TEXT.encode()


async def test_shutdown_closes_the_socket_and_waits_for_open_requests(gateway):
    responses = []

    async def send(client):
        responses.append(await client.post('/v1/requests', json=REQUEST))

    gateway.reply = gateway.wait_and_echo
    async with (
        run_server(gateway) as server,
        anyio.create_task_group() as group,
    ):
        group.start_soon(send, server.client)
        await gateway.message_received.wait()
        server.stop.set()
        await wait_until_closed(server.address)
        gateway.may_reply.set()
    assert responses[0].content == TEXT.encode()


@pytest.mark.parametrize('cancel', [False, True], ids=['drain', 'cancel'])
async def test_shutdown_ends_after_the_drain_time_or_on_cancellation(
    gateway, cancel
):
    async def send(client):
        with suppress(TransportError):
            response = await client.get('/v1/jobs/j?wait=60')
            assert response.status_code == 500

    gateway.reply = gateway.wait_and_echo
    async with (
        run_server(gateway, drain_s=60 if cancel else 0.05) as server,
        anyio.create_task_group() as group,
    ):
        group.start_soon(send, server.client)
        await gateway.message_received.wait()
        if cancel:
            server.scope.cancel()
        else:
            server.stop.set()


@pytest.mark.parametrize(
    'address', ['localhost:80', '127.0.0.1', '127.0.0.1:99999', ':80']
)
async def test_error_of_an_invalid_address_names_the_remedy(address):
    stop = anyio.Event()
    stop.set()
    with pytest.raises(AddressError, match='IP number'):
        await serve_http(None, address, stop)
