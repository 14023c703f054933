"""Guards quotas over several shards: never exceeded, and not stranded."""

from dataclasses import replace
from random import Random

import pytest

from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.shards.events import ConfigurationChanged
from tests.shards.simulation import DEMAND
from tests.shards.test_transfers import Pair
from tests.shards.test_transfers import walk

QUOTA = Resources(2000, 0, 0, 0, 0)
SHARDS = (Shard('north', 'd1', ('r1',)), Shard('south', 'd1', ('r1',)))


def make_pair():
    pair = Pair()
    for shard in pair.shards.values():
        configure(shard, 2)
    return pair


def configure(shard, version):
    """Give a shard's owner the quota and both shards' names."""
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
        pair.collect()
        while pair.sent:
            pair.deliver(0)
            pair.collect()
        for shard in pair.shards.values():
            shard.commit(99)
            pair.answer()
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


def test_share_that_one_shard_does_not_use_serves_the_other():
    # An equal split alone would let one task run and strand the rest.
    pair = make_pair()
    for number in range(3):
        pair.north.submit(f'k{number}')
    exchange(pair)
    started = [len(w.started) for w in pair.north.workers.values()]
    assert sum(started) == 2


def test_loan_survives_the_lenders_takeover():
    # A lender that forgot its loan would use the same part again.
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
def test_shares_never_exceed_the_quota_on_a_random_walk(seed):
    # Loans cross lost and repeated messages and takeovers of both shards.
    random = Random(seed)
    pair = make_pair()
    for step in range(60):
        for shard in pair.shards.values():
            if random.random() < 0.3:
                shard.submit(f'k{step}{shard.name}')
            if random.random() < 0.05:
                shard.take_over(random.randrange(4))
        walk(pair, random)
        check_quota(pair)
