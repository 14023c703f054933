"""Tests the store client's guarantees, also when a write gets no response."""

from anyio import create_task_group
from anyio import sleep
import pytest

from sassafrasgate.adapters.store import Store
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLeaseLostError
from sassafrasgate.core.errors import StoreLogTrimmedError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.items import HostStatus
from sassafrasgate.core.items import Item
from tests.processes import find_free_address

LOG_LENGTH = 40
# Short for calls that must time out, yet long enough for other calls on a busy
# machine.
SHORT_TIMEOUT_S = 2.0


@pytest.fixture(scope='module')
def standin(processes):
    return processes.start_store(log_length=LOG_LENGTH, hosts_lag_ms=1500)


@pytest.fixture
async def store(standin):
    async with Store(standin.url, timeout_s=10.0) as client:
        yield client


@pytest.fixture
async def short_timeout_store(standin):
    async with Store(standin.url, timeout_s=SHORT_TIMEOUT_S) as client:
        yield client


@pytest.fixture(autouse=True)
def clear_faults(standin):
    yield
    standin.set_faults(
        down=False, frozen=False, delay_ms=0, lose_replies=0, silent=False
    )


async def test_writes_need_the_revision_that_was_read(store):
    key = 'a/ b?%/é'
    first = await store.create(key, b'\x00one')
    with pytest.raises(StoreConflictError, match='read it again'):
        await store.create(key, b'two')
    second = await store.swap(key, b'two', first)
    with pytest.raises(StoreConflictError):
        await store.swap(key, b'three', first)
    with pytest.raises(StoreConflictError):
        await store.delete(key, first)
    assert await store.get(key) == Item(key, b'two', second)
    assert await store.delete(key, second)
    assert not await store.delete(key)
    assert await store.get(key) is None


async def test_only_one_of_concurrent_creates_succeeds(store):
    results = []

    async def create(number):
        try:
            await store.create('race', b'%d' % number)
        except StoreConflictError:
            return
        results.append(b'%d' % number)

    async with create_task_group() as tasks:
        for number in range(10):
            tasks.start_soon(create, number)
    assert [(await store.get('race')).value] == results


async def test_value_over_a_megabyte_is_rejected(store):
    with pytest.raises(StoreError, match='413'):
        await store.create('large', bytes((1 << 20) + 1))


async def test_expired_lease_deletes_its_keys_and_watches_report_it(store):
    lease = await store.grant_lease(2.0)
    revision = await store.create('leased/k', b'v', lease)
    await sleep(1.2)
    assert await store.renew_lease(lease)
    await sleep(1.2)
    # The lease has outlived its time to live only because it was renewed.
    assert await store.get('leased/k') is not None
    changes = await store.watch('leased/', revision, 10)
    assert changes.items == (Item('leased/k', None, changes.revision),)
    assert not await store.renew_lease(lease)
    with pytest.raises(StoreLeaseLostError, match='grant a new one'):
        await store.create('leased/k', b'v', lease)
    await store.revoke_lease(lease)


async def test_watch_returns_each_change_under_its_prefix_in_order(store):
    start = (await store.read_prefix('w/')).revision
    seen = []

    async def follow():
        after = start
        while len(seen) < 5:
            changes = await store.watch('w/', after, 10)
            after = changes.revision
            seen.extend(item.value for item in changes.items)

    async with create_task_group() as tasks:
        tasks.start_soon(follow)
        for number in range(5):
            await store.create(f'x/{number}', b'other prefix')
            await store.create(f'w/{number}', b'%d' % number)
    assert seen == [b'0', b'1', b'2', b'3', b'4']


async def test_watch_without_changes_returns_after_its_wait(store):
    start = (await store.read_prefix('quiet/')).revision
    changes = await store.watch('quiet/', start, 0.1)
    assert changes.items == ()


async def test_watch_from_a_trimmed_revision_raises(store):
    # A watch that continued without an error would miss the trimmed changes.
    start = (await store.read_prefix('t/')).revision
    for number in range(LOG_LENGTH + 1):
        await store.create(f't/{number}', b'')
    with pytest.raises(StoreLogTrimmedError, match='list the prefix'):
        await store.watch('t/', start, 1)


async def test_list_is_complete_across_pages(store):
    expected = {
        f'p/{number}': bytes([number]) * 400_000 for number in range(7)
    }
    for key, value in expected.items():
        await store.create(key, value)
    await store.create('q', b'other prefix')
    items = await store.list('p/')
    assert {item.key: item.value for item in items} == expected
    assert [item.key for item in items] == sorted(expected)


async def test_write_takes_effect_although_its_response_is_lost(
    store, standin
):
    standin.set_faults(lose_replies=1)
    with pytest.raises(StoreUnavailableError) as caught:
        await store.create('lost', b'v')
    assert caught.value.sent
    assert (await store.get('lost')).value == b'v'


async def test_outage_fails_waiting_watches_and_calls_succeed_right_after_it(
    store, standin
):
    start = (await store.read_prefix('d/')).revision
    failures = []

    async def watch():
        try:
            await store.watch('d/', start, 30)
        except StoreUnavailableError as error:
            failures.append(error)

    async with create_task_group() as tasks:
        tasks.start_soon(watch)
        await sleep(0.2)
        standin.set_faults(down=True)
    assert len(failures) == 1
    with pytest.raises(StoreUnavailableError):
        await store.get('d/k')
    standin.set_faults(down=False)
    assert await store.get('d/k') is None


async def test_call_on_refused_connection_counts_as_not_sent():
    async with Store(f'http://{find_free_address()}') as store:
        with pytest.raises(StoreUnavailableError) as caught:
            await store.create('k', b'v')
    assert not caught.value.sent


async def test_write_to_a_frozen_store_takes_effect_late(
    short_timeout_store, standin
):
    standin.set_faults(frozen=True)
    with pytest.raises(StoreUnavailableError) as caught:
        await short_timeout_store.create('late', b'v')
    assert caught.value.sent
    standin.set_faults(frozen=False)
    assert (await short_timeout_store.get('late')).value == b'v'


async def test_call_after_a_timeout_uses_a_new_connection(
    short_timeout_store, standin
):
    # If only the connection that timed out were replaced, each of the other
    # idle connections would cost another timeout.
    standin.set_faults(delay_ms=100)
    async with create_task_group() as tasks:
        for _ in range(4):
            tasks.start_soon(short_timeout_store.get, 'k')
    standin.set_faults(delay_ms=0, silence_connections=True)
    with pytest.raises(StoreUnavailableError):
        await short_timeout_store.get('k')
    assert await short_timeout_store.get('k') is None


async def test_host_list_lags_behind_the_hosts(store, standin):
    hosts = (HostStatus('h1'), HostStatus('h2', leaving=True))
    standin.set_hosts(hosts)
    assert await store.list_hosts() == ()
    await sleep(1.6)
    assert await store.list_hosts() == hosts


class RecordingRateLimiter:
    def __init__(self):
        self.acquired = []

    async def acquire(self, kind, priority):
        self.acquired.append((kind, priority))


async def test_every_call_passes_the_rate_limiter_and_is_counted_once(standin):
    # Calls that bypass the rate limiter would exceed the store's shared rate.
    rate_limiter = RecordingRateLimiter()
    before = standin.read_counts()
    async with Store(standin.url, rate_limiter=rate_limiter) as store:
        lease = await store.grant_lease(5)
        revision = await store.create('b', b'', lease)
        await store.swap('b', b'', revision, priority=0)
        await store.get('b')
        changes = await store.read_prefix('b')
        await store.watch('b', changes.revision, 0.2)
        await store.renew_lease(lease)
        await store.revoke_lease(lease)
        await store.delete('b')
        await store.list_hosts()
    assert rate_limiter.acquired == [
        ('write', 0),
        ('write', 1),
        ('write', 0),
        ('read', 1),
        ('read', 1),
        ('read', 1),
        ('write', 0),
        ('write', 1),
        ('write', 1),
        ('read', 1),
    ]
    after = standin.read_counts()
    made = sum(after.values()) - sum(before.values())
    assert made == len(rate_limiter.acquired) == sum(store.calls.values())
    assert after['get watch'] - before.get('get watch', 0) == 1
