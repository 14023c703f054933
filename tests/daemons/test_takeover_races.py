"""Takeovers of a shard whose previous owner lives and writes its journal."""

from dataclasses import replace

import pytest

from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.daemons.takeovers import take_over_shard
from sassafrasgate.dispatch.recovery import list_snapshot_records
from sassafrasgate.dispatch.recovery import replay_records
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.dispatch.transitions import decide
from sassafrasgate.journal.keys import make_entry_key
from sassafrasgate.journal.loading import load_journal
from sassafrasgate.journal.records import encode_records
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.protocol.workflows import CountPending
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.ownership import OwnerLease
from tests.dispatch.simulation import QUEUE
from tests.journal.test_ring_buffer import MemoryStore

pytestmark = pytest.mark.anyio

DEMAND = Resources(1000, 512, 0, 1, 1)
WORKFLOW = Workflow('payload', (Step(1, DEMAND),))


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class RacingStore(MemoryStore):
    """A store in which writes can be made to land just before another.

    Parameters of `race`: the key of the write that comes too late, and the
    function that writes before it, once.
    """

    def __init__(self):
        super().__init__()
        self._races = {}

    def race(self, key, write):
        self._races[key] = write

    async def swap(self, key, value, revision, priority=0):
        write = self._races.pop(key, None)
        if write is not None:
            await write()
        return await super().swap(key, value, revision, priority)


class Owner:
    """An owner's state and journal, without the rest of the process."""

    def __init__(self, store, name):
        self.store = store
        self.state = DispatchState('cell', name)
        self.lease = OwnerLease(now_ms(), ttl_ms=60_000, grace_ms=0)
        self.event = None
        self.journal = None

    async def take_over(self, handed_over=None):
        done = await take_over_shard(
            self.state,
            self.store,
            lambda: self.lease,
            lambda: None,
            handed_over,
        )
        self.journal, self.event = done.journal, done.event

    def prepare(self, job_id):
        record = WorkflowAccepted(job_id, QUEUE, WORKFLOW, 0)
        return self.journal.prepare((record,))

    async def accept(self, job_id):
        """Write a job's acceptance; it is acknowledged when this returns."""
        entry = self.prepare(job_id)
        await self.journal.write(entry)
        replay_records(self.state, entry.records)

    async def write_snapshot(self):
        data = encode_records(list_snapshot_records(self.state))
        await self.journal.write_snapshot(self.journal.next_sequence - 1, data)


async def make_owner(store, name):
    owner = Owner(store, name)
    await owner.take_over()
    return owner


async def list_stored_jobs(store):
    """Return the jobs that another owner would know."""
    reader = DispatchState('cell', 'reader')
    replay_records(reader, (await load_journal(store, 'cell')).records)
    return set(reader.jobs)


@pytest.mark.parametrize('entries', [1, 3])
async def test_entries_of_a_living_owner_survive_a_takeover(entries):
    # Guards against acknowledged jobs that are unknown to later owners: the
    # takeover record overwrote entries that the previous owner had written
    # after the new one had read the journal.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    await old.accept('before')
    jobs = [f'during-{number}' for number in range(entries)]

    async def accept_jobs():
        for job_id in jobs:
            await old.accept(job_id)

    store.race(make_entry_key('cell', 3), accept_jobs)
    new = Owner(store, 'e2/1')
    await new.take_over()
    assert set(new.state.jobs) == {'before', *jobs}
    await new.accept('after')
    assert await list_stored_jobs(store) == {'before', *jobs, 'after'}
    with pytest.raises(ShardLostError):
        await old.accept('too-late')
    assert new.state.epoch == old.state.epoch + 1


async def test_count_after_a_takeover_has_what_was_accepted_during_it():
    # Guards against a queue that is said to be empty while jobs wait: those
    # whose entries the takeover had overwritten were not counted.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    await old.accept('before')
    store.race(make_entry_key('cell', 3), lambda: old.accept('during'))
    new = await make_owner(store, 'e2/1')
    question = RequestReceived(7, CountPending(QUEUE.name), 0)
    (reply,) = decide(new.state, question, now_ms(), 0)
    assert reply.message.count == 2


async def test_each_entry_of_a_fast_previous_owner_is_kept():
    # Guards against a new owner that reads the new entries only once: the
    # previous owner may be faster several times.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    for sequence in range(2, 6):
        job_id = f'job-{sequence}'
        store.race(
            make_entry_key('cell', sequence),
            lambda job_id=job_id: old.accept(job_id),
        )
    new = Owner(store, 'e2/1')
    await new.take_over()
    assert dict(new.event.fields)['conflicts'] == 4
    assert set(new.state.jobs) == {f'job-{number}' for number in range(2, 6)}


async def test_unacknowledged_entry_of_a_living_owner_is_kept_or_lost_whole():
    # Guards against a job that its owner may still acknowledge although the
    # new owner has overwritten its entry: the store has carried out the
    # write, and the reply is lost.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    entry = old.prepare('unconfirmed')

    async def write_without_reply():
        store.lost_reply = make_entry_key('cell', entry.sequence)
        with pytest.raises(StoreUnavailableError):
            await store.create(
                make_entry_key('cell', entry.sequence), entry.value
            )

    store.race(make_entry_key('cell', entry.sequence), write_without_reply)
    new = await make_owner(store, 'e2/1')
    await new.accept('next')
    # The previous owner repeats the write and finds its own entry.
    await old.journal.write(entry)
    assert await list_stored_jobs(store) == {'unconfirmed', 'next'}


async def test_entries_in_flight_behind_the_takeover_are_replaced():
    # Guards against a log that ends at, or contains, an entry that the
    # previous owner sent concurrently with one that never landed.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    lost, *orphans = [old.prepare(f'in-flight-{n}') for n in range(3)]

    async def write_orphans():
        for orphan in orphans:
            await old.journal.write(orphan)

    store.race(make_entry_key('cell', lost.sequence), write_orphans)
    new = await make_owner(store, 'e2/1')
    with pytest.raises(ShardLostError):
        await old.journal.write(lost)
    await new.accept('next')
    await new.accept('second')
    assert await list_stored_jobs(store) == {'next', 'second'}


async def test_entries_in_flight_around_the_takeover_are_kept_up_to_the_gap():
    # Guards against both errors at once: of three entries in flight the first
    # lands before the takeover record, the second never, the third after it.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    first, second, third = [old.prepare(f'in-flight-{n}') for n in range(3)]

    async def write_first_and_third():
        await old.journal.write(first)
        await old.journal.write(third)

    store.race(make_entry_key('cell', first.sequence), write_first_and_third)
    new = await make_owner(store, 'e2/1')
    with pytest.raises(ShardLostError):
        await old.journal.write(second)
    await new.accept('next')
    assert await list_stored_jobs(store) == {'in-flight-0', 'next'}


async def test_snapshots_of_both_owners_hold_what_was_acknowledged():
    # Guards against a snapshot of the previous owner's state under the number
    # of the new owner's: chunks that existed already were kept.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')

    async def accept_and_snapshot():
        await old.accept('during')
        store.lost_reply = 'snapshot/'
        with pytest.raises(StoreUnavailableError):
            await old.write_snapshot()

    store.race(make_entry_key('cell', 2), accept_and_snapshot)
    new = await make_owner(store, 'e2/1')
    await new.write_snapshot()
    assert await list_stored_jobs(store) == {'during'}
    await new.accept('after')
    await new.write_snapshot()
    assert await list_stored_jobs(store) == {'during', 'after'}
    assert (await load_journal(store, 'cell')).epoch == new.state.epoch


async def test_leftover_chunk_of_the_same_number_is_replaced():
    # Guards against a pointer to another owner's chunks, such as those that an
    # earlier release has left under a number that it then lost.
    store = RacingStore()
    owner = await make_owner(store, 'e1/1')
    store.items.update(await _make_leftover_chunk(owner))
    await owner.accept('job')
    await owner.write_snapshot()
    assert await list_stored_jobs(store) == {'job'}


async def _make_leftover_chunk(owner):
    other = MemoryStore()
    writer = await make_owner(other, 'e0/1')
    await writer.accept('never-accepted')
    await writer.write_snapshot()
    return {
        key: replace(item, revision=900)
        for key, item in other.items.items()
        if key.startswith('snapshot-chunk')
    }


async def test_snapshot_of_a_successor_with_entries_in_flight_is_kept():
    # Guards against a previous owner that replaces its successor's snapshot
    # and deletes its chunks: entries in flight gave it a higher next number
    # than the successor's snapshot covers.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    await old.accept('before')
    snapshot_sequence = old.journal.next_sequence - 1
    data = encode_records(list_snapshot_records(old.state))
    for number in range(3):
        old.prepare(f'in-flight-{number}')
    new = await make_owner(store, 'e2/1')
    await new.write_snapshot()
    with pytest.raises(ShardLostError):
        await old.journal.write_snapshot(snapshot_sequence, data)
    loaded = await load_journal(store, 'cell')
    assert loaded.epoch == new.state.epoch
    assert loaded.snapshot_sequence == new.journal.next_sequence - 1


async def test_takeover_ends_when_the_lease_expires_during_a_conflict():
    # Guards against a process that takes a shard over without a lease, after
    # a previous owner has been faster.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    new = Owner(store, 'e2/1')

    async def accept_after_expiry():
        await old.accept('during')
        new.lease = OwnerLease(now_ms() - 2_000, ttl_ms=1_000, grace_ms=0)

    store.race(make_entry_key('cell', 2), accept_after_expiry)
    with pytest.raises(ShardLostError, match='lease expired'):
        await new.take_over()
    await old.accept('later')
    assert await list_stored_jobs(store) == {'during', 'later'}


async def test_handed_over_journal_is_given_up_when_the_owner_goes_on():
    # Guards against two owners after an offer whose reply was late: the
    # previous owner has written its next entry.
    store = RacingStore()
    old = await make_owner(store, 'e1/1')
    position = await old.journal.export_position()
    offer = replace(
        position, records=tuple(list_snapshot_records(old.state)), epoch=0
    )
    await old.accept('after-the-offer')
    new = Owner(store, 'e2/1')
    with pytest.raises(ShardLostError, match='e1/1'):
        await new.take_over(offer)
    await old.accept('later')
    assert await list_stored_jobs(store) == {'after-the-offer', 'later'}


async def test_second_claimant_of_one_epoch_gives_up():
    # Guards against two owners of one epoch: both have read the same log, and
    # only one of them writes its takeover record.
    store = RacingStore()
    await make_owner(store, 'e1/1')
    rival = Owner(store, 'e3/1')
    store.race(make_entry_key('cell', 2), rival.take_over)
    with pytest.raises(ShardLostError):
        await make_owner(store, 'e2/1')
    await rival.accept('job')
    assert await list_stored_jobs(store) == {'job'}
