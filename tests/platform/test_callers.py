"""Tests the callers' interface, which refuses only what has had no effect."""

from json import dumps

from httpx import ASGITransport
from httpx import AsyncClient
from logbook import Logger
from logbook import TestHandler as LogRecorder
import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.platform.callers import CallerApplication
from sassafrasgate.platform.callers import ReadyApplication
from sassafrasgate.platform.jobs import MAX_BODY_BYTES
from sassafrasgate.platform.jobs import read_workflow
from sassafrasgate.protocol.workflows import PendingCount
from sassafrasgate.protocol.workflows import WorkflowView

JOB = '0123456789abcdef'
QUEUE = Queue('q', 'h.example', '/q/', 'pool')
STEP = {'count': 2, 'cpu': 500, 'memMb': 64, 'estimateMs': 200}
BODY = {'spec': 'payload', 'steps': [STEP]}


class Gateway:
    """Replies to each request with the reply that the test has set."""

    version = 3

    def __init__(self):
        self.reply = WorkflowView(JOB, WorkflowState.QUEUED, 1)
        self.ready = None
        self.calls = []
        self.tenant = ''
        self.keys = []

    def check_readiness(self):
        return self.ready

    def find_queue(self, host, path):
        if host != QUEUE.host or not path.startswith(QUEUE.prefix):
            return Refusal(RefusalKind.NOT_FOUND, 'no queue', 'check it')
        return QUEUE

    def identify_tenant(self, queue, key):
        self.keys.append(key)
        return self.tenant

    async def submit(self, queue, tenant, job_id, workflow, timeout_s):
        self.calls.append(('submit', job_id, workflow, timeout_s))
        return self.reply

    async def query(self, tenant, job_id, timeout_s):
        self.calls.append(('query', job_id, timeout_s))
        return self.reply

    async def cancel(self, tenant, job_id, timeout_s):
        self.calls.append(('cancel', job_id, timeout_s))
        return self.reply

    async def count(self, queue, timeout_s):
        self.calls.append(('count', queue.name, timeout_s))
        return self.reply


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


async def test_accepted_job_returns_200(client, gateway):
    response = await client.post(f'/q/{JOB}', content=dumps(BODY))

    assert response.status_code == 200
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
async def test_refusal_has_a_retry_after_header(client, gateway, kind, status):
    gateway.reply = Refusal(kind, 'reason', 'ask again')

    response = await client.post(f'/q/{JOB}', content=dumps(BODY))

    assert response.status_code == status
    assert float(response.headers['retry-after']) > 0
    assert 'ask again' in response.json()['error']


async def test_retry_after_is_the_time_until_the_owner_can_serve(
    client, gateway
):
    # Guards against callers that return while there is no room for them yet.
    gateway.reply = Refusal(RefusalKind.OVERLOADED, 'late', 'wait', 2_300)
    response = await client.post(f'/q/{JOB}', json=BODY)

    assert response.headers['Retry-After'] == '3'


@pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE'])
async def test_unknown_effect_returns_504(client, gateway, method):
    # A refusal would say "not run" of a job that may have been accepted.
    gateway.reply = NoReply('the owner went silent')

    response = await client.request(method, f'/q/{JOB}', content=dumps(BODY))

    assert response.status_code == 504


async def test_job_state_is_returned(client, gateway):
    gateway.reply = WorkflowView(JOB, WorkflowState.COMPLETED, 1)
    response = await client.get(f'/q/{JOB}')
    assert response.json() == {'state': 'completed'}

    gateway.reply = WorkflowView(JOB, None, 1)
    assert (await client.get(f'/q/{JOB}')).status_code == 410
    assert (await client.delete(f'/q/{JOB}')).status_code == 410


async def test_pending_jobs_are_counted(client, gateway):
    gateway.reply = PendingCount('q', 7)

    assert (await client.get('/q/')).json() == {'pending': 7}


async def test_timeout_is_shorter_than_the_callers_deadline(client, gateway):
    # Guards against a response after the caller has stopped waiting.
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
    response = await client.request(method, url, content=dumps(BODY))

    assert response.status_code == status
    assert response.json()['error']
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


async def test_readiness_response_has_the_reason(gateway):
    application = ReadyApplication(gateway)
    async with AsyncClient(
        transport=ASGITransport(application), base_url='http://h'
    ) as client:
        assert (await client.get('/api/readyz')).status_code == 200
        gateway.ready = Refusal(RefusalKind.NOT_READY, 'no table', 'wait')
        response = await client.get('/api/readyz')
        assert response.status_code == 503
        assert 'no table' in response.json()['error']
        assert (await client.get('/else')).status_code == 404


@pytest.mark.parametrize(
    'name',
    ['cpu', 'memMb', 'gpu', 'estimateMs', 'antiAffinity', 'mayMiss'],
)
def test_negative_amount_is_refused(name):
    # A negative demand would add free capacity to a full worker.
    body = dumps({'spec': 'x', 'steps': [{**STEP, name: -1}]})

    assert isinstance(read_workflow(body.encode()), Refusal)


@pytest.mark.parametrize('name', ['repeats', 'startAtMs', 'intervalMs'])
def test_negative_time_is_refused(name):
    assert isinstance(
        read_workflow(dumps({**BODY, name: -1}).encode()), Refusal
    )


async def test_failed_request_is_logged_with_its_cause(client, gateway):
    # Without the log line a caller's complaint could not be explained later.
    gateway.reply = NoReply('the owner has not answered in 0.7 s')
    with LogRecorder() as handler:
        await client.post(
            f'/q/{JOB}', json=BODY, headers={'Request-Deadline': '900'}
        )

    (record,) = handler.records
    assert record.message == 'request-failed'
    fields = dict(record.extra['event_fields'])
    assert fields['job'] == JOB
    assert fields['status'] == 504
    assert fields['reason'] == gateway.reply.reason
    assert fields['table_version'] == gateway.version
    assert fields['deadline_ms'] == '900'
    assert fields['took_ms'] >= 0


async def test_request_for_an_unknown_route_is_logged(client):
    # A change of the routing table can cause a 404, which must be traceable.
    with LogRecorder() as handler:
        await client.get(f'/unknown/{JOB}')

    (record,) = handler.records
    assert dict(record.extra['event_fields'])['status'] == 404


async def test_successful_request_is_not_logged(client):
    # Polls would flood the log; the owner logs its decisions itself.
    with LogRecorder() as handler:
        await client.get(f'/q/{JOB}')

    assert not handler.records


async def test_requests_are_counted_by_method_and_status(gateway):
    # Guards against an outage that does not show in the request counters.
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


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('request-deadline', '9' * 5_000),
        ('request-deadline', '1e3'),
        ('request-deadline', '-5'),
        ('request-deadline', '٣'.encode()),
    ],
)
async def test_odd_deadline_is_replaced_by_the_default(
    client, gateway, name, value
):
    # Guards against a request that fails by its headers.
    response = await client.get(f'/q/{JOB}', headers={name: value})

    assert response.status_code == 200
    assert gateway.calls[0][2] > 0


@pytest.mark.parametrize('host', ['[::1', ':::', 'a b', '\x7f'])
async def test_odd_host_has_no_queue(client, host):
    # Guards against an error of the parser of URLs.
    response = await client.get(f'/q/{JOB}', headers={'host': host})

    assert response.status_code == 404


async def test_unexpected_error_leaves_the_effect_unknown(client, gateway):
    # Guards against a status that tells the caller that its job did not run.
    gateway.submit = None

    response = await client.post(f'/q/{JOB}', content=dumps(BODY))

    assert response.status_code == 504


@pytest.mark.parametrize(
    ('header', 'key'),
    [
        ('Bearer key-1', 'key-1'),
        ('bearer  key-1 ', 'key-1'),
        ('Basic key-1', None),
        ('key-1', None),
        ('', None),
    ],
)
async def test_key_is_read_from_the_head(client, gateway, header, key):
    await client.get(f'/q/{JOB}', headers={'Authorization': header})

    assert gateway.keys == [key]


async def test_call_without_a_known_key_is_denied_before_its_body(
    client, gateway
):
    # Guards against reading the bodies of callers that have no account.
    gateway.tenant = Refusal(RefusalKind.UNAUTHENTICATED, 'no key', 'send one')

    async def send_body():
        yield b'{'
        raise AssertionError('the body was read')

    response = await client.post(f'/q/{JOB}', content=send_body())

    assert response.status_code == 401
    assert response.headers['WWW-Authenticate'] == 'Bearer'
    assert not gateway.calls


async def test_workflow_of_another_tenant_returns_403(client, gateway):
    gateway.reply = Refusal(RefusalKind.FORBIDDEN, 'other', 'use its key')

    assert (await client.get(f'/q/{JOB}')).status_code == 403
    assert (await client.delete(f'/q/{JOB}')).status_code == 403
