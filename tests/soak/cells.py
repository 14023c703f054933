"""The processes of one soak test: entry hosts, a store and workers."""

from __future__ import annotations

from base64 import b64decode
from contextlib import asynccontextmanager
from json import dumps
from json import loads
from random import Random
from signal import SIGTERM
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import anyio
from yaml import safe_dump

from tests.processes import find_free_address
from tests.processes import ManagedProcess
from tests.processes import Processes
from tests.soak.configurations import make_configuration
from tests.soak.configurations import QUEUES
from tests.soak.configurations import ROUTE_HOST
from tests.soak.entry_hosts import EntryHost
from tests.soak.proxies import Proxy
from tests.soak.proxies import ProxyGroup
from tests.soak.topology import Topology
from tests.soak.worker_processes import WorkerProcesses

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping
    from pathlib import Path

    from anyio.abc import TaskGroup


START_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.3
STOP_TIMEOUT_S = 6.0
PROGRAM = 'sassafrasgate'
SHIFTING_PROGRAM = 'tests.soak.shifted_clocks'
OWNER_PREFIX = 'control/owners/'


class Cell:
    """All processes and proxies of a soak test.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    processes : Processes
        Starts the processes and ends them.
    group : TaskGroup
        Task group in which the proxies run.
    program : str
        Module that the processes of the entry hosts run.
    seed : int
        Seed for the times of day and for the runs of the workers.
    max_shift_s : float
        Limit for the difference between the time of day of an entry host
        and that of the machine, in seconds.
    has_tenants : bool
        Whether the configuration has tenants with caps.
    """

    def __init__(
        self,
        directory: Path,
        processes: Processes,
        group: TaskGroup,
        program: str = PROGRAM,
        seed: int = 1,
        max_shift_s: float = 0.0,
        has_tenants: bool = False,
    ) -> None:
        self.directory = directory
        self.has_tenants = has_tenants
        self.entries: dict[str, EntryHost] = {}
        self.worker_proxies: dict[str, ProxyGroup] = {}
        self.unexpected_exits: list[str] = []
        self._processes = processes
        self._group = group
        self._program = program
        self._seed = seed
        self._random = Random(seed)
        self._max_shift_s = max_shift_s
        self._version = 0
        self._session = ClientSession(timeout=ClientTimeout(total=5.0))
        self._store_address = find_free_address()
        self._advice_address = find_free_address()
        self.topology: Topology
        self.workers: WorkerProcesses
        self.store_process: ManagedProcess

    async def start(
        self,
        entries: int,
        workers: int,
        written: Mapping[str, str] | None = None,
    ) -> None:
        """Start all processes and wait until each entry host is ready.

        Parameters
        ----------
        entries, workers : int
            Number of entry hosts and of workers.
        written : mapping of str to str, optional
            Texts that the store holds before the entry hosts start, by key.
        """
        names = [f'entry-{number}' for number in range(entries)]
        self.topology = Topology(
            names, [f'i-{number:04d}' for number in range(workers)]
        )
        self.worker_proxies = self.topology.group_by_worker()
        await self.topology.run(self._group)
        self._start_store()
        await self.change_configuration()
        for key, text in (written or {}).items():
            await self.write_raw(key, text)
        self._start_workers()
        for name in names:
            await self._start_entry(name)
        for entry in self.entries.values():
            await self._wait_until_ready(entry)

    def _start_store(self) -> None:
        views = self.directory / 'views.json'
        self.topology.write_views(views)
        self.store_process = self._processes.start(
            'store',
            'tests.standins.platform_store',
            '--address',
            self._store_address,
            '--views',
            str(views),
        )
        self.store_process.wait_for_log('serving')

    def _start_workers(self) -> None:
        addresses = self.topology.worker_addresses
        records = self.directory / 'workers'
        self.workers = WorkerProcesses(records, addresses, self._session)
        arguments = []
        for name, address in addresses.items():
            arguments += ['--worker', f'{name}={address}']
        process = self._processes.start(
            'workers',
            'tests.standins.worker_processes',
            '--advice',
            self._advice_address,
            '--store',
            self._store_address,
            '--directory',
            str(records),
            '--seed',
            str(self._seed),
            *arguments,
        )
        for name in ('advice', *addresses):
            process.wait_for_log(f'serving {name}')

    async def _start_entry(self, name: str) -> None:
        caller_address = find_free_address()
        caller_proxy = Proxy(caller_address)
        await self._group.start(caller_proxy.run)
        store_proxy = self.topology.to_store[name]
        settings = {
            'name': name,
            'failure_domain': 'z1',
            'caller_address': caller_address,
            'ready_address': find_free_address(),
            'metrics_address': find_free_address(),
            'link_address': self.topology.link_addresses[name],
            'store_address': store_proxy.address,
            'advice_address': self._advice_address,
            'owner_ttl_s': 1.0,
            'outage_grace_s': 4.0,
            'stop_s': STOP_TIMEOUT_S,
        }
        path = self.directory / f'{name}.yaml'
        path.write_text(safe_dump(settings))
        shift_s = self._random.uniform(-self._max_shift_s, self._max_shift_s)
        shift_ms = int(1000 * shift_s)
        self.entries[name] = EntryHost(
            name,
            path,
            shift_ms,
            caller_address,
            settings['ready_address'],
            store_proxy,
            caller_proxy,
            self._run_entry(name, path, shift_ms),
        )

    def _run_entry(
        self, name: str, path: Path, shift_ms: int
    ) -> ManagedProcess:
        program = [self._program]
        if shift_ms:
            program = [SHIFTING_PROGRAM, str(shift_ms), self._program]
        return self._processes.start(
            name, *program, 'serve', 'entry', '--settings', str(path)
        )

    async def _wait_until_ready(self, entry: EntryHost) -> None:
        """Wait for an entry host; an error shows the logs of all of them."""
        with anyio.move_on_after(START_TIMEOUT_S):
            while entry.process.alive:
                if await self._is_ready(entry):
                    return
                await anyio.sleep(POLL_INTERVAL_S)
        logs = '\n'.join(
            f'{name}:\n{other.process.read_log()}'
            for name, other in self.entries.items()
        )
        raise TimeoutError(
            f'{entry.name!r} is not ready after its start; it '
            f'{"runs" if entry.process.alive else "has ended"}\n{logs}'
        )

    async def _is_ready(self, entry: EntryHost) -> bool:
        url = f'http://{entry.ready_address}/api/readyz'
        try:
            async with self._session.get(url) as response:
                return response.status == 200
        except (ClientError, TimeoutError):
            return False

    async def change_configuration(self) -> int:
        """Write a configuration with a higher version, as operators do.

        Returns
        -------
        int
            The version.
        """
        self._version += 3
        value = make_configuration(self._version, self.has_tenants)
        body = {'key': 'op/config', 'value': value}
        url = f'http://{self._store_address}/control/put'
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()
        return self._version

    async def write_raw(self, key: str, text: str) -> None:
        """Write a text to a key of the store, as another program might."""
        body = {'key': key, 'raw': text}
        url = f'http://{self._store_address}/control/put'
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()

    async def run_job(
        self, entry: EntryHost, job_id: str, estimate_ms: int = 50
    ) -> str:
        """Submit a job of one task and return its last state.

        The job counts as unfinished after `JOB_TIMEOUT_S`.
        """
        steps = [
            {'count': 1, 'cpu': 500, 'memMb': 500, 'estimateMs': estimate_ms}
        ]
        job = {'spec': dumps(steps), 'steps': steps}
        url = f'http://{entry.caller_address}/{QUEUES[0]}/{job_id}'
        state = 'not accepted'
        with anyio.move_on_after(JOB_TIMEOUT_S):
            while state != 'completed':
                state = await self._call_for_job(url, job, state)
                await anyio.sleep(POLL_INTERVAL_S)
        return state

    async def _call_for_job(
        self, url: str, job: dict[str, Any], state: str
    ) -> str:
        headers = {'Host': ROUTE_HOST}
        accepted = state != 'not accepted'
        call = self._session.get if accepted else self._session.post
        options = {} if accepted else {'json': job}
        try:
            async with call(url, headers=headers, **options) as response:
                if response.status != 200:
                    return state
                body: dict[str, str] = await response.json()
                return body.get('state', 'accepted')
        except (ClientError, TimeoutError):
            return state

    async def find_owner(self) -> tuple[EntryHost, str] | None:
        """Return the owner and its incarnation, None if it isn't known."""
        url = f'http://{self._store_address}/api/kv-range'
        try:
            async with self._session.get(
                url, params={'prefix': OWNER_PREFIX}
            ) as response:
                items = (await response.json())['items']
        except (ClientError, TimeoutError):
            return None
        for item in items:
            member = loads(b64decode(item['value']))
            if member['name'] in self.entries:
                return self.entries[member['name']], member['incarnation']
        return None

    async def read_record(self) -> dict[str, Any]:
        """Return the tasks and rule violations that the workers recorded."""
        return self.workers.read_record()

    async def kill(self, entry: EntryHost) -> None:
        """Kill an entry host's process and restart it like the platform."""
        if entry.restarting:
            return
        entry.restarting = True
        entry.process.resume()
        await anyio.to_thread.run_sync(entry.process.kill)
        await self._restart(entry)

    async def stop(self, entry: EntryHost) -> None:
        """Stop an entry host's process as for maintenance, and restart it."""
        if entry.restarting:
            return
        entry.restarting = True
        entry.process.send_signal(SIGTERM)
        remaining_s = STOP_TIMEOUT_S
        while entry.process.alive and remaining_s > 0:
            await anyio.sleep(POLL_INTERVAL_S)
            # The time during which a process is suspended does not count
            # towards its grace period.
            remaining_s = (
                STOP_TIMEOUT_S
                if entry.suspend_count
                else remaining_s - POLL_INTERVAL_S
            )
        if entry.process.alive:
            self.unexpected_exits.append(
                f'{entry.name} did not stop within its grace period'
            )
            await anyio.to_thread.run_sync(entry.process.kill)
        await self._restart(entry)

    async def pause(self, entry: EntryHost, seconds: float) -> None:
        """Suspend an entry host's process for some time."""
        process = entry.process
        entry.suspend_count += 1
        process.freeze()
        await anyio.sleep(seconds)
        process.resume()
        entry.suspend_count -= 1

    async def _restart(self, entry: EntryHost) -> None:
        await anyio.sleep(RESTART_DELAY_S)
        entry.process = self._run_entry(
            entry.name, entry.settings, entry.shift_ms
        )
        entry.restarting = False

    async def restart_ended_processes(self) -> None:
        """Record and restart processes that end unexpectedly."""
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            for entry in self.entries.values():
                if entry.restarting or entry.process.alive:
                    continue
                self.unexpected_exits.append(
                    f'{entry.name} ended unexpectedly'
                )
                entry.restarting = True
                await self._restart(entry)

    async def close(self) -> None:
        """Close the connections to the stand-ins."""
        await self._session.close()


@asynccontextmanager
async def open_cell(
    directory: Path,
    entries: int,
    workers: int,
    program: str = PROGRAM,
    written: Mapping[str, str] | None = None,
    seed: int = 1,
    max_shift_s: float = 0.0,
    has_tenants: bool = False,
) -> AsyncIterator[Cell]:
    """Run a cell of real processes, all of which end with the context."""
    with Processes(directory) as processes:
        async with anyio.create_task_group() as group:
            cell = Cell(
                directory,
                processes,
                group,
                program,
                seed,
                max_shift_s,
                has_tenants,
            )
            await cell.start(entries, workers, written)
            yield cell
            await cell.close()
            group.cancel_scope.cancel()
