"""A journal whose owners write several entries concurrently.

A previous owner may live, and write, while a successor reads the log and
takes the shard over. The ring does not wrap around; `ownership` models that.
The rules for entries found in a slot are imported from the product's code.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.journal.slots import classify_slot
from sassafrasgate.journal.slots import ends_log
from sassafrasgate.journal.slots import may_replace_entry
from sassafrasgate.journal.slots import SlotState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Predicate
    from models.specifications import Transition

MAX_SEQUENCE = 4
MAX_IN_FLIGHT = 2

LOG_ENTRY_READ = 'entry of the log read by a takeover, not replaced'
OUTDATED_ENTRY_REPLACED = 'entry behind the takeover record replaced'
OUTDATED_ENTRY_IGNORED = 'entry of a lower epoch ignored by readers'
ORDERED_REPLIES = 'reply only after all earlier entries'
GUARDS = (
    LOG_ENTRY_READ,
    OUTDATED_ENTRY_REPLACED,
    OUTDATED_ENTRY_IGNORED,
    ORDERED_REPLIES,
)


class Entry(NamedTuple):
    """A journal entry; no writer writes two entries of one number."""

    writer: int
    epoch: int
    sequence: int


class Slot(NamedTuple):
    """A slot of the journal; revision 0 means that it is empty."""

    entry: Entry | None = None
    revision: int = 0


class Write(NamedTuple):
    """A compare-and-swap of a slot that may still take effect."""

    entry: Entry
    revision: int


class Process(NamedTuple):
    """A process and its knowledge.

    Parameters
    ----------
    phase : str
        ``idle``, ``read`` (reads slot after slot), ``claim`` (writes its
        takeover record), ``serve`` or ``stopped``.
    epoch : int
        Own epoch; while it reads, the highest epoch in the log.
    takeover_sequence, next_sequence : int
        Number of its takeover record, and of its next entry.
    revisions : tuple of int
        Revision that it expects of each slot.
    unconfirmed : frozenset of int
        Numbers of its entries in flight.
    written : frozenset of int
        Numbers of its entries that are written behind one in flight.
    known_entries : frozenset of Entry
        Entries of the log that it knows.
    """

    phase: str = 'idle'
    epoch: int = 0
    takeover_sequence: int = 0
    next_sequence: int = 1
    revisions: tuple[int, ...] = (0,) * MAX_SEQUENCE
    unconfirmed: frozenset[int] = frozenset()
    written: frozenset[int] = frozenset()
    known_entries: frozenset[Entry] = frozenset()


class PipelineState(NamedTuple):
    """State of the store and the processes.

    Parameters
    ----------
    slots : tuple of Slot
        Slot ``n - 1`` belongs to entry ``n``.
    processes : tuple of Process
        The first one owns the shard initially.
    writes : frozenset of Write
        Writes on their way to the store.
    acknowledged : frozenset of Entry
        Entries on which a reply to a caller or worker rests.
    false_step_down : bool
        Whether a process has stepped down without having a successor.
    """

    slots: tuple[Slot, ...]
    processes: tuple[Process, ...]
    writes: frozenset[Write] = frozenset()
    acknowledged: frozenset[Entry] = frozenset()
    false_step_down: bool = False


def _list_log(state: PipelineState) -> list[Entry]:
    """Return the entries that a reader finds."""
    entries: list[Entry] = []
    for slot in state.slots:
        entry = slot.entry
        if entry is None:
            break
        if entries and ends_log(entry.epoch, entries[-1].epoch):
            break
        entries.append(entry)
    return entries


class _PipelineTransitions:
    """Transitions of the store and the processes for a set of guards."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: PipelineState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        for write in state.writes:
            yield f'the store gets {write.entry}', self._land(state, write)
        for number, process in enumerate(state.processes):
            list_from_phase = getattr(self, f'_list_from_{process.phase}')
            for label, after in list_from_phase(state, number, process):
                yield f'process {number}: {label}', after

    def _land(self, state: PipelineState, write: Write) -> PipelineState:
        after = state._replace(writes=state.writes - {write})
        index = write.entry.sequence - 1
        if state.slots[index].revision != write.revision:
            return after
        slots = list(state.slots)
        slots[index] = Slot(write.entry, write.revision + 1)
        return after._replace(slots=tuple(slots))

    def _list_from_idle(
        self, state: PipelineState, number: int, process: Process
    ) -> Iterator[Transition]:
        # Idle processes are interchangeable, so the model needs only one order
        # of claims.
        if state.processes[number - 1].phase == 'idle':
            return
        yield (
            'begins to read',
            _set_process(state, number, process._replace(phase='read')),
        )

    def _list_from_read(
        self, state: PipelineState, number: int, process: Process
    ) -> Iterator[Transition]:
        sequence = process.next_sequence
        if sequence > MAX_SEQUENCE:
            return
        slot = state.slots[sequence - 1]
        if slot.entry is not None and self._is_in_log(slot.entry, process):
            after = process._replace(
                epoch=slot.entry.epoch,
                next_sequence=sequence + 1,
                known_entries=process.known_entries | {slot.entry},
            )
            yield 'reads an entry', _set_process(state, number, after)
            return
        after = _expect_revision(process, sequence, slot.revision)._replace(
            phase='claim',
            epoch=process.epoch + 1,
            takeover_sequence=sequence,
        )
        yield (
            'sends its takeover record',
            _send(_set_process(state, number, after), number, sequence),
        )

    def _is_in_log(self, entry: Entry, process: Process) -> bool:
        if OUTDATED_ENTRY_IGNORED in self.guards and (
            ends_log(entry.epoch, process.epoch)
        ):
            return False
        found = classify_slot(entry.sequence, process.next_sequence)
        return found is SlotState.PRESENT

    def _list_from_claim(
        self, state: PipelineState, number: int, process: Process
    ) -> Iterator[Transition]:
        yield from self._list_confirmations(state, number, process)

    def _list_from_serve(
        self, state: PipelineState, number: int, process: Process
    ) -> Iterator[Transition]:
        yield from self._list_confirmations(state, number, process)
        in_flight = len(process.unconfirmed) + len(process.written)
        if in_flight < MAX_IN_FLIGHT and process.next_sequence <= MAX_SEQUENCE:
            yield (
                'sends an entry',
                _send(state, number, process.next_sequence),
            )

    def _list_from_stopped(
        self, state: PipelineState, number: int, process: Process
    ) -> Iterator[Transition]:
        yield from ()

    def _list_confirmations(
        self, state: PipelineState, number: int, process: Process
    ) -> Iterator[Transition]:
        """Yield what follows from the outcome of each write in flight."""
        for sequence in process.unconfirmed:
            entry = Entry(number, process.epoch, sequence)
            slot = state.slots[sequence - 1]
            if slot.entry == entry:
                yield (
                    f'learns that entry {sequence} is written',
                    self._confirm(state, number, process, sequence),
                )
                continue
            if any(write.entry == entry for write in state.writes):
                continue
            yield self._resolve(state, number, process, sequence)

    def _resolve(
        self,
        state: PipelineState,
        number: int,
        process: Process,
        sequence: int,
    ) -> Transition:
        """Repeat a write that had no effect, read on, or step down."""
        slot = state.slots[sequence - 1]
        if slot.entry is None or self._may_replace(
            slot.entry, process, sequence
        ):
            known = _expect_revision(process, sequence, slot.revision)
            return (
                f'repeats entry {sequence}',
                _send(_set_process(state, number, known), number, sequence),
            )
        if (
            sequence == process.takeover_sequence
            and slot.entry.epoch < process.epoch
        ):
            reading = process._replace(
                phase='read',
                epoch=process.epoch - 1,
                takeover_sequence=0,
                next_sequence=sequence,
                unconfirmed=frozenset(),
            )
            return 'reads on', _set_process(state, number, reading)
        return self._step_down(state, number, process)

    def _may_replace(
        self, found: Entry, process: Process, sequence: int
    ) -> bool:
        takeover_sequence = process.takeover_sequence
        if LOG_ENTRY_READ not in self.guards:
            takeover_sequence = 0
        if OUTDATED_ENTRY_REPLACED not in self.guards:
            takeover_sequence = MAX_SEQUENCE
        return may_replace_entry(
            found.sequence,
            found.epoch,
            sequence,
            process.epoch,
            takeover_sequence,
        )

    def _confirm(
        self,
        state: PipelineState,
        number: int,
        process: Process,
        sequence: int,
    ) -> PipelineState:
        unconfirmed = process.unconfirmed - {sequence}
        written = process.written | {sequence}
        durable = frozenset(
            done
            for done in written
            if ORDERED_REPLIES not in self.guards
            or done < min(unconfirmed, default=MAX_SEQUENCE + 1)
        )
        entries = frozenset(
            Entry(number, process.epoch, done) for done in durable
        )
        after = process._replace(
            phase='serve',
            unconfirmed=unconfirmed,
            written=written - durable,
            known_entries=process.known_entries | entries,
        )
        return _set_process(state, number, after)._replace(
            acknowledged=state.acknowledged | entries
        )

    def _step_down(
        self, state: PipelineState, number: int, process: Process
    ) -> Transition:
        has_successor = any(
            slot.entry is not None
            and slot.entry.writer != number
            and slot.entry.epoch >= process.epoch
            for slot in state.slots
        )
        stopped = Process('stopped', process.epoch)
        return (
            'steps down',
            _set_process(state, number, stopped)._replace(
                false_step_down=state.false_step_down or not has_successor
            ),
        )


def _send(state: PipelineState, number: int, sequence: int) -> PipelineState:
    """Send an entry to its slot, with the revision that is expected there."""
    process = state.processes[number]
    entry = Entry(number, process.epoch, sequence)
    after = process._replace(
        next_sequence=max(process.next_sequence, sequence + 1),
        unconfirmed=process.unconfirmed | {sequence},
    )
    write = Write(entry, process.revisions[sequence - 1])
    return _set_process(state, number, after)._replace(
        writes=state.writes | {write}
    )


def _expect_revision(
    process: Process, sequence: int, revision: int
) -> Process:
    revisions = list(process.revisions)
    revisions[sequence - 1] = revision
    return process._replace(revisions=tuple(revisions))


def _set_process(
    state: PipelineState, number: int, process: Process
) -> PipelineState:
    processes = list(state.processes)
    processes[number] = process
    return state._replace(processes=tuple(processes))


def _does_owner_know_acknowledged(state: PipelineState) -> bool:
    """Tell whether the latest owner knows all acknowledged entries."""
    last = max(slot.entry.epoch for slot in state.slots if slot.entry)
    return all(
        state.acknowledged <= process.known_entries
        for process in state.processes
        if process.phase == 'serve' and process.epoch >= last
    )


def _is_epoch_unique(state: PipelineState) -> bool:
    epochs = [p.epoch for p in state.processes if p.phase == 'serve']
    return len(epochs) == len(set(epochs))


INVARIANTS: dict[str, Predicate] = {
    'an acknowledged entry is in the log': lambda s: (
        s.acknowledged <= set(_list_log(s))
    ),
    'the owner knows acknowledged entries': _does_owner_know_acknowledged,
    'one owner per epoch': _is_epoch_unique,
    'an owner steps down only for a successor': lambda s: (
        not s.false_step_down
    ),
}


def _is_overtaken_by_previous_owner(state: PipelineState) -> bool:
    """Tell whether a takeover waits at a number that its predecessor has."""
    return any(
        process.phase == 'claim'
        and (found := state.slots[process.takeover_sequence - 1].entry)
        is not None
        and found.epoch < process.epoch
        for process in state.processes
    )


def _has_outdated_entry(state: PipelineState) -> bool:
    """Tell whether an entry that never was durable stands behind the log."""
    return any(slot.entry for slot in state.slots[len(_list_log(state)) :])


def _make_initial() -> PipelineState:
    """Return a journal that holds the takeover record of process 0."""
    takeover = Entry(0, 1, 1)
    slots = (Slot(takeover, 1), *(Slot(),) * (MAX_SEQUENCE - 1))
    owner = Process('serve', 1, 1, 2, known_entries=frozenset({takeover}))
    return PipelineState(slots, (owner, Process(), Process()))


@register_specification('ownership.pipeline', GUARDS)
def build_pipeline(guards: frozenset[str]) -> StateMachine:
    """Build the model of two takeovers from owners that go on writing."""
    return StateMachine(
        _make_initial(),
        _PipelineTransitions(guards).list_transitions,
        INVARIANTS,
        {
            'a previous owner is faster than a takeover': (
                _is_overtaken_by_previous_owner
            ),
            'an entry behind a gap is left': _has_outdated_entry,
            'a successor acknowledges an entry': lambda s: any(
                entry.writer and entry.sequence > 2 for entry in s.acknowledged
            ),
            'a second successor serves': lambda s: (
                s.processes[2].phase == 'serve'
            ),
        },
    )
