"""Owning a shard: the chain of entries in a ring of slots.

There is no clock: a process may claim the shard whenever it likes, which
covers every lapse of a lease and every pause of an owner. `fences` has the
store lease and a worker. The rules of slots are those of the code.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import register_specification
from sassafrasgate.journal.ring_buffer import classify_slot
from sassafrasgate.journal.ring_buffer import is_slot_covered
from sassafrasgate.journal.ring_buffer import is_successor_pointer
from sassafrasgate.journal.ring_buffer import SlotState

if TYPE_CHECKING:
    from models.specifications import Predicate
    from models.specifications import Step

TAKEOVER = -1
UNKNOWN = -1

SLOT_SWAP = 'compare-and-swap of the slot'
READ_BACK_REWRITE = 'read-back before a rewrite'
READ_BACK_GIVE_UP = 'read-back before giving up'
SAME_CONTENT = 'rewrite with the same content'
COVERED = 'no overwrite of an uncovered slot'
TAKEOVER_COVERED = 'no takeover over an uncovered slot'
START_OVER = 'reader of a newer entry starts over'
POINTER_SWAP = 'compare-and-swap of the snapshot pointer'
POINTER_READ = 'moved pointer compared with the number'
TAKEOVER_FIRST = 'takeover record before serving'
SLOT_READ = 'unknown slot read before it is written'
SLOT_COMPARED = 'unknown slot compared with the number'
UNSENT = 'not run only while unsent'
APPEND_GUARDS = (
    SLOT_SWAP,
    READ_BACK_REWRITE,
    READ_BACK_GIVE_UP,
    SAME_CONTENT,
    UNSENT,
    TAKEOVER_FIRST,
    SLOT_READ,
    SLOT_COMPARED,
)
RING_GUARDS = (
    SLOT_SWAP,
    READ_BACK_REWRITE,
    READ_BACK_GIVE_UP,
    SAME_CONTENT,
    COVERED,
    TAKEOVER_COVERED,
    START_OVER,
    POINTER_SWAP,
    POINTER_READ,
    TAKEOVER_FIRST,
    SLOT_READ,
    SLOT_COMPARED,
)


class Entry(NamedTuple):
    """A journal entry: a takeover, or one record by its number."""

    writer: int
    epoch: int
    sequence: int
    content: int


class Slot(NamedTuple):
    """A key of the ring; revision 0 is an empty one."""

    entry: Entry | None = None
    revision: int = 0


class Write(NamedTuple):
    """A write of a slot at a revision that may still take effect."""

    entry: Entry
    revision: int


class Pointer(NamedTuple):
    """The snapshot pointer with the content of its chunks."""

    sequence: int
    records: frozenset[int]
    epoch: int
    revision: int


class Process(NamedTuple):
    """A scheduler process and what it believes.

    Parameters
    ----------
    phase : str
        ``idle``, ``read`` (reads slot after slot), ``send`` (an append is
        to be sent), ``unsure`` (its reply is missing), ``conflict``,
        ``serve``, ``snap`` (its chunks are written), ``stopped``.
    epoch, next : int
        Its epoch and the next sequence number.
    view : frozenset of int
        Records that it knows of.
    pending : int
        What it is appending: a record's number or `TAKEOVER`.
    revisions : tuple of int
        Revision of each slot as it knows it, or `UNKNOWN`.
    covered, pointer : int
        Sequence number and revision of the snapshot as it knows it.
    """

    phase: str
    epoch: int
    next: int
    view: frozenset[int]
    pending: int
    revisions: tuple[int, ...]
    covered: int
    pointer: int


class Ring(NamedTuple):
    """The store and the processes.

    Parameters
    ----------
    slots : tuple of Slot
        The ring.
    pointer : Pointer
        The snapshot.
    processes : tuple of Process
        The first one owns the shard at the start.
    late : frozenset of Write
        Writes that may still take effect though nobody waits for them.
    wins : frozenset of (int, int)
        Sequence number and writer of each append believed to be done.
    acked, denied : frozenset of int
        Records acknowledged to callers, and those answered as not run.
    used : int
        Number of records submitted.
    deceived : bool
        Whether a process has given the shard up without a successor.
    """

    slots: tuple[Slot, ...]
    pointer: Pointer
    processes: tuple[Process, ...]
    late: frozenset[Write]
    wins: frozenset[tuple[int, int]]
    acked: frozenset[int]
    denied: frozenset[int]
    used: int
    deceived: bool


Moves = Iterator[tuple[str, Ring, Process]]
NOTHING: frozenset[int] = frozenset()


def _is_serving(process: Process) -> bool:
    if process.phase in ('serve', 'snap'):
        return True
    return process.pending != TAKEOVER and process.phase != 'stopped'


def _classify(slot: Slot, expected: int) -> SlotState:
    found = None if slot.entry is None else slot.entry.sequence
    return classify_slot(found, expected)


def _read_chain(state: Ring) -> list[Entry]:
    """Return the entries after the snapshot that a reader finds."""
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


def _list_durable(state: Ring) -> list[int]:
    """Return the records that a reader of the store finds."""
    records = [entry.content for entry in _read_chain(state)]
    return [*state.pointer.records, *(r for r in records if r != TAKEOVER)]


class _RingSteps:
    """The steps of the processes, with some guards active.

    Parameters
    ----------
    guards : frozenset of str
        Active guards.
    length, records : int
        Highest sequence number, and how many records are submitted.
    delays : int
        How many writes may be under way after their writers gave up waiting.
    snapshots : bool
        Whether owners take snapshots; else they withdraw unsent records.
    """

    def __init__(
        self,
        guards: frozenset[str],
        length: int,
        records: int,
        delays: int,
        snapshots: bool,
    ) -> None:
        self.guards = guards
        self.length = length
        self.records = records
        self.delays = delays
        self.snapshots = snapshots

    def list_steps(self, state: Ring) -> Iterator[Step]:
        """Return the successors of a state."""
        for number, process in enumerate(state.processes):
            step = getattr(self, f'_leave_{process.phase}')
            for label, store, after in step(state, number, process):
                processes = (
                    *state.processes[:number],
                    after,
                    *state.processes[number + 1 :],
                )
                yield (
                    f'process {number}: {label}',
                    store._replace(processes=processes),
                )
        for write in state.late:
            rest = state._replace(late=state.late - {write})
            after, _ = self._write_slot(rest, write)
            yield f'late write {write.entry}', after

    def _write_slot(self, state: Ring, write: Write) -> tuple[Ring, bool]:
        """Return the store after a write and whether it took effect."""
        number = write.entry.sequence % len(state.slots)
        revision = state.slots[number].revision
        blind = SLOT_SWAP not in self.guards or write.revision == UNKNOWN
        if revision != write.revision and not blind:
            return state, False
        slots = list(state.slots)
        slots[number] = Slot(write.entry, revision + 1)
        return state._replace(slots=tuple(slots)), True

    def _leave_idle(self, state: Ring, number: int, process: Process) -> Moves:
        # The idle processes are alike, so one order of claims is enough.
        if number and state.processes[number - 1].phase == 'idle':
            return
        pointer = state.pointer
        after = process._replace(
            phase='read',
            epoch=pointer.epoch,
            next=pointer.sequence + 1,
            view=pointer.records,
            covered=pointer.sequence,
            pointer=pointer.revision,
        )
        yield 'reads the snapshot', state, after

    def _leave_read(self, state: Ring, number: int, process: Process) -> Moves:
        slot = state.slots[process.next % len(state.slots)]
        found = _classify(slot, process.next)
        if found is SlotState.PRESENT and slot.entry is not None:
            after = process._replace(
                epoch=max(process.epoch, slot.entry.epoch),
                next=process.next + 1,
                view=process.view | ({slot.entry.content} - {TAKEOVER}),
            )
            yield 'reads an entry', state, after
            return
        if found is SlotState.NEWER and START_OVER in self.guards:
            yield 'starts over', state, self._make_idle(state)
            return
        if not self._fits(process, 0, TAKEOVER_COVERED):
            return
        after = self._learn(process, slot.revision)._replace(
            phase='send' if TAKEOVER_FIRST in self.guards else 'serve',
            epoch=process.epoch + 1,
        )
        yield 'reads the end of the chain', state, after

    def _leave_send(self, state: Ring, number: int, process: Process) -> Moves:
        place = process.next % len(state.slots)
        if process.revisions[place] == UNKNOWN and SLOT_READ in self.guards:
            slot = state.slots[place]
            found = _classify(slot, process.next)
            if found is SlotState.FREE or SLOT_COMPARED not in self.guards:
                learned = self._learn(process, slot.revision)
                yield 'reads the slot', state, learned
                return
            yield self._give_up(state, number, process, 'slot is taken')
            return
        entry = Entry(number, process.epoch, process.next, process.pending)
        write = Write(entry, process.revisions[place])
        store, done = self._write_slot(state, write)
        if done:
            yield self._finish(store, number, process)
        else:
            yield 'conflict', state, process._replace(phase='conflict')
        unsure = process._replace(phase='unsure')
        if done:
            yield 'write done, reply lost', store, unsure
        if len(state.late) < self.delays:
            late = state.late | {write}
            yield 'no reply yet', state._replace(late=late), unsure

    def _leave_unsure(
        self, state: Ring, number: int, process: Process
    ) -> Moves:
        again = process._replace(phase='send')
        yield 'writes again', state, again
        if process.pending == TAKEOVER:
            return
        if UNSENT not in self.guards:
            denied = state.denied | {process.pending}
            yield 'withdraws', state._replace(denied=denied), process
        if READ_BACK_REWRITE not in self.guards and self._fits(again, 1):
            after = again._replace(next=process.next + 1)
            yield 'writes again at the next number', state, after
        if SAME_CONTENT not in self.guards and state.used < self.records:
            used = state._replace(used=state.used + 1)
            other = again._replace(pending=state.used)
            yield 'writes another record', used, other

    def _leave_conflict(
        self, state: Ring, number: int, process: Process
    ) -> Moves:
        slot = state.slots[process.next % len(state.slots)]
        entry = Entry(number, process.epoch, process.next, process.pending)
        if READ_BACK_GIVE_UP in self.guards and slot.entry == entry:
            yield self._finish(state, number, process)
            return
        yield self._give_up(state, number, process, 'lost the number')

    def _leave_serve(
        self, state: Ring, number: int, process: Process
    ) -> Moves:
        if state.used < self.records and self._fits(process, 0):
            after = process._replace(phase='send', pending=state.used)
            yield 'appends', state._replace(used=state.used + 1), after
        if state.used < self.records and not self.snapshots:
            denied = state.denied | {state.used}
            used = state._replace(used=state.used + 1, denied=denied)
            yield 'withdraws an unsent record', used, process
        if self.snapshots and process.next - 1 > process.covered:
            yield 'writes chunks', state, process._replace(phase='snap')

    def _leave_snap(self, state: Ring, number: int, process: Process) -> Moves:
        old = state.pointer
        if POINTER_SWAP in self.guards and old.revision != process.pointer:
            own = not is_successor_pointer(old.sequence, process.next)
            if own and POINTER_READ in self.guards:
                known = process._replace(pointer=old.revision)
                if old.sequence == process.next - 1:
                    known = known._replace(phase='serve', covered=old.sequence)
                yield 'reads the moved pointer', state, known
                return
            yield self._give_up(state, number, process, 'lost the pointer')
            return
        new = Pointer(
            process.next - 1, process.view, process.epoch, old.revision + 1
        )
        store = state._replace(pointer=new)
        after = process._replace(
            phase='serve', covered=new.sequence, pointer=new.revision
        )
        yield 'swaps the pointer', store, after
        unsure = process._replace(phase='serve')
        yield 'pointer swapped, reply lost', store, unsure

    def _leave_stopped(
        self, state: Ring, number: int, process: Process
    ) -> Moves:
        yield from ()

    def _fits(
        self, process: Process, ahead: int, guard: str = COVERED
    ) -> bool:
        """Tell whether the owner may write the next number, or one on."""
        sequence = process.next + ahead
        if sequence > self.length:
            return False
        slots = len(process.revisions)
        return guard not in self.guards or (
            is_slot_covered(sequence, process.covered, slots)
        )

    def _finish(
        self, state: Ring, number: int, process: Process
    ) -> tuple[str, Ring, Process]:
        """Believe the append; the slot's revision becomes known."""
        slot = state.slots[process.next % len(state.slots)]
        store = state._replace(wins=state.wins | {(process.next, number)})
        after = self._learn(process, slot.revision)._replace(
            phase='serve', next=process.next + 1, pending=TAKEOVER
        )
        if process.pending == TAKEOVER:
            return 'serves', store, after
        record = {process.pending}
        store = store._replace(acked=state.acked | record)
        return 'acknowledges', store, after._replace(view=after.view | record)

    def _learn(self, process: Process, revision: int) -> Process:
        revisions = list(process.revisions)
        revisions[process.next % len(revisions)] = revision
        return process._replace(revisions=tuple(revisions))

    def _give_up(
        self, state: Ring, number: int, process: Process, label: str
    ) -> tuple[str, Ring, Process]:
        """Stop; without an entry of another process that is a mistake."""
        lost = any(
            slot.entry is not None
            and slot.entry.writer != number
            and slot.entry.sequence >= process.next
            for slot in state.slots
        )
        store = state._replace(deceived=state.deceived or not lost)
        return label, store, self._make_idle(state)._replace(phase='stopped')

    def _make_idle(self, state: Ring) -> Process:
        unknown = (UNKNOWN,) * len(state.slots)
        return Process('idle', 0, 0, NOTHING, TAKEOVER, unknown, 0, 0)


def _owner_knows_all(state: Ring) -> bool:
    """Tell whether the owner of the last epoch has every answered record."""
    epochs = [slot.entry.epoch for slot in state.slots if slot.entry]
    last = max([state.pointer.epoch, *epochs])
    return all(
        state.acked <= process.view
        for process in state.processes
        if _is_serving(process) and process.epoch >= last
    )


def _is_epoch_unique(state: Ring) -> bool:
    epochs = [p.epoch for p in state.processes if _is_serving(p)]
    return len(epochs) == len(set(epochs))


INVARIANTS: dict[str, Predicate] = {
    'one append wins per number': lambda s: (
        len({at for at, _ in s.wins}) == len(s.wins)
    ),
    'an acknowledged record is kept': lambda s: (
        s.acked <= set(_list_durable(s))
    ),
    'a record is kept once': lambda s: (
        len(_list_durable(s)) == len(set(_list_durable(s)))
    ),
    'a record answered as not run is not kept': lambda s: (
        not s.denied & set(_list_durable(s))
    ),
    'the owner knows acknowledged records': _owner_knows_all,
    'one owner per epoch': _is_epoch_unique,
    'only a successor ends an ownership': lambda s: not s.deceived,
}


def _make_initial(slots: int, processes: int) -> Ring:
    """Return a ring whose first entry is the first process's takeover."""
    ring = [Slot()] * slots
    ring[1] = Slot(Entry(0, 1, 1, TAKEOVER), 1)
    unknown = (UNKNOWN,) * slots
    known = (UNKNOWN, 1, *unknown[2:])
    owner = Process('serve', 1, 2, NOTHING, TAKEOVER, known, 0, 0)
    idle = Process('idle', 0, 0, NOTHING, TAKEOVER, unknown, 0, 0)
    return Ring(
        slots=tuple(ring),
        pointer=Pointer(0, NOTHING, 0, 0),
        processes=(owner, *(idle,) * (processes - 1)),
        late=frozenset(),
        wins=frozenset({(1, 0)}),
        acked=NOTHING,
        denied=NOTHING,
        used=0,
        deceived=False,
    )


def _has_lapped_late_write(state: Ring) -> bool:
    """Tell whether a write is late by a lap of the ring."""
    return any(
        _classify(
            state.slots[write.entry.sequence % len(state.slots)],
            write.entry.sequence,
        )
        is SlotState.NEWER
        for write in state.late
    )


def _has_successor_record(state: Ring) -> bool:
    return any(
        slot.entry and slot.entry.writer and slot.entry.content in state.acked
        for slot in state.slots
    )


@register_specification('ownership.append', APPEND_GUARDS)
def build_append(guards: frozenset[str]) -> Machine:
    """Build a ring that does not go round, with two claimants."""
    always = frozenset(RING_GUARDS) - frozenset(APPEND_GUARDS)
    steps = _RingSteps(
        guards | always, length=4, records=2, delays=2, snapshots=False
    )
    return Machine(
        _make_initial(slots=5, processes=3),
        steps.list_steps,
        INVARIANTS,
        {
            'a successor acknowledges': _has_successor_record,
            'a second successor serves': lambda s: (
                s.processes[2].phase == 'serve'
            ),
            'a record is answered as not run': lambda s: bool(s.denied),
        },
    )


@register_specification('ownership.ring', RING_GUARDS)
def build_ring(guards: frozenset[str]) -> Machine:
    """Build a ring that goes round, with writes late by a whole lap."""
    steps = _RingSteps(
        guards | {UNSENT}, length=5, records=3, delays=2, snapshots=True
    )
    return Machine(
        _make_initial(slots=2, processes=2),
        steps.list_steps,
        INVARIANTS,
        {
            'a successor acknowledges': _has_successor_record,
            'a successor writes a snapshot': lambda s: s.pointer.epoch > 1,
            'a write is late by a lap': _has_lapped_late_write,
        },
    )
