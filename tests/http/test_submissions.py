"""Guards responses to submitted jobs and quick requests.

A response must not claim that a job has not run unless that is certain.
"""

import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind as Kind
from sassafrasgate.core.identifiers import make_job_id
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.protocol.messages import Cancel
from sassafrasgate.protocol.messages import Explain
from sassafrasgate.protocol.messages import Explanation
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Query
from sassafrasgate.protocol.messages import Refused
from tests.http.gateways import echo

pytestmark = pytest.mark.anyio

JOB = {'team': 'orders', 'key': '17', 'payload': 'cask'}
JOB_ID = make_job_id('orders', '17')
REQUEST = {'team': 'pages', 'payload': 'page 7', 'deadline_s': 2}


async def test_new_job_is_accepted_with_its_location(gateway, client):
    gateway.reply = JobView(JOB_ID, JobState.QUEUED, reason='no room')
    response = await client.post('/v1/jobs', json=JOB)
    assert response.status_code == 202
    assert response.headers['location'] == f'/v1/jobs/{JOB_ID}'
    assert response.json()['reason'] == 'no room'
    assert gateway.messages[0].spec.payload == b'cask'
    assert gateway.messages[0].job_id == JOB_ID


async def test_duplicate_key_returns_the_same_job(gateway, client):
    gateway.reply = JobView(JOB_ID, JobState.RUNNING, duplicate=True)
    response = await client.post('/v1/jobs', json=JOB)
    assert (response.status_code, response.json()['job_id']) == (200, JOB_ID)


@pytest.mark.parametrize('path', ['/v1/jobs', '/v1/requests'])
@pytest.mark.parametrize(
    ('reply', 'status', 'state'),
    [
        (NoReply('link closed'), 504, 'unknown'),
        (JobView(JOB_ID, JobState.NOT_RUN), 503, 'not-run'),
        (Refused(Kind.DEADLINE, 'a', 'b'), 503, 'not-run'),
        (Refused(Kind.FITS_NOWHERE, 'a', 'b'), 422, 'not-run'),
        # An earlier submission with the same key may have run, so these
        # responses must not claim that the job has not run.
        (Refused(Kind.CONFLICT, 'a', 'b'), 409, None),
        (Refused(Kind.NOT_OWNER, 'a', 'b'), 503, None),
        (Refused(Kind.OVERLOADED, 'a', 'b'), 503, None),
        (Refusal(Kind.DEADLINE, 'a', 'b'), 503, None),
        (Refusal(Kind.OVERLOADED, 'a', 'b'), 503, None),
    ],
)
async def test_not_run_is_claimed_only_when_certain(
    gateway, client, path, reply, status, state
):
    gateway.reply = reply
    response = await client.post(path, json=JOB)
    assert response.headers['content-type'] == 'application/problem+json'
    problem = response.json()
    assert (response.status_code, problem.get('state')) == (status, state)
    assert (problem['status'], problem['job_id']) == (status, JOB_ID)
    assert problem['remedy']
    assert ('retry-after' in response.headers) == (status == 503)


async def test_all_faults_are_reported_and_nothing_is_sent(gateway, client):
    body = {
        'team': '',
        'class': 'quick',
        'tasks': True,
        'resources': {'cores': -1, 'slots': 0, 'gpus': 1},
        'deadline_s': -1,
        'payload_base64': '!',
        'colour': 'red',
    }
    response = await client.post('/v1/jobs', json=body)
    assert response.status_code == 400
    faults = sorted(fault.split(':')[0] for fault in response.json()['faults'])
    assert ' '.join(faults) == (
        'class colour deadline_s key payload_base64 resources.cores '
        'resources.gpus resources.slots tasks team'
    )
    assert gateway.messages == []


async def test_cancel_and_explanation_reach_the_home_shard(gateway, client):
    gateway.reply = JobView('j1', JobState.CANCELLED)
    response = await client.delete('/v1/jobs/j1')
    assert response.json()['state'] == 'cancelled'
    gateway.reply = Explanation('j1', JobState.QUEUED, ('no room', 'h1'))
    response = await client.get('/v1/jobs/j1/explanation')
    assert response.json()['lines'] == ['no room', 'h1']
    gateway.reply = Refused(Kind.NOT_FOUND, 'no job', 'check the id')
    assert (await client.get('/v1/jobs/j1')).status_code == 404
    expected = [Cancel('', 'j1'), Explain('', 'j1'), Query('', 'j1')]
    assert gateway.messages == expected


async def test_response_body_is_the_output_of_the_request(gateway, client):
    gateway.reply = echo
    response = await client.post('/v1/requests', json=REQUEST)
    submit = gateway.messages[0]
    assert response.content == b'page 7'
    assert response.headers['x-job-id'] == submit.job_id
    assert response.headers['x-attempt'] == '1'
    assert response.headers['x-host'] == 'h1'
    assert submit.job_id == make_job_id('pages', submit.spec.key)
    assert submit.spec.job_class is JobClass.QUICK
    assert submit.wait_s == 2
    await client.post('/v1/requests', json=REQUEST)
    assert gateway.messages[1].job_id != submit.job_id


@pytest.mark.parametrize(
    ('reply', 'status', 'state'),
    [
        (JobView('j', JobState.UNKNOWN), 504, 'unknown'),
        (JobView('j', JobState.RUNNING), 504, 'unknown'),
        (JobView('j', JobState.FAILED), 502, 'failed'),
        (JobView('j', JobState.CANCELLED), 409, 'cancelled'),
        # The key was generated for this request, so no earlier request with
        # the same key can have run.
        (Refusal(Kind.NOT_OWNER, 'a', 'b'), 503, 'not-run'),
        (Refused(Kind.OVERLOADED, 'a', 'b'), 503, 'not-run'),
    ],
)
async def test_request_without_output_reports_the_state_of_its_job(
    gateway, client, reply, status, state
):
    gateway.reply = reply
    response = await client.post('/v1/requests', json=REQUEST)
    assert (response.status_code, response.json()['state']) == (status, state)
    assert response.json()['job_id']


@pytest.mark.parametrize(
    'change',
    [{'class': 'batch'}, {'idempotent': False}, {'deadline_s': 1e6}],
)
async def test_quick_request_must_be_idempotent_and_short(
    gateway, client, change
):
    response = await client.post('/v1/requests', json=REQUEST | change)
    assert response.status_code == 400
    assert next(iter(change)) in response.json()['faults'][0]
    assert gateway.messages == []
