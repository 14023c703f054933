"""Client of the workers' API."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

from msgspec.json import Decoder
from msgspec.json import Encoder
from xxhash import xxh3_128_hexdigest

from sassafrasgate.adapters.call_errors import NoResponseError
from sassafrasgate.adapters.connections import HttpConnections
from sassafrasgate.adapters.response_limits import MIB
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import WorkerOutputError
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.tasks import CommandReply
from sassafrasgate.core.tasks import StartReply
from sassafrasgate.core.tasks import SyncReply
from sassafrasgate.core.tasks import TaskCommand

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Any
    from typing import Self

    from sassafrasgate.adapters.connections import HttpResponse
    from sassafrasgate.adapters.response_limits import ResponseBudget
    from sassafrasgate.core.tasks import StartRequest
    from sassafrasgate.core.tasks import SyncRequest

TIMEOUT_S = 2.0
MAX_CONNECTIONS = 64
# A report lists the tasks of one host; small outputs are part of it.
MAX_REPLY_BYTES = 8 * MIB
# The worker itself reports the size of an output.
MAX_OUTPUT_BYTES = 64 * MIB

Reply = TypeVar('Reply')

_ENCODER = Encoder()
_SYNC_DECODER = Decoder(SyncReply)
_START_DECODER = Decoder(StartReply)
_COMMAND_DECODER = Decoder(CommandReply)


class WorkerClient:
    """Client of one worker, which sends each call once and never retries.

    Parameters
    ----------
    url : str
        Base URL of the worker's API.
    connections : int
        Maximum number of open connections.
    timeout_s : float
        Maximum duration of a call in seconds, in addition to its
        ``wait_ms``.
    budget : ResponseBudget, optional
        Budget for responses that all clients of the process share.

    Notes
    -----
    Every method raises `WorkerUnavailableError` when no response was
    received, with ``sent`` false if the call certainly had no effect.

    Examples
    --------
    >>> async with WorkerClient('http://127.0.0.1:2600') as worker:
    ...     reply = await worker.sync(SyncRequest('s1', 1, 0))
    """

    def __init__(
        self,
        url: str,
        connections: int = MAX_CONNECTIONS,
        timeout_s: float = TIMEOUT_S,
        budget: ResponseBudget | None = None,
    ) -> None:
        self._connections = HttpConnections(url, connections, budget=budget)
        self._timeout_s = timeout_s

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._connections.close()

    async def sync(self, request: SyncRequest) -> SyncReply:
        """Raise the fencing epoch, renew leases and poll for updates."""
        response = await self._post('/v1/sync', request, request.wait_ms)
        return _decode_body(response, _SYNC_DECODER)

    async def start(self, request: StartRequest) -> StartReply:
        """Start a task; a refusal means that it will not run."""
        response = await self._post('/v1/tasks', request, request.wait_ms)
        return _decode_body(response, _START_DECODER)

    async def fetch_output(
        self, task: str, size: int | None = None, digest: str = ''
    ) -> bytes:
        """Return the output of a task that has ended.

        Parameters
        ----------
        task : str
            Task id.
        size : int, optional
            Expected length in bytes.
        digest : str
            Expected xxh3-128 digest in hexadecimal; empty to skip the check.

        Raises
        ------
        WorkerOutputError
            When the worker no longer has the output, or its length or digest
            differs from the expected one.
        """
        response = await self._call(
            'GET',
            _make_task_path(task, 'output'),
            max_bytes=max(MAX_REPLY_BYTES, min(size or 0, MAX_OUTPUT_BYTES)),
        )
        if response.status != 200:
            raise WorkerOutputError(
                f'the worker has no output of task {task!r} '
                f'(status {response.status!r}); it was released or lost'
            )
        output = response.content
        if size is not None and len(output) != size:
            raise WorkerOutputError(
                f'output of task {task!r} has {len(output)} bytes instead '
                f'of {size!r}; fetch it again'
            )
        if digest and xxh3_128_hexdigest(output) != digest:
            raise WorkerOutputError(
                f'output of task {task!r} does not have digest {digest!r}; '
                'fetch it again'
            )
        return output

    async def stop(self, task: str, epoch: int, shard: str) -> CommandReply:
        """Stop a running task."""
        return await self._command('stop', task, TaskCommand(shard, epoch))

    async def throttle(
        self, task: str, epoch: int, shard: str, millicores: int
    ) -> CommandReply:
        """Limit a running task's processor time."""
        command = TaskCommand(shard, epoch, millicores)
        return await self._command('throttle', task, command)

    async def checkpoint(
        self, task: str, epoch: int, shard: str
    ) -> CommandReply:
        """Save a running task's progress without interrupting it."""
        command = TaskCommand(shard, epoch)
        return await self._command('checkpoint', task, command)

    async def _command(
        self, name: str, task: str, command: TaskCommand
    ) -> CommandReply:
        response = await self._post(_make_task_path(task, name), command)
        return _decode_body(response, _COMMAND_DECODER)

    async def _post(
        self, path: str, body: Any, wait_ms: int = 0
    ) -> HttpResponse:
        response = await self._call(
            'POST', path, _ENCODER.encode(body), wait_ms
        )
        if response.status in (200, 201, 409):
            return response
        raise WorkerUnavailableError(
            f'the worker responded to {path!r} with {response.status!r} '
            f'{response.text[:200]!r}; check that the URL leads to a worker'
        )

    async def _call(
        self,
        method: str,
        path: str,
        content: bytes | None = None,
        wait_ms: int = 0,
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> HttpResponse:
        try:
            return await self._connections.call(
                method,
                path,
                self._timeout_s + wait_ms / 1000,
                content=content,
                max_bytes=max_bytes,
            )
        except NoResponseError as error:
            raise WorkerUnavailableError(
                f'the worker did not respond: {error}; sync with it to learn '
                'what runs there',
                sent=error.sent,
            ) from error


def _make_task_path(task: str, name: str) -> str:
    return f'/v1/tasks/{quote(task, safe="")}/{name}'


def _decode_body(response: HttpResponse, decoder: Decoder[Reply]) -> Reply:
    try:
        return decode_input(decoder.decode, response.content)
    except InputError as error:
        raise WorkerUnavailableError(
            f'cannot decode a response of the worker: {error}; check that '
            'the URL leads to a worker'
        ) from error
