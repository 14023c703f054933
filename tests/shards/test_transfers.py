"""Guards transferred attempts against running twice or getting lost.

Two shards exchange messages that are lost, repeated and late, while owners
of both change.
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


class Pair:
    """Two shards and the messages between them."""

    def __init__(self):
        self.north = SimulatedShard()
        self.south = SimulatedShard(name='south', prefix='s')
        self.shards = {'north': self.north, 'south': self.south}
        self.sent = []
        self.waiting = {}
        self.next_token = 1_000
        for shard in self.shards.values():
            for host in shard.workers:
                shard.sync(host)
        self.offer_room()

    def offer_room(self):
        """Tell north that south has room, and the other way round."""
        for name, shard in self.shards.items():
            other = 'south' if name == 'north' else 'north'
            summary = Summary(other, 1, LARGE, LARGE, 0, 'd1')
            shard.feed(SummaryReceived(summary))

    def collect(self):
        for name, shard in self.shards.items():
            self.sent += [(name, message) for message in shard.outbox]
            shard.outbox.clear()

    def deliver(self, position, keep=False):
        """Deliver one message; a kept one may be delivered again."""
        sender, message = self.sent[position]
        if not keep:
            del self.sent[position]
        self.next_token += 1
        self.waiting[self.next_token] = (sender, message)
        receiver = self.shards[message.shard]
        receiver.feed(RequestReceived(self.next_token, message, receiver.now))
        self.answer()

    def answer(self, lose=False):
        """Carry answers back, or lose them."""
        for shard in self.shards.values():
            replies, shard.replies = shard.replies, []
            for token, answer in replies:
                waiting = self.waiting.pop(token, None)
                if waiting is None:
                    continue
                sender, message = waiting
                heard = None if lose else answer
                self.shards[sender].feed(PeerAnswered(message, heard))

    def settle(self):
        for _ in range(80):
            self.collect()
            while self.sent:
                self.deliver(0)
                self.collect()
            for shard in self.shards.values():
                shard.cut.clear()
                while shard.starts:
                    shard.deliver_start(0, False)
                for host in shard.workers:
                    shard.sync(host)
                shard.commit(99)
                self.answer()
                for host in shard.workers:
                    shard.end_task(host, 0, TaskOutcome.FINISHED)
                shard.advance(1_000)

    def check(self):
        """No job runs in two places; at most once where it matters."""
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


def walk(pair, random):
    """Take one random step."""
    pair.collect()
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
        pair.answer(lose=random.random() < 0.2)
    elif step < 15 and shard.starts:
        shard.deliver_start(random.randrange(9), random.random() < 0.2)
    elif step < 16:
        shard.sync(host, random.random() < 0.2)
    elif step < 17:
        shard.end_task(host, 0, TaskOutcome.FINISHED)
    elif step < 18:
        for each in pair.shards.values():
            each.advance(random.choice([200, 1_200, 4_000]))
        pair.offer_room()
    elif step < 19 and random.random() < 0.3:
        shard.take_over(random.randrange(4))
    elif pair.north.specs and random.random() < 0.3:
        pair.north.cancel(random.choice(sorted(pair.north.specs)))


@pytest.mark.parametrize('seed', range(100))
def test_transferred_jobs_run_in_one_place_and_end(seed):
    random = Random(seed)
    pair = Pair()
    for number in range(8):
        pair.north.submit(f'k{number}', idempotent=number % 2 == 0)
    for _ in range(STEPS):
        walk(pair, random)
        pair.check()
    pair.settle()
    pair.check()
    jobs = pair.north.owner.state.jobs
    for job_id in sorted(pair.north.accepted):
        entry = jobs[job_id]
        if entry.state is JobState.UNKNOWN:
            assert not entry.spec.idempotent, entry
            continue
        assert entry.state in FINAL_STATES, entry
    assert not pair.north.owner.state.transfers


def test_full_shard_uses_the_other_ones_hosts():
    # Both clocks pass the time that a job waits at home first.
    pair = Pair()
    for number in range(6):
        pair.north.submit(f'k{number}')
    for _ in range(6):
        for shard in pair.shards.values():
            shard.commit(99)
            shard.advance(500)
        pair.offer_room()
        pair.collect()
        while pair.sent:
            pair.deliver(0)
            pair.collect()
        for shard in pair.shards.values():
            while shard.starts:
                shard.deliver_start(0, False)
    started = [len(w.started) for w in pair.south.workers.values()]
    assert sum(started) == 2, started


def test_transfer_is_not_sent_before_it_is_in_the_journal():
    # An owner that was paused past a takeover sent a transfer whose record
    # could not be written any more, and the job ran a second time.
    pair = Pair()
    for number in range(6):
        pair.north.submit(f'k{number}', idempotent=False)
    pair.north.commit(99)
    for _ in range(4):
        pair.north.advance(1_000)
        pair.offer_room()
    assert pair.north.owner.state.transfers
    pair.collect()
    assert not [m for _, m in pair.sent if m.kind == 'transfer']
    pair.north.commit(99)
    pair.collect()
    assert [m for _, m in pair.sent if m.kind == 'transfer']
