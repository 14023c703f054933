"""Tests of the calls to the advice service."""

import pytest

from sassafrasgate.core.workflows import Advice
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import AdviceAnswered
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.transitions import decide
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import RequestReceived
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import ADVISED
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

JOB = '5c0e7a21d94b36f8'
KEY = StepKey(JOB, 0, 0)


def submit(driver, step):
    """Submit a job whose record is not durable yet; return the actions."""
    workflow = Workflow('payload', (step,))
    message = SubmitWorkflow(JOB, 'advised', 1, workflow)
    request = RequestReceived(1, message, WALL_MS)
    actions = list(decide(driver.state, request, driver.now, WALL_MS))
    return workflow, actions + run_pass(driver)


def run_pass(driver):
    return list(decide(driver.state, PassDue(), driver.now, WALL_MS))


def deliver_advice(driver, *workers):
    advice = Advice(tuple((name, 'ticket') for name in workers), 2_000)
    event = AdviceAnswered(KEY, 'host-0', tuple(workers), advice, driver.now)
    list(decide(driver.state, event, driver.now, WALL_MS))
    return run_pass(driver)


@pytest.mark.parametrize('gang', [False, True])
def test_a_job_without_a_durable_record_asks_once(gang):
    # Guards against repeated calls for tickets that expire unused while the
    # store is unavailable: a job without a durable record can't start.
    driver = Driver(workers=2)
    workflow, actions = submit(driver, make_step(2, 500, gang=gang))
    assert len(select_actions(actions, AskAdvice)) == 1

    assert not select_actions(deliver_advice(driver, 'w0'), AskAdvice)
    driver.now += 5_000
    assert not select_actions(run_pass(driver), AskAdvice)

    record = WorkflowAccepted(JOB, ADVISED, workflow, WALL_MS)
    actions = driver.feed(RecordsDurable((record,)))
    assert select_actions(actions, AskAdvice)


def test_a_job_starts_with_the_tickets_that_came_before_its_record():
    # Guards against a delay of the start: the call to the advice service must
    # not wait until the record of the job is durable.
    driver = Driver(workers=2)
    workflow, _ = submit(driver, make_step(2, 500))
    deliver_advice(driver, 'w0', 'w1')

    record = WorkflowAccepted(JOB, ADVISED, workflow, WALL_MS)
    assert (
        len(select_actions(driver.feed(RecordsDurable((record,))), StartRun))
        == 2
    )


def test_the_freest_workers_are_asked_about_first():
    # If there are more workers than one call may ask about, calls must not
    # always ask about the same ones.
    driver = Driver(workers=3)
    driver.confirm(driver.submit('00000000000000aa', make_step(1, 9_000)))
    (busy,) = driver.state.runs_by_worker

    _, actions = submit(driver, make_step(1, 500))

    (call,) = select_actions(actions, AskAdvice)
    assert call.workers[-1] == busy
