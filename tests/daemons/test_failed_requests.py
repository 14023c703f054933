"""Tests of requests whose handling ends the ownership of the shard."""

from dataclasses import replace

import anyio
import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.daemons import dispatcher
from sassafrasgate.daemons import failed_requests
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.dispatcher import DispatcherTask
from sassafrasgate.daemons.failed_requests import FAILED_REQUEST_TTL_MS
from sassafrasgate.daemons.gateways import EntryGateway
from sassafrasgate.protocol.links import IncomingRequest
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import OutcomeUnknown
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import CancelWorkflow
from sassafrasgate.protocol.workflows import QueryWorkflow
from sassafrasgate.protocol.workflows import RequestFailed
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.protocol.workflows import WorkflowView
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import Ticked
from tests.daemons.test_entry import make_directory
from tests.daemons.test_entry import make_owner_item
from tests.daemons.test_entry import make_task
from tests.daemons.test_entry import ME
from tests.daemons.test_entry import NEXT
from tests.daemons.test_entry import OWNER
from tests.daemons.test_entry import SlowStore
from tests.daemons.test_entry import StubLink
from tests.daemons.test_lost_ownership import Owner
from tests.daemons.test_owner_ends import make_member_item
from tests.dispatch.simulation import QUEUE
from tests.dispatch.simulation import TABLE

pytestmark = pytest.mark.anyio

JOB = '0123456789abcdef'
TIMEOUT_S = 5.0
WORKFLOW = Workflow('payload', (Step(1),))
CANCEL_FAILED = RequestFailed('cancel-workflow', JOB)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def run_with_error(monkeypatch, event_type):
    """Let the decision on a kind of event fail; return what was sent."""
    owner = Owner()
    sent = owner.replies
    decide = dispatcher.decide

    def fail(state, event, *arguments):
        if isinstance(event, event_type):
            raise RuntimeError('injected')
        return decide(state, event, *arguments)

    async def report(failed):
        sent.append(failed)

    monkeypatch.setattr(dispatcher, 'decide', fail)
    services = owner.make_dispatcher()[0].services
    task = DispatcherTask('s1', TABLE, owner.lease, services, None, report)
    async with anyio.create_task_group() as group:
        group.start_soon(task.run, owner.release)
        with anyio.fail_after(TIMEOUT_S):
            await task.taken_over.wait()
            await task.handle_request(
                IncomingRequest(b'caller', 1, 1000, CancelWorkflow(JOB))
            )
            while not sent:
                await anyio.sleep(0.01)
    return sent


async def test_a_request_that_ends_the_ownership_is_reported_before_the_reply(
    monkeypatch,
):
    # Guards against a cancel that is repeated at the next owner, and ends one
    # ownership after the other: one cancel ended up to 100 of them.
    failed, reply = await run_with_error(monkeypatch, RequestReceived)
    assert failed == CANCEL_FAILED
    assert isinstance(reply, OutcomeUnknown)


async def test_a_request_is_not_reported_for_the_error_of_another_event(
    monkeypatch,
):
    # Guards against requests that are refused although they did no harm.
    sent = await run_with_error(monkeypatch, Ticked)
    assert not [message for message in sent if message == CANCEL_FAILED]


class Host:
    """An entry host's main task between an owner and another host."""

    def __init__(self, owner_replies):
        self.links = {
            OWNER.link_address: StubLink(owner_replies),
            NEXT.link_address: StubLink({RequestFailed: Acknowledged()}),
        }
        directory = make_directory()
        directory.find_link = self.links.__getitem__
        members = (ME, OWNER, NEXT)
        items = [make_member_item(m, n) for n, m in enumerate(members, 1)]
        directory.apply_control_event(
            ControlListed((*items, make_owner_item(OWNER, 9)), 9)
        )
        self.task = make_task(SlowStore(), directory)
        self.task.table = RoutingTable(1, (QUEUE,))
        self.gateway = EntryGateway(ME.name, self.task, lambda: 0)
        self.sent = []
        services = replace(self.task.services, reply=self._add_reply)
        self.task.services = services

    async def _add_reply(self, reply):
        self.sent.append(reply.message)

    def count_requests(self, kind):
        """Return how many requests of a kind the owner has got."""
        return self.links[OWNER.link_address].requested.count(kind)

    async def receive(self, message):
        """Let another entry host send a message; return the reply."""
        await self.task.handle_request(
            IncomingRequest(b'other', len(self.sent) + 1, 1000, message)
        )
        return self.sent[-1]


async def test_a_failed_request_is_not_passed_on_by_any_host():
    # Guards against repetitions by the caller, which reach other hosts.
    view = WorkflowView(JOB, WorkflowState.QUEUED, 1)
    host = Host({QueryWorkflow: view, CancelWorkflow: view})
    assert await host.receive(CANCEL_FAILED) == Acknowledged()

    with anyio.fail_after(0.5):
        reply = await host.gateway.cancel('', JOB, 3.0)
    assert isinstance(reply, Refusal)
    assert reply.kind is RefusalKind.FAILED
    assert 0 < reply.retry_after_ms <= FAILED_REQUEST_TTL_MS
    refused = await host.receive(CancelWorkflow(JOB))
    assert isinstance(refused, Refused)
    assert refused.refusal is RefusalKind.FAILED
    assert not host.count_requests(CancelWorkflow)

    # Other requests for the job, and for other jobs, are served.
    assert await host.gateway.query('', JOB, 3.0) == view
    assert await host.gateway.cancel('', 'f' * 16, 3.0) == view


async def test_a_failed_submission_is_not_refused():
    # Guards against status 503, which says that the job never runs: the
    # attempt that has failed may have stored it.
    host = Host({SubmitWorkflow: WorkflowView(JOB, WorkflowState.QUEUED, 1)})
    await host.receive(RequestFailed('submit-workflow', JOB))
    reply = await host.gateway.submit(QUEUE, '', JOB, WORKFLOW, 3.0)
    assert isinstance(reply, NoReply)
    assert not host.count_requests(SubmitWorkflow)


async def test_the_owner_tells_all_other_hosts():
    # Guards against a successor that does not know the failed request.
    host = Host({RequestFailed: Acknowledged()})
    await host.task.report_failed_request(CANCEL_FAILED)
    for link in host.links.values():
        assert link.requested == [RequestFailed]
    assert isinstance(await host.gateway.cancel('', JOB, 3.0), Refusal)


async def test_a_failed_request_may_be_sent_again_later(monkeypatch):
    # Guards against a job that can't be cancelled any more after the cause
    # of the error is gone.
    view = WorkflowView(JOB, WorkflowState.CANCELLED, 1)
    host = Host({CancelWorkflow: view})
    await host.receive(CANCEL_FAILED)
    now_ms = failed_requests.now_ms
    monkeypatch.setattr(
        failed_requests, 'now_ms', lambda: now_ms() + FAILED_REQUEST_TTL_MS
    )
    assert await host.gateway.cancel('', JOB, 3.0) == view
