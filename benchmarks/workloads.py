"""Random job streams that follow the workloads of two customers."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from math import exp
from random import Random

from sassafrasgate.core.cells import Team
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import Resources

# Factors by which the demands of jobs of one kind vary; their mean is 1.
SIZE_FACTORS = (0.5, 0.75, 1.0, 1.0, 1.25, 1.5)
# Standard deviation of the logarithm of run times. It is large because the
# run times that callers declare are inaccurate.
RUN_TIME_SIGMA = 0.8


@dataclass(frozen=True, slots=True)
class JobKind:
    """A kind of job of a workload.

    Parameters
    ----------
    share : float
        Fraction of the offered work, where the work of a task is its
        run time times the largest share of a host's resource that it takes.
    run_s : float
        Mean run time in seconds.
    tasks : tuple of int
        Numbers of tasks that a job may have, all equally likely.
    deadline_s : float
        Deadline for the start, in seconds; 0 for none.
    """

    job_class: JobClass
    team: str
    share: float
    demand: Resources
    run_s: float
    tasks: tuple[int, ...] = (1,)
    deadline_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Workload:
    """Hosts, teams and kinds of jobs of one customer.

    Parameters
    ----------
    capacity : Resources
        Capacity of each host.
    domains : int
        Number of failure domains.
    rack_size : int
        Hosts per rack.
    """

    name: str
    capacity: Resources
    domains: int
    rack_size: int
    kinds: tuple[JobKind, ...]
    teams: tuple[Team, ...]


@dataclass(frozen=True, slots=True)
class Arrival:
    """Arrival of one job in a stream.

    Parameters
    ----------
    at : int
        Time of arrival in ms.
    run_ms : int
        Actual run time of each task.
    domain : str
        Failure domain of the caller.
    """

    at: int
    job_id: str
    spec: JobSpec
    run_ms: int
    domain: str


BRAZOS = Workload(
    'Brazos',
    Resources(16000, 32768, 0, 8, 64),
    4,
    6,
    (
        JobKind(
            JobClass.QUICK,
            'stock',
            0.06,
            Resources(500, 256, 0, 1, 1),
            0.15,
            deadline_s=2.0,
        ),
        JobKind(
            JobClass.URGENT,
            'orders',
            0.06,
            Resources(2000, 2048, 0, 1, 1),
            2.0,
            deadline_s=5.8,
        ),
        JobKind(
            JobClass.BATCH,
            'orders',
            0.20,
            Resources(1000, 2048, 0, 1, 1),
            6.0,
        ),
        JobKind(
            JobClass.BATCH,
            'ledger',
            0.18,
            Resources(3000, 4096, 0, 1, 2),
            8.0,
        ),
        JobKind(
            JobClass.BATCH,
            'seasonal',
            0.15,
            Resources(2000, 12288, 0, 1, 2),
            10.0,
        ),
        JobKind(
            JobClass.SERVICE,
            'stock',
            0.20,
            Resources(2000, 3072, 0, 1, 8),
            30.0,
            (2, 3, 4),
        ),
        JobKind(
            JobClass.GANG,
            'seasonal',
            0.15,
            Resources(4000, 4096, 0, 1, 4),
            8.0,
            (4, 8),
        ),
    ),
    (Team('stock', 2), Team('orders', 3), Team('ledger', 2), Team('seasonal')),
)

SUENARIO = Workload(
    'Sueñario',
    Resources(32000, 131072, 0, 8, 64),
    3,
    8,
    (
        JobKind(
            JobClass.QUICK,
            'previews',
            0.12,
            Resources(2000, 2048, 0, 1, 1),
            0.3,
            deadline_s=1.0,
        ),
        JobKind(
            JobClass.URGENT,
            'press',
            0.06,
            Resources(4000, 8192, 0, 1, 1),
            2.0,
            deadline_s=5.8,
        ),
        JobKind(
            JobClass.BATCH,
            'digests',
            0.25,
            Resources(6000, 16384, 0, 1, 2),
            6.0,
        ),
        JobKind(
            JobClass.BATCH,
            'volumes',
            0.22,
            Resources(8000, 49152, 0, 1, 2),
            12.0,
        ),
        JobKind(
            JobClass.SERVICE,
            'previews',
            0.20,
            Resources(3000, 8192, 0, 1, 8),
            30.0,
            (2, 3),
        ),
        JobKind(
            JobClass.GANG,
            'digests',
            0.15,
            Resources(8000, 16384, 0, 1, 4),
            8.0,
            (3, 6),
        ),
    ),
    (Team('previews', 3), Team('press', 2), Team('digests'), Team('volumes')),
)
WORKLOADS = (BRAZOS, SUENARIO)


def make_hosts(workload: Workload, count: int = 24) -> list[Host]:
    """Return equal hosts in racks, assigned round-robin to failure domains."""
    hosts = []
    for number in range(count):
        rack = number // workload.rack_size
        hosts.append(
            Host(
                f'h{number:03}',
                '',
                f'r{rack}',
                f'd{rack % workload.domains}',
                workload.capacity,
            )
        )
    return hosts


def compute_host_share(demand: Resources, capacity: Resources) -> float:
    """Return the largest share of a host's resources that a task takes."""
    return max(
        demand.millicores / capacity.millicores,
        demand.memory_mb / capacity.memory_mb,
        demand.slots / capacity.slots,
        demand.connections / capacity.connections,
    )


def compute_rates(workload: Workload, load: float, hosts: int) -> list[float]:
    """Return the arrival rate of each kind, in jobs per second.

    At a load of 1, the mean demand for the scarcest resource equals its total
    capacity on all hosts.
    """
    rates = []
    for kind in workload.kinds:
        tasks = sum(kind.tasks) / len(kind.tasks)
        work = compute_host_share(kind.demand, workload.capacity)
        rates.append(kind.share / (work * tasks * kind.run_s))
    used = Resources()
    for kind, rate in zip(workload.kinds, rates, strict=True):
        tasks = sum(kind.tasks) / len(kind.tasks)
        # Scaled by 1000, because amounts are integers.
        used = used + kind.demand.scale(int(rate * tasks * kind.run_s * 1000))
    scale = 1000 * load * hosts / compute_host_share(used, workload.capacity)
    return [rate * scale for rate in rates]


def make_stream(
    workload: Workload,
    load: float,
    seed: int,
    horizon_ms: int,
    hosts: int = 24,
) -> list[Arrival]:
    """Return independent Poisson arrivals of all kinds, ordered by time."""
    random = Random(f'{workload.name} {load} {seed}')
    arrivals = []
    rates = compute_rates(workload, load, hosts)
    for number, (kind, rate) in enumerate(
        zip(workload.kinds, rates, strict=True)
    ):
        at = 0.0
        while (at := at + random.expovariate(rate) * 1000) < horizon_ms:
            arrivals.append(_make_arrival(workload, kind, number, at, random))
    arrivals.sort(key=lambda arrival: (arrival.at, arrival.job_id))
    return arrivals


def _make_arrival(
    workload: Workload,
    kind: JobKind,
    number: int,
    at: float,
    random: Random,
) -> Arrival:
    job_id = f'{number}-{at:.6f}'
    log_factor = random.gauss(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA)
    spec = JobSpec(
        kind.team,
        job_id,
        kind.job_class,
        _vary_demand(kind.demand, random),
        random.choice(kind.tasks),
        deadline_s=kind.deadline_s,
        run_time_s=kind.run_s,
    )
    return Arrival(
        int(at),
        job_id,
        spec,
        max(1, int(kind.run_s * 1000 * exp(log_factor))),
        f'd{random.randrange(workload.domains)}',
    )


def _vary_demand(demand: Resources, random: Random) -> Resources:
    return replace(
        demand,
        millicores=int(demand.millicores * random.choice(SIZE_FACTORS)),
        memory_mb=int(demand.memory_mb * random.choice(SIZE_FACTORS)),
    )
