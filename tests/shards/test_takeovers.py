"""Tests what a new owner may conclude about the previous owner's tasks."""

from dataclasses import replace

import pytest

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.journal.records import Takeover
from sassafrasgate.shards.events import ConfigurationChanged
from sassafrasgate.shards.ownership import OUTAGE_GRACE_MS
from sassafrasgate.shards.recovery import begin_ownership
from sassafrasgate.shards.recovery import list_snapshot_records
from sassafrasgate.shards.recovery import replay_records
from sassafrasgate.shards.state import ShardState
from sassafrasgate.shards.transitions import decide
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


def find_busy_host(shard):
    return next(w.name for w in shard.workers.values() if w.list_running())


def test_takeover_waits_for_leases_that_the_previous_owner_renews():
    # The new owner cannot reach the host, while the previous owner still
    # renews leases there within its grace period. A second attempt that did
    # not wait for these leases would run concurrently with the first.
    shard = start_shard()
    run_job(shard, 'k')
    host = find_busy_host(shard)
    other = next(name for name in shard.workers if name != host)
    shard.take_over(0)
    shard.partitioned_hosts.add(host)
    for _ in range(40):
        shard.sync_previous_owner(host)
        shard.sync(host)
        shard.sync(other)
        shard.commit(9)
        while [s for s in shard.starts if s.shard == other]:
            shard.deliver_start(0, False)
        shard.check_no_concurrent_runs()
        shard.advance(1_000)
    assert len(shard.workers[other].started) == 1
    assert GRACE_MS < OUTAGE_GRACE_MS


def test_quick_requests_of_the_previous_owner_count_against_capacity():
    # Quick requests are not in the journal, so that only the worker's sync
    # reply shows them.
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
    shard.run_to_completion()
    assert all(entry.has_ended for entry in shard.owner.state.jobs.values())


def test_unsent_start_is_recognized_after_a_takeover():
    # The journal names the host and the incarnation. The worker does not
    # know the task and refuses older epochs, so the task cannot have run and
    # even a non-idempotent job may start again.
    shard = start_shard()
    job_id = shard.submit('k', idempotent=False, demand=DEMAND)
    shard.commit(9)
    shard.starts.clear()
    shard.take_over(0)
    shard.run_to_completion()
    assert shard.owner.state.jobs[job_id].state is JobState.FINISHED


def test_repeated_quick_request_joins_an_attempt_that_timed_out():
    # A second attempt would run on another host concurrently with the first
    # one, whose caller has timed out.
    shard = start_shard()
    run_job(shard, 'q', job_class=JobClass.QUICK, deadline_s=1.0)
    shard.advance(1_500)
    run_job(shard, 'q', job_class=JobClass.QUICK, deadline_s=1.0)
    shard.check_no_concurrent_runs()
    assert sum(len(w.started) for w in shard.workers.values()) == 1


def test_failed_task_is_released_only_after_its_record():
    # A new owner that found neither the record nor the task would conclude
    # that the job never ran.
    shard = start_shard()
    run_job(shard, 'k')
    host = find_busy_host(shard)
    shard.end_task(host, 0, TaskOutcome.FAILED)
    for _ in range(3):
        shard.sync(host)
    assert shard.workers[host].tasks
    shard.commit(9)
    for _ in range(2):
        shard.sync(host)
    ended = [t for t in shard.workers[host].tasks.values() if t.ended]
    assert not ended


class LossyShard(SimulatedShard):
    """A shard whose stop calls can be lost."""

    loses_stops = False

    def _stop(self, owner, action):
        if not self.loses_stops:
            super()._stop(owner, action)


def test_a_lost_stop_of_a_task_of_an_ended_job_is_repeated():
    # Guards against a task that runs on for as long as its owner lives: the
    # owner has ended the task's attempt, and the only stop call was lost.
    shard = LossyShard()
    for host in shard.workers:
        shard.sync(host)
    run_job(shard, 'k')
    worker = shard.workers[find_busy_host(shard)]
    (task,) = worker.list_running()
    running = replace(task, lease_clock=1_000_000)
    shard.run_to_completion()
    worker.tasks[task.request.task] = running
    shard.loses_stops = True
    shard.sync(worker.name)
    shard.loses_stops = False
    shard.advance(1_000)
    assert not worker.list_running()


@pytest.mark.parametrize('by_snapshot', [False, True])
def test_wait_covers_the_longest_grace_of_all_earlier_owners(by_snapshot):
    # Guards against a successor with a shorter grace that hides an owner
    # with a longer one, which still renews leases.
    records = [
        Takeover(1, 'first', 120_000, 3_000),
        Takeover(2, 'second', 0, 1_000),
    ]
    if by_snapshot:
        records = list(list_snapshot_records(take_over(records, 'second')))
    third = take_over([*records, Takeover(3, 'third', 0, 1_000)], 'third')
    waits_ms = [
        host.leases_expire_at - third.now for host in third.hosts.values()
    ]
    assert min(waits_ms) > 123_000


def take_over(records, owner):
    """Return the state of an owner that has replayed its takeover record."""
    shard = start_shard()
    state = ShardState(shard.name, owner)
    decide(state, ConfigurationChanged(shard.configuration), shard.now)
    replay_records(state, records)
    begin_ownership(state, shard.now)
    return state
