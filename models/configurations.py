"""Configuration: concurrent writes, and the adoption of new versions.

`configurations.writes` models the manifest and three operators that change
it concurrently. `configurations.processes` models the processes that learn
of a change during an outage of the store and across restarts.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

COMPARE_AND_SWAP = 'compare-and-swap'
READ_BACK = 'read-back after a lost reply'
KEEP_CHANGE_IDS = 'manifest keeps earlier change ids'
REWRITE_UNCHANGED = 'unchanged manifest is rewritten'

OPERATORS = 3


class Operator(NamedTuple):
    """An operator with one change, whose id is the operator's number.

    Parameters
    ----------
    phase : str
        ``idle``, ``write`` (about to write), ``unconfirmed`` (the reply to
        the write is missing), ``conflict``, ``accepted`` or ``rejected``.
    base : tuple of int
        Manifest on which the change is based.
    """

    phase: str = 'idle'
    base: tuple[int, ...] = ()


class ManifestState(NamedTuple):
    """State of the manifest and of the operators.

    Parameters
    ----------
    changes : tuple of int
        Ids of the changes in the manifest; its version is their number.
    operators : tuple of Operator
        Operators that write the manifest.
    delayed_writes : frozenset of (int, tuple)
        Operator and base of each write that may still take effect.
    ever_effective : frozenset of int
        Ids of all changes that have taken effect.
    """

    changes: tuple[int, ...] = ()
    operators: tuple[Operator, ...] = (Operator(),) * OPERATORS
    delayed_writes: frozenset[tuple[int, tuple[int, ...]]] = frozenset()
    ever_effective: frozenset[int] = frozenset()


class _WriteTransitions:
    """Transitions of the operators and the store."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: ManifestState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        for number, operator in enumerate(state.operators):
            for label, store, after in self._list_operator_transitions(
                state, number, operator
            ):
                operators = (
                    *state.operators[:number],
                    after,
                    *state.operators[number + 1 :],
                )
                yield (
                    f'operator {number}: {label}',
                    store._replace(operators=operators),
                )
        for write in state.delayed_writes:
            remaining = state._replace(
                delayed_writes=state.delayed_writes - {write}
            )
            stored, _ = self._write_manifest(remaining, *write)
            yield f'delayed write of operator {write[0]}', stored

    def _write_manifest(
        self, state: ManifestState, number: int, base: tuple[int, ...]
    ) -> tuple[ManifestState, bool]:
        if COMPARE_AND_SWAP in self.guards and state.changes != base:
            return state, False
        return (
            state._replace(
                changes=(*base, number),
                ever_effective=state.ever_effective | {number},
            ),
            True,
        )

    def _list_operator_transitions(
        self, state: ManifestState, number: int, operator: Operator
    ) -> Iterator[tuple[str, ManifestState, Operator]]:
        if operator.phase == 'idle':
            yield 'reads', state, Operator('write', state.changes)
        if operator.phase == 'write':
            unconfirmed = operator._replace(phase='unconfirmed')
            written, done = self._write_manifest(state, number, operator.base)
            phase = 'accepted' if done else 'conflict'
            yield f'writes: {phase}', written, operator._replace(phase=phase)
            yield 'writes, reply lost', written, unconfirmed
            delayed_writes = state.delayed_writes | {(number, operator.base)}
            yield (
                'writes, no reply yet',
                state._replace(delayed_writes=delayed_writes),
                unconfirmed,
            )
        if operator.phase == 'unconfirmed' and READ_BACK not in self.guards:
            yield 'gives up', state, operator._replace(phase='rejected')
        if operator.phase in ('unconfirmed', 'conflict'):
            phase = self._read_back(state, number, operator)
            yield f'reads back: {phase}', state, operator._replace(phase=phase)

    def _read_back(
        self, state: ManifestState, number: int, operator: Operator
    ) -> str:
        change_ids = state.changes
        if KEEP_CHANGE_IDS not in self.guards:
            change_ids = change_ids[-1:]
        if number in change_ids:
            return 'accepted'
        if state.changes == operator.base and REWRITE_UNCHANGED in self.guards:
            return 'write'
        return 'rejected'


@register_specification(
    'configurations.writes',
    (COMPARE_AND_SWAP, READ_BACK, KEEP_CHANGE_IDS, REWRITE_UNCHANGED),
)
def build_writes(guards: frozenset[str]) -> StateMachine:
    """Build the model of three operators with concurrent changes."""

    def list_operators_in(state: ManifestState, phase: str) -> set[int]:
        return {
            number
            for number, operator in enumerate(state.operators)
            if operator.phase == phase
        }

    return StateMachine(
        ManifestState(),
        _WriteTransitions(guards).list_transitions,
        {
            'an effective change is kept': lambda s: (
                s.ever_effective <= set(s.changes)
            ),
            'an accepted change is in the manifest': lambda s: (
                list_operators_in(s, 'accepted') <= set(s.changes)
            ),
            'a rejected change is not in the manifest': lambda s: (
                not list_operators_in(s, 'rejected') & set(s.changes)
            ),
            'a change is applied once': lambda s: (
                len(s.changes) == len(set(s.changes))
            ),
        },
        {
            'all changes are accepted': lambda s: (
                len(list_operators_in(s, 'accepted')) == OPERATORS
            ),
            'a change is rejected': lambda s: bool(
                list_operators_in(s, 'rejected')
            ),
        },
    )


MONOTONIC = 'monotonic advance'
QUERY_PEERS = 'every peer queried before serving'
READY_PEERS = 'reply of a starting peer does not count'
SERVE_NEWEST = 'serves only the newest version it knows of'
PEER_INFORMED = 'peer knows of a version before it is served'

PROCESSES = 3
NO_PEERS: frozenset[int] = frozenset()
LAST_VERSION = 2
MAX_RESTARTS = 2


class Process(NamedTuple):
    """A process that serves the configuration.

    Parameters
    ----------
    held_version, highest_known : int
        Version that the process holds, 0 for none, and the highest version
        of which it knows.
    known_to_peer : int
        Highest version of which, as the process knows, some peer knows.
    ready : bool
        Whether its start is complete.
    replied_peers : frozenset of int
        Peers that have replied since its start.
    old_reply_pending : bool
        Whether a reply that the store sent before the change is in flight.
    highest_served : int
        Highest version that it has served, including before restarts.
    """

    held_version: int = 1
    highest_known: int = 1
    known_to_peer: int = 1
    ready: bool = True
    replied_peers: frozenset[int] = NO_PEERS
    old_reply_pending: bool = False
    highest_served: int = 1


class CellState(NamedTuple):
    """State of the processes.

    The store always holds the last version; it may or may not respond.

    Parameters
    ----------
    restarts : int
        Number of restarts so far.
    processes : tuple of Process
        All processes; each knows all others as peers.
    version_decreased : bool
        Whether some process has adopted or served a lower version than
        before.
    outdated_served : bool
        Whether some process has served a version below one of which it knew.
    """

    restarts: int = 0
    processes: tuple[Process, ...] = (
        Process(),
        Process(),
        Process(old_reply_pending=True),
    )
    version_decreased: bool = False
    outdated_served: bool = False


class _ProcessTransitions:
    """Transitions of the processes and the store."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: CellState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        for number, process in enumerate(state.processes):
            for label, cell, after in self._list_process_transitions(
                state, number, process
            ):
                processes = (
                    *state.processes[:number],
                    after,
                    *state.processes[number + 1 :],
                )
                yield (
                    f'process {number}: {label}',
                    cell._replace(processes=processes),
                )

    def _list_process_transitions(
        self, state: CellState, number: int, process: Process
    ) -> Iterator[tuple[str, CellState, Process]]:
        if process.old_reply_pending:
            after = self._adopt_version(process, 1)
            after_read = state._replace(
                version_decreased=state.version_decreased
                or after.held_version < process.held_version
            )
            yield (
                'reads version 1',
                after_read,
                after._replace(old_reply_pending=False),
            )
        if process.held_version < LAST_VERSION or not process.ready:
            after = self._adopt_version(process, LAST_VERSION)
            yield (
                'reads version 2',
                state,
                after._replace(ready=True, replied_peers=NO_PEERS),
            )
        for other, peer in enumerate(state.processes):
            if other == number:
                continue
            yield from self._list_peer_transitions(state, process, other, peer)
        if not process.ready and self._is_start_complete(number, process):
            after = process._replace(ready=True, replied_peers=NO_PEERS)
            yield 'is ready', state, after
        if self._may_serve(process):
            served = process._replace(
                highest_served=max(
                    process.highest_served, process.held_version
                )
            )
            after_serving = state._replace(
                version_decreased=state.version_decreased
                or process.held_version < process.highest_served,
                outdated_served=state.outdated_served
                or process.held_version < process.highest_known,
            )
            yield (
                f'serves version {process.held_version}',
                after_serving,
                served,
            )
        # Processes are interchangeable, so the first one to restart may be
        # called 0, and the next one 0 or 1.
        if number <= state.restarts < MAX_RESTARTS:
            restarted = state._replace(restarts=state.restarts + 1)
            restarted_process = Process(
                0, 0, 0, ready=False, highest_served=process.highest_served
            )
            yield 'restarts', restarted, restarted_process

    def _adopt_version(self, process: Process, version: int) -> Process:
        held_version = max(process.held_version, version)
        if MONOTONIC not in self.guards:
            held_version = version
        highest_known = max(process.highest_known, held_version)
        return process._replace(
            held_version=held_version, highest_known=highest_known
        )

    def _list_peer_transitions(
        self, state: CellState, process: Process, other: int, peer: Process
    ) -> Iterator[tuple[str, CellState, Process]]:
        """Return the transitions by a heartbeat and a fetch from a peer."""
        after = process._replace(
            highest_known=max(process.highest_known, peer.highest_known),
            known_to_peer=max(process.known_to_peer, peer.highest_known),
        )
        reply_counts = peer.ready or READY_PEERS not in self.guards
        if not process.ready and reply_counts:
            after = after._replace(
                replied_peers=process.replied_peers | {other}
            )
        yield f'receives a heartbeat of {other}', state, after
        if peer.held_version > process.held_version:
            fetched = self._adopt_version(process, peer.held_version)
            yield f'fetches from {other}', state, fetched

    def _is_start_complete(self, number: int, process: Process) -> bool:
        if not process.held_version:
            return False
        if QUERY_PEERS not in self.guards:
            return True
        return len(process.replied_peers) == PROCESSES - 1

    def _may_serve(self, process: Process) -> bool:
        if not process.ready or not process.held_version:
            return False
        if (
            SERVE_NEWEST in self.guards
            and process.held_version < process.highest_known
        ):
            return False
        return (
            PEER_INFORMED not in self.guards
            or process.known_to_peer >= process.held_version
        )


@register_specification(
    'configurations.processes',
    (MONOTONIC, QUERY_PEERS, READY_PEERS, SERVE_NEWEST, PEER_INFORMED),
)
def build_processes(guards: frozenset[str]) -> StateMachine:
    """Build the model of three processes, one change and restarts."""
    return StateMachine(
        CellState(),
        _ProcessTransitions(guards).list_transitions,
        {
            'no process returns to a lower version': lambda s: (
                not s.version_decreased
            ),
            'no process serves an outdated version': lambda s: (
                not s.outdated_served
            ),
        },
        {
            'all processes serve the change': lambda s: all(
                p.highest_served == LAST_VERSION for p in s.processes
            ),
            'a start without the store is almost complete': lambda s: any(
                len(p.replied_peers) == PROCESSES - 1
                and p.held_version == LAST_VERSION
                for p in s.processes
            ),
        },
    )
