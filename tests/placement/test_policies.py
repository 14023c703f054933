"""Tests the choice of hosts, and the reasons for refusals."""

from dataclasses import replace
from random import Random

import pytest

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.index import HostIndex
from sassafrasgate.placement.policies import choose_hosts
from sassafrasgate.placement.policies import fits_inventory
from sassafrasgate.placement.policies import PlacementRequest
from tests.placement.builders import CAPACITY
from tests.placement.builders import DEMAND
from tests.placement.builders import make_host
from tests.placement.builders import make_index
from tests.placement.builders import make_spec


def choose(index, spec, **fields):
    return choose_hosts(index, PlacementRequest(spec, **fields))


@pytest.mark.parametrize('job_class', list(JobClass))
def test_every_class_has_a_policy_that_respects_free_capacity(job_class):
    index = make_index(4)
    for number in range(3):
        index.reserve(f'h{number}', 'j.0.1', CAPACITY)
    assignment = choose(index, make_spec(job_class))
    assert assignment.hosts == ('h3',)
    assert assignment.candidates == 1


def test_closed_excluded_and_overcommitted_hosts_are_not_used():
    index = make_index(4)
    index.set_open('h0', False)
    index.reserve('h1', 'j.0.1', Resources(17000), force=True)
    chosen = choose(index, make_spec(), excluded=frozenset({'h2'}))
    assert chosen.hosts == ('h3',)


def test_best_fit_fills_used_hosts_before_empty_ones():
    index = make_index(6)
    index.reserve('h4', 'j.0.1', DEMAND)
    assert choose(index, make_spec()).hosts == ('h4',)


def test_fit_is_computed_from_all_resources():
    # On h0, 5/8 of the memory is reserved, and on h1 half of the processors.
    # By processors alone, the scarcest resource here, h1 would be chosen.
    index = make_index(3)
    index.reserve('h0', 'j.0.1', Resources(0, 20480))
    index.reserve('h1', 'j.0.1', Resources(8000, 0))
    spec = make_spec(demand=Resources(4000, 1024, 0, 1, 1))
    assert choose(index, spec).hosts == ('h0',)


def test_index_gives_the_same_choice_as_a_scan_of_all_hosts():
    random = Random(7)
    index = HostIndex()
    for number in range(40):
        capacity = random.choice((CAPACITY, Resources(8000, 65536, 1, 8, 64)))
        index.add_host(make_host(number, capacity))
    for step in range(600):
        demand = Resources(
            random.randrange(1, 6000),
            random.randrange(1, 9000),
            random.choice((0, 0, 0, 1)),
            1,
            1,
        )
        name = f'h{random.randrange(40)}'
        index.set_open(name, random.random() < 0.8)
        for task in list(index.list_reservations(name)):
            index.release(name, task)
        expected = find_by_scan(index, demand, 'd1')
        chosen = choose(index, make_spec(demand=demand), local_domain='d1')
        if expected is None:
            assert chosen.kind is RefusalKind.NO_ROOM
            continue
        assert chosen.hosts == (expected,)
        index.reserve(expected, f'j{step}.0.1', demand)


def find_by_scan(index, demand, local):
    """Return the open host with the lowest cost of fit and locality."""
    costs = [
        (
            index.compute_mean_share(free)
            + 0.25 * (index.hosts[name].failure_domain != local),
            name,
        )
        for name, free in index.free_on_open_hosts.items()
        if demand.fits_in(free)
    ]
    return min(costs)[1] if costs else None


@pytest.mark.parametrize('job_class', [JobClass.QUICK, JobClass.URGENT])
def test_quick_and_urgent_jobs_get_a_local_host_regardless_of_fit(job_class):
    index = make_index(24)
    index.reserve('h0', 'j.0.1', Resources(14000, 1024, 0, 1, 1))
    chosen = choose(index, make_spec(job_class), local_domain='d2')
    assert index.hosts[chosen.hosts[0]].failure_domain == 'd2'
    for number in range(12, 18):
        index.set_open(f'h{number}', False)
    assert choose(index, make_spec(job_class), local_domain='d2').hosts == (
        'h0',
    )


def test_service_is_spread_over_domains_then_racks_then_hosts():
    index = make_index(48)
    spec = make_spec(JobClass.SERVICE, tasks=8)
    hosts = [index.hosts[name] for name in choose(index, spec).hosts]
    assert len({host.failure_domain for host in hosts[:4]}) == 4
    assert len({host.rack for host in hosts}) == 8
    more = choose(index, replace(spec, tasks=10)).hosts
    assert len(set(more)) == 10


def test_replacement_of_a_service_task_avoids_the_domains_of_the_others():
    index = make_index(24)
    spec = make_spec(JobClass.SERVICE, tasks=4)
    chosen = choose(index, spec, tasks=1, occupied=('h0', 'h6', 'h12'))
    assert index.hosts[chosen.hosts[0]].failure_domain == 'd3'


def test_gang_is_all_or_nothing_and_stays_close_together():
    index = make_index(24)
    spec = make_spec(JobClass.GANG, tasks=16)
    hosts = [index.hosts[name] for name in choose(index, spec).hosts]
    assert len({host.failure_domain for host in hosts}) == 1
    for number in range(24):
        index.reserve(f'h{number}', 'j.0.1', Resources(0, 0, 0, 8, 8))
    index.release('h3', 'j.0.1')
    refusal = choose(index, spec)
    assert refusal.kind is RefusalKind.NO_ROOM


def test_several_tasks_on_one_host_fit_there_together():
    index = make_index(2)
    spec = make_spec(
        JobClass.GANG, tasks=5, demand=Resources(6000, 1024, 0, 1, 1)
    )
    refusal = choose(index, spec)
    assert refusal.kind is RefusalKind.FITS_NOWHERE
    hosts = choose(index, replace(spec, tasks=4)).hosts
    assert sorted(hosts) == ['h0', 'h0', 'h1', 'h1']


@pytest.mark.parametrize(
    ('fields', 'kind'),
    [
        ({'demand': Resources(17000, 1, 0, 1, 1)}, RefusalKind.FITS_NOWHERE),
        ({'demand': Resources(1000, 1, 1, 1, 1)}, RefusalKind.FITS_NOWHERE),
        ({'failure_domains': ('d9',)}, RefusalKind.FITS_NOWHERE),
        ({'demand': Resources(16000, 1, 0, 1, 1)}, RefusalKind.NO_ROOM),
    ],
)
def test_refusal_distinguishes_fits_nowhere_from_no_room(fields, kind):
    index = make_index(24)
    for number in range(24):
        index.reserve(f'h{number}', 'j.0.1', DEMAND)
    assert choose(index, make_spec(**fields)).kind is kind


def test_excluded_hosts_do_not_count_as_fits_nowhere():
    # A job that failed on the only host that is large enough must wait
    # rather than be refused permanently.
    index = make_index(1)
    refusal = choose(index, make_spec(), excluded=frozenset({'h0'}))
    assert refusal.kind is RefusalKind.NO_ROOM


def test_rules_and_job_constraints_restrict_domains_and_labels():
    index = make_index(24)
    index.add_host(make_host(30, labels=('press', 'colour')))
    spec = make_spec()
    assert choose(index, spec, labels=('press',)).hosts == ('h30',)
    both = choose(
        index,
        replace(spec, failure_domains=('d1', 'd2')),
        failure_domains=('d2', 'd3'),
    )
    assert index.hosts[both.hosts[0]].failure_domain == 'd2'
    request = PlacementRequest(spec, labels=('press', 'large'))
    assert not fits_inventory(index.hosts.values(), request)


def test_demand_estimate_only_raises_the_demand():
    index = make_index(1)
    estimate = Resources(17000, 1)
    refusal = choose(index, make_spec(), demand=estimate)
    assert refusal.kind is RefusalKind.FITS_NOWHERE
    assert choose(index, make_spec(), demand=Resources(1, 1)).hosts
