"""Tests of requests that are sent to an owner several times."""

from logbook import Logger
import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.daemons.frontend import FrontendTask
from sassafrasgate.daemons.gateways import EntryGateway
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import OutcomeUnknown
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.messages import Submit
from tests.dispatch.simulation import QUEUE

pytestmark = pytest.mark.anyio

TIMEOUT_S = 2.0
OVERLOADED = Refused(RefusalKind.OVERLOADED, 'too many requests', 'wait')
MOVED = OutcomeUnknown('the owner stops')
STOPPING = Refused(RefusalKind.STOPPING, 'the owner stops', 'send it again')


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class StubOwner:
    """An owner that gives a list of replies, one after the other."""

    version = 1
    owners: dict[str, object] = {}

    def __init__(self, *replies):
        self.replies = list(replies)

    async def request_once(self, message, timeout_s):
        return self.replies.pop(0)

    async def send_request(self, shard, message, timeout_s, attempt=1):
        return self.replies.pop(0)

    def check_readiness(self):
        return None

    async def refresh_owner(self):
        return


async def submit_to_entry_host(owner):
    gateway = EntryGateway('e1', owner, lambda: 0)
    return await gateway.submit(
        QUEUE, '', 'job-1', Workflow('payload', ()), TIMEOUT_S
    )


def make_front_end(owner):
    return FrontendTask(
        'f1', owner, None, None, None, Logger('test'), Metrics()
    )


async def submit_to_front_end(owner, front_end=None):
    front_end = front_end or make_front_end(owner)
    message = Submit('s1', 'job-1', JobSpec('orders', 'key-1'), 0.0)
    return await front_end.forward_to_shard(message, TIMEOUT_S)


@pytest.mark.parametrize('submit', [submit_to_entry_host, submit_to_front_end])
async def test_refusal_after_a_lost_reply_is_not_the_outcome(submit):
    # Guards against "not run" for a job that an earlier attempt has handed
    # in: it may still wait in the inbox of the owner that refuses another.
    owner = StubOwner(NoReply('the reply was lost'), OVERLOADED)
    assert isinstance(await submit(owner), NoReply)
    assert not owner.replies


@pytest.mark.parametrize('reply', [STOPPING, MOVED.to_no_reply()])
async def test_many_callers_wait_for_the_successor_of_a_stopping_owner(reply):
    # Guards against callers without a result during a planned stop, because
    # retries of the others have used up the budget of the front end.
    accepted = JobView('job-1', JobState.QUEUED)
    owner = StubOwner()
    front_end = make_front_end(owner)
    for _ in range(20):
        owner.replies = [reply, reply, accepted]
        assert await submit_to_front_end(owner, front_end) == accepted


async def test_pause_between_refused_attempts_grows():
    # Guards against callers that keep busy an owner which can't serve them,
    # with a new attempt every 50 ms.
    owner = StubOwner(*[STOPPING] * 100)
    await submit_to_entry_host(owner)

    assert 100 - len(owner.replies) <= TIMEOUT_S / 0.1 + 5
