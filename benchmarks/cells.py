"""End-to-end measurements of a cell of real processes.

Stand-ins replace the store and the workers.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from json import dumps
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep

from httpx import Client
from httpx import HTTPError
from httpx import Limits

from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from tests.cells import Cell
from tests.cells import CellPlan
from tests.processes import Processes

RATES_PER_S = (10, 20, 40)
SECONDS_PER_RATE = 8
TAKEOVER_RUNS = 3
CALLERS = 32
PROBE_INTERVAL_S = 0.05
MAX_TAKEOVER_S = 30.0
# Size of Brazos: 4 failure domains with 6 workers each; a worker has 16 cores
# and 32 GB.
BRAZOS = CellPlan(domains=4, workers_per_domain=6)


@dataclass(frozen=True, slots=True)
class Sample:
    """Latency and success of one request."""

    latency_ms: float
    succeeded: bool


def compute_percentile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _make_body(key: str, run_ms: int) -> dict[str, object]:
    return {
        'team': 'orders',
        'key': key,
        'resources': {'millicores': 500, 'memory_mb': 256},
        'payload': dumps({'run_ms': run_ms, 'output': key}),
    }


def _post(client: Client, url: str, body: dict[str, object]) -> Sample:
    started = monotonic()
    try:
        response = client.post(url, json=body)
    except HTTPError:
        return Sample((monotonic() - started) * 1000, False)
    return Sample(
        (monotonic() - started) * 1000, response.status_code in (200, 202)
    )


def _send_at_rate(
    cell: Cell, rate_per_s: int, prefix: str
) -> tuple[list[Sample], list[Sample]]:
    """Send jobs and quick requests, each at a rate; return their samples."""
    urls = list(cell.urls.values())
    limits = Limits(max_connections=CALLERS, max_keepalive_connections=CALLERS)
    jobs, quick = [], []
    with (
        Client(timeout=30.0, trust_env=False, limits=limits) as client,
        ThreadPoolExecutor(CALLERS) as pool,
    ):
        started = monotonic()
        for number in range(rate_per_s * SECONDS_PER_RATE):
            sleep(max(0.0, started + number / rate_per_s - monotonic()))
            url = urls[number % len(urls)]
            key = f'{prefix}-{number}'
            jobs.append(
                pool.submit(
                    _post, client, f'{url}/v1/jobs', _make_body(key, 300)
                )
            )
            quick.append(
                pool.submit(
                    _post,
                    client,
                    f'{url}/v1/requests',
                    {**_make_body(f'q{key}', 10), 'deadline_s': 5},
                )
            )
        return (
            [future.result() for future in jobs],
            [future.result() for future in quick],
        )


@register_measurement('end to end')
def measure_latency() -> Table:
    """Measure latencies and store calls at increasing request rates."""
    rows = []
    with (
        TemporaryDirectory() as directory,
        Processes(Path(directory)) as processes,
    ):
        cell = Cell(Path(directory), BRAZOS, processes)
        cell.start_serving()
        for rate in RATES_PER_S:
            before = cell.store.read_counts()
            jobs, quick = _send_at_rate(cell, rate, f'r{rate}')
            after = cell.store.read_counts()
            calls = {kind: after[kind] - before.get(kind, 0) for kind in after}
            rows.append(_make_row(rate, jobs, quick, calls))
        cell.kill_all()
    return Table(
        'Real processes, 2 schedulers, 2 front ends, 24 workers: jobs and '
        'as many quick requests a second; latencies in ms',
        (
            'jobs/s',
            'accept p50',
            'accept p99',
            'quick p50',
            'quick p99',
            'failed',
            'store calls/s',
        ),
        tuple(rows),
        (
            'Quick requests run for 10 ms, jobs for 300 ms, on one machine '
            'with all stand-ins and callers.',
        ),
    )


def _make_row(
    rate: int,
    jobs: list[Sample],
    quick: list[Sample],
    calls: dict[str, int],
) -> tuple[int | float, ...]:
    accept_ms = [sample.latency_ms for sample in jobs]
    quick_ms = [sample.latency_ms for sample in quick]
    failed = sum(not sample.succeeded for sample in (*jobs, *quick))
    return (
        rate,
        compute_percentile(accept_ms, 0.5),
        compute_percentile(accept_ms, 0.99),
        compute_percentile(quick_ms, 0.5),
        compute_percentile(quick_ms, 0.99),
        failed,
        sum(calls.values()) / SECONDS_PER_RATE,
    )


@register_measurement('takeover')
def measure_takeover() -> Table:
    """Measure the time from the kill of a shard owner to its replacement."""
    times = [_run_takeover(run) for run in range(TAKEOVER_RUNS)]
    return Table(
        'Time from SIGKILL of a shard owner until its shards accept and '
        'finish a job again, s',
        ('runs', 'median', 'longest'),
        ((TAKEOVER_RUNS, median(times), max(times)),),
        ('Store lease 3 s; jobs run for 10 ms.',),
    )


def _run_takeover(run: int) -> float:
    with (
        TemporaryDirectory() as directory,
        Processes(Path(directory)) as processes,
    ):
        plan = CellPlan(domains=2, workers_per_domain=2)
        cell = Cell(Path(directory), plan, processes)
        cell.start_serving()
        # Which shards the killed scheduler owned is unknown here. Therefore
        # several keys are submitted, so that both shards get jobs.
        killed_at = monotonic()
        cell.schedulers['scheduler-0'].kill()
        with Client(timeout=30.0, trust_env=False) as client:
            for number in range(8):
                body = _make_body(f'probe-{run}-{number}', 10)
                _wait_for_job(client, cell.find_url(), body, killed_at)
        elapsed = monotonic() - killed_at
        cell.kill_all()
        return elapsed


def _wait_for_job(
    client: Client, url: str, body: dict[str, object], killed_at: float
) -> None:
    """Submit a job repeatedly under one key until it has finished."""
    while monotonic() - killed_at < MAX_TAKEOVER_S:
        response = client.post(f'{url}/v1/jobs?wait=5', json=body)
        if response.status_code in (200, 202) and (
            response.json()['state'] == 'finished'
        ):
            return
        sleep(PROBE_INTERVAL_S)
    raise TimeoutError(
        f'jobs did not finish within {MAX_TAKEOVER_S:g} s after the kill of a '
        'shard owner'
    )


if __name__ == '__main__':
    from benchmarks.registry import format_table

    print(format_table(measure_latency()))
    print(format_table(measure_takeover()))
