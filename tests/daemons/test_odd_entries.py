"""Tests entry hosts beside odd values that other programs have written.

Every owner reads the same keys, so a value that ends one owner's process ends
its successors too.
"""

from json import dumps

import pytest

from sassafrasgate.observability.logs import quote_value
from tests.soak.cells import open_cell

pytestmark = pytest.mark.anyio

ENTRY = {
    'service': 'pool',
    'address': '127.0.0.1:9',
    'zone': 'z1',
    'state': 'ready',
    'capacity': {'cpu': 8000, 'memMb': 16000},
    'labels': ['a', 'r1'],
    'born': 17,
}
NESTED = '[' * 1_500 + ']' * 1_500
ROUTES = {'version': 4_000, 'routes': [], 'services': []}


def add_field(value, name, text):
    """Return a JSON object with one more field, given as text."""
    return f'{dumps(value)[:-1]}, "{name}": {text}}}'


ODD_VALUES = {
    'servers/nested': add_field(ENTRY, 'extra', NESTED),
    'servers/port-high': dumps({**ENTRY, 'address': '127.0.0.1:99999'}),
    'servers/port-low': dumps({**ENTRY, 'address': '127.0.0.1:-1'}),
    'servers/port-text': dumps({**ENTRY, 'address': '127.0.0.1:x'}),
    'servers/address': dumps({**ENTRY, 'address': '[::1'}),
    'servers/born': dumps({**ENTRY, 'born': 10**400}),
    'servers/cpu': dumps({**ENTRY, 'capacity': {'cpu': 10**30, 'memMb': 1}}),
    'servers/id\nheader: x': dumps(ENTRY),
    'servers/text': '\x00not json',
    'op/config': add_field(ROUTES, 'limits', NESTED),
    'control/members/odd': NESTED,
}
# A process that starts while the routing table is invalid has none to use.
READ_AT_START = {
    key: text for key, text in ODD_VALUES.items() if key != 'op/config'
}


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def find_owner(cell):
    """Return the entry host that has taken the shard over last."""
    times = {
        entry.process.read_log().rfind(' kind=takeover ') >= 0: entry
        for entry in cell.entries.values()
    }
    return times[True]


def list_ended(cell):
    return [
        name for name, entry in cell.entries.items() if not entry.process.alive
    ]


async def check_service(cell, number, key=''):
    """Run a job at each entry host, none of which may have ended.

    Parameters
    ----------
    number : int
        Distinguishes the jobs of several checks of a cell.
    key : str
        Key that was written before, for the error.
    """
    for index, entry in enumerate(cell.entries.values()):
        if not entry.process.alive:
            continue
        job_id = f'{number:08x}{index:08x}'
        assert await cell.run_job(entry, job_id) == 'completed', key
    assert list_ended(cell) == [], key


async def test_values_written_before_the_start(tmp_path):
    # Guards against entry hosts that end at their start, again and again.
    async with open_cell(tmp_path, 2, 2, written=READ_AT_START) as cell:
        await check_service(cell, 1)


async def test_values_written_while_running(tmp_path):
    # Guards against a process that ends, or that stops following the keys.
    async with open_cell(tmp_path, 2, 2) as cell:
        await check_service(cell, 0)
        for number, (key, text) in enumerate(ODD_VALUES.items()):
            await cell.write_raw(key, text)
            await check_service(cell, 2 * number + 1, key)
            await cell.change_configuration()
            await check_service(cell, 2 * number + 2, key)
        logs = [entry.process.read_log() for entry in cell.entries.values()]
    for key in ODD_VALUES:
        if key.startswith('servers/'):
            lines = [line for log in logs for line in log.splitlines()]
            kind = ' kind=invalid-entry '
            name = quote_value(key)
            found = [x for x in lines if kind in x and f' key={name} ' in x]
            assert len(found) == 1, key


async def test_values_written_right_before_a_takeover(tmp_path):
    # Guards against successors that end one after the other.
    async with open_cell(tmp_path, 3, 2) as cell:
        await check_service(cell, 1)
        owner = find_owner(cell)
        for key, text in READ_AT_START.items():
            await cell.write_raw(key, text)
        await cell.kill(owner)
        await check_service(cell, 2)
