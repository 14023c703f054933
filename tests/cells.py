"""Starts a small cell, as separate processes, for tests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from msgspec import to_builtins
import yaml

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.resources import Resources
from tests.processes import find_free_address
from tests.processes import ManagedProcess
from tests.processes import Processes
from tests.processes import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from httpx import Response

    from tests.processes import StoreStandIn
    from tests.processes import WorkerStandIn


@dataclass(frozen=True, slots=True)
class CellPlan:
    """Size and settings of a test cell.

    Parameters
    ----------
    domains, workers_per_domain : int
        Number of failure domains, each with one shard, and of hosts in each.
    schedulers, frontends : int
        Number of scheduler and front-end processes.
    """

    domains: int = 2
    workers_per_domain: int = 2
    schedulers: int = 2
    frontends: int = 2
    millicores: int = 16_000
    memory_mb: int = 32_768
    slots: int = 8
    connections: int = 64
    rack_size: int = 6
    owner_ttl_s: float = 3.0
    outage_grace_s: float = 5.0
    teams: tuple[str, ...] = ('orders', 'ledger')


class Cell:
    """A store, workers, schedulers and front ends on loopback addresses.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    plan : CellPlan
        Size and settings of the cell.
    processes : Processes
        Starts the processes and ends them when it is closed.
    """

    def __init__(
        self, directory: Path, plan: CellPlan, processes: Processes
    ) -> None:
        self.directory = directory
        self.plan = plan
        self.processes = processes
        self.store: StoreStandIn = processes.start_store()
        self.workers: dict[str, WorkerStandIn] = {}
        self.schedulers: dict[str, ManagedProcess] = {}
        self.frontends: dict[str, ManagedProcess] = {}
        self.urls: dict[str, str] = {}
        self._link_addresses = {
            f'scheduler-{number}': find_free_address()
            for number in range(plan.schedulers)
        }
        self._start_workers()
        for name in self._link_addresses:
            self.start_scheduler(name)
        for number in range(plan.frontends):
            self.start_frontend(f'frontend-{number}')

    def _start_workers(self) -> None:
        plan = self.plan
        for domain in range(plan.domains):
            names = [
                f'host-{domain}-{number}'
                for number in range(plan.workers_per_domain)
            ]
            addresses = {name: find_free_address() for name in names}
            self.workers |= self.processes.start_workers(
                addresses,
                f'workers-{domain}',
                millicores=plan.millicores,
                memory_mb=plan.memory_mb,
                slots=plan.slots,
                connections=plan.connections,
            )

    def _write_settings(self, name: str, **fields: Any) -> Path:
        settings = {
            'name': name,
            'store_url': self.store.url,
            'peers': [
                {'name': peer, 'address': address}
                for peer, address in self._link_addresses.items()
                if peer != name
            ],
            'owner_ttl_s': self.plan.owner_ttl_s,
            'outage_grace_s': self.plan.outage_grace_s,
            **fields,
        }
        path = self.directory / f'{name}.yaml'
        path.write_text(yaml.safe_dump(settings))
        return path

    def start_scheduler(self, name: str) -> ManagedProcess:
        """Start or restart one scheduler."""
        number = int(name.rpartition('-')[2])
        path = self._write_settings(
            name,
            failure_domain=f'domain-{number % self.plan.domains}',
            http_address=find_free_address(),
            link_address=self._link_addresses[name],
        )
        process = self.processes.start_program(
            name, 'serve', 'scheduler', '--settings', str(path)
        )
        self.schedulers[name] = process
        return process

    def start_frontend(self, name: str) -> ManagedProcess:
        """Start or restart one front end and wait until it is alive."""
        address = find_free_address()
        number = int(name.rpartition('-')[2])
        path = self._write_settings(
            name,
            failure_domain=f'domain-{number % self.plan.domains}',
            http_address=address,
        )
        process = self.processes.start_program(
            name, 'serve', 'frontend', '--settings', str(path)
        )
        self.frontends[name] = process
        self.urls[name] = f'http://{address}'
        self.processes.wait_for_http(process, f'{self.urls[name]}/healthz')
        return process

    def make_configuration(self) -> Configuration:
        """Return the configuration of the whole cell."""
        plan = self.plan
        capacity = Resources(
            plan.millicores, plan.memory_mb, 0, plan.slots, plan.connections
        )
        hosts = []
        for name, worker in self.workers.items():
            _, domain, number = name.split('-')
            rack = int(number) // plan.rack_size
            hosts.append(
                Host(
                    name,
                    worker.url,
                    f'rack-{domain}-{rack}',
                    f'domain-{domain}',
                    capacity,
                )
            )
        shards = tuple(
            Shard(
                f'shard-{domain}',
                f'domain-{domain}',
                tuple(
                    sorted(
                        {
                            host.rack
                            for host in hosts
                            if host.failure_domain == f'domain-{domain}'
                        }
                    )
                ),
            )
            for domain in range(plan.domains)
        )
        teams = tuple(Team(name) for name in plan.teams)
        return Configuration(0, '', 'test', tuple(hosts), shards, teams, ())

    def apply(
        self, configuration: Configuration, version: int, frontend: str = ''
    ) -> Response:
        """Apply a configuration through a front end."""
        body = to_builtins(configuration)
        del body['version'], body['change']
        return self.processes.client.put(
            f'{self.find_url(frontend)}/v1/configuration',
            json=body,
            headers={'If-Match': f'"{version}"'},
        )

    def find_link(self, name: str) -> str:
        """Return the address at which other processes reach a scheduler."""
        return self._link_addresses[name]

    def find_url(self, frontend: str = '') -> str:
        """Return the base URL of a front end, by default the first."""
        return self.urls[frontend or 'frontend-0']

    def start_serving(self) -> None:
        """Apply the first configuration and wait until all hosts are open."""
        configuration = self.make_configuration()
        wait_until(
            lambda: self.apply(configuration, 0).status_code == 200,
            'applying the first configuration',
        )
        for name, process in self.frontends.items():
            self.processes.wait_for_http(process, f'{self.urls[name]}/readyz')
        wait_until(self.is_open, 'all hosts opening')

    def is_open(self) -> bool:
        """Return whether every host accepts work."""
        return self.count_open() == len(self.workers)

    def count_open(self) -> int:
        """Return the number of hosts that accept work."""
        response = self.processes.client.get(f'{self.find_url()}/v1/hosts')
        if response.status_code != 200:
            return 0
        return sum(h['status'] == 'open' for h in response.json()['hosts'])

    def find_owner(self, shard: str, frontend: str = '') -> str:
        """Return the name of a shard's owner, '' if the owner is unknown."""
        response = self.processes.client.get(
            f'{self.find_url(frontend)}/v1/shards'
        )
        if response.status_code != 200:
            return ''
        owners = {
            entry['name']: entry['owner']
            for entry in response.json()['shards']
        }
        return str(owners.get(shard, ''))

    def kill_all(self) -> None:
        """Kill the schedulers and front ends without draining them."""
        for process in (*self.schedulers.values(), *self.frontends.values()):
            process.kill()

    def submit(self, frontend: str = '', **job: Any) -> Response:
        """Submit one job."""
        return self.processes.client.post(
            f'{self.find_url(frontend)}/v1/jobs', json=job, timeout=30.0
        )
