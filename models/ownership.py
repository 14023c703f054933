"""Ownership of a shard: the journal as a ring buffer of slots.

The model has no clock: a process may claim the shard at any time, which
covers every expiry of a lease and every pause of an owner. `fencing` models
the store lease and a worker. The rules for slots are imported from the
product's code.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.journal.slots import classify_slot
from sassafrasgate.journal.slots import is_slot_covered
from sassafrasgate.journal.slots import is_successor_pointer
from sassafrasgate.journal.slots import SlotState

if TYPE_CHECKING:
    from models.specifications import Predicate
    from models.specifications import Transition

TAKEOVER = -1
UNKNOWN_REVISION = -1

SLOT_SWAP = 'compare-and-swap of the slot'
READ_BACK_REWRITE = 'read-back before a rewrite'
READ_BACK_STEP_DOWN = 'read-back before stepping down'
SAME_CONTENT = 'rewrite with the same content'
OVERWRITE_COVERED_ONLY = 'overwrite only of entries in the snapshot'
TAKEOVER_COVERED_ONLY = 'takeover only over entries in the snapshot'
RESTART_READ = 'reader of a newer entry restarts its read'
POINTER_SWAP = 'compare-and-swap of the snapshot pointer'
POINTER_COMPARED = 'moved pointer compared with the sequence'
TAKEOVER_FIRST = 'takeover record before serving'
SLOT_READ = 'unknown slot read before it is written'
SLOT_COMPARED = 'unknown slot compared with the sequence'
WITHDRAW_UNSENT_ONLY = 'withdrawal only of unsent records'
APPEND_GUARDS = (
    SLOT_SWAP,
    READ_BACK_REWRITE,
    READ_BACK_STEP_DOWN,
    SAME_CONTENT,
    WITHDRAW_UNSENT_ONLY,
    TAKEOVER_FIRST,
    SLOT_READ,
    SLOT_COMPARED,
)
RING_GUARDS = (
    SLOT_SWAP,
    READ_BACK_REWRITE,
    READ_BACK_STEP_DOWN,
    SAME_CONTENT,
    OVERWRITE_COVERED_ONLY,
    TAKEOVER_COVERED_ONLY,
    RESTART_READ,
    POINTER_SWAP,
    POINTER_COMPARED,
    TAKEOVER_FIRST,
    SLOT_READ,
    SLOT_COMPARED,
)


class Entry(NamedTuple):
    """A journal entry: a takeover record, or the number of a record."""

    writer: int
    epoch: int
    sequence: int
    content: int


class Slot(NamedTuple):
    """A slot of the ring buffer; revision 0 means that it is empty."""

    entry: Entry | None = None
    revision: int = 0


class Write(NamedTuple):
    """A conditional write of a slot that may still take effect."""

    entry: Entry
    revision: int


class Pointer(NamedTuple):
    """The snapshot pointer and the records of the snapshot."""

    sequence: int
    records: frozenset[int]
    epoch: int
    revision: int


class Process(NamedTuple):
    """A scheduler process and its knowledge.

    Parameters
    ----------
    phase : str
        ``idle``, ``read`` (reads slot after slot), ``send`` (is about to
        send an append), ``unconfirmed`` (the reply to the append is
        missing), ``conflict``, ``serve``, ``snapshot`` (has written the
        snapshot's chunks) or ``stopped``.
    epoch, next_sequence : int
        Epoch of the process, and sequence number of its next entry.
    known_records : frozenset of int
        Records that the process knows.
    pending : int
        Content of the entry to append: the number of a record or `TAKEOVER`.
    revisions : tuple of int
        Last known revision of each slot, or `UNKNOWN_REVISION`.
    snapshot_sequence, known_pointer : int
        Last known sequence number and revision of the snapshot pointer.
    """

    phase: str
    epoch: int
    next_sequence: int
    known_records: frozenset[int]
    pending: int
    revisions: tuple[int, ...]
    snapshot_sequence: int
    known_pointer: int


class RingState(NamedTuple):
    """State of the store and the processes.

    Parameters
    ----------
    slots : tuple of Slot
        The ring buffer.
    pointer : Pointer
        The snapshot.
    processes : tuple of Process
        The processes; the first one owns the shard initially.
    delayed_writes : frozenset of Write
        Writes that may still take effect although no process waits for them.
    confirmed_appends : frozenset of (int, int)
        Sequence number and writer of each append that its writer considers
        done.
    acknowledged, reported_not_run : frozenset of int
        Records acknowledged to callers, and records of which callers were
        told that they were not run.
    submitted : int
        Number of records submitted.
    false_step_down : bool
        Whether a process has stepped down without having a successor.
    """

    slots: tuple[Slot, ...]
    pointer: Pointer
    processes: tuple[Process, ...]
    delayed_writes: frozenset[Write]
    confirmed_appends: frozenset[tuple[int, int]]
    acknowledged: frozenset[int]
    reported_not_run: frozenset[int]
    submitted: int
    false_step_down: bool


ProcessTransitions = Iterator[tuple[str, RingState, Process]]
NO_RECORDS: frozenset[int] = frozenset()


def _is_serving(process: Process) -> bool:
    if process.phase in ('serve', 'snapshot'):
        return True
    return process.pending != TAKEOVER and process.phase != 'stopped'


def _classify(slot: Slot, expected: int) -> SlotState:
    found = None if slot.entry is None else slot.entry.sequence
    return classify_slot(found, expected)


def _list_log_entries(state: RingState) -> list[Entry]:
    """Return the entries that a reader finds after the snapshot."""
    entries: list[Entry] = []
    sequence = state.pointer.sequence + 1
    while True:
        slot = state.slots[sequence % len(state.slots)]
        if slot.entry is None or (
            _classify(slot, sequence) is not SlotState.PRESENT
        ):
            return entries
        entries.append(slot.entry)
        sequence += 1


def _list_stored_records(state: RingState) -> list[int]:
    """Return the records that a reader finds in snapshot and log."""
    records = [entry.content for entry in _list_log_entries(state)]
    return [*state.pointer.records, *(r for r in records if r != TAKEOVER)]


class _RingTransitions:
    """Transitions of the processes for a set of active guards.

    Parameters
    ----------
    guards : frozenset of str
        Active guards.
    max_sequence, max_records : int
        Highest sequence number, and maximum number of records submitted.
    max_delayed_writes : int
        Maximum number of writes in flight whose writers no longer wait for
        the reply.
    takes_snapshots : bool
        Whether owners take snapshots; otherwise they withdraw unsent
        records.
    """

    def __init__(
        self,
        guards: frozenset[str],
        max_sequence: int,
        max_records: int,
        max_delayed_writes: int,
        takes_snapshots: bool,
    ) -> None:
        self.guards = guards
        self.max_sequence = max_sequence
        self.max_records = max_records
        self.max_delayed_writes = max_delayed_writes
        self.takes_snapshots = takes_snapshots

    def list_transitions(self, state: RingState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        for number, process in enumerate(state.processes):
            list_from_phase = getattr(self, f'_list_from_{process.phase}')
            for label, store, after in list_from_phase(state, number, process):
                processes = (
                    *state.processes[:number],
                    after,
                    *state.processes[number + 1 :],
                )
                yield (
                    f'process {number}: {label}',
                    store._replace(processes=processes),
                )
        for write in state.delayed_writes:
            remaining = state._replace(
                delayed_writes=state.delayed_writes - {write}
            )
            after, _ = self._write_slot(remaining, write)
            yield f'delayed write {write.entry}', after

    def _write_slot(
        self, state: RingState, write: Write
    ) -> tuple[RingState, bool]:
        """Return the store after a write and whether it took effect."""
        number = write.entry.sequence % len(state.slots)
        revision = state.slots[number].revision
        unconditional = (
            SLOT_SWAP not in self.guards or write.revision == UNKNOWN_REVISION
        )
        if revision != write.revision and not unconditional:
            return state, False
        slots = list(state.slots)
        slots[number] = Slot(write.entry, revision + 1)
        return state._replace(slots=tuple(slots)), True

    def _list_from_idle(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        # Idle processes are interchangeable, so the model needs only one order
        # of claims.
        if number and state.processes[number - 1].phase == 'idle':
            return
        pointer = state.pointer
        after = process._replace(
            phase='read',
            epoch=pointer.epoch,
            next_sequence=pointer.sequence + 1,
            known_records=pointer.records,
            snapshot_sequence=pointer.sequence,
            known_pointer=pointer.revision,
        )
        yield 'reads the snapshot', state, after

    def _list_from_read(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        slot = state.slots[process.next_sequence % len(state.slots)]
        found = _classify(slot, process.next_sequence)
        if found is SlotState.PRESENT and slot.entry is not None:
            after = process._replace(
                epoch=max(process.epoch, slot.entry.epoch),
                next_sequence=process.next_sequence + 1,
                known_records=process.known_records
                | ({slot.entry.content} - {TAKEOVER}),
            )
            yield 'reads an entry', state, after
            return
        if found is SlotState.NEWER and RESTART_READ in self.guards:
            yield 'restarts its read', state, self._make_idle_process(state)
            return
        if not self._may_write(process, 0, TAKEOVER_COVERED_ONLY):
            return
        after = self._set_revision(process, slot.revision)._replace(
            phase='send' if TAKEOVER_FIRST in self.guards else 'serve',
            epoch=process.epoch + 1,
        )
        yield 'reads the end of the log', state, after

    def _list_from_send(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        slot_number = process.next_sequence % len(state.slots)
        if (
            process.revisions[slot_number] == UNKNOWN_REVISION
            and SLOT_READ in self.guards
        ):
            slot = state.slots[slot_number]
            found = _classify(slot, process.next_sequence)
            if found is SlotState.FREE or SLOT_COMPARED not in self.guards:
                learned = self._set_revision(process, slot.revision)
                yield 'reads the slot', state, learned
                return
            yield self._step_down(state, number, process, 'slot is taken')
            return
        entry = Entry(
            number, process.epoch, process.next_sequence, process.pending
        )
        write = Write(entry, process.revisions[slot_number])
        store, done = self._write_slot(state, write)
        if done:
            yield self._complete_append(store, number, process)
        else:
            yield 'conflict', state, process._replace(phase='conflict')
        unconfirmed = process._replace(phase='unconfirmed')
        if done:
            yield 'write done, reply lost', store, unconfirmed
        if len(state.delayed_writes) < self.max_delayed_writes:
            delayed_writes = state.delayed_writes | {write}
            yield (
                'no reply yet',
                state._replace(delayed_writes=delayed_writes),
                unconfirmed,
            )

    def _list_from_unconfirmed(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        retry = process._replace(phase='send')
        yield 'repeats the write', state, retry
        if process.pending == TAKEOVER:
            return
        if WITHDRAW_UNSENT_ONLY not in self.guards:
            reported_not_run = state.reported_not_run | {process.pending}
            yield (
                'withdraws',
                state._replace(reported_not_run=reported_not_run),
                process,
            )
        if READ_BACK_REWRITE not in self.guards and self._may_write(retry, 1):
            after = retry._replace(next_sequence=process.next_sequence + 1)
            yield 'repeats the write at the next sequence number', state, after
        if (
            SAME_CONTENT not in self.guards
            and state.submitted < self.max_records
        ):
            submitted = state._replace(submitted=state.submitted + 1)
            other_record = retry._replace(pending=state.submitted)
            yield 'writes another record', submitted, other_record

    def _list_from_conflict(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        slot = state.slots[process.next_sequence % len(state.slots)]
        entry = Entry(
            number, process.epoch, process.next_sequence, process.pending
        )
        if READ_BACK_STEP_DOWN in self.guards and slot.entry == entry:
            yield self._complete_append(state, number, process)
            return
        yield self._step_down(
            state, number, process, 'lost the sequence number'
        )

    def _list_from_serve(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        if state.submitted < self.max_records and self._may_write(process, 0):
            after = process._replace(phase='send', pending=state.submitted)
            yield (
                'appends',
                state._replace(submitted=state.submitted + 1),
                after,
            )
        if state.submitted < self.max_records and not self.takes_snapshots:
            reported_not_run = state.reported_not_run | {state.submitted}
            submitted = state._replace(
                submitted=state.submitted + 1,
                reported_not_run=reported_not_run,
            )
            yield 'withdraws an unsent record', submitted, process
        if (
            self.takes_snapshots
            and process.next_sequence - 1 > process.snapshot_sequence
        ):
            yield 'writes chunks', state, process._replace(phase='snapshot')

    def _list_from_snapshot(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        old = state.pointer
        if (
            POINTER_SWAP in self.guards
            and old.revision != process.known_pointer
        ):
            is_own_pointer = not is_successor_pointer(
                old.sequence,
                old.epoch,
                process.next_sequence,
                process.epoch,
            )
            if is_own_pointer and POINTER_COMPARED in self.guards:
                known = process._replace(known_pointer=old.revision)
                if old.sequence == process.next_sequence - 1:
                    known = known._replace(
                        phase='serve', snapshot_sequence=old.sequence
                    )
                yield 'reads the moved pointer', state, known
                return
            yield self._step_down(state, number, process, 'lost the pointer')
            return
        new = Pointer(
            process.next_sequence - 1,
            process.known_records,
            process.epoch,
            old.revision + 1,
        )
        store = state._replace(pointer=new)
        after = process._replace(
            phase='serve',
            snapshot_sequence=new.sequence,
            known_pointer=new.revision,
        )
        yield 'swaps the pointer', store, after
        unconfirmed = process._replace(phase='serve')
        yield 'pointer swapped, reply lost', store, unconfirmed

    def _list_from_stopped(
        self, state: RingState, number: int, process: Process
    ) -> ProcessTransitions:
        yield from ()

    def _may_write(
        self,
        process: Process,
        offset: int,
        guard: str = OVERWRITE_COVERED_ONLY,
    ) -> bool:
        """Tell whether the process may write the entry at an offset.

        Offset 0 is the next entry.
        """
        sequence = process.next_sequence + offset
        if sequence > self.max_sequence:
            return False
        slots = len(process.revisions)
        return guard not in self.guards or (
            is_slot_covered(sequence, process.snapshot_sequence, slots)
        )

    def _complete_append(
        self, state: RingState, number: int, process: Process
    ) -> tuple[str, RingState, Process]:
        """Record the append as done and learn the revision of its slot."""
        slot = state.slots[process.next_sequence % len(state.slots)]
        store = state._replace(
            confirmed_appends=state.confirmed_appends
            | {(process.next_sequence, number)}
        )
        after = self._set_revision(process, slot.revision)._replace(
            phase='serve',
            next_sequence=process.next_sequence + 1,
            pending=TAKEOVER,
        )
        if process.pending == TAKEOVER:
            return 'serves', store, after
        record = {process.pending}
        store = store._replace(acknowledged=state.acknowledged | record)
        return (
            'acknowledges',
            store,
            after._replace(known_records=after.known_records | record),
        )

    def _set_revision(self, process: Process, revision: int) -> Process:
        revisions = list(process.revisions)
        revisions[process.next_sequence % len(revisions)] = revision
        return process._replace(revisions=tuple(revisions))

    def _step_down(
        self, state: RingState, number: int, process: Process, label: str
    ) -> tuple[str, RingState, Process]:
        """Stop the process and record whether it lacks a successor.

        It lacks one if no other process has written an entry with the next
        sequence number or a higher one.
        """
        has_successor = any(
            slot.entry is not None
            and slot.entry.writer != number
            and slot.entry.sequence >= process.next_sequence
            for slot in state.slots
        )
        store = state._replace(
            false_step_down=state.false_step_down or not has_successor
        )
        return (
            label,
            store,
            self._make_idle_process(state)._replace(phase='stopped'),
        )

    def _make_idle_process(self, state: RingState) -> Process:
        unknown = (UNKNOWN_REVISION,) * len(state.slots)
        return Process('idle', 0, 0, NO_RECORDS, TAKEOVER, unknown, 0, 0)


def _does_owner_know_acknowledged(state: RingState) -> bool:
    """Tell whether the latest owner knows all acknowledged records."""
    epochs = [slot.entry.epoch for slot in state.slots if slot.entry]
    last = max([state.pointer.epoch, *epochs])
    return all(
        state.acknowledged <= process.known_records
        for process in state.processes
        if _is_serving(process) and process.epoch >= last
    )


def _is_epoch_unique(state: RingState) -> bool:
    epochs = [p.epoch for p in state.processes if _is_serving(p)]
    return len(epochs) == len(set(epochs))


INVARIANTS: dict[str, Predicate] = {
    'one append is confirmed per sequence number': lambda s: (
        len({at for at, _ in s.confirmed_appends}) == len(s.confirmed_appends)
    ),
    'an acknowledged record is stored': lambda s: (
        s.acknowledged <= set(_list_stored_records(s))
    ),
    'a record is stored once': lambda s: (
        len(_list_stored_records(s)) == len(set(_list_stored_records(s)))
    ),
    'a record reported as not run is not stored': lambda s: (
        not s.reported_not_run & set(_list_stored_records(s))
    ),
    'the owner knows acknowledged records': _does_owner_know_acknowledged,
    'one owner per epoch': _is_epoch_unique,
    'an owner steps down only for a successor': lambda s: (
        not s.false_step_down
    ),
}


def _make_initial(slots: int, processes: int) -> RingState:
    """Return a ring buffer that holds the takeover of process 0."""
    ring = [Slot()] * slots
    ring[1] = Slot(Entry(0, 1, 1, TAKEOVER), 1)
    unknown = (UNKNOWN_REVISION,) * slots
    known = (UNKNOWN_REVISION, 1, *unknown[2:])
    owner = Process('serve', 1, 2, NO_RECORDS, TAKEOVER, known, 0, 0)
    idle = Process('idle', 0, 0, NO_RECORDS, TAKEOVER, unknown, 0, 0)
    return RingState(
        slots=tuple(ring),
        pointer=Pointer(0, NO_RECORDS, 0, 0),
        processes=(owner, *(idle,) * (processes - 1)),
        delayed_writes=frozenset(),
        confirmed_appends=frozenset({(1, 0)}),
        acknowledged=NO_RECORDS,
        reported_not_run=NO_RECORDS,
        submitted=0,
        false_step_down=False,
    )


def _has_outdated_write(state: RingState) -> bool:
    """Tell whether the slot of a delayed write has been reused."""
    return any(
        _classify(
            state.slots[write.entry.sequence % len(state.slots)],
            write.entry.sequence,
        )
        is SlotState.NEWER
        for write in state.delayed_writes
    )


def _has_successor_record(state: RingState) -> bool:
    return any(
        slot.entry
        and slot.entry.writer
        and slot.entry.content in state.acknowledged
        for slot in state.slots
    )


@register_specification('ownership.append', APPEND_GUARDS)
def build_append(guards: frozenset[str]) -> StateMachine:
    """Build the model of a ring that does not wrap, with 2 claimants."""
    always = frozenset(RING_GUARDS) - frozenset(APPEND_GUARDS)
    transitions = _RingTransitions(
        guards | always,
        max_sequence=4,
        max_records=2,
        max_delayed_writes=2,
        takes_snapshots=False,
    )
    return StateMachine(
        _make_initial(slots=5, processes=3),
        transitions.list_transitions,
        INVARIANTS,
        {
            'a successor acknowledges': _has_successor_record,
            'a second successor serves': lambda s: (
                s.processes[2].phase == 'serve'
            ),
            'a record is reported as not run': lambda s: bool(
                s.reported_not_run
            ),
        },
    )


@register_specification('ownership.ring', RING_GUARDS)
def build_ring(guards: frozenset[str]) -> StateMachine:
    """Build the model of a ring that wraps around under delayed writes."""
    transitions = _RingTransitions(
        guards | {WITHDRAW_UNSENT_ONLY},
        max_sequence=5,
        max_records=3,
        max_delayed_writes=2,
        takes_snapshots=True,
    )
    return StateMachine(
        _make_initial(slots=2, processes=2),
        transitions.list_transitions,
        INVARIANTS,
        {
            'a successor acknowledges': _has_successor_record,
            'a successor writes a snapshot': lambda s: s.pointer.epoch > 1,
            'a delayed write finds its slot reused': _has_outdated_write,
        },
    )
