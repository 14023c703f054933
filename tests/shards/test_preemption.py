"""Tests that urgent jobs preempt batch tasks, and only those allowed."""

from dataclasses import replace

from sassafrasgate.core.cells import Rule
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.shards.events import ConfigurationChanged
from tests.shards.simulation import SimulatedShard
from tests.shards.test_takeovers import run_job

RULE = Rule('urgent first', job_class='urgent', may_preempt=True)


def start_full_shard(rules, **fields):
    shard = SimulatedShard()
    for host in shard.workers:
        shard.sync(host)
    configuration = replace(
        shard.owner.state.configuration, version=2, rules=rules
    )
    shard.feed(ConfigurationChanged(configuration))
    for number in range(4):
        run_job(shard, f'b{number}', **fields)
    return shard


def run_urgent(shard):
    job_id = run_job(shard, 'u', job_class=JobClass.URGENT)
    for _ in range(3):
        for host in shard.workers:
            shard.sync(host)
        shard.commit(20)
        while shard.starts:
            shard.deliver_start(0, False)
        shard.check_capacity()
        shard.advance(500)
    return shard.owner.state.jobs[job_id]


def count_queued(shard):
    return sum(
        entry.state is JobState.QUEUED
        for entry in shard.owner.state.jobs.values()
    )


def test_urgent_job_preempts_one_idempotent_batch_task():
    shard = start_full_shard((RULE,))
    assert run_urgent(shard).state is JobState.RUNNING
    assert count_queued(shard) == 1
    shard.run_to_completion()
    states = {entry.state for entry in shard.owner.state.jobs.values()}
    assert states == {JobState.FINISHED}


def test_non_idempotent_batch_tasks_are_never_preempted():
    # Running such a task a second time could repeat its external effects.
    shard = start_full_shard((RULE,), idempotent=False)
    assert run_urgent(shard).state is JobState.QUEUED
    assert count_queued(shard) == 1


def test_no_task_is_preempted_without_a_rule():
    shard = start_full_shard(())
    assert run_urgent(shard).state is JobState.QUEUED
