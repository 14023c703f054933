"""Configuration: racing operators, and processes that learn of versions.

`configurations.writes` has the manifest and three operators;
`configurations.processes` has a change that the processes have yet to learn,
an outage of the store, and restarts.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import register_specification

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Step

SWAP = 'compare-and-swap'
READ_BACK = 'read-back after a lost reply'
HISTORY = 'manifest keeps earlier change ids'
WRITE_AGAIN = 'unchanged manifest is written again'

OPERATORS = 3


class Operator(NamedTuple):
    """An operator with one change, whose id is the operator's number.

    ``phase`` is ``idle``, ``wait``, ``unsure``, ``conflict``, ``accepted``
    or ``rejected``; ``base`` is the manifest that the change builds on.
    """

    phase: str = 'idle'
    base: tuple[int, ...] = ()


class Manifest(NamedTuple):
    """The manifest as the changes that it is made of.

    Parameters
    ----------
    changes : tuple of int
        The version is their number.
    operators : tuple of Operator
        Who writes.
    late : frozenset of (int, tuple)
        Writes that may still take effect: operator and base.
    effective : frozenset of int
        Changes that took effect at some time.
    """

    changes: tuple[int, ...] = ()
    operators: tuple[Operator, ...] = (Operator(),) * OPERATORS
    late: frozenset[tuple[int, tuple[int, ...]]] = frozenset()
    effective: frozenset[int] = frozenset()


class _WriteSteps:
    """The steps of the operators and the store."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_steps(self, state: Manifest) -> Iterator[Step]:
        """Return the successors of a state."""
        for number, operator in enumerate(state.operators):
            for label, store, after in self._move(state, number, operator):
                operators = (
                    *state.operators[:number],
                    after,
                    *state.operators[number + 1 :],
                )
                yield (
                    f'operator {number}: {label}',
                    store._replace(operators=operators),
                )
        for write in state.late:
            rest = state._replace(late=state.late - {write})
            stored, _ = self._put(rest, *write)
            yield f'late write of operator {write[0]}', stored

    def _put(
        self, state: Manifest, number: int, base: tuple[int, ...]
    ) -> tuple[Manifest, bool]:
        if SWAP in self.guards and state.changes != base:
            return state, False
        return (
            state._replace(
                changes=(*base, number),
                effective=state.effective | {number},
            ),
            True,
        )

    def _move(
        self, state: Manifest, number: int, operator: Operator
    ) -> Iterator[tuple[str, Manifest, Operator]]:
        if operator.phase == 'idle':
            yield 'reads', state, Operator('wait', state.changes)
        if operator.phase == 'wait':
            unsure = operator._replace(phase='unsure')
            written, done = self._put(state, number, operator.base)
            phase = 'accepted' if done else 'conflict'
            yield f'writes: {phase}', written, operator._replace(phase=phase)
            yield 'writes, reply lost', written, unsure
            late = state.late | {(number, operator.base)}
            yield 'writes, no reply yet', state._replace(late=late), unsure
        if operator.phase == 'unsure' and READ_BACK not in self.guards:
            yield 'gives up', state, operator._replace(phase='rejected')
        if operator.phase in ('unsure', 'conflict'):
            phase = self._compare(state, number, operator)
            yield f'reads back: {phase}', state, operator._replace(phase=phase)

    def _compare(
        self, state: Manifest, number: int, operator: Operator
    ) -> str:
        visible = state.changes
        if HISTORY not in self.guards:
            visible = visible[-1:]
        if number in visible:
            return 'accepted'
        if state.changes == operator.base and WRITE_AGAIN in self.guards:
            return 'wait'
        return 'rejected'


@register_specification(
    'configurations.writes', (SWAP, READ_BACK, HISTORY, WRITE_AGAIN)
)
def build_writes(guards: frozenset[str]) -> Machine:
    """Build three operators who change the manifest at once."""

    def list_in(state: Manifest, phase: str) -> set[int]:
        return {
            number
            for number, operator in enumerate(state.operators)
            if operator.phase == phase
        }

    return Machine(
        Manifest(),
        _WriteSteps(guards).list_steps,
        {
            'an effective change is kept': lambda s: (
                s.effective <= set(s.changes)
            ),
            'accepted is true': lambda s: (
                list_in(s, 'accepted') <= set(s.changes)
            ),
            'rejected is true': lambda s: (
                not list_in(s, 'rejected') & set(s.changes)
            ),
            'a change is applied once': lambda s: (
                len(s.changes) == len(set(s.changes))
            ),
        },
        {
            'all changes are accepted': lambda s: (
                len(list_in(s, 'accepted')) == OPERATORS
            ),
            'a change is rejected': lambda s: bool(list_in(s, 'rejected')),
        },
    )


MONOTONIC = 'monotonic advance'
ASK_PEERS = 'every peer asked before serving'
READY_PEERS = 'answer of a starting peer does not count'
HOLD_HEARD = 'serves nothing until it holds what it heard of'
ANNOUNCE = 'a peer has heard of a version before it is served'

PROCESSES = 3
NOBODY: frozenset[int] = frozenset()
LAST_VERSION = 2
MAX_RESTARTS = 2


class Process(NamedTuple):
    """One process of ours.

    Parameters
    ----------
    held, heard : int
        Version that it holds, 0 for none, and the highest it has heard of.
    known : int
        Highest version that it knows some peer to have heard of.
    ready : bool
        Whether its start is complete.
    asked : frozenset of int
        Peers that have answered since its start.
    late : bool
        Whether a reply of the store from before the change is on its way.
    served : int
        Highest version that it ever served, also before a restart.
    """

    held: int = 1
    heard: int = 1
    known: int = 1
    ready: bool = True
    asked: frozenset[int] = NOBODY
    late: bool = False
    served: int = 1


class Cell(NamedTuple):
    """The processes; the store has the last version and may answer or not.

    Parameters
    ----------
    restarts : int
        Restarts so far.
    processes : tuple of Process
        All processes; each knows all others as peers.
    reverted, unready : bool
        Whether a process moved to or served a lower version than before,
        or served a version below one that it had heard of.
    """

    restarts: int = 0
    processes: tuple[Process, ...] = (
        Process(),
        Process(),
        Process(late=True),
    )
    reverted: bool = False
    unready: bool = False


class _ProcessSteps:
    """The steps of the processes and the store."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_steps(self, state: Cell) -> Iterator[Step]:
        """Return the successors of a state."""
        for number, process in enumerate(state.processes):
            for label, cell, after in self._move(state, number, process):
                processes = (
                    *state.processes[:number],
                    after,
                    *state.processes[number + 1 :],
                )
                yield (
                    f'process {number}: {label}',
                    cell._replace(processes=processes),
                )

    def _move(
        self, state: Cell, number: int, process: Process
    ) -> Iterator[tuple[str, Cell, Process]]:
        if process.late:
            after = self._advance(process, 1)
            lowered = state._replace(
                reverted=state.reverted or after.held < process.held
            )
            yield 'reads 1', lowered, after._replace(late=False)
        if process.held < LAST_VERSION or not process.ready:
            after = self._advance(process, LAST_VERSION)
            yield 'reads 2', state, after._replace(ready=True, asked=NOBODY)
        for other, peer in enumerate(state.processes):
            if other == number:
                continue
            yield from self._talk(state, process, other, peer)
        if not process.ready and self._has_asked(number, process):
            after = process._replace(ready=True, asked=NOBODY)
            yield 'is ready', state, after
        if self._may_serve(process):
            served = process._replace(served=max(process.served, process.held))
            after_serving = state._replace(
                reverted=state.reverted or process.held < process.served,
                unready=state.unready or process.held < process.heard,
            )
            yield f'serves {process.held}', after_serving, served
        # The processes are alike: call the one that restarts first 0, and
        # the next one to restart 0 or 1.
        if number <= state.restarts < MAX_RESTARTS:
            restarted = state._replace(restarts=state.restarts + 1)
            fresh = Process(0, 0, 0, ready=False, served=process.served)
            yield 'restarts', restarted, fresh

    def _advance(self, process: Process, version: int) -> Process:
        held = max(process.held, version)
        if MONOTONIC not in self.guards:
            held = version
        heard = max(process.heard, held)
        return process._replace(held=held, heard=heard)

    def _talk(
        self, state: Cell, process: Process, other: int, peer: Process
    ) -> Iterator[tuple[str, Cell, Process]]:
        """Return what a heartbeat and a fetch from a peer teach."""
        after = process._replace(
            heard=max(process.heard, peer.heard),
            known=max(process.known, peer.heard),
        )
        counts = peer.ready or READY_PEERS not in self.guards
        if not process.ready and counts:
            after = after._replace(asked=process.asked | {other})
        yield f'hears {other}', state, after
        if peer.held > process.held:
            fetched = self._advance(process, peer.held)
            yield f'fetches from {other}', state, fetched

    def _has_asked(self, number: int, process: Process) -> bool:
        if not process.held:
            return False
        if ASK_PEERS not in self.guards:
            return True
        return len(process.asked) == PROCESSES - 1

    def _may_serve(self, process: Process) -> bool:
        if not process.ready or not process.held:
            return False
        if HOLD_HEARD in self.guards and process.held < process.heard:
            return False
        return ANNOUNCE not in self.guards or process.known >= process.held


@register_specification(
    'configurations.processes',
    (MONOTONIC, ASK_PEERS, READY_PEERS, HOLD_HEARD, ANNOUNCE),
)
def build_processes(guards: frozenset[str]) -> Machine:
    """Build three processes that learn of one change and may restart."""
    return Machine(
        Cell(),
        _ProcessSteps(guards).list_steps,
        {
            'no process goes back': lambda s: not s.reverted,
            'no process serves below what it heard': lambda s: not s.unready,
        },
        {
            'the change is in force': lambda s: all(
                p.served == LAST_VERSION for p in s.processes
            ),
            'a start with the peers only is almost complete': lambda s: any(
                len(p.asked) == PROCESSES - 1 and p.held == LAST_VERSION
                for p in s.processes
            ),
        },
    )
