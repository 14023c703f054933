"""The rejected form of the journal: keys created once, then trimmed.

The code keeps a ring instead, which `ownership` models. This model shows
which rules trimming needs besides: without them a stale owner creates a key
that trimming has deleted and acknowledges a lost record.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import register_specification

if TYPE_CHECKING:
    from models.specifications import Predicate
    from models.specifications import Step

TAKEOVER = -1
LENGTH = 5
RECORDS = 2

CREATE_ONLY = 'create-only append'
READ_BACK_REWRITE = 'read-back before a rewrite'
READ_BACK_ANSWER = 'read-back before an answer'
SAME_CONTENT = 'rewrite with the same content'
SLOT_TAKEN = 'not run only when the slot is taken'
SLOT_KEPT = 'not run only above the snapshot'
TAKEOVER_FIRST = 'takeover record before serving'
KEEP_TAKEOVERS = 'trimming keeps takeover records'
VERIFY_TAKEOVER = 'takeover compared with the snapshot'
SNAPSHOT_SWAP = 'compare-and-swap of the snapshot'


class Entry(NamedTuple):
    """One journal key: a takeover, or a record by its number."""

    writer: int
    content: int
    epoch: int


class Process(NamedTuple):
    """A scheduler process and what it believes.

    Parameters
    ----------
    phase : str
        ``idle``, ``read`` (has the snapshot), ``claim`` (has the chain),
        ``wait`` (a write is under way), ``unsure`` (its reply is missing),
        ``ok``, ``exists``, ``serve``, ``snap``, ``trim``, ``stopped``.
    epoch, at : int
        Its epoch and the next sequence number.
    view : frozenset of int
        Records that it knows of.
    pending : int
        What it is appending: a record's number or `TAKEOVER`.
    seen : int
        Sequence number of the snapshot that it last saw.
    """

    phase: str
    epoch: int
    at: int
    view: frozenset[int]
    pending: int = TAKEOVER
    seen: int = 0


class Journal(NamedTuple):
    """The store and the processes.

    Parameters
    ----------
    keys : tuple of Entry or None
        The chain; None where no key exists.
    base, kept, base_epoch
        The snapshot: entries below ``base`` are in it, with these records.
    processes : tuple of Process
        The first one owns the shard at the start.
    wins : frozenset of (int, int)
        Sequence number and writer of each append believed to be done.
    acked, denied : frozenset of int
        Records acknowledged to callers, and those answered as not run.
    used : int
        Number of records submitted.
    """

    keys: tuple[Entry | None, ...]
    base: int
    kept: frozenset[int]
    base_epoch: int
    processes: tuple[Process, ...]
    wins: frozenset[tuple[int, int]]
    acked: frozenset[int]
    denied: frozenset[int]
    used: int


Moves = Iterator[tuple[str, Journal, Process]]
NOTHING: frozenset[int] = frozenset()
SERVING = ('serve', 'snap', 'trim')


def _is_serving(process: Process) -> bool:
    if process.phase in SERVING:
        return True
    return process.pending != TAKEOVER and process.phase != 'stopped'


def _read_chain(state: Journal, base: int) -> list[Entry]:
    """Return the entries without a gap from ``base`` on."""
    entries: list[Entry] = []
    for entry in state.keys[base:]:
        if entry is None:
            break
        entries.append(entry)
    return entries


def _list_durable(state: Journal) -> list[int]:
    """Return the records that a reader of the store finds."""
    chain = _read_chain(state, state.base)
    records = [entry.content for entry in chain if entry.content != TAKEOVER]
    return [*state.kept, *records]


def _put_key(
    state: Journal, at: int, entry: Entry, create_only: bool
) -> tuple[Journal, bool]:
    """Return the store after a write and whether it took effect."""
    if state.keys[at] is not None and create_only:
        return state, False
    keys = (*state.keys[:at], entry, *state.keys[at + 1 :])
    return state._replace(keys=keys), True


class _JournalSteps:
    """The steps of one process, with some guards active.

    Parameters
    ----------
    guards : frozenset of str
        Active guards.
    """

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards
        self.create_only = CREATE_ONLY in guards

    def list_steps(self, state: Journal) -> Iterator[Step]:
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

    def _leave_idle(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        # The idle processes are alike, so one order of claims is enough.
        if state.processes[number - 1].phase == 'idle':
            return
        after = Process(
            'read', state.base_epoch, state.base, state.kept, seen=state.base
        )
        yield 'reads the snapshot', state, after

    def _leave_read(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        chain = _read_chain(state, process.at)
        at = process.at + len(chain)
        if at >= LENGTH:
            return
        records = {e.content for e in chain if e.content != TAKEOVER}
        epoch = max([process.epoch, *(entry.epoch for entry in chain)])
        after = process._replace(
            phase='claim' if TAKEOVER_FIRST in self.guards else 'serve',
            at=at,
            epoch=epoch + 1,
            view=process.view | records,
        )
        yield 'reads the chain', state, after

    def _leave_claim(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        yield 'sends a takeover', state, process._replace(phase='wait')

    def _leave_wait(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        entry = Entry(number, process.pending, process.epoch)
        after, done = _put_key(state, process.at, entry, self.create_only)
        phase = 'ok' if done else 'exists'
        yield f'write: {phase}', after, process._replace(phase=phase)
        unsure = process._replace(phase='unsure')
        yield 'write done, reply lost', after, unsure

    def _leave_ok(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        wins = state.wins | {(process.at, number)}
        if process.pending == TAKEOVER:
            if VERIFY_TAKEOVER in self.guards and state.base != process.seen:
                yield self._recover(state, process)
                return
            after = process._replace(phase='serve', at=process.at + 1)
            yield 'serves', state._replace(wins=wins), after
            return
        store = state._replace(
            wins=wins, acked=state.acked | {process.pending}
        )
        yield 'acknowledges', store, self._finish(process, process.at + 1)

    def _recover(
        self, state: Journal, process: Process
    ) -> tuple[str, Journal, Process]:
        """Leave a takeover below the snapshot, else read all again."""
        if state.base > process.at:
            return 'takeover too late', state, self._stop(process)
        chain = state.keys[state.base : process.at]
        after = process._replace(
            view=state.kept | {e.content for e in chain if e} - {TAKEOVER},
            seen=state.base,
        )
        return 'reads the moved snapshot', state, after

    def _leave_exists(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        yield from self._compare(state, number, process)

    def _leave_unsure(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        if process.pending == TAKEOVER:
            yield from self._compare(state, number, process)
            return
        if READ_BACK_REWRITE not in self.guards and process.at + 1 < LENGTH:
            after = process._replace(phase='wait', at=process.at + 1)
            yield 'writes again at the next number', state, after
        if READ_BACK_ANSWER not in self.guards:
            yield self._deny(state, process)
        yield from self._compare(state, number, process)

    def _compare(self, state: Journal, number: int, process: Process) -> Moves:
        """Read the key back after a conflict or a missing reply."""
        entry = state.keys[process.at]
        if entry is None:
            again = process._replace(phase='wait')
            yield 'reads back nothing, writes again', state, again
            grows = process.pending != TAKEOVER and state.used < RECORDS
            if SAME_CONTENT not in self.guards and grows:
                other = again._replace(pending=state.used)
                used = state._replace(used=state.used + 1)
                yield 'reads back nothing, writes another', used, other
            if SLOT_TAKEN not in self.guards and process.pending != TAKEOVER:
                yield self._deny(state, process)
            return
        # Writer, epoch and sequence number identify an entry.
        if (entry.writer, entry.epoch) == (number, process.epoch):
            yield 'reads back its own', state, process._replace(phase='ok')
            return
        certain = SLOT_KEPT not in self.guards or process.at >= state.base
        if process.pending != TAKEOVER and certain:
            label, store, _ = self._deny(state, process)
            yield label, store, self._stop(process)
            return
        yield 'lost the shard', state, self._stop(process)

    def _leave_serve(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        if process.at >= LENGTH:
            return
        if state.used < RECORDS:
            after = process._replace(phase='wait', pending=state.used)
            yield 'appends', state._replace(used=state.used + 1), after
        if process.at > process.seen + 1:
            yield 'takes a snapshot', state, process._replace(phase='snap')

    def _leave_snap(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        if SNAPSHOT_SWAP in self.guards and state.base != process.seen:
            if state.base > process.at:
                yield 'lost the shard', state, self._stop(process)
                return
            after = process._replace(phase='serve', seen=state.base)
            yield 'snapshot has moved', state, after
            return
        store = state._replace(
            base=process.at, kept=process.view, base_epoch=process.epoch
        )
        after = process._replace(phase='trim', seen=process.at)
        yield 'writes the snapshot', store, after

    def _leave_trim(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        keep = KEEP_TAKEOVERS in self.guards
        keys = tuple(
            entry
            if at >= process.seen
            or (keep and entry is not None and entry.content == TAKEOVER)
            else None
            for at, entry in enumerate(state.keys)
        )
        after = process._replace(phase='serve')
        yield 'trims', state._replace(keys=keys), after

    def _leave_stopped(
        self, state: Journal, number: int, process: Process
    ) -> Moves:
        yield from ()

    def _deny(
        self, state: Journal, process: Process
    ) -> tuple[str, Journal, Process]:
        store = state._replace(denied=state.denied | {process.pending})
        after = process._replace(phase='serve', pending=TAKEOVER)
        return 'answers not run', store, after

    def _finish(self, process: Process, at: int) -> Process:
        return process._replace(
            phase='serve',
            at=at,
            view=process.view | {process.pending},
            pending=TAKEOVER,
        )

    def _stop(self, process: Process) -> Process:
        return Process('stopped', 0, 0, NOTHING)


def _owner_knows_all(state: Journal) -> bool:
    """Tell whether the owner of the last epoch has every answered record."""
    last = max([state.base_epoch, *(e.epoch for e in state.keys if e)])
    return all(
        state.acked <= process.view
        for process in state.processes
        if _is_serving(process) and process.epoch >= last
    )


def _is_epoch_unique(state: Journal) -> bool:
    epochs = [p.epoch for p in state.processes if _is_serving(p)]
    return len(epochs) == len(set(epochs))


def _build(steps: _JournalSteps, witnesses: dict[str, Predicate]) -> Machine:
    """Return a journal of one shard with an owner and two claimants."""
    owner = Process('serve', 1, 1, NOTHING)
    idle = Process('idle', 0, 0, NOTHING)
    initial = Journal(
        keys=(Entry(0, TAKEOVER, 1), *(None,) * (LENGTH - 1)),
        base=0,
        kept=NOTHING,
        base_epoch=0,
        processes=(owner, idle, idle),
        wins=frozenset({(0, 0)}),
        acked=NOTHING,
        denied=NOTHING,
        used=0,
    )
    invariants: dict[str, Predicate] = {
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
    }
    return Machine(initial, steps.list_steps, invariants, witnesses)


def _has_successor_record(state: Journal) -> bool:
    return len(state.acked) == RECORDS and any(
        entry and entry.writer and entry.content in state.acked
        for entry in state.keys
    )


@register_specification(
    'ownership.trimming',
    (SLOT_KEPT, KEEP_TAKEOVERS, VERIFY_TAKEOVER, SNAPSHOT_SWAP),
)
def build_trimming(guards: frozenset[str]) -> Machine:
    """Build a trimmed journal with lost, but not delayed, replies."""
    always = {
        CREATE_ONLY,
        READ_BACK_REWRITE,
        READ_BACK_ANSWER,
        SAME_CONTENT,
        SLOT_TAKEN,
        TAKEOVER_FIRST,
    }
    return _build(
        _JournalSteps(guards | always),
        {
            'a successor acknowledges': _has_successor_record,
            'the chain is trimmed': lambda s: s.base > 0 and s.keys[1] is None,
            'a successor trims': lambda s: s.base_epoch > 1,
        },
    )
