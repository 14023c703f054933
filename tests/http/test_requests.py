"""Guards what callers of quick requests are told, and when."""

import pytest
from xxhash import xxh3_128_hexdigest

from sassafrasgate.core.errors import NoAnswer
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.identifiers import make_job_id
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Refused

pytestmark = pytest.mark.anyio

REQUEST = {'team': 'pages', 'payload': 'page 7', 'deadline_s': 2}


async def test_body_of_the_response_is_the_output_of_this_request(
    gateway, client
):
    async def answer(message):
        output = message.spec.payload * 2
        digest = xxh3_128_hexdigest(output)
        outcome = Outcome(
            JobState.FINISHED, '', output, 0, len(output), digest
        )
        return JobView(
            message.job_id, JobState.FINISHED, '', 1, ('h1',), outcome=outcome
        )

    gateway.answer = answer
    reply = await client.post('/v1/requests', json=REQUEST)
    submit = gateway.asked[0]
    assert reply.content == b'page 7page 7'
    assert reply.headers['x-job-id'] == submit.job_id
    assert reply.headers['x-attempt'] == '1'
    assert reply.headers['x-host'] == 'h1'
    assert submit.job_id == make_job_id('pages', submit.spec.key)
    assert submit.spec.job_class is JobClass.QUICK
    assert submit.wait_s == 2


async def test_requests_without_a_key_are_different_jobs(gateway, client):
    gateway.answer = NoAnswer('closed')
    for _ in range(2):
        await client.post('/v1/requests', json=REQUEST)
    first, second = gateway.asked
    assert first.job_id != second.job_id


@pytest.mark.parametrize(
    ('answer', 'key', 'status', 'state'),
    [
        (NoAnswer('closed'), '', 504, 'unknown'),
        (JobView('j', JobState.UNKNOWN), '', 504, 'unknown'),
        (JobView('j', JobState.RUNNING), '', 504, 'unknown'),
        (JobView('j', JobState.NOT_RUN), '', 503, 'not-run'),
        (JobView('j', JobState.FAILED), '', 502, 'failed'),
        (JobView('j', JobState.CANCELLED), '', 409, 'cancelled'),
        (Refusal(RefusalKind.NOT_OWNER, 'a', 'b'), '', 503, 'not-run'),
        (Refused(RefusalKind.OVERLOADED, 'a', 'b'), '', 503, 'not-run'),
        # A request with the same key may have run before.
        (Refusal(RefusalKind.NOT_OWNER, 'a', 'b'), 'k', 503, None),
        (Refused(RefusalKind.OVERLOADED, 'a', 'b'), 'k', 503, None),
    ],
)
async def test_failed_request_says_what_is_certain(
    gateway, client, answer, key, status, state
):
    gateway.answer = answer
    body = REQUEST | ({'key': key} if key else {})
    reply = await client.post('/v1/requests', json=body)
    assert (reply.status_code, reply.json().get('state')) == (status, state)
    assert reply.json()['job_id']


@pytest.mark.parametrize(
    'change',
    [{'class': 'batch'}, {'idempotent': False}, {'deadline_s': 1e6}],
)
async def test_only_idempotent_quick_work_is_taken(gateway, client, change):
    reply = await client.post('/v1/requests', json=REQUEST | change)
    assert reply.status_code == 400
    assert next(iter(change)) in reply.json()['faults'][0]
    assert gateway.asked == []
