"""Measures the resource usage of each role in a cell, by size and rate.

Run ``python -m benchmarks.capacity`` for all slopes that `docs/CAPACITY.md`
uses; it writes capacity.json next to this module.
"""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict
from dataclasses import replace
import json
from os import cpu_count
from os import getloadavg
from pathlib import Path
from platform import python_version
from statistics import median
from subprocess import Popen
import sys
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep
from typing import Any
from typing import TYPE_CHECKING

from httpx import Client
from httpx import Limits
import yaml

from benchmarks import components
from benchmarks.registry import format_table
from benchmarks.registry import MEASUREMENTS
from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from benchmarks.slopes import compare_usage
from benchmarks.slopes import fit_slope
from benchmarks.slopes import measure_usage
from benchmarks.slopes import read_usage
from tests.cells import Cell
from tests.cells import CellPlan
from tests.loads import Load
from tests.loads import make_job
from tests.processes import Processes
from tests.processes import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from httpx import Response

    from sassafrasgate.core.cells import Configuration

RESULTS_PATH = Path(__file__).parent / 'capacity.json'
CAPACITY_MEASUREMENTS = (
    'process at rest',
    'scheduler by hosts',
    'scheduler by tasks',
    'store calls by job rate',
    'jobs with the store share of the design size',
    'front end by quick requests',
    'front end by open requests',
    'apply until in force',
    'urgent start',
    'host list by hosts',
    'sync of one worker',
    'links by peers',
    'configuration by hosts',
    'shard by hosts',
    'shard by kept jobs',
)
WINDOW_S = 3.0
SETTLE_S = 1.0
HOST_COUNTS = (24, 48, 96)
TASKS_PER_HOST = (0, 7, 14)
LOADED_HOSTS = 48
JOB_RATES_PER_S = (10, 20, 40, 80)
QUICK_RATES_PER_S = (10, 20, 40)
OPEN_REQUEST_COUNTS = (0, 100, 400)
CONFIGURATION_SIZES = (990, 3_300, 9_900)
CHANGES_PER_SIZE = 3
LONG_RUN_MS = 600_000
LONG_POLL_S = 3
TAKEOVERS = 2
# Share of the measured cell's 2 processes in the store's limits of 300
# writes/s and 1,500 reads/s, in a cell of 112 processes.
DESIGN_WRITES_PER_S = 300 / 112 * 2
DESIGN_READS_PER_S = 1_500 / 112 * 2
DESIGN_JOB_RATES_PER_S = (5, 14, 28)
MAX_OPEN_REQUESTS = 32
IDLE_PROGRAMS = (
    ('python', 'import time; time.sleep(60)'),
    ('python with anyio', 'import anyio; anyio.run(anyio.sleep, 60)'),
)


@contextmanager
def run_cell(plan: CellPlan, cell_class: type[Cell] = Cell) -> Iterator[Cell]:
    """Start a cell in a temporary directory, and kill it afterwards."""
    with TemporaryDirectory() as temporary_path:
        directory = Path(temporary_path)
        with Processes(directory) as processes:
            cell = cell_class(directory, plan, processes)
            try:
                yield cell
            finally:
                cell.kill_all()


def list_pids(cell: Cell) -> tuple[int, int]:
    """Return the process IDs of the first scheduler and first front end."""
    return cell.schedulers['scheduler-0'].pid, cell.frontends['frontend-0'].pid


def limit_hosts(configuration: Configuration, hosts: int) -> Configuration:
    """Return the configuration with only the first ``hosts`` hosts."""
    kept_hosts = configuration.hosts[:hosts]
    racks = {host.rack for host in kept_hosts}
    shards = tuple(
        replace(
            shard, racks=tuple(rack for rack in shard.racks if rack in racks)
        )
        for shard in configuration.shards
    )
    return replace(configuration, hosts=kept_hosts, shards=shards)


@register_measurement('process at rest')
def measure_idle_processes() -> Table:
    """Measure the memory and load of idle processes and idle daemons."""
    rows: list[tuple[str | int | float, ...]] = []
    for name, program in IDLE_PROGRAMS:
        with Popen([sys.executable, '-c', program]) as process:
            sleep(1.0)
            usage = measure_usage([process.pid], 1.0)[0]
            process.kill()
        rows.append((name, usage[1], usage[0] * 1000, 0.0))
    plan = CellPlan(1, 1, schedulers=1, frontends=1)
    with run_cell(plan) as cell:
        cell.start_serving()
        sleep(SETTLE_S)
        pids = list_pids(cell)
        before = cell.store.read_counts()
        usages = measure_usage(pids, 2 * WINDOW_S)
        calls = count_calls(before, cell.store.read_counts())
        for name, (load, resident) in zip(
            ('scheduler, 1 host', 'front end'), usages, strict=True
        ):
            rows.append(
                (
                    name,
                    resident,
                    load * 1000,
                    sum(calls.values()) / (2 * WINDOW_S),
                )
            )
    return Table(
        'Idle processes',
        (
            'process',
            'resident MB',
            'processor ms/s',
            'store calls/s, both daemons',
        ),
        tuple(rows),
        (f'store calls in {2 * WINDOW_S:g} s: {format_calls(calls)}',),
    )


def count_calls(before: dict[str, int], after: dict[str, int]) -> Counter[str]:
    """Return the number of store calls by kind between two readings.

    The stand-in does not count calls of its control paths.
    """
    calls = Counter(after)
    calls.subtract(before)
    return Counter({kind: n for kind, n in calls.items() if n > 0})


def format_calls(calls: Counter[str]) -> str:
    """Return the numbers of calls by kind as text."""
    return ', '.join(f'{kind} {n}' for kind, n in sorted(calls.items()))


@register_measurement('scheduler by hosts')
def measure_scheduler_by_hosts() -> Table:
    """Measure load and memory of a scheduler by its number of idle hosts."""
    plan = CellPlan(1, HOST_COUNTS[-1], 1, 1)
    rows = []
    with run_cell(plan) as cell:
        full_configuration = cell.make_configuration()
        pid, _ = list_pids(cell)
        head_bytes = measure_response_head(cell)
        for version, hosts in enumerate(HOST_COUNTS):
            configuration = limit_hosts(full_configuration, hosts)
            apply_configuration(cell, configuration, version)
            wait_until(
                lambda: cell.count_open() == hosts,  # noqa: B023
                'opening of all hosts',
            )
            sleep(SETTLE_S)
            syncs = count_syncs(cell)
            (load, resident), *_ = measure_usage([pid], WINDOW_S)
            syncs = (count_syncs(cell) - syncs) / WINDOW_S
            rows.append(
                (hosts, load * 1000, resident, syncs / hosts, head_bytes)
            )
    return Table(
        'One scheduler, one shard, hosts without tasks',
        (
            'hosts',
            'processor ms/s',
            'resident MB',
            'syncs/s per host',
            'reply head bytes',
        ),
        tuple(rows),
        slopes=(
            fit_slope(
                'processor ms/s by hosts', HOST_COUNTS, [r[1] for r in rows]
            ),
            fit_slope(
                'resident MB by hosts', HOST_COUNTS, [r[2] for r in rows]
            ),
        ),
    )


def apply_configuration(
    cell: Cell, configuration: Configuration, version: int
) -> None:
    """Apply a configuration, with retries until it is accepted."""
    wait_until(
        lambda: cell.apply(configuration, version).status_code == 200,
        f'applying version {version + 1}',
    )


def count_syncs(cell: Cell) -> float:
    """Return the total number of syncs that the workers have counted."""
    return sum(
        worker.read_counts().get('sync', 0) for worker in cell.workers.values()
    )


def measure_response_head(cell: Cell) -> int:
    """Return the size in bytes of the HTTP head of a worker's response."""
    worker = next(iter(cell.workers.values()))
    body = {'shard': 'probe', 'epoch': 1, 'lease_clock': 0}
    response = cell.processes.client.post(f'{worker.url}/v1/sync', json=body)
    header_bytes = sum(
        len(name) + len(value) + 4 for name, value in response.headers.raw
    )
    return header_bytes + len('HTTP/1.1 200 \r\n\r\n')


@register_measurement('scheduler by tasks')
def measure_scheduler_by_tasks() -> Table:
    """Measure load and memory of a scheduler by its running tasks."""
    plan = CellPlan(1, LOADED_HOSTS, 1, 1, slots=16)
    rows = []
    with run_cell(plan) as cell:
        cell.start_serving()
        pid, _ = list_pids(cell)
        for per_host in TASKS_PER_HOST:
            tasks = per_host * LOADED_HOSTS
            submit_long_jobs(cell, rows[-1][0] if rows else 0, tasks)
            sleep(SETTLE_S)
            syncs = count_syncs(cell)
            (load, resident), *_ = measure_usage([pid], WINDOW_S)
            syncs = (count_syncs(cell) - syncs) / WINDOW_S
            rows.append((tasks, load * 1000, resident, syncs / LOADED_HOSTS))
    tasks_run = [row[0] for row in rows]
    return Table(
        f'One scheduler, one shard, {LOADED_HOSTS} hosts with running tasks',
        ('tasks', 'processor ms/s', 'resident MB', 'syncs/s per host'),
        tuple(rows),
        slopes=(
            fit_slope(
                'processor ms/s by tasks', tasks_run, [r[1] for r in rows]
            ),
            fit_slope('resident MB by tasks', tasks_run, [r[2] for r in rows]),
        ),
    )


def submit_long_jobs(cell: Cell, first: int, last: int) -> None:
    """Submit the jobs with numbers from ``first`` to before ``last``.

    They run longer than the cell.
    """
    jobs = [make_job(f'long-{n}', LONG_RUN_MS) for n in range(first, last)]
    Load((cell.find_url(),), jobs).start().wait_for_accepted(last - first)


@register_measurement('store calls by job rate')
def measure_job_rates() -> Table:
    """Measure store calls, load and memory by the rate of accepted jobs."""
    rows = []
    with run_cell(CellPlan(1, 24, 1, 1)) as cell:
        cell.start_serving()
        sleep(SETTLE_S)
        pids = list_pids(cell)
        idle_before = cell.store.read_counts()
        sleep(WINDOW_S)
        idle_calls = count_calls(idle_before, cell.store.read_counts())
        for rate in JOB_RATES_PER_S:
            before = cell.store.read_counts()
            usages = [read_usage(pid) for pid in pids]
            succeeded = send_requests(
                cell,
                rate,
                'jobs',
                lambda n: make_job(f'j-{rate}-{n}', 200),  # noqa: B023
            )
            (load, resident), (frontend_load, _) = [
                compare_usage(old, read_usage(pid))
                for old, pid in zip(usages, pids, strict=True)
            ]
            calls = count_calls(before, cell.store.read_counts())
            calls.subtract(idle_calls)
            accepted = succeeded / WINDOW_S
            rows.append(
                (
                    accepted,
                    load * 1000,
                    frontend_load * 1000,
                    resident,
                    (calls['put keys'] + calls['delete keys']) / succeeded,
                    calls['get keys'] / succeeded,
                )
            )
    rates = [row[0] for row in rows]
    return Table(
        'Short batch jobs on 24 hosts, one scheduler, one front end',
        (
            'jobs/s',
            'scheduler ms/s',
            'front end ms/s',
            'scheduler MB',
            'writes per job',
            'reads per job',
        ),
        tuple(rows),
        (
            f'Subtracted: calls in {WINDOW_S:g} s without jobs: '
            f'{format_calls(idle_calls)}',
        ),
        (
            fit_slope('scheduler ms/s by jobs/s', rates, [r[1] for r in rows]),
            fit_slope('front end ms/s by jobs/s', rates, [r[2] for r in rows]),
            fit_slope(
                'writes/s by jobs/s', rates, [r[0] * r[4] for r in rows]
            ),
        ),
    )


def send_requests(
    cell: Cell,
    rate: float,
    path: str,
    make_body: Callable[[int], dict[str, Any]],
) -> int:
    """Send requests at a rate for `WINDOW_S`; return how many succeeded."""
    url = f'{cell.find_url()}/v1/{path}'
    limits = Limits(max_keepalive_connections=MAX_OPEN_REQUESTS)
    with (
        Client(timeout=30.0, trust_env=False, limits=limits) as client,
        ThreadPoolExecutor(MAX_OPEN_REQUESTS) as pool,
    ):
        started = monotonic()
        futures = []
        for number in range(int(rate * WINDOW_S)):
            sleep(max(0.0, started + number / rate - monotonic()))
            futures.append(
                pool.submit(client.post, url, json=make_body(number))
            )
        responses: list[Response] = [future.result() for future in futures]
        sleep(max(0.0, started + WINDOW_S - monotonic()))
    return sum(response.is_success for response in responses)


class SharedStoreCell(Cell):
    """A cell whose store rate limits are its share at the design size."""

    def _write_settings(self, name: str, **fields: Any) -> Path:
        return super()._write_settings(
            name,
            writes_per_s=DESIGN_WRITES_PER_S,
            reads_per_s=DESIGN_READS_PER_S,
            **fields,
        )


@register_measurement('jobs with the store share of the design size')
def measure_design_store_share() -> Table:
    """Measure accepted jobs at 2.7 writes/s and 13.4 reads/s per process."""
    rows = []
    with run_cell(CellPlan(1, 24, 1, 1), SharedStoreCell) as cell:
        cell.start_serving()
        sleep(2 * SETTLE_S)
        for rate in DESIGN_JOB_RATES_PER_S:
            before = cell.store.read_counts()
            started = monotonic()
            succeeded = send_requests(
                cell,
                rate,
                'jobs',
                lambda n: make_job(f'd-{rate}-{n}', 200),  # noqa: B023
            )
            elapsed_s = monotonic() - started
            calls = count_calls(before, cell.store.read_counts())
            rows.append(
                (
                    rate,
                    succeeded / elapsed_s,
                    elapsed_s - WINDOW_S,
                    (calls['put keys'] + calls['post renew']) / elapsed_s,
                    calls['put keys'] / succeeded,
                    calls['get keys'] / succeeded,
                )
            )
    return Table(
        'Short batch jobs with the store share of a cell of 112 processes',
        (
            'offered jobs/s',
            'accepted jobs/s',
            's behind at the end',
            'writes and renewals/s',
            'writes per job',
            'reads per job',
        ),
        tuple(rows),
        (
            'All submissions get a response. The measurement ends with the '
            f'last one; at most {MAX_OPEN_REQUESTS} requests are open.',
        ),
    )


@register_measurement('front end by quick requests')
def measure_quick_requests() -> Table:
    """Measure load of a front end and a scheduler by quick requests/s."""
    rows = []
    with run_cell(CellPlan(1, 24, 1, 1)) as cell:
        cell.start_serving()
        sleep(SETTLE_S)
        pids = list_pids(cell)
        for rate in QUICK_RATES_PER_S:
            usages = [read_usage(pid) for pid in pids]
            succeeded = send_requests(
                cell,
                rate,
                'requests',
                lambda n: make_job(f'q-{rate}-{n}', 20),  # noqa: B023
            )
            (load, _), (frontend_load, resident) = [
                compare_usage(old, read_usage(pid))
                for old, pid in zip(usages, pids, strict=True)
            ]
            rows.append(
                (
                    succeeded / WINDOW_S,
                    frontend_load * 1000,
                    load * 1000,
                    resident,
                )
            )
    rates = [row[0] for row in rows]
    return Table(
        'Quick requests of 20 ms, one front end, one scheduler, 24 hosts',
        ('requests/s', 'front end ms/s', 'scheduler ms/s', 'front end MB'),
        tuple(rows),
        slopes=(
            fit_slope(
                'front end ms/s by requests/s', rates, [r[1] for r in rows]
            ),
            fit_slope(
                'scheduler ms/s by requests/s', rates, [r[2] for r in rows]
            ),
        ),
    )


@register_measurement('front end by open requests')
def measure_open_requests() -> Table:
    """Measure the memory of a front end by its open long polls."""
    rows = []
    with run_cell(CellPlan(1, 2, 1, 1)) as cell:
        cell.start_serving()
        accepted_job = cell.submit(
            **make_job('waited-for', LONG_RUN_MS)
        ).json()
        url = f'{cell.find_url()}/v1/jobs/{accepted_job["job_id"]}'
        _, pid = list_pids(cell)
        for count in OPEN_REQUEST_COUNTS:
            with (
                Client(
                    timeout=30.0,
                    trust_env=False,
                    limits=Limits(max_connections=None),
                ) as client,
                ThreadPoolExecutor(count + 1) as pool,
            ):
                client.get(url)
                for _ in range(count):
                    pool.submit(client.get, url, params={'wait': LONG_POLL_S})
                sleep(LONG_POLL_S - 1)
                rows.append((count, read_usage(pid).resident_mb))
    return Table(
        'A front end with callers that wait for a job',
        ('open requests', 'resident MB'),
        tuple(rows),
        slopes=(
            fit_slope(
                'resident MB by open requests',
                OPEN_REQUEST_COUNTS,
                [r[1] for r in rows],
            ),
        ),
    )


@register_measurement('apply until in force')
def measure_configuration_changes() -> Table:
    """Measure the time until an accepted change is used by every process."""
    rows = []
    with run_cell(CellPlan(2, 6, schedulers=3, frontends=3)) as cell:
        cell.start_serving()
        urls = list_readiness_urls(cell)
        version = 1
        for hosts in (len(cell.workers), *CONFIGURATION_SIZES):
            base = add_unassigned_hosts(cell, hosts)
            apply_configuration(cell, base, version)
            version += 1
            wait_for_version(cell, urls, version)
            sleep(SETTLE_S)
            before = cell.store.read_counts()
            accepted_ms, in_force_ms = [], []
            for number in range(CHANGES_PER_SIZE):
                host = replace(base.hosts[-1], drained=number % 2 == 0)
                change = replace(base, hosts=(*base.hosts[:-1], host))
                started = monotonic()
                response = cell.apply(change, version, 'frontend-1')
                accepted = monotonic()
                assert response.status_code == 200, response.text
                version += 1
                wait_for_version(cell, urls, version)
                accepted_ms.append((accepted - started) * 1000)
                in_force_ms.append((monotonic() - accepted) * 1000)
            calls = count_calls(before, cell.store.read_counts())
            resident_mb = [
                read_usage(process.pid).resident_mb
                for process in (
                    cell.schedulers['scheduler-0'],
                    cell.frontends['frontend-0'],
                )
            ]
            rows.append(
                (
                    hosts,
                    median(accepted_ms),
                    median(in_force_ms),
                    max(in_force_ms),
                    calls['get keys'] / CHANGES_PER_SIZE / len(urls),
                    calls['put keys'] / CHANGES_PER_SIZE,
                    *resident_mb,
                )
            )
    sizes = [row[0] for row in rows]
    return Table(
        'Changes in a cell of 3 schedulers and 3 front ends; times in ms',
        (
            'hosts',
            'until accepted',
            'until in force',
            'longest until in force',
            'reads per process',
            'writes',
            'scheduler MB',
            'front end MB',
        ),
        tuple(rows),
        (
            'The added hosts are in no shard, so no scheduler calls them. '
            f'Medians of {CHANGES_PER_SIZE} changes. Reads include those of '
            'the shards.',
        ),
        (
            fit_slope(
                'until in force ms by hosts', sizes, [r[2] for r in rows]
            ),
            fit_slope('scheduler MB by hosts', sizes, [r[6] for r in rows]),
            fit_slope('front end MB by hosts', sizes, [r[7] for r in rows]),
        ),
    )


@register_measurement('urgent start')
def measure_urgent_starts() -> Table:
    """Time urgent jobs, with and without a kill of their shard's owner."""
    rows = []
    with run_cell(CellPlan(1, 4, schedulers=3, frontends=1)) as cell:
        cell.start_serving()
        with_owner = [time_urgent_job(cell, f'calm-{n}') for n in range(10)]
        rows.append(
            (
                'owner lives',
                len(with_owner),
                median(with_owner),
                max(with_owner),
            )
        )
        after_kill = []
        for number in range(TAKEOVERS):
            owner = cell.find_owner('shard-0')
            cell.schedulers[owner].kill()
            after_kill.append(time_urgent_job(cell, f'taken-{number}'))
            cell.start_scheduler(owner)
            sleep(SETTLE_S)
        rows.append(
            (
                'owner killed',
                len(after_kill),
                median(after_kill),
                max(after_kill),
            )
        )
    return Table(
        'From the first submission of an urgent job of 1 ms to its end, ms',
        ('case', 'jobs', 'median', 'longest'),
        tuple(rows),
        ('Owner killed: the caller retries the submission every 20 ms.',),
    )


def time_urgent_job(cell: Cell, key: str) -> float:
    """Return the time from first submission to end of an urgent job, in ms."""
    body = make_job(key, 1, **{'class': 'urgent'}, deadline_s=5.8)
    started = monotonic()
    wait_until(
        lambda: cell.submit(**body).is_success, f'accepting job {key!r}', 60.0
    )
    job_id = cell.submit(**body).json()['job_id']
    url = f'{cell.find_url()}/v1/jobs/{job_id}'

    def has_finished() -> bool:
        view = cell.processes.client.get(url, params={'wait': 2})
        return view.is_success and view.json()['state'] == 'finished'

    wait_until(has_finished, f'end of job {key!r}')
    return (monotonic() - started) * 1000


def add_unassigned_hosts(cell: Cell, hosts: int) -> Configuration:
    """Return the cell's configuration with added hosts that have no shard.

    ``hosts`` is the total number of hosts.
    """
    base = cell.make_configuration()
    extra = components.make_configuration(hosts - len(base.hosts)).hosts
    return replace(base, hosts=(*base.hosts, *extra))


def list_readiness_urls(cell: Cell) -> list[str]:
    """Return the readiness URLs of all schedulers and front ends."""
    settings = [
        yaml.safe_load((cell.directory / f'{name}.yaml').read_text())
        for name in (*cell.schedulers, *cell.frontends)
    ]
    return [f'http://{fields["http_address"]}/readyz' for fields in settings]


def wait_for_version(cell: Cell, urls: list[str], version: int) -> None:
    """Block until every process reports at least a configuration version."""
    client = cell.processes.client
    for url in urls:
        wait_until(
            lambda: (
                client.get(url).json().get('configuration', 0) >= version  # noqa: B023
            ),
            f'{url} reporting version {version}',
        )


def main() -> None:
    """Run the measurements that the command line names, by default all.

    Only a run without names writes capacity.json.
    """
    names = sys.argv[1:] or CAPACITY_MEASUREMENTS
    started = monotonic()
    figures: dict[str, object] = {
        'python': python_version(),
        'cores': cpu_count(),
        'load_at_start': getloadavg()[0],
    }
    for name in names:
        began = monotonic()
        table = MEASUREMENTS.find(name)()
        print(format_table(table), flush=True)
        figures[name] = {
            **asdict(table),
            'took_s': round(monotonic() - began, 1),
        }
    figures['took_s'] = round(monotonic() - started, 1)
    if names is CAPACITY_MEASUREMENTS:
        RESULTS_PATH.write_text(json.dumps(figures, indent=1) + '\n')


if __name__ == '__main__':
    main()
