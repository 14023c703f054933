"""Measures what each role of a running cell costs, and how that grows.

Run ``python -m benchmarks.capacity`` for all slopes that `docs/CAPACITY.md`
builds on; it writes capacity.json next to this module.
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

from benchmarks import parts as _parts
from benchmarks.registry import format_table
from benchmarks.registry import MEASUREMENTS
from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from benchmarks.slopes import compare_usage
from benchmarks.slopes import fit_slope
from benchmarks.slopes import read_usage
from benchmarks.slopes import watch_processes
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

RESULTS = Path(__file__).parent / 'capacity.json'
NAMES = (
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
TASK_HOSTS = 48
JOB_RATES = (10, 20, 40, 80)
QUICK_RATES = (10, 20, 40)
OPEN_COUNTS = (0, 100, 400)
APPLY_SIZES = (990, 3_300, 9_900)
APPLIES = 3
LONG_RUN_MS = 600_000
OPEN_WAIT_S = 3
TAKEOVERS = 2
# Shares of 2 of 112 processes in 300 writes/s and 1,500 reads/s.
DESIGN_WRITES = 300 / 112 * 2
DESIGN_READS = 1_500 / 112 * 2
DESIGN_JOB_RATES = (5, 14, 28)
WIDTH = 32
IDLE_PROGRAMS = (
    ('python', 'import time; time.sleep(60)'),
    ('python with anyio', 'import anyio; anyio.run(anyio.sleep, 60)'),
)


@contextmanager
def run_cell(plan: CellPlan, kind: type[Cell] = Cell) -> Iterator[Cell]:
    """Start a cell in a temporary directory and end it afterwards."""
    with TemporaryDirectory() as name:
        directory = Path(name)
        with Processes(directory) as processes:
            cell = kind(directory, plan, processes)
            try:
                yield cell
            finally:
                cell.kill_all()


def list_pids(cell: Cell) -> tuple[int, int]:
    """Return the ids of the first scheduler and the first front end."""
    return cell.schedulers['scheduler-0'].pid, cell.frontends['frontend-0'].pid


def limit_hosts(configuration: Configuration, hosts: int) -> Configuration:
    """Return the configuration with its first hosts only."""
    kept = configuration.hosts[:hosts]
    racks = {host.rack for host in kept}
    shards = tuple(
        replace(
            shard, racks=tuple(rack for rack in shard.racks if rack in racks)
        )
        for shard in configuration.shards
    )
    return replace(configuration, hosts=kept, shards=shards)


@register_measurement('process at rest')
def measure_rest() -> Table:
    """Resident memory of idle processes, and load of daemons at rest."""
    rows: list[tuple[str | int | float, ...]] = []
    for name, program in IDLE_PROGRAMS:
        with Popen([sys.executable, '-c', program]) as process:
            sleep(1.0)
            usage = watch_processes([process.pid], 1.0)[0]
            process.kill()
        rows.append((name, usage[1], usage[0] * 1000, 0.0))
    plan = CellPlan(1, 1, schedulers=1, frontends=1)
    with run_cell(plan) as cell:
        cell.start_serving()
        sleep(SETTLE_S)
        pids = list_pids(cell)
        before = cell.store.read_counts()
        usages = watch_processes(pids, 2 * WINDOW_S)
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
    """Return the store's calls between two readings, without control."""
    calls = Counter(after)
    calls.subtract(before)
    return Counter({kind: n for kind, n in calls.items() if n > 0})


def format_calls(calls: Counter[str]) -> str:
    """Return calls by kind as text."""
    return ', '.join(f'{kind} {n}' for kind, n in sorted(calls.items()))


@register_measurement('scheduler by hosts')
def measure_hosts() -> Table:
    """Load and memory of a scheduler against its idle hosts."""
    plan = CellPlan(1, HOST_COUNTS[-1], 1, 1)
    rows = []
    with run_cell(plan) as cell:
        whole = cell.make_configuration()
        pid, _ = list_pids(cell)
        head = read_reply_head(cell)
        for version, hosts in enumerate(HOST_COUNTS):
            part = limit_hosts(whole, hosts)
            apply_configuration(cell, part, version)
            wait_until(lambda: cell.count_open() == hosts, 'hosts opening')  # noqa: B023
            sleep(SETTLE_S)
            syncs = count_syncs(cell)
            (load, resident), *_ = watch_processes([pid], WINDOW_S)
            syncs = (count_syncs(cell) - syncs) / WINDOW_S
            rows.append((hosts, load * 1000, resident, syncs / hosts, head))
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
    """Apply a configuration, repeating it until it is accepted."""
    wait_until(
        lambda: cell.apply(configuration, version).status_code == 200,
        f'applying version {version + 1}',
    )


def count_syncs(cell: Cell) -> float:
    """Return the syncs that all workers have counted."""
    return sum(
        worker.read_counts().get('sync', 0) for worker in cell.workers.values()
    )


def read_reply_head(cell: Cell) -> int:
    """Return the bytes of the HTTP head of a worker's answer."""
    worker = next(iter(cell.workers.values()))
    body = {'shard': 'probe', 'epoch': 1, 'lease_clock': 0}
    response = cell.processes.client.post(f'{worker.url}/v1/sync', json=body)
    lines = sum(len(k) + len(v) + 4 for k, v in response.headers.raw)
    return lines + len('HTTP/1.1 200 \r\n\r\n')


@register_measurement('scheduler by tasks')
def measure_tasks() -> Table:
    """Load and memory of a scheduler against its running tasks."""
    plan = CellPlan(1, TASK_HOSTS, 1, 1, slots=16)
    rows = []
    with run_cell(plan) as cell:
        cell.start_serving()
        pid, _ = list_pids(cell)
        for per_host in TASKS_PER_HOST:
            tasks = per_host * TASK_HOSTS
            submit_long_jobs(cell, rows[-1][0] if rows else 0, tasks)
            sleep(SETTLE_S)
            syncs = count_syncs(cell)
            (load, resident), *_ = watch_processes([pid], WINDOW_S)
            syncs = (count_syncs(cell) - syncs) / WINDOW_S
            rows.append((tasks, load * 1000, resident, syncs / TASK_HOSTS))
    tasks_run = [row[0] for row in rows]
    return Table(
        f'One scheduler, one shard, {TASK_HOSTS} hosts with running tasks',
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
    """Submit jobs that run until the cell ends."""
    jobs = [make_job(f'long-{n}', LONG_RUN_MS) for n in range(first, last)]
    Load((cell.find_url(),), jobs).start().wait_for_accepted(last - first)


@register_measurement('store calls by job rate')
def measure_job_rates() -> Table:
    """Store calls, load and memory against accepted jobs per second."""
    rows = []
    with run_cell(CellPlan(1, 24, 1, 1)) as cell:
        cell.start_serving()
        sleep(SETTLE_S)
        pids = list_pids(cell)
        idle = cell.store.read_counts()
        sleep(WINDOW_S)
        idle_calls = count_calls(idle, cell.store.read_counts())
        for rate in JOB_RATES:
            before = cell.store.read_counts()
            usages = [read_usage(pid) for pid in pids]
            done = offer_requests(
                cell,
                rate,
                'jobs',
                lambda n: make_job(f'j-{rate}-{n}', 200),  # noqa: B023
            )
            (load, resident), (front, _) = [
                compare_usage(old, read_usage(pid))
                for old, pid in zip(usages, pids, strict=True)
            ]
            calls = count_calls(before, cell.store.read_counts())
            calls.subtract(idle_calls)
            accepted = done / WINDOW_S
            rows.append(
                (
                    accepted,
                    load * 1000,
                    front * 1000,
                    resident,
                    (calls['put keys'] + calls['delete keys']) / done,
                    calls['get keys'] / done,
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
            f'calls of {WINDOW_S:g} s without jobs, which are taken off: '
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


def offer_requests(
    cell: Cell,
    rate: float,
    path: str,
    make_body: Callable[[int], dict[str, Any]],
) -> int:
    """Post bodies at a rate during one window; return how many succeeded."""
    url = f'{cell.find_url()}/v1/{path}'
    limits = Limits(max_keepalive_connections=WIDTH)
    with (
        Client(timeout=30.0, trust_env=False, limits=limits) as client,
        ThreadPoolExecutor(WIDTH) as pool,
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
    """A cell whose processes get the store share of a larger cell."""

    def _write_settings(self, name: str, **fields: Any) -> Path:
        return super()._write_settings(
            name,
            writes_per_s=DESIGN_WRITES,
            reads_per_s=DESIGN_READS,
            **fields,
        )


@register_measurement('jobs with the store share of the design size')
def measure_design_share() -> Table:
    """Accept jobs with a share of 2.7 writes/s and 13.4 reads/s."""
    rows = []
    with run_cell(CellPlan(1, 24, 1, 1), SharedStoreCell) as cell:
        cell.start_serving()
        sleep(2 * SETTLE_S)
        for rate in DESIGN_JOB_RATES:
            before = cell.store.read_counts()
            started = monotonic()
            done = offer_requests(
                cell,
                rate,
                'jobs',
                lambda n: make_job(f'd-{rate}-{n}', 200),  # noqa: B023
            )
            took = monotonic() - started
            calls = count_calls(before, cell.store.read_counts())
            rows.append(
                (
                    rate,
                    done / took,
                    took - WINDOW_S,
                    (calls['put keys'] + calls['post renew']) / took,
                    calls['put keys'] / done,
                    calls['get keys'] / done,
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
            'All jobs are answered; the window ends with the last answer, at '
            f'most {WIDTH} are open.',
        ),
    )


@register_measurement('front end by quick requests')
def measure_quick() -> Table:
    """Load of a front end and a scheduler against quick requests."""
    rows = []
    with run_cell(CellPlan(1, 24, 1, 1)) as cell:
        cell.start_serving()
        sleep(SETTLE_S)
        pids = list_pids(cell)
        for rate in QUICK_RATES:
            usages = [read_usage(pid) for pid in pids]
            done = offer_requests(
                cell,
                rate,
                'requests',
                lambda n: make_job(f'q-{rate}-{n}', 20),  # noqa: B023
            )
            (load, _), (front, resident) = [
                compare_usage(old, read_usage(pid))
                for old, pid in zip(usages, pids, strict=True)
            ]
            rows.append((done / WINDOW_S, front * 1000, load * 1000, resident))
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
def measure_open() -> Table:
    """Memory of a front end against requests that wait."""
    rows = []
    with run_cell(CellPlan(1, 2, 1, 1)) as cell:
        cell.start_serving()
        answer = cell.submit(**make_job('waited-for', LONG_RUN_MS)).json()
        url = f'{cell.find_url()}/v1/jobs/{answer["job_id"]}'
        _, pid = list_pids(cell)
        for count in OPEN_COUNTS:
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
                    pool.submit(client.get, url, params={'wait': OPEN_WAIT_S})
                sleep(OPEN_WAIT_S - 1)
                rows.append((count, read_usage(pid).resident_mb))
    return Table(
        'A front end with callers that wait for a job',
        ('open requests', 'resident MB'),
        tuple(rows),
        slopes=(
            fit_slope(
                'resident MB by open requests',
                OPEN_COUNTS,
                [r[1] for r in rows],
            ),
        ),
    )


@register_measurement('apply until in force')
def measure_apply() -> Table:
    """Time from an accepted change until every process has it."""
    rows = []
    with run_cell(CellPlan(2, 6, schedulers=3, frontends=3)) as cell:
        cell.start_serving()
        urls = list_ready_urls(cell)
        version = 1
        for hosts in (len(cell.workers), *APPLY_SIZES):
            base = widen_configuration(cell, hosts)
            apply_configuration(cell, base, version)
            version += 1
            wait_for_version(cell, urls, version)
            sleep(SETTLE_S)
            before = cell.store.read_counts()
            accepted_ms, in_force_ms = [], []
            for number in range(APPLIES):
                entry = replace(base.hosts[-1], drained=number % 2 == 0)
                change = replace(base, hosts=(*base.hosts[:-1], entry))
                started = monotonic()
                response = cell.apply(change, version, 'frontend-1')
                accepted = monotonic()
                assert response.status_code == 200, response.text
                version += 1
                wait_for_version(cell, urls, version)
                accepted_ms.append((accepted - started) * 1000)
                in_force_ms.append((monotonic() - accepted) * 1000)
            calls = count_calls(before, cell.store.read_counts())
            usages = [
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
                    calls['get keys'] / APPLIES / len(urls),
                    calls['put keys'] / APPLIES,
                    *usages,
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
            'Hosts beyond the first are in no shard, so nobody calls them. '
            f'Median of {APPLIES} changes; reads include those of shards.',
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
def measure_urgent() -> Table:
    """Time urgent jobs, also through the kill of their shard's owner."""
    rows = []
    with run_cell(CellPlan(1, 4, schedulers=3, frontends=1)) as cell:
        cell.start_serving()
        calm = [time_urgent_job(cell, f'calm-{n}') for n in range(10)]
        rows.append(('owner lives', len(calm), median(calm), max(calm)))
        taken = []
        for number in range(TAKEOVERS):
            owner = cell.find_owner('shard-0')
            cell.schedulers[owner].kill()
            taken.append(time_urgent_job(cell, f'taken-{number}'))
            cell.start_scheduler(owner)
            sleep(SETTLE_S)
        rows.append(('owner killed', len(taken), median(taken), max(taken)))
    return Table(
        'From the first submission of an urgent job of 1 ms to its end, ms',
        ('case', 'jobs', 'median', 'longest'),
        tuple(rows),
        ('Killed owners: the caller repeats the submission every 20 ms.',),
    )


def time_urgent_job(cell: Cell, key: str) -> float:
    """Return the time until an urgent job has run, in ms."""
    body = make_job(key, 1, **{'class': 'urgent'}, deadline_s=5.8)
    started = monotonic()
    wait_until(
        lambda: cell.submit(**body).is_success, f'accepting {key!r}', 60.0
    )
    job_id = cell.submit(**body).json()['job_id']
    url = f'{cell.find_url()}/v1/jobs/{job_id}'

    def is_over() -> bool:
        view = cell.processes.client.get(url, params={'wait': 2})
        return view.is_success and view.json()['state'] == 'finished'

    wait_until(is_over, f'the end of {key!r}')
    return (monotonic() - started) * 1000


def widen_configuration(cell: Cell, hosts: int) -> Configuration:
    """Return the cell's configuration with more hosts, in no shard."""
    base = cell.make_configuration()
    extra = _parts.make_configuration(hosts - len(base.hosts)).hosts
    return replace(base, hosts=(*base.hosts, *extra))


def list_ready_urls(cell: Cell) -> list[str]:
    """Return the readiness URLs of all processes of the cell."""
    addresses = [
        yaml.safe_load((cell.directory / f'{name}.yaml').read_text())
        for name in (*cell.schedulers, *cell.frontends)
    ]
    return [f'http://{entry["http_address"]}/readyz' for entry in addresses]


def wait_for_version(cell: Cell, urls: list[str], version: int) -> None:
    """Block until every process reports a configuration version."""
    client = cell.processes.client
    for url in urls:
        wait_until(
            lambda: (
                client.get(url).json().get('configuration', 0) >= version  # noqa: B023
            ),
            f'{url} reporting version {version}',
        )


def main() -> None:
    """Run the measurements of the capacity page, or those named.

    Only a run of all of them writes the file.
    """
    names = sys.argv[1:] or NAMES
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
    if names is NAMES:
        RESULTS.write_text(json.dumps(figures, indent=1) + '\n')


if __name__ == '__main__':
    main()
