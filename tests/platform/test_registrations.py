"""Tests the decoding of workers' registrations, which others write."""

from json import dumps

import pytest

from sassafrasgate.core.errors import InvalidEntryError
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
        {'service': ''},
        {'service': 's' * 300},
        {'address': '127.0.0.1'},
        {'address': '127.0.0.1:0'},
        {'address': '127.0.0.1:65536'},
        {'address': '127.0.0.1:-1'},
        {'address': '127.0.0.1:x'},
        {'address': 'worker.example:80'},
        {'address': '[::1'},
        {'address': ':::'},
        {'born': 10**400},
        {'born': -1},
        {'remainingMs': 10**30},
        {'capacity': {'cpu': 10**30, 'memMb': 1}},
        {'capacity': {'cpu': -5, 'memMb': 1}},
        {'labels': ['a'] * 65},
        {'labels': ['a', 'r' * 300]},
    ],
)
def test_invalid_entry_is_ignored(changes):
    # Any other exception would end the watch at the first invalid entry.
    with pytest.raises(InvalidEntryError, match="'servers/i-1' at revision 1"):
        read(**changes)


@pytest.mark.parametrize('worker', ['', 'a b', 'a\nb: c', 'é', 'i' * 201])
def test_entry_with_an_unusable_id_is_ignored(worker):
    # Guards against an error in each call to the worker, whose headers hold
    # the id.
    value = dumps(ENTRY).encode()

    with pytest.raises(InvalidEntryError):
        read_registration(Item(f'servers/{worker}', value, 1))


NESTED = b'[' * 1_500 + b']' * 1_500


@pytest.mark.parametrize(
    'value',
    [
        *(None, b'', b'{', b'\xff\xfe', b'[]', NESTED),
        b'{"extra": ' + NESTED + b', ' + dumps(ENTRY).encode()[1:],
    ],
    ids=repr,
)
def test_entry_that_is_not_json_is_ignored(value):
    with pytest.raises(InvalidEntryError):
        read_registration(Item('servers/i-1', value, 1))
