"""Registry of HTTP routes, and the context passed to their handlers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from starlette.responses import Response

from sassafrasgate.core.registries import Registry
from sassafrasgate.http.bodies import HttpRequest
from sassafrasgate.http.gateways import Gateway
from sassafrasgate.http.limits import Limits
from sassafrasgate.http.limits import UsageLimiter
from sassafrasgate.http.problems import Problem
from sassafrasgate.observability.metrics import Metrics


class RouteGroup(StrEnum):
    """Users of a route; each group has its own limit of open requests."""

    CALLERS = 'callers'
    OPERATORS = 'operators'
    HEALTH = 'health'


@dataclass(frozen=True, slots=True)
class Context:
    """Objects of the application that every handler receives."""

    gateway: Gateway
    metrics: Metrics
    limits: Limits
    team_limiter: UsageLimiter


Handler: TypeAlias = Callable[
    [HttpRequest, Context], Awaitable[Response | Problem]
]


@dataclass(frozen=True, slots=True)
class RouteDefinition:
    """Handler of one method of one path."""

    method: str
    path: str
    group: RouteGroup
    handler: Handler


ROUTES: Registry[tuple[str, str], RouteDefinition] = Registry('route')


def register_route(
    method: str, path: str, group: RouteGroup
) -> Callable[[Handler], Handler]:
    """Return a decorator that registers a handler for ``path``.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    path : str
        URL path with parameters in braces.
    group : RouteGroup
        Group whose limit of open requests applies.

    Raises
    ------
    DuplicateNameError
        If a handler for the method and path is registered already.
    """

    def add_route(handler: Handler) -> Handler:
        ROUTES.register((method, path))(
            RouteDefinition(method, path, group, handler)
        )
        return handler

    return add_route
