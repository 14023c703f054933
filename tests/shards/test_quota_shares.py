"""Tests that shards use a shared quota in full and never exceed it."""

from dataclasses import replace
from random import Random

import pytest

from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.shards.events import ConfigurationChanged
from tests.shards.simulation import DEMAND
from tests.shards.test_transfers import ShardPair
from tests.shards.test_transfers import take_random_step

QUOTA = Resources(2000, 0, 0, 0, 0)
SHARDS = (Shard('north', 'd1', ('r1',)), Shard('south', 'd1', ('r1',)))


def make_pair():
    pair = ShardPair()
    for shard in pair.shards.values():
        configure(shard, 2)
    return pair


def configure(shard, version):
    """Configure a shard's owner with the quota and both shards."""
    state = shard.owner.state
    state.summaries.clear()
    configuration = replace(
        state.configuration,
        version=version,
        shards=SHARDS,
        teams=(Team('t', quota=QUOTA),),
    )
    shard.feed(ConfigurationChanged(configuration))


def exchange(pair, rounds=6):
    for _ in range(rounds):
        pair.collect_messages()
        while pair.sent:
            pair.deliver(0)
            pair.collect_messages()
        for shard in pair.shards.values():
            shard.commit(99)
            pair.deliver_replies()
            while shard.starts:
                shard.deliver_start(0, False)
            shard.advance(300)
        check_quota(pair)


def check_quota(pair):
    shares = NO_RESOURCES
    running = 0
    for shard in pair.shards.values():
        shares = shares + shard.owner.state.quotas.find_share('t')
        running += sum(len(w.list_running()) for w in shard.workers.values())
    assert shares.millicores <= QUOTA.millicores
    assert running * DEMAND.millicores <= QUOTA.millicores


def test_unused_share_of_one_shard_is_lent_to_the_other():
    # With an equal split of the quota and no loans, only one task would run
    # and the other half of the quota would stay unused.
    pair = make_pair()
    for number in range(3):
        pair.north.submit(f'k{number}')
    exchange(pair)
    started = [len(w.started) for w in pair.north.workers.values()]
    assert sum(started) == 2


def test_loan_survives_the_lenders_takeover():
    # A new owner that did not know of the loan would use the lent share too,
    # so that the quota would be exceeded.
    pair = make_pair()
    for number in range(3):
        pair.north.submit(f'k{number}')
    exchange(pair)
    pair.south.take_over(0)
    for host in pair.south.workers:
        pair.south.sync(host)
    pair.south.submit('other')
    exchange(pair)
    assert not any(w.started for w in pair.south.workers.values())


@pytest.mark.parametrize('seed', range(40))
def test_shares_never_exceed_the_quota_under_random_faults(seed):
    # Messages about loans are lost and repeated, and both shards are taken
    # over, while loans are in progress.
    random = Random(seed)
    pair = make_pair()
    for step in range(60):
        for shard in pair.shards.values():
            if random.random() < 0.3:
                shard.submit(f'k{step}{shard.name}')
            if random.random() < 0.05:
                shard.take_over(random.randrange(4))
        take_random_step(pair, random)
        check_quota(pair)
