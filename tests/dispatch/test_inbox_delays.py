"""Tests of events that an overloaded owner handles late.

A worker's task goes on polling and renewing its lease while its reports wait
in the inbox of the dispatcher.
"""

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.shards.events import Ticked
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'
LEASE_MS = 5_000
INBOX_DELAY_MS = 6_000


def list_kinds(actions):
    return [event.kind for event in select_actions(actions, LogEvent)]


def test_runs_are_not_lost_while_a_report_waits_in_the_inbox():
    # Guards against a second run of a task whose worker missed one poll and
    # has renewed its lease since: the timer fired between the two events.
    driver = Driver()
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 60_000)))
    driver.report(start.worker)
    fired_at = driver.now + 100
    expires_at = driver.now + LEASE_MS
    driver.now += INBOX_DELAY_MS
    actions = driver.feed(WorkerSilent(start.worker, expires_at))
    actions += driver.feed(Ticked(0, fired_at))
    actions += driver.report(start.worker)
    actions += driver.feed(Ticked(0, driver.now))

    assert 'lose' not in list_kinds(actions)
    assert not select_actions(actions, StartRun)


def test_runs_are_lost_once_the_lease_of_a_silent_worker_has_expired():
    # Guards against a silent worker whose runs never start again.
    driver = Driver()
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 60_000)))
    driver.report(start.worker)
    expires_at = driver.now + LEASE_MS
    actions = driver.feed(WorkerSilent(start.worker, expires_at))
    driver.now = expires_at
    actions += driver.feed(Ticked(0, driver.now))

    assert 'lose' in list_kinds(actions)
    (again,) = select_actions(actions, StartRun)
    assert again.worker != start.worker
