"""Stateful test of one shard's decisions with faults in any order.

Checks guarantees 1, 2, 4, 5 and 9: host capacity is not exceeded, no task
runs concurrently on two hosts, jobs reported as "not run" never ran,
non-idempotent jobs run at most once, and every accepted job ends.
"""

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from sassafrasgate.core.jobs import FINAL_STATES
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.tasks import TaskOutcome
from tests.shards.simulation import SimulatedShard

HOSTS = sampled_from(['h0', 'h1'])


class ShardMachine(RuleBasedStateMachine):
    """Rules for the faults and the progress of one shard with two workers."""

    @initialize(rate=sampled_from([1.0, 0.99, 1.01]))
    def open_hosts(self, rate):
        self.shard = SimulatedShard((1.0, rate))
        for host in self.shard.workers:
            self.shard.sync(host)
        self.jobs = []

    @rule(
        number=integers(0, 5),
        idempotent=booleans(),
        kind=sampled_from([JobClass.BATCH, JobClass.URGENT, JobClass.GANG]),
    )
    def submit(self, number, idempotent, kind):
        tasks = 2 if kind is JobClass.GANG else 1
        key = f'{kind}{number}{idempotent}'
        self.jobs.append(
            self.shard.submit(
                key, idempotent=idempotent, job_class=kind, tasks=tasks
            )
        )

    @rule(count=integers(1, 8))
    def commit(self, count):
        self.shard.commit(count)

    @precondition(lambda self: self.shard.starts)
    @rule(number=integers(0, 5), lose_reply=booleans())
    def deliver_start(self, number, lose_reply):
        self.shard.deliver_start(number, lose_reply)

    @precondition(lambda self: self.shard.starts)
    @rule(number=integers(0, 5), repeat=booleans())
    def delay_start(self, number, repeat):
        if repeat:
            self.shard.duplicate_start(number)
        self.shard.delay_start(number)

    @rule(host=HOSTS, lose_reply=booleans())
    def sync(self, host, lose_reply):
        self.shard.sync(host, lose_reply)

    @rule(host=HOSTS)
    def sync_previous_owner(self, host):
        self.shard.sync_previous_owner(host)

    @rule(elapsed_ms=sampled_from([100, 1_000, 4_000, 11_000]))
    def advance(self, elapsed_ms):
        self.shard.advance(elapsed_ms)

    @rule(
        host=HOSTS,
        number=integers(0, 3),
        outcome=sampled_from([TaskOutcome.FINISHED, TaskOutcome.FAILED]),
    )
    def end_task(self, host, number, outcome):
        self.shard.end_task(host, number, outcome)

    @rule(host=HOSTS)
    def restart_worker(self, host):
        self.shard.workers[host].restart(self.shard.now)

    @rule(written=integers(0, 5))
    def take_over(self, written):
        self.shard.take_over(written)

    @precondition(lambda self: self.jobs)
    @rule(number=integers(0, 20))
    def cancel(self, number):
        self.shard.cancel(self.jobs[number % len(self.jobs)])

    @invariant()
    def guarantees_hold(self):
        if not hasattr(self, 'shard'):
            return
        self.shard.check_capacity()
        self.shard.check_no_concurrent_runs()
        self.shard.check_at_most_once()
        self.shard.check_not_run()

    def teardown(self):
        if not hasattr(self, 'shard'):
            return
        self.shard.run_to_completion()
        self.guarantees_hold()
        jobs = self.shard.owner.state.jobs
        for job_id in self.shard.accepted:
            entry = jobs[job_id]
            spec = entry.spec
            if entry.state is JobState.UNKNOWN:
                assert not spec.idempotent, entry
                continue
            assert entry.state in FINAL_STATES, entry
        assert not self.shard.owner.state.tasks


ShardMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=50
)
TestShardMachine = ShardMachine.TestCase
