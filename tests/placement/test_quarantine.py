"""Tests that faulty hosts are quarantined, and faulty jobs detected."""

from sassafrasgate.placement.quarantine import HealthState
from sassafrasgate.placement.quarantine import HostHealth
from sassafrasgate.placement.quarantine import INITIAL_QUARANTINE_MS
from sassafrasgate.placement.quarantine import MAX_PROBATION_TASKS
from sassafrasgate.placement.quarantine import MIN_CONSECUTIVE_FAILURES
from sassafrasgate.placement.quarantine import MIN_PROBATION_SUCCESSES


def fail_and_complete_elsewhere(health, host, now=0, jobs=('a', 'b')):
    """Let jobs fail on a host and complete on another one."""
    changes = ()
    for job in jobs:
        health.record_result(host, job, False, now)
        changes += health.record_result('good', job, True, now)
    return changes


def test_host_whose_failed_jobs_complete_elsewhere_is_quarantined():
    health = HostHealth(24)
    (change,) = fail_and_complete_elsewhere(health, 'bad')
    assert (change.host, change.status) == ('bad', HealthState.QUARANTINED)
    assert health.get_task_limit('bad', 0) == 0
    assert health.get_task_limit('good', 0) is None


def test_failures_in_a_row_need_no_second_attempt():
    # Jobs that may not be retried never complete on another host.
    health = HostHealth(24)
    for number in range(MIN_CONSECUTIVE_FAILURES):
        health.record_result('bad', f'j{number}', False, 0)
    assert health.list_quarantined(0) == ('bad',)


def test_failures_before_a_success_are_not_counted():
    health = HostHealth(24)
    for number in range(50):
        health.record_result('h', f'a{number}', False, 0)
        health.record_result('good', f'a{number}', True, 0)
        health.record_result('h', f'b{number}', True, 0)
    assert health.list_quarantined(0) == ()


def test_job_that_fails_on_healthy_hosts_is_at_fault():
    health = HostHealth(24)
    for number in range(MIN_CONSECUTIVE_FAILURES * 2):
        health.record_result('h1', f'j{number}', False, 0)
        assert not health.is_job_at_fault(f'j{number}')
        health.record_result('h2', f'j{number}', False, 0)
        assert health.is_job_at_fault(f'j{number}')
    assert health.list_quarantined(0) == ()


def test_jobs_that_fail_on_two_faulty_hosts_are_not_considered_faulty():
    health = HostHealth(24)
    for number in range(2):
        health.record_result('bad1', f'x{number}', False, 0)
        health.record_result('bad2', f'y{number}', False, 0)
    health.record_result('bad1', 'j', False, 0)
    health.record_result('bad2', 'j', False, 0)
    assert not health.is_job_at_fault('j')


def test_quarantine_grows_longer_and_probation_ends_with_successes():
    health = HostHealth(24)
    fail_and_complete_elsewhere(health, 'bad')
    now = INITIAL_QUARANTINE_MS
    assert health.find_next_change(0) == now
    assert health.get_task_limit('bad', now) == MAX_PROBATION_TASKS
    health.record_result('bad', 'c', False, now)
    assert health.get_task_limit('bad', now + INITIAL_QUARANTINE_MS) == 0
    now += 2 * INITIAL_QUARANTINE_MS
    assert health.get_task_limit('bad', now) == MAX_PROBATION_TASKS
    for number in range(MIN_PROBATION_SUCCESSES):
        assert health.get_state('bad', now) is HealthState.PROBATION
        health.record_result('bad', f'd{number}', True, now)
    assert health.get_task_limit('bad', now) is None


def test_number_of_quarantined_hosts_is_limited():
    for hosts, limit in ((24, 2), (3, 1)):
        health = HostHealth(hosts)
        for number in range(5):
            fail_and_complete_elsewhere(
                health, f'h{number}', 0, (f'{number}a', f'{number}b')
            )
        assert len(health.list_quarantined(0)) == limit


def test_number_of_tracked_jobs_is_limited(monkeypatch):
    monkeypatch.setattr(
        'sassafrasgate.placement.quarantine.MAX_TRACKED_JOBS', 10
    )
    health = HostHealth(24)
    for number in range(30):
        health.record_result(f'h{number}', f'j{number}', False, 0)
    assert health.count_tracked_jobs() == 10
