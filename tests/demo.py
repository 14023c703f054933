"""Runs the cells of both customers under load and kills a scheduler.

Run ``python -m tests.demo``. The exit status is 1 if the results of the jobs
are inconsistent with the records of the workers.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from subprocess import run
import sys
from tempfile import TemporaryDirectory
from time import monotonic
from typing import Any

import yaml

from sassafrasgate.configuration.ranges import expand_range
from tests.loads import find_faults
from tests.loads import find_overloads
from tests.loads import Load
from tests.loads import make_job
from tests.loads import QuickCalls
from tests.loads import read_tasks
from tests.processes import find_free_address
from tests.processes import ManagedProcess
from tests.processes import Processes
from tests.processes import ROOT
from tests.processes import wait_until
from tests.processes import WorkerStandIn

NETWORK = '127.0.0'
FRONTEND_COUNT = 2
CANCELLED_JOB_COUNT = 10
DUPLICATE_COUNT = 20
JOBS_BEFORE_KILL = 60
GIB = 1024


@dataclass(frozen=True, slots=True)
class Customer:
    """The cell and the mixed load of one customer.

    Parameters
    ----------
    name : str
        Directory of the declaration under ``examples``.
    cores, memory_gib : int
        Capacity of each worker.
    quick, non_idempotent, batch : dict
        Fields of quick requests, of non-idempotent jobs and of idempotent
        batch jobs.
    gang : dict
        Fields of jobs whose tasks must all run at the same time.
    """

    name: str
    cores: int
    memory_gib: int
    quick: dict[str, Any]
    non_idempotent: dict[str, Any]
    batch: dict[str, Any]
    gang: dict[str, Any]


CUSTOMERS = (
    Customer(
        'brazos',
        16,
        32,
        {'team': 'order-service', 'resources': {'cores': 0.25}},
        {'team': 'old-ledger', 'resources': {'cores': 2, 'memory_mb': 4096}},
        {'team': 'order-service', 'resources': {'cores': 1}},
        {'team': 'order-service', 'tasks': 4, 'resources': {'cores': 1}},
    ),
    Customer(
        'suenario',
        32,
        128,
        {'team': 'previews', 'resources': {'cores': 1, 'memory_mb': 1024}},
        {'team': 'volumes', 'resources': {'cores': 8, 'memory_mb': 32768}},
        {'team': 'digests', 'resources': {'cores': 2, 'memory_mb': 4096}},
        {'team': 'digests', 'tasks': 6, 'resources': {'cores': 4}},
    ),
)


class DemoCell:
    """The stand-ins and processes of one customer's cell."""

    def __init__(
        self, customer: Customer, directory: Path, processes: Processes
    ) -> None:
        self._customer = customer
        self._directory = directory
        self._processes = processes
        self._store = processes.start_store()
        self.workers: dict[str, WorkerStandIn] = {}
        self.schedulers: dict[str, ManagedProcess] = {}
        self.domains = self._write_declaration()
        self.urls = self._start_processes()
        self._apply()

    def _write_declaration(self) -> list[str]:
        """Write the example with stand-ins' addresses; start the workers."""
        source = ROOT / 'examples' / self._customer.name / 'declaration'
        for path in source.iterdir():
            (self._directory / path.name).write_text(path.read_text())
        path = self._directory / 'inventory.yaml'
        inventory = yaml.safe_load(path.read_text())
        for domain in inventory['failure_domains']:
            for rack in domain['racks']:
                for entry in rack['hosts']:
                    self._start_workers(domain['name'], entry)
        path.write_text(yaml.safe_dump(inventory))
        return [domain['name'] for domain in inventory['failure_domains']]

    def _start_workers(self, domain: str, entry: dict[str, Any]) -> None:
        names = list(expand_range(entry['names']))
        addresses = {name: find_free_address() for name in names}
        self.workers |= self._processes.start_workers(
            addresses,
            f'workers-{domain}',
            millicores=self._customer.cores * 1000,
            memory_mb=self._customer.memory_gib * GIB,
            slots=8,
            connections=64,
        )
        entry['names'] = names
        entry['urls'] = [f'http://{address}' for address in addresses.values()]

    def _start_processes(self) -> tuple[str, ...]:
        """Start one scheduler per failure domain and the front ends."""
        links = {
            f'scheduler-{number}': find_free_address(f'{NETWORK}.{number}')
            for number in range(1, len(self.domains) + 1)
        }
        peers = [{'name': n, 'address': a} for n, a in links.items()]
        for number, (name, link) in enumerate(links.items()):
            self.schedulers[name] = self._start(
                'scheduler',
                name,
                {
                    'failure_domain': self.domains[number],
                    'http_address': find_free_address(link.split(':')[0]),
                    'link_address': link,
                    'peers': peers,
                },
            )
        urls = []
        for number in range(1, FRONTEND_COUNT + 1):
            address = find_free_address(f'{NETWORK}.{100 + number}')
            name = f'frontend-{number}'
            process = self._start(
                'frontend',
                name,
                {
                    'failure_domain': self.domains[number - 1],
                    'http_address': address,
                    'peers': peers,
                },
            )
            url = f'http://{address}'
            self._processes.wait_for_http(process, f'{url}/healthz')
            urls.append(url)
        return tuple(urls)

    def _start(
        self, role: str, name: str, fields: dict[str, Any]
    ) -> ManagedProcess:
        path = self._directory / f'{name}.settings'
        settings = {'name': name, 'store_url': self._store.url, **fields}
        path.write_text(yaml.safe_dump(settings))
        return self._processes.start_program(
            name, 'serve', role, '--settings', str(path)
        )

    def _apply(self) -> None:
        command = ['apply', str(self._directory), '--url', self.urls[0]]
        report = run(
            [sys.executable, '-m', 'sassafrasgate', *command],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        )
        print(report.stdout.splitlines()[-1])
        wait_until(
            lambda: self.count_open() == len(self.workers), 'all hosts opening'
        )

    def get(self, path: str) -> Any:
        """Return the JSON document at a path of the first front end."""
        return self._processes.client.get(f'{self.urls[0]}{path}').json()

    def count_open(self) -> int:
        """Return the number of hosts that accept work."""
        hosts = self.get('/v1/hosts').get('hosts', ())
        return sum(host['status'] == 'open' for host in hosts)

    def find_owners(self) -> dict[str, str]:
        """Return the owner of each shard, '' for an unknown owner."""
        shards = self.get('/v1/shards').get('shards', ())
        return {shard['name']: shard['owner'] for shard in shards}

    def kill_owner(self, shard: str) -> float:
        """Kill a shard's owner; return the seconds until the takeover."""
        owner = self.find_owners()[shard]
        others = [
            process
            for name, process in self.schedulers.items()
            if name != owner
        ]
        before = sum(count_takeovers(process, shard) for process in others)
        self.schedulers[owner].kill()
        started_at_s = monotonic()
        # Logs show the time of the takeover. A status request would be late,
        # since it waits for the killed process.
        wait_until(
            lambda: (
                sum(count_takeovers(process, shard) for process in others)
                > before
            ),
            'a takeover',
        )
        return monotonic() - started_at_s

    def cancel(self, job_id: str) -> None:
        """Cancel a job; repeat the call until it succeeds."""
        url = f'{self.urls[0]}/v1/jobs/{job_id}'
        wait_until(
            lambda: self._processes.client.delete(url).status_code == 200,
            f'cancelling {job_id}',
        )


def count_takeovers(process: ManagedProcess, shard: str) -> int:
    """Return the number of takeovers of a shard in a scheduler's log."""
    return sum(
        'kind=takeover' in line and f'shard={shard} ' in line
        for line in process.read_log().splitlines()
    )


def make_load(customer: Customer) -> list[dict[str, Any]]:
    """Return the durable jobs of a customer, including those to cancel."""
    non_idempotent = {**customer.non_idempotent, 'idempotent': False}
    jobs = [
        make_job(f'once-{n}', 300 + 5 * n, **non_idempotent)
        for n in range(120)
    ]
    jobs += [
        make_job(f'batch-{n}', 100 + 5 * n, **customer.batch)
        for n in range(120)
    ]
    gang = {**customer.gang, 'class': 'gang'}
    jobs += [make_job(f'gang-{n}', 1000, **gang) for n in range(3)]
    jobs += [
        make_job(f'cancelled-{n}', 120_000, **non_idempotent)
        for n in range(CANCELLED_JOB_COUNT)
    ]
    return jobs


def run_cell(customer: Customer, cell: DemoCell) -> list[str]:
    """Run the load on a cell, print a summary and return the faults."""
    service = {'tasks': 3, 'class': 'service', **customer.batch}
    services = Load(cell.urls, [make_job('web', 600_000, **service)]).start()
    jobs = make_load(customer)
    load = Load(cell.urls, jobs).start()
    quick = [
        QuickCalls(lambda url=url: url, 10, **customer.quick)
        for url in cell.urls
    ]
    load.wait_for_accepted(JOBS_BEFORE_KILL)
    takeover_s = cell.kill_owner(cell.domains[0])
    repeats = Load(cell.urls[::-1], jobs[:DUPLICATE_COUNT]).start()
    for key in [f'cancelled-{n}' for n in range(CANCELLED_JOB_COUNT)]:
        wait_until(lambda key=key: key in load.accepted, f'accepting {key}')
        cell.cancel(load.accepted[key])
    load.finish()
    repeats.finish()
    cell.cancel(services.accepted['web'])
    services.finish()
    calls = [call for caller in quick for call in caller.stop()]
    latencies = sorted(s for caller in quick for s in caller.latencies_s)
    faults = find_faults(load, cell.workers)
    faults += find_faults(services, cell.workers)
    faults += [
        f'{key}: repeated submission gave job {job_id} '
        f'instead of {load.accepted[key]}'
        for key, job_id in repeats.accepted.items()
        if load.accepted[key] != job_id
    ]
    states = Counter((*load.states.values(), *services.states.values()))
    accepted = len(load.accepted) + len(services.accepted)
    ended = states['finished'] + states['cancelled'] + states['unknown']
    if accepted != ended:
        faults.append(f'{accepted} accepted, but {ended} ended')
    job_ids = {*load.accepted.values(), *services.accepted.values()}
    starts = Counter(
        task.record.task.rpartition('.')[0]
        for task in read_tasks(cell.workers)
        if task.job_id in job_ids
    )
    print(f'{customer.name}: {len(cell.workers)} workers')
    print(
        f'  jobs: accepted {accepted}, finished {states["finished"]}, '
        f'cancelled {states["cancelled"]}, unknown {states["unknown"]}, '
        f'duplicates {len(repeats.accepted)}'
    )
    print(
        f'  quick: sent {len(calls)}, succeeded {len(latencies)}, '
        f'p50 {find_quantile(latencies, 0.5):.1f} ms, '
        f'p99 {find_quantile(latencies, 0.99):.1f} ms'
    )
    print(f'  starts of each task: {dict(Counter(starts.values()))}')
    print(f'  over capacity: {len(find_overloads(cell.workers))} times')
    print(f'  takeover after a kill: {takeover_s:.2f} s')
    return faults


def find_quantile(ordered_s: list[float], share: float) -> float:
    """Return a quantile, in ms, of sorted times in seconds."""
    if not ordered_s:
        return 0.0
    return ordered_s[int(share * (len(ordered_s) - 1))] * 1000


def run_demo() -> int:
    """Run the cells one after the other; return the exit status."""
    started_at_s = monotonic()
    faults = []
    for customer in CUSTOMERS:
        with (
            TemporaryDirectory() as directory,
            Processes(Path(directory)) as processes,
        ):
            cell = DemoCell(customer, Path(directory), processes)
            faults += run_cell(customer, cell)
    for fault in faults:
        print(f'fault: {fault}')
    result = 'inconsistent' if faults else 'consistent'
    print(f'results are {result}; {monotonic() - started_at_s:.0f} s in total')
    return 1 if faults else 0


if __name__ == '__main__':
    sys.exit(run_demo())
