"""Tests of events that an overloaded owner of a shard handles late."""

from sassafrasgate.shards.events import Ticked
from tests.shards.simulation import SimulatedShard

INBOX_DELAY_MS = 60_000


def test_tasks_are_not_lapsed_while_a_sync_waits_in_the_inbox():
    # Guards against a second attempt of a task whose worker renews its lease,
    # because the replies that tell so have not been handled yet.
    shard = SimulatedShard(rates=(1.0, 1.0, 1.0, 1.0))
    for host in shard.workers:
        shard.sync(host)
    shard.submit('job-1')
    shard.commit(20)
    shard.deliver_start(0, False)
    for host in shard.workers:
        shard.sync(host)
    tasks = dict(shard.owner.state.tasks)
    fired_at = shard.now + 100
    shard.now += INBOX_DELAY_MS
    shard.feed(Ticked(shard.now, fired_at))
    assert shard.owner.state.tasks.keys() == tasks.keys()
    assert 'lapse' not in [line.kind for line in shard.decisions]

    shard.feed(Ticked(shard.now, shard.now))
    assert 'lapse' in [line.kind for line in shard.decisions]
