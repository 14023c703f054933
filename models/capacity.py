"""Reservations on one host of 2 units, over a takeover and a restart.

The host itself accepts any start that its fence lets through, so that the
owners alone must keep the sum. A lapse is an event that is possible only
once nothing of the task runs or may start; `attempts` shows how it is timed.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import register_specification
from sassafrasgate.shards.ownership import accepts_placements

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Step

UNITS = 2
# Old owner's tasks: 0 is journaled, 1 and 2 are quick requests, which are
# not. Tasks 3 and 4 are the successor's.
SIZES = (1, 1, 2, 1, 2)
OLD_TASKS = (0, 1, 2)
NEW_TASKS = (3, 4)
JOURNALED = frozenset({0})

UNKNOWN_END = 'a task of unknown end counts'
UNKNOWN_TASKS = 'unknown tasks count'
FENCE_ANSWERED = 'host answers the fence before placing'
EPOCH = 'worker epoch fence'
INCARNATION = 'incarnation check on starts'

Tasks = frozenset[int]
NOTHING: Tasks = frozenset()


class Report(NamedTuple):
    """A host's answer to the successor's sync, on its way."""

    incarnation: int
    running: Tasks


class World(NamedTuple):
    """One host and the two owners of its shard.

    Parameters
    ----------
    running, done : frozenset of int
        Tasks on the host, and those that it reports as ended.
    fenced : bool
        Whether the host refuses the old owner.
    incarnation : int
        Of the host; a restart forgets tasks and fence.
    starts : frozenset of (int, int)
        Starts that may still arrive: task and incarnation.
    old, new : frozenset of int
        What each owner has reserved.
    old_knows, new_knows : int
        The incarnation that each owner last heard of.
    sent : frozenset of int
        Tasks whose start was sent by their owner.
    taken : bool
        Whether the successor has taken the shard.
    answered : bool
        Whether the successor has the host's answer.
    report : Report or None
        That answer while it is on its way.
    """

    running: Tasks = NOTHING
    done: Tasks = NOTHING
    fenced: bool = False
    incarnation: int = 0
    starts: frozenset[tuple[int, int]] = frozenset()
    old: Tasks = NOTHING
    new: Tasks = NOTHING
    old_knows: int = 0
    new_knows: int = 0
    sent: Tasks = NOTHING
    taken: bool = False
    answered: bool = False
    report: Report | None = None


def _sum_units(tasks: Tasks) -> int:
    return sum(SIZES[task] for task in tasks)


class _Steps:
    """The steps of the host and both owners."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_steps(self, state: World) -> Iterator[Step]:
        """Return the successors of a state."""
        yield from self._run_host(state)
        yield from self._own(state)
        if not state.taken:
            known = state.old & JOURNALED
            taken = state._replace(taken=True, new=known)
            yield 'successor takes over', taken
            return
        yield from self._succeed(state)

    def _run_host(self, state: World) -> Iterator[Step]:
        for start in state.starts:
            task, incarnation = start
            rest = state._replace(starts=state.starts - {start})
            yield f'start of {task} is lost or too late', rest
            stale = state.fenced and EPOCH in self.guards
            if task in OLD_TASKS and stale:
                continue
            other = incarnation != state.incarnation
            if other and INCARNATION in self.guards:
                continue
            if task in state.running | state.done:
                continue
            # The start stays under way, since it may arrive twice.
            running = state._replace(running=state.running | {task})
            yield f'host starts {task}', running
        for task in state.running:
            ended = state._replace(
                running=state.running - {task}, done=state.done | {task}
            )
            yield f'task {task} ends', ended
        if state.incarnation == 0:
            restarted = state._replace(
                incarnation=1, running=NOTHING, done=NOTHING, fenced=False
            )
            yield 'host restarts', restarted

    def _own(self, state: World) -> Iterator[Step]:
        """Return the steps of the old owner, which may be stale."""
        for task, after in self._place(
            state, OLD_TASKS, state.old, state.old_knows
        ):
            if not (state.taken and task in JOURNALED):
                placed = after._replace(old=state.old | {task})
                yield f'old owner starts {task}', placed
        for label, kept in self._release(state, state.old):
            yield f'old owner: {label}', state._replace(old=kept)
        if state.old_knows != state.incarnation:
            heard = state._replace(old=NOTHING, old_knows=state.incarnation)
            yield 'old owner hears of the restart', heard

    def _place(
        self,
        state: World,
        tasks: tuple[int, ...],
        reserved: Tasks,
        incarnation: int,
    ) -> Iterator[tuple[int, World]]:
        for task in tasks:
            fits = _sum_units(reserved | {task}) <= UNITS
            if task in state.sent or not fits:
                continue
            yield (
                task,
                state._replace(
                    sent=state.sent | {task},
                    starts=state.starts | {(task, incarnation)},
                ),
            )

    def _release(
        self, state: World, reserved: Tasks
    ) -> Iterator[tuple[str, Tasks]]:
        """Return the reservations without a task that is over."""
        under_way = {task for task, _ in state.starts}
        for task in reserved:
            over = task not in state.running and task not in under_way
            if task in state.done or over:
                yield f'{task} has ended or lapsed', reserved - {task}
            elif UNKNOWN_END not in self.guards:
                yield f'{task} does not answer', reserved - {task}

    def _succeed(self, state: World) -> Iterator[Step]:
        if state.report is None and not state.answered:
            report = Report(state.incarnation, state.running)
            fenced = state._replace(fenced=True, report=report)
            yield 'host answers the sync', fenced
        if state.report:
            yield 'successor gets the answer', self._learn(state, state.report)
        if state.answered and state.new_knows != state.incarnation:
            # A new incarnation has to answer the fence like a new host.
            again = state._replace(answered=False)
            yield 'successor hears of the restart', again
        answered = state.answered or FENCE_ANSWERED not in self.guards
        if accepts_placements(answered, False, False, False):
            for task, after in self._place(
                state, NEW_TASKS, state.new, state.new_knows
            ):
                placed = after._replace(new=state.new | {task})
                yield f'successor starts {task}', placed
        for label, kept in self._release(state, state.new):
            yield f'successor: {label}', state._replace(new=kept)

    def _learn(self, state: World, report: Report) -> World:
        new = state.new
        if report.incarnation != state.new_knows:
            new = NOTHING
        if UNKNOWN_TASKS in self.guards:
            new = new | report.running
        return state._replace(
            report=None,
            answered=True,
            new_knows=report.incarnation,
            new=new,
        )


@register_specification(
    'capacity.host',
    (UNKNOWN_END, UNKNOWN_TASKS, FENCE_ANSWERED, EPOCH, INCARNATION),
)
def build_host(guards: frozenset[str]) -> Machine:
    """Build one host that is taken over with running tasks."""
    return Machine(
        World(),
        _Steps(guards).list_steps,
        {
            'running tasks fit the host': lambda s: (
                _sum_units(s.running) <= UNITS
            ),
        },
        {
            'tasks of both owners run': lambda s: (
                s.running & {1} and s.running & set(NEW_TASKS)
            ),
            'the successor places on a new incarnation': lambda s: (
                s.incarnation == 1
                and s.new_knows == 1
                and s.running & set(NEW_TASKS)
            ),
            'a stale start arrives': lambda s: (
                s.fenced and any(t in OLD_TASKS for t, _ in s.starts)
            ),
        },
    )
