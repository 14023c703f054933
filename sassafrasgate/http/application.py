"""The ASGI application with all registered routes."""

from __future__ import annotations

from contextlib import contextmanager
from time import perf_counter
from typing import Any
from typing import TYPE_CHECKING

from anyio import create_task_group
from anyio import fail_after
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect
from starlette.routing import Route

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.http.bodies import CallerRequest
import sassafrasgate.http.configurations
import sassafrasgate.http.health
import sassafrasgate.http.jobs
from sassafrasgate.http.limits import OpenRequests
import sassafrasgate.http.operators
from sassafrasgate.http.problems import describe_refusal
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.problems import render_problem
import sassafrasgate.http.requests  # noqa: F401
from sassafrasgate.http.routes import Context
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.http.routes import ROUTES
from sassafrasgate.observability.metrics import OPEN_REQUESTS
from sassafrasgate.observability.metrics import REQUEST_SECONDS
from sassafrasgate.observability.metrics import REQUESTS

if TYPE_CHECKING:
    from collections.abc import Iterator

    from starlette.requests import Request
    from starlette.responses import Response
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

    from sassafrasgate.http.gateways import Gateway
    from sassafrasgate.http.limits import Limits
    from sassafrasgate.http.routes import RouteDefinition
    from sassafrasgate.observability.metrics import Metrics


def build_application(
    gateway: Gateway,
    metrics: Metrics,
    limits: Limits,
    groups: frozenset[RouteGroup] = frozenset(RouteGroup),
) -> Starlette:
    """Return the ASGI application of a process.

    Parameters
    ----------
    gateway : Gateway
        Access to the shards and to the configuration.
    metrics : Metrics
        Where requests are counted, and what ``/metrics`` shows.
    limits : Limits
        Bounds of the process.
    groups : frozenset of RouteGroup
        Which routes to serve: all on a front end, health on a scheduler.
    """
    per_team = OpenRequests(limits.max_open_per_team)
    context = Context(gateway, metrics, limits, per_team)
    open_by_group = {
        RouteGroup.CALLERS: OpenRequests(limits.max_open_callers),
        RouteGroup.OPERATORS: OpenRequests(limits.max_open_operators),
    }
    open_bytes = OpenRequests(limits.max_open_body_bytes)
    definitions: dict[str, dict[str, RouteDefinition]] = {}
    # starlette tries the routes in order; callers' short paths are the hot
    # ones.
    for key in sorted(ROUTES, key=_rank_route):
        definition = ROUTES.find(key)
        if definition.group not in groups:
            continue
        definitions.setdefault(definition.path, {})[definition.method] = (
            definition
        )
    return Starlette(
        routes=[
            Route(path, _Endpoint(methods, context, open_by_group, open_bytes))
            for path, methods in definitions.items()
        ],
        exception_handlers={404: _handle_no_route, 500: _handle_error},
    )


def _rank_route(key: tuple[str, str]) -> tuple[int, int, str]:
    group = ROUTES.find(key).group
    method, path = key
    return (tuple(RouteGroup).index(group), len(path), method)


class _Endpoint:
    """Serves one path: bounds, time limits, metrics and rendering.

    It is an ASGI application rather than a function, so that a request
    counts as open until its response has been sent.
    """

    def __init__(
        self,
        methods: dict[str, RouteDefinition],
        context: Context,
        open_by_group: dict[RouteGroup, OpenRequests],
        open_bytes: OpenRequests,
    ) -> None:
        self._methods = methods
        self._context = context
        self._open_by_group = open_by_group
        self._open_bytes = open_bytes

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        method = 'GET' if scope['method'] == 'HEAD' else scope['method']
        definition = self._methods.get(method)
        if definition is None:
            response = render_problem(_describe_method(method, self._methods))
            await response(scope, receive, send)
            return
        limits = self._context.limits
        started = perf_counter()
        request = CallerRequest(scope, receive, self._open_bytes)
        status = 'disconnected'
        try:
            with self._count_open(definition.group) as refusal:
                response = await self._respond(definition, request, refusal)
                status = str(response.status_code)
                await request.discard_body(limits.body_timeout_s)
                with fail_after(limits.send_timeout_s):
                    await _send_response(request, response, send)
        except ClientDisconnect:
            # Nobody is left to answer.
            pass
        finally:
            request.release_bytes()
            metrics = self._context.metrics
            elapsed = perf_counter() - started
            metrics.observe(REQUEST_SECONDS, elapsed, definition.path)
            metrics.count(REQUESTS, definition.path, status)

    async def _respond(
        self,
        definition: RouteDefinition,
        request: CallerRequest,
        refusal: Problem | None,
    ) -> Response:
        answer = refusal or self._check_ready(definition.group)
        if answer is None:
            answer = await definition.handler(request, self._context)
        if isinstance(answer, Problem):
            return render_problem(answer)
        return answer

    def _check_ready(self, group: RouteGroup) -> Any:
        if group is RouteGroup.HEALTH:
            return None
        gateway = self._context.gateway
        if group is RouteGroup.OPERATORS:
            refusal = gateway.check_operator_access()
        else:
            refusal = gateway.check_readiness()
        # While it stops, a process still serves what the load balancer
        # sends before it has taken notice.
        if refusal is None or refusal.kind is RefusalKind.STOPPING:
            return None
        return describe_refusal(refusal)

    @contextmanager
    def _count_open(self, group: RouteGroup) -> Iterator[Problem | None]:
        requests = self._open_by_group.get(group)
        if requests is None:
            yield None
            return
        if not requests.enter(group):
            yield Problem(
                RefusalKind.OVERLOADED,
                f'this process has too many open requests of {group}',
                'try again after the time in Retry-After',
            )
            return
        metrics = self._context.metrics
        metrics.set_gauge(OPEN_REQUESTS, requests.count(group), group)
        try:
            yield None
        finally:
            requests.leave(group)
            metrics.set_gauge(OPEN_REQUESTS, requests.count(group), group)


async def _send_response(
    request: CallerRequest, response: Response, send: Send
) -> None:
    if request.is_received:
        await response(request.scope, request.receive, send)
        return
    async with create_task_group() as group:
        group.start_soon(request.discard_messages)
        await response(request.scope, request.receive, send)


def _describe_method(
    method: str, methods: dict[str, RouteDefinition]
) -> Problem:
    allow = ', '.join(sorted(methods))
    return Problem(
        'method-not-allowed',
        f'method {method!r} is not served on this path',
        f'use one of {allow}',
        allow=allow,
    )


async def _handle_no_route(request: Request, error: Exception) -> Response:
    return render_problem(
        Problem(
            'no-route',
            f'nothing is served at {request.url.path!r:.200}',
            'see the caller and operator API in docs/design.md',
        )
    )


async def _handle_error(request: Request, error: Exception) -> Response:
    return render_problem(
        Problem(
            'internal',
            'the request met an unexpected error, which is in the log',
            'read the current state before trying again',
        )
    )
