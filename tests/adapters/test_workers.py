"""Tests fencing, leases and replies of workers through their client.

These are also tests of the stand-in, since failure tests rely on its record.
"""

from dataclasses import replace
from functools import partial
from itertools import count

from anyio import create_task_group
from anyio import sleep
from anyio import to_thread
import pytest

from sassafrasgate.adapters.workers import WorkerClient
from sassafrasgate.core.errors import WorkerOutputError
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import StartRequest
from sassafrasgate.core.tasks import StartStatus
from sassafrasgate.core.tasks import SyncRequest
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.core.tasks import TaskUsage
from tests.processes import find_free_address
from tests.processes import wait_until

ONE_CORE = Resources(1000, 1024, 0, 1, 1)
LONG = b'{"run_ms": 60000}'
QUICK = b'{"run_ms": 1}'
MAX_TESTS = 40
SHORT_TIMEOUT_S = 2.0
CAPACITY = Resources(2000, 4096, 1, 8, 64)


@pytest.fixture(scope='module')
def unused_workers(processes):
    """One process that runs an unused worker for each test."""
    addresses = {f'w{n}': find_free_address() for n in range(MAX_TESTS)}
    workers = processes.start_workers(
        addresses, millicores=2000, memory_mb=4096, accelerators=1
    )
    return iter(workers.values())


@pytest.fixture
def standin(unused_workers):
    return next(unused_workers)


@pytest.fixture
async def worker(standin):
    async with WorkerClient(standin.url, timeout_s=10.0) as client:
        yield client


class Owner:
    """Sends the requests of one shard's owner."""

    def __init__(self, worker, epoch=1):
        self.worker = worker
        self.epoch = epoch
        self.incarnation = ''
        self.numbers = count(1)

    async def sync(self, lease_ms=0, **fields):
        request = SyncRequest('s1', self.epoch, 0, **fields)
        if lease_ms:
            reading = await self.worker.sync(replace(request, wait_ms=0))
            request = replace(request, lease_clock=reading.clock + lease_ms)
        reply = await self.worker.sync(request)
        self.incarnation = reply.incarnation
        return reply

    async def build_start(self, payload=LONG, lease_ms=10_000, **fields):
        reply = await self.sync()
        return replace(
            StartRequest(
                f'j.0.{next(self.numbers)}',
                's1',
                self.epoch,
                reply.incarnation,
                reply.clock + 5_000,
                reply.clock + lease_ms,
                ONE_CORE,
                payload,
            ),
            **fields,
        )

    async def start(self, payload=LONG, lease_ms=10_000, **fields):
        request = await self.build_start(payload, lease_ms, **fields)
        return request, await self.worker.start(request)


@pytest.fixture
async def owner(worker):
    return Owner(worker)


@pytest.fixture
async def short_timeout_owner(standin):
    """An owner whose calls time out early, for calls that must fail."""
    async with WorkerClient(standin.url, timeout_s=SHORT_TIMEOUT_S) as client:
        yield Owner(client)


def count_starts(standin, task):
    return sum(record.task == task for record in standin.read_record().tasks)


async def test_start_that_waits_returns_the_output(owner):
    payload = b'{"run_ms": 50, "output": "done", "output_bytes": 100}'
    request, reply = await owner.start(payload, wait_ms=5_000)
    assert reply.status is StartStatus.ENDED
    assert reply.ended.outcome is TaskOutcome.FINISHED
    assert reply.ended.output.startswith(b'done')
    assert len(reply.ended.output) == reply.ended.size == 100


async def test_any_other_payload_is_echoed(owner):
    _, reply = await owner.start(b'\x00order 17', wait_ms=5_000)
    assert reply.ended.output == b'\x00order 17'


async def test_older_owner_is_refused_after_a_call_of_a_newer_one(
    owner, worker
):
    stale = await owner.build_start()
    await Owner(worker, epoch=2).sync()
    reply = await worker.start(stale)
    assert (reply.status, reply.reason) == (
        StartStatus.REFUSED,
        'stale epoch',
    )
    refused = await owner.sync(lease_ms=10_000)
    assert (refused.accepted, refused.epoch) == (False, 2)
    # Each shard has its own fencing epoch on the worker.
    assert (await worker.sync(SyncRequest('s2', 1, 0))).accepted


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({'start_before_clock': 0}, 'deadline passed'),
        ({'lease_clock': 0}, 'deadline passed'),
        ({'incarnation': 'earlier'}, 'other incarnation'),
    ],
)
async def test_outdated_start_is_refused(owner, standin, fields, reason):
    request, reply = await owner.start(**fields)
    assert (reply.status, reply.reason) == (StartStatus.REFUSED, reason)
    assert count_starts(standin, request.task) == 0


async def test_repeated_start_returns_the_first_reply(owner, standin):
    request, _ = await owner.start(QUICK, wait_ms=5_000)
    first = await owner.worker.start(request)
    await owner.sync(release=(request.task,))
    # A delayed copy of the start must not run the task after its release.
    after_release = await owner.worker.start(request)
    assert first.status is after_release.status is StartStatus.ENDED
    assert count_starts(standin, request.task) == 1


async def test_refused_task_id_stays_refused(owner, standin):
    # The owner may already have started the task on another worker.
    standin.set_faults(leaving=True)
    request, reply = await owner.start()
    assert reply.reason == 'leaving'
    standin.set_faults(leaving=False)
    again = await owner.worker.start(request)
    assert again.status is StartStatus.REFUSED
    assert count_starts(standin, request.task) == 0


async def test_lease_expires_unless_a_sync_renews_it(owner):
    kept, _ = await owner.start(lease_ms=2500)
    bounded, _ = await owner.start(lease_ms=2500, renewable=False)
    await owner.sync(lease_ms=30_000, incarnation=owner.incarnation)
    reply = await owner.sync(wait_ms=5_000)
    assert [(e.task, e.outcome) for e in reply.ended] == [
        (bounded.task, TaskOutcome.LAPSED)
    ]
    assert [r.task for r in reply.running] == [kept.task]


async def test_sync_for_another_incarnation_renews_no_lease(owner):
    request, _ = await owner.start(lease_ms=400)
    await owner.sync(lease_ms=30_000, incarnation='earlier')
    reply = await owner.sync(wait_ms=5_000)
    assert [e.task for e in reply.ended] == [request.task]


async def test_leases_expire_before_any_reply_after_a_suspension(
    owner, standin
):
    finishing = b'{"run_ms": 1500}'
    request, _ = await owner.start(finishing, lease_ms=2000)
    standin.process.freeze()
    await sleep(2.5)
    standin.process.resume()
    reply = await owner.sync()
    assert [(e.task, e.outcome) for e in reply.ended] == [
        (request.task, TaskOutcome.LAPSED)
    ]
    assert reply.running == ()
    record = standin.read_record().tasks[0]
    assert record.ended_ms - record.started_ms <= 2000


async def test_sync_waits_for_ended_tasks_that_are_not_known(owner):
    first, _ = await owner.start(QUICK)
    reply = await owner.sync(wait_ms=5_000)
    assert [e.task for e in reply.ended] == [first.task]
    second, _ = await owner.start(b'{"run_ms": 300}')
    reply = await owner.sync(wait_ms=5_000, known=(first.task,))
    assert [e.task for e in reply.ended] == [second.task]
    reply = await owner.sync(
        wait_ms=100, known=(second.task,), release=(first.task,)
    )
    assert reply.ended == ()


async def test_waiting_sync_returns_when_the_worker_is_leaving(owner, standin):
    async with create_task_group() as tasks:
        replies = []

        async def wait():
            replies.append(await owner.sync(wait_ms=30_000))

        tasks.start_soon(wait)
        await sleep(0.2)
        standin.set_faults(leaving=True)
    assert replies[0].leaving


async def test_large_output_is_fetched_completely(owner):
    payload = b'{"run_ms": 1, "output_bytes": 100000}'
    request, reply = await owner.start(payload, wait_ms=5_000)
    ended = reply.ended
    assert ended.output == b''
    fetch = owner.worker.fetch_output
    output = await fetch(request.task, ended.size, ended.digest)
    assert len(output) == 100_000
    with pytest.raises(WorkerOutputError, match='100000 bytes'):
        await fetch(request.task, 99_999)
    with pytest.raises(WorkerOutputError, match='digest'):
        await fetch(request.task, ended.size, '0' * 32)
    await owner.sync(release=(request.task,))
    with pytest.raises(WorkerOutputError, match='released or lost'):
        await fetch(request.task)


async def test_restart_loses_all_tasks_under_a_new_incarnation(owner, standin):
    request, _ = await owner.start()
    before = owner.incarnation
    standin.set_faults(restart=True)
    reply = await owner.sync()
    assert reply.incarnation != before
    assert reply.running == reply.ended == ()
    assert standin.read_record().tasks[0].outcome == 'lost'
    late = await owner.worker.start(replace(request, task='j.0.9'))
    assert late.reason == 'other incarnation'


async def test_sync_reports_a_start_whose_reply_was_lost(owner, standin):
    request = await owner.build_start()
    standin.set_faults(lose_replies=1, lose_path='/v1/tasks')
    assert (await owner.sync()).accepted
    with pytest.raises(WorkerUnavailableError) as caught:
        await owner.worker.start(request)
    assert caught.value.sent
    reply = await owner.sync()
    assert [r.task for r in reply.running] == [request.task]


async def test_overload_is_recorded_and_refused_only_if_enforced(
    owner, standin
):
    for _ in range(2):
        await owner.start()
    assert standin.read_record().overloads == ()
    await owner.start()
    record = standin.read_record()
    assert record.capacity == CAPACITY
    assert record.peak.millicores == 3000
    assert [o.reserved.millicores for o in record.overloads] == [3000]
    standin.set_faults(enforce_room=True)
    _, reply = await owner.start()
    assert reply.reason == 'no room'
    assert standin.read_record().refusals == {'no room': 1}


async def test_usage_is_reported_with_its_age(owner, standin):
    request, _ = await owner.start()
    standin.set_faults(usage_factor=1.5)
    reply = await owner.sync()
    assert reply.usage == (TaskUsage(request.task, 1500, 1536, 0),)
    standin.set_faults(usage_lag_ms=60_000)
    assert (await owner.sync()).usage == ()


async def test_commands_require_a_running_task_and_the_current_owner(
    owner, worker, standin
):
    request, _ = await owner.start()
    task = request.task
    assert (await worker.throttle(task, 1, 's1', 250)).accepted
    assert (await owner.sync()).usage[0].millicores == 250
    assert (await worker.checkpoint(task, 1, 's1')).accepted
    assert standin.read_record().tasks[0].checkpoints == 1
    await Owner(worker, epoch=2).sync()
    assert (await worker.stop(task, 1, 's1')).reason == 'stale epoch'
    assert (await worker.stop(task, 2, 's2')).reason == 'not running'
    assert (await worker.stop(task, 2, 's1')).accepted
    assert (await worker.stop(task, 2, 's1')).reason == 'not running'
    assert standin.read_record().tasks[0].outcome == 'stopped'


async def test_faulty_worker_fails_every_task(owner, standin):
    standin.set_faults(fail_all=True)
    _, reply = await owner.start(QUICK, wait_ms=5_000)
    assert reply.ended.outcome is TaskOutcome.FAILED


async def test_worker_is_reached_by_new_connections_after_a_timeout(
    short_timeout_owner, standin
):
    # If only the connection that timed out were replaced, each of the other
    # idle connections would cost another timeout.
    async with create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(partial(short_timeout_owner.sync, wait_ms=200))
    standin.set_faults(silence_connections=True)
    with pytest.raises(WorkerUnavailableError) as caught:
        await short_timeout_owner.sync()
    assert caught.value.sent
    assert (await short_timeout_owner.sync()).accepted


async def test_timeout_does_not_fail_other_calls(short_timeout_owner, standin):
    # Quick requests must keep waiting on their connections when a call to the
    # same worker times out on another one.
    request = await short_timeout_owner.build_start(
        b'{"run_ms": 4000}', wait_ms=20_000
    )
    replies = []

    async def start():
        replies.append(await short_timeout_owner.worker.start(request))

    async with create_task_group() as tasks:
        tasks.start_soon(start)
        await to_thread.run_sync(
            wait_until, lambda: standin.read_record().tasks, 'the start'
        )
        standin.set_faults(silent=True)
        with pytest.raises(WorkerUnavailableError):
            await short_timeout_owner.sync()
        standin.set_faults(silent=False)
    assert replies[0].status is StartStatus.ENDED


async def test_call_on_refused_connection_counts_as_not_sent():
    async with WorkerClient(f'http://{find_free_address()}') as worker:
        with pytest.raises(WorkerUnavailableError) as caught:
            await worker.sync(SyncRequest('s1', 1, 0))
    assert not caught.value.sent
