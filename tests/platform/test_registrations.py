"""Tests the decoding of workers' registrations, which others write."""

from json import dumps

import pytest

from sassafrasgate.core.items import Item
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workers import Registration
from sassafrasgate.platform.registrations import read_registration

ENTRY = {
    'service': 'pool',
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'coldLeftMs': 0,
    'capacity': {'cpu': 8000, 'memMb': 16000},
    'labels': ['a', 'r1'],
    'born': 17,
    'sequence': 1,
}


def read(**changes):
    value = dumps({**ENTRY, **changes}).encode()
    return read_registration(Item('servers/i-1', value, 1))


def test_entry_is_decoded():
    assert read() == Registration(
        'i-1',
        'pool',
        '127.0.0.1:9',
        'z1',
        Resources(8000, 16000),
        ('a', 'r1'),
        'r1',
        incarnation_ms=17,
    )


def test_draining_worker_is_leaving():
    worker = read(state='draining', remainingMs=3000)

    assert worker is not None
    assert worker.leaving
    assert worker.remaining_ms == 3000


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'asleep'},
        {'state': None},
        {'address': ''},
        {'capacity': 'much'},
        {'labels': 'a'},
        {'service': 7},
    ],
)
def test_invalid_entry_is_ignored(changes):
    # An exception would end the watch at the first invalid entry.
    assert read(**changes) is None


@pytest.mark.parametrize('value', [None, b'', b'{', b'\xff\xfe', b'[]'])
def test_entry_that_is_not_json_is_ignored(value):
    assert read_registration(Item('servers/i-1', value, 1)) is None
