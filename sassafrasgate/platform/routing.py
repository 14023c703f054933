"""Decoder of the operators' routing configuration in the store."""

from __future__ import annotations

from msgspec import Raw
from msgspec import Struct
from msgspec.json import Decoder

from sassafrasgate.core.inputs import Amount
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.inputs import Integer
from sassafrasgate.core.inputs import Natural
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import AdviceTiming
from sassafrasgate.core.routing import Pool
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.tenants import digest_key
from sassafrasgate.core.tenants import Tenant
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
    public: bool = False


class _Service(Struct, frozen=True, rename='camel'):
    name: str
    enforces_capacity: bool = False
    spare: bool = False


class _Cap(Struct, frozen=True, rename='camel'):
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0


class _Tenant(Struct, frozen=True, rename='camel'):
    name: str
    api_keys: list[str] = []
    weight: Amount = 1.0
    cap: _Cap = _Cap()
    priority: Integer = 0


class _Configuration(Struct, frozen=True, rename='camel'):
    version: Natural
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] | None = None
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
        _make_tenants(configuration.tenants),
        read_caller_limits(configuration.limits),
    )


def _make_tenants(rows: list[_Tenant] | None) -> tuple[Tenant, ...] | None:
    if rows is None:
        return None
    return tuple(
        Tenant(
            row.name,
            tuple(digest_key(key) for key in row.api_keys),
            row.weight,
            Resources(row.cap.cpu, row.cap.mem_mb, row.cap.gpu),
            row.priority,
        )
        for row in rows
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
        route.public,
    )
