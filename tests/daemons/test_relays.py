"""Guards store calls of a host that the store turns away."""

from logbook import Logger
import pytest

from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.items import Item
from sassafrasgate.daemons.relays import execute_relayed_call
from sassafrasgate.daemons.relays import RelayedStore
from sassafrasgate.protocol.codec import decode_envelope
from sassafrasgate.protocol.codec import encode_envelope
from sassafrasgate.protocol.codec import Envelope
from sassafrasgate.protocol.relays import RelayCall
from tests.journal.test_ring_buffer import MemoryStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class Way(MemoryStore):
    """A store that this host may be turned away from."""

    def __init__(self):
        super().__init__()
        self.away = False
        self.tries = 0

    async def get(self, key, priority=0):
        self._check()
        return await super().get(key, priority)

    async def swap(self, key, value, revision, lease='', priority=0):
        self._check()
        return await super().swap(key, value, revision, priority)

    async def create(self, key, value, lease='', priority=0):
        return await self.swap(key, value, 0, lease, priority)

    def _check(self):
        self.tries += 1
        if self.away:
            raise StoreUnavailableError('turned away', sent=False)


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


async def test_a_host_that_is_turned_away_reads_and_writes_through_another():
    own, other = Way(), Way()
    own.away = True
    store = make_store(own, other)
    revision = await store.create('a', b'\x00\xff')
    assert await store.get('a') == Item('a', b'\x00\xff', revision)
    assert await store.get('b') is None
    with pytest.raises(StoreConflictError):
        await store.swap('a', b'late', revision + 7)


async def test_the_direct_way_is_left_alone_for_a_while_after_a_failure():
    # Each try on a silent way would cost its whole time limit.
    own, other = Way(), Way()
    own.away = True
    store = make_store(own, other)
    for _ in range(5):
        await store.get('a')
    assert own.tries == 1


async def test_an_outage_for_all_hosts_is_the_error_of_the_direct_call():
    own, other = Way(), Way()
    own.away = other.away = True
    store = make_store(own, other)
    for way in (store, make_store(own, None)):
        with pytest.raises(StoreUnavailableError, match='turned away'):
            await way.get('a')
    # Once the store is back, nothing keeps the host on the other way.
    own.away = False
    assert await store.get('a') is None


async def test_methods_that_are_no_store_calls_are_not_relayed():
    call = send(RelayCall('__class__', ()))
    answer = await execute_relayed_call(Way(), call)
    assert answer.failure == 'refused'
