"""Measures placement, queueing, quarantine, shedding and cancellation."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from heapq import heappop
from heapq import heappush
from random import Random
from statistics import median
from time import perf_counter
from time import perf_counter_ns
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from benchmarks.baselines import choose_best_fit_by_scan
from benchmarks.baselines import choose_by_scarcest_resource
from benchmarks.baselines import choose_first_fit
from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from benchmarks.simulation import LIBRARY
from benchmarks.simulation import NO_QUARANTINE
from benchmarks.simulation import SHEDDING
from benchmarks.simulation import Simulation
from benchmarks.simulation import SimulationResult
from benchmarks.simulation import VARIANTS
from benchmarks.simulation import WARM_UP_MS
from benchmarks.workloads import BRAZOS
from benchmarks.workloads import compute_host_share
from benchmarks.workloads import make_hosts
from benchmarks.workloads import make_stream
from benchmarks.workloads import WORKLOADS
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.index import HostIndex
from sassafrasgate.placement.policies import Assignment
from sassafrasgate.placement.policies import choose_hosts
from sassafrasgate.placement.policies import PlacementRequest
from sassafrasgate.placement.queues import JobQueue

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from benchmarks.simulation import Variant
    from benchmarks.workloads import Arrival
    from benchmarks.workloads import Workload

SEEDS = (1, 2, 3, 4, 5)
LOADS = (0.8, 1.0, 1.3)
HORIZON_MS = 45_000
HOST_COUNTS = (24, 100, 300, 700)
DECISIONS = 400
FILL_SHARE = 0.7
PACKING_LOADS = (1.0, 1.3, 1.6)
PACKING_HORIZON_MS = 150_000
PACKING_METHODS = (
    ('library', choose_hosts),
    ('first fit', choose_first_fit),
    ('scarcest resource', choose_by_scarcest_resource),
)
SHEDDING_LOADS = (1.3, 1.6)
BATCH_DEADLINE_S = 2.0
QUEUE_SIZES = (3_000, 30_000, 120_000)


@register_measurement('decision time')
def measure_decision_time() -> Table:
    """Time a placement decision with its reservation and release."""
    rows = []
    for job_class, tasks in (
        (JobClass.BATCH, 1),
        (JobClass.SERVICE, 3),
        (JobClass.GANG, 16),
    ):
        for hosts in HOST_COUNTS:
            library = _time_decisions(choose_hosts, hosts, job_class, tasks)
            scan = _time_decisions(
                choose_best_fit_by_scan, hosts, job_class, tasks
            )
            rows.append(
                (
                    f'{job_class.value} of {tasks}',
                    hosts,
                    *library,
                    *scan,
                    library[0] / scan[0],
                )
            )
    return Table(
        'Decision with reservation and release, us, hosts 70% full',
        (
            'job',
            'hosts',
            'p50',
            'p99',
            'refusal p50',
            'scan p50',
            'scan p99',
            'scan refusal p50',
            'p50 to scan',
        ),
        tuple(rows),
        (
            'Medians over 5 seeds. The scan weighs only the fit and the '
            'failure domain.',
        ),
    )


def _time_decisions(
    choose: Callable[[HostIndex, PlacementRequest], object],
    hosts: int,
    job_class: JobClass,
    tasks: int,
) -> tuple[float, float, float]:
    """Return p50 and p99, and p50 of refusals, in us.

    Each is the median over the seeds.
    """
    figures = [
        _time_seed(choose, hosts, job_class, tasks, seed) for seed in SEEDS
    ]
    p50, p99, refusal = (
        median(column) for column in zip(*figures, strict=True)
    )
    return p50, p99, refusal


def _time_seed(
    choose: Callable[[HostIndex, PlacementRequest], object],
    hosts: int,
    job_class: JobClass,
    tasks: int,
    seed: int,
) -> tuple[float, float, float]:
    random = Random(seed)
    index = _fill_hosts(hosts, random)
    histogram = HdrHistogram(1, 10**10, 3)
    refusals = HdrHistogram(1, 10**10, 3)
    for number in range(DECISIONS):
        demand = Resources(
            random.choice((250, 500, 1000, 2000)),
            random.choice((256, 1024, 3072)),
            0,
            1,
            1,
        )
        spec = JobSpec('t', f'{number}', job_class, demand, tasks)
        request = PlacementRequest(spec, f'd{random.randrange(4)}')
        started = perf_counter_ns()
        chosen = choose(index, request)
        if not isinstance(chosen, Assignment):
            refusals.record_value(perf_counter_ns() - started)
            continue
        for task, name in enumerate(chosen.hosts):
            index.reserve(name, f'n{number}.{task}.1', demand)
        for task, name in enumerate(chosen.hosts):
            index.release(name, f'n{number}.{task}.1')
        histogram.record_value(perf_counter_ns() - started)
        # Fits on an empty host, but on none of these, as it needs all slots.
        large = replace(spec, demand=Resources(16000, 16384, 0, 8, 8))
        started = perf_counter_ns()
        choose(index, replace(request, spec=large))
        refusals.record_value(perf_counter_ns() - started)
    return (
        histogram.get_value_at_percentile(50) / 1000,
        histogram.get_value_at_percentile(99) / 1000,
        refusals.get_value_at_percentile(50) / 1000,
    )


def _fill_hosts(hosts: int, random: Random) -> HostIndex:
    """Return hosts with up to `FILL_SHARE` of their slots reserved.

    The reservations are on random hosts, and each host has at least one.
    """
    index = HostIndex()
    for host in make_hosts(BRAZOS, hosts):
        index.add_host(host)
    names = list(index.hosts)
    for name in names:
        index.reserve(name, 'f.0.1', Resources(500, 512, 0, 1, 1))
    for number in range(int(hosts * 8 * FILL_SHARE) - hosts):
        demand = Resources(
            random.choice((500, 1000, 2000, 3000)),
            random.choice((512, 2048, 4096)),
            0,
            1,
            1,
        )
        name = random.choice(names)
        if demand.fits_in(index.find_free(name)):
            index.reserve(name, f'f{number}.0.1', demand)
    return index


@register_measurement('packing')
def measure_packing() -> Table:
    """Measure packing without a queue: jobs that don't fit are dropped."""
    rows = []
    for workload in WORKLOADS:
        for load in PACKING_LOADS:
            streams = [
                make_stream(workload, load, seed, PACKING_HORIZON_MS)
                for seed in SEEDS
            ]
            figures = {
                name: [
                    _offer_jobs(workload, choose, stream) for stream in streams
                ]
                for name, choose in PACKING_METHODS
            }
            for name, pairs in figures.items():
                columns = [
                    median(column) for column in zip(*pairs, strict=True)
                ]
                ratio = median(
                    own[0] / base[0]
                    for own, base in zip(
                        pairs, figures['first fit'], strict=True
                    )
                )
                rows.append((workload.name, load, name, *columns, ratio))
    return Table(
        'Packing: share of offered work that found room at once',
        ('workload', 'load', 'way', 'work taken', 'jobs refused', 'ratio'),
        tuple(rows),
        (
            'Medians over 5 seeds, the same streams for each way, without '
            'quick requests. Work is task time multiplied by the largest '
            'share of a host that the task takes. ratio: work taken relative '
            'to first fit, median of the ratios by seed.',
        ),
    )


def _offer_jobs(
    workload: Workload,
    choose: Callable[[HostIndex, PlacementRequest], object],
    stream: list[Arrival],
) -> tuple[float, float]:
    """Return the share of offered work placed, and of jobs refused."""
    index = HostIndex()
    for host in make_hosts(workload):
        index.add_host(host)
    running: list[tuple[int, str, str]] = []
    offered = taken = 0.0
    jobs = refused = 0
    for arrival in stream:
        while running and running[0][0] <= arrival.at:
            _, task, name = heappop(running)
            index.release(name, task)
        spec = arrival.spec
        if spec.job_class is JobClass.QUICK:
            continue
        chosen = choose(index, PlacementRequest(spec, arrival.domain))
        work = compute_host_share(spec.demand, workload.capacity)
        work *= spec.tasks * arrival.run_ms
        if arrival.at >= WARM_UP_MS:
            jobs += 1
            offered += work
            refused += not isinstance(chosen, Assignment)
            taken += work * isinstance(chosen, Assignment)
        if not isinstance(chosen, Assignment):
            continue
        for number, name in enumerate(chosen.hosts):
            task = f'{arrival.job_id}.{number}.1'
            index.reserve(name, task, spec.demand)
            heappush(running, (arrival.at + arrival.run_ms, task, name))
    return taken / offered, refused / jobs


@register_measurement('waiting time')
def measure_waiting_times() -> Table:
    """Measure waits at increasing load, for the library and variants."""
    rows: list[tuple[str | int | float, ...]] = []
    for workload in WORKLOADS:
        for load in LOADS:
            streams = [
                make_stream(workload, load, seed, HORIZON_MS) for seed in SEEDS
            ]
            for variant in VARIANTS:
                results = _run_streams(workload, variant, streams)
                rows.append(
                    (workload.name, load, *_summarize(variant, results))
                )
    return Table(
        'Waiting time in ms by class (p50, p99), and what it cost',
        (
            'workload',
            'load',
            'way',
            *(
                f'{job_class.value} {percentile}'
                for job_class in JobClass
                for percentile in ('p50', 'p99')
            ),
            'busy',
            'started',
            'late',
            'remote',
        ),
        tuple(rows),
        (
            f'Medians over 5 seeds of runs of {HORIZON_MS / 1000:.0f} s, the '
            f'same streams for each way. At load 1 the mean demand for the '
            f'scarcest resource equals its capacity.',
            'A job that is still queued at the end counts with its wait until '
            'the end, one that passed its deadline with its wait until then.',
            'busy: share of the scarcest resource reserved, over time; '
            'started: share of offered jobs; late: share that passed their '
            'deadline unstarted; remote: share of tasks in another failure '
            'domain than the caller.',
        ),
    )


def _run_streams(
    workload: Workload,
    variant: Variant,
    streams: Iterable[list[Arrival]],
    failing_hosts: tuple[str, ...] = (),
) -> list[SimulationResult]:
    return [
        Simulation(workload, variant, failing_hosts).run(stream, HORIZON_MS)
        for stream in streams
    ]


def _summarize(
    variant: Variant, results: list[SimulationResult]
) -> tuple[str | float, ...]:
    waits = [
        median(
            result.waits[job_class].get_value_at_percentile(percentile)
            for result in results
        )
        for job_class in JobClass
        for percentile in (50, 99)
    ]
    return (
        variant.name,
        *waits,
        median(result.busy_share for result in results),
        median(result.started / result.offered for result in results),
        median(result.missed_deadlines / result.offered for result in results),
        median(result.remote_tasks / result.tasks for result in results),
    )


@register_measurement('quarantine')
def measure_quarantine() -> Table:
    """Measure the effect of quarantine when two hosts fail every task."""
    rows = []
    for workload in WORKLOADS:
        streams = [
            make_stream(workload, 0.7, seed, HORIZON_MS) for seed in SEEDS
        ]
        for variant in (LIBRARY, NO_QUARANTINE):
            results = _run_streams(
                workload, variant, streams, ('h003', 'h010')
            )
            rows.append(
                (
                    workload.name,
                    variant.name,
                    median(result.failed_attempts for result in results),
                    median(result.failed_jobs for result in results),
                    median(
                        result.waits[JobClass.QUICK].get_value_at_percentile(
                            99
                        )
                        for result in results
                    ),
                    median(
                        result.waits[JobClass.BATCH].get_value_at_percentile(
                            99
                        )
                        for result in results
                    ),
                    median(result.offered for result in results),
                )
            )
    return Table(
        'Two of 24 hosts fail every task after 50 ms; load 0.7',
        (
            'workload',
            'way',
            'failed attempts',
            'failed jobs',
            'quick p99 ms',
            'batch p99 ms',
            'jobs',
        ),
        tuple(rows),
        (
            'Medians over 5 seeds. Waits are until the start of the first '
            'attempt that does not fail; a job has 3 attempts on different '
            'hosts.',
        ),
    )


@register_measurement('shedding')
def measure_shedding() -> Table:
    """Measure shedding of batch jobs with a deadline under overload."""
    rows = []
    for workload in WORKLOADS:
        for load in SHEDDING_LOADS:
            streams = [
                [
                    _set_deadline(arrival)
                    for arrival in make_stream(
                        workload, load, seed, HORIZON_MS
                    )
                ]
                for seed in SEEDS
            ]
            for variant in (LIBRARY, SHEDDING):
                results = _run_streams(workload, variant, streams)
                shares = [
                    (
                        result.started / result.offered,
                        result.missed_deadlines / result.offered,
                        result.shed / result.offered,
                        result.busy_share,
                    )
                    for result in results
                ]
                columns = [
                    median(column) for column in zip(*shares, strict=True)
                ]
                rows.append((workload.name, load, variant.name, *columns))
    return Table(
        f'Shedding by deadline; batch work must start in {BATCH_DEADLINE_S} s',
        ('workload', 'load', 'way', 'started', 'late', 'shed', 'busy'),
        tuple(rows),
        (
            'Medians over 5 seeds of shares of offered jobs. late: accepted, '
            'but the deadline passed in the queue; shed: refused at once.',
        ),
    )


def _set_deadline(arrival: Arrival) -> Arrival:
    if arrival.spec.job_class is not JobClass.BATCH:
        return arrival
    spec = replace(arrival.spec, deadline_s=BATCH_DEADLINE_S)
    return replace(arrival, spec=spec)


@register_measurement('cancellation wave')
def measure_cancellations() -> Table:
    """Time the cancellation of all queued jobs, in random order."""
    rows = []
    for size in QUEUE_SIZES:
        figures = [_time_cancellations(size, seed) for seed in SEEDS]
        mean, longest, total = (
            median(column) for column in zip(*figures, strict=True)
        )
        rows.append((size, mean, longest / 1000, total))
    return Table(
        'Cancellation of all queued jobs',
        ('jobs', 'mean us each', 'longest ms', 'all ms'),
        tuple(rows),
        ('Medians over 5 seeds. The longest one also rebuilds the heaps.',),
    )


def _time_cancellations(size: int, seed: int) -> tuple[float, float, float]:
    """Return mean and longest time per job in us, and total time in ms."""
    queue = JobQueue(BRAZOS.teams)
    uses = Counter[str]()
    stream = make_stream(BRAZOS, 1.0, seed, 20_000)
    while len(queue) < size:
        for arrival in stream[: size - len(queue)]:
            uses[arrival.job_id] += 1
            job_id = f'{arrival.job_id}/{uses[arrival.job_id]}'
            queue.add(job_id, arrival.spec, arrival.at)
    job_ids = [job.job_id for job in queue]
    Random(seed).shuffle(job_ids)
    longest = 0.0
    began = perf_counter()
    for job_id in job_ids:
        started = perf_counter()
        queue.remove(job_id)
        longest = max(longest, perf_counter() - started)
    total = perf_counter() - began
    return total * 1e6 / size, longest * 1e6, total * 1000
