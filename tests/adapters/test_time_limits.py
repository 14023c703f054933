"""Tests of time limits beside an event loop that stands still."""

from socket import create_server
from threading import Thread
from time import sleep

import anyio
import pytest

from sassafrasgate.adapters.call_errors import NoResponseError
from sassafrasgate.adapters.connections import HttpConnections
from sassafrasgate.adapters.time_limits import TimeLimit

pytestmark = pytest.mark.anyio

TIMEOUT_S = 0.2
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def address():
    """Yield the address of a server that replies at once, in a thread."""
    server = create_server(('127.0.0.1', 0))

    def serve():
        connection, _ = server.accept()
        with connection:
            connection.recv(4096)
            connection.sendall(REPLY)
            connection.recv(4096)

    thread = Thread(target=serve, daemon=True)
    thread.start()
    yield f'http://127.0.0.1:{server.getsockname()[1]}'
    server.close()


async def test_reply_that_arrived_while_the_loop_stood_still_is_used(address):
    # Guards against a worker that is taken for silent, and called again on a
    # new connection, because this process was late to read its reply.
    connections = HttpConnections(address, 1)
    async with anyio.create_task_group() as group:

        async def block_loop():
            await anyio.sleep(0.001)
            sleep(2 * TIMEOUT_S)

        group.start_soon(block_loop)
        response = await connections.call('POST', '/start', TIMEOUT_S)
    await connections.close()

    assert response.content == b'ok'


async def test_silent_peer_ends_a_call_in_time():
    # Guards against extensions without a late loop.
    server = create_server(('127.0.0.1', 0))
    connections = HttpConnections(
        f'http://127.0.0.1:{server.getsockname()[1]}', 1
    )
    began = anyio.current_time()
    with pytest.raises(NoResponseError):
        await connections.call('POST', '/start', TIMEOUT_S)
    waited_s = anyio.current_time() - began
    await connections.close()
    server.close()

    assert waited_s < 2 * TIMEOUT_S


async def test_extensions_of_a_late_loop_are_bounded():
    # Guards against a call that never ends while the loop is late.
    with pytest.raises(TimeoutError), TimeLimit(0.05):
        while True:
            sleep(0.1)
            await anyio.sleep(0)
