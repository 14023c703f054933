"""Tests the decoding of workers' responses, which decides on repeated runs."""

from dataclasses import replace

from aiohttp import web
from anyio import create_task_group
from anyio import current_time
from anyio import sleep
import pytest

from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.workflows import EndedRun
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import HoldRequest
from sassafrasgate.core.workflows import RunningRun
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import RunRequest
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.platform.workers import PlatformWorkerClient
from tests.processes import find_free_address

START = RunRequest('j.0.0.0', 3, 'payload', 9_000, 4_000)


class FakeWorker:
    """Worker that sends the response that a test sets and records requests."""

    def __init__(self):
        self.status = 200
        self.body = {'clockMs': 1}
        self.text = ''
        self.delay_s = 0.0
        self.closes = False
        self.requests = []
        self.address = find_free_address()

    async def serve(self, request):
        self.requests.append(
            (
                request.path,
                request.headers.get('Expected-Instance'),
                await request.json(),
            )
        )
        await sleep(self.delay_s)
        response = web.json_response(self.body, status=self.status)
        if self.text:
            response = web.Response(text=self.text, status=self.status)
        if self.closes:
            response.force_close()
        return response

    async def start(self):
        """Listen on the worker's address."""
        application = web.Application()
        application.add_routes([web.post('/api/{call}', self.serve)])
        self.runner = web.AppRunner(application)
        await self.runner.setup()
        host, _, port = self.address.rpartition(':')
        await web.TCPSite(
            self.runner, host, int(port), reuse_address=True
        ).start()

    async def stop(self):
        """Close the listening socket and all connections."""
        await self.runner.cleanup()


@pytest.fixture
async def worker():
    standin = FakeWorker()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def client(worker):
    async with PlatformWorkerClient('i-1', worker.address, 0.5) as client:
        yield client


async def test_start_sends_worker_id_fencing_token_and_deadline(
    worker, client
):
    # Guards against a start that another worker at the address executes.
    assert await client.start(START) == RunReply(1)

    assert worker.requests == [
        (
            '/api/run-start',
            'i-1',
            {
                'task': 'j.0.0.0',
                'run': 3,
                'spec': 'payload',
                'deadlineMs': START.deadline_ms,
                'fencingToken': START.fencing_token,
            },
        )
    ]


@pytest.mark.parametrize(
    ('status', 'reason', 'refusal'),
    [
        (409, 'fence', StartRefusal.STALE_EPOCH),
        (409, 'old', StartRefusal.OLD_RUN),
        (409, 'late', StartRefusal.DEADLINE_PASSED),
        (409, 'room', StartRefusal.NO_ROOM),
        (409, 'ticket', StartRefusal.NO_TICKET),
        (409, 'a reason of a later version', StartRefusal.INVALID),
        (400, '', StartRefusal.INVALID),
        (421, '', StartRefusal.OTHER_INCARNATION),
        (503, '', StartRefusal.UNHEALTHY),
        (429, '', StartRefusal.UNHEALTHY),
    ],
)
async def test_refusal_is_decoded(worker, client, status, reason, refusal):
    worker.status = status
    worker.body = {'clockMs': 8, 'reason': reason}

    reply = await client.start(START)

    assert reply.refusal is refusal


@pytest.mark.parametrize('status', [302, 404, 500, 504])
async def test_other_status_leaves_the_effect_unknown(worker, client, status):
    # An error page of a proxy must not lead to a second run of the task.
    worker.status = status

    with pytest.raises(WorkerUnavailableError) as caught:
        await client.start(START)

    assert caught.value.sent


async def test_late_response_leaves_the_effect_unknown(worker, client):
    worker.delay_s = 1.0

    with pytest.raises(WorkerUnavailableError) as caught:
        await client.start(START)

    assert caught.value.sent


async def test_start_on_refused_connection_counts_as_not_sent():
    async with PlatformWorkerClient('i-1', find_free_address(), 0.5) as client:
        with pytest.raises(WorkerUnavailableError) as caught:
            await client.start(START)

    assert not caught.value.sent


async def test_hold_response_is_decoded(worker, client):
    worker.body = {
        'clockMs': 50,
        'born': 7,
        'running': [['j.0.0.0', 3, 'c1', 40, 100]],
        'ended': [[12, 'j.0.0.1', 1, 'lapsed', 'c2']],
    }

    report = await client.hold(HoldRequest(4_000, 11, 9_000, 200))

    assert report == WorkerReport(
        50,
        7,
        (RunningRun('j.0.0.0', 3, 'c1', 40, 100),),
        (EndedRun(12, 'j.0.0.1', 1, EndKind.LAPSED, 'c2'),),
    )


@pytest.mark.parametrize(
    'body',
    [
        {},
        {'clockMs': 10**30, 'running': [], 'ended': []},
        {'clockMs': 1, 'running': [], 'ended': [], 'born': 10**30},
        {'clockMs': 1, 'running': [[]], 'ended': []},
        {'clockMs': 1, 'running': [['t', 'x', '', 1]], 'ended': []},
        {'clockMs': 1, 'running': [['t', 1, None, 1]], 'ended': []},
        {'clockMs': 1, 'running': [['t', 1, '', '1']], 'ended': []},
        {'clockMs': 1, 'running': [['t', 1, '', 1, 'x']], 'ended': []},
        {'clockMs': 1, 'running': [], 'ended': [['a', 1, 2, 3, 4]]},
        {'clockMs': 1, 'running': [], 'ended': [[2**64, 't', 1, 'done', '']]},
        {'clockMs': 1, 'running': [], 'ended': [[1, 't', 1, 'vanished', '']]},
    ],
)
async def test_invalid_hold_response_raises(worker, client, body):
    # An invalid response must not be mistaken for that of an idle worker.
    worker.body = body

    with pytest.raises(WorkerUnavailableError, match='cannot decode'):
        await client.hold(HoldRequest(4_000, 11, 9_000, 0))


async def test_deeply_nested_response_raises(worker, client):
    # Guards against an error that ends the whole process.
    nested = '[' * 1_500 + ']' * 1_500
    worker.text = f'{{"clockMs": 1, "running": [], "x": {nested}}}'

    with pytest.raises(WorkerUnavailableError, match='cannot decode'):
        await client.hold(HoldRequest(4_000, 11, 9_000, 0))


@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1:x', '[::1']
)
async def test_call_to_an_invalid_address_was_not_sent(address):
    # Guards against an error that ends the whole process.
    async with PlatformWorkerClient('i-1', address, 0.5) as client:
        with pytest.raises(WorkerUnavailableError) as caught:
            await client.start(START)

    assert not caught.value.sent


async def test_id_that_no_header_can_hold_raises(worker):
    # Guards against an error that ends the whole process.
    async with PlatformWorkerClient('i\n1', worker.address, 0.5) as client:
        with pytest.raises(WorkerUnavailableError):
            await client.start(START)


async def test_hold_with_a_stale_fencing_token_is_refused(worker, client):
    worker.status = 409
    worker.body = {'clockMs': 1, 'reason': 'fence'}

    reply = await client.hold(HoldRequest(4_000, 0, 9_000, 0))

    assert reply is StartRefusal.STALE_EPOCH


REPORT = {'clockMs': 484_551, 'born': 1, 'running': [], 'ended': []}
GRANT = replace(START, deadline_ms=489_051, incarnation_ms=1)
RENEWAL = HoldRequest(4_000, 57, 489_051, 0, incarnation_ms=1)


async def serve_next_incarnation(worker):
    """End the worker's process and start it again at its address."""
    await worker.stop()
    worker.body = {**REPORT, 'clockMs': 10, 'born': 2}
    worker.requests.clear()
    await worker.start()


def list_grants(worker):
    """Return the requests that renew a lease or acknowledge ends."""
    return [
        (path, body)
        for path, _, body in worker.requests
        if body.get('deadlineMs') or body.get('ackCursor')
    ]


@pytest.mark.parametrize(('ends', 'complete'), [(499, True), (500, False)])
async def test_full_page_of_ends_may_not_be_all_of_them(
    worker, client, ends, complete
):
    # Guards against runs that count as gone because their ends are on a
    # later page.
    rows = [[n, 'j.0.0.0', n, 'done', ''] for n in range(1, ends + 1)]
    worker.body = {**REPORT, 'ended': rows}
    report = await client.hold(HoldRequest(4_000))
    assert report.lists_all_ends is complete


@pytest.mark.parametrize(
    ('method', 'request_'), [('start', GRANT), ('hold', RENEWAL)]
)
@pytest.mark.parametrize('connections', [0, 1, 4])
async def test_grant_never_reaches_the_next_incarnation(
    worker, client, method, request_, connections
):
    # Guards against a deadline on the clock of an ended incarnation, which
    # the next one takes as a lease of its full length, and against its ends
    # being acknowledged by numbers of the earlier list.
    worker.body = REPORT
    worker.delay_s = 0.05
    async with create_task_group() as group:
        for _ in range(connections):
            group.start_soon(client.hold, HoldRequest(4_000))
    worker.delay_s = 0.0
    await serve_next_incarnation(worker)

    with pytest.raises(WorkerUnavailableError) as caught:
        await getattr(client, method)(request_)

    assert not caught.value.sent
    assert list_grants(worker) == []


async def test_grant_is_sent_on_connections_of_its_incarnation(worker, client):
    # Guards against starts that wait behind a long poll, and against a look
    # at the worker before each of them.
    worker.body = REPORT
    await client.hold(HoldRequest(4_000))
    for _ in range(5):
        await client.start(GRANT)
    assert [path for path, _, _ in worker.requests] == [
        '/api/hold',
        *(['/api/run-start'] * 5),
    ]


async def test_grant_on_a_new_connection_first_identifies_the_worker(
    worker, client
):
    worker.body = REPORT
    assert await client.start(GRANT) == RunReply(484_551)
    paths = [path for path, _, _ in worker.requests]
    assert paths == ['/api/hold', '/api/run-start']
    assert worker.requests[0][2] == {'fencingToken': 4_000, 'ackCursor': 0}


async def test_refused_identification_refuses_the_start(worker, client):
    # Guards against a start that is sent to a worker which obeys a newer
    # owner, or that counts as unanswered though it was never sent.
    worker.status = 409
    worker.body = {'clockMs': 8, 'reason': 'fence'}
    reply = await client.start(GRANT)
    assert reply.refusal is StartRefusal.STALE_EPOCH
    assert list_grants(worker) == []


async def test_grants_reach_a_worker_that_closes_each_connection(
    worker, client
):
    # Guards against a worker that gets no starts and no renewals because no
    # connection to it outlives the response that identifies it.
    worker.body = REPORT
    worker.closes = True
    for _ in range(3):
        assert (await client.start(GRANT)).refusal is None
    await client.hold(RENEWAL)
    paths = [path for path, _, _ in worker.requests]
    assert paths == ['/api/hold', '/api/run-start'] * 3 + ['/api/hold'] * 2


async def test_connections_of_ended_incarnations_are_closed(worker, client):
    # Guards against memory that grows with each restart of a worker.
    for born in range(1, 6):
        worker.body = {**REPORT, 'born': born}
        grant = replace(GRANT, incarnation_ms=born)
        async with create_task_group() as group:
            for _ in range(4):
                group.start_soon(client.start, grant)
        await worker.stop()
        await worker.start()
    assert client.idle_connections <= 4


async def test_identification_without_reply_leaves_the_start_unsent(
    worker, client
):
    # Guards against a run that is stopped at length though its start was
    # never sent.
    worker.delay_s = 1.0
    with pytest.raises(WorkerUnavailableError) as caught:
        await client.start(GRANT)
    assert not caught.value.sent
    assert list_grants(worker) == []


async def test_call_does_not_wait_for_long_behind_calls_without_reply(
    worker, client
):
    # Guards against polls that come late, and leases that run out, behind
    # many starts that a worker does not answer.
    worker.body = REPORT
    worker.delay_s = 1.0
    waits_s = []

    async def call():
        began = current_time()
        with pytest.raises(WorkerUnavailableError):
            await client.start(GRANT)
        waits_s.append(current_time() - began)

    async with create_task_group() as group:
        for _ in range(64):
            group.start_soon(call)
    assert max(waits_s) < 1.5
