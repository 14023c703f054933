"""Tests of the replies to callers, also while the store fails."""

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.events import JournalStalled
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.dispatch.transitions import decide
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import CancelWorkflow
from sassafrasgate.protocol.workflows import QueryWorkflow
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import WithdrawRecords
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import WithdrawalAnswered
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import TABLE
from tests.dispatch.simulation import WALL_MS

JOB = '00000000000000aa'


class Owner:
    """An owner whose records become durable only when the test reports it."""

    def __init__(self):
        self.now = 1_000
        self.state = DispatchState('cell', 'a/1', epoch=1)
        self.feed(TableChanged(TABLE))

    def feed(self, event):
        return decide(self.state, event, self.now, WALL_MS + self.now)

    def request(self, token, message):
        return self.feed(RequestReceived(token, message, WALL_MS + self.now))

    def submit(self, token, job_id=JOB, queue='q'):
        workflow = Workflow('payload', (make_step(2),))
        return self.request(token, SubmitWorkflow(job_id, queue, 1, workflow))


def replies(actions):
    return {
        reply.reply_to: reply.message
        for reply in select_actions(actions, Reply)
    }


def test_callers_get_an_acceptance_once_it_is_durable():
    owner = Owner()
    first = owner.submit(1)
    repeat = owner.submit(2)
    assert not replies(first) and not replies(repeat)
    (record,) = [
        action.record for action in select_actions(first, AppendRecord)
    ]
    assert isinstance(record, WorkflowAccepted)
    assert not select_actions(repeat, AppendRecord)
    received = replies(owner.feed(RecordsDurable((record,))))
    assert received.keys() == {1, 2}
    assert replies(owner.submit(3))[3].state is WorkflowState.QUEUED


def test_nothing_is_accepted_while_the_store_fails():
    owner = Owner()
    owner.feed(JournalStalled(owner.now))
    reply = replies(owner.submit(1))[1]
    assert reply.refusal is RefusalKind.STORE_UNAVAILABLE
    assert owner.request(2, QueryWorkflow(JOB))[0].message.state is None
    owner.feed(JournalStalled(0))
    assert select_actions(owner.submit(3), AppendRecord)


def test_a_job_that_was_not_sent_to_the_store_is_refused_at_once():
    # Otherwise the request would wait until its caller times out.
    owner = Owner()
    owner.submit(1)
    assert select_actions(
        owner.feed(JournalStalled(owner.now)), WithdrawRecords
    ) == [WithdrawRecords(JOB)]
    received = replies(owner.feed(WithdrawalAnswered(JOB, True, 1)))
    assert isinstance(received[1], Refused)
    assert not owner.state.jobs and not owner.state.steps
    owner.feed(PassDue())


def test_a_job_that_may_be_in_the_store_is_not_refused():
    # A refusal would be wrong if the write takes effect later.
    owner = Owner()
    (record,) = [
        action.record
        for action in select_actions(owner.submit(1), AppendRecord)
    ]
    owner.feed(JournalStalled(owner.now))
    assert not replies(owner.feed(WithdrawalAnswered(JOB, False)))
    assert replies(owner.feed(RecordsDurable((record,)))).keys() == {1}


def test_a_cancelled_job_stays_cancelled_and_is_reported_once_durable():
    owner = Owner()
    (accepted,) = [
        a.record for a in select_actions(owner.submit(1), AppendRecord)
    ]
    owner.feed(RecordsDurable((accepted,)))
    cancelled = owner.request(2, CancelWorkflow(JOB))
    assert not replies(cancelled)
    (record,) = [
        action.record for action in select_actions(cancelled, AppendRecord)
    ]
    assert not select_actions(
        owner.request(3, CancelWorkflow(JOB)), AppendRecord
    )
    received = replies(owner.feed(RecordsDurable((record,))))
    assert {view.state for view in received.values()} == {
        WorkflowState.CANCELLED
    }
    assert received.keys() == {2, 3}


def test_unknown_jobs_and_queues_are_reported():
    owner = Owner()
    assert replies(owner.request(1, CancelWorkflow(JOB)))[1].state is None
    refused = replies(owner.submit(2, queue='nowhere'))[2]
    assert refused.refusal is RefusalKind.NOT_READY
    assert not owner.state.jobs
