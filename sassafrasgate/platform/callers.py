"""The callers' interface: paths, bodies and statuses of the platform."""

from __future__ import annotations

from dataclasses import dataclass
import re
from typing import Annotated
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from msgspec import DecodeError
from msgspec import Meta
from msgspec import Struct
from msgspec.json import Decoder
from msgspec.json import encode
from starlette.requests import ClientDisconnect
from starlette.requests import Request
from starlette.responses import Response

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_facts
from sassafrasgate.observability.metrics import REQUEST_SECONDS
from sassafrasgate.observability.metrics import REQUESTS

if TYPE_CHECKING:
    from logbook import Logger
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from sassafrasgate.core.routing import Queue
    from sassafrasgate.observability.metrics import Metrics
    from sassafrasgate.protocol.workflows import PendingCount
    from sassafrasgate.protocol.workflows import WorkflowView

READY_PATH = '/api/readyz'
JOB_ID = re.compile(r'[0-9a-fA-F]{16}')
DEADLINE_HEADER = 'request-deadline'
DEFAULT_DEADLINE_MS = 3_000
# The answer needs a moment on its way back.
RESPONSE_MARGIN_MS = 60
# When to come back after a refusal that says that nothing has run.
RETRY_AFTER_S = 1
RETRIED_STATUSES = frozenset({429, 503})
MAX_STEPS = 256
MAX_TASKS = 100_000
MAX_BODY_BYTES = 1_048_576


_Count = Annotated[int, Meta(ge=0)]
_Duration = Annotated[float, Meta(ge=0)]


class _Step(Struct, frozen=True, rename='camel'):
    count: int
    cpu: _Count = 0
    mem_mb: _Count = 0
    gpu: _Count = 0
    estimate_ms: _Duration = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have.
    requires: str = ''
    # The rack that holds the data.
    affinity: str = ''
    # Most tasks on one worker.
    anti_affinity: _Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: _Duration = 0
    fills: bool = False
    may_miss: _Count = 0


class _Job(Struct, frozen=True, rename='camel'):
    # Opaque to the system; the workers get it with each task.
    spec: str
    steps: list[_Step]
    repeats: _Count = 0
    start_at_ms: _Count = 0
    interval_ms: _Count = 0


_DECODER = Decoder(_Job)


class WorkflowGateway(Protocol):
    """What the callers' interface needs of the product."""

    @property
    def version(self) -> int:
        """Version of the routing table in force; 0 before the first."""

    def is_ready(self) -> Refusal | None:
        """Return None when the process may serve, else the reason."""

    def find_queue(self, host: str, path: str) -> Queue | Refusal:
        """Return the queue of a request."""

    async def submit(
        self, queue: Queue, job_id: str, workflow: Workflow, timeout_s: float
    ) -> WorkflowView | Refusal | NoReply:
        """Have a workflow accepted."""

    async def query(
        self, job_id: str, timeout_s: float
    ) -> WorkflowView | Refusal | NoReply:
        """Return a workflow's state."""

    async def cancel(
        self, job_id: str, timeout_s: float
    ) -> WorkflowView | Refusal | NoReply:
        """End a workflow."""

    async def count(
        self, queue: Queue, timeout_s: float
    ) -> PendingCount | Refusal | NoReply:
        """Count a queue's workflows that have not begun."""


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """The answer to one request.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
        Becomes a JSON document.
    reason : str
        Why the request has failed; empty when it has not.
    """

    status: int
    body: dict[str, object]
    reason: str = ''

    def render(self) -> Response:
        """Return the answer as the callers' interface sends it."""
        response = Response(
            encode(self.body),
            status_code=self.status,
            media_type='application/json',
        )
        if self.status in RETRIED_STATUSES:
            response.headers['Retry-After'] = str(RETRY_AFTER_S)
        return response


METHODS: Registry[str, Any] = Registry('caller method')


class CallerApplication:
    """The ASGI application for the callers of one entry host.

    Parameters
    ----------
    gateway : WorkflowGateway
        The product.
    logger : Logger
        For requests that are not served.
    metrics : Metrics
        Counts requests and their time, by method.
    """

    def __init__(
        self, gateway: WorkflowGateway, logger: Logger, metrics: Metrics
    ) -> None:
        self._gateway = gateway
        self._logger = logger
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        request = Request(scope, receive)
        began = now_ms()
        try:
            answer = await self._answer(request)
        except ClientDisconnect:
            self._log('caller-left', request, began, ())
            return
        if answer.reason:
            self._log(
                'caller-refused',
                request,
                began,
                (('status', answer.status), ('reason', answer.reason)),
            )
        await answer.render()(scope, receive, send)
        route = f'callers {request.method}'
        self._metrics.count(REQUESTS, route, str(answer.status))
        self._metrics.observe(
            REQUEST_SECONDS, (now_ms() - began) / 1000, route
        )

    async def _answer(self, request: Request) -> CallerResponse:
        if request.method not in METHODS:
            return _describe(405, f'method {request.method!r} is not served')
        host = request.headers.get('host', '').partition(':')[0]
        path = request.url.path
        queue = self._gateway.find_queue(host, path)
        if isinstance(queue, Refusal):
            return _refuse(queue)
        job_id = path.removeprefix(queue.prefix)
        answer: CallerResponse = await METHODS.find(request.method)(
            self._gateway, request, queue, job_id
        )
        return answer

    def _log(
        self,
        kind: str,
        request: Request,
        began: int,
        facts: tuple[tuple[str, object], ...],
    ) -> None:
        """Write a line about a request that was not served.

        The job's id is the last part of the path.
        """
        log_facts(
            self._logger,
            kind,
            (
                ('job', request.url.path.rpartition('/')[2]),
                ('method', request.method),
                ('path', request.url.path),
                ('table', self._gateway.version),
                ('deadline_ms', request.headers.get(DEADLINE_HEADER, '')),
                ('took_ms', now_ms() - began),
                *facts,
            ),
        )


class ReadyApplication:
    """The ASGI application that tells whether this host may serve."""

    def __init__(self, gateway: WorkflowGateway) -> None:
        self._gateway = gateway

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        answer = CallerResponse(200, {})
        refusal = self._gateway.is_ready()
        if scope['path'] != READY_PATH:
            answer = _describe(404, f'use {READY_PATH}')
        elif refusal is not None:
            answer = _refuse(refusal)
        await answer.render()(scope, receive, send)


@METHODS.register('POST')
async def submit_job(
    gateway: WorkflowGateway, request: Request, queue: Queue, job_id: str
) -> CallerResponse:
    """Hand a job in."""
    if not JOB_ID.fullmatch(job_id):
        return _describe(400, f'{job_id!r} is not 16 hexadecimal digits')
    body = await request.body()
    workflow = read_workflow(body)
    if isinstance(workflow, Refusal):
        return _refuse(workflow)
    answer = await gateway.submit(
        queue, job_id, workflow, _find_timeout_s(request)
    )
    if isinstance(answer, Refusal):
        return _refuse(answer)
    if isinstance(answer, NoReply):
        # Whether the job was accepted is not known: the caller asks again.
        return _describe(504, answer.reason)
    return CallerResponse(200, {})


@METHODS.register('GET')
async def show_job(
    gateway: WorkflowGateway, request: Request, queue: Queue, job_id: str
) -> CallerResponse:
    """Tell a job's state, or how many jobs of a queue have not begun."""
    timeout_s = _find_timeout_s(request)
    if not job_id:
        count = await gateway.count(queue, timeout_s)
        if isinstance(count, Refusal):
            return _refuse(count)
        if isinstance(count, NoReply):
            return _describe(504, count.reason)
        return CallerResponse(200, {'pending': count.count})
    return _render_view(await gateway.query(job_id, timeout_s))


@METHODS.register('DELETE')
async def cancel_job(
    gateway: WorkflowGateway, request: Request, queue: Queue, job_id: str
) -> CallerResponse:
    """Cancel a job."""
    return _render_view(await gateway.cancel(job_id, _find_timeout_s(request)))


def read_workflow(body: bytes) -> Workflow | Refusal:
    """Return the workflow of a request's body, or what is wrong with it."""
    if len(body) > MAX_BODY_BYTES:
        return _invalid(f'the body has {len(body)} bytes')
    try:
        job = _DECODER.decode(body)
    except (DecodeError, ValueError) as error:
        return _invalid(str(error))
    if not 0 < len(job.steps) <= MAX_STEPS:
        return _invalid(f'the job has {len(job.steps)!r} steps')
    if sum(step.count for step in job.steps) > MAX_TASKS:
        return _invalid(f'the job has more than {MAX_TASKS} tasks')
    for number, step in enumerate(job.steps):
        if step.count < 1:
            return _invalid(f'step {number} has {step.count!r} tasks')
        if any(not 0 <= earlier < number for earlier in step.after):
            return _invalid(
                f'step {number} comes after {step.after!r}, which are not '
                'all earlier steps'
            )
    return Workflow(
        job.spec,
        tuple(_make_step(step) for step in job.steps),
        max(1, job.repeats),
        job.start_at_ms,
        job.interval_ms,
    )


def _make_step(step: _Step) -> Step:
    return Step(
        step.count,
        Resources(step.cpu, step.mem_mb, step.gpu),
        int(step.estimate_ms),
        step.after,
        step.checkpointing,
        step.gang,
        step.same_rack,
        step.requires,
        step.affinity,
        step.anti_affinity,
        step.speculative,
        step.long_running,
        step.image,
        int(step.target_ms),
        step.fills,
        step.may_miss,
    )


def _invalid(reason: str) -> Refusal:
    return Refusal(
        RefusalKind.INVALID, reason, 'correct the body of the request'
    )


def _find_timeout_s(request: Request) -> float:
    """Return how long the caller waits, less the way back, in seconds."""
    text = request.headers.get(DEADLINE_HEADER, '')
    wait_ms = DEFAULT_DEADLINE_MS
    if text.isdecimal():
        wait_ms = int(text)
    return max(RESPONSE_MARGIN_MS, wait_ms - RESPONSE_MARGIN_MS) / 1000


def _render_view(answer: WorkflowView | Refusal | NoReply) -> CallerResponse:
    if isinstance(answer, Refusal):
        return _refuse(answer)
    if isinstance(answer, NoReply):
        return _describe(504, answer.reason)
    if answer.state is None:
        return _describe(410, 'no such job')
    return CallerResponse(200, {'state': answer.state})


STATUSES = {
    RefusalKind.NOT_FOUND: 404,
    RefusalKind.INVALID: 400,
    RefusalKind.OVERLOADED: 429,
}


def _refuse(refusal: Refusal) -> CallerResponse:
    status = STATUSES.get(refusal.kind, 503)
    return _describe(status, f'{refusal.reason}; {refusal.remedy}')


def _describe(status: int, reason: str) -> CallerResponse:
    return CallerResponse(status, {'error': reason}, reason)
