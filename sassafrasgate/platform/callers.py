"""HTTP interface of an entry host for callers and the load balancer."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
import re
from typing import Any
from typing import Protocol
from typing import TYPE_CHECKING

from msgspec.json import encode
from starlette.requests import ClientDisconnect
from starlette.requests import Request
from starlette.responses import Response

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.registries import Registry
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.line_limits import LineLimiter
from sassafrasgate.observability.logs import log_event
from sassafrasgate.observability.metrics import REQUEST_SECONDS
from sassafrasgate.observability.metrics import REQUESTS
from sassafrasgate.platform.jobs import read_workflow

if TYPE_CHECKING:
    from logbook import Logger
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Workflow
    from sassafrasgate.observability.metrics import Metrics
    from sassafrasgate.protocol.workflows import PendingCount
    from sassafrasgate.protocol.workflows import WorkflowView

READY_PATH = '/api/readyz'
JOB_ID_PATTERN = re.compile(r'[0-9a-fA-F]{16}')
DEADLINE_HEADER = 'request-deadline'
KEY_HEADER = 'authorization'
KEY_SCHEME = 'bearer'
# A longer number of milliseconds would be more than three years.
DEADLINE_PATTERN = re.compile(r'[0-9]{1,11}')
DEFAULT_DEADLINE_MS = 3_000
# Longer than any caller waits; it bounds how long a request stays open.
MAX_DEADLINE_MS = 120_000
MAX_LOGGED_LENGTH = 256
# Time reserved for the response to reach the caller before the deadline.
RESPONSE_MARGIN_MS = 60
# Shortest time that is sent with the statuses below, which tell the caller
# that nothing has run.
RETRY_AFTER_S = 1
RETRIED_STATUSES = frozenset({429, 503})


class WorkflowGateway(Protocol):
    """Interface through which the HTTP handlers use the scheduler."""

    @property
    def version(self) -> int:
        """Version of the routing table in force; 0 before the first one."""

    def check_readiness(self) -> Refusal | None:
        """Return why the process may not serve yet; None if it may."""

    def find_queue(self, host: str, path: str) -> Queue | Refusal:
        """Return the queue for a host name and path."""

    def identify_tenant(self, queue: Queue, key: str | None) -> str | Refusal:
        """Return the tenant that calls a queue, empty for none.

        Parameters
        ----------
        key : str or None
            The API key that the call carries; None if it carries none.
        """

    async def submit(
        self,
        queue: Queue,
        tenant: str,
        job_id: str,
        workflow: Workflow,
        timeout_s: float,
    ) -> WorkflowView | Refusal | NoReply:
        """Submit a workflow and return its state once it is accepted."""

    async def query(
        self, tenant: str, job_id: str, timeout_s: float
    ) -> WorkflowView | Refusal | NoReply:
        """Return a workflow's state."""

    async def cancel(
        self, tenant: str, job_id: str, timeout_s: float
    ) -> WorkflowView | Refusal | NoReply:
        """Cancel a workflow and return its state."""

    async def count(
        self, queue: Queue, timeout_s: float
    ) -> PendingCount | Refusal | NoReply:
        """Count the queue's workflows that have not started."""


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """The response to one request.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
        Sent as a JSON document.
    reason : str
        Why the request failed; empty if it succeeded.
    retry_after_s : int
        Seconds after which the caller may return, if the status tells that
        nothing has run.
    """

    status: int
    body: dict[str, object]
    reason: str = ''
    retry_after_s: int = RETRY_AFTER_S

    def render(self) -> Response:
        """Return the HTTP response to send."""
        response = Response(
            encode(self.body),
            status_code=self.status,
            media_type='application/json',
        )
        if self.status in RETRIED_STATUSES:
            response.headers['Retry-After'] = str(self.retry_after_s)
        if self.status == 401:
            response.headers['WWW-Authenticate'] = KEY_SCHEME.capitalize()
        return response


METHODS: Registry[str, Any] = Registry('caller method')


class CallerApplication:
    """ASGI application that serves the callers of one entry host.

    Parameters
    ----------
    gateway : WorkflowGateway
        Handles the requests.
    logger : Logger
        Logger for requests that fail.
    metrics : Metrics
        Counts the requests and measures their duration, by method.
    """

    def __init__(
        self, gateway: WorkflowGateway, logger: Logger, metrics: Metrics
    ) -> None:
        self._gateway = gateway
        self._logger = logger
        self._metrics = metrics
        self._failures = FailureRecorder(logger, metrics)
        self._lines = LineLimiter(now_ms)

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        request = Request(scope, receive)
        began = now_ms()
        try:
            response = await self._handle(request)
        except ClientDisconnect:
            self._log('caller-disconnected', request, began, ())
            return
        except Exception as error:
            self._failures.record('caller-request', error)
            # The status must not say that the request had no effect.
            response = _make_error_response(504, 'unexpected error')
        if response.reason:
            self._log(
                'request-failed',
                request,
                began,
                (
                    ('status', response.status),
                    ('reason', response.reason[:MAX_LOGGED_LENGTH]),
                ),
            )
        await response.render()(scope, receive, send)
        # Each label value is kept for ever, and callers may send any method.
        method = request.method if request.method in METHODS else 'other'
        route = f'callers {method}'
        self._metrics.count(REQUESTS, route, str(response.status))
        self._metrics.observe(
            REQUEST_SECONDS, (now_ms() - began) / 1000, route
        )

    def reads_body(self, scope: Scope) -> bool:
        """Return whether the body of a request with this head is read.

        Bodies of callers without a known key, for example, are not.
        """
        if scope['type'] != 'http' or scope['method'] != 'POST':
            return False
        return not isinstance(self._check_head(Request(scope)), CallerResponse)

    def _check_head(
        self, request: Request
    ) -> tuple[Queue, str] | CallerResponse:
        """Return the queue and the tenant of a request, or its refusal."""
        if request.method not in METHODS:
            return _make_error_response(
                405, f'method {request.method!r} is not supported'
            )
        host = request.headers.get('host', '').partition(':')[0]
        queue = self._gateway.find_queue(host, _get_path(request))
        if isinstance(queue, Refusal):
            return _make_refusal_response(queue)
        tenant = self._gateway.identify_tenant(queue, _find_key(request))
        if isinstance(tenant, Refusal):
            return _make_refusal_response(tenant)
        return queue, tenant

    async def _handle(self, request: Request) -> CallerResponse:
        found = self._check_head(request)
        if isinstance(found, CallerResponse):
            return found
        queue, tenant = found
        job_id = _get_path(request).removeprefix(queue.prefix)
        response: CallerResponse = await METHODS.find(request.method)(
            self._gateway, request, queue, tenant, job_id
        )
        return response

    def _log(
        self,
        kind: str,
        request: Request,
        began: int,
        fields: tuple[tuple[str, object], ...],
    ) -> None:
        """Log a request that failed.

        The last part of the path is logged as the job's id.
        """
        omitted = self._lines.count(kind)
        if omitted is None:
            return
        path = _get_path(request)[:MAX_LOGGED_LENGTH]
        deadline = request.headers.get(DEADLINE_HEADER, '')
        log_event(
            self._logger,
            kind,
            (
                ('job', path.rpartition('/')[2]),
                ('method', request.method[:MAX_LOGGED_LENGTH]),
                ('path', path),
                ('table_version', self._gateway.version),
                ('deadline_ms', deadline[:MAX_LOGGED_LENGTH]),
                ('took_ms', now_ms() - began),
                ('lines_omitted', omitted or ''),
                *fields,
            ),
        )


class ReadyApplication:
    """ASGI application for probes of whether this host may serve."""

    def __init__(self, gateway: WorkflowGateway) -> None:
        self._gateway = gateway

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        response = CallerResponse(200, {})
        refusal = self._gateway.check_readiness()
        if scope['path'] != READY_PATH:
            response = _make_error_response(404, f'use {READY_PATH}')
        elif refusal is not None:
            response = _make_refusal_response(refusal)
        await response.render()(scope, receive, send)


@METHODS.register('POST')
async def submit_job(
    gateway: WorkflowGateway,
    request: Request,
    queue: Queue,
    tenant: str,
    job_id: str,
) -> CallerResponse:
    """Submit a job."""
    if not JOB_ID_PATTERN.fullmatch(job_id):
        return _make_error_response(
            400, f'{job_id!r} is not 16 hexadecimal digits'
        )
    body = await request.body()
    workflow = read_workflow(body)
    if isinstance(workflow, Refusal):
        return _make_refusal_response(workflow)
    reply = await gateway.submit(
        queue, tenant, job_id, workflow, _compute_timeout_s(request)
    )
    if isinstance(reply, Refusal):
        return _make_refusal_response(reply)
    if isinstance(reply, NoReply):
        # The job may have been accepted, so the status must not say that it
        # was refused; the caller can submit it again.
        return _make_error_response(504, reply.reason)
    return CallerResponse(200, {})


@METHODS.register('GET')
async def show_job(
    gateway: WorkflowGateway,
    request: Request,
    queue: Queue,
    tenant: str,
    job_id: str,
) -> CallerResponse:
    """Return a job's state, or how many jobs of a queue have not started."""
    timeout_s = _compute_timeout_s(request)
    if not job_id:
        count = await gateway.count(queue, timeout_s)
        if isinstance(count, Refusal):
            return _make_refusal_response(count)
        if isinstance(count, NoReply):
            return _make_error_response(504, count.reason)
        return CallerResponse(200, {'pending': count.count})
    return _render_view(await gateway.query(tenant, job_id, timeout_s))


@METHODS.register('DELETE')
async def cancel_job(
    gateway: WorkflowGateway,
    request: Request,
    queue: Queue,
    tenant: str,
    job_id: str,
) -> CallerResponse:
    """Cancel a job."""
    return _render_view(
        await gateway.cancel(tenant, job_id, _compute_timeout_s(request))
    )


def _find_key(request: Request) -> str | None:
    """Return the API key in a request's head, or None."""
    scheme, _, key = request.headers.get(KEY_HEADER, '').partition(' ')
    if scheme.lower() != KEY_SCHEME:
        return None
    return key.strip()


def _get_path(request: Request) -> str:
    """Return a request's path.

    `Request.url` also parses the Host header, which may be invalid.
    """
    path: str = request.scope['path']
    return path


def _compute_timeout_s(request: Request) -> float:
    """Return the caller's deadline less the response margin, in seconds."""
    text = request.headers.get(DEADLINE_HEADER, '')
    wait_ms = DEFAULT_DEADLINE_MS
    if DEADLINE_PATTERN.fullmatch(text):
        wait_ms = min(int(text), MAX_DEADLINE_MS)
    return max(RESPONSE_MARGIN_MS, wait_ms - RESPONSE_MARGIN_MS) / 1000


def _render_view(reply: WorkflowView | Refusal | NoReply) -> CallerResponse:
    if isinstance(reply, Refusal):
        return _make_refusal_response(reply)
    if isinstance(reply, NoReply):
        return _make_error_response(504, reply.reason)
    if reply.state is None:
        return _make_error_response(410, 'no such job')
    return CallerResponse(200, {'state': reply.state})


STATUS_BY_REFUSAL = {
    RefusalKind.NOT_FOUND: 404,
    RefusalKind.UNAUTHENTICATED: 401,
    RefusalKind.FORBIDDEN: 403,
    RefusalKind.INVALID: 400,
    RefusalKind.OVERLOADED: 429,
}


def _make_refusal_response(refusal: Refusal) -> CallerResponse:
    status = STATUS_BY_REFUSAL.get(refusal.kind, 503)
    return _make_error_response(
        status,
        f'{refusal.reason}; {refusal.remedy}',
        max(RETRY_AFTER_S, ceil(refusal.retry_after_ms / 1000)),
    )


def _make_error_response(
    status: int, reason: str, retry_after_s: int = RETRY_AFTER_S
) -> CallerResponse:
    return CallerResponse(status, {'error': reason}, reason, retry_after_s)
