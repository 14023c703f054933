"""Clients that keep no limit, and an entry host's process that serves them."""

from __future__ import annotations

from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import wait_for
from contextlib import closing
from contextlib import ExitStack
from json import dumps
from os import listdir
from pathlib import Path
from socket import AF_INET
from socket import SO_RCVBUF
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from time import sleep as pause
from typing import TYPE_CHECKING

from httpx import Client
from httpx import TransportError
from yaml import safe_dump

from tests.processes import find_free_address
from tests.soak.configurations import make_configuration
from tests.soak.configurations import ROUTE_HOST

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from tests.processes import Processes

MIB = 1 << 20
# A client counts as held back when it cannot send for this time.
PATIENCE_S = 2.0
SAMPLE_INTERVAL_S = 0.02
MAX_TRIES = 20
RETRY_DELAY_S = 0.3
# Small, so that unread responses soon fill the buffers of the server.
CLIENT_BUFFER_BYTES = 4_096


class CrowdedHost:
    """The process of an entry host whose machine has little of everything.

    It samples what the process uses of its machine's memory and descriptors.

    Parameters
    ----------
    processes : Processes
        Starts the processes of the test.
    directory : Path
        Directory for the settings.
    memory_mb, max_descriptors : int
        What the settings say of the machine.
    """

    def __init__(
        self,
        processes: Processes,
        directory: Path,
        memory_mb: int,
        max_descriptors: int,
    ) -> None:
        self.memory_mb = memory_mb
        self.max_descriptors = max_descriptors
        self.caller_address = find_free_address()
        self._ready_address = find_free_address()
        store = find_free_address()
        processes.start(
            'store', 'tests.standins.platform_store', '--address', store
        ).wait_for_log('serving')
        processes.client.post(
            f'http://{store}/control/put',
            json={'key': 'op/config', 'value': make_configuration(1)},
        ).raise_for_status()
        settings = {
            'name': 'entry-0',
            'failure_domain': 'z1',
            'caller_address': self.caller_address,
            'ready_address': self._ready_address,
            'metrics_address': find_free_address(),
            'link_address': find_free_address(),
            'store_address': store,
            'memory_mb': memory_mb,
            'max_descriptors': max_descriptors,
        }
        path = directory / 'entry.yaml'
        path.write_text(safe_dump(settings))
        self.process = processes.start(
            'entry', 'sassafrasgate.entry', str(path)
        )
        processes.wait_for_http(
            self.process, f'http://{self._ready_address}/api/readyz'
        )
        self.most_descriptors = 0
        self.most_queued_bytes = 0

    def sample(self) -> None:
        """Take a sample of the open descriptors and the kernel's buffers."""
        if not self.process.alive:
            return
        self.most_descriptors = max(
            self.most_descriptors,
            len(listdir(f'/proc/{self.process.pid}/fd')),
        )
        self.most_queued_bytes = max(
            self.most_queued_bytes, _count_queued_bytes(self.caller_address)
        )

    def read_peak_mb(self) -> float:
        """Return the most memory used, with the unread bytes of callers."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        (line,) = (
            line for line in status.splitlines() if line.startswith('VmHWM')
        )
        return int(line.split()[1]) / 1024 + self.most_queued_bytes / MIB

    def submit_small_job(self) -> int:
        """Submit a job as an ordinary client does; return the last status.

        As the interface allows, it tries again after a refusal or a broken
        connection.
        """
        url = f'http://{self.caller_address}/plain/{"0" * 16}'
        status = 0
        with Client(trust_env=False, timeout=10.0) as client:
            for _ in range(MAX_TRIES):
                try:
                    status = client.post(
                        url,
                        content=make_job(0),
                        headers={'Host': ROUTE_HOST},
                    ).status_code
                except TransportError:
                    status = 0
                if status == 200:
                    break
                pause(RETRY_DELAY_S)
        return status


def _count_queued_bytes(address: str) -> int:
    """Return the unread and unsent bytes of a listener's connections."""
    host, _, port = address.partition(':')
    octets = [int(part) for part in host.split('.')]
    local = f'{bytes(reversed(octets)).hex().upper()}:{int(port):04X}'
    total = 0
    for line in Path('/proc/net/tcp').read_text().splitlines():
        fields = line.split()
        if fields[1] != local or fields[3] == '0A':
            continue
        sent, _, received = fields[4].partition(':')
        total += int(sent, 16) + int(received, 16)
    return total


def make_job(size: int) -> bytes:
    """Return the body of a valid job, padded to a size in bytes."""
    step = {'count': 1, 'cpu': 500, 'memMb': 64, 'estimateMs': 50}
    body = dumps({'spec': 's' * 1_000, 'steps': [step]}).encode()
    return body + b' ' * max(0, size - len(body))


def make_head(method: str, number: int, *headers: str) -> bytes:
    """Return the head of a request for a job."""
    lines = (
        f'{method} /plain/{number:016x} HTTP/1.1',
        f'Host: {ROUTE_HOST}',
        *headers,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def make_request(number: int, body: bytes) -> bytes:
    """Return a request with a body."""
    return make_head('POST', number, f'Content-Length: {len(body)}') + body


async def send_crowd(
    host: CrowdedHost, pieces_of: Iterable[Callable[[], Iterable[bytes]]]
) -> int:
    """Send what each client sends; return the status of a small job then.

    The clients read nothing. Each ends when it is refused or held back and
    keeps its connection open until the small job has its response.
    """
    loop = get_running_loop()
    with ExitStack() as stack:
        sampler = loop.create_task(_sample(host))
        stack.callback(sampler.cancel)
        clients = []
        for make_pieces in pieces_of:
            client = stack.enter_context(closing(socket(AF_INET, SOCK_STREAM)))
            client.setblocking(False)
            client.setsockopt(SOL_SOCKET, SO_RCVBUF, CLIENT_BUFFER_BYTES)
            clients.append(_send(client, host.caller_address, make_pieces()))
        await gather(*clients)
        host.sample()
        return await loop.run_in_executor(None, host.submit_small_job)


async def _sample(host: CrowdedHost) -> None:
    while True:
        host.sample()
        await sleep(SAMPLE_INTERVAL_S)


async def _send(client: socket, address: str, pieces: Iterable[bytes]) -> None:
    loop = get_running_loop()
    ip, _, port = address.partition(':')
    try:
        await wait_for(loop.sock_connect(client, (ip, int(port))), PATIENCE_S)
        for piece in pieces:
            await wait_for(loop.sock_sendall(client, piece), PATIENCE_S)
            await sleep(0)
    except (OSError, TimeoutError):
        return
