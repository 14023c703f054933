"""Guards the process against being overrun by open requests or bodies."""

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
        max_open_callers=3,
        max_open_per_team=2,
        max_job_body=1000,
        max_payload=500,
        max_open_body_bytes=1500,
        answer_timeout_s=0.01,
        answer_margin_s=0.01,
        body_timeout_s=0.05,
    )


@pytest.fixture
def held(gateway):
    """Let the gateway hold its answers until the event is set."""
    go_on = anyio.Event()

    async def answer(message):
        with anyio.CancelScope(shield=True):
            await go_on.wait()
        return VIEW

    gateway.answer = answer
    return go_on


async def submit(client, key, team='orders', replies=None, payload=''):
    body = {'team': team, 'key': key, 'payload': payload}
    reply = await client.post('/v1/jobs', json=body)
    if replies is not None:
        replies.append(reply)
    return reply


async def test_team_over_its_bound_is_refused_and_others_are_not(
    gateway, client, held
):
    replies = []
    async with anyio.create_task_group() as group:
        for key in ('1', '2'):
            group.start_soon(submit, client, key, 'orders', replies)
        await anyio.wait_all_tasks_blocked()
        refused = await submit(client, '3')
        group.start_soon(submit, client, '4', 'pages', replies)
        await anyio.wait_all_tasks_blocked()
        full = await submit(client, '5', 'third')
        health = await client.get('/healthz')
        held.set()
    assert refused.status_code == full.status_code == 503
    assert 'retry-after' in refused.headers
    assert 'retry-after' in full.headers
    assert health.status_code == 200
    assert [reply.status_code for reply in replies] == [202, 202, 202]
    gateway.answer = VIEW
    assert (await submit(client, '6')).status_code == 202


async def test_bodies_over_the_bound_of_the_process_are_refused(client, held):
    async with anyio.create_task_group() as group:
        group.start_soon(submit, client, '1', 'a', None, 'x' * 490)
        group.start_soon(submit, client, '2', 'b', None, 'x' * 490)
        await anyio.wait_all_tasks_blocked()
        refused = await submit(client, '3', 'c', None, 'x' * 490)
        held.set()
    assert refused.status_code == 503


@pytest.mark.parametrize(
    ('payload', 'status'), [(500, 202), (501, 400), (1000, 413)]
)
async def test_payload_is_bounded(gateway, client, payload, status):
    gateway.answer = VIEW
    reply = await submit(client, '1', payload='x' * payload)
    assert reply.status_code == status


async def test_body_without_a_length_is_bounded(gateway, client):
    async def send():
        for _ in range(5):
            yield b'x' * 300

    reply = await client.post('/v1/jobs', content=send())
    assert reply.status_code == 413
    assert gateway.asked == []


async def test_slow_body_is_given_up(client):
    async def send():
        yield b'{'
        await anyio.sleep(60)

    reply = await client.post('/v1/jobs', content=send())
    assert reply.status_code == 408


async def test_silent_gateway_makes_the_effect_unknown(gateway, client):
    async def answer(message):
        await anyio.sleep_forever()

    gateway.answer = answer
    reply = await submit(client, '1')
    assert (reply.status_code, reply.json()['state']) == (504, 'unknown')


@pytest.mark.parametrize(
    ('kind', 'status'),
    [(RefusalKind.NOT_READY, 503), (RefusalKind.STOPPING, 202)],
)
async def test_process_serves_nothing_until_ready_and_all_while_stopping(
    gateway, client, kind, status
):
    gateway.answer = VIEW
    gateway.refusal = Refusal(kind, 'no configuration', 'wait')
    assert (await submit(client, '1')).status_code == status
    assert (await client.get('/readyz')).status_code == 503
    assert (await client.get('/healthz')).status_code == 200
    gateway.refusal = None
    assert (await client.get('/readyz')).status_code == 200
