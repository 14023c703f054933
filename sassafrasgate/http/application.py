"""ASGI application that serves the registered routes."""

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
from sassafrasgate.http.bodies import HttpRequest
import sassafrasgate.http.configurations
import sassafrasgate.http.health
import sassafrasgate.http.jobs
from sassafrasgate.http.limits import UsageLimiter
import sassafrasgate.http.operators
from sassafrasgate.http.problems import describe_refusal
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.problems import render_problem
import sassafrasgate.http.quick_requests  # noqa: F401
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
        Metrics of the process; requests are counted in them and
        ``/metrics`` returns them.
    limits : Limits
        Limits of the process.
    groups : frozenset of RouteGroup
        Groups of routes to serve: all on a front end, only health on a
        scheduler.
    """
    team_limiter = UsageLimiter(limits.max_open_requests_per_team)
    context = Context(gateway, metrics, limits, team_limiter)
    group_limiters = {
        RouteGroup.CALLERS: UsageLimiter(limits.max_open_caller_requests),
        RouteGroup.OPERATORS: UsageLimiter(limits.max_open_operator_requests),
    }
    body_limiter = UsageLimiter(limits.max_open_body_bytes)
    definitions: dict[str, dict[str, RouteDefinition]] = {}
    # starlette tries the routes in order, so the most frequently requested
    # ones, the short paths of the callers, come first.
    for key in sorted(ROUTES, key=_make_route_order):
        definition = ROUTES.find(key)
        if definition.group not in groups:
            continue
        definitions.setdefault(definition.path, {})[definition.method] = (
            definition
        )
    return Starlette(
        routes=[
            Route(
                path, _Endpoint(methods, context, group_limiters, body_limiter)
            )
            for path, methods in definitions.items()
        ],
        exception_handlers={404: _handle_no_route, 500: _handle_error},
    )


def _make_route_order(key: tuple[str, str]) -> tuple[int, int, str]:
    group = ROUTES.find(key).group
    method, path = key
    return (tuple(RouteGroup).index(group), len(path), method)


class _Endpoint:
    """Serves the methods of one path.

    It limits the number of open requests, applies time limits, counts
    requests in the metrics and renders problems. It is an ASGI application
    rather than a function, so that a request counts as open until its
    response has been sent.
    """

    def __init__(
        self,
        methods: dict[str, RouteDefinition],
        context: Context,
        group_limiters: dict[RouteGroup, UsageLimiter],
        body_limiter: UsageLimiter,
    ) -> None:
        self._methods = methods
        self._context = context
        self._group_limiters = group_limiters
        self._body_limiter = body_limiter

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        method = 'GET' if scope['method'] == 'HEAD' else scope['method']
        definition = self._methods.get(method)
        if definition is None:
            response = render_problem(
                _describe_method_not_allowed(method, self._methods)
            )
            await response(scope, receive, send)
            return
        limits = self._context.limits
        started = perf_counter()
        request = HttpRequest(scope, receive, self._body_limiter)
        status = 'disconnected'
        try:
            with self._limit_open_requests(definition.group) as problem:
                response = await self._respond(definition, request, problem)
                status = str(response.status_code)
                await request.discard_remaining_body(limits.body_timeout_s)
                with fail_after(limits.send_timeout_s):
                    await _send_response(request, response, send)
        except ClientDisconnect:
            # The client has disconnected, so no response is sent.
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
        request: HttpRequest,
        problem: Problem | None,
    ) -> Response:
        result = problem or self._check_access(definition.group)
        if result is None:
            result = await definition.handler(request, self._context)
        if isinstance(result, Problem):
            return render_problem(result)
        return result

    def _check_access(self, group: RouteGroup) -> Any:
        if group is RouteGroup.HEALTH:
            return None
        gateway = self._context.gateway
        if group is RouteGroup.OPERATORS:
            refusal = gateway.check_operator_access()
        else:
            refusal = gateway.check_readiness()
        # A stopping process still serves the requests that the load balancer
        # sends until it notices that the process is not ready.
        if refusal is None or refusal.kind is RefusalKind.STOPPING:
            return None
        return describe_refusal(refusal)

    @contextmanager
    def _limit_open_requests(
        self, group: RouteGroup
    ) -> Iterator[Problem | None]:
        limiter = self._group_limiters.get(group)
        if limiter is None:
            yield None
            return
        if not limiter.acquire(group):
            yield Problem(
                RefusalKind.OVERLOADED,
                f'this process has too many open requests from {group}',
                'try again after the time in Retry-After',
            )
            return
        metrics = self._context.metrics
        metrics.set_gauge(OPEN_REQUESTS, limiter.get_usage(group), group)
        try:
            yield None
        finally:
            limiter.release(group)
            metrics.set_gauge(OPEN_REQUESTS, limiter.get_usage(group), group)


async def _send_response(
    request: HttpRequest, response: Response, send: Send
) -> None:
    if request.is_received:
        await response(request.scope, request.receive, send)
        return
    async with create_task_group() as group:
        group.start_soon(request.discard_messages)
        await response(request.scope, request.receive, send)


def _describe_method_not_allowed(
    method: str, methods: dict[str, RouteDefinition]
) -> Problem:
    allow = ', '.join(sorted(methods))
    return Problem(
        'method-not-allowed',
        f'this path does not support method {method!r}',
        f'use one of {allow}',
        allow=allow,
    )


async def _handle_no_route(request: Request, error: Exception) -> Response:
    return render_problem(
        Problem(
            'no-route',
            f'no route matches the path {request.url.path!r:.200}',
            'see the caller and operator API in docs/design.md',
        )
    )


async def _handle_error(request: Request, error: Exception) -> Response:
    return render_problem(
        Problem(
            'internal',
            'an unexpected error occurred; the process has logged it',
            'read the current state before trying again',
        )
    )
