"""Long randomized runs of one shard with faults and fixed seeds.

Checks guarantees 1, 2, 4, 5 and 9: host capacity is not exceeded, no task
runs concurrently on two hosts, jobs reported as "not run" never ran,
non-idempotent jobs run at most once, and every accepted job ends. The
stateful test in `test_state_machine` finds short failing cases; these runs
reach states that take many steps.
"""

from random import Random

import pytest

from sassafrasgate.core.jobs import FINAL_STATES
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.tasks import TaskOutcome
from tests.shards.simulation import SimulatedShard

STEPS = 120
SEEDS = 150

ACTIONS = Registry('action')
WEIGHTS = {}


def register_action(weight):
    def add_action(action):
        WEIGHTS[action.__name__] = weight
        return ACTIONS.register(action.__name__)(action)

    return add_action


@register_action(6)
def submit(shard, random):
    kind = random.choice([JobClass.BATCH, JobClass.URGENT, JobClass.GANG])
    idempotent = random.random() < 0.5
    shard.submit(
        f'{kind}{random.randrange(8)}{idempotent}',
        idempotent=idempotent,
        job_class=kind,
        tasks=2 if kind is JobClass.GANG else 1,
    )


@register_action(3)
def submit_quick(shard, random):
    shard.submit(
        f'quick{random.randrange(4)}',
        job_class=JobClass.QUICK,
        deadline_s=random.choice([1.0, 5.0]),
    )


@register_action(2)
def toggle_partition(shard, random):
    shard.partitioned_hosts ^= {random.choice(['h0', 'h1'])}


@register_action(8)
def commit(shard, random):
    shard.commit(random.randint(1, 9))


@register_action(8)
def deliver_start(shard, random):
    if shard.starts:
        shard.deliver_start(random.randrange(9), random.random() < 0.3)


@register_action(2)
def delay_start(shard, random):
    if shard.starts:
        if random.random() < 0.5:
            shard.duplicate_start(random.randrange(9))
        shard.delay_start(random.randrange(9))


@register_action(8)
def sync(shard, random):
    shard.sync(random.choice(['h0', 'h1']), random.random() < 0.2)


@register_action(5)
def sync_previous_owner(shard, random):
    shard.sync_previous_owner(random.choice(['h0', 'h1']))


@register_action(6)
def advance(shard, random):
    shard.advance(random.choice([100, 1_000, 2_000, 4_000, 11_000]))


@register_action(4)
def end_task(shard, random):
    outcome = random.choice([TaskOutcome.FINISHED, TaskOutcome.FAILED])
    shard.end_task(random.choice(['h0', 'h1']), random.randrange(4), outcome)


@register_action(1)
def restart_worker(shard, random):
    shard.workers[random.choice(['h0', 'h1'])].restart(shard.now)


@register_action(1)
def take_over(shard, random):
    shard.take_over(random.randrange(6))


@register_action(1)
def cancel(shard, random):
    jobs = sorted(shard.specs)
    if jobs:
        shard.cancel(random.choice(jobs))


@pytest.mark.parametrize('seed', range(SEEDS))
def test_guarantees_hold_under_random_faults(seed):
    random = Random(seed)
    shard = SimulatedShard((1.0, random.choice([0.99, 1.0, 1.01])))
    names = list(WEIGHTS)
    weights = list(WEIGHTS.values())
    for _ in range(STEPS):
        ACTIONS.find(random.choices(names, weights)[0])(shard, random)
        check_guarantees(shard)
    shard.run_to_completion()
    check_guarantees(shard)
    jobs = shard.owner.state.jobs
    for job_id in sorted(shard.accepted):
        entry = jobs[job_id]
        if entry.state is JobState.UNKNOWN:
            assert not entry.spec.idempotent, entry
            continue
        assert entry.state in FINAL_STATES, entry
    assert not shard.owner.state.tasks


def check_guarantees(shard):
    shard.check_capacity()
    shard.check_no_concurrent_runs()
    shard.check_at_most_once()
    shard.check_not_run()
