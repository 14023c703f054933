"""The processes of one soak test: entry hosts, a store and workers."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from json import dumps
from pathlib import Path
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
from tests.soak.proxies import Proxy

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Mapping

    from anyio.abc import TaskGroup


START_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.3
QUEUES = ('plain', 'advised')
ROUTE_HOST = 'soak.example'
STOP_TIMEOUT_S = 6.0
PROGRAM = 'sassafrasgate'


@dataclass(slots=True)
class EntryHost:
    """An entry host with its process and proxies.

    Parameters
    ----------
    restarting : bool
        Set from a kill or a stop of the process until the next one starts.
    suspend_count : int
        Number of faults that keep the process suspended; a suspended
        process cannot stop.
    """

    name: str
    settings: Path
    caller_address: str
    ready_address: str
    store_proxy: Proxy
    caller_proxy: Proxy
    process: ManagedProcess
    restarting: bool = False
    suspend_count: int = 0


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
    """

    def __init__(
        self,
        directory: Path,
        processes: Processes,
        group: TaskGroup,
        program: str = PROGRAM,
    ) -> None:
        self.directory = directory
        self.entries: dict[str, EntryHost] = {}
        self.worker_proxies: dict[str, Proxy] = {}
        self.unexpected_exits: list[str] = []
        self._processes = processes
        self._group = group
        self._program = program
        self._version = 0
        self._session = ClientSession(timeout=ClientTimeout(total=5.0))
        self._store_address = find_free_address()
        self._control_address = find_free_address()
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
        self.store_process = self._processes.start(
            'store',
            'tests.standins.platform_store',
            '--address',
            self._store_address,
        )
        self.store_process.wait_for_log('serving')
        await self.change_configuration()
        for key, text in (written or {}).items():
            await self.write_raw(key, text)
        await self._start_workers(workers)
        for number in range(entries):
            await self._start_entry(f'entry-{number}')
        for entry in self.entries.values():
            await self._wait_until_ready(entry)

    async def _start_workers(self, count: int) -> None:
        arguments = []
        for number in range(count):
            name = f'i-{number:04d}'
            address = find_free_address()
            proxy = Proxy(address)
            await self._group.start(proxy.run)
            self.worker_proxies[name] = proxy
            arguments += ['--worker', f'{name}={address}={proxy.address}']
        process = self._processes.start(
            'workers',
            'tests.standins.platform_workers',
            '--control',
            self._control_address,
            '--store',
            self._store_address,
            *arguments,
        )
        process.wait_for_log('serving')

    async def _start_entry(self, name: str) -> None:
        store_proxy = Proxy(self._store_address)
        await self._group.start(store_proxy.run)
        caller_address = find_free_address()
        caller_proxy = Proxy(caller_address)
        await self._group.start(caller_proxy.run)
        settings = {
            'name': name,
            'failure_domain': 'z1',
            'caller_address': caller_address,
            'ready_address': find_free_address(),
            'metrics_address': find_free_address(),
            'link_address': find_free_address(),
            'store_address': store_proxy.address,
            'advice_address': self._control_address,
            'owner_ttl_s': 1.0,
            'outage_grace_s': 4.0,
            'stop_s': STOP_TIMEOUT_S,
        }
        path = self.directory / f'{name}.yaml'
        path.write_text(safe_dump(settings))
        self.entries[name] = EntryHost(
            name,
            path,
            caller_address,
            settings['ready_address'],
            store_proxy,
            caller_proxy,
            self._run_entry(name, path),
        )

    def _run_entry(self, name: str, path: Path) -> ManagedProcess:
        return self._processes.start(
            name, self._program, 'serve', 'entry', '--settings', str(path)
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
        routes = [
            {
                'name': queue,
                'host': ROUTE_HOST,
                'prefix': f'/{queue}/',
                'kind': 'non_idempotent',
                'timeoutMs': 3000 + self._version,
                'targetLatencyMs': 300,
                'priority': number,
                'service': 'pool',
                'maxAttempts': 3,
                'stretch': 3.0,
            }
            for number, queue in enumerate(QUEUES)
        ]
        routes[1]['advice'] = {'decideMs': 20, 'eachMs': 1, 'validMs': 2000}
        value = {
            'version': self._version,
            'routes': routes,
            'services': [{'name': 'pool', 'enforcesCapacity': False}],
            'limits': {},
        }
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

    async def set_worker_fault(
        self, name: str, kind: str, **fault: Any
    ) -> None:
        """Set a fault of a worker; see `tests.standins.platform_workers`."""
        url = f'http://{self._control_address}/control/fault'
        body = {'worker': name, 'kind': kind, **fault}
        async with self._session.post(url, json=body) as response:
            response.raise_for_status()

    async def read_record(self) -> dict[str, Any]:
        """Return the tasks and rule violations that the workers recorded."""
        url = f'http://{self._control_address}/control/record'
        async with self._session.get(url) as response:
            found: dict[str, Any] = await response.json()
            return found

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

    async def _restart(self, entry: EntryHost) -> None:
        await anyio.sleep(RESTART_DELAY_S)
        entry.process = self._run_entry(entry.name, entry.settings)
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
) -> AsyncIterator[Cell]:
    """Run a cell of real processes, all of which end with the context."""
    with Processes(directory) as processes:
        async with anyio.create_task_group() as group:
            cell = Cell(directory, processes, group, program)
            await cell.start(entries, workers, written)
            yield cell
            await cell.close()
            group.cancel_scope.cancel()
