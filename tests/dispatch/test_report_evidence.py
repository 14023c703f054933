"""Tests of reports that do not show that a run is gone."""

from dataclasses import replace

from sassafrasgate.core.workflows import EndedRun
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import RunningRun
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.events import WorkerSilent
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import INCARNATION_MS
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'


def make_running_driver():
    driver = Driver()
    (start,) = driver.confirm(driver.submit(JOB, make_step(1)))
    driver.now += 100
    return driver, start


def test_report_of_an_ended_incarnation_loses_no_run():
    # Guards against a delayed report of an earlier incarnation that counts as
    # another restart, so that running tasks start again elsewhere.
    driver, start = make_running_driver()
    driver.running[start.worker].clear()
    driver.report(start.worker, incarnation_ms=INCARNATION_MS + 1)
    (start,) = select_actions(driver.actions, StartRun)[-1:]
    driver.running[start.worker] = {start.run: 0}
    driver.now += 100
    driver.report(start.worker, incarnation_ms=INCARNATION_MS + 1)
    report = WorkerReport(driver.now, INCARNATION_MS, (), ())
    actions = driver.feed(WorkerReported(start.worker, report, driver.now, 0))
    assert not select_actions(actions, StartRun)
    assert driver.state.find_run(start.worker, start.run) is not None


def make_page(driver, runs, lists_all_ends):
    """Return a report with ends of other tasks, and the given runs."""
    ended = tuple(
        EndedRun(number, f'{JOB}.9.9.9', number, EndKind.STOPPED, '')
        for number in (1, 2)
    )
    running = tuple(RunningRun(run.task, run.run, '', 0) for run in runs)
    return WorkerReport(
        driver.now, INCARNATION_MS, running, ended, lists_all_ends
    )


def test_run_that_a_page_of_ends_does_not_list_is_not_gone():
    # Guards against a task that starts again because its end is on a later
    # page of the worker's list.
    driver, start = make_running_driver()
    driver.report(start.worker)
    driver.now += 100
    page = make_page(driver, (), lists_all_ends=False)
    event = WorkerReported(start.worker, page, driver.now, driver.now + 5_000)
    assert not select_actions(driver.feed(event), StartRun)
    driver.now += 100
    rest = replace(page, clock_ms=driver.now, lists_all_ends=True)
    actions = driver.feed(replace(event, report=rest))
    assert select_actions(actions, StartRun)


def test_report_does_not_shorten_the_lease_that_was_granted_before():
    # Guards against a worker whose new address makes the owner forget the
    # leases that calls to the old address have granted.
    driver, start = make_running_driver()
    expires_at = driver.now + 9_000
    driver.feed(WorkerSilent(start.worker, expires_at, 'no reply'))
    report = WorkerReport(driver.now, INCARNATION_MS, (), ())
    driver.feed(WorkerReported(start.worker, report, driver.now, 0))
    assert driver.state.workers[start.worker].leases_expire_at == expires_at


def test_page_of_ends_does_not_reconcile_a_worker():
    # Guards against a task whose end is on a later page, and which the
    # successor of its owner starts again after the first one.
    driver, start = make_running_driver()
    driver.report(start.worker)
    driver.replace_owner()
    other = next(name for name in driver.running if name != start.worker)
    driver.report(other)
    page = make_page(driver, (), lists_all_ends=False)
    event = WorkerReported(start.worker, page, driver.now, driver.now + 5_000)
    assert not select_actions(driver.feed(event), StartRun)
    assert not select_actions(driver.wait(20_000), StartRun)
    rest = replace(page, clock_ms=driver.now, lists_all_ends=True)
    actions = driver.feed(replace(event, report=rest))
    assert select_actions(actions, StartRun)


def test_reply_of_an_ended_incarnation_does_not_confirm_a_run():
    # Guards against a task that waits for as long as its worker's previous
    # incarnation had been up, since the clock of that incarnation counts.
    driver = Driver(workers=1)
    (start,) = select_actions(driver.submit(JOB, make_step(1)), StartRun)
    driver.now += 100
    driver.running[start.worker].clear()
    driver.report(start.worker, incarnation_ms=INCARNATION_MS + 1)
    driver.feed(
        RunAnswered(start.worker, start.run, RunReply(482_113), INCARNATION_MS)
    )
    driver.now += 100
    actions = driver.report(start.worker, incarnation_ms=INCARNATION_MS + 1)
    assert select_actions(actions, StartRun)
