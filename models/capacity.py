"""Reservations on one host of 2 units during a takeover and a restart.

The host itself accepts every start whose epoch it does not refuse, so the
owners alone must keep the reserved units within its capacity. The expiry of a
lease is an event that is possible only once the task neither runs nor can
still start; `attempts` models its timing.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.shards.ownership import accepts_placements

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

HOST_UNITS = 2
# Tasks 0 to 2 belong to the old owner: task 0 is journaled; tasks 1 and 2 are
# quick requests, which are not journaled. Tasks 3 and 4 belong to the
# successor.
TASK_UNITS = (1, 1, 2, 1, 2)
OLD_TASKS = (0, 1, 2)
NEW_TASKS = (3, 4)
JOURNALED = frozenset({0})

KEEP_RESERVATION = 'reservation kept while the end is unknown'
RESERVE_UNKNOWN_TASKS = 'unknown running tasks are reserved'
EPOCH_ACKNOWLEDGED = 'host acknowledges the epoch before placing'
EPOCH_FENCING = 'epoch fencing at the worker'
INCARNATION = 'incarnation check on starts'

Tasks = frozenset[int]
NO_TASKS: Tasks = frozenset()


class SyncReply(NamedTuple):
    """The host's reply to the successor's sync, in flight."""

    incarnation: int
    running: Tasks


class CapacityState(NamedTuple):
    """State of one host and of the two owners of its shard.

    Parameters
    ----------
    running, ended : frozenset of int
        Tasks that run on the host, and tasks that it reports as ended.
    new_epoch_seen : bool
        Whether the host has seen the successor's epoch and therefore refuses
        the old owner's commands.
    incarnation : int
        Incarnation of the host; a restart clears its tasks and its epoch.
    starts : frozenset of (int, int)
        Task and incarnation of each start that may still arrive.
    old_reserved, new_reserved : frozenset of int
        Tasks for which each owner has reserved capacity.
    old_known_incarnation, new_known_incarnation : int
        Latest incarnation of the host that each owner knows.
    sent : frozenset of int
        Tasks whose start was sent by their owner.
    taken_over : bool
        Whether the successor has taken over the shard.
    epoch_acknowledged : bool
        Whether the successor has received the host's reply.
    reply : SyncReply or None
        The host's reply while it is in flight.
    """

    running: Tasks = NO_TASKS
    ended: Tasks = NO_TASKS
    new_epoch_seen: bool = False
    incarnation: int = 0
    starts: frozenset[tuple[int, int]] = frozenset()
    old_reserved: Tasks = NO_TASKS
    new_reserved: Tasks = NO_TASKS
    old_known_incarnation: int = 0
    new_known_incarnation: int = 0
    sent: Tasks = NO_TASKS
    taken_over: bool = False
    epoch_acknowledged: bool = False
    reply: SyncReply | None = None


def _sum_units(tasks: Tasks) -> int:
    return sum(TASK_UNITS[task] for task in tasks)


class _HostTransitions:
    """Transitions of the host and of both owners."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: CapacityState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        yield from self._list_host_transitions(state)
        yield from self._list_old_owner_transitions(state)
        if not state.taken_over:
            known = state.old_reserved & JOURNALED
            taken_over = state._replace(taken_over=True, new_reserved=known)
            yield 'successor takes over', taken_over
            return
        yield from self._list_successor_transitions(state)

    def _list_host_transitions(
        self, state: CapacityState
    ) -> Iterator[Transition]:
        for start in state.starts:
            task, incarnation = start
            remaining = state._replace(starts=state.starts - {start})
            yield f'start of {task} is lost or too late', remaining
            stale = state.new_epoch_seen and EPOCH_FENCING in self.guards
            if task in OLD_TASKS and stale:
                continue
            other_incarnation = incarnation != state.incarnation
            if other_incarnation and INCARNATION in self.guards:
                continue
            if task in state.running | state.ended:
                continue
            # The start stays in flight, because it may arrive twice.
            running = state._replace(running=state.running | {task})
            yield f'host starts {task}', running
        for task in state.running:
            after_end = state._replace(
                running=state.running - {task}, ended=state.ended | {task}
            )
            yield f'task {task} ends', after_end
        if state.incarnation == 0:
            restarted = state._replace(
                incarnation=1,
                running=NO_TASKS,
                ended=NO_TASKS,
                new_epoch_seen=False,
            )
            yield 'host restarts', restarted

    def _list_old_owner_transitions(
        self, state: CapacityState
    ) -> Iterator[Transition]:
        """Return the transitions of the old owner, which may be stale."""
        for task, after in self._list_placements(
            state, OLD_TASKS, state.old_reserved, state.old_known_incarnation
        ):
            if not (state.taken_over and task in JOURNALED):
                placed = after._replace(
                    old_reserved=state.old_reserved | {task}
                )
                yield f'old owner starts {task}', placed
        for label, kept in self._list_releases(state, state.old_reserved):
            yield f'old owner: {label}', state._replace(old_reserved=kept)
        if state.old_known_incarnation != state.incarnation:
            updated = state._replace(
                old_reserved=NO_TASKS, old_known_incarnation=state.incarnation
            )
            yield 'old owner learns of the restart', updated

    def _list_placements(
        self,
        state: CapacityState,
        tasks: tuple[int, ...],
        reserved: Tasks,
        incarnation: int,
    ) -> Iterator[tuple[int, CapacityState]]:
        for task in tasks:
            fits = _sum_units(reserved | {task}) <= HOST_UNITS
            if task in state.sent or not fits:
                continue
            yield (
                task,
                state._replace(
                    sent=state.sent | {task},
                    starts=state.starts | {(task, incarnation)},
                ),
            )

    def _list_releases(
        self, state: CapacityState, reserved: Tasks
    ) -> Iterator[tuple[str, Tasks]]:
        """Return the reservations after the release of one task."""
        in_flight = {task for task, _ in state.starts}
        for task in reserved:
            cannot_run = task not in state.running and task not in in_flight
            if task in state.ended or cannot_run:
                yield (
                    f'{task} has ended or its lease has expired',
                    reserved - {task},
                )
            elif KEEP_RESERVATION not in self.guards:
                yield f'{task} does not respond', reserved - {task}

    def _list_successor_transitions(
        self, state: CapacityState
    ) -> Iterator[Transition]:
        if state.reply is None and not state.epoch_acknowledged:
            reply = SyncReply(state.incarnation, state.running)
            replied = state._replace(new_epoch_seen=True, reply=reply)
            yield 'host replies to the sync', replied
        if state.reply:
            yield (
                'successor receives the reply',
                self._receive_sync_reply(state, state.reply),
            )
        if (
            state.epoch_acknowledged
            and state.new_known_incarnation != state.incarnation
        ):
            # A new incarnation has to acknowledge the epoch like a new host.
            unacknowledged = state._replace(epoch_acknowledged=False)
            yield 'successor learns of the restart', unacknowledged
        epoch_acknowledged = (
            state.epoch_acknowledged or EPOCH_ACKNOWLEDGED not in self.guards
        )
        if accepts_placements(epoch_acknowledged, False, False, False):
            for task, after in self._list_placements(
                state,
                NEW_TASKS,
                state.new_reserved,
                state.new_known_incarnation,
            ):
                placed = after._replace(
                    new_reserved=state.new_reserved | {task}
                )
                yield f'successor starts {task}', placed
        for label, kept in self._list_releases(state, state.new_reserved):
            yield f'successor: {label}', state._replace(new_reserved=kept)

    def _receive_sync_reply(
        self, state: CapacityState, reply: SyncReply
    ) -> CapacityState:
        new_reserved = state.new_reserved
        if reply.incarnation != state.new_known_incarnation:
            new_reserved = NO_TASKS
        if RESERVE_UNKNOWN_TASKS in self.guards:
            new_reserved = new_reserved | reply.running
        return state._replace(
            reply=None,
            epoch_acknowledged=True,
            new_known_incarnation=reply.incarnation,
            new_reserved=new_reserved,
        )


@register_specification(
    'capacity.host',
    (
        KEEP_RESERVATION,
        RESERVE_UNKNOWN_TASKS,
        EPOCH_ACKNOWLEDGED,
        EPOCH_FENCING,
        INCARNATION,
    ),
)
def build_host(guards: frozenset[str]) -> StateMachine:
    """Build the model of one host that runs tasks during a takeover."""
    return StateMachine(
        CapacityState(),
        _HostTransitions(guards).list_transitions,
        {
            'running tasks fit the capacity of the host': lambda s: (
                _sum_units(s.running) <= HOST_UNITS
            ),
        },
        {
            'tasks of both owners run': lambda s: (
                s.running & {1} and s.running & set(NEW_TASKS)
            ),
            'the successor places on a new incarnation': lambda s: (
                s.incarnation == 1
                and s.new_known_incarnation == 1
                and s.running & set(NEW_TASKS)
            ),
            'a stale start is in flight after fencing': lambda s: (
                s.new_epoch_seen and any(t in OLD_TASKS for t, _ in s.starts)
            ),
        },
    )
