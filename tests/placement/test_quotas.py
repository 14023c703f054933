"""Tests that the shares of all shards stay within a team's quota."""

import pytest

from sassafrasgate.core.cells import Team
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.quotas import QuotaLedger
from sassafrasgate.placement.quotas import QuotaReleaseError


def test_default_share_is_the_quota_divided_by_the_shards():
    ledger = QuotaLedger([Team('a', quota=Resources(10, 7))], shards=3)
    assert ledger.find_share('a') == Resources(3, 2)


def test_refusal_names_the_resource_and_others_are_unlimited():
    ledger = QuotaLedger([Team('a', quota=Resources(1000))])
    ledger.reserve('a', Resources(600, 600))
    assert ledger.check_quota('a', Resources(400, 99999)) is None
    refusal = ledger.check_quota('a', Resources(401))
    assert refusal.kind is RefusalKind.QUOTA
    assert 'millicores 1001 > 1000' in refusal.reason
    assert ledger.check_quota('other', Resources(99999)) is None


def test_share_of_zero_is_a_limit():
    ledger = QuotaLedger([Team('a', quota=Resources(1000))], shards=2)
    ledger.set_share('a', NO_RESOURCES)
    assert ledger.check_quota('a', Resources(1)).kind is RefusalKind.QUOTA


def test_lowered_share_is_never_below_the_reservations():
    ledger = QuotaLedger([Team('a', quota=Resources(1000))])
    ledger.reserve('a', Resources(600))
    assert ledger.set_share('a', Resources(100)) == Resources(600)
    ledger.release('a', Resources(500))
    assert ledger.find_reserved('a') == Resources(100)


def test_double_release_is_an_error():
    # If it were ignored, the team could exceed its quota from then on.
    ledger = QuotaLedger()
    ledger.reserve('a', Resources(1))
    ledger.release('a', Resources(1))
    with pytest.raises(QuotaReleaseError):
        ledger.release('a', Resources(1))
