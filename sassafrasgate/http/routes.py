"""Registry of HTTP routes and what handlers get."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from starlette.responses import Response

from sassafrasgate.core.registries import Registry
from sassafrasgate.http.bodies import CallerRequest
from sassafrasgate.http.gateways import Gateway
from sassafrasgate.http.limits import Limits
from sassafrasgate.http.limits import OpenRequests
from sassafrasgate.http.problems import Problem
from sassafrasgate.observability.metrics import Metrics


class RouteGroup(StrEnum):
    """Who uses a route; each group has its own bound of open requests."""

    CALLERS = 'callers'
    OPERATORS = 'operators'
    HEALTH = 'health'


@dataclass(frozen=True, slots=True)
class Context:
    """What every handler gets besides the request."""

    gateway: Gateway
    metrics: Metrics
    limits: Limits
    open_by_team: OpenRequests


Handler: TypeAlias = Callable[
    [CallerRequest, Context], Awaitable[Response | Problem]
]


@dataclass(frozen=True, slots=True)
class RouteDefinition:
    """One method of one path."""

    method: str
    path: str
    group: RouteGroup
    handler: Handler


ROUTES: Registry[tuple[str, str], RouteDefinition] = Registry('route')


def register_route(
    method: str, path: str, group: RouteGroup
) -> Callable[[Handler], Handler]:
    """Return a decorator that serves ``path`` with its target.

    Parameters
    ----------
    method : str
        HTTP method in capitals.
    path : str
        Path with parameters in braces.
    group : RouteGroup
        Selects the bound of open requests.

    Raises
    ------
    DuplicateNameError
        When method and path are taken.
    """

    def add_route(handler: Handler) -> Handler:
        ROUTES.register((method, path))(
            RouteDefinition(method, path, group, handler)
        )
        return handler

    return add_route
