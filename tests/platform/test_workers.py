"""Guards the meaning of workers' answers, which decides on second runs."""

from aiohttp import web
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


class Worker:
    """A worker that answers as a test has it, and remembers requests."""

    def __init__(self):
        self.status = 200
        self.body = {'clockMs': 1}
        self.delay_s = 0.0
        self.requests = []

    async def serve(self, request):
        self.requests.append(
            (
                request.path,
                request.headers.get('Expected-Instance'),
                await request.json(),
            )
        )
        await sleep(self.delay_s)
        return web.json_response(self.body, status=self.status)


@pytest.fixture
async def worker():
    standin = Worker()
    application = web.Application()
    application.add_routes([web.post('/api/{call}', standin.serve)])
    runner = web.AppRunner(application)
    await runner.setup()
    address = find_free_address()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
    standin.address = address
    yield standin
    await runner.cleanup()


@pytest.fixture
async def orders(worker):
    async with PlatformWorkerClient('i-1', worker.address, 0.5) as client:
        yield client


async def test_start_names_the_worker_the_fence_and_the_deadline(
    worker, orders
):
    # Guards against a start that another worker at the address carries out.
    assert await orders.start(START) == RunReply(1)

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
async def test_refusal_is_told(worker, orders, status, reason, refusal):
    worker.status = status
    worker.body = {'clockMs': 8, 'reason': reason}

    answer = await orders.start(START)

    assert answer.refusal is refusal


@pytest.mark.parametrize('status', [302, 404, 500, 504])
async def test_other_status_says_nothing_about_the_run(worker, orders, status):
    # Guards against a second run after a proxy's error page.
    worker.status = status

    with pytest.raises(WorkerUnavailableError) as caught:
        await orders.start(START)

    assert caught.value.sent


async def test_late_answer_says_nothing_about_the_run(worker, orders):
    worker.delay_s = 1.0

    with pytest.raises(WorkerUnavailableError) as caught:
        await orders.start(START)

    assert caught.value.sent


async def test_refused_connection_has_certainly_not_started():
    async with PlatformWorkerClient('i-1', find_free_address(), 0.5) as orders:
        with pytest.raises(WorkerUnavailableError) as caught:
            await orders.start(START)

    assert not caught.value.sent


async def test_lists_become_a_report(worker, orders):
    worker.body = {
        'clockMs': 50,
        'born': 7,
        'running': [['j.0.0.0', 3, 'c1', 40, 100]],
        'ended': [[12, 'j.0.0.1', 1, 'lapsed', 'c2']],
    }

    report = await orders.hold(HoldRequest(4_000, 11, 9_000, 200))

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
        {'clockMs': 1, 'running': [[]], 'ended': []},
        {'clockMs': 1, 'running': [], 'ended': [[1, 't', 1, 'vanished', '']]},
    ],
)
async def test_damaged_lists_are_no_report(worker, orders, body):
    # Guards against taking a damaged list for an empty worker.
    worker.body = body

    with pytest.raises(WorkerUnavailableError, match='cannot decode'):
        await orders.hold(HoldRequest(4_000, 11, 9_000, 0))


async def test_hold_of_another_owner_is_a_refusal(worker, orders):
    worker.status = 409
    worker.body = {'clockMs': 1, 'reason': 'fence'}

    answer = await orders.hold(HoldRequest(4_000, 0, 9_000, 0))

    assert answer is StartRefusal.STALE_EPOCH
