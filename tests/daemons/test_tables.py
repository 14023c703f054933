"""Tests of the routing table on hosts that can't reach the store."""

import anyio
import pytest

from tests.soak.cells import open_cell
from tests.soak.proxies import NetworkFault

pytestmark = pytest.mark.anyio

# Time from the store's acknowledgement of a routing table until it is in
# force on each host.
APPLY_S = 2.0
# Time in which a started host has learned of the others.
MEMBERSHIP_S = 1.0
# Time until a host that has lost the store has to use another path to it.
RECOVERY_S = 3.0


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.mark.parametrize(
    'fault',
    [NetworkFault(refuse=True), NetworkFault(drop_from_target=True)],
    ids=['refused', 'silent'],
)
async def test_table_reaches_a_host_that_the_store_does_not_serve(
    tmp_path, fault
):
    # Guards against requests that are handled by an old table for as long as
    # the store does not serve one host, though it serves the others.
    async with open_cell(tmp_path, entries=3, workers=1) as cell:
        entry = cell.entries['entry-1']
        await anyio.sleep(MEMBERSHIP_S)
        entry.store_proxy.fault = fault
        await entry.store_proxy.reset()
        await anyio.sleep(RECOVERY_S)
        version = await cell.change_configuration()
        in_force = False
        with anyio.move_on_after(APPLY_S):
            while not in_force:
                await anyio.sleep(0.05)
                log = entry.process.read_log()
                in_force = f'kind=table version={version} ' in log
    assert in_force, log
