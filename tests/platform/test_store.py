"""Tests the guarantees of the platform's store that the journal relies on."""

from anyio import create_task_group
from anyio import sleep
import pytest

from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreLeaseLostError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.items import Item
from sassafrasgate.platform.store import PlatformStore
from tests.processes import find_free_address
from tests.standins.platform_store import MAX_PAGE_ITEMS


@pytest.fixture(scope='module')
def address(processes):
    address = find_free_address()
    process = processes.start(
        'store', 'tests.standins.platform_store', '--address', address
    )
    process.wait_for_log('serving')
    return address


@pytest.fixture
async def store(address):
    async with PlatformStore(f'http://{address}', timeout_s=10.0) as client:
        yield client


async def test_writes_need_the_revision_that_was_read(store):
    # Guards against two owners that both believe that their write was first.
    first = await store.create('a/one', b'\x00one')
    with pytest.raises(StoreConflictError):
        await store.create('a/one', b'two')
    second = await store.swap('a/one', b'two', first)
    with pytest.raises(StoreConflictError):
        await store.swap('a/one', b'three', first)
    with pytest.raises(StoreConflictError):
        await store.delete('a/one', first)
    assert await store.get('a/one') == Item('a/one', b'two', second)
    await store.delete('a/one', second)
    assert await store.get('a/one') is None


async def test_read_prefix_reads_all_pages(store):
    # Guards against a recovery that sees only the first page of a journal.
    names = [f'pages/{number:05d}' for number in range(MAX_PAGE_ITEMS + 7)]
    for name in names:
        await store.create(name, b'x')

    found = await store.read_prefix('pages/')

    assert [item.key for item in found.items] == names


async def test_watch_returns_changes_and_deletions_after_a_listing(store):
    # Guards against a gap between a listing and the watch that follows it.
    await store.create('w/one', b'1')
    listing = await store.read_prefix('w/')
    seen = []

    async def watch():
        seen.append(await store.watch('w/', listing.revision, 5.0))

    async with create_task_group() as group:
        group.start_soon(watch)
        await sleep(0.1)
        revision = await store.create('w/two', b'2')
    assert seen[0].items == (Item('w/two', b'2', revision),)

    await store.delete('w/one')
    changes = await store.watch('w/', seen[0].revision, 5.0)
    assert [(item.key, item.value) for item in changes.items] == [
        ('w/one', None)
    ]


async def test_expired_lease_deletes_its_keys(store):
    # Guards against a dead owner that stays registered.
    lease = await store.grant_lease(0.4)
    await store.create('l/one', b'1', lease)
    assert await store.renew_lease(lease)
    await sleep(0.8)

    assert await store.get('l/one') is None
    assert not await store.renew_lease(lease)
    with pytest.raises(StoreLeaseLostError):
        await store.create('l/two', b'2', lease)
    await store.revoke_lease(lease)


async def test_write_to_an_unreachable_store_counts_as_not_sent():
    # Guards against waiting for the effect of a write that was never sent.
    address = find_free_address()
    async with PlatformStore(f'http://{address}', timeout_s=1.0) as store:
        with pytest.raises(StoreUnavailableError) as caught:
            await store.create('u/one', b'1')

    assert not caught.value.sent
