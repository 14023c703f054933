"""Tests the decoding of the operators' routing configuration."""

from json import dumps

import pytest

from sassafrasgate.core.caller_limits import CallerLimits
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import AdviceTiming
from sassafrasgate.core.routing import Pool
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.tenants import digest_key
from sassafrasgate.core.tenants import Tenant
from sassafrasgate.platform.routing import read_routing_table

ROUTE = {
    'name': 'q',
    'host': 'h.example',
    'prefix': '/q/',
    'kind': 'non_idempotent',
    'timeoutMs': 3000,
    'targetLatencyMs': 300.5,
    'priority': 2,
    'service': 'pool',
    'maxAttempts': 3,
    'stretch': 2.5,
    'advice': {'decideMs': 20, 'eachMs': 0.5, 'validMs': 2000},
}


def test_configuration_is_decoded():
    table = read_routing_table(
        dumps(
            {
                'version': 4,
                'routes': [ROUTE],
                'services': [{'name': 'pool', 'enforcesCapacity': True}],
                'limits': {'unknown': 1},
            }
        ).encode()
    )

    assert table.version == 4
    assert table.pools == (Pool('pool', enforces_capacity=True),)
    assert table.queues == (
        Queue(
            'q',
            'h.example',
            '/q/',
            'pool',
            2,
            3,
            2.5,
            300,
            3000,
            AdviceTiming(20, 0.5, 2000),
        ),
    )


@pytest.mark.parametrize(
    'value',
    [
        *(b'', b'{}', b'\xff'),
        b'{"version": "x", "routes": [], "services": []}',
        b'{"version": 1%s, "routes": [], "services": []}' % (b'0' * 30),
        b'{"version": 1, "routes": [], "services": [], "limits": %s}'
        % (b'[' * 1_500 + b']' * 1_500),
    ],
    ids=range(6),
)
def test_invalid_configuration_is_ignored(value):
    # A partially decoded table must not replace the last valid one.
    with pytest.raises(InputError):
        read_routing_table(value)


def test_tenants_are_decoded():
    tenant = {
        'name': 'bakers',
        'apiKeys': ['k1', 'k2'],
        'priority': 1,
        'weight': 2.5,
        'cap': {'cpu': 4000, 'memMb': 8000, 'gpu': 0},
    }
    table = read_routing_table(
        dumps(
            {
                'version': 4,
                'routes': [{**ROUTE, 'public': True}],
                'services': [],
                'tenants': [tenant],
            }
        ).encode()
    )

    assert table.queues[0].public
    assert table.tenants == (
        Tenant(
            'bakers',
            (digest_key('k1'), digest_key('k2')),
            2.5,
            Resources(4000, 8000),
            1,
        ),
    )
    found = table.find_tenant_by_key('k2')
    assert found is not None and found.name == 'bakers'


def test_configuration_without_tenants_needs_no_keys():
    # Guards against refusing all calls of a cell that has no tenants.
    table = read_routing_table(b'{"version":4,"routes":[],"services":[]}')

    assert table.tenants is None


@pytest.mark.parametrize(
    ('limits', 'expected'),
    [
        (
            {
                'maxHeaderBytes': 8_192,
                'maxBodyBytes': 100_000,
                'headerTimeoutMs': 3_000,
                'idleTimeoutMs': 15_000,
            },
            CallerLimits(8_192, 100_000, 3_000, 15_000),
        ),
        (
            {'maxBodyBytes': 10**9, 'headerTimeoutMs': 2_000},
            CallerLimits(header_timeout_ms=2_000),
        ),
        (
            {'maxBodyBytes': 0, 'headerTimeoutMs': 'x', 'idleTimeoutMs': None},
            CallerLimits(),
        ),
        ([1], CallerLimits()),
        (None, CallerLimits()),
    ],
)
def test_odd_limits_have_defaults(limits, expected):
    """Guards against a table without routes because of its limits."""
    table = {'version': 1, 'routes': [], 'services': [], 'limits': limits}
    assert read_routing_table(dumps(table).encode()).limits == expected


def test_table_without_limits_has_defaults():
    """Guards against limits of zero."""
    table = {'version': 1, 'routes': [], 'services': []}
    assert read_routing_table(dumps(table).encode()).limits == CallerLimits()
