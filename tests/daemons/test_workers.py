"""Tests the calls to one worker, with a client that the tests control."""

from dataclasses import replace

import anyio
from logbook import Logger
import pytest

from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.workflows import EndedRun
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.daemons.messages import OwnerLeaseChanged
from sassafrasgate.daemons.workers import MAX_STOP_ATTEMPTS
from sassafrasgate.daemons.workers import WorkerTask
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import AllowStarts
from sassafrasgate.dispatch.actions import PaceRun
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import EpochRefused
from sassafrasgate.dispatch.events import PaceAnswered
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import RunNotSent
from sassafrasgate.dispatch.events import RunUnanswered
from sassafrasgate.dispatch.events import StopFailed
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.shards.ownership import OwnerLease

pytestmark = pytest.mark.anyio

RUN = RunKey('5c0e7a21d94b36f8.0.0.0', 1)
START = StartRun('w', RUN, 'payload', '', '', 1)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class StubClient:
    """A client whose calls return what a test has set.

    A poll that may wait returns once the test has set ``released``.
    """

    def __init__(self):
        self.incarnation_ms = 1
        self.ended = ()
        self.holds = []
        self.starts = 0
        self.silent = False
        self.released = anyio.Event()
        self.start_reply = None
        self.stop_replies = []
        self.pace_refusal = None

    async def __aenter__(self):
        return self

    async def __aexit__(self, *error):
        return None

    async def hold(self, request):
        self.holds.append(request)
        if request.wait_ms and not self.silent:
            await self.released.wait()
            self.released = anyio.Event()
        if self.silent:
            raise WorkerUnavailableError('no reply')
        return WorkerReport(now_ms(), self.incarnation_ms, (), self.ended)

    async def start(self, request):
        self.starts += 1
        return await self.start_reply()

    async def pace(self, task, run, percent, fencing_token):
        return RunReply(5, self.pace_refusal)

    async def stop(self, task, run, fencing_token):
        return await self.stop_replies.pop(0)()


class WorkerHarness:
    """A running worker task with its inbox, its events and its client."""

    def __init__(self, group):
        self.client = StubClient()
        self.commands, inbox = anyio.create_memory_object_stream(100)
        sender, self.events = anyio.create_memory_object_stream(100)
        lease = OwnerLease(now_ms(), ttl_ms=60_000)
        self.failures = FailureRecorder(Logger('test'), Metrics())
        task = WorkerTask(
            *('w', 1, self.client, inbox, sender, lease),
            self.failures,
            2_000,
        )
        group.start_soon(task.run)

    async def wait_for(self, kind):
        """Wait for the next event of a class and return it."""
        with anyio.fail_after(5):
            while True:
                event = await self.events.receive()
                if isinstance(event, kind):
                    return event

    async def restart(self):
        """Let the worker report a new incarnation."""
        self.client.incarnation_ms += 1
        self.client.ended = ()
        self.client.released.set()
        return await self.wait_for(WorkerReported)


@pytest.fixture
async def harness():
    async with anyio.create_task_group() as group:
        harness = WorkerHarness(group)
        await harness.wait_for(WorkerReported)
        yield harness
        group.cancel_scope.cancel()


async def test_a_poll_of_a_silent_worker_acknowledges_nothing(harness):
    # Guards against a worker that restarts unnoticed and then discards an end
    # of its new incarnation, so that a finished task is started again.
    harness.client.ended = (EndedRun(7, *RUN, EndKind.FINISHED, ''),)
    harness.client.released.set()
    await harness.wait_for(WorkerReported)
    harness.commands.send_nowait(AcknowledgeEnds('w', 1, 7))
    harness.client.silent = True
    harness.client.released.set()
    await harness.wait_for(WorkerSilent)
    harness.client.holds.clear()

    await harness.wait_for(WorkerSilent)

    assert [hold.acknowledged for hold in harness.client.holds][:1] == [0]


async def test_a_start_is_not_repeated_after_a_report_of_its_end(harness):
    # Guards against starting a run again that has ended, on a worker that has
    # restarted since.
    reported = anyio.Event()

    async def lose_reply():
        await reported.wait()
        raise WorkerUnavailableError('no reply')

    harness.client.start_reply = lose_reply
    harness.commands.send_nowait(START)
    await anyio.wait_all_tasks_blocked()
    harness.client.ended = (EndedRun(1, *RUN, EndKind.FINISHED, ''),)
    harness.client.released.set()
    await harness.wait_for(WorkerReported)
    reported.set()
    await harness.wait_for(RunUnanswered)
    await anyio.wait_all_tasks_blocked()

    assert harness.client.starts == 1


async def test_a_start_is_not_repeated_on_a_worker_that_is_leaving(harness):
    # Guards against a task that starts on a leaving worker because the
    # decision to start it is older than the worker's entry.
    changed = anyio.Event()

    async def lose_reply():
        await changed.wait()
        raise WorkerUnavailableError('no reply')

    harness.client.start_reply = lose_reply
    harness.commands.send_nowait(START)
    await anyio.wait_all_tasks_blocked()
    harness.commands.send_nowait(AllowStarts('w', False))
    await anyio.wait_all_tasks_blocked()
    changed.set()
    await harness.wait_for(RunUnanswered)
    unanswered = await harness.wait_for(RunUnanswered)

    assert unanswered.last
    assert harness.client.starts == 1


async def test_a_queued_start_is_not_sent_to_a_worker_that_is_leaving(harness):
    # Guards against the same for a start that waits behind other commands.
    harness.commands.send_nowait(AllowStarts('w', False))
    harness.commands.send_nowait(START)

    unsent = await harness.wait_for(RunNotSent)

    assert unsent.run == RUN
    assert not harness.client.starts


async def test_a_start_refused_after_a_restart_is_no_stale_epoch(harness):
    # Guards against an owner that steps down because of its own higher
    # fencing token, which a later call has sent to the new incarnation.
    released = anyio.Event()

    async def refuse_late():
        await released.wait()
        return RunReply(5, StartRefusal.STALE_EPOCH)

    harness.client.start_reply = refuse_late
    harness.commands.send_nowait(START)
    await anyio.wait_all_tasks_blocked()
    await harness.restart()
    released.set()

    event = await harness.wait_for(RunAnswered)
    assert event.reply.refusal is StartRefusal.OTHER_INCARNATION


async def test_a_stop_refused_after_a_restart_is_sent_again(harness):
    # Guards against an owner that steps down because of its own higher
    # fencing token, which a later call has sent to the new incarnation.
    released = anyio.Event()

    async def refuse_late():
        await released.wait()
        return RunReply(5, StartRefusal.STALE_EPOCH)

    async def accept():
        return RunReply(6)

    harness.client.stop_replies = [refuse_late, accept]
    harness.commands.send_nowait(StopRun('w', RUN))
    await anyio.wait_all_tasks_blocked()
    await harness.restart()
    released.set()
    await anyio.wait_all_tasks_blocked()

    assert not harness.client.stop_replies
    kinds = []
    while harness.events.statistics().current_buffer_used:
        kinds.append(type(harness.events.receive_nowait()))
    assert EpochRefused not in kinds


async def refuse_as_unhealthy():
    return RunReply(0, StartRefusal.UNHEALTHY)


async def lose_reply():
    raise WorkerUnavailableError('no reply')


async def fail_unexpectedly():
    raise ValueError('unexpected')


@pytest.mark.parametrize(
    ('replies', 'refusal'),
    [
        ([refuse_as_unhealthy], StartRefusal.UNHEALTHY),
        ([lose_reply] * MAX_STOP_ATTEMPTS, None),
        ([lose_reply, refuse_as_unhealthy], StartRefusal.UNHEALTHY),
        ([fail_unexpectedly], None),
    ],
)
async def test_a_stop_without_effect_is_reported(harness, replies, refusal):
    # Guards against a stop call whose failure leaves no trace.
    harness.client.stop_replies = list(replies)
    harness.commands.send_nowait(StopRun('w', RUN))

    event = await harness.wait_for(StopFailed)

    assert (event.worker, event.run, event.refusal) == ('w', RUN, refusal)
    assert not harness.client.stop_replies


async def test_the_poll_after_a_restart_does_not_wait(harness):
    # Guards against a delay of 2 s before the owner knows which starts have
    # reached the new incarnation.
    await harness.restart()
    await anyio.wait_all_tasks_blocked()

    assert 0 in [hold.wait_ms for hold in harness.client.holds[2:]]


async def test_a_pace_that_the_worker_has_accepted_is_reported(harness):
    # Guards against an owner that does not learn whether a best-effort task
    # has been slowed down.
    harness.commands.send_nowait(PaceRun('w', RUN, 25))

    event = await harness.wait_for(PaceAnswered)
    assert event == PaceAnswered('w', RUN, 25)


async def test_a_refused_pace_is_not_reported_as_in_force(harness):
    # Guards against a best-effort task that continues at full speed while the
    # owner assumes that it was slowed down.
    harness.client.pace_refusal = StartRefusal.STALE_EPOCH
    harness.commands.send_nowait(PaceRun('w', RUN, 25))
    await anyio.wait_all_tasks_blocked()

    kinds = []
    while harness.events.statistics().current_buffer_used:
        kinds.append(type(harness.events.receive_nowait()))
    assert PaceAnswered not in kinds


def make_outage_lease():
    """Return the lease of an owner that acts on during an outage."""
    now = now_ms()
    return OwnerLease(now - 2_000, now - 1_500, now, 1_000, 60_000)


async def test_no_start_on_an_incarnation_first_met_in_an_outage(harness):
    # Guards against an owner that has been replaced unnoticed: a restarted
    # worker has not seen the successor's epoch and obeys the old owner.
    harness.commands.send_nowait(OwnerLeaseChanged(make_outage_lease()))
    await anyio.wait_all_tasks_blocked()
    report = await harness.restart()
    harness.commands.send_nowait(
        replace(START, incarnation_ms=report.report.incarnation_ms)
    )

    unsent = await harness.wait_for(RunNotSent)

    assert 'outage' in unsent.reason
    assert not harness.client.starts


async def test_starts_go_on_in_an_outage_on_known_incarnations(harness):
    # Guards against an outage of the store that stops all work.
    async def accept():
        return RunReply(6)

    harness.client.start_reply = accept
    harness.commands.send_nowait(OwnerLeaseChanged(make_outage_lease()))
    await anyio.wait_all_tasks_blocked()
    harness.commands.send_nowait(START)

    answered = await harness.wait_for(RunAnswered)
    assert answered.reply.refusal is None
