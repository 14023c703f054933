"""Guards waits for a job's end.

A wait must not poll in a tight loop, must end when the process stops, and must
continue after a failed query.
"""

import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http import long_polling
from sassafrasgate.http.limits import Limits
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Query
from sassafrasgate.protocol.messages import Submit

pytestmark = pytest.mark.anyio

RUNNING = JobView('j', JobState.RUNNING)
FINISHED = JobView('j', JobState.FINISHED)
JOB = {'team': 'orders', 'key': '17'}


@pytest.fixture
def limits():
    return Limits(reply_timeout_s=0.2, reply_margin_s=0.1)


@pytest.fixture(autouse=True)
def short_polls(monkeypatch):
    monkeypatch.setattr(long_polling, 'POLL_TIMEOUT_S', 0.05)
    monkeypatch.setattr(long_polling, 'MIN_POLL_INTERVAL_S', 0.05)


async def test_shard_that_replies_early_is_not_polled_in_a_tight_loop(
    gateway, client
):
    gateway.reply = RUNNING
    response = await client.get('/v1/jobs/j?wait=0.2')
    assert response.json()['state'] == 'running'
    assert len(gateway.messages) <= 6


async def test_wait_continues_after_a_query_without_a_reply(gateway, client):
    gateway.reply = [RUNNING, NoReply('owner died'), FINISHED]
    response = await client.get('/v1/jobs/j?wait=60')
    assert response.json()['state'] == 'finished'


async def test_stopping_process_ends_a_wait(gateway, client):
    gateway.reply = RUNNING
    gateway.refusal = Refusal(RefusalKind.STOPPING, 'stop', 'try another')
    response = await client.get('/v1/jobs/j?wait=60')
    assert response.json()['state'] == 'running'


async def test_submission_with_a_wait_is_sent_once(gateway, client):
    queued = JobView('j', JobState.QUEUED, duplicate=True)
    gateway.reply = [queued, FINISHED]
    response = await client.post('/v1/jobs?wait=60', json=JOB)
    assert response.status_code == 200
    assert response.json()['duplicate'] is True
    assert response.json()['state'] == 'finished'
    submit, query = gateway.messages
    assert type(submit) is Submit
    assert query == Query('', 'j', query.wait_s)


async def test_submission_without_a_reply_has_an_unknown_effect(
    gateway, client
):
    gateway.reply = gateway.wait_and_echo
    problem = (await client.post('/v1/jobs', json=JOB)).json()
    assert (problem['status'], problem['state']) == (504, 'unknown')
    assert problem['job_id'] == gateway.messages[0].job_id
