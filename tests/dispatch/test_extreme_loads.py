"""Tests of decisions about overload with extreme inputs."""

from dataclasses import replace

import pytest

from sassafrasgate.core.inputs import MAX_INTEGER
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.shares import find_fair_level
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.dispatch.backlogs import build_backlog
from sassafrasgate.dispatch.backlogs import WaitingWork
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.load_refusals import find_weight_share
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.shards.events import Ticked
from tests.dispatch.drivers import Driver
from tests.dispatch.simulation import make_step

CAPACITY = Resources(16_000, 32_000)


@pytest.mark.parametrize('duration_ms', [0, 1, 1_000, MAX_INTEGER])
@pytest.mark.parametrize('amount', [100_000, MAX_INTEGER * 100_000])
def test_schedule_of_any_job_takes_bounded_time(amount, duration_ms):
    # Guards against an accepted job that keeps each owner busy for ever: the
    # schedule took a step for each part of its amount.
    work = WaitingWork(0, 10**18, 10**18, 0, 0, amount, duration_ms)
    ends = [(1_000 + number, 10) for number in range(20)]

    backlog = build_backlog(1_000, 'millicores', 200, 0, ends, [work, work])

    assert backlog.drained_at >= 1_000


@pytest.mark.parametrize('tasks', [1, 100_000])
@pytest.mark.parametrize('estimate_ms', [0, 1_000])
def test_job_that_fits_on_no_worker_stops_no_measurement(tasks, estimate_ms):
    # Guards against the same through the handlers of a tick and a pass.
    driver = Driver(3, CAPACITY)
    driver.state.manages_overload = True
    demand = Resources(MAX_INTEGER, 1)
    step = replace(make_step(tasks, estimate_ms), demand=demand)
    driver.submit('00000000000000ab', step)

    for _ in range(4):
        driver.now += 300
        driver.feed(Ticked(0))
        driver.feed(PassDue())

    assert driver.state.waiting_steps


@pytest.mark.parametrize(
    'weights',
    [
        {'a': 2e10, 'b': 1e-6},
        {'a': 9e15, 'b': 1e-6, 'c': 1e-6},
        {'a': 1.0, 'b': 1.0},
    ],
)
def test_fair_level_of_unlike_weights_is_positive(weights):
    # Guards against a division by zero in each pass: the difference of two
    # sums of weights is rounded to 0.
    assert find_fair_level(dict.fromkeys(weights, 0.6), weights) > 0


def test_tenant_without_weight_has_a_share():
    # Guards against a division by zero in the handler of a submission.
    state = DispatchState('cell', 'a/1')
    tenants = (Tenant('a', weight=0.0), Tenant('b', weight=0.0))
    state.routing_table = RoutingTable(1, (), (), tenants)

    assert 0 < find_weight_share(state, 'a', ['b']) < 1


def test_queue_that_moves_to_another_pool_stops_no_pass():
    # Guards against a lookup of the pool at acceptance, which has no usable
    # worker.
    driver = Driver(3, CAPACITY)
    driver.state.manages_overload = True
    table = driver.state.routing_table
    queues = tuple(replace(queue, pool='other') for queue in table.queues)
    moved = replace(table, version=98, queues=queues)
    driver.feed(TableChanged(moved))
    driver.submit('00000000000000ab', make_step(1, 100))
    assert driver.state.waiting_steps

    driver.feed(TableChanged(replace(table, version=99)))

    assert not driver.state.waiting_steps
