"""Tests that transferred attempts neither run twice nor get lost.

Two shards exchange messages that are lost, repeated and delayed, while both
shards are taken over by new owners.
"""

from random import Random

import pytest

from sassafrasgate.core.jobs import FINAL_STATES
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.protocol.messages import Summary
from sassafrasgate.shards.events import PeerAnswered
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import SummaryReceived
from tests.shards.simulation import SimulatedShard

LARGE = Resources(4000, 4000, 0, 4, 4)
STEPS = 80


class ShardPair:
    """Two shards and the messages in transit between them."""

    def __init__(self):
        self.north = SimulatedShard()
        self.south = SimulatedShard(name='south', prefix='s')
        self.shards = {'north': self.north, 'south': self.south}
        self.sent = []
        self.open_requests = {}
        self.next_token = 1_000
        for shard in self.shards.values():
            for host in shard.workers:
                shard.sync(host)
        self.exchange_summaries()

    def exchange_summaries(self):
        """Give each shard a summary with ample capacity of the other one."""
        for name, shard in self.shards.items():
            other = 'south' if name == 'north' else 'north'
            summary = Summary(other, 1, LARGE, LARGE, 0, 'd1')
            shard.feed(SummaryReceived(summary))

    def collect_messages(self):
        for name, shard in self.shards.items():
            self.sent += [(name, message) for message in shard.outbox]
            shard.outbox.clear()

    def deliver(self, position, keep=False):
        """Deliver one message; a kept message may be delivered again."""
        sender, message = self.sent[position]
        if not keep:
            del self.sent[position]
        self.next_token += 1
        self.open_requests[self.next_token] = (sender, message)
        receiver = self.shards[message.shard]
        receiver.feed(RequestReceived(self.next_token, message, receiver.now))
        self.deliver_replies()

    def deliver_replies(self, lose=False):
        """Deliver all replies to the senders, or lose them."""
        for shard in self.shards.values():
            replies, shard.replies = shard.replies, []
            for token, reply in replies:
                request = self.open_requests.pop(token, None)
                if request is None:
                    continue
                sender, message = request
                received = None if lose else reply
                self.shards[sender].feed(PeerAnswered(message, received))

    def run_to_completion(self):
        for _ in range(80):
            self.collect_messages()
            while self.sent:
                self.deliver(0)
                self.collect_messages()
            for shard in self.shards.values():
                shard.partitioned_hosts.clear()
                while shard.starts:
                    shard.deliver_start(0, False)
                for host in shard.workers:
                    shard.sync(host)
                shard.commit(99)
                self.deliver_replies()
                for host in shard.workers:
                    shard.end_task(host, 0, TaskOutcome.FINISHED)
                shard.advance(1_000)

    def check_guarantees(self):
        """Check capacities, concurrent runs and at-most-once starts."""
        places = {}
        counts = {}
        for shard in self.shards.values():
            shard.check_capacity()
            for worker in shard.workers.values():
                for task in worker.list_running():
                    job_id = task.request.task.split('.')[0]
                    assert job_id not in places, (job_id, places)
                    places[job_id] = worker.name
                for name in worker.started:
                    job_id = name.split('.')[0]
                    counts[job_id] = counts.get(job_id, 0) + 1
        for job_id, spec in self.north.specs.items():
            if not spec.idempotent:
                assert counts.get(job_id, 0) <= 1, job_id


def take_random_step(pair, random):
    """Take one random step: a fault, a delivery or a request."""
    pair.collect_messages()
    shard = random.choice(list(pair.shards.values()))
    host = random.choice(list(shard.workers))
    step = random.randrange(20)
    if step < 4:
        key = f'k{random.randrange(12)}'
        pair.north.submit(key, idempotent=random.random() < 0.5)
    elif step < 9 and pair.sent:
        position = random.randrange(len(pair.sent))
        pair.deliver(position, keep=random.random() < 0.3)
    elif step < 10 and pair.sent:
        sender, message = pair.sent.pop(random.randrange(len(pair.sent)))
        pair.shards[sender].feed(PeerAnswered(message, None))
    elif step < 13:
        shard.commit(random.randint(1, 9))
        pair.deliver_replies(lose=random.random() < 0.2)
    elif step < 15 and shard.starts:
        shard.deliver_start(random.randrange(9), random.random() < 0.2)
    elif step < 16:
        shard.sync(host, random.random() < 0.2)
    elif step < 17:
        shard.end_task(host, 0, TaskOutcome.FINISHED)
    elif step < 18:
        for each in pair.shards.values():
            each.advance(random.choice([200, 1_200, 4_000]))
        pair.exchange_summaries()
    elif step < 19 and random.random() < 0.3:
        shard.take_over(random.randrange(4))
    elif pair.north.specs and random.random() < 0.3:
        pair.north.cancel(random.choice(sorted(pair.north.specs)))


@pytest.mark.parametrize('seed', range(100))
def test_transferred_jobs_never_run_concurrently_and_end(seed):
    random = Random(seed)
    pair = ShardPair()
    for number in range(8):
        pair.north.submit(f'k{number}', idempotent=number % 2 == 0)
    for _ in range(STEPS):
        take_random_step(pair, random)
        pair.check_guarantees()
    pair.run_to_completion()
    pair.check_guarantees()
    jobs = pair.north.owner.state.jobs
    for job_id in sorted(pair.north.accepted):
        entry = jobs[job_id]
        if entry.state is JobState.UNKNOWN:
            assert not entry.spec.idempotent, entry
            continue
        assert entry.state in FINAL_STATES, entry
    assert not pair.north.owner.state.transfers


def test_full_shard_transfers_jobs_to_the_other_shard():
    # The clocks of both shards advance beyond the time for which a job waits
    # on its home shard.
    pair = ShardPair()
    for number in range(6):
        pair.north.submit(f'k{number}')
    for _ in range(6):
        for shard in pair.shards.values():
            shard.commit(99)
            shard.advance(500)
        pair.exchange_summaries()
        pair.collect_messages()
        while pair.sent:
            pair.deliver(0)
            pair.collect_messages()
        for shard in pair.shards.values():
            while shard.starts:
                shard.deliver_start(0, False)
    started = [len(w.started) for w in pair.south.workers.values()]
    assert sum(started) == 2, started


def test_transfer_is_sent_only_after_its_record_is_durable():
    # An owner that was paused during a takeover could otherwise send a
    # transfer whose record can no longer be written, and the job would run a
    # second time.
    pair = ShardPair()
    for number in range(6):
        pair.north.submit(f'k{number}', idempotent=False)
    pair.north.commit(99)
    for _ in range(4):
        pair.north.advance(1_000)
        pair.exchange_summaries()
    assert pair.north.owner.state.transfers
    pair.collect_messages()
    assert not [m for _, m in pair.sent if m.kind == 'transfer']
    pair.north.commit(99)
    pair.collect_messages()
    assert [m for _, m in pair.sent if m.kind == 'transfer']
