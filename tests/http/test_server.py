"""Guards the server: large bodies arrive whole, a stop is graceful."""

import anyio
from httpx import AsyncClient
from httpx import ConnectError
from httpx import TransportError
import pytest
from xxhash import xxh3_128_hexdigest

from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.http.application import build_application
from sassafrasgate.http.limits import Limits
from sassafrasgate.http.server import serve_http
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.protocol.messages import JobView

pytestmark = pytest.mark.anyio

LARGE = bytes(range(256)) * 4_096


async def test_stop_lets_an_open_request_end(gateway):
    arrived = anyio.Event()
    go_on = anyio.Event()

    async def answer(message):
        arrived.set()
        await go_on.wait()
        spec = message.spec
        digest = xxh3_128_hexdigest(spec.payload)
        outcome = Outcome(
            JobState.FINISHED, '', spec.payload, 0, len(spec.payload), digest
        )
        return JobView(message.job_id, JobState.FINISHED, outcome=outcome)

    gateway.answer = answer
    application = build_application(gateway, Metrics(), Limits())
    stop = anyio.Event()
    replies = []

    async def send():
        body = {'team': 'pages', 'payload': LARGE.decode('latin-1')}
        replies.append(await client.post('/v1/requests', json=body))

    async with (
        anyio.create_task_group() as server_group,
        AsyncClient(timeout=30) as client,
    ):
        address = await server_group.start(
            serve_http, application, '127.0.0.1:0', stop
        )
        client.base_url = f'http://{address}'
        async with anyio.create_task_group() as group:
            group.start_soon(send)
            await arrived.wait()
            stop.set()
            with anyio.fail_after(10):
                await wait_until_closed(address)
            go_on.set()
    assert replies[0].status_code == 200
    assert replies[0].content == LARGE.decode('latin-1').encode()


async def wait_until_closed(address):
    async with AsyncClient() as client:
        while True:
            try:
                await client.get(f'http://{address}/healthz')
            except ConnectError:
                return
            except TransportError:
                # The connection was waiting when the socket was closed.
                continue
            await anyio.sleep(0.01)
