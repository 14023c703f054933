"""Guards the judgement of hosts: bad hosts go, bad jobs blame no host."""

from sassafrasgate.placement.quarantine import FAILURES_IN_A_ROW
from sassafrasgate.placement.quarantine import FIRST_DELAY_MS
from sassafrasgate.placement.quarantine import HealthState
from sassafrasgate.placement.quarantine import HostHealth
from sassafrasgate.placement.quarantine import PROBATION_SUCCESSES
from sassafrasgate.placement.quarantine import PROBATION_TASKS


def fail_elsewhere_fine(health, host, now=0, jobs=('a', 'b')):
    """Let jobs fail on a host and finish on another one."""
    changes = ()
    for job in jobs:
        health.record_result(host, job, False, now)
        changes += health.record_result('good', job, True, now)
    return changes


def test_host_that_fails_what_others_finish_is_quarantined():
    health = HostHealth(24)
    (change,) = fail_elsewhere_fine(health, 'bad')
    assert (change.host, change.status) == ('bad', HealthState.QUARANTINED)
    assert health.get_task_limit('bad', 0) == 0
    assert health.get_task_limit('good', 0) is None


def test_failures_without_a_second_attempt_count_in_a_row():
    # Jobs that may not run again never finish elsewhere.
    health = HostHealth(24)
    for number in range(FAILURES_IN_A_ROW):
        health.record_result('bad', f'j{number}', False, 0)
    assert health.list_quarantined(0) == ('bad',)


def test_occasional_failures_do_not_add_up():
    health = HostHealth(24)
    for number in range(50):
        health.record_result('h', f'a{number}', False, 0)
        health.record_result('good', f'a{number}', True, 0)
        health.record_result('h', f'b{number}', True, 0)
    assert health.list_quarantined(0) == ()


def test_job_that_fails_on_healthy_hosts_is_at_fault():
    health = HostHealth(24)
    for number in range(FAILURES_IN_A_ROW * 2):
        health.record_result('h1', f'j{number}', False, 0)
        assert not health.is_job_at_fault(f'j{number}')
        health.record_result('h2', f'j{number}', False, 0)
        assert health.is_job_at_fault(f'j{number}')
    assert health.list_quarantined(0) == ()


def test_two_bad_hosts_do_not_blame_the_jobs_that_try_both():
    health = HostHealth(24)
    for number in range(2):
        health.record_result('bad1', f'x{number}', False, 0)
        health.record_result('bad2', f'y{number}', False, 0)
    health.record_result('bad1', 'j', False, 0)
    health.record_result('bad2', 'j', False, 0)
    assert not health.is_job_at_fault('j')


def test_probation_grows_longer_and_ends_with_successes():
    health = HostHealth(24)
    fail_elsewhere_fine(health, 'bad')
    now = FIRST_DELAY_MS
    assert health.find_next_change(0) == now
    assert health.get_task_limit('bad', now) == PROBATION_TASKS
    health.record_result('bad', 'c', False, now)
    assert health.get_task_limit('bad', now + FIRST_DELAY_MS) == 0
    now += 2 * FIRST_DELAY_MS
    assert health.get_task_limit('bad', now) == PROBATION_TASKS
    for number in range(PROBATION_SUCCESSES):
        assert health.get_state('bad', now) is HealthState.PROBATION
        health.record_result('bad', f'd{number}', True, now)
    assert health.get_task_limit('bad', now) is None


def test_share_of_hosts_in_quarantine_is_capped():
    for hosts, cap in ((24, 2), (3, 1)):
        health = HostHealth(hosts)
        for number in range(5):
            fail_elsewhere_fine(
                health, f'h{number}', 0, (f'{number}a', f'{number}b')
            )
        assert len(health.list_quarantined(0)) == cap


def test_memory_of_jobs_is_bounded(monkeypatch):
    monkeypatch.setattr('sassafrasgate.placement.quarantine.MAX_JOBS', 10)
    health = HostHealth(24)
    for number in range(30):
        health.record_result(f'h{number}', f'j{number}', False, 0)
    assert health.count_jobs() == 10
