"""Tests of an owner that is offered more than it can do."""

from tests.dispatch.overload import JOBS_PER_S
from tests.dispatch.overload import SaturatedOwner

# A report or a reply that waits longer is taken for a silent owner.
MAX_DELAY_MS = 1_500


def test_owner_serves_in_time_again_within_seconds_after_an_overload():
    # Guards against a queue of attempts that nobody waits for any more, which
    # keeps an owner busy long after the load has fallen.
    owner = SaturatedOwner([0.5] * 3 + [1.3] * 10 + [0.5] * 10)
    owner.run()

    offered, in_time = owner.count(16, 22)
    assert in_time >= 0.95 * offered


def test_goodput_at_twice_the_capacity_stays_near_that_of_one_time():
    # Guards against acceptances that can't be started in time.
    owner = SaturatedOwner([2.0] * 20)
    owner.run()

    _, in_time = owner.count(5, 17)
    assert in_time >= 0.7 * JOBS_PER_S * 12


def test_events_are_handled_while_an_owner_is_overloaded():
    # Guards against reports and renewals that wait behind requests for longer
    # than others wait for the owner.
    owner = SaturatedOwner([2.0] * 15)
    owner.run()

    assert owner.most_delay_ms <= MAX_DELAY_MS


def test_successor_in_a_burst_serves_in_time_within_seconds():
    # Guards against a successor that accepts all that has waited for it.
    owner = SaturatedOwner([0.5] * 2 + [1.3] * 5 + [0.5] * 8)
    owner.replace_owner(5)
    owner.run()

    offered, in_time = owner.count(10, 14)
    assert owner.state.epoch == 2
    assert in_time >= 0.95 * offered
