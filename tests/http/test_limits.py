"""Guards the process against overload by open requests or large bodies."""

import anyio
import pytest

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.limits import Limits
from sassafrasgate.protocol.messages import JobView

pytestmark = pytest.mark.anyio

VIEW = JobView('j', JobState.QUEUED)


@pytest.fixture
def limits():
    return Limits(
        max_open_caller_requests=3,
        max_open_requests_per_team=2,
        max_job_body_bytes=1000,
        max_payload_bytes=500,
        max_open_body_bytes=1500,
        reply_timeout_s=30,
        body_timeout_s=0.05,
    )


async def submit(client, key, team='orders', size=0, responses=None):
    body = {'team': team, 'key': key, 'payload': 'x' * size}
    response = await client.post('/v1/jobs', json=body)
    if responses is not None:
        responses.append(response)
    return response


async def test_requests_over_the_limits_of_team_and_process_are_refused(
    gateway, client
):
    gateway.reply = gateway.wait_and_echo
    responses = []
    async with anyio.create_task_group() as group:
        for key in ('1', '2'):
            group.start_soon(submit, client, key, 'orders', 0, responses)
        await anyio.wait_all_tasks_blocked()
        refused = await submit(client, '3')
        group.start_soon(submit, client, '4', 'pages', 0, responses)
        await anyio.wait_all_tasks_blocked()
        full = await submit(client, '5', 'third')
        health = await client.get('/healthz')
        gateway.may_reply.set()
    for response in (refused, full):
        assert response.status_code == 503
        assert 'retry-after' in response.headers
    assert health.status_code == 200
    assert [response.status_code for response in responses] == [202, 202, 202]
    assert (await submit(client, '6')).status_code == 202


async def test_bodies_over_the_memory_limit_of_the_process_are_refused(
    gateway, client
):
    gateway.reply = gateway.wait_and_echo
    async with anyio.create_task_group() as group:
        group.start_soon(submit, client, '1', 'a', 490)
        group.start_soon(submit, client, '2', 'b', 490)
        await anyio.wait_all_tasks_blocked()
        refused = await submit(client, '3', 'c', 490)
        gateway.may_reply.set()
    assert refused.status_code == 503


@pytest.mark.parametrize(
    ('size', 'status'), [(500, 202), (501, 400), (1000, 413)]
)
async def test_payload_over_its_limit_is_refused(
    gateway, client, size, status
):
    gateway.reply = VIEW
    assert (await submit(client, '1', size=size)).status_code == status


@pytest.mark.parametrize(
    ('parts', 'pause_s', 'status'), [(5, 0, 413), (1, 60, 408)]
)
async def test_body_without_a_length_is_limited_in_size_and_time(
    gateway, client, parts, pause_s, status
):
    async def send():
        for _ in range(parts):
            yield b'x' * 300
        await anyio.sleep(pause_s)

    response = await client.post('/v1/jobs', content=send())
    assert response.status_code == status
    assert gateway.messages == []


@pytest.mark.parametrize(
    ('kind', 'status'),
    [(RefusalKind.NOT_READY, 503), (RefusalKind.STOPPING, 202)],
)
async def test_unready_process_refuses_requests_and_stopping_one_serves_them(
    gateway, client, kind, status
):
    gateway.reply = VIEW
    gateway.refusal = Refusal(kind, 'no configuration', 'wait')
    assert (await submit(client, '1')).status_code == status
    assert (await client.get('/readyz')).status_code == 503
    assert (await client.get('/healthz')).status_code == 200
    gateway.refusal = None
    assert (await client.get('/readyz')).status_code == 200
