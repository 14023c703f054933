"""Guards the calls to the advice service."""

import pytest

from sassafrasgate.core.workflows import Advice
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import AdviceAnswered
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.state import StepKey
from sassafrasgate.dispatch.transitions import decide
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import RequestReceived
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import pick
from tests.dispatch.simulation import ADVISED
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

JOB = '5c0e7a21d94b36f8'
KEY = StepKey(JOB, 0, 0)


def submit(driver, step):
    """Hand a job in whose record is not durable yet; return the actions."""
    workflow = Workflow('payload', (step,))
    message = SubmitWorkflow(JOB, 'advised', 1, workflow)
    request = RequestReceived(1, message, WALL_MS)
    actions = list(decide(driver.state, request, driver.now, WALL_MS))
    return workflow, actions + look(driver)


def look(driver):
    return list(decide(driver.state, PassDue(), driver.now, WALL_MS))


def answer(driver, *workers):
    advice = Advice(tuple((name, 'ticket') for name in workers), 2_000)
    event = AdviceAnswered(KEY, 'host-0', tuple(workers), advice, driver.now)
    list(decide(driver.state, event, driver.now, WALL_MS))
    return look(driver)


@pytest.mark.parametrize('gang', [False, True])
def test_a_job_without_a_durable_record_asks_once(gang):
    # Guards against calls every few milliseconds, for tickets that lapse
    # unused, while the store is down.
    driver = Driver(workers=2)
    workflow, actions = submit(driver, make_step(2, 500, gang=gang))
    assert len(pick(actions, AskAdvice)) == 1

    assert not pick(answer(driver, 'w0'), AskAdvice)
    driver.now += 5_000
    assert not pick(look(driver), AskAdvice)

    record = WorkflowAccepted(JOB, ADVISED, workflow, WALL_MS)
    actions = driver.feed(RecordsDurable((record,)))
    assert pick(actions, AskAdvice)


def test_a_job_starts_with_the_tickets_that_came_before_its_record():
    # Guards against advice that is only asked for once a job is durable.
    driver = Driver(workers=2)
    workflow, _ = submit(driver, make_step(2, 500))
    answer(driver, 'w0', 'w1')

    record = WorkflowAccepted(JOB, ADVISED, workflow, WALL_MS)
    assert len(pick(driver.feed(RecordsDurable((record,))), StartRun)) == 2


def test_the_freest_workers_are_asked_about_first():
    # Guards against a fleet larger than one call, of which always the same
    # part is used.
    driver = Driver(workers=3)
    driver.confirm(driver.submit('00000000000000aa', make_step(1, 9_000)))
    (busy,) = driver.state.runs_by_worker

    _, actions = submit(driver, make_step(1, 500))

    (call,) = pick(actions, AskAdvice)
    assert call.workers[-1] == busy
