"""Guards what callers are told: a refusal only of what never runs."""

from json import dumps

from httpx import ASGITransport
from httpx import AsyncClient
from logbook import Logger
from logbook import TestHandler as Recorder
import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.platform.callers import CallerApplication
from sassafrasgate.platform.callers import MAX_BODY_BYTES
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

    version = 3

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
    application = CallerApplication(gateway, Logger('test'), Metrics())
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
    gateway.answer = NoReply('the owner went silent')

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
        b' ' * (MAX_BODY_BYTES + 1),
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


async def test_a_failed_request_leaves_a_line_with_its_cause(client, gateway):
    # Guards against a complaint that nobody can explain afterwards.
    gateway.answer = NoReply('the owner has not answered in 0.7 s')
    with Recorder() as handler:
        await client.post(
            f'/q/{JOB}', json=BODY, headers={'Request-Deadline': '900'}
        )

    (record,) = handler.records
    assert record.message == 'caller-refused'
    facts = dict(record.extra['facts'])
    assert facts['job'] == JOB
    assert facts['status'] == 504
    assert facts['reason'] == gateway.answer.reason
    assert facts['table'] == gateway.version
    assert facts['deadline_ms'] == '900'
    assert facts['took_ms'] >= 0


async def test_a_request_for_an_unknown_route_leaves_a_line(client):
    # Guards against a 404 after a change of the table without a trace.
    with Recorder() as handler:
        await client.get(f'/unknown/{JOB}')

    (record,) = handler.records
    assert dict(record.extra['facts'])['status'] == 404


async def test_a_served_request_leaves_no_line_here(client):
    # Guards against a line for each look; the owner logs its decisions.
    with Recorder() as handler:
        await client.get(f'/q/{JOB}')

    assert not handler.records


async def test_requests_are_counted_by_method_and_status(gateway):
    # Guards against an outage that no counter of the callers' interface
    # shows.
    metrics = Metrics()
    application = CallerApplication(gateway, Logger('test'), metrics)
    transport = ASGITransport(application)
    async with AsyncClient(
        transport=transport, base_url=f'http://{QUEUE.host}'
    ) as client:
        await client.get(f'/q/{JOB}')
        await client.post('/q/not-an-id', json=BODY)

    text = metrics.render().decode()
    assert 'route="callers GET",status="200"' in text
    assert 'route="callers POST",status="400"' in text
    assert 'http_request_seconds_count' in text
