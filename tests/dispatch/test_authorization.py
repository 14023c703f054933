"""Tests what tenants may do with the workflows of others."""

from dataclasses import replace

import pytest

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.tenants import digest_key
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import CancelWorkflow
from sassafrasgate.protocol.workflows import QueryWorkflow
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.events import RecordsDurable
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.test_requests import JOB
from tests.dispatch.test_requests import Owner
from tests.dispatch.test_requests import replies

BAKERS = Tenant('bakers', (digest_key('key-1'),))
BREWERS = Tenant('brewers', (digest_key('key-2'),))
WORKFLOW = Workflow('payload', (make_step(2),))


def make_owner(public=False, tenants=(BAKERS, BREWERS)):
    owner = Owner()
    table = owner.state.routing_table
    queues = tuple(replace(queue, public=public) for queue in table.queues)
    table = replace(
        table, version=table.version + 1, queues=queues, tenants=tenants
    )
    owner.feed(TableChanged(table))
    return owner


def submit(owner, token, tenant, job_id=JOB):
    message = SubmitWorkflow(job_id, 'q', 1, WORKFLOW, tenant)
    return owner.request(token, message)


def accept(owner, tenant):
    (append,) = select_actions(submit(owner, 1, tenant), AppendRecord)
    owner.feed(RecordsDurable((append.record,)))
    assert owner.state.jobs[JOB].tenant == tenant


@pytest.mark.parametrize(
    'message',
    [
        QueryWorkflow(JOB, 'brewers'),
        QueryWorkflow(JOB),
        CancelWorkflow(JOB, 'brewers'),
        CancelWorkflow(JOB),
        SubmitWorkflow(JOB, 'q', 1, WORKFLOW, 'brewers'),
    ],
)
def test_workflow_of_another_tenant_is_out_of_reach(message):
    # Guards against reading or cancelling the work of another account.
    owner = make_owner()
    accept(owner, 'bakers')

    reply = replies(owner.request(2, message))[2]

    assert isinstance(reply, Refused)
    assert reply.refusal is RefusalKind.FORBIDDEN
    assert owner.state.jobs[JOB].state is not WorkflowState.CANCELLED


def test_tenant_reaches_its_own_workflow():
    owner = make_owner()
    accept(owner, 'bakers')

    assert replies(owner.request(2, QueryWorkflow(JOB, 'bakers')))[2].state
    assert replies(submit(owner, 3, 'bakers'))[3].state
    actions = owner.request(4, CancelWorkflow(JOB, 'bakers'))
    assert select_actions(actions, AppendRecord)


def test_workflows_of_public_queues_are_open():
    # A caller of a public queue carries no key, also for a job of a tenant.
    owner = make_owner(public=True)
    accept(owner, 'bakers')

    assert replies(owner.request(2, QueryWorkflow(JOB)))[2].state


@pytest.mark.parametrize('tenant', ['', 'cooks'])
def test_submission_of_an_unknown_tenant_is_not_accepted(tenant):
    # The sender's table may be older than the owner's, or newer.
    owner = make_owner()

    reply = replies(submit(owner, 1, tenant))[1]

    assert reply.refusal is RefusalKind.NOT_READY
    assert JOB not in owner.state.jobs


def test_cell_without_tenants_accepts_all_submissions():
    # Guards against refusals in deployments without tenants.
    owner = make_owner(tenants=None)

    accept(owner, '')
