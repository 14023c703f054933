"""The task that writes one shard's journal.

While entries are being written, new records are collected for the next one.
The number of writes therefore depends on the store's speed and not on the
load.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from time import perf_counter
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.streams import receive_batches
from sassafrasgate.journal.records import AttemptRefused
from sassafrasgate.journal.ring_buffer import encode_snapshot
from sassafrasgate.observability.clocks import wall_ms
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import WithdrawalAnswered

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectReceiveStream

    from sassafrasgate.daemons.inboxes import EventSender
    from sassafrasgate.journal.ring_buffer import Journal
    from sassafrasgate.journal.ring_buffer import PendingEntry

MAX_ENTRY_RECORDS = 2_000
MAX_ENTRY_SIZE_BYTES = 512 * 1024
SNAPSHOT_RETRY_DELAY_S = 1.0
# Kinds of records that create a job.
ACCEPTANCE_KINDS = frozenset({'accepted', 'workflow-accepted'})


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Make a record durable; the reply is a `RecordsDurable`."""

    record: Any


@dataclass(frozen=True, slots=True)
class WithdrawJob:
    """Drop a job's unwritten records; the reply is a `WithdrawalAnswered`."""

    job_id: str


@dataclass(frozen=True, slots=True)
class SnapshotEnded:
    """The requested snapshot has been written."""


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Write a snapshot of the state.

    Parameters
    ----------
    records : tuple
        Records that restore the state after all records that were sent to
        the journal task before this message.
    """

    records: tuple[Any, ...]


class JournalTask:
    """Writes the journal and owns the records not yet written.

    Parameters
    ----------
    journal : Journal
        Positioned after this owner's takeover record.
    inbox : MemoryObjectReceiveStream
        Delivers `WriteRecord`, `WithdrawJob` and `WriteSnapshot`.
    events : EventSender
        The shard task's inbox.
    observe : callable
        Receives the duration of each append in seconds.
    batch_delay_s : float
        Time in seconds that a record waits for others to share its entry.
    max_in_flight : int
        Largest number of entries that are written concurrently.
    """

    def __init__(
        self,
        journal: Journal,
        inbox: MemoryObjectReceiveStream[Any],
        events: EventSender,
        observe: Callable[[float], None],
        batch_delay_s: float = 0.0,
        max_in_flight: int = 1,
    ) -> None:
        self._journal = journal
        self._inbox = inbox
        self._events = events
        self._observe = observe
        self._batch_delay_s = batch_delay_s
        self._max_in_flight = max_in_flight
        # Entries in flight, oldest first, and the sequence numbers of those
        # that have been written.
        self._in_flight: deque[PendingEntry] = deque()
        self._written: set[int] = set()
        self._waiting: deque[Any] = deque()
        self._snapshot_running = False
        self._wakeup = anyio.Event()

    async def run(self) -> None:
        """Write until the inbox has closed and all records are written.

        Raises
        ------
        ShardLostError
            If another process has taken the shard over, or if it has to:
            the ring is full, and the snapshot that would free slots waits
            behind records that need a slot.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_entries, tasks)
            async for batch in receive_batches(self._inbox):
                for message in batch:
                    await self._handle_message(message)
            self._waiting.append(None)
            self._wakeup.set()

    async def _handle_message(self, message: Any) -> None:
        if isinstance(message, WithdrawJob):
            await self._withdraw_records(message.job_id)
            return
        self._waiting.append(message)
        self._wakeup.set()

    async def _withdraw_records(self, job_id: str) -> None:
        """Drop a job's records if its acceptance is not written yet."""
        job_messages = [
            message
            for message in self._waiting
            if isinstance(message, WriteRecord)
            and getattr(message.record, 'job_id', '') == job_id
        ]
        accepted = any(
            message.record.kind in ACCEPTANCE_KINDS for message in job_messages
        )
        if accepted:
            dropped = {id(message) for message in job_messages}
            self._waiting = deque(
                _remove_job_records(message, job_id)
                for message in self._waiting
                if id(message) not in dropped
            )
        dropped_records = len(job_messages) if accepted else 0
        await self._events.send(
            WithdrawalAnswered(job_id, accepted, dropped_records)
        )

    async def _write_entries(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            while not self._waiting:
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
            first = self._waiting[0]
            if first is None:
                # The task group waits for the entries in flight.
                return
            if isinstance(first, WriteSnapshot) and not self._in_flight:
                self._waiting.popleft()
                self._start_snapshot(tasks, first)
                continue
            if not self._may_write(first):
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
                continue
            if self._batch_delay_s:
                await anyio.sleep(self._batch_delay_s)
                if not _begins_with_record(self._waiting):
                    # The record has been withdrawn in the meantime.
                    continue
            entry = self._journal.prepare(self._take_batch())
            self._in_flight.append(entry)
            tasks.start_soon(self._write_entry, entry)

    def _may_write(self, first: Any) -> bool:
        """Return whether the next entry may be written now."""
        if isinstance(first, WriteSnapshot):
            # The snapshot covers the records before it, which have to be
            # written first.
            return False
        if len(self._in_flight) >= self._max_in_flight:
            return False
        if not self._journal.has_free_slot:
            # Overwriting a slot that no snapshot covers would lose records.
            self._check_snapshot_running()
            return False
        return True

    async def _write_entry(self, entry: PendingEntry) -> None:
        started = perf_counter()
        await self._journal.write(entry)
        self._observe(perf_counter() - started)
        self._written.add(entry.sequence)
        # An entry is durable only once all entries before it are written: a
        # successor stops reading at the first gap.
        while self._in_flight and (
            self._in_flight[0].sequence in self._written
        ):
            done = self._in_flight.popleft()
            self._written.discard(done.sequence)
            await self._events.send(RecordsDurable(done.records, wall_ms()))
        self._wakeup.set()

    def _check_snapshot_running(self) -> None:
        """Raise an error if no snapshot is running that will free slots.

        The next owner writes a snapshot at its takeover.
        """
        if not self._snapshot_running:
            raise ShardLostError(
                'the journal has no free slot for the records before the next '
                'snapshot; this process steps down'
            )

    def _take_batch(self) -> tuple[Any, ...]:
        """Remove and return records for one entry."""
        records: list[Any] = []
        size = 0
        while self._waiting and len(records) < MAX_ENTRY_RECORDS:
            message = self._waiting[0]
            if not isinstance(message, WriteRecord):
                break
            size += estimate_record_size(message.record)
            if records and size > MAX_ENTRY_SIZE_BYTES:
                break
            records.append(message.record)
            self._waiting.popleft()
        return tuple(records)

    def _start_snapshot(
        self, tasks: anyio.abc.TaskGroup, message: WriteSnapshot
    ) -> None:
        if self._snapshot_running:
            return
        self._snapshot_running = True
        sequence = self._journal.next_sequence - 1
        tasks.start_soon(self._write_snapshot, sequence, message.records)

    async def _write_snapshot(
        self, sequence: int, records: tuple[Any, ...]
    ) -> None:
        data = encode_snapshot(records)
        # A retry writes the same content, since a failed attempt may have
        # left some of its chunks in the store.
        while True:
            try:
                await self._journal.write_snapshot(sequence, data)
                break
            except StoreUnavailableError:
                await anyio.sleep(SNAPSHOT_RETRY_DELAY_S)
        self._snapshot_running = False
        self._wakeup.set()
        await self._events.send(SnapshotEnded())


def _begins_with_record(waiting: deque[Any]) -> bool:
    return bool(waiting) and isinstance(waiting[0], WriteRecord)


def _remove_job_records(message: Any, job_id: str) -> Any:
    """Remove a job's records from a message that holds a snapshot.

    The snapshot was taken while the job was still to be accepted. A
    successor that found the job in it would run a job whose caller has been
    told that it does not run.
    """
    if not isinstance(message, WriteSnapshot):
        return message
    kept = (
        record
        for record in message.records
        if getattr(record, 'job_id', '') != job_id
        or isinstance(record, AttemptRefused)
    )
    return WriteSnapshot(tuple(kept))


def estimate_record_size(record: Any) -> int:
    """Return the approximate encoded size of a record in bytes.

    The fields other than payload and output are taken as 256 bytes.
    """
    spec = getattr(record, 'spec', None)
    outcome = getattr(record, 'outcome', None)
    payload = len(spec.payload) if spec is not None else 0
    output = len(outcome.output) if outcome is not None else 0
    return 256 + payload + output


async def run_journal(task: JournalTask) -> str:
    """Run a journal task until it ends.

    Returns
    -------
    str
        The reason why the shard was lost; empty if it was not.
    """
    reason = ''
    try:
        await task.run()
    except* ShardLostError as group:
        reason = str(group.exceptions[0])
    return reason
