"""Tests of which workers a scheduling pass may use, and what is free there."""

from dataclasses import replace

import pytest

from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.entries import SlowPeriod
from sassafrasgate.dispatch.health import INITIAL_PAUSE_MS
from sassafrasgate.dispatch.health import SUSPECT_FAILURE_COUNT
from sassafrasgate.dispatch.health import WorkerHealth
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.plans import find_total_free
from sassafrasgate.dispatch.plans import make_plan
from sassafrasgate.dispatch.plans import match_workers
from tests.dispatch.drivers import CAPACITY
from tests.dispatch.drivers import Driver
from tests.dispatch.simulation import make_step

UNUSABLE = (
    {'silent_since': 1},
    {'registered': False},
    {'epoch_acknowledged': False},
    {'recorded': False},
    {'unknown_runs': frozenset({RunKey('a.0.0.0', 1)})},
    {'avoid_until': 10**9},
)


@pytest.mark.parametrize('changes', UNUSABLE, ids=lambda c: next(iter(c)))
def test_worker_that_may_get_no_run_is_not_usable(changes):
    # Guards against starts on a worker that is gone, leaving or unknown.
    driver = Driver(workers=2)
    assert set(make_plan(driver.state).usable['p']) == {'w0', 'w1'}
    driver.state.update_worker('w0', **changes)
    assert set(make_plan(driver.state).usable['p']) == {'w1'}


def test_leaving_slow_and_failing_workers_are_not_usable():
    driver = Driver(workers=4)
    state = driver.state
    leaving = replace(state.workers['w0'].registration, leaving=True)
    state.update_worker('w0', registration=leaving)
    state.slow_workers['w1'] = SlowPeriod(0.1, state.now + 500, 500)
    health = WorkerHealth(
        SUSPECT_FAILURE_COUNT,
        pause_ms=INITIAL_PAUSE_MS,
        paused_until=state.now + INITIAL_PAUSE_MS,
    )
    state.health['w2'] = health
    assert set(make_plan(state).usable['p']) == {'w3'}
    # In its probation after the pause, the worker may get a few runs.
    state.now = health.paused_until
    plan = make_plan(state)
    assert 'w2' in plan.usable['p']
    assert plan.allowances['w2'] > 0


def test_negative_free_capacity_counts_as_none():
    # Guards against a gang or task that is held back by a worker whose
    # capacity has shrunk below what runs there.
    driver = Driver(workers=2)
    driver.state.free_resources['w0'] = Resources(-3_000, -1)
    plan = make_plan(driver.state)
    assert plan.max_free['p'] == CAPACITY
    assert find_total_free(driver.state, plan, 'p') == CAPACITY


def test_paused_workers_are_used_if_a_step_may_run_nowhere_else():
    # Guards against a job that has nothing running for seconds because all
    # workers that it may use are paused as slow.
    driver = Driver(workers=3, labels={'w1': ('b',), 'w2': ('b',)})
    for worker in ('w1', 'w2'):
        driver.state.slow_workers[worker] = SlowPeriod(
            0.1, driver.now + 5_000, 5_000
        )
    plan = make_plan(driver.state)
    assert set(plan.usable['p']) == {'w0'}
    assert set(match_workers(make_step(), plan, 'p')) == {'w0'}
    step = make_step(2, label='b')
    assert set(match_workers(step, plan, 'p')) == {'w1', 'w2'}
    starts = driver.confirm(driver.submit('00000000000000aa', step))
    assert len(starts) == 2
    assert {start.worker for start in starts} <= {'w1', 'w2'}
