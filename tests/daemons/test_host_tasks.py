"""Tests the calls to one worker of the project's own interface."""

import anyio
from logbook import Logger
import pytest

from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import SyncReply
from sassafrasgate.daemons.hosts import HostTask
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.shards.actions import AllowStarts
from sassafrasgate.shards.actions import StartTask
from sassafrasgate.shards.events import HostSynced
from sassafrasgate.shards.events import StartUnanswered
from sassafrasgate.shards.ownership import OwnerLease

pytestmark = pytest.mark.anyio

TIMEOUT_S = 5.0
START = StartTask(
    'h1', 'task-1', 'incarnation-1', Resources(1000, 512, 0, 1, 1), b''
)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class StubClient:
    """A client that replies to the first sync and loses replies to starts."""

    def __init__(self):
        self.synced = False
        self.starts = 0
        self.started = anyio.Event()
        self.lose_reply = anyio.Event()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        return

    async def sync(self, request):
        if self.synced:
            await anyio.sleep_forever()
        self.synced = True
        return SyncReply(True, 'incarnation-1', 1)

    async def start(self, request):
        self.starts += 1
        self.started.set()
        await self.lose_reply.wait()
        raise WorkerUnavailableError('no reply')


async def wait_for(events, kind):
    while True:
        event = await events.receive()
        if isinstance(event, kind):
            return event


async def test_a_start_is_not_repeated_on_a_host_that_is_leaving():
    # Guards against a task that starts on a leaving host because the decision
    # to start it is older than the platform's list.
    client = StubClient()
    commands, inbox = anyio.create_memory_object_stream(10)
    sender, events = anyio.create_memory_object_stream(10)
    lease = OwnerLease(now_ms(), ttl_ms=60_000, grace_ms=0)
    failures = FailureRecorder(Logger('test'), Metrics())
    task = HostTask(
        'h1', 's1', 1, client, None, inbox, sender, lease, failures
    )
    async with anyio.create_task_group() as group:
        group.start_soon(task.run)
        with anyio.fail_after(TIMEOUT_S):
            await wait_for(events, HostSynced)
            await anyio.wait_all_tasks_blocked()
            commands.send_nowait(START)
            await client.started.wait()
            commands.send_nowait(AllowStarts('h1', False))
            await anyio.wait_all_tasks_blocked()
            client.lose_reply.set()
            await wait_for(events, StartUnanswered)
            await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()
    assert client.starts == 1
