"""Guards what callers are told: a refusal only of what never runs."""

from json import dumps

from httpx import ASGITransport
from httpx import AsyncClient
from logbook import Logger
import pytest

from sassafrasgate.core.errors import NoAnswer
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.platform.callers import CallerApplication
from sassafrasgate.platform.callers import MOST_BODY_BYTES
from sassafrasgate.platform.callers import read_workflow
from sassafrasgate.platform.callers import ReadyApplication
from sassafrasgate.protocol.workflows import PendingCount
from sassafrasgate.protocol.workflows import WorkflowView

JOB = '0123456789abcdef'
QUEUE = Queue('q', 'h.example', '/q/', 'pool')
STEP = {'count': 2, 'cpu': 500, 'memMb': 64, 'estimateMs': 200}
BODY = {'spec': 'payload', 'steps': [STEP]}


class Gateway:
    """Answers each request with what a test has set."""

    def __init__(self):
        self.answer = WorkflowView(JOB, WorkflowState.QUEUED, 1)
        self.ready = None
        self.calls = []

    def is_ready(self):
        return self.ready

    def find_queue(self, host, path):
        if host != QUEUE.host or not path.startswith(QUEUE.prefix):
            return Refusal(RefusalKind.NOT_FOUND, 'no queue', 'check it')
        return QUEUE

    async def submit(self, queue, job_id, workflow, timeout_s):
        self.calls.append(('submit', job_id, workflow, timeout_s))
        return self.answer

    async def query(self, job_id, timeout_s):
        self.calls.append(('query', job_id, timeout_s))
        return self.answer

    async def cancel(self, job_id, timeout_s):
        self.calls.append(('cancel', job_id, timeout_s))
        return self.answer

    async def count(self, queue, timeout_s):
        self.calls.append(('count', queue.name, timeout_s))
        return self.answer


@pytest.fixture
def gateway():
    return Gateway()


@pytest.fixture
async def client(gateway):
    application = CallerApplication(gateway, Logger('test'))
    async with AsyncClient(
        transport=ASGITransport(application), base_url='http://h.example'
    ) as found:
        yield found


async def test_accepted_job_is_answered_with_200(client, gateway):
    answer = await client.post(f'/q/{JOB}', content=dumps(BODY))

    assert answer.status_code == 200
    (call,) = gateway.calls
    assert call[:2] == ('submit', JOB)
    assert call[2].payload == 'payload'
    assert call[2].steps[0].demand == Resources(500, 64)


@pytest.mark.parametrize(
    ('kind', 'status'),
    [
        (RefusalKind.OVERLOADED, 429),
        (RefusalKind.STORE_UNAVAILABLE, 503),
        (RefusalKind.STOPPING, 503),
        (RefusalKind.NOT_OWNER, 503),
    ],
)
async def test_refusal_says_when_to_come_back(client, gateway, kind, status):
    gateway.answer = Refusal(kind, 'reason', 'ask again')

    answer = await client.post(f'/q/{JOB}', content=dumps(BODY))

    assert answer.status_code == status
    assert float(answer.headers['retry-after']) > 0
    assert 'ask again' in answer.json()['error']


@pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])
async def test_unknown_effect_is_no_refusal(client, gateway, method):
    # Guards against "not run" of a job that may have been accepted.
    gateway.answer = NoAnswer('the owner went silent')

    answer = await client.request(method, f'/q/{JOB}', content=dumps(BODY))

    assert answer.status_code == 504


async def test_state_is_shown(client, gateway):
    gateway.answer = WorkflowView(JOB, WorkflowState.COMPLETED, 1)
    answer = await client.get(f'/q/{JOB}')
    assert answer.json() == {'state': 'completed'}

    gateway.answer = WorkflowView(JOB, None, 1)
    assert (await client.get(f'/q/{JOB}')).status_code == 410
    assert (await client.delete(f'/q/{JOB}')).status_code == 410


async def test_pending_jobs_are_counted(client, gateway):
    gateway.answer = PendingCount('q', 7)

    assert (await client.get('/q/')).json() == {'pending': 7}


async def test_answer_comes_before_the_callers_deadline(client, gateway):
    # Guards against an answer that nobody waits for any longer.
    await client.get(f'/q/{JOB}', headers={'Request-Deadline': '500'})

    assert 0.3 < gateway.calls[0][2] < 0.5


@pytest.mark.parametrize(
    ('method', 'url', 'status'),
    [
        ('PUT', f'/q/{JOB}', 405),
        ('POST', f'/unknown/{JOB}', 404),
        ('POST', '/q/not-an-id', 400),
        ('POST', '/q/', 400),
    ],
)
async def test_bad_request_is_refused(client, gateway, method, url, status):
    answer = await client.request(method, url, content=dumps(BODY))

    assert answer.status_code == status
    assert answer.json()['error']
    assert not gateway.calls


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'\xff',
        b'[]',
        dumps({'spec': 'x', 'steps': []}).encode(),
        dumps({'spec': 7, 'steps': [STEP]}).encode(),
        dumps({'spec': 'x', 'steps': [{**STEP, 'count': 0}]}).encode(),
        dumps({'spec': 'x', 'steps': [{**STEP, 'count': 10**9}]}).encode(),
        dumps({'spec': 'x', 'steps': [{**STEP, 'after': [0]}]}).encode(),
        dumps({'spec': 'x', 'steps': [{**STEP, 'after': [-1]}]}).encode(),
        b' ' * (MOST_BODY_BYTES + 1),
    ],
)
def test_bad_body_is_refused_with_a_reason(body):
    # Guards against accepting a job that can never end.
    refusal = read_workflow(body)

    assert isinstance(refusal, Refusal)
    assert refusal.kind is RefusalKind.INVALID
    assert refusal.reason


async def test_readiness_tells_the_reason(gateway):
    application = ReadyApplication(gateway)
    async with AsyncClient(
        transport=ASGITransport(application), base_url='http://h'
    ) as client:
        assert (await client.get('/api/readyz')).status_code == 200
        gateway.ready = Refusal(RefusalKind.NOT_READY, 'no table', 'wait')
        answer = await client.get('/api/readyz')
        assert answer.status_code == 503
        assert 'no table' in answer.json()['error']
        assert (await client.get('/else')).status_code == 404


@pytest.mark.parametrize(
    'name',
    ['cpu', 'memMb', 'gpu', 'estimateMs', 'antiAffinity', 'mayMiss'],
)
def test_negative_amount_is_refused(name):
    # Guards against a demand that makes room on a worker that has none.
    body = dumps({'spec': 'x', 'steps': [{**STEP, name: -1}]})

    assert isinstance(read_workflow(body.encode()), Refusal)


@pytest.mark.parametrize('name', ['repeats', 'startAtMs', 'intervalMs'])
def test_negative_time_is_refused(name):
    assert isinstance(
        read_workflow(dumps({**BODY, name: -1}).encode()), Refusal
    )
