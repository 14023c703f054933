"""Builders of hosts, indexes and job specs for the placement tests."""

from sassafrasgate.core.hosts import Host
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.index import HostIndex

CAPACITY = Resources(16000, 32768, 0, 8, 64)
DEMAND = Resources(1000, 1024, 0, 1, 1)


def make_host(
    number, capacity=CAPACITY, domains=4, hosts_per_rack=6, labels=()
):
    """Return host h<number>; consecutive racks are in different domains."""
    rack = number // hosts_per_rack
    return Host(
        f'h{number}', '', f'r{rack}', f'd{rack % domains}', capacity, labels
    )


def make_index(hosts=24, capacity=CAPACITY):
    """Return an index of identical hosts without reservations."""
    index = HostIndex()
    for number in range(hosts):
        index.add_host(make_host(number, capacity))
    return index


def make_spec(job_class=JobClass.BATCH, key='k', team='t', **fields):
    """Return a job spec with a small default demand."""
    fields.setdefault('demand', DEMAND)
    return JobSpec(team, key, job_class, **fields)
