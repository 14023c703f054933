"""Tests of the refusal of work that an overloaded owner can't do in time."""

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.admission import REFUSAL_DELAY_MS
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.protocol.workflows import WorkflowView
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import Ticked
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

JOB = '00000000000000aa'
OTHER_JOB = '00000000000000ab'


def delay_ticks(driver, delay_ms, ticks=3):
    for _ in range(ticks):
        driver.now += 100
        driver.feed(Ticked(0, driver.now, driver.now - delay_ms))


def test_late_owner_refuses_a_job_before_its_record_is_written():
    # Guards against accepted jobs whose callers have given up.
    driver = Driver()
    delay_ticks(driver, REFUSAL_DELAY_MS + 100)
    actions = driver.submit(JOB, make_step(3))

    (reply,) = select_actions(actions, Reply)
    assert isinstance(reply.message, Refused)
    assert reply.message.refusal is RefusalKind.OVERLOADED
    assert reply.message.retry_after_ms > REFUSAL_DELAY_MS
    assert not select_actions(actions, AppendRecord)


def test_refused_callers_return_one_after_the_other():
    # Guards against a second burst when all refused callers return at once.
    driver = Driver()
    delay_ticks(driver, REFUSAL_DELAY_MS + 100)
    waits = []
    for job in (JOB, OTHER_JOB):
        (reply,) = select_actions(driver.submit(job, make_step(3)), Reply)
        waits.append(reply.message.retry_after_ms)

    assert waits[1] > waits[0]


def test_accepted_job_is_confirmed_while_the_owner_is_late():
    # Guards against a refusal of a job that has a record and will run.
    driver = Driver()
    driver.submit(JOB, make_step(3))
    delay_ticks(driver, REFUSAL_DELAY_MS + 100)
    (reply,) = select_actions(driver.submit(JOB, make_step(3)), Reply)

    assert isinstance(reply.message, WorkflowView)


def test_pause_of_the_process_refuses_nothing():
    # Guards against refusals after a pause that has left no queue behind.
    driver = Driver()
    delay_ticks(driver, 5_000, ticks=1)
    delay_ticks(driver, 0, ticks=2)
    (reply,) = select_actions(driver.submit(JOB, make_step(3)), Reply)

    assert isinstance(reply.message, WorkflowView)


def test_owner_accepts_again_once_it_is_in_time():
    # Guards against refusals that outlast their cause.
    driver = Driver()
    delay_ticks(driver, REFUSAL_DELAY_MS + 100)
    delay_ticks(driver, 0, ticks=3)
    (reply,) = select_actions(driver.submit(JOB, make_step(3)), Reply)

    assert isinstance(reply.message, WorkflowView)


def test_attempt_whose_sender_has_given_up_has_no_effect():
    # Guards against acceptances that earn nothing and keep the owner late.
    driver = Driver()
    workflow = Workflow('payload', (make_step(3),))
    message = SubmitWorkflow(JOB, 'q', 1, workflow)
    actions = driver.feed(RequestReceived(1, message, WALL_MS, driver.now - 1))

    (reply,) = select_actions(actions, Reply)
    assert reply.message.refusal is RefusalKind.OVERLOADED
    assert JOB not in driver.state.jobs
