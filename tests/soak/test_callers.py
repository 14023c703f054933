"""Tests of the responses that callers check."""

from json import loads

import anyio
import pytest

from tests.soak.callers import Job

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def test_final_state_that_changes():
    # Guards against a check that misses a final state which changes.
    job = Job('j', 'plain', [])
    job.record_state('completed', anyio.current_time())
    job.record_state('queued', anyio.current_time(), 'entry-1')

    assert len(job.violations) == 1
    assert 'queued after completed from entry-1' in job.violations[0]


async def test_response_to_an_earlier_poll():
    # Guards against a report of a poll that was overtaken by a later one.
    job = Job('j', 'plain', [])
    asked_at_s = anyio.current_time()
    await anyio.sleep(0.01)
    job.record_state('completed', anyio.current_time())
    job.record_state('queued', asked_at_s)

    assert not job.violations
    assert job.states == ['completed']


def test_a_job_tells_workers_more_than_its_estimates():
    # Guards against a soak whose tasks always take as long as estimated, and
    # against one without jobs that are due later.
    step = {'count': 1, 'cpu': 500, 'memMb': 500, 'estimateMs': 100}
    job = Job('j', 'plain', [step], work_ms=(500,), start_at_ms=7)
    body = loads(job.make_body())

    assert loads(body['spec'])[0]['estimateMs'] == 500
    assert body['steps'][0]['estimateMs'] == 100
    assert body['startAtMs'] == 7
