"""Tests of the log lines that say why a run counts as gone."""

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.events import WorkerSilent
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'
LEASE_MS = 5_000


def find_fields(actions, kind):
    """Return the fields of the only log line of a kind."""
    (event,) = [
        event
        for event in select_actions(actions, LogEvent)
        if event.kind == kind
    ]
    return dict(event.fields)


def start_one(driver):
    (start,) = driver.confirm(driver.submit(JOB, make_step(1)))
    return start


def test_an_expired_lease_is_logged_with_its_grant_and_age():
    # Guards against a run that counts as gone without a trace of the lease
    # that was waited for.
    driver = Driver()
    start = start_one(driver)
    expires_at = driver.now + LEASE_MS
    driver.feed(WorkerSilent(start.worker, expires_at, 'no reply'))
    fields = find_fields(driver.wait(LEASE_MS + 70), 'lose')
    assert fields['evidence'] == 'lease-expired'
    assert fields['evidence_age_ms'] == 70
    assert fields['grant_epoch'] == fields['start_epoch'] == 1


def test_a_report_without_the_run_is_logged_with_its_incarnation():
    # Guards against a report of another incarnation that looks in the log
    # like one of the incarnation that was given the run.
    driver = Driver()
    start = start_one(driver)
    driver.now += 100
    driver.report(start.worker)
    driver.running[start.worker].clear()
    driver.now += 100
    fields = find_fields(driver.report(start.worker), 'lose')
    assert fields['evidence'] == 'report'
    assert fields['evidence_age_ms'] == 0
    assert fields['start_incarnation_ms'] == fields['incarnation_ms']


def test_a_wait_that_ends_is_logged_with_the_owners_it_was_for():
    # Guards against tasks that start again after a takeover while the log
    # does not say whose leases were waited for.
    driver = Driver()
    start_one(driver)
    driver.replace_owner()
    fields = find_fields(driver.wait(20_000)[:1], 'worker-settled')
    assert fields['grantor'] == 'a/1'
    assert fields['evidence_age_ms'] > 0
