"""Guards against incomplete or damaged outputs.

A caller must never receive an output as complete that is short, damaged or has
its chunks in the wrong order.
"""

from dataclasses import replace

import pytest

from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.outputs import verify_chunks
from sassafrasgate.protocol.messages import JobView
from tests.http.gateways import make_finished

pytestmark = pytest.mark.anyio

CHUNKS = (b'a' * 70_000, b'b' * 70_000, b'c')
WHOLE = b''.join(CHUNKS)


async def test_chunked_output_is_returned_whole(gateway, client):
    gateway.reply = make_finished('j1', WHOLE, chunks=3)
    gateway.chunks = CHUNKS
    response = await client.get('/v1/jobs/j1/output')
    assert response.content == WHOLE
    assert response.headers['content-length'] == str(len(WHOLE))


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
async def test_invalid_chunks_end_the_transfer_before_its_declared_length(
    gateway, client, chunks
):
    gateway.reply = make_finished('j1', WHOLE, chunks=3)
    gateway.chunks = chunks
    with pytest.raises(SassafrasgateError):
        await client.get('/v1/jobs/j1/output')
    outcome = gateway.reply.outcome
    sent = 0
    with pytest.raises(SassafrasgateError):
        read = gateway.read_output('j1', outcome)
        async for chunk in verify_chunks('j1', outcome, read):
            sent += len(chunk)
    assert sent < len(WHOLE)


async def test_unreadable_output_is_a_problem(gateway, client):
    gateway.reply = make_finished('j1', WHOLE, chunks=3)
    gateway.chunks = (StoreUnavailableError('down'),)
    response = await client.get('/v1/jobs/j1/output')
    assert response.status_code == 503
    assert 'retry-after' in response.headers


async def test_size_and_digest_of_a_small_output_are_verified(gateway, client):
    gateway.reply = make_finished('j1', WHOLE, WHOLE)
    assert (await client.get('/v1/jobs/j1/output')).content == WHOLE
    gateway.reply = make_finished('j1', WHOLE, WHOLE[:-1] + b'x')
    assert (await client.get('/v1/jobs/j1/output')).status_code == 502
    view = make_finished('j1', WHOLE, WHOLE)
    gateway.reply = replace(view, outcome=replace(view.outcome, size=1))
    assert (await client.get('/v1/jobs/j1/output')).status_code == 502


async def test_unfinished_job_has_no_output(gateway, client):
    gateway.reply = JobView('j1', JobState.RUNNING)
    response = await client.get('/v1/jobs/j1/output')
    assert (response.status_code, response.json()['job_id']) == (409, 'j1')
