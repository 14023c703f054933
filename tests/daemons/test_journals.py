"""Tests the journal task's writes, withdrawals and retries."""

from math import inf

import anyio
import pytest

from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.daemons import journals
from sassafrasgate.daemons.journals import JournalTask
from sassafrasgate.daemons.journals import run_journal
from sassafrasgate.daemons.journals import SnapshotEnded
from sassafrasgate.daemons.journals import WithdrawJob
from sassafrasgate.daemons.journals import WriteRecord
from sassafrasgate.daemons.journals import WriteSnapshot
from sassafrasgate.journal.records import AttemptRefused
from sassafrasgate.journal.records import decode_records
from sassafrasgate.journal.records import JobAccepted
from sassafrasgate.journal.ring_buffer import PendingEntry
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import WithdrawalAnswered

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


class RecordedJournal:
    """A journal whose writes wait and whose snapshots fail on request."""

    def __init__(self):
        self.has_free_slot = True
        self.next_sequence = 2
        self.appending = anyio.Event()
        self.release = anyio.Event()
        self.snapshots = []
        self.failures = 0

    def prepare(self, records):
        self.next_sequence += 1
        return PendingEntry(self.next_sequence - 1, tuple(records), b'')

    async def write(self, entry):
        self.appending.set()
        await self.release.wait()

    async def write_snapshot(self, sequence, data):
        self.snapshots.append((sequence, data))
        if self.failures:
            self.failures -= 1
            raise StoreUnavailableError('no reply')


@pytest.fixture
def parts():
    sender, inbox = anyio.create_memory_object_stream(inf)
    events, shard = anyio.create_memory_object_stream(inf)
    journal = RecordedJournal()
    task = JournalTask(journal, inbox, events, lambda seconds: None)
    yield journal, task, sender, shard
    for stream in (sender, inbox, events, shard):
        stream.close()


def make_acceptance(job_id):
    return JobAccepted(job_id, JobSpec(team='t', key=job_id))


class SlowJournal(RecordedJournal):
    """A journal whose entries are written in any order."""

    def __init__(self):
        super().__init__()
        self.writes = {}

    async def write(self, entry):
        done = self.writes.setdefault(entry.records, anyio.Event())
        self.appending.set()
        await done.wait()


async def receive(shard, kind):
    with anyio.fail_after(30):
        while not isinstance(event := await shard.receive(), kind):
            pass
    return event


async def test_a_withdrawn_job_is_not_in_a_waiting_snapshot(parts):
    # Guards against a successor that finds the job in the snapshot and runs
    # it, although the reply to its caller says that it does not run.
    journal, task, sender, shard = parts
    kept, withdrawn = make_acceptance('kept'), make_acceptance('withdrawn')
    refused = AttemptRefused('withdrawn', 's2', 1)
    async with anyio.create_task_group() as group:
        group.start_soon(task.run)
        sender.send_nowait(WriteRecord(kept))
        await journal.appending.wait()
        sender.send_nowait(WriteRecord(withdrawn))
        sender.send_nowait(WriteSnapshot((kept, withdrawn, refused)))
        sender.send_nowait(WithdrawJob('withdrawn'))
        assert (await receive(shard, WithdrawalAnswered)).withdrawn
        journal.release.set()
        await receive(shard, SnapshotEnded)
        group.cancel_scope.cancel()
    ((_, data),) = journal.snapshots
    assert decode_records(data) == (kept, refused)


async def test_a_failed_snapshot_is_retried_with_the_same_content(
    parts, monkeypatch
):
    # Guards against a snapshot that mixes chunks of two attempts: those of a
    # failed attempt stay in the store.
    monkeypatch.setattr(journals, 'SNAPSHOT_RETRY_DELAY_S', 0)
    journal, task, sender, shard = parts
    journal.failures = 2
    async with anyio.create_task_group() as group:
        group.start_soon(task.run)
        sender.send_nowait(WriteSnapshot((make_acceptance('a'),)))
        await receive(shard, SnapshotEnded)
        group.cancel_scope.cancel()
    assert len(journal.snapshots) == 3
    assert len(set(journal.snapshots)) == 1


async def test_a_full_ring_without_a_snapshot_ends_the_ownership(parts):
    # Guards against a journal that waits forever: the snapshot that would
    # free slots waits behind the record.
    journal, task, sender, _ = parts
    journal.has_free_slot = False
    sender.send_nowait(WriteRecord(make_acceptance('a')))
    with anyio.fail_after(30):
        assert 'no free slot' in await run_journal(task)


async def test_records_are_durable_only_after_all_earlier_ones():
    # Guards against a record that is reported as durable but that a successor
    # does not read, because an earlier entry is missing.
    sender, inbox = anyio.create_memory_object_stream(inf)
    events, shard = anyio.create_memory_object_stream(inf)
    journal = SlowJournal()
    task = JournalTask(
        journal, inbox, events, lambda seconds: None, max_in_flight=2
    )
    first, second, third = (make_acceptance(name) for name in 'abc')
    async with anyio.create_task_group() as group:
        group.start_soon(task.run)
        for record in (first, second, third):
            sender.send_nowait(WriteRecord(record))
            await anyio.wait_all_tasks_blocked()
        # Only `max_in_flight` entries are in flight; the third one waits.
        assert set(journal.writes) == {(first,), (second,)}
        journal.writes[second,].set()
        await anyio.wait_all_tasks_blocked()
        with pytest.raises(anyio.WouldBlock):
            shard.receive_nowait()
        journal.writes[first,].set()
        durable = [await receive(shard, RecordsDurable) for _ in range(2)]
        assert [event.records for event in durable] == [(first,), (second,)]
        group.cancel_scope.cancel()
    for stream in (sender, inbox, events, shard):
        stream.close()
