"""Guards what a new owner may conclude about its predecessor's tasks."""

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.shards.ownership import OUTAGE_GRACE_MS
from tests.shards.simulation import DEMAND
from tests.shards.simulation import GRACE_MS
from tests.shards.simulation import SimulatedShard


def start_shard():
    shard = SimulatedShard()
    for host in shard.workers:
        shard.sync(host)
    return shard


def run_job(shard, key, **fields):
    job_id = shard.submit(key, **fields)
    shard.commit(9)
    while shard.starts:
        shard.deliver_start(0, False)
    return job_id


def find_busy(shard):
    return next(w.name for w in shard.workers.values() if w.list_running())


def test_leases_that_a_former_owner_still_renews_are_waited_out():
    # The new owner can't reach the host, the former one still renews there
    # within its grace: a second attempt would run beside the first.
    shard = start_shard()
    run_job(shard, 'k')
    host = find_busy(shard)
    other = next(name for name in shard.workers if name != host)
    shard.take_over(0)
    shard.cut.add(host)
    for _ in range(40):
        shard.sync_former(host)
        shard.sync(host)
        shard.sync(other)
        shard.commit(9)
        while [s for s in shard.starts if s.shard == other]:
            shard.deliver_start(0, False)
        shard.check_single_place()
        shard.advance(1_000)
    assert len(shard.workers[other].started) == 1
    assert GRACE_MS < OUTAGE_GRACE_MS


def test_quick_requests_of_a_former_owner_count_against_capacity():
    # They are in no journal, so only the worker's list shows them.
    shard = start_shard()
    for number in range(4):
        run_job(shard, f'q{number}', job_class=JobClass.QUICK, deadline_s=5.0)
    shard.take_over(0)
    for host in shard.workers:
        shard.sync(host)
    for number in range(4):
        run_job(shard, f'k{number}')
        shard.check_capacity()
    waiting = [
        entry
        for entry in shard.owner.state.jobs.values()
        if entry.state is JobState.QUEUED
    ]
    assert len(waiting) == 4
    shard.settle()
    assert all(entry.has_ended for entry in shard.owner.state.jobs.values())


def test_start_that_never_left_is_known_after_a_takeover():
    # The journal names host and incarnation; the worker does not know the
    # task and refuses older epochs, so a non-idempotent job may still run.
    shard = start_shard()
    job_id = shard.submit('k', idempotent=False, demand=DEMAND)
    shard.commit(9)
    shard.starts.clear()
    shard.take_over(0)
    shard.settle()
    assert shard.owner.state.jobs[job_id].state is JobState.FINISHED


def test_same_key_waits_for_a_quick_attempt_whose_caller_gave_up():
    # The second request ran on another host beside the first one.
    shard = start_shard()
    run_job(shard, 'q', job_class=JobClass.QUICK, deadline_s=1.0)
    shard.advance(1_500)
    run_job(shard, 'q', job_class=JobClass.QUICK, deadline_s=1.0)
    shard.check_single_place()
    assert sum(len(w.started) for w in shard.workers.values()) == 1


def test_failed_task_is_released_only_after_its_record():
    # A successor that finds neither record nor task would take the job for
    # one that never ran.
    shard = start_shard()
    run_job(shard, 'k')
    host = find_busy(shard)
    shard.end_task(host, 0, TaskOutcome.FAILED)
    for _ in range(3):
        shard.sync(host)
    assert shard.workers[host].tasks
    shard.commit(9)
    for _ in range(2):
        shard.sync(host)
    ended = [t for t in shard.workers[host].tasks.values() if t.ended]
    assert not ended
