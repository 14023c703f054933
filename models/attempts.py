"""Attempts of one job: starts, leases, worker clocks and incarnations.

Host A is reached over a network that loses, delays and repeats messages;
its clock is slow within the drift bound and it may restart once. Host B
starts the second attempt at once, which is the earliest possible overlap.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import Predicate
from models.specifications import register_specification
from sassafrasgate.shards.attempts import AttemptStatus
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.attempts import compute_task_lease_deadline
from sassafrasgate.shards.attempts import compute_task_lease_expiry
from sassafrasgate.shards.attempts import decide_retry
from sassafrasgate.shards.attempts import RetryDecision

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Step

# One unit stands for about 3 s: a lease of 3 units is 10 s. The drift bound
# is far above the real 1%, so that it shows within a few units.
LEASE = 3
WINDOW = 2
DRIFT = 0.5
MAX_ATTEMPTS = 2
# Host A's clock at the start; a new incarnation starts again from 0.
CLOCK = 4
# No wait for a lapse is longer, since no lease sent is longer than LEASE
# from the owner's reading.
MAX_AGE = 5
# Ticks between two that the slow clock misses: at least 2 of 3 count.
CALM_TICKS = 2

START_DEADLINE = 'start deadline at the worker'
START_INCARNATION = 'incarnation check on starts'
RENEW_INCARNATION = 'incarnation check on renewals'
PAST_REPLIES = 'replies of past incarnations dropped'
DRIFT_WAIT = 'lapse wait with drift'
LONGEST_LEASE = 'lapse of the longest lease sent'
REMEMBER_ENDED = 'ended task remembered to its deadline'
REMEMBER_REFUSED = 'refusal remembered'
AT_MOST_ONCE = 'non-idempotent rule'


class Task(NamedTuple):
    """A task as host A remembers it; ``state`` as in the worker's API."""

    attempt: int
    start_before: int
    deadline: int
    state: str


class Start(NamedTuple):
    """A start command on its way to host A."""

    attempt: int
    incarnation: int
    start_before: int
    deadline: int


class Reply(NamedTuple):
    """A reply of host A: its clock and what it knows of one attempt."""

    incarnation: int
    clock: int
    attempt: int
    state: str


class Owner(NamedTuple):
    """What the shard's owner believes.

    Parameters
    ----------
    incarnation, clock, age
        The last reading of host A, and the time since it arrived.
    past : frozenset of int
        Incarnations that are known to be over.
    attempt : int
        Number of the last attempt; 0 before the first one.
    host : str
        Host of that attempt.
    start_before, deadline
        What was sent for it, on host A's clock.
    fate : str
        An `AttemptStatus`, or empty before the first attempt.
    may_have_run : bool
        Whether any attempt so far is not known to have never started.
    answer : str
        The job's end: ``failed``, ``unknown``, ``not run`` or empty.
    """

    incarnation: int = 0
    clock: int = 0
    age: int = 0
    past: frozenset[int] = frozenset()
    attempt: int = 0
    host: str = ''
    start_before: int = 0
    deadline: int = 0
    fate: str = ''
    may_have_run: bool = False
    answer: str = ''


@dataclass(frozen=True, slots=True)
class Scope:
    """Which faults and steps a model includes.

    Parameters
    ----------
    idempotent : bool
        Whether the job may run again.
    drift, restarts, renewals, refusals, releases : bool
        Whether host A's clock misses ticks, the host restarts once, the
        owner renews leases, the host may lack room, and the host forgets
        ended tasks that the owner has noted.
    replies : int
        Replies under way at once.
    horizons : (int, int)
        Units of time on host A's clock before and after its restart.
    """

    idempotent: bool = True
    drift: bool = False
    restarts: bool = False
    renewals: bool = False
    refusals: bool = False
    releases: bool = False
    replies: int = 1
    horizons: tuple[int, int] = (6, 0)


class World(NamedTuple):
    """Owner, hosts and network.

    Parameters
    ----------
    owner : Owner
        Its beliefs.
    incarnation, clock, calm
        Host A, and ticks since its clock last missed one.
    tasks : frozenset of Task
        What host A remembers.
    other : int
        The attempt that runs on host B; 0 for none.
    starts : frozenset of Start
        Start commands sent; each may arrive at any time and again.
    renewal : (int, int) or None
        Last renewal sent: incarnation and deadline.
    replies : frozenset of Reply
        Replies under way.
    ever : frozenset of int
        Attempts that have run.
    over : frozenset of int
        Attempts that the owner believes to be over.
    """

    owner: Owner = Owner()
    incarnation: int = 0
    clock: int = 0
    calm: int = CALM_TICKS
    tasks: frozenset[Task] = frozenset()
    other: int = 0
    starts: frozenset[Start] = frozenset()
    renewal: tuple[int, int] | None = None
    replies: frozenset[Reply] = frozenset()
    ever: frozenset[int] = frozenset()
    over: frozenset[int] = frozenset()


def _list_running(state: World) -> list[int]:
    running = [t.attempt for t in state.tasks if t.state == 'running']
    return [*running, state.other] if state.other else running


def _is_news(owner: Owner, reply: Reply) -> bool:
    """Tell whether a reply is not older than the owner's reading."""
    if reply.incarnation != owner.incarnation:
        return True
    return reply.clock >= owner.clock


class _Steps:
    """The steps of owner, host A and the network."""

    def __init__(self, guards: frozenset[str], scope: Scope) -> None:
        self.guards = guards
        self.scope = scope

    def list_steps(self, state: World) -> Iterator[Step]:
        """Return the successors of a state, without what can't matter."""
        for label, after in self._list_steps(state):
            yield label, self._reduce(after)

    def _list_steps(self, state: World) -> Iterator[tuple[str, World]]:
        yield from self._pass_time(state)
        yield from self._act(state)
        yield from self._run_host(state)
        for reply in state.replies:
            rest = state._replace(replies=state.replies - {reply})
            yield f'owner gets {tuple(reply)}', self._learn(rest, reply)

    def _reduce(self, state: World) -> World:
        """Return a state without what has no more effect.

        That is: beliefs of an owner that has ended the job or whose last
        attempt runs on host B, replies that the owner ignores, and commands
        that host A refuses from now on.
        """
        owner = state.owner
        if owner.host == 'B' or owner.answer:
            owner = owner._replace(
                incarnation=0,
                clock=0,
                age=0,
                past=frozenset(),
                start_before=0,
                deadline=0,
            )
            state = state._replace(owner=owner, replies=frozenset())
        starts = frozenset(
            start for start in state.starts if self._may_start(state, start)
        )
        renewal = state.renewal
        if renewal and not self._may_renew(state, *renewal):
            renewal = None
        return state._replace(
            starts=starts,
            renewal=renewal,
            replies=frozenset(
                reply for reply in state.replies if _is_news(owner, reply)
            ),
        )

    def _may_start(self, state: World, start: Start) -> bool:
        """Tell whether host A may still accept a start that it gets."""
        if start.incarnation != state.incarnation:
            return START_INCARNATION not in self.guards
        if not self.scope.releases and self._find_task(state, start.attempt):
            return self.scope.restarts and (
                START_INCARNATION not in self.guards
            )
        if START_DEADLINE in self.guards:
            return state.clock < start.start_before
        return state.clock < start.deadline

    def _may_renew(
        self, state: World, incarnation: int, deadline: int
    ) -> bool:
        """Tell whether a renewal may still lengthen a lease on host A."""
        if incarnation != state.incarnation:
            return RENEW_INCARNATION not in self.guards
        if state.clock < deadline:
            return True
        return self.scope.restarts and RENEW_INCARNATION not in self.guards

    def _pass_time(self, state: World) -> Iterator[tuple[str, World]]:
        # Nothing can happen before the first start but the passing of time.
        owner = state.owner
        # Without an open attempt of the owner on host A the passing of time
        # only ends tasks and makes the host refuse commands.
        if owner.host != 'A' or owner.answer:
            return
        first, second = self.scope.horizons
        if state.clock >= (second if state.incarnation else CLOCK + first):
            return
        aged = owner._replace(age=min(owner.age + 1, MAX_AGE))
        later = state._replace(owner=aged)
        clock = state.clock + 1
        ticked = later._replace(
            clock=clock,
            calm=min(state.calm + 1, CALM_TICKS),
            tasks=frozenset(
                task._replace(state='ended', deadline=0)
                if task.state == 'running' and clock >= task.deadline
                else task
                for task in state.tasks
            ),
        )
        yield 'time passes', ticked
        if self.scope.drift and state.calm >= CALM_TICKS:
            yield 'time passes, host clock misses it', later._replace(calm=0)

    def _run_host(self, state: World) -> Iterator[tuple[str, World]]:
        for start in state.starts:
            yield f'host gets {tuple(start)}', self._receive(state, start)
            known = self._find_task(state, start.attempt)
            if self.scope.refusals and not known:
                yield 'host has no room', self._refuse(state, start)
        if state.renewal:
            yield 'host gets the renewal', self._renew(state, *state.renewal)
        yield 'host replies', self._reply(state)
        for task in state.tasks:
            rest = state.tasks - {task}
            if task.state == 'running':
                ended = rest | {task._replace(state='ended', deadline=0)}
                yield f'task {task.attempt} ends', state._replace(tasks=ended)
            early = state.clock < task.start_before
            noted = task.attempt in state.over and task.state == 'ended'
            if not self.scope.releases:
                continue
            if noted and not (early and REMEMBER_ENDED in self.guards):
                yield f'{task.attempt} released', state._replace(tasks=rest)
        if self.scope.restarts and state.incarnation == 0:
            yield (
                'host restarts',
                state._replace(incarnation=1, clock=0, tasks=frozenset()),
            )

    def _find_task(self, state: World, attempt: int) -> Task | None:
        for task in state.tasks:
            if task.attempt == attempt:
                return task
        return None

    def _reply(self, state: World) -> World:
        if len(state.replies) >= self.scope.replies:
            return state
        attempt = state.owner.attempt
        task = self._find_task(state, attempt)
        found = task.state if task else 'absent'
        reply = Reply(state.incarnation, state.clock, attempt, found)
        return state._replace(replies=state.replies | {reply})

    def _refuse(self, state: World, start: Start) -> World:
        task = Task(start.attempt, start.start_before, 0, 'refused')
        after = state._replace(tasks=state.tasks | {task})
        if REMEMBER_REFUSED in self.guards:
            return after
        return self._reply(after)._replace(tasks=state.tasks)

    def _receive(self, state: World, start: Start) -> World:
        if self._find_task(state, start.attempt):
            return state
        wrong = start.incarnation != state.incarnation
        if START_INCARNATION in self.guards and wrong:
            return state
        late = state.clock >= start.start_before
        if START_DEADLINE in self.guards and late:
            return self._refuse(state, start)
        if state.clock >= start.deadline:
            return self._refuse(state, start)
        task = Task(
            start.attempt, start.start_before, start.deadline, 'running'
        )
        return state._replace(
            tasks=state.tasks | {task}, ever=state.ever | {start.attempt}
        )

    def _renew(self, state: World, incarnation: int, deadline: int) -> World:
        wrong = incarnation != state.incarnation
        if RENEW_INCARNATION in self.guards and wrong:
            return state
        tasks = frozenset(
            task._replace(deadline=max(task.deadline, deadline))
            if task.state == 'running'
            else task
            for task in state.tasks
        )
        return state._replace(tasks=tasks)

    def _act(self, state: World) -> Iterator[tuple[str, World]]:
        owner = state.owner
        if owner.answer:
            return
        reading = ClockReading(owner.clock, received_at=0)
        lease = compute_task_lease_deadline(reading, LEASE)
        yield from self._choose(state, lease)
        if owner.fate != AttemptStatus.UNDETERMINED or owner.host != 'A':
            return
        renewal = (owner.incarnation, lease)
        if self.scope.renewals and renewal != state.renewal:
            longest = max(owner.deadline, lease)
            if LONGEST_LEASE not in self.guards:
                longest = owner.deadline
            after = owner._replace(deadline=longest)
            renewed = state._replace(renewal=renewal, owner=after)
            yield f'owner renews until {lease}', renewed
        drift = DRIFT if DRIFT_WAIT in self.guards else 0.0
        lapse = compute_task_lease_expiry(
            owner.deadline, reading, drift=drift, margin_ms=0
        )
        if owner.age >= lapse:
            yield 'owner: lapsed', self._settle(state, AttemptStatus.LAPSED)

    def _choose(self, state: World, lease: int) -> Iterator[tuple[str, World]]:
        """Start the first or next attempt, or end the job."""
        owner = state.owner
        step = RetryDecision.RETRY
        if owner.fate:
            idempotent = (
                self.scope.idempotent or AT_MOST_ONCE not in self.guards
            )
            step = decide_retry(
                idempotent,
                AttemptStatus(owner.fate),
                owner.attempt,
                MAX_ATTEMPTS,
            )
        if step is RetryDecision.WAIT:
            return
        if step is not RetryDecision.RETRY:
            after = owner._replace(answer=step)
            yield f'owner: {step}', state._replace(owner=after)
            return
        if not owner.may_have_run:
            after = owner._replace(answer='not run')
            yield 'owner: not run', state._replace(owner=after)
        if owner.attempt < MAX_ATTEMPTS:
            yield from self._start(state, lease)

    def _start(self, state: World, lease: int) -> Iterator[tuple[str, World]]:
        owner = state.owner
        number = owner.attempt + 1
        before = owner.clock + WINDOW
        start = Start(number, owner.incarnation, before, lease)
        after = owner._replace(
            attempt=number,
            host='A',
            start_before=before,
            deadline=lease,
            fate=AttemptStatus.UNDETERMINED,
        )
        yield (
            f'owner starts {number} on A before {before}, until {lease}',
            state._replace(owner=after, starts=state.starts | {start}),
        )
        if number == MAX_ATTEMPTS:
            yield (
                f'owner starts {number} on B',
                state._replace(
                    owner=after._replace(host='B'),
                    other=number,
                    ever=state.ever | {number},
                ),
            )

    def _learn(self, state: World, reply: Reply) -> World:
        owner = state.owner
        if reply.incarnation in owner.past and PAST_REPLIES in self.guards:
            return state
        changed = reply.incarnation != owner.incarnation
        if not changed and reply.clock < owner.clock:
            return state
        after = owner._replace(
            incarnation=reply.incarnation,
            clock=reply.clock,
            age=0,
        )
        open_there = (
            owner.fate == AttemptStatus.UNDETERMINED and owner.host == 'A'
        )
        if changed:
            after = after._replace(past=owner.past | {owner.incarnation})
        known = state._replace(owner=after)
        if not open_there:
            return known
        if changed:
            return self._settle(known, AttemptStatus.LAPSED)
        seen = reply.state if reply.attempt == owner.attempt else 'running'
        if seen == 'ended':
            return self._settle(known, AttemptStatus.FAILED)
        if seen == 'refused':
            return self._settle(known, AttemptStatus.REFUSED)
        if seen == 'absent' and reply.clock >= owner.start_before:
            return self._settle(known, AttemptStatus.NOT_SENT)
        return known

    def _settle(self, state: World, fate: AttemptStatus) -> World:
        owner = state.owner
        never = fate in (AttemptStatus.REFUSED, AttemptStatus.NOT_SENT)
        after = owner._replace(
            fate=fate, may_have_run=owner.may_have_run or not never
        )
        return state._replace(
            owner=after,
            over=state.over | {owner.attempt},
        )


def _is_not_run_true(state: World) -> bool:
    return state.owner.answer != 'not run' or not state.ever


def _is_refusal_true(state: World) -> bool:
    never = (AttemptStatus.REFUSED, AttemptStatus.NOT_SENT)
    owner = state.owner
    return owner.fate not in never or owner.attempt not in state.ever


INVARIANTS: dict[str, Predicate] = {
    'one attempt runs at once': lambda s: len(_list_running(s)) <= 1,
    'an attempt believed over does not run': lambda s: (
        not s.over.intersection(_list_running(s))
    ),
    'not run is true': _is_not_run_true,
    'a refusal is true': _is_refusal_true,
}
WITNESSES: dict[str, Predicate] = {
    'a second attempt runs on host B': lambda s: s.other == 2,
    'a second attempt runs on host A': lambda s: any(
        t.attempt == 2 and t.state == 'running' for t in s.tasks
    ),
}
GUARDS = frozenset(
    {
        START_DEADLINE,
        START_INCARNATION,
        RENEW_INCARNATION,
        PAST_REPLIES,
        DRIFT_WAIT,
        LONGEST_LEASE,
        REMEMBER_ENDED,
        REMEMBER_REFUSED,
        AT_MOST_ONCE,
    }
)


def _build(
    guards: frozenset[str], listed: tuple[str, ...], scope: Scope
) -> Machine:
    """Return a machine in which guards that are not listed stay active."""
    invariants = dict(INVARIANTS)
    witnesses = dict(WITNESSES)
    if not scope.idempotent:
        invariants['a non-idempotent job runs once'] = lambda s: (
            len(s.ever) <= 1
        )
    active = guards | (GUARDS - set(listed))
    steps = _Steps(active, scope)
    initial = World(clock=CLOCK, owner=Owner(clock=CLOCK))
    return Machine(initial, steps.list_steps, invariants, witnesses)


START_GUARDS = (START_DEADLINE, REMEMBER_ENDED, REMEMBER_REFUSED)


@register_specification('attempts.start', START_GUARDS)
def build_start(guards: frozenset[str]) -> Machine:
    """Build starts that are lost, late or repeated, and slow clocks."""
    scope = Scope(refusals=True, releases=True)
    return _build(guards, START_GUARDS, scope)


RENEWAL_GUARDS = (DRIFT_WAIT, LONGEST_LEASE)


@register_specification('attempts.renewal', RENEWAL_GUARDS)
def build_renewal(guards: frozenset[str]) -> Machine:
    """Build renewals that are lost or late, and slow clocks."""
    scope = Scope(drift=True, renewals=True)
    return _build(guards, RENEWAL_GUARDS, scope)


RESTART_GUARDS = (START_INCARNATION, RENEW_INCARNATION, PAST_REPLIES)


@register_specification('attempts.restart', RESTART_GUARDS)
def build_restart(guards: frozenset[str]) -> Machine:
    """Build a host that restarts with a new incarnation and clock."""
    scope = Scope(restarts=True, renewals=True, replies=2, horizons=(1, 5))
    return _build(guards, RESTART_GUARDS, scope)


ONCE_GUARDS = (START_DEADLINE, REMEMBER_REFUSED, AT_MOST_ONCE)


@register_specification('attempts.at-most-once', ONCE_GUARDS)
def build_at_most_once(guards: frozenset[str]) -> Machine:
    """Build a job that must not run twice, on a host that may restart."""
    scope = Scope(
        idempotent=False,
        restarts=True,
        refusals=True,
        releases=True,
        horizons=(3, 3),
    )
    return _build(guards, ONCE_GUARDS, scope)
