"""Injects unexpected errors into tasks that serve many.

An error ends the unit of work that it belongs to, such as one call or one
message. Everything else goes on, and nothing is lost or started twice.
"""

from dataclasses import replace

import anyio
from logbook import Logger
import pytest

from sassafrasgate.core.errors import InvalidEntryError
from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.workflows import Advice
from sassafrasgate.daemons import dispatcher
from sassafrasgate.daemons import shards
from sassafrasgate.daemons.advice import AdviceRequested
from sassafrasgate.daemons.advice import AdviceTask
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.entry_messages import ShardOffered
from sassafrasgate.daemons.leases import LeaseChanged
from sassafrasgate.daemons.prefix_watches import PrefixWatch
from sassafrasgate.dispatch.events import PeersChanged
from sassafrasgate.dispatch.events import RunUnanswered
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.journal.loading import load_journal
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.failures import InvalidEntryLog
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.protocol.links import IncomingRequest
from sassafrasgate.protocol.links import Link
from sassafrasgate.protocol.links import LinkServer
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.messages import Status
from sassafrasgate.protocol.workflows import AdviceGiven
from sassafrasgate.protocol.workflows import HandOver
from sassafrasgate.protocol.workflows import SeekAdvice
from sassafrasgate.shards.events import RequestReceived
from tests.daemons.test_entry import LEASE
from tests.daemons.test_entry import make_directory
from tests.daemons.test_entry import make_task
from tests.daemons.test_lost_ownership import Owner
from tests.daemons.test_workers import START
from tests.daemons.test_workers import WorkerHarness
from tests.journal.test_ring_buffer import MemoryStore
from tests.processes import find_free_address

pytestmark = pytest.mark.anyio

TIMEOUT_S = 5.0
ERROR = RuntimeError('injected')


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def failures():
    return FailureRecorder(Logger('test'), Metrics())


def count_errors(failures, unit):
    """Return how many unexpected errors of a kind of unit were counted."""
    name = f'unexpected_errors_total{{unit="{unit}"}} '
    text = failures.metrics.render().decode()
    found = [line for line in text.splitlines() if name in line]
    return int(found[0].rpartition(' ')[2]) if found else 0


async def test_error_in_a_poll_makes_the_worker_silent_until_the_next():
    # Guards against a worker whose odd report ends the owner's process, and
    # against runs that are taken for lost: the lease still counts.
    async with anyio.create_task_group() as group:
        harness = WorkerHarness(group)
        report = await harness.wait_for(WorkerReported)
        hold = harness.client.hold

        async def fail(request):
            harness.client.hold = hold
            raise ERROR

        harness.client.hold = fail
        harness.client.released.set()
        silent = await harness.wait_for(WorkerSilent)
        await harness.wait_for(WorkerReported)
        group.cancel_scope.cancel()
    assert silent.leases_expire_at >= report.leases_expire_at
    assert count_errors(harness.failures, 'worker-poll') == 1


async def test_error_in_a_start_leaves_its_effect_unknown():
    # Guards against a second start of a run that the worker has started.
    async with anyio.create_task_group() as group:
        harness = WorkerHarness(group)
        await harness.wait_for(WorkerReported)

        async def fail():
            raise ERROR

        harness.client.start_reply = fail
        harness.commands.send_nowait(START)
        unanswered = await harness.wait_for(RunUnanswered)
        harness.client.released.set()
        await harness.wait_for(WorkerReported)
        group.cancel_scope.cancel()
    assert unanswered == RunUnanswered('w', START.run, True)
    assert count_errors(harness.failures, 'worker-command') == 1


@pytest.mark.parametrize(
    ('make', 'module'),
    [
        (Owner.make_dispatcher, dispatcher),
        (Owner.make_shard_task, shards),
    ],
)
async def test_error_in_a_decision_gives_up_the_ownership(
    monkeypatch, make, module
):
    # Guards against a process that ends, and against "not run" for a request
    # that may have been recorded.
    owner = Owner()
    task, message = make(owner)
    decide = module.decide

    def fail(state, event, *arguments):
        if isinstance(event, RequestReceived):
            raise ERROR
        return decide(state, event, *arguments)

    monkeypatch.setattr(module, 'decide', fail)
    reasons = []

    async def run():
        reasons.append(await task.run(owner.release))

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        with anyio.fail_after(TIMEOUT_S):
            while not (await load_journal(owner.store, 's1')).records:
                await anyio.sleep(0.01)
            await task.handle_request(
                IncomingRequest(b'caller', 1, 1000, message)
            )
            while not reasons:
                await anyio.sleep(0.01)
    assert 'injected' in reasons[0]
    (reply,) = owner.replies
    assert not isinstance(reply, Refused), reply


async def test_events_that_find_the_inbox_full_are_handled():
    # Guards against an overloaded owner whose process ends, or that goes on
    # with an old table or lease.
    owner = Owner()
    task, _ = owner.make_dispatcher()
    async with anyio.create_task_group() as group:
        group.start_soon(task.run, owner.release)
        with anyio.fail_after(TIMEOUT_S):
            while not (await load_journal(owner.store, 's1')).records:
                await anyio.sleep(0.01)
            with pytest.raises(anyio.WouldBlock):
                while True:
                    task.events.send_nowait(PeersChanged(('e1',)))
            task.notify(TableChanged(RoutingTable(77)))
            while task.state.routing_table.version != 77:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()


async def test_error_in_an_advice_call_ends_only_this_call(failures):
    # Guards against a host that makes no more calls to the advice service.
    class Client:
        async def __aenter__(self):
            return self

        async def __aexit__(self, *error):
            return None

        async def request_advice(self, step, workers, timeout_s):
            if step == 'bad':
                raise ERROR
            return Advice((('w', 't'),), 2_000)

    replies = {}

    def make_request(step):
        async def reply(message):
            replies[step] = message

        return AdviceRequested(SeekAdvice(step, ('w',), 1_000), reply)

    sender, inbox = anyio.create_memory_object_stream(10)
    async with anyio.create_task_group() as group:
        group.start_soon(AdviceTask(Client(), inbox, failures).run)
        with anyio.fail_after(TIMEOUT_S):
            for step in ('bad', 'good'):
                sender.send_nowait(make_request(step))
                while step not in replies:
                    await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert isinstance(replies['bad'], Refusal)
    assert isinstance(replies['good'], AdviceGiven)


async def test_error_in_a_message_ends_only_this_message(failures):
    # Guards against a message between hosts that ends the receiving process,
    # and against a reply that claims that it had no effect.
    address = find_free_address()

    async def handle(request):
        if request.message.kind == 'status':
            raise ERROR
        await server.reply(
            OutgoingReply(request.client, request.request_id, Acknowledged())
        )

    def make_heartbeat():
        return Heartbeat('e1')

    server = LinkServer(
        address,
        handle,
        make_heartbeat,
        lambda heartbeat: None,
        lambda error: failures.record('message', error),
    )
    link = Link(address, make_heartbeat, lambda heartbeat: None)
    good = SeekAdvice('step', ('w',), 1_000)
    too_large = SeekAdvice('step', ('w',), 2**70)
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        group.start_soon(link.run)
        failed = await link.request(Status(), 0.5)
        unsent = await link.request(too_large, TIMEOUT_S)
        reply = await link.request(good, TIMEOUT_S)
        group.cancel_scope.cancel()
    assert isinstance(failed, NoReply)
    assert isinstance(unsent, NoReply)
    assert isinstance(reply, Acknowledged)
    assert count_errors(failures, 'message') == 1


async def test_error_in_a_change_does_not_end_the_watch(monkeypatch, failures):
    # Guards against a host that no longer follows its keys.
    monkeypatch.setattr(
        'sassafrasgate.daemons.prefix_watches.ERROR_RETRY_DELAY_S', 0.01
    )
    seen = []

    class Store:
        async def read_prefix(self, prefix, priority=0):
            return Changes(1, ())

        async def watch(self, prefix, after, wait_s, priority=0):
            await anyio.sleep(0.01)
            return Changes(after + 1, (Item('k', b'v', after + 1),))

    async def handle_list(listed):
        return

    async def handle_changes(items):
        seen.append(items)
        if len(seen) == 1:
            raise ERROR

    watch = PrefixWatch(Store(), 'k', failures)
    async with anyio.create_task_group() as group:
        group.start_soon(watch.run, handle_list, handle_changes)
        with anyio.fail_after(TIMEOUT_S):
            while len(seen) < 3:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert count_errors(failures, 'watch') == 1


async def test_damaged_offer_of_the_shard_is_refused():
    # Guards against a hand-over that ends the process of the successor.
    replies = []

    async def reply(message):
        replies.append(message)

    task = make_task(MemoryStore(), make_directory())
    async with anyio.create_task_group() as group:
        await task.handle(ControlListed((), 5), group)
        task.table = RoutingTable(1)
        task.is_stopping = True
        lease = replace(LEASE, renewed_at=now_ms())
        await task.handle(LeaseChanged('1', lease), group)
        task.is_stopping = False
        offer = HandOver('cell', b'\x91' * 1_500, 1, 1, 0, 0, 0)
        await task.take_over_shard(ShardOffered(offer, reply), group)
        group.cancel_scope.cancel()
    assert [type(message) for message in replies] == [Refusal]
    assert task.dispatcher is None


def test_an_invalid_entry_is_logged_once_and_counted_each_time():
    # Guards against a log that one writer of odd entries fills.
    lines = []

    class ListLogger:
        def info(self, kind, extra):
            lines.append((kind, dict(extra['event_fields'])))

    failures = FailureRecorder(ListLogger(), Metrics())
    log = InvalidEntryLog(failures, 'servers/')
    for revision in range(5):
        log.record(InvalidEntryError('servers/a', revision, 'bad port'))
    log.record(InvalidEntryError('servers/a', 5, 'bad state'))
    log.forget_all_but({'servers/b'})
    log.record(InvalidEntryError('servers/a', 6, 'bad state'))

    assert [fields['revision'] for _, fields in lines] == [0, 5, 6]
    assert lines[0][1]['reason'] == 'bad port'
    text = failures.metrics.render().decode()
    assert 'invalid_inputs_total{source="servers/"} 7' in text
