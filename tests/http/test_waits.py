"""Guards waits against spinning, outliving a stop, or losing the job."""

import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http import waits
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
    return Limits(answer_timeout_s=0.2, answer_margin_s=0.1)


@pytest.fixture(autouse=True)
def short_slices(monkeypatch):
    monkeypatch.setattr(waits, 'WAIT_SLICE_S', 0.05)
    monkeypatch.setattr(waits, 'MIN_PAUSE_S', 0.05)


async def test_shard_that_answers_early_is_not_asked_in_a_tight_loop(
    gateway, client
):
    gateway.answer = RUNNING
    reply = await client.get('/v1/jobs/j?wait=0.2')
    assert reply.json()['state'] == 'running'
    assert len(gateway.asked) <= 6


async def test_wait_goes_on_after_a_question_without_an_answer(
    gateway, client
):
    gateway.answer = [RUNNING, NoReply('owner died'), FINISHED]
    reply = await client.get('/v1/jobs/j?wait=60')
    assert reply.json()['state'] == 'finished'


async def test_stop_of_the_process_ends_a_wait(gateway, client):
    gateway.answer = RUNNING
    gateway.refusal = Refusal(RefusalKind.STOPPING, 'stop', 'try another')
    reply = await client.get('/v1/jobs/j?wait=60')
    assert reply.json()['state'] == 'running'


async def test_submission_that_waits_is_sent_once(gateway, client):
    queued = JobView('j', JobState.QUEUED, duplicate=True)
    gateway.answer = [queued, FINISHED]
    reply = await client.post('/v1/jobs?wait=60', json=JOB)
    assert reply.status_code == 200
    assert reply.json()['duplicate'] is True
    assert reply.json()['state'] == 'finished'
    submit, query = gateway.asked
    assert type(submit) is Submit
    assert query == Query('', 'j', query.wait_s)


async def test_silent_gateway_makes_the_effect_unknown(gateway, client):
    gateway.answer = gateway.hold
    problem = (await client.post('/v1/jobs', json=JOB)).json()
    assert (problem['status'], problem['state']) == (504, 'unknown')
    assert problem['job_id'] == gateway.asked[0].job_id
