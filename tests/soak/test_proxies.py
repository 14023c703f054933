"""Tests of the proxies between the processes of a soak."""

import anyio
import pytest

from tests.processes import find_free_address
from tests.soak.proxies import Proxy

pytestmark = pytest.mark.anyio

ADDRESSES = 2_000
PROXIES = 100


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def test_proxies_leave_the_addresses_of_other_processes_free():
    # Guards against a soak cell that does not start: a proxy listened on the
    # port that an entry host had been given and could not bind.
    given = {find_free_address() for _ in range(ADDRESSES)}
    async with anyio.create_task_group() as group:
        proxies = [Proxy(find_free_address()) for _ in range(PROXIES)]
        for proxy in proxies:
            await group.start(proxy.run)
        taken = {proxy.address for proxy in proxies}
        group.cancel_scope.cancel()
    assert len(taken) == PROXIES
    assert not taken & given
