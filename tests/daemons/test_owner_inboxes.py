"""Tests of the inbox of a shard's owner."""

import anyio
import pytest

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.daemons.inboxes import OwnerInbox
from sassafrasgate.daemons.messages import LeaseUpdated
from sassafrasgate.daemons.messages import OwnershipLost
from sassafrasgate.protocol.links import IncomingRequest
from sassafrasgate.protocol.links import LinkServer
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import QueryWorkflow
from sassafrasgate.shards.ownership import OwnerLease
from tests.daemons.test_lost_ownership import Owner

pytestmark = pytest.mark.anyio

QUEUED = 2_000
TIMEOUT_S = 10.0
REPLIES = 50


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def count_waiting(events):
    """Return the number of waiting events of the inbox or of its sender."""
    if isinstance(events, OwnerInbox):
        return events.waiting
    return events.statistics().current_buffer_used


def make_lease(renewed_at):
    return OwnerLease(renewed_at, renewed_at)


def test_lease_overtakes_the_events_that_wait():
    inbox = OwnerInbox()
    for number in range(QUEUED):
        inbox.send_nowait(number)
    inbox.send_nowait(LeaseUpdated(make_lease(1)))

    assert inbox.receive_nowait() == LeaseUpdated(make_lease(1))
    assert inbox.receive_nowait() == 0


async def test_lease_wakes_an_owner_that_waits():
    inbox = OwnerInbox()
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(inbox.send, OwnershipLost('gone'))
            assert await inbox.receive() == OwnershipLost('gone')
    with pytest.raises(anyio.WouldBlock):
        inbox.receive_nowait()


@pytest.mark.parametrize(
    'make', [Owner.make_dispatcher, Owner.make_shard_task]
)
async def test_owner_with_a_long_queue_does_not_take_its_lease_for_expired(
    make,
):
    # Guards against an owner that refuses all callers as no longer the owner,
    # while the renewal of its lease waits behind their requests.
    owner = Owner()
    renewed = owner.lease
    owner.lease = OwnerLease(0, ttl_ms=1_000, grace_ms=0)
    task, message = make(owner)
    for number in range(QUEUED):
        await task.handle_request(
            IncomingRequest(b'caller', number + 1, 60_000, message)
        )
    await task.events.send(LeaseUpdated(renewed))
    with anyio.move_on_after(TIMEOUT_S):
        async with anyio.create_task_group() as group:
            group.start_soon(task._serve)
            while count_waiting(task.events):
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    refused = [
        reply
        for reply in owner.replies
        if isinstance(reply, Refused)
        and reply.refusal is RefusalKind.NOT_OWNER
    ]
    assert refused == []


async def test_owner_replies_without_waiting_for_the_event_loop():
    # Guards against an owner that waits for all other tasks of its process
    # with each reply: replies then wait behind each other for seconds.
    server = LinkServer(
        '127.0.0.1:0', None, None, lambda heartbeat: None, lambda error: None
    )
    owner = Owner()
    owner.add_reply = server.reply
    task, _ = owner.make_dispatcher()
    query = QueryWorkflow('job-1')
    for number in range(REPLIES):
        await task.handle_request(
            IncomingRequest(b'caller', number + 1, 60_000, query)
        )
    for _ in range(REPLIES):
        handling = task._process_event(task.events.receive_nowait())
        with pytest.raises(StopIteration):
            handling.send(None)

    assert server._outbox.statistics().current_buffer_used == REPLIES
