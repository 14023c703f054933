"""Guards outputs against reaching a caller short, damaged or swapped."""

from dataclasses import replace

import pytest

from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.outputs import check_chunks
from sassafrasgate.protocol.messages import JobView
from tests.http.gateways import make_finished

pytestmark = pytest.mark.anyio

CHUNKS = (b'a' * 70_000, b'b' * 70_000, b'c')
WHOLE = b''.join(CHUNKS)


async def test_chunked_output_arrives_whole(gateway, client):
    gateway.answer = make_finished('j1', WHOLE, chunks=3)
    gateway.chunks = CHUNKS
    reply = await client.get('/v1/jobs/j1/output')
    assert reply.content == WHOLE
    assert reply.headers['content-length'] == str(len(WHOLE))


@pytest.mark.parametrize(
    'chunks',
    [
        CHUNKS[:2],
        (*CHUNKS[:2], b'd'),
        (CHUNKS[1], CHUNKS[0], CHUNKS[2]),
        (*CHUNKS, b'e'),
        (*CHUNKS[:2], StoreUnavailableError('down')),
    ],
    ids=['short', 'damaged', 'swapped', 'long', 'unreadable'],
)
async def test_failed_check_breaks_the_transfer_short_of_its_length(
    gateway, client, chunks
):
    gateway.answer = make_finished('j1', WHOLE, chunks=3)
    gateway.chunks = chunks
    with pytest.raises(SassafrasgateError):
        await client.get('/v1/jobs/j1/output')
    outcome = gateway.answer.outcome
    sent = 0
    with pytest.raises(SassafrasgateError):
        read = gateway.read_output('j1', outcome)
        async for chunk in check_chunks('j1', outcome, read):
            sent += len(chunk)
    assert sent < len(WHOLE)


async def test_output_that_can_not_be_read_at_all_is_a_problem(
    gateway, client
):
    gateway.answer = make_finished('j1', WHOLE, chunks=3)
    gateway.chunks = (StoreUnavailableError('down'),)
    reply = await client.get('/v1/jobs/j1/output')
    assert reply.status_code == 503
    assert 'retry-after' in reply.headers


async def test_small_output_is_checked(gateway, client):
    gateway.answer = make_finished('j1', WHOLE, WHOLE)
    assert (await client.get('/v1/jobs/j1/output')).content == WHOLE
    gateway.answer = make_finished('j1', WHOLE, WHOLE[:-1] + b'x')
    assert (await client.get('/v1/jobs/j1/output')).status_code == 502
    view = make_finished('j1', WHOLE, WHOLE)
    gateway.answer = replace(view, outcome=replace(view.outcome, size=1))
    assert (await client.get('/v1/jobs/j1/output')).status_code == 502


async def test_unfinished_job_has_no_output(gateway, client):
    gateway.answer = JobView('j1', JobState.RUNNING)
    reply = await client.get('/v1/jobs/j1/output')
    assert (reply.status_code, reply.json()['job_id']) == (409, 'j1')
