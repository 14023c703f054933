"""Generated job streams of the two customers' workloads."""

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

# Tasks of one kind differ in size; the mean factor is 1.
SIZE_FACTORS = (0.5, 0.75, 1.0, 1.0, 1.25, 1.5)
# Run times spread widely around their mean, as declared ones are wrong.
RUN_TIME_SIGMA = 0.8


@dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of one kind.

    Parameters
    ----------
    share : float
        Part of the offered work: task seconds times the largest share of
        a host that a task takes.
    run_s : float
        Mean run time.
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
    """One customer's hosts and kinds of jobs."""

    name: str
    capacity: Resources
    domains: int
    rack_size: int
    kinds: tuple[JobKind, ...]
    teams: tuple[Team, ...]


@dataclass(frozen=True, slots=True)
class Arrival:
    """One job of a stream; times in ms."""

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
    """Return equal hosts; racks go round the failure domains."""
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


def find_host_share(demand: Resources, capacity: Resources) -> float:
    """Return the largest share of a host that a task takes."""
    return max(
        demand.millicores / capacity.millicores,
        demand.memory_mb / capacity.memory_mb,
        demand.slots / capacity.slots,
        demand.connections / capacity.connections,
    )


def find_rates(workload: Workload, load: float, hosts: int) -> list[float]:
    """Return jobs per second of each kind.

    At a load of 1 the scarcest resource of all hosts together is in demand
    exactly as much as there is of it.
    """
    rates = []
    for kind in workload.kinds:
        tasks = sum(kind.tasks) / len(kind.tasks)
        work = find_host_share(kind.demand, workload.capacity)
        rates.append(kind.share / (work * tasks * kind.run_s))
    used = Resources()
    for kind, rate in zip(workload.kinds, rates, strict=True):
        tasks = sum(kind.tasks) / len(kind.tasks)
        # In thousandths, since amounts are whole numbers.
        used = used + kind.demand.scale(int(rate * tasks * kind.run_s * 1000))
    scale = 1000 * load * hosts / find_host_share(used, workload.capacity)
    return [rate * scale for rate in rates]


def make_stream(
    workload: Workload,
    load: float,
    seed: int,
    horizon_ms: int,
    hosts: int = 24,
) -> list[Arrival]:
    """Return independent Poisson arrivals of all kinds, in order."""
    random = Random(f'{workload.name} {load} {seed}')
    arrivals = []
    rates = find_rates(workload, load, hosts)
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
    spread = random.gauss(-(RUN_TIME_SIGMA**2) / 2, RUN_TIME_SIGMA)
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
        max(1, int(kind.run_s * 1000 * exp(spread))),
        f'd{random.randrange(workload.domains)}',
    )


def _vary_demand(demand: Resources, random: Random) -> Resources:
    return replace(
        demand,
        millicores=int(demand.millicores * random.choice(SIZE_FACTORS)),
        memory_mb=int(demand.memory_mb * random.choice(SIZE_FACTORS)),
    )
