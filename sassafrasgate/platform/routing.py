"""Decoder of the operators' routing configuration in the store."""

from __future__ import annotations

from msgspec import DecodeError
from msgspec import Struct
from msgspec import ValidationError
from msgspec.json import Decoder

from sassafrasgate.core.routing import AdviceTiming
from sassafrasgate.core.routing import Pool
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable

OPERATOR_PREFIX = 'op/'
TABLE_KEY = 'op/config'


class _Advice(Struct, frozen=True, rename='camel'):
    decide_ms: float
    each_ms: float
    valid_ms: float


class _Route(Struct, frozen=True, rename='camel'):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: int = 0
    target_latency_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _Advice | None = None


class _Service(Struct, frozen=True, rename='camel'):
    name: str
    enforces_capacity: bool = False
    spare: bool = False


class _Configuration(Struct, frozen=True, rename='camel'):
    version: int
    routes: list[_Route]
    services: list[_Service]


_DECODER = Decoder(_Configuration)


def read_routing_table(value: bytes) -> RoutingTable | None:
    """Decode the routing table; return None if the value is invalid."""
    try:
        configuration = _DECODER.decode(value)
    except (DecodeError, ValidationError):
        return None
    return RoutingTable(
        configuration.version,
        tuple(_make_queue(route) for route in configuration.routes),
        tuple(
            Pool(service.name, service.enforces_capacity, service.spare)
            for service in configuration.services
        ),
    )


def _make_queue(route: _Route) -> Queue:
    advice = None
    if route.advice is not None:
        advice = AdviceTiming(
            route.advice.decide_ms, route.advice.each_ms, route.advice.valid_ms
        )
    return Queue(
        route.name,
        route.host,
        route.prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        int(route.target_latency_ms),
        route.timeout_ms,
        advice,
    )
