"""Replays of loads in which tenants compete for a full pool.

Each load is generated from a seed, and played in the order of the shares and
in the one that it replaces.
"""

from dataclasses import replace
from random import Random

from sassafrasgate.core.shares import find_fair_level
from sassafrasgate.dispatch import scheduling_passes
from sassafrasgate.dispatch.policies import ORDERS
from sassafrasgate.dispatch.policies import PATIENCE_MS
from tests.dispatch.loads import CAPACITY
from tests.dispatch.loads import GANG
from tests.dispatch.loads import LoadPlayer
from tests.dispatch.loads import make_arrivals
from tests.dispatch.loads import QUICK
from tests.dispatch.loads import WIDE

# What callers need who submit no more than they are entitled to.
SHARE_IN_TIME = 0.95
# In any window of this length, a tenant with enough work gets its share less
# this many of the largest steps.
WINDOW_S = 10
MAX_LAG_STEPS = 2
# Workers of the small cell in which this is checked, and its steps.
SMALL_CELL = 8
SHORT = replace(WIDE, tasks=6, task_ms=1_500, millicores=1_000)
# Within the mean duration of a step, no order finds room in a pool that one
# tenant has just filled.
FILLED_S = 6
# Jobs a second that use most of the capacity, by kind.
USUAL = ((QUICK, 9.0), (WIDE, 2.1), (GANG, 0.45))


def make_usual(random, tenant, share, begin_s, end_s):
    """Return a tenant's share of the usual load."""
    return [
        arrival
        for kind, rate in USUAL
        for arrival in make_arrivals(
            random, tenant, kind, rate * share, begin_s, end_s
        )
    ]


def make_hot_tenant(seed):
    """Return the load of five tenants, one of which sends eight times more."""
    random = Random(seed)
    weights = {f't{number}': 3.0 for number in range(5)}
    arrivals = []
    for tenant in weights:
        arrivals += make_usual(random, tenant, 0.2, 0, 20)
    arrivals += make_usual(random, 't0', 1.4, 4, 12)
    return arrivals, weights


def play(monkeypatch, order, arrivals, weights, until_s, workers=44):
    """Return the player of a load after a time in seconds."""
    monkeypatch.setattr(scheduling_passes, 'order_steps', ORDERS.find(order))
    player = LoadPlayer(arrivals, weights, workers)
    player.play(until_s)
    return player


def compute_others_in_time(player):
    """Return the share in time of the jobs of all tenants but the first."""
    jobs = player.select_jobs()
    others = [job for job in jobs if job.arrival.tenant != 't0']
    return sum(job.in_time for job in others) / len(others)


def test_hot_tenant_pays_for_its_own_surplus(monkeypatch):
    # Guards against a tenant that delays the others by sending eight times
    # what it usually does.
    arrivals, weights = make_hot_tenant(1)
    before = play(monkeypatch, 'deadline', arrivals, weights, 26)
    after = play(monkeypatch, 'shares', arrivals, weights, 26)

    assert compute_others_in_time(after) >= SHARE_IN_TIME
    assert compute_others_in_time(after) > compute_others_in_time(before)


def test_surplus_is_served_from_what_is_left(monkeypatch):
    # Guards against capacity that stays idle while surplus waits.
    random = Random(3)
    weights = {'t0': 1.0, 't1': 3.0}
    arrivals = make_usual(random, 't0', 0.8, 0, 12)
    arrivals += make_usual(random, 't1', 0.1, 0, 12)
    before = play(monkeypatch, 'deadline', arrivals, weights, 24)
    after = play(monkeypatch, 'shares', arrivals, weights, 24)

    assert any(job.surplus for job in after.state.jobs.values())
    assert after.compute_share_in_time(tenant='t0') >= SHARE_IN_TIME
    assert sum(after.served.values()) >= 0.98 * sum(before.served.values())


def test_order_is_the_same_while_there_is_room_for_all(monkeypatch):
    # Guards against shares that delay work in calm.
    random = Random(4)
    weights = {f't{number}': 3.0 for number in range(5)}
    arrivals = []
    for tenant in weights:
        arrivals += make_usual(random, tenant, 0.1, 0, 10)
    before = play(monkeypatch, 'deadline', arrivals, weights, 20)
    after = play(monkeypatch, 'shares', arrivals, weights, 20)

    ends = [[job.taken_ms for job in p.jobs.values()] for p in (before, after)]
    assert ends[0] == ends[1]


def test_quick_jobs_of_others_pass_a_tenant_with_wide_steps(monkeypatch):
    # Guards against quick jobs that wait for the wide steps of one tenant,
    # and against long work of their own that puts them behind these.
    random = Random(2)
    weights = {'big': 2.0, **{f't{number}': 2.0 for number in range(6)}}
    arrivals = make_arrivals(random, 'big', WIDE, 10.0, 2, 14)
    for tenant in list(weights)[1:]:
        arrivals += make_arrivals(random, tenant, QUICK, 0.8, 0, 18)
        arrivals += make_arrivals(random, tenant, WIDE, 0.15, 0, 18)
    before = play(monkeypatch, 'deadline', arrivals, weights, 26)
    after = play(monkeypatch, 'shares', arrivals, weights, 26)

    in_time = [
        player.compute_share_in_time(kind=QUICK, begin_s=FILLED_S)
        for player in (before, after)
    ]
    assert in_time[1] >= SHARE_IN_TIME
    assert in_time[1] > in_time[0]


def find_most_lag(player, weights, end_s):
    """Return by how many core-seconds a tenant lacked most of its share."""
    cores = SMALL_CELL * CAPACITY.millicores / 1_000
    total = sum(weights.values())
    return max(
        cores * WINDOW_S * weight / total
        - sum(
            player.served.get((tenant, second), 0)
            for second in range(begin_s, begin_s + WINDOW_S)
        )
        for tenant, weight in weights.items()
        for begin_s in range(WINDOW_S, end_s - WINDOW_S)
    )


def test_tenants_with_enough_work_get_their_shares_in_any_window(monkeypatch):
    # Guards against a tenant that is starved for a while, also one of small
    # weight beside large ones.
    random = Random(5)
    weights = {'t0': 8.0, 't1': 4.0, **{f's{n}': 1.0 for n in range(8)}}
    arrivals = []
    for tenant, weight in weights.items():
        arrivals += make_arrivals(random, tenant, SHORT, weight * 1.5, 0, 30)
    lags = []
    for order in ('deadline', 'shares'):
        player = play(monkeypatch, order, arrivals, weights, 30, SMALL_CELL)
        lags.append(find_most_lag(player, weights, 30))

    bound = MAX_LAG_STEPS * max(job.core_s for job in player.jobs.values())
    assert lags[1] <= bound < lags[0]


def test_successor_under_load_marks_the_same_surplus(monkeypatch):
    # Guards against a takeover after which a hot tenant's surplus is owed.
    arrivals, weights = make_hot_tenant(1)
    player = play(monkeypatch, 'shares', arrivals, weights, 8)
    before = {job.job_id: job.surplus for job in player.state.jobs.values()}
    player.replace_owner_at(8)
    player.play(8.001)
    after = {job.job_id: job.surplus for job in player.state.jobs.values()}
    player.play(26)

    assert player.state.epoch == 2
    assert before == after and any(before.values())
    assert compute_others_in_time(player) >= SHARE_IN_TIME


def test_surplus_that_has_waited_for_long_is_placed_first(monkeypatch):
    # Guards against surplus that never starts while others fill the pool.
    random = Random(6)
    weights = {'t0': 0.1, 't1': 20.0}
    arrivals = make_arrivals(random, 't0', WIDE, 3.0, 0, 2)
    arrivals += make_arrivals(random, 't1', WIDE, 8.0, 0, 60)
    player = play(monkeypatch, 'shares', arrivals, weights, 60)

    surplus = player.select_jobs('t0')
    bound_ms = PATIENCE_MS + 2_000 * len(surplus)
    assert all(0 <= job.first_start_ms <= bound_ms for job in surplus)


def test_fair_level_gives_small_demands_in_full():
    # Guards against shares that are reserved for tenants that don't use them.
    wanted = {'a': 0.1, 'b': 0.9, 'c': 2.0}
    level = find_fair_level(wanted, {'a': 1.0, 'b': 1.0, 'c': 2.0})
    assert abs(level - 0.3) < 1e-9
