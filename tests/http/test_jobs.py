"""Guards what callers are told about their jobs."""

import pytest

from sassafrasgate.core.errors import NoAnswer
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.identifiers import make_job_id
from sassafrasgate.core.jobs import JobState
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Refused

pytestmark = pytest.mark.anyio

JOB = {'team': 'orders', 'key': '17', 'payload': 'cask'}
JOB_ID = make_job_id('orders', '17')


async def test_new_job_is_accepted_with_its_location(gateway, client):
    gateway.answer = JobView(JOB_ID, JobState.QUEUED, reason='no room')
    reply = await client.post('/v1/jobs', json=JOB)
    assert reply.status_code == 202
    assert reply.headers['location'] == f'/v1/jobs/{JOB_ID}'
    assert reply.json()['reason'] == 'no room'
    assert gateway.asked[0].spec.payload == b'cask'
    assert gateway.asked[0].job_id == JOB_ID


async def test_duplicate_key_is_the_same_job(gateway, client):
    gateway.answer = JobView(JOB_ID, JobState.RUNNING, duplicate=True)
    reply = await client.post('/v1/jobs', json=JOB)
    assert (reply.status_code, reply.json()['job_id']) == (200, JOB_ID)


@pytest.mark.parametrize(
    ('answer', 'status', 'state'),
    [
        (NoAnswer('link closed'), 504, 'unknown'),
        (JobView(JOB_ID, JobState.NOT_RUN), 503, 'not-run'),
        (Refused(RefusalKind.DEADLINE, 'a', 'b'), 503, 'not-run'),
        (Refused(RefusalKind.FITS_NOWHERE, 'a', 'b'), 422, 'not-run'),
        # An earlier submission with the key may have run, so these must
        # not claim that the job has not.
        (Refused(RefusalKind.CONFLICT, 'a', 'b'), 409, None),
        (Refused(RefusalKind.NOT_OWNER, 'a', 'b'), 503, None),
        (Refusal(RefusalKind.DEADLINE, 'a', 'b'), 503, None),
        (Refusal(RefusalKind.OVERLOADED, 'a', 'b'), 503, None),
    ],
)
async def test_not_run_is_claimed_only_when_certain(
    gateway, client, answer, status, state
):
    gateway.answer = answer
    reply = await client.post('/v1/jobs', json=JOB)
    assert reply.headers['content-type'] == 'application/problem+json'
    problem = reply.json()
    assert (reply.status_code, problem.get('state')) == (status, state)
    assert problem['status'] == status
    assert problem['job_id'] == JOB_ID
    assert problem['remedy']
    assert ('retry-after' in reply.headers) == (status == 503)


async def test_all_faults_are_named_and_nothing_is_sent(gateway, client):
    body = {
        'team': '',
        'class': 'quick',
        'tasks': True,
        'resources': {'cores': -1, 'slots': 0, 'gpus': 1},
        'deadline_s': -1,
        'payload_base64': '!',
        'colour': 'red',
    }
    reply = await client.post('/v1/jobs', json=body)
    assert reply.status_code == 400
    faults = {fault.split(':')[0] for fault in reply.json()['faults']}
    assert faults == {
        'team',
        'key',
        'class',
        'tasks',
        'resources.cores',
        'resources.slots',
        'resources.gpus',
        'deadline_s',
        'payload_base64',
        'colour',
    }
    assert gateway.asked == []
