"""Client of one worker of the users' platform."""

from __future__ import annotations

from functools import partial
from typing import Annotated
from typing import TYPE_CHECKING

from msgspec import Meta
from msgspec import Struct
from msgspec.json import Decoder
from msgspec.json import Encoder

from sassafrasgate.adapters.call_errors import NoResponseError
from sassafrasgate.adapters.channels import Channel
from sassafrasgate.adapters.channels import ChannelPool
from sassafrasgate.adapters.response_limits import MIB
from sassafrasgate.adapters.response_limits import SMALL_RESPONSE_BYTES
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.inputs import Amount
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.inputs import Natural
from sassafrasgate.core.inputs import ShortText
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
    from sassafrasgate.adapters.response_limits import ResponseBudget
    from sassafrasgate.core.workflows import HoldRequest
    from sassafrasgate.core.workflows import RunRequest

# A worker accepts 64 connections from all its clients together.
MAX_CONNECTIONS = 16

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
MAX_CHECKPOINT_LENGTH = 4_096
# A response has at most this number of ended runs; later ones have the others.
MAX_LISTED_ENDS = 500
# Hundreds of runs and `MAX_LISTED_ENDS` ends, most with long checkpoints.
MAX_REPORT_BYTES = 4 * MIB
# A row takes many times the memory of its text.
MAX_REPORT_ROWS = 10_000
HOLD_PATH = '/api/hold'
OK = 200
BAD_REQUEST = 400
CONFLICT = 409
MISDIRECTED_REQUEST = 421
UNHEALTHY_STATUSES = frozenset({429, 503})


_Checkpoint = Annotated[str, Meta(max_length=MAX_CHECKPOINT_LENGTH)]


class _RunResponse(Struct, frozen=True, rename='camel'):
    clock_ms: Natural = 0
    reason: str = ''


class _RunningRow(Struct, frozen=True, array_like=True):
    task: ShortText
    run: Natural
    checkpoint: _Checkpoint
    percent: Amount
    # Added later; rows of earlier workers lack it.
    load: Amount = 0


class _EndedRow(Struct, frozen=True, array_like=True):
    number: Natural
    task: ShortText
    run: Natural
    how: ShortText
    checkpoint: _Checkpoint


class _HoldResponse(Struct, frozen=True, rename='camel'):
    clock_ms: Natural
    running: Annotated[list[_RunningRow], Meta(max_length=MAX_REPORT_ROWS)]
    ended: Annotated[list[_EndedRow], Meta(max_length=MAX_REPORT_ROWS)]
    # Start of the worker's incarnation, which identifies it.
    born: Natural = 0


_ENCODER = Encoder()
_RUN_RESPONSE_DECODER = Decoder(_RunResponse)
_HOLD_RESPONSE_DECODER = Decoder(_HoldResponse)


class PlatformWorkerClient:
    """Client of one worker, which sends each call once and never retries.

    Parameters
    ----------
    worker : str
        Id of the worker. Another worker at the address refuses the calls,
        since each names this id.
    address : str
        IP address and port.
    timeout_s : float
        Maximum duration of a call in seconds, in addition to the time that
        it allows the worker to wait.
    budget : ResponseBudget, optional
        Budget for responses that all clients of the process share.

    Notes
    -----
    Every method raises `WorkerUnavailableError` when no response was
    received, with ``sent`` false if the call certainly had no effect.
    """

    def __init__(
        self,
        worker: str,
        address: str,
        timeout_s: float,
        budget: ResponseBudget | None = None,
    ) -> None:
        self._channels = ChannelPool(
            f'http://{address}',
            MAX_CONNECTIONS,
            {'Content-Type': 'application/json', 'Expected-Instance': worker},
            budget,
        )
        self._timeout_s = timeout_s

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._channels.close_idle()

    @property
    def idle_connections(self) -> int:
        """Number of open connections without a call."""
        return self._channels.idle_count

    async def hold(self, request: HoldRequest) -> WorkerReport | StartRefusal:
        """Renew the worker's lease and return its running and ended runs.

        A call that renews the lease or acknowledges ends reaches only the
        incarnation that it names.

        Returns
        -------
        WorkerReport or StartRefusal
            A refusal when the worker has seen a newer owner, or when another
            worker has the address.
        """
        body: dict[str, object] = {
            'fencingToken': request.fencing_token,
            'ackCursor': request.acknowledged,
        }
        if request.deadline_ms:
            body['deadlineMs'] = request.deadline_ms
        if request.wait_ms:
            body['waitMs'] = request.wait_ms
        response = await self._post(
            HOLD_PATH, body, request.incarnation_ms, request.wait_ms
        )
        if response.status != OK:
            return read_run_reply(response).refusal or StartRefusal.INVALID
        return read_report(response)

    async def start(self, request: RunRequest) -> RunReply:
        """Start a run; a refusal means that this call has no effect.

        The call reaches only the incarnation that the request names.
        """
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
        return read_run_reply(
            await self._post('/api/run-start', body, request.incarnation_ms)
        )

    async def stop(self, task: str, run: int, fencing_token: int) -> RunReply:
        """Stop a run, or prevent it from starting."""
        body = {'task': task, 'run': run, 'fencingToken': fencing_token}
        return read_run_reply(await self._post('/api/run-stop', body))

    async def pace(
        self, task: str, run: int, percent: int, fencing_token: int
    ) -> RunReply:
        """Limit a run to a share of its full speed, from 0 to 100 percent."""
        body = {
            'task': task,
            'run': run,
            'percent': percent,
            'fencingToken': fencing_token,
        }
        return read_run_reply(await self._post('/api/pace', body))

    async def _post(
        self,
        path: str,
        body: dict[str, object],
        incarnation_ms: int = 0,
        wait_ms: int = 0,
    ) -> HttpResponse:
        """Make one call; 0 leaves open which incarnation it reaches."""
        timeout_s = self._timeout_s + wait_ms / 1000
        content = _ENCODER.encode(body)
        max_bytes = (
            MAX_REPORT_BYTES if path == HOLD_PATH else SMALL_RESPONSE_BYTES
        )
        try:
            if incarnation_ms:
                response, channel = await self._channels.call_incarnation(
                    path,
                    timeout_s,
                    content,
                    max_bytes,
                    incarnation_ms,
                    partial(self._identify, body['fencingToken']),
                )
            else:
                response, channel = await self._channels.call(
                    path, timeout_s, content, max_bytes
                )
            if path == HOLD_PATH:
                _learn_incarnation(channel, response)
            return response
        except NoResponseError as error:
            raise WorkerUnavailableError(
                f'the worker did not respond: {error}; poll it to learn what '
                'runs there',
                sent=error.sent,
            ) from error

    async def _identify(
        self, fencing_token: object, channel: Channel
    ) -> HttpResponse:
        """Learn which incarnation a new connection leads to.

        The poll renews no lease and acknowledges no ends, so that it has no
        effect on an incarnation that this owner does not know.
        """
        content = _ENCODER.encode(
            {'fencingToken': fencing_token, 'ackCursor': 0}
        )
        response = await channel.call(
            HOLD_PATH, self._timeout_s, content, MAX_REPORT_BYTES
        )
        _learn_incarnation(channel, response)
        return response


def _learn_incarnation(channel: Channel, response: HttpResponse) -> None:
    """Store which incarnation has sent a response to a hold call."""
    if response.status == OK:
        channel.incarnation_ms = read_report(response).incarnation_ms


def read_run_reply(response: HttpResponse) -> RunReply:
    """Return the reply in a worker's response to a start, stop or pace.

    Raises
    ------
    WorkerUnavailableError
        When the response cannot be used, so that the effect is unknown.
    """
    if response.status in UNHEALTHY_STATUSES:
        return RunReply(0, StartRefusal.UNHEALTHY)
    if response.status == MISDIRECTED_REQUEST:
        return RunReply(0, StartRefusal.OTHER_INCARNATION)
    if response.status == BAD_REQUEST:
        return RunReply(0, StartRefusal.INVALID)
    if response.status not in (OK, CONFLICT):
        raise WorkerUnavailableError(
            f'the worker responded to {response.call!r} with '
            f'{response.status!r} {response.text[:200]!r}; check that the '
            'address leads to a worker'
        )
    try:
        body = decode_input(_RUN_RESPONSE_DECODER.decode, response.content)
    except InputError as error:
        raise _make_decode_error(error) from error
    if response.status == OK:
        return RunReply(body.clock_ms)
    refusal = REFUSALS.get(body.reason, StartRefusal.INVALID)
    return RunReply(body.clock_ms, refusal)


def read_report(response: HttpResponse) -> WorkerReport:
    """Return the report in a worker's response to a hold call.

    Raises
    ------
    WorkerUnavailableError
        When the response cannot be used.
    """
    try:
        body = decode_input(_HOLD_RESPONSE_DECODER.decode, response.content)
        return WorkerReport(
            body.clock_ms,
            body.born,
            tuple(_read_running(row) for row in body.running),
            tuple(_read_ended(row) for row in body.ended),
            len(body.ended) < MAX_LISTED_ENDS,
        )
    except InputError as error:
        raise _make_decode_error(error) from error


def _read_running(row: _RunningRow) -> RunningRun:
    return RunningRun(
        row.task, row.run, row.checkpoint, int(row.percent), int(row.load)
    )


def _read_ended(row: _EndedRow) -> EndedRun:
    if row.how not in END_KINDS:
        raise InputError(
            f'run {row.run} of task {row.task!r} ended as {row.how!r}, which '
            f'is unknown; report one of {", ".join(END_KINDS)}'
        )
    return EndedRun(
        row.number, row.task, row.run, END_KINDS[row.how], row.checkpoint
    )


def _make_decode_error(error: InputError) -> WorkerUnavailableError:
    return WorkerUnavailableError(
        f'cannot decode a response of the worker: {error}; check that the '
        'address leads to a worker'
    )
