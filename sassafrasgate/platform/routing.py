"""Decoder of the operators' routing configuration in the store."""

from __future__ import annotations

from msgspec import Raw
from msgspec import Struct
from msgspec.json import Decoder

from sassafrasgate.core.inputs import Amount
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.inputs import Integer
from sassafrasgate.core.inputs import Natural
from sassafrasgate.core.routing import AdviceTiming
from sassafrasgate.core.routing import Pool
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.platform.limits import read_caller_limits

OPERATOR_PREFIX = 'op/'
TABLE_KEY = 'op/config'


class _Advice(Struct, frozen=True, rename='camel'):
    decide_ms: Amount
    each_ms: Amount
    valid_ms: Amount


class _Route(Struct, frozen=True, rename='camel'):
    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: Natural = 0
    target_latency_ms: Amount = 0
    priority: Integer = 0
    max_attempts: Natural = 1
    stretch: Amount = 1.0
    advice: _Advice | None = None


class _Service(Struct, frozen=True, rename='camel'):
    name: str
    enforces_capacity: bool = False
    spare: bool = False


class _Configuration(Struct, frozen=True, rename='camel'):
    version: Natural
    routes: list[_Route]
    services: list[_Service]
    # Decoded by itself, so that odd limits leave the routes in force.
    limits: Raw = Raw()


_DECODER = Decoder(_Configuration)


def read_routing_table(value: bytes) -> RoutingTable:
    """Decode the routing table.

    Raises
    ------
    InputError
        When the value is not a valid table.
    """
    configuration = decode_input(_DECODER.decode, value)
    return RoutingTable(
        configuration.version,
        tuple(_make_queue(route) for route in configuration.routes),
        tuple(
            Pool(service.name, service.enforces_capacity, service.spare)
            for service in configuration.services
        ),
        read_caller_limits(configuration.limits),
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
