"""Client of one worker's orders."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from msgspec import DecodeError
from msgspec import Struct
from msgspec.json import Decoder
from msgspec.json import Encoder

from sassafrasgate.adapters.connections import HttpConnections
from sassafrasgate.adapters.connections import NoResponseError
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.workflows import EndedRun
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import RunningRun
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import WorkerReport

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from sassafrasgate.adapters.connections import HttpResponse
    from sassafrasgate.core.workflows import HoldRequest
    from sassafrasgate.core.workflows import RunRequest

# A worker takes 64 connections from all callers together.
CONNECTIONS = 16

END_KINDS = {
    'done': EndKind.FINISHED,
    'failed': EndKind.FAILED,
    'stopped': EndKind.STOPPED,
    'lapsed': EndKind.LAPSED,
    'broken': EndKind.PEER_ENDED,
    'alone': EndKind.INCOMPLETE_GANG,
}
REFUSALS = {
    'fence': StartRefusal.STALE_EPOCH,
    'old': StartRefusal.OLD_RUN,
    'late': StartRefusal.DEADLINE_PASSED,
    'room': StartRefusal.NO_ROOM,
    'ticket': StartRefusal.NO_TICKET,
}
OK = 200
BAD_REQUEST = 400
CONFLICT = 409
OTHER_INSTANCE = 421
UNHEALTHY = frozenset({429, 503})


class _Refused(Struct, frozen=True, rename='camel'):
    clock_ms: int = 0
    reason: str = ''


class _Lists(Struct, frozen=True, rename='camel'):
    clock_ms: int
    running: list[list[Any]]
    ended: list[list[Any]]
    # The start of the worker's life identifies its incarnation.
    born: int = 0


_ENCODER = Encoder()
_REFUSED = Decoder(_Refused)
_LISTS = Decoder(_Lists)


class PlatformWorkerClient:
    """Calls to one worker; each is made once and never repeated.

    Parameters
    ----------
    worker : str
        Id of the worker; another one at the address refuses the calls.
    address : str
        IP number and port.
    timeout_s : float
        How long a call may take beyond the time that it asks to wait.

    Notes
    -----
    Every method raises `WorkerUnavailableError` when no answer came, with
    ``sent`` false if the call certainly had no effect.
    """

    def __init__(self, worker: str, address: str, timeout_s: float) -> None:
        self._connections = HttpConnections(f'http://{address}', CONNECTIONS)
        self._timeout_s = timeout_s
        self._headers = {
            'Content-Type': 'application/json',
            'Expected-Instance': worker,
        }

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._connections.close()

    async def hold(self, request: HoldRequest) -> WorkerReport | StartRefusal:
        """Renew the lease and learn what runs and what has ended.

        Returns
        -------
        WorkerReport or StartRefusal
            The latter when the worker obeys another owner or is another
            worker.
        """
        body: dict[str, object] = {
            'fencingToken': request.fencing_token,
            'ackCursor': request.acknowledged,
        }
        if request.deadline_ms:
            body['deadlineMs'] = request.deadline_ms
        if request.wait_ms:
            body['waitMs'] = request.wait_ms
        answer = await self._post('/api/hold', body, request.wait_ms)
        if answer.status != OK:
            return self._read_refusal(answer).refusal or StartRefusal.INVALID
        return _read_lists(answer)

    async def start(self, request: RunRequest) -> RunReply:
        """Start a run; a refusal means that this copy has no effect."""
        body: dict[str, object] = {
            'task': request.task,
            'run': request.run,
            'spec': request.payload,
            'deadlineMs': request.deadline_ms,
            'fencingToken': request.fencing_token,
        }
        if request.checkpoint:
            body['checkpoint'] = request.checkpoint
        if request.ticket:
            body['ticket'] = request.ticket
        return self._read_refusal(await self._post('/api/run-start', body))

    async def stop(self, task: str, run: int, fence: int) -> RunReply:
        """End a run, or keep it from starting."""
        body = {'task': task, 'run': run, 'fencingToken': fence}
        return self._read_refusal(await self._post('/api/run-stop', body))

    async def pace(
        self, task: str, run: int, percent: int, fence: int
    ) -> RunReply:
        """Let a run work at a share of its speed, from 0 to 100 percent."""
        body = {
            'task': task,
            'run': run,
            'percent': percent,
            'fencingToken': fence,
        }
        return self._read_refusal(await self._post('/api/pace', body))

    def _read_refusal(self, answer: HttpResponse) -> RunReply:
        if answer.status in UNHEALTHY:
            return RunReply(0, StartRefusal.UNHEALTHY)
        if answer.status == OTHER_INSTANCE:
            return RunReply(0, StartRefusal.OTHER_INCARNATION)
        if answer.status == BAD_REQUEST:
            return RunReply(0, StartRefusal.INVALID)
        if answer.status not in (OK, CONFLICT):
            raise WorkerUnavailableError(
                f'the worker answered {answer.call!r} with '
                f'{answer.status!r} {answer.text[:200]!r}; check that the '
                'address leads to a worker'
            )
        try:
            found = _REFUSED.decode(answer.content)
        except DecodeError as error:
            raise _describe_damage(error) from error
        if answer.status == OK:
            return RunReply(found.clock_ms)
        refusal = REFUSALS.get(found.reason, StartRefusal.INVALID)
        return RunReply(found.clock_ms, refusal)

    async def _post(
        self, path: str, body: dict[str, object], wait_ms: int = 0
    ) -> HttpResponse:
        try:
            return await self._connections.call(
                'POST',
                path,
                self._timeout_s + wait_ms / 1000,
                content=_ENCODER.encode(body),
                headers=self._headers,
            )
        except NoResponseError as error:
            raise WorkerUnavailableError(
                f'the worker did not answer: {error}; look at its lists to '
                'learn what runs there',
                sent=error.sent,
            ) from error


def _read_lists(answer: HttpResponse) -> WorkerReport:
    try:
        found = _LISTS.decode(answer.content)
        return WorkerReport(
            found.clock_ms,
            found.born,
            tuple(_read_running(row) for row in found.running),
            tuple(
                EndedRun(row[0], row[1], row[2], END_KINDS[row[3]], row[4])
                for row in found.ended
            ),
        )
    except (
        DecodeError,
        KeyError,
        IndexError,
        TypeError,
        ValueError,
    ) as error:
        raise _describe_damage(error) from error


def _read_running(row: list[Any]) -> RunningRun:
    # The fifth entry came later than the others.
    load = int(row[4]) if len(row) > 4 else 0
    return RunningRun(row[0], row[1], row[2], row[3], load)


def _describe_damage(error: Exception) -> WorkerUnavailableError:
    return WorkerUnavailableError(
        f'cannot decode an answer of the worker: {error!r}; check that the '
        'address leads to a worker'
    )
