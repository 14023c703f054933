"""Small builders that the placement tests share."""

from sassafrasgate.core.hosts import Host
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.index import HostIndex

CAPACITY = Resources(16000, 32768, 0, 8, 64)
DEMAND = Resources(1000, 1024, 0, 1, 1)


def make_host(number, capacity=CAPACITY, domains=4, racks_of=6, labels=()):
    """Return host h<number>; racks of six alternate over the domains."""
    rack = number // racks_of
    return Host(
        f'h{number}', '', f'r{rack}', f'd{rack % domains}', capacity, labels
    )


def make_index(hosts=24, capacity=CAPACITY):
    """Return an index of equal, empty hosts."""
    index = HostIndex()
    for number in range(hosts):
        index.add_host(make_host(number, capacity))
    return index


def make_spec(job_class=JobClass.BATCH, key='k', team='t', **fields):
    """Return a job spec with a small demand."""
    fields.setdefault('demand', DEMAND)
    return JobSpec(team, key, job_class, **fields)
