"""Tests of the replies of an owner that loses its shard."""

import anyio
from logbook import Logger
import pytest

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.daemons.dispatcher import DispatcherServices
from sassafrasgate.daemons.dispatcher import DispatcherTask
from sassafrasgate.daemons.messages import OwnershipLost
from sassafrasgate.daemons.shards import ShardServices
from sassafrasgate.daemons.shards import ShardTask
from sassafrasgate.journal.loading import load_journal
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.protocol.links import IncomingRequest
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.messages import Submit
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.ownership import OwnerLease
from tests.dispatch.simulation import TABLE
from tests.journal.test_ring_buffer import MemoryStore

pytestmark = pytest.mark.anyio

TIMEOUT_S = 5.0
DEMAND = Resources(1000, 512, 0, 1, 1)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class UnconfirmedStore(MemoryStore):
    """A store that can carry out writes without replying to them."""

    def __init__(self):
        super().__init__()
        self.replies = True
        self.written = anyio.Event()

    async def swap(self, key, value, revision, priority=0):
        written = await super().swap(key, value, revision, priority)
        if not self.replies:
            self.written.set()
            await anyio.sleep_forever()
        return written


class Owner:
    """A task that owns a shard, and the replies that it sends."""

    def __init__(self):
        self.store = UnconfirmedStore()
        self.replies = []
        self.lease = OwnerLease(now_ms(), ttl_ms=60_000, grace_ms=0)

    async def add_reply(self, reply):
        self.replies.append(reply.message)

    async def release(self):
        return

    def make_dispatcher(self):
        async def follow_workers(_):
            return

        services = DispatcherServices(
            *('e1/1', 'e1', self.store, self.store, self.add_reply),
            *(None, None, follow_workers, lambda _: True, None),
            Logger('test'),
            Metrics(),
        )
        message = SubmitWorkflow(
            'job-1', 'q', 1, Workflow('payload', (Step(1, DEMAND),))
        )
        return DispatcherTask('s1', TABLE, self.lease, services), message

    def make_shard_task(self):
        services = ShardServices(
            *('s1/1', self.store, self.add_reply, None, lambda _: None),
            Logger('test'),
            Metrics(),
        )
        configuration = Configuration(
            1,
            'change-1',
            'test',
            (Host('h1', 'http://127.0.0.1:9', 'r1', 'd1', DEMAND),),
            (Shard('s1', 'd1', ('r1',)),),
            (Team('orders'),),
        )
        message = Submit('s1', 'job-1', JobSpec('orders', 'key-1'), 0.0)
        return ShardTask('s1', configuration, self.lease, services), message


@pytest.mark.parametrize(
    'make', [Owner.make_dispatcher, Owner.make_shard_task]
)
async def test_lost_owner_does_not_refuse_a_job_that_it_may_have_stored(make):
    # Guards against a caller that is told "not run" for a job that a
    # successor finds in the journal and runs.
    owner = Owner()
    task, message = make(owner)
    async with anyio.create_task_group() as group:
        group.start_soon(task.run, owner.release)
        with anyio.fail_after(TIMEOUT_S):
            while not (await load_journal(owner.store, 's1')).records:
                await anyio.sleep(0.01)
            owner.store.replies = False
            request = IncomingRequest(b'caller', 1, 1000, message)
            await task.handle_request(request)
            await owner.store.written.wait()
            await task.events.send(OwnershipLost('the lease has expired'))
            while not owner.replies:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    records = (await load_journal(owner.store, 's1')).records
    assert 'job-1' in [getattr(record, 'job_id', '') for record in records]
    (reply,) = owner.replies
    assert not isinstance(reply, Refused), reply


async def test_unknown_outcome_of_a_local_request_is_not_a_refusal():
    # Guards against "not run" for a job that the receiving host, as the lost
    # owner, may have stored itself.
    owner = Owner()
    task, message = owner.make_dispatcher()
    replies = []

    async def submit():
        replies.append(await task.request(message, TIMEOUT_S))

    async with anyio.create_task_group() as group:
        group.start_soon(task.run, owner.release)
        with anyio.fail_after(TIMEOUT_S):
            await task.taken_over.wait()
            owner.store.replies = False
            group.start_soon(submit)
            await owner.store.written.wait()
            await task.events.send(OwnershipLost('the lease has expired'))
            while not replies:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert isinstance(replies[0], NoReply)
