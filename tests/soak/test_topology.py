"""Tests of the proxies for each pair of processes."""

import anyio
import pytest

from tests.processes import find_free_address
from tests.soak.proxies import NetworkFault
from tests.soak.proxies import Proxy
from tests.soak.topology import Topology
from tests.standins.addresses import AddressMap

pytestmark = pytest.mark.anyio

WORKER = '127.0.0.1:20001'
FIRST_PATH = '127.0.0.1:20002'
SECOND_PATH = '127.0.0.1:20003'
TIMEOUT_S = 10.0


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def addresses():
    return AddressMap({'x': {WORKER: FIRST_PATH}, 'y': {WORKER: SECOND_PATH}})


def test_hosts_see_their_own_addresses(addresses):
    # Guards against hosts that reach a worker by the proxy of another host.
    stored = b'{"address": "%s"}' % WORKER.encode()
    seen = addresses.localize('x', stored)

    assert seen == b'{"address": "%s"}' % FIRST_PATH.encode()
    assert addresses.restore(seen) == stored
    assert SECOND_PATH.encode() in addresses.localize('y', seen)
    assert addresses.localize('z', seen) == stored


def test_longer_numbers_are_no_addresses(addresses):
    # Guards against changes of values that only contain an address.
    value = f'{WORKER}7 1{WORKER}'.encode()

    assert addresses.localize('x', value) == value


def test_addresses_of_different_lengths_are_refused():
    # Guards against encoded texts whose length would change.
    with pytest.raises(ValueError, match='differ in length'):
        AddressMap({'x': {WORKER: '127.0.0.1:9999'}})


def test_topology_has_a_proxy_for_each_pair():
    # Guards against pairs of processes that share a proxy.
    topology = Topology(['x', 'y', 'z'], ['w', 'v'])
    proxies = [
        *topology.to_workers.values(),
        *topology.links.values(),
        *topology.to_store.values(),
    ]

    assert len(topology.to_workers) == 6
    assert len(topology.links) == 6
    assert len({proxy.address for proxy in proxies}) == 15
    assert len(topology.list_links_of('x')) == 4
    assert len(topology.group_by_worker()['w'].proxies) == 3


async def echo(stream):
    async with stream:
        async for data in stream:
            await stream.send(data)


@pytest.mark.parametrize('direction', ['to_target', 'from_target'])
async def test_held_bytes_arrive_after_the_fault(direction):
    # Guards against cuts after which a connection loses bytes that the
    # kernel would have kept, and against cuts without effect.
    target = find_free_address()
    host, _, port = target.rpartition(':')
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    proxy = Proxy(target)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, echo)
        await group.start(proxy.run)
        host, _, port = proxy.address.rpartition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            proxy.fault = NetworkFault(**{f'hold_{direction}': True})
            await stream.send(b'first')
            with anyio.move_on_after(0.3) as scope:
                await stream.receive()
            assert scope.cancelled_caught

            proxy.fault = NetworkFault()
            with anyio.fail_after(TIMEOUT_S):
                assert await stream.receive() == b'first'
        group.cancel_scope.cancel()
