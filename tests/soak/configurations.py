"""Configuration of the entry hosts in a soak test."""

from __future__ import annotations

from typing import Any

from tests.soak.tenants import make_tenants

QUEUES = ('plain', 'advised')
ROUTE_HOST = 'soak.example'


def make_configuration(
    version: int, has_tenants: bool = False
) -> dict[str, Any]:
    """Return a configuration with one route for each queue."""
    routes: list[dict[str, Any]] = [
        {
            'name': queue,
            'host': ROUTE_HOST,
            'prefix': f'/{queue}/',
            'kind': 'non_idempotent',
            'timeoutMs': 3000 + version,
            'targetLatencyMs': 300,
            'priority': number,
            'service': 'pool',
            'maxAttempts': 3,
            'stretch': 3.0,
        }
        for number, queue in enumerate(QUEUES)
    ]
    routes[1]['advice'] = {'decideMs': 20, 'eachMs': 1, 'validMs': 2000}
    tenants = {'tenants': make_tenants()} if has_tenants else {}
    return {
        **tenants,
        'version': version,
        'routes': routes,
        'services': [{'name': 'pool', 'enforcesCapacity': False}],
        'limits': {},
    }
