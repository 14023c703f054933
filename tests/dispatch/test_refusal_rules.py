"""Tests of single rules of admission, with two full workers."""

from dataclasses import replace

import pytest

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.backlogs import correct_prediction
from sassafrasgate.dispatch.backlogs import MAX_CORRECTION
from sassafrasgate.dispatch.backlogs import MIN_CORRECTION
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.protocol.workflows import WorkflowView
from sassafrasgate.shards.events import RequestReceived
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import list_reply_messages
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import TABLE
from tests.dispatch.simulation import WALL_MS

LONG_MS = 30_000
QUICK = make_step(3, 500)


def submit(driver, number, workflow, tenant=''):
    message = SubmitWorkflow(f'{number:016x}', 'q', 1, workflow, tenant)
    request = RequestReceived(1, message, WALL_MS + driver.now)
    actions = driver.feed(request)
    driver.confirm(actions)
    (reply,) = list_reply_messages(actions)
    return reply


def fill_workers():
    """Return a driver with 16 cores in use, for which further work waits."""
    driver = Driver()
    driver.state.manages_overload = True
    for number in range(3):
        submit(driver, number, Workflow('', (make_step(8, LONG_MS),)))
    report_later(driver, 1_000)
    return driver


def reach_cap():
    """Return a driver with idle workers and a tenant that is at its cap."""
    driver = Driver(5, labels={'w0': ('big',)})
    driver.state.manages_overload = True
    tenants = (Tenant('capped', cap=Resources(8_000)), Tenant('other'))
    driver.feed(TableChanged(replace(TABLE, version=2, tenants=tenants)))
    step = make_step(8, LONG_MS, label='big')
    submit(driver, 0, Workflow('', (step,)), 'capped')
    for number in range(1, 50):
        step = make_step(3, 500, label='big')
        submit(driver, number, Workflow('', (step,)), 'capped')
    report_later(driver, 1_000)
    return driver


def report_later(driver, milliseconds):
    for _ in range(milliseconds // 250):
        driver.wait(250)
    for worker, runs in driver.running.items():
        for run in runs:
            runs[run] = driver.now * 100 // LONG_MS
        driver.report(worker)


def test_quick_job_is_refused_while_long_ones_fill_the_workers():
    # Guards against accepted jobs that come too late for their callers.
    driver = fill_workers()
    reply = submit(driver, 100, Workflow('', (QUICK,)))

    assert isinstance(reply, Refused)
    assert reply.retry_after_ms >= 1_000
    assert f'{100:016x}' not in driver.state.jobs


@pytest.mark.parametrize(
    'workflow',
    [
        Workflow('', (make_step(3, 500, long_running=True),)),
        Workflow('', (make_step(3, 0),)),
        Workflow('', (QUICK,), start_at_ms=WALL_MS + 60_000),
        Workflow('', (QUICK,), occurrences=3, interval_ms=1_000),
    ],
    ids=['long-running', 'no estimate', 'start time', 'repeated'],
)
def test_job_whose_end_cannot_be_predicted_is_accepted(workflow):
    # Guards against refusals that rest on a guess.
    reply = submit(fill_workers(), 100, workflow)

    assert isinstance(reply, WorkflowView)


def test_accepted_job_is_confirmed_when_its_caller_repeats_it():
    # Guards against a refusal of a job that has a record and will run.
    driver = fill_workers()
    reply = submit(driver, 2, Workflow('', (make_step(8, LONG_MS),)))

    assert isinstance(reply, WorkflowView)


def test_caller_that_returns_early_is_told_the_same_time():
    # Guards against callers that lose their turn, or gain one, by asking.
    driver = fill_workers()
    first = submit(driver, 100, Workflow('', (QUICK,)))
    driver.wait(500)
    second = submit(driver, 100, Workflow('', (QUICK,)))

    assert second.retry_after_ms == first.retry_after_ms - 500


def test_old_measurement_refuses_nothing():
    # Guards against refusals by a backlog that has been served.
    driver = fill_workers()
    driver.now += 2_000
    reply = submit(driver, 100, Workflow('', (QUICK,)))

    assert isinstance(reply, WorkflowView)


def test_job_behind_the_cap_of_its_tenant_is_refused():
    # Guards against jobs that wait for a cap while there is room, and against
    # a tenant that pays for the cap of another one.
    driver = reach_cap()
    capped = submit(driver, 100, Workflow('', (QUICK,)), 'capped')
    other = submit(driver, 101, Workflow('', (QUICK,)), 'other')

    assert isinstance(capped, Refused)
    assert 'at its cap' in capped.reason
    assert isinstance(other, WorkflowView)


def test_correction_follows_errors_within_its_bounds():
    # Guards against predictions that stay wrong, and against single errors
    # that switch admission off or close it.
    short = long = 1.0
    for _ in range(200):
        short = correct_prediction(short, 4_000, 100)
        long = correct_prediction(long, 1_000, 60_000)

    assert short == pytest.approx(MIN_CORRECTION, abs=0.01)
    assert long == MAX_CORRECTION
    assert correct_prediction(1.0, 1_000, 1_250) < 1.05
