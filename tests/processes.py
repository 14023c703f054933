"""Starts stand-ins and processes of sassafrasgate for tests.

Examples
--------
>>> with Processes(tmp_path) as processes:
...     store = processes.start_store()
...     worker = processes.start_worker(slots=4)
...     store.set_faults(down=True)
...     worker.process.freeze()
"""

from __future__ import annotations

from contextlib import ExitStack
from os import environ
from os import getpid
from pathlib import Path
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
from socket import AF_INET
from socket import SOCK_STREAM
from socket import socket
from subprocess import Popen
from subprocess import STDOUT
from subprocess import TimeoutExpired
import sys
from time import monotonic
from time import sleep
from typing import Any
from typing import TYPE_CHECKING

from httpx import Client
from httpx import HTTPError
from msgspec.json import decode
from msgspec.json import encode

from tests.standins.simulation import WorkerRecord

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import TracebackType
    from typing import Self

    from sassafrasgate.core.items import HostStatus

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.02

_returned_ports: set[int] = set()


def find_loopback() -> str:
    """Return an address in 127.0.0.0/8 that only this process uses.

    Test runs on the same machine then do not compete for ports.
    """
    pid = getpid()
    return f'127.{1 + (pid >> 16)}.{pid >> 8 & 255}.{pid & 255}'


def find_free_address(ip: str = '') -> str:
    """Return an IP number and port on which no process listens.

    Each port is returned once. Listeners of the tests take their addresses
    from here, so that none takes one that a process has yet to bind.

    Parameters
    ----------
    ip : str
        IP number; by default one that only this process uses.
    """
    while True:
        with socket(AF_INET, SOCK_STREAM) as probe:
            probe.bind((ip or find_loopback(), 0))
            host, port = probe.getsockname()
        if port not in _returned_ports:
            _returned_ports.add(port)
            return f'{host}:{port}'


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = 30.0
) -> None:
    """Block until a condition holds.

    Raises
    ------
    TimeoutError
        If the condition does not hold within ``timeout_s``; the message
        contains ``description``.
    """
    deadline_s = monotonic() + timeout_s
    while not condition():
        if monotonic() > deadline_s:
            raise TimeoutError(
                f'{description} did not happen in {timeout_s:g} s'
            )
        sleep(POLL_S)


class ManagedProcess:
    """A ``python -m`` process and its log.

    Parameters
    ----------
    name : str
        Name of the log file.
    arguments : tuple of str
        Module and arguments.
    log_path : Path
        File for the output of the process; a process that is restarted
        under the same name appends to it.
    """

    def __init__(
        self, name: str, arguments: tuple[str, ...], log_path: Path
    ) -> None:
        self.name = name
        self.log_path = log_path
        self._log_start = log_path.stat().st_size if log_path.exists() else 0
        with log_path.open('ab') as log:
            self._popen = Popen(
                [sys.executable, '-m', *arguments],
                cwd=ROOT,
                env={**environ, 'PYTHONPATH': str(ROOT)},
                stdout=log,
                stderr=STDOUT,
            )
        self.pid = self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def read_log(self) -> str:
        """Return the output of this process."""
        with self.log_path.open('rb') as log:
            log.seek(self._log_start)
            return log.read().decode(errors='replace')

    def send_signal(self, number: int) -> None:
        """Send a signal unless the process has ended."""
        self._popen.send_signal(number)

    def freeze(self) -> None:
        """Suspend the process."""
        self.send_signal(SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
        self.send_signal(SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        self.send_signal(SIGKILL)
        self._popen.wait(STOP_TIMEOUT_S)

    def terminate(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop and return its exit status.

        Raises
        ------
        subprocess.TimeoutExpired
            If it has not ended after ``timeout_s``.
        """
        self.send_signal(SIGTERM)
        return self._popen.wait(timeout_s)

    def wait_for_log(self, text: str, timeout_s: float = 30.0) -> None:
        """Block until the process has logged a text.

        Raises
        ------
        RuntimeError
            When the process ended before; shows its log.
        TimeoutError
            If the text does not appear within ``timeout_s``.
        """

        def is_logged() -> bool:
            alive = self.alive
            if text in self.read_log():
                return True
            if not alive:
                raise RuntimeError(f'{self.name} ended:\n{self.read_log()}')
            return False

        wait_until(is_logged, f'{self.name} logging {text!r}', timeout_s)


class StandIn:
    """Client of the control paths of a stand-in."""

    def __init__(
        self, address: str, process: ManagedProcess, client: Client
    ) -> None:
        self.address = address
        self.url = f'http://{address}'
        self.process = process
        self._client = client

    def set_faults(self, **faults: Any) -> None:
        """Set the given faults; the others keep their values."""
        self._call('POST', 'faults', faults)

    def read_counts(self) -> dict[str, int]:
        """Return the number of calls of each kind."""
        return decode(self._call('GET', 'counts'), type=dict[str, int])

    def _call(self, method: str, path: str, body: Any = None) -> bytes:
        response = self._client.request(
            method,
            f'{self.url}/control/{path}',
            content=None if body is None else encode(body),
        )
        response.raise_for_status()
        return response.content


class StoreStandIn(StandIn):
    """Client of the control paths of the store."""

    def set_hosts(self, hosts: Iterable[HostStatus]) -> None:
        """Set the host list, which callers see after the lag."""
        self._call('PUT', 'hosts', tuple(hosts))


class WorkerStandIn(StandIn):
    """Client of the control paths of one worker."""

    def read_record(self) -> WorkerRecord:
        """Return the record of the worker."""
        return decode(self._call('GET', 'record'), type=WorkerRecord)


class Processes:
    """Processes of one test, which end with it.

    Parameters
    ----------
    directory : Path
        Directory for one log file per process name.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._started: list[ManagedProcess] = []
        self._stack = ExitStack()
        self.client = self._stack.enter_context(
            Client(timeout=10.0, trust_env=False)
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for process in self._started:
            # A suspended process cannot handle SIGTERM.
            process.resume()
            process.send_signal(SIGTERM)
        for process in self._started:
            try:
                process.terminate()
            except TimeoutExpired:
                process.kill()
        self._stack.close()

    def start(self, name: str, *arguments: str) -> ManagedProcess:
        """Start ``python -m`` with the arguments without waiting for it."""
        process = ManagedProcess(
            name, arguments, self._directory / f'{name}.log'
        )
        self._started.append(process)
        return process

    def start_program(self, name: str, *arguments: str) -> ManagedProcess:
        """Start ``python -m sassafrasgate`` without waiting for it."""
        return self.start(name, 'sassafrasgate', *arguments)

    def wait_for_http(
        self,
        process: ManagedProcess,
        url: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Block until a GET of ``url``, such as ``/readyz``, returns 200.

        Raises
        ------
        RuntimeError
            When the process ended before; shows its log.
        TimeoutError
            If no such response arrives within ``timeout_s``.
        """

        def is_ready() -> bool:
            if not process.alive:
                raise RuntimeError(
                    f'{process.name} ended:\n{process.read_log()}'
                )
            try:
                return self.client.get(url).status_code == 200
            except HTTPError:
                return False

        wait_until(is_ready, f'{process.name} answering {url}', timeout_s)

    def start_store(
        self,
        address: str = '',
        name: str = 'store',
        **options: int,
    ) -> StoreStandIn:
        """Start a store and wait until it serves.

        Parameters
        ----------
        address : str
            IP number and port; by default a free one.
        name : str
            Name of the process.
        **options
            ``hosts_lag_ms`` and ``log_length`` of the store.
        """
        address = address or find_free_address()
        process = self.start(
            name,
            'tests.standins.store',
            '--address',
            address,
            *_format_options(options),
        )
        process.wait_for_log(f'serving {address}\n', START_TIMEOUT_S)
        return StoreStandIn(address, process, self.client)

    def start_worker(
        self, address: str = '', name: str = 'worker', **capacity: int
    ) -> WorkerStandIn:
        """Start one worker and wait until it serves; see `start_workers`."""
        addresses = {name: address or find_free_address()}
        return self.start_workers(addresses, name, **capacity)[name]

    def start_workers(
        self,
        addresses: dict[str, str],
        name: str = 'workers',
        **capacity: int,
    ) -> dict[str, WorkerStandIn]:
        """Start several workers in one process and wait until they serve.

        Parameters
        ----------
        addresses : dict of str to str
            IP number and port of each worker, by name.
        name : str
            Name of the process.
        **capacity
            ``millicores``, ``memory_mb``, ``accelerators``, ``slots``,
            ``connections`` of each worker.
        """
        arguments = ['tests.standins.worker']
        for worker, address in addresses.items():
            arguments += ['--worker', f'{worker}={address}']
        process = self.start(name, *arguments, *_format_options(capacity))
        for address in addresses.values():
            process.wait_for_log(f'serving {address}\n', START_TIMEOUT_S)
        return {
            worker: WorkerStandIn(address, process, self.client)
            for worker, address in addresses.items()
        }


def _format_options(values: dict[str, int]) -> list[str]:
    return [
        f'--{name.replace("_", "-")}={value}' for name, value in values.items()
    ]
