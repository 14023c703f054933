"""Guards quotas: the shares of all shards stay within a team's quota."""

from hypothesis import given
from hypothesis import settings
from hypothesis.strategies import builds
from hypothesis.strategies import integers
from hypothesis.strategies import lists
import pytest

from sassafrasgate.core.cells import Team
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.resources import NOTHING
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.quotas import DemandSummary
from sassafrasgate.placement.quotas import divide_quota
from sassafrasgate.placement.quotas import plan_share_change
from sassafrasgate.placement.quotas import QuotaLedger
from sassafrasgate.placement.quotas import QuotaReleaseError

AMOUNTS = builds(Resources, integers(0, 50), integers(0, 9), integers(0, 2))
SUMMARIES = lists(
    builds(lambda a, b: (a, b), AMOUNTS, AMOUNTS), min_size=1, max_size=6
)


def summarize(pairs):
    return [
        DemandSummary(f's{number}', reserved, waiting)
        for number, (reserved, waiting) in enumerate(pairs)
    ]


def add_up(amounts):
    total = NOTHING
    for amount in amounts:
        total = total + amount
    return total


@settings(derandomize=True, deadline=None, max_examples=300)
@given(AMOUNTS, SUMMARIES)
def test_division_adds_up_and_covers_what_is_reserved(quota, pairs):
    summaries = summarize(pairs)
    shares = divide_quota(quota, summaries)
    assert add_up(shares.values()) == quota
    if add_up(summary.reserved for summary in summaries).fits_in(quota):
        for summary in summaries:
            assert summary.reserved.fits_in(shares[summary.shard])


@settings(derandomize=True, deadline=None, max_examples=200)
@given(AMOUNTS, SUMMARIES, SUMMARIES)
def test_no_mix_of_steps_exceeds_the_quota(quota, before, after):
    # Shards apply a step at different times, so any mix may be in force.
    current = divide_quota(quota, summarize(before))
    target = divide_quota(quota, summarize(after))
    first, second = plan_share_change(current, target)
    shards = sorted({*current, *target})
    for one, other in ((current, first), (first, second)):
        largest = [
            one.get(shard, NOTHING).cover(other.get(shard, NOTHING))
            for shard in shards
        ]
        assert add_up(largest).fits_in(quota)
    assert second == target


def test_default_shares_are_the_quota_by_shards():
    ledger = QuotaLedger([Team('a', quota=Resources(10, 7))], shards=3)
    assert ledger.find_share('a') == Resources(3, 2)


def test_refusal_names_the_resource_and_unlimited_ones_pass():
    ledger = QuotaLedger([Team('a', quota=Resources(1000))])
    ledger.reserve('a', Resources(600, 600))
    assert ledger.may_reserve('a', Resources(400, 99999)) is None
    refusal = ledger.may_reserve('a', Resources(401))
    assert refusal.kind is RefusalKind.QUOTA
    assert 'millicores 1001 > 1000' in refusal.reason
    assert ledger.may_reserve('other', Resources(99999)) is None


def test_share_of_zero_is_a_limit_not_its_absence():
    ledger = QuotaLedger([Team('a', quota=Resources(1000))], shards=2)
    ledger.set_share('a', NOTHING)
    assert ledger.may_reserve('a', Resources(1)).kind is RefusalKind.QUOTA


def test_lowered_share_is_never_below_what_runs():
    ledger = QuotaLedger([Team('a', quota=Resources(1000))])
    ledger.reserve('a', Resources(600))
    assert ledger.set_share('a', Resources(100)) == Resources(600)
    ledger.release('a', Resources(500))
    assert ledger.find_reserved('a') == Resources(100)


def test_double_release_is_an_error():
    # Otherwise the team could exceed its quota from then on.
    ledger = QuotaLedger()
    ledger.reserve('a', Resources(1))
    ledger.release('a', Resources(1))
    with pytest.raises(QuotaReleaseError):
        ledger.release('a', Resources(1))
