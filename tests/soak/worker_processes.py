"""The workers of a cell: their processes, faults and records."""

from __future__ import annotations

from contextlib import suppress
from os import kill
from shutil import rmtree
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import ClientError
import anyio

from tests.soak.histories import History
from tests.soak.histories import summarize
from tests.standins.worker_records import read_records
from tests.standins.worker_records import read_shared_clock_ms
from tests.standins.worker_records import RecordFile
from tests.standins.worker_records import SUFFIX

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

    from aiohttp import ClientSession

RESTART_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class WorkerProcesses:
    """Controls the workers, each of which is a process.

    Parameters
    ----------
    directory : Path
        Directory with the records of the workers.
    addresses : mapping of str to str
        Real address of each worker, by its id.
    session : ClientSession
        HTTP client.
    """

    def __init__(
        self,
        directory: Path,
        addresses: Mapping[str, str],
        session: ClientSession,
    ) -> None:
        # Records of an earlier run in the same directory name the same jobs.
        rmtree(directory, ignore_errors=True)
        directory.mkdir(parents=True)
        self._directory = directory
        self._addresses = addresses
        self._session = session
        self._kills = RecordFile(directory / f'kills{SUFFIX}')
        self._restarting: set[str] = set()

    def _find_pid(self, name: str) -> int:
        path = self._directory / f'{name}{SUFFIX}'
        births = [
            event
            for event in read_records(self._directory, path.name)
            if event['kind'] == 'born'
        ]
        return int(births[-1]['pid'])

    async def set_fault(self, name: str, kind: str, **fault: Any) -> None:
        """Set a fault of a worker; see `tests.standins.platform_workers`.

        A worker that is killed or suspended meanwhile keeps its state.
        """
        url = f'http://{self._addresses[name]}/control/fault'
        with suppress(ClientError, TimeoutError):
            async with self._session.post(
                url, json={'kind': kind, **fault}
            ) as response:
                response.raise_for_status()

    async def kill(self, name: str) -> None:
        """Kill a worker's process and wait until it has started again."""
        if name in self._restarting:
            return
        self._restarting.add(name)
        pid = self._find_pid(name)
        self._kills.append(
            'killed', read_shared_clock_ms(), worker=name, pid=pid
        )
        kill(pid, SIGKILL)
        with anyio.fail_after(RESTART_TIMEOUT_S):
            while self._find_pid(name) == pid:
                await anyio.sleep(POLL_INTERVAL_S)
        self._restarting.discard(name)

    async def pause(self, name: str, seconds: float) -> None:
        """Suspend a worker's process for some time."""
        if name in self._restarting:
            return
        pid = self._find_pid(name)
        kill(pid, SIGSTOP)
        await anyio.sleep(seconds)
        # The process has another id after it has been killed.
        with suppress(ProcessLookupError):
            kill(pid, SIGCONT)

    def read_record(self) -> dict[str, Any]:
        """Return the tasks and violations that the workers' records show."""
        return summarize(History(read_records(self._directory)))
