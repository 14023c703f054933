"""Replays of loads that exceed a cell without tenants.

Each load is generated from a seed, and played in the order by work and in the
order by slack that it replaces.
"""

from random import Random

from sassafrasgate.core.tenants import NO_TENANT
from tests.dispatch.loads import GANG
from tests.dispatch.loads import make_arrivals
from tests.dispatch.loads import QUICK
from tests.dispatch.loads import WIDE
from tests.dispatch.test_shares import play
from tests.dispatch.test_shares import SHARE_IN_TIME

# Jobs a second that need about three quarters of the cell, by kind.
USUAL = ((QUICK, 7.5), (WIDE, 1.75), (GANG, 0.38))


def make_load(seed, quick, others):
    """Return arrivals whose rates grow by two factors for 12 s."""
    random = Random(seed)
    arrivals = []
    for kind, rate in USUAL:
        factor = quick if kind is QUICK else others
        for begin_s, end_s, part in ((0, 4, 1), (4, 16, factor), (16, 24, 1)):
            arrivals += make_arrivals(
                random, NO_TENANT, kind, rate * part, begin_s, end_s
            )
    return arrivals


def play_both(monkeypatch, load, until_s):
    """Return the players of a load in the order by slack and by work."""
    before = play(monkeypatch, 'deadline', load, {}, until_s)
    after = play(monkeypatch, 'work', load, {}, until_s)
    return before, after


def test_more_jobs_are_in_time_in_sustained_overload(monkeypatch):
    # Guards against an order that makes everything a little late when much
    # more is offered than can be done.
    load = make_load(1, 3.0, 3.0)
    before, after = play_both(monkeypatch, load, 36)

    assert after.compute_share_in_time() > before.compute_share_in_time()
    assert after.compute_share_in_time(kind=QUICK) >= SHARE_IN_TIME


def test_quick_jobs_are_in_time_in_their_own_burst(monkeypatch):
    # Guards against quick jobs behind large ones that have as little slack.
    load = make_load(4, 6.0, 1.5)
    before, after = play_both(monkeypatch, load, 32)

    in_time = after.compute_share_in_time(kind=QUICK)
    assert in_time >= SHARE_IN_TIME
    assert in_time > before.compute_share_in_time(kind=QUICK)


def test_order_is_by_slack_while_all_can_be_in_time(monkeypatch):
    # Guards against work that is delayed for its size or its priority in calm.
    load = make_load(3, 1.2, 1.2)
    before, after = play_both(monkeypatch, load, 32)

    assert after.compute_share_in_time() >= SHARE_IN_TIME
    assert after.compute_share_in_time() >= before.compute_share_in_time()


def test_gangs_start_in_time_beside_a_burst_of_wide_steps(monkeypatch):
    # Guards against gangs that starve while single tasks take all room.
    random = Random(7)
    load = make_arrivals(random, NO_TENANT, GANG, 0.3, 0, 16)
    load += make_arrivals(random, NO_TENANT, WIDE, 5.0, 2, 14)
    before, after = play_both(monkeypatch, load, 40)

    assert all(job.taken_ms >= 0 for job in after.select_jobs(kind=GANG))
    in_time = after.compute_share_in_time(kind=GANG)
    assert in_time >= before.compute_share_in_time(kind=GANG)
