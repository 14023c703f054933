"""Tests the decoding of the operators' routing configuration."""

from json import dumps

import pytest

from sassafrasgate.core.caller_limits import CallerLimits
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.routing import AdviceTiming
from sassafrasgate.core.routing import Pool
from sassafrasgate.core.routing import Queue
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
