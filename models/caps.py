"""The cap of a tenant, of 2 tasks, during a takeover with 2 workers.

Workers check no caps, so the owners alone must keep what runs on all workers
within it. The old owner may go on after the takeover. The successor knows from
the journal which tasks have not ended, not which of them run. A worker that
does not reply stays silent for good; `attempts` models the expiry of leases.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

CAP = 2
# The capacity of each worker, in tasks.
CAPACITIES = {'A': 2, 'B': 1}
# Task 2 is of a job that its caller may cancel.
OLD_TASKS = (0, 1, 2)
CANCELLED_TASK = 2
NEW_TASKS = (3,)

UNSEEN_COUNT = 'tasks that may run unseen count'
ENDED_COUNT = 'unseen tasks of ended jobs count'
UNTIL_GONE = 'runs count until they are gone'
STOPPING_COUNT = 'runs that are being stopped count'
EPOCH_FENCING = 'epoch fencing at the worker'

Place = tuple[int, str]
Places = frozenset[Place]
NO_PLACES: Places = frozenset()
WORKERS = frozenset(CAPACITIES)


class CapState(NamedTuple):
    """State of two workers and of two owners.

    Parameters
    ----------
    running, starts : frozenset of (int, str)
        Tasks with the workers on which they run, and start calls that may
        still be carried out.
    ended : frozenset of int
        Tasks that have ended.
    sent : frozenset of int
        Tasks that an owner has started.
    old_account, new_account : frozenset of (int, str)
        Runs that each owner counts.
    cancelled : bool
        Whether the journal has the cancellation of a job.
    taken_over : bool
        Whether the successor has taken over.
    unseen : frozenset of int
        Tasks that may run, as far as the successor knows.
    silent : frozenset of str
        Workers that have not replied to the successor. The others obey it.
    """

    running: Places = NO_PLACES
    starts: Places = NO_PLACES
    ended: frozenset[int] = frozenset()
    sent: frozenset[int] = frozenset()
    old_account: Places = NO_PLACES
    new_account: Places = NO_PLACES
    cancelled: bool = False
    taken_over: bool = False
    unseen: frozenset[int] = frozenset()
    silent: frozenset[str] = WORKERS


def _count_on(places: Places, worker: str) -> int:
    return sum(1 for _, name in places if name == worker)


class _CapTransitions:
    """Transitions of the workers and of both owners."""

    def __init__(self, guards: frozenset[str]) -> None:
        self.guards = guards

    def list_transitions(self, state: CapState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        yield from self._list_worker_transitions(state)
        yield from self._list_old_owner_transitions(state)
        if not state.taken_over:
            yield 'successor takes over', self._take_over(state)
            return
        yield from self._list_successor_transitions(state)

    def _list_worker_transitions(
        self, state: CapState
    ) -> Iterator[Transition]:
        for start in state.starts:
            task, worker = start
            done = state._replace(starts=state.starts - {start})
            yield f'start of {task} on {worker} is lost', done
            fenced = task in OLD_TASKS and worker not in state.silent
            if fenced and EPOCH_FENCING in self.guards:
                continue
            if task not in state.ended:
                started = done._replace(running=state.running | {start})
                yield f'{worker} starts {task}', started
        for run in state.running:
            after_end = state._replace(
                running=state.running - {run}, ended=state.ended | {run[0]}
            )
            yield f'{run[0]} ends on {run[1]}', after_end

    def _list_old_owner_transitions(
        self, state: CapState
    ) -> Iterator[Transition]:
        for task in OLD_TASKS:
            if task == CANCELLED_TASK and state.cancelled:
                continue
            if len(state.old_account) >= CAP:
                break
            for label, after in self._list_starts(
                state, task, state.old_account
            ):
                account = state.old_account | (after.starts - state.starts)
                yield (
                    f'old owner: {label}',
                    after._replace(old_account=account),
                )
        for label, account in self._list_releases(state, state.old_account):
            yield f'old owner: {label}', state._replace(old_account=account)
        if CANCELLED_TASK in state.sent and not (
            state.cancelled or state.taken_over
        ):
            yield 'the job is cancelled', state._replace(cancelled=True)

    def _list_starts(
        self, state: CapState, task: int, account: Places
    ) -> Iterator[tuple[str, CapState]]:
        if task in state.sent:
            return
        for worker, capacity in CAPACITIES.items():
            if task in NEW_TASKS and worker in state.silent:
                continue
            if _count_on(account, worker) >= capacity:
                continue
            yield (
                f'start {task} on {worker}',
                state._replace(
                    sent=state.sent | {task},
                    starts=state.starts | {(task, worker)},
                ),
            )

    def _list_releases(
        self, state: CapState, account: Places
    ) -> Iterator[tuple[str, Places]]:
        """Return an owner's account after it has released one run."""
        for place in account:
            left = account - {place}
            if place not in state.running | state.starts:
                yield f'{place} is gone', left
            elif place in state.starts and UNTIL_GONE not in self.guards:
                yield f'{place} gets no reply', left
            elif (
                place[0] == CANCELLED_TASK
                and state.cancelled
                and STOPPING_COUNT not in self.guards
            ):
                yield f'{place} is being stopped', left

    def _take_over(self, state: CapState) -> CapState:
        # An end may not be in the journal yet. Counting it changes nothing
        # but the number of tasks that may run.
        unseen = frozenset(OLD_TASKS) - state.ended
        if state.cancelled and ENDED_COUNT not in self.guards:
            unseen -= {CANCELLED_TASK}
        if UNSEEN_COUNT not in self.guards:
            unseen = frozenset()
        return state._replace(taken_over=True, unseen=unseen)

    def _list_successor_transitions(
        self, state: CapState
    ) -> Iterator[Transition]:
        for worker in state.silent:
            yield from self._list_settlements(state, worker)
        if len(state.new_account) + self._bound_unseen(state) < CAP:
            for task in NEW_TASKS:
                for label, after in self._list_starts(
                    state, task, state.new_account
                ):
                    account = state.new_account | (after.starts - state.starts)
                    yield (
                        f'successor: {label}',
                        after._replace(new_account=account),
                    )
        for label, account in self._list_releases(state, state.new_account):
            yield f'successor: {label}', state._replace(new_account=account)

    def _list_settlements(
        self, state: CapState, worker: str
    ) -> Iterator[Transition]:
        silent = state.silent - {worker}
        seen = frozenset(run for run in state.running if run[1] == worker)
        replied = state._replace(
            silent=silent,
            new_account=state.new_account | seen,
            unseen=state.unseen - {task for task, _ in seen},
        )
        yield f'{worker} replies to the successor', replied

    def _bound_unseen(self, state: CapState) -> int:
        """Return how many tasks may run on silent workers at most."""
        capacity = sum(CAPACITIES[worker] for worker in state.silent)
        return min(len(state.unseen), capacity)


@register_specification(
    'caps.takeover',
    (UNSEEN_COUNT, ENDED_COUNT, UNTIL_GONE, STOPPING_COUNT, EPOCH_FENCING),
)
def build_takeover(guards: frozenset[str]) -> StateMachine:
    """Build the model of a tenant's cap during a takeover."""
    return StateMachine(
        CapState(),
        _CapTransitions(guards).list_transitions,
        {
            'what runs fits the cap': lambda s: len(s.running) <= CAP,
        },
        {
            'tasks of both owners run': lambda s: (
                any(task in OLD_TASKS for task, _ in s.running)
                and any(task in NEW_TASKS for task, _ in s.running)
            ),
            'a task starts while a worker is silent': lambda s: (
                s.silent and s.sent & set(NEW_TASKS)
            ),
            'the old owner starts a task after the takeover': lambda s: (
                s.taken_over
                and any(
                    task in OLD_TASKS and worker in s.silent
                    for task, worker in s.starts
                )
            ),
        },
    )
