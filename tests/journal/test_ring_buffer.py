"""Tests the journal's ring buffer under lost replies and changes of owner."""

import anyio
import pytest

from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item
from sassafrasgate.journal import keys
from sassafrasgate.journal import loading
from sassafrasgate.journal import ring_buffer
from sassafrasgate.journal.loading import load_journal
from sassafrasgate.journal.records import Takeover
from sassafrasgate.journal.ring_buffer import encode_snapshot
from sassafrasgate.journal.ring_buffer import Journal

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class MemoryStore:
    """In-memory store with revisions; can drop the reply to one write."""

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.lost_reply = ''
        self.reads = 0

    async def get(self, key, priority=0):
        self.reads += 1
        return self.items.get(key)

    async def read_prefix(self, prefix, priority=0):
        self.reads += 1
        found = [
            self.items[k] for k in sorted(self.items) if k.startswith(prefix)
        ]
        return Changes(self.revision, tuple(found))

    async def create(self, key, value, priority=0):
        return await self.swap(key, value, 0, priority)

    async def swap(self, key, value, revision, priority=0):
        found = self.items[key].revision if key in self.items else 0
        if found != revision:
            raise StoreConflictError(key)
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        if self.lost_reply and key.startswith(self.lost_reply):
            self.lost_reply = ''
            raise StoreUnavailableError(key)
        return self.revision

    async def delete(self, key, priority=0):
        self.items.pop(key, None)


async def take_over(store, epoch):
    loaded = await load_journal(store, 's1')
    journal = Journal(store, 's1', f'owner-{epoch}', loaded)
    journal.epoch = epoch
    await journal.append((Takeover(epoch, f'owner-{epoch}'),))
    return journal


async def write_snapshot(journal):
    data = encode_snapshot([Takeover(journal.epoch, 'snapshot')])
    await journal.write_snapshot(journal.next_sequence - 1, data)


@pytest.mark.parametrize('appended', [0, 1])
async def test_lost_reply_to_a_pointer_write_does_not_end_ownership(appended):
    # Guards against an owner that takes its own pointer for a successor's:
    # after a lost reply, the next snapshot finds an unknown revision.
    store = MemoryStore()
    journal = await take_over(store, 1)
    store.lost_reply = 'snapshot/'
    with pytest.raises(StoreUnavailableError):
        await write_snapshot(journal)
    for _ in range(appended):
        await journal.append(())
    await write_snapshot(journal)
    await journal.append(())
    await write_snapshot(journal)
    loaded = await load_journal(store, 's1')
    assert loaded.snapshot_sequence == journal.next_sequence - 1
    chunks = [key for key in store.items if key.startswith('snapshot-chunk')]
    assert len(chunks) == 1


async def test_snapshot_pointer_of_a_successor_ends_ownership():
    store = MemoryStore()
    stale = await take_over(store, 1)
    await write_snapshot(await take_over(store, 2))
    with pytest.raises(ShardLostError, match='another owner'):
        await write_snapshot(stale)


async def test_takeover_never_overwrites_an_entry_outside_the_snapshot(
    monkeypatch,
):
    # Guards against lost entries when successive owners end before their
    # first snapshot, so that their entries fill the ring.
    for module in (keys, loading, ring_buffer):
        monkeypatch.setattr(module, 'RING_SLOTS', 8)
    monkeypatch.setattr(ring_buffer, 'TAKEOVER_SLOTS', 2)
    store = MemoryStore()
    journal = await take_over(store, 1)
    while journal.has_free_slot:
        await journal.append(())
    assert journal.uncovered_entries == 6
    for epoch in (2, 3):
        assert not (await take_over(store, epoch)).has_free_slot
    with pytest.raises(ShardLostError, match='overwrite'):
        await take_over(store, 4)
    assert (await load_journal(store, 's1')).next_sequence == 9


@pytest.mark.parametrize('entries', [3, 15, 16, 17, 300])
async def test_long_log_is_read_completely_in_few_calls(entries):
    # Guards against a slow takeover: one call for each entry took longer than
    # urgent jobs may wait.
    store = MemoryStore()
    journal = await take_over(store, 1)
    for _ in range(entries):
        await journal.append((Takeover(1, 'filler'),))
    store.reads = 0
    loaded = await load_journal(store, 's1')
    assert len(loaded.records) == entries + 1
    assert loaded.next_sequence == entries + 2
    assert store.reads <= 18


async def test_slot_read_without_reply_raises_a_plain_error():
    """Guards against an exception group, which ends a new owner's process.

    The new owner retries after a plain `StoreUnavailableError`.
    """

    class UnavailableStore(MemoryStore):
        async def read_prefix(self, prefix, priority=0):
            raise StoreUnavailableError(prefix)

    with pytest.raises(StoreUnavailableError, match='read it again'):
        await load_journal(UnavailableStore(), 's1')


async def test_entry_behind_a_gap_is_ignored_by_a_successor():
    store = MemoryStore()
    stale = await take_over(store, 1)
    lost = stale.prepare((Takeover(1, 'lost'),))
    orphan = stale.prepare((Takeover(1, 'orphan'),))
    await stale.write(orphan)
    successor = await take_over(store, 2)
    loaded = await load_journal(store, 's1')
    assert [record.owner for record in loaded.records] == [
        'owner-1',
        'owner-2',
    ]
    with pytest.raises(ShardLostError, match='another owner'):
        await stale.write(lost)
    # The successor overwrites the orphan, and a reader finds only the new
    # entry.
    await successor.append((Takeover(2, 'next'),))
    loaded = await load_journal(store, 's1')
    assert [record.owner for record in loaded.records] == [
        'owner-1',
        'owner-2',
        'next',
    ]


async def test_late_write_behind_a_gap_is_overwritten():
    store = MemoryStore()
    stale = await take_over(store, 1)
    stale.prepare(())
    orphan = stale.prepare((Takeover(1, 'orphan'),))
    successor = await take_over(store, 2)
    await write_snapshot(successor)
    # The write arrives after the successor has found the slot empty.
    await stale.write(orphan)
    await successor.append((Takeover(2, 'next'),))
    (*_, last) = (await load_journal(store, 's1')).records
    assert last.owner == 'next'


async def test_orphan_right_after_a_snapshot_is_ignored():
    store = MemoryStore()
    stale = await take_over(store, 1)
    stale.prepare(())
    orphan = stale.prepare((Takeover(1, 'orphan'),))
    await stale.write(orphan)
    successor = await take_over(store, 2)
    await write_snapshot(successor)
    loaded = await load_journal(store, 's1')
    assert [record.owner for record in loaded.records] == ['snapshot']
    assert loaded.next_sequence == orphan.sequence


async def test_write_with_an_overdue_reply_is_read_back(monkeypatch):
    # Guards against waiting for the time limit of the call, which delays all
    # later records.
    monkeypatch.setattr(ring_buffer, 'MIN_READ_BACK_DELAY_S', 0.01)

    class NoReplyStore(MemoryStore):
        async def swap(self, key, value, revision, priority=0):
            await super().swap(key, value, revision, priority)
            await anyio.sleep(30)

    store = NoReplyStore()
    loaded = await load_journal(store, 's1')
    journal = Journal(store, 's1', 'owner', loaded)
    with anyio.fail_after(10):
        await journal.append((Takeover(1, 'owner'),))
        await journal.append((Takeover(1, 'again'),))
    assert (await load_journal(store, 's1')).next_sequence == 3
