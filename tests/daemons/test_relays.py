"""Tests store calls of a host that can't reach the store."""

import anyio
from logbook import Logger
import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item
from sassafrasgate.daemons import relays
from sassafrasgate.daemons.directory import Directory
from sassafrasgate.daemons.leases import Member
from sassafrasgate.daemons.relays import execute_relayed_call
from sassafrasgate.daemons.relays import relay_through_peers
from sassafrasgate.daemons.relays import RelayedStore
from sassafrasgate.protocol.codec import decode_envelope
from sassafrasgate.protocol.codec import encode_envelope
from sassafrasgate.protocol.codec import Envelope
from sassafrasgate.protocol.relays import RelayCall
from sassafrasgate.protocol.relays import RelayReply
from tests.journal.test_ring_buffer import MemoryStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class PathStore(MemoryStore):
    """A store path that a test can make unavailable."""

    def __init__(self):
        super().__init__()
        self.unavailable = False
        self.attempts = 0

    async def get(self, key, priority=0):
        self._check()
        return await super().get(key, priority)

    async def swap(self, key, value, revision, lease='', priority=0):
        self._check()
        return await super().swap(key, value, revision, priority)

    async def create(self, key, value, lease='', priority=0):
        return await self.swap(key, value, 0, lease, priority)

    def _check(self):
        self.attempts += 1
        if self.unavailable:
            raise StoreUnavailableError('path unavailable', sent=False)


def send(message):
    """Pass a message through the inner protocol's encoding."""
    frame = encode_envelope(Envelope(1, False, 1, 0, message))
    return decode_envelope(frame).body


def make_store(own, other):
    async def relay(call, timeout_s):
        if other is None:
            return None
        return send(await execute_relayed_call(other, send(call)))

    return RelayedStore(own, relay, Logger('test'))


async def test_a_host_that_is_cut_off_reads_and_writes_through_another():
    own, other = PathStore(), PathStore()
    own.unavailable = True
    store = make_store(own, other)
    revision = await store.create('a', b'\x00\xff')
    assert await store.get('a') == Item('a', b'\x00\xff', revision)
    assert await store.get('b') is None
    with pytest.raises(StoreConflictError):
        await store.swap('a', b'late', revision + 7)


async def test_the_direct_path_is_not_used_for_a_while_after_a_failure():
    # Guards against calls that each wait for the whole time limit of a path
    # that does not respond.
    own, other = PathStore(), PathStore()
    own.unavailable = True
    store = make_store(own, other)
    for _ in range(5):
        await store.get('a')
    assert own.attempts == 1


class Clock:
    """A clock that only tests advance."""

    def __init__(self):
        self.now = 0

    def advance(self, milliseconds):
        self.now += milliseconds


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(relays, 'now_ms', lambda: clock.now)
    return clock


async def make_relaying_store(own, other):
    """Return a store that prefers the relay path after a failure."""
    own.unavailable = True
    store = make_store(own, other)
    await store.get('a')
    return store


async def test_the_direct_path_is_tried_again_though_calls_are_frequent(clock):
    # Guards against a host that is served again, but makes all its calls
    # through another one: each relayed call prolonged the preference.
    own = PathStore()
    store = await make_relaying_store(own, PathStore())
    own.unavailable = False
    own.attempts = 0
    for _ in range(4):
        clock.advance(relays.RELAY_PREFERENCE_MS // 2)
        await store.get('a')
    assert own.attempts


class SilentStore(PathStore):
    """A store path on which watches and appends get no reply."""

    async def watch(self, prefix, after, wait_s, priority=0):
        await anyio.sleep_forever()

    async def create(self, key, value, lease='', priority=0):
        await anyio.sleep_forever()


class ConfirmingStore(PathStore):
    """A store path on which watches get a reply without changes at once."""

    async def watch(self, prefix, after, wait_s, priority=0):
        return Changes(after, ())


@pytest.mark.parametrize(
    'method, arguments', [('watch', ('a', 7, 1.5)), ('create', ('a', b''))]
)
async def test_calls_are_relayed_while_the_silent_direct_path_is_tried(
    clock, method, arguments
):
    # Guards against a known list that grows old, and appends that wait, each
    # time that a host tries whether its own path to the store works again.
    store = await make_relaying_store(SilentStore(), ConfirmingStore())
    clock.advance(relays.RELAY_PREFERENCE_MS)
    with anyio.fail_after(relays.RELAY_DELAY_S):
        await getattr(store, method)(*arguments)


async def test_an_outage_for_all_hosts_raises_the_error_of_the_direct_call():
    own, other = PathStore(), PathStore()
    own.unavailable = other.unavailable = True
    store = make_store(own, other)
    for client in (store, make_store(own, None)):
        with pytest.raises(StoreUnavailableError, match='path unavailable'):
            await client.get('a')
    # Once the store is back, the direct path is used again.
    own.unavailable = False
    assert await store.get('a') is None


async def test_names_that_are_no_store_methods_are_not_relayed():
    call = send(RelayCall('__class__', ()))
    reply = await execute_relayed_call(PathStore(), call)
    assert reply.failure == 'refused'


class SlowerStore(PathStore):
    """A store path that works, and takes longer than the other one."""

    async def renew_lease(self, lease, priority=0):
        self._check()
        await anyio.sleep(0.02)
        return True


class FasterStore(PathStore):
    """A store path that replies at once."""

    async def renew_lease(self, lease, priority=0):
        return True


async def test_direct_path_that_works_is_used_again_though_it_is_slower(clock):
    # Guards against a host that makes its calls through another one for as
    # long as that one replies first, and loses its lease with it: a new
    # connection on the direct path takes longer than a relayed call.
    own = SlowerStore()
    store = await make_relaying_store(own, FasterStore())
    own.unavailable = False
    clock.advance(relays.RELAY_PREFERENCE_MS)
    assert await store.renew_lease('1')
    own.attempts = 0
    assert await store.renew_lease('1')
    assert own.attempts


class RelayHost:
    """A link to another entry host that replies, or never does."""

    def __init__(self, unconnected_ms=0, replies=True):
        self.unconnected_ms = unconnected_ms
        self.replies = replies

    async def request(self, call, timeout_s):
        if not self.replies:
            await anyio.sleep(timeout_s)
            return NoReply('no reply')
        return RelayReply(result=True)


def make_relay_directory(*links):
    """Return a directory whose hosts are asked in the order of the links."""
    directory = Directory(None, (), lambda: None, lambda _: None)
    names = [f'e{number}' for number in range(len(links))]
    for name in names:
        directory.members[name] = Member(name, name, 'entry', name, 'z1')
    by_rank = dict(zip(rank_names('own', names), links, strict=True))
    directory.find_link = by_rank.__getitem__
    return directory


async def test_relay_host_without_a_connection_is_not_waited_for():
    # Guards against a lease that ends while its renewal waits for a host that
    # has been cut off, although another host would relay it.
    directory = make_relay_directory(
        RelayHost(unconnected_ms=30, replies=False), RelayHost()
    )
    call = RelayCall('renew_lease', ('1',))
    with anyio.fail_after(0.2):
        reply = await relay_through_peers(directory, 'own', call, 1.0)
    assert reply.result is True


async def test_renewal_reaches_a_second_relay_host_before_the_lease_ends():
    # Guards against a lease of a second that ends while the first relay host,
    # which is silent, is waited for.
    directory = make_relay_directory(RelayHost(replies=False), RelayHost())
    own = SlowerStore()
    own.unavailable = True

    async def relay(call, timeout_s):
        return await relay_through_peers(directory, 'own', call, timeout_s)

    store = RelayedStore(own, relay, Logger('test'))
    with anyio.fail_after(0.8):
        assert await store.renew_lease('1')
