"""A rejected design of the journal: keys that are created once and trimmed.

The product uses a ring buffer instead, which `ownership` models. This model
shows which additional rules trimming needs: without them, a stale owner
creates a key that trimming has deleted, and acknowledges a lost record.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine

if TYPE_CHECKING:
    from models.specifications import Predicate
    from models.specifications import Transition

TAKEOVER = -1
MAX_KEYS = 5
MAX_RECORDS = 2

CREATE_ONLY = 'create-only append'
READ_BACK_REWRITE = 'read-back before a rewrite'
READ_BACK_REPORT = 'read-back before a report as not run'
SAME_CONTENT = 'rewrite with the same content'
NOT_RUN_IF_TAKEN = 'reported not run only if the key is taken'
NOT_RUN_ABOVE_SNAPSHOT = 'reported not run only above the snapshot'
TAKEOVER_FIRST = 'takeover record before serving'
KEEP_TAKEOVERS = 'trimming keeps takeover records'
VERIFY_TAKEOVER = 'takeover compared with the snapshot'
SNAPSHOT_SWAP = 'compare-and-swap of the snapshot'


class Entry(NamedTuple):
    """Content of a key: a takeover record, or the number of a record."""

    writer: int
    content: int
    epoch: int


class Process(NamedTuple):
    """A scheduler process and its knowledge.

    Parameters
    ----------
    phase : str
        ``idle``, ``read`` (has read the snapshot), ``claim`` (has read the
        log), ``write`` (is about to write), ``unconfirmed`` (the reply to
        the write is missing), ``ok`` (the key was written), ``exists`` (the
        key exists), ``serve``, ``snapshot``, ``trim`` or ``stopped``.
    epoch, sequence : int
        Epoch of the process, and sequence number of its next entry.
    known_records : frozenset of int
        Records that the process knows.
    pending : int
        Content of the entry to append: the number of a record or `TAKEOVER`.
    known_base : int
        Sequence number of the snapshot that the process last read or wrote.
    """

    phase: str
    epoch: int
    sequence: int
    known_records: frozenset[int]
    pending: int = TAKEOVER
    known_base: int = 0


class JournalState(NamedTuple):
    """State of the store and the processes.

    Parameters
    ----------
    keys : tuple of Entry or None
        The log by sequence number; None where no key exists.
    snapshot_base, snapshot_records, snapshot_epoch
        The snapshot: it covers the entries below ``snapshot_base`` and holds
        these records; the epoch is that of its writer.
    processes : tuple of Process
        The processes; the first one owns the shard initially.
    confirmed_appends : frozenset of (int, int)
        Sequence number and writer of each append that its writer considers
        done.
    acknowledged, reported_not_run : frozenset of int
        Records acknowledged to callers, and records of which callers were
        told that they were not run.
    submitted : int
        Number of records submitted.
    """

    keys: tuple[Entry | None, ...]
    snapshot_base: int
    snapshot_records: frozenset[int]
    snapshot_epoch: int
    processes: tuple[Process, ...]
    confirmed_appends: frozenset[tuple[int, int]]
    acknowledged: frozenset[int]
    reported_not_run: frozenset[int]
    submitted: int


ProcessTransitions = Iterator[tuple[str, JournalState, Process]]
NO_RECORDS: frozenset[int] = frozenset()
SERVING_PHASES = ('serve', 'snapshot', 'trim')


def _is_serving(process: Process) -> bool:
    if process.phase in SERVING_PHASES:
        return True
    return process.pending != TAKEOVER and process.phase != 'stopped'


def _list_log_entries(state: JournalState, snapshot_base: int) -> list[Entry]:
    """Return the entries from ``snapshot_base`` up to the first gap."""
    entries: list[Entry] = []
    for entry in state.keys[snapshot_base:]:
        if entry is None:
            break
        entries.append(entry)
    return entries


def _list_stored_records(state: JournalState) -> list[int]:
    """Return the records that a reader finds in snapshot and log."""
    entries = _list_log_entries(state, state.snapshot_base)
    records = [entry.content for entry in entries if entry.content != TAKEOVER]
    return [*state.snapshot_records, *records]


def _put_key(
    state: JournalState, sequence: int, entry: Entry, create_only: bool
) -> tuple[JournalState, bool]:
    """Return the store after a write and whether it took effect."""
    if state.keys[sequence] is not None and create_only:
        return state, False
    keys = (*state.keys[:sequence], entry, *state.keys[sequence + 1 :])
    return state._replace(keys=keys), True


class _JournalTransitions:
    """Transitions of the processes for a set of active guards.

    Parameters
    ----------
    guards : frozenset of str
        Active guards.
    """

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards
        self.create_only = CREATE_ONLY in guards

    def list_transitions(self, state: JournalState) -> Iterator[Transition]:
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

    def _list_from_idle(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        # Idle processes are interchangeable, so the model needs only one order
        # of claims.
        if state.processes[number - 1].phase == 'idle':
            return
        after = Process(
            'read',
            state.snapshot_epoch,
            state.snapshot_base,
            state.snapshot_records,
            known_base=state.snapshot_base,
        )
        yield 'reads the snapshot', state, after

    def _list_from_read(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        entries = _list_log_entries(state, process.sequence)
        sequence = process.sequence + len(entries)
        if sequence >= MAX_KEYS:
            return
        records = {e.content for e in entries if e.content != TAKEOVER}
        epoch = max([process.epoch, *(entry.epoch for entry in entries)])
        after = process._replace(
            phase='claim' if TAKEOVER_FIRST in self.guards else 'serve',
            sequence=sequence,
            epoch=epoch + 1,
            known_records=process.known_records | records,
        )
        yield 'reads the log', state, after

    def _list_from_claim(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        yield (
            'starts to write a takeover',
            state,
            process._replace(phase='write'),
        )

    def _list_from_write(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        entry = Entry(number, process.pending, process.epoch)
        after, done = _put_key(
            state, process.sequence, entry, self.create_only
        )
        phase = 'ok' if done else 'exists'
        yield f'write: {phase}', after, process._replace(phase=phase)
        unconfirmed = process._replace(phase='unconfirmed')
        yield 'write done, reply lost', after, unconfirmed

    def _list_from_ok(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        confirmed_appends = state.confirmed_appends | {
            (process.sequence, number)
        }
        if process.pending == TAKEOVER:
            if (
                VERIFY_TAKEOVER in self.guards
                and state.snapshot_base != process.known_base
            ):
                yield self._verify_takeover(state, process)
                return
            after = process._replace(
                phase='serve', sequence=process.sequence + 1
            )
            yield (
                'serves',
                state._replace(confirmed_appends=confirmed_appends),
                after,
            )
            return
        store = state._replace(
            confirmed_appends=confirmed_appends,
            acknowledged=state.acknowledged | {process.pending},
        )
        yield (
            'acknowledges',
            store,
            self._complete_append(process, process.sequence + 1),
        )

    def _verify_takeover(
        self, state: JournalState, process: Process
    ) -> tuple[str, JournalState, Process]:
        """Abandon a takeover below the snapshot, or read the snapshot."""
        if state.snapshot_base > process.sequence:
            return 'takeover too late', state, self._stop(process)
        entries = state.keys[state.snapshot_base : process.sequence]
        after = process._replace(
            known_records=state.snapshot_records
            | {e.content for e in entries if e} - {TAKEOVER},
            known_base=state.snapshot_base,
        )
        return 'reads the moved snapshot', state, after

    def _list_from_exists(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        yield from self._read_back(state, number, process)

    def _list_from_unconfirmed(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        if process.pending == TAKEOVER:
            yield from self._read_back(state, number, process)
            return
        if (
            READ_BACK_REWRITE not in self.guards
            and process.sequence + 1 < MAX_KEYS
        ):
            after = process._replace(
                phase='write', sequence=process.sequence + 1
            )
            yield 'repeats the write at the next sequence number', state, after
        if READ_BACK_REPORT not in self.guards:
            yield self._report_not_run(state, process)
        yield from self._read_back(state, number, process)

    def _read_back(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        """Read the key back after a conflict or a missing reply."""
        entry = state.keys[process.sequence]
        if entry is None:
            retry = process._replace(phase='write')
            yield 'reads back no entry, repeats the write', state, retry
            may_submit = (
                process.pending != TAKEOVER and state.submitted < MAX_RECORDS
            )
            if SAME_CONTENT not in self.guards and may_submit:
                other_record = retry._replace(pending=state.submitted)
                submitted = state._replace(submitted=state.submitted + 1)
                yield (
                    'reads back no entry, writes another record',
                    submitted,
                    other_record,
                )
            if (
                NOT_RUN_IF_TAKEN not in self.guards
                and process.pending != TAKEOVER
            ):
                yield self._report_not_run(state, process)
            return
        # Writer, epoch and sequence number identify an entry.
        if (entry.writer, entry.epoch) == (number, process.epoch):
            yield (
                'reads back its own entry',
                state,
                process._replace(phase='ok'),
            )
            return
        is_certain = (
            NOT_RUN_ABOVE_SNAPSHOT not in self.guards
            or process.sequence >= state.snapshot_base
        )
        if process.pending != TAKEOVER and is_certain:
            label, store, _ = self._report_not_run(state, process)
            yield label, store, self._stop(process)
            return
        yield 'has lost the shard', state, self._stop(process)

    def _list_from_serve(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        if process.sequence >= MAX_KEYS:
            return
        if state.submitted < MAX_RECORDS:
            after = process._replace(phase='write', pending=state.submitted)
            yield (
                'appends',
                state._replace(submitted=state.submitted + 1),
                after,
            )
        if process.sequence > process.known_base + 1:
            yield 'takes a snapshot', state, process._replace(phase='snapshot')

    def _list_from_snapshot(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        if (
            SNAPSHOT_SWAP in self.guards
            and state.snapshot_base != process.known_base
        ):
            if state.snapshot_base > process.sequence:
                yield 'has lost the shard', state, self._stop(process)
                return
            after = process._replace(
                phase='serve', known_base=state.snapshot_base
            )
            yield 'snapshot has moved', state, after
            return
        store = state._replace(
            snapshot_base=process.sequence,
            snapshot_records=process.known_records,
            snapshot_epoch=process.epoch,
        )
        after = process._replace(phase='trim', known_base=process.sequence)
        yield 'writes the snapshot', store, after

    def _list_from_trim(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        keep = KEEP_TAKEOVERS in self.guards
        keys = tuple(
            entry
            if sequence >= process.known_base
            or (keep and entry is not None and entry.content == TAKEOVER)
            else None
            for sequence, entry in enumerate(state.keys)
        )
        after = process._replace(phase='serve')
        yield 'trims', state._replace(keys=keys), after

    def _list_from_stopped(
        self, state: JournalState, number: int, process: Process
    ) -> ProcessTransitions:
        yield from ()

    def _report_not_run(
        self, state: JournalState, process: Process
    ) -> tuple[str, JournalState, Process]:
        store = state._replace(
            reported_not_run=state.reported_not_run | {process.pending}
        )
        after = process._replace(phase='serve', pending=TAKEOVER)
        return 'reports the record as not run', store, after

    def _complete_append(self, process: Process, sequence: int) -> Process:
        return process._replace(
            phase='serve',
            sequence=sequence,
            known_records=process.known_records | {process.pending},
            pending=TAKEOVER,
        )

    def _stop(self, process: Process) -> Process:
        return Process('stopped', 0, 0, NO_RECORDS)


def _does_owner_know_acknowledged(state: JournalState) -> bool:
    """Tell whether the latest owner knows all acknowledged records."""
    last = max([state.snapshot_epoch, *(e.epoch for e in state.keys if e)])
    return all(
        state.acknowledged <= process.known_records
        for process in state.processes
        if _is_serving(process) and process.epoch >= last
    )


def _is_epoch_unique(state: JournalState) -> bool:
    epochs = [p.epoch for p in state.processes if _is_serving(p)]
    return len(epochs) == len(set(epochs))


def _build(
    transitions: _JournalTransitions, witnesses: dict[str, Predicate]
) -> StateMachine:
    """Build the model of a shard with an owner and two claimants."""
    owner = Process('serve', 1, 1, NO_RECORDS)
    idle = Process('idle', 0, 0, NO_RECORDS)
    initial = JournalState(
        keys=(Entry(0, TAKEOVER, 1), *(None,) * (MAX_KEYS - 1)),
        snapshot_base=0,
        snapshot_records=NO_RECORDS,
        snapshot_epoch=0,
        processes=(owner, idle, idle),
        confirmed_appends=frozenset({(0, 0)}),
        acknowledged=NO_RECORDS,
        reported_not_run=NO_RECORDS,
        submitted=0,
    )
    invariants: dict[str, Predicate] = {
        'one append is confirmed per sequence number': lambda s: (
            len({sequence for sequence, _ in s.confirmed_appends})
            == len(s.confirmed_appends)
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
    }
    return StateMachine(
        initial, transitions.list_transitions, invariants, witnesses
    )


def _has_successor_record(state: JournalState) -> bool:
    return len(state.acknowledged) == MAX_RECORDS and any(
        entry and entry.writer and entry.content in state.acknowledged
        for entry in state.keys
    )


@register_specification(
    'ownership.trimming',
    (NOT_RUN_ABOVE_SNAPSHOT, KEEP_TAKEOVERS, VERIFY_TAKEOVER, SNAPSHOT_SWAP),
)
def build_trimming(guards: frozenset[str]) -> StateMachine:
    """Build the model of trimming with lost but not delayed replies."""
    always = {
        CREATE_ONLY,
        READ_BACK_REWRITE,
        READ_BACK_REPORT,
        SAME_CONTENT,
        NOT_RUN_IF_TAKEN,
        TAKEOVER_FIRST,
    }
    return _build(
        _JournalTransitions(guards | always),
        {
            'a successor acknowledges': _has_successor_record,
            'the log is trimmed': lambda s: (
                s.snapshot_base > 0 and s.keys[1] is None
            ),
            'a successor trims': lambda s: s.snapshot_epoch > 1,
        },
    )
