"""Tests of an owner that acts on although another one may have replaced it."""

from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import LeaseConfirmed
from sassafrasgate.dispatch.events import WorkerSilent
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import INCARNATION_MS
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'
LEASE_MS = 1_000
WORKER_LEASE_MS = 5_000


def make_isolated_driver():
    """Return an owner that has lost the worker of a task, and the store."""
    driver = Driver()
    (start,) = driver.confirm(driver.submit(JOB, make_step(1)))
    driver.report(start.worker)
    driver.feed(LeaseConfirmed(driver.now + LEASE_MS))
    driver.feed(
        WorkerSilent(start.worker, driver.now + WORKER_LEASE_MS, 'no reply')
    )
    return driver, start


def test_lease_that_a_successor_may_renew_does_not_expire():
    # Guards against an owner on the small side of a partition that starts
    # tasks again which its successor keeps alive on the other side.
    driver, _ = make_isolated_driver()
    assert not select_actions(driver.wait(3 * WORKER_LEASE_MS), StartRun)


def test_lease_has_expired_once_the_owner_is_confirmed():
    # Guards against tasks of a lost worker that never start again after an
    # outage of the store.
    driver, _ = make_isolated_driver()
    driver.wait(3 * WORKER_LEASE_MS)
    driver.feed(LeaseConfirmed(driver.now + LEASE_MS))
    assert select_actions(driver.wait(100), StartRun)


def test_restart_seen_by_an_owner_that_may_be_replaced_loses_no_run():
    # Guards against a task that starts again although the successor has
    # learned that it ended on the previous incarnation.
    driver, start = make_isolated_driver()
    driver.wait(2 * LEASE_MS)
    driver.running[start.worker].clear()
    actions = driver.report(start.worker, incarnation_ms=INCARNATION_MS + 1)
    assert not select_actions(actions, StartRun)
    driver.feed(LeaseConfirmed(driver.now + LEASE_MS))
    actions = driver.report(start.worker, incarnation_ms=INCARNATION_MS + 1)
    assert select_actions(actions, StartRun)
