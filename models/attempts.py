"""Attempts of one job: starts, leases, worker clocks and incarnations.

The network to host A loses, delays and duplicates messages. Host A's clock
may run slow within the drift bound, and the host may restart once. Host B
starts the second attempt immediately, which is the earliest possible overlap
of two attempts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Predicate
from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.shards.attempts import AttemptStatus
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.attempts import compute_task_lease_deadline
from sassafrasgate.shards.attempts import compute_task_lease_expiry
from sassafrasgate.shards.attempts import decide_retry
from sassafrasgate.shards.attempts import RetryDecision

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

# One unit of time stands for about 3 s, so that a lease of 3 units stands for
# 10 s. The drift bound is far above the real 1%, so that drift has an effect
# within a few units.
LEASE_UNITS = 3
START_WINDOW_UNITS = 2
DRIFT_BOUND = 0.5
MAX_ATTEMPTS = 2
# Initial value of host A's clock; the clock of a new incarnation starts at 0.
INITIAL_CLOCK = 4
# The owner never waits longer for a lease to expire, because every lease that
# it sends ends at most LEASE_UNITS after its reading of the clock.
MAX_READING_AGE_UNITS = 5
# Ticks that the slow clock counts between two ticks that it misses: it counts
# at least 2 of any 3.
MIN_TICKS_BETWEEN_MISSES = 2

START_DEADLINE = 'start deadline at the worker'
START_INCARNATION = 'incarnation check on starts'
RENEW_INCARNATION = 'incarnation check on renewals'
PAST_REPLIES = 'replies of past incarnations ignored'
DRIFT_IN_EXPIRY = 'lease expiry wait includes the drift'
LONGEST_LEASE = 'expiry of the longest lease sent'
REMEMBER_ENDED = 'ended task remembered until start deadline'
REMEMBER_REFUSED = 'refusal remembered'
AT_MOST_ONCE = 'retry rule for non-idempotent jobs'


class Task(NamedTuple):
    """Host A's record of a task; ``state`` is a value of the worker's API."""

    attempt: int
    start_before: int
    deadline: int
    state: str


class Start(NamedTuple):
    """A start command in flight to host A."""

    attempt: int
    incarnation: int
    start_before: int
    deadline: int


class Reply(NamedTuple):
    """A reply of host A with its clock and the state of one attempt."""

    incarnation: int
    clock: int
    attempt: int
    state: str


class Owner(NamedTuple):
    """The knowledge of the shard's owner.

    Parameters
    ----------
    incarnation, clock, reading_age : int
        Incarnation and clock of host A in the owner's last reading, and the
        time since that reading arrived.
    past_incarnations : frozenset of int
        Incarnations of host A that are known to have ended.
    attempt : int
        Number of the last attempt; 0 before the first one.
    host : str
        Host of that attempt.
    start_before, deadline : int
        Start deadline and latest lease deadline sent for that attempt, on
        host A's clock.
    status : str
        An `AttemptStatus`, or empty before the first attempt.
    may_have_run : bool
        Whether some attempt that has ended may have run.
    outcome : str
        Outcome reported for the job: ``not run`` or a `RetryDecision`
        that ends the job; empty while the job is open.
    """

    incarnation: int = 0
    clock: int = 0
    reading_age: int = 0
    past_incarnations: frozenset[int] = frozenset()
    attempt: int = 0
    host: str = ''
    start_before: int = 0
    deadline: int = 0
    status: str = ''
    may_have_run: bool = False
    outcome: str = ''


@dataclass(frozen=True, slots=True)
class Scope:
    """The faults and transitions that a model includes.

    Parameters
    ----------
    idempotent : bool
        Whether the job may run again.
    drift, restarts, renewals, refusals, releases : bool
        Whether host A's clock misses ticks, the host restarts once, the
        owner renews leases, the host may refuse a start for lack of free
        capacity, and the host forgets ended tasks whose end the owner knows.
    max_replies : int
        Maximum number of replies in flight.
    horizons : (int, int)
        Units of time that may pass on host A's clock before and after its
        restart.
    """

    idempotent: bool = True
    drift: bool = False
    restarts: bool = False
    renewals: bool = False
    refusals: bool = False
    releases: bool = False
    max_replies: int = 1
    horizons: tuple[int, int] = (6, 0)


class AttemptState(NamedTuple):
    """State of the owner, the hosts and the network.

    Parameters
    ----------
    owner : Owner
        The owner's knowledge.
    incarnation, clock, ticks_since_miss : int
        Incarnation and clock of host A, and the number of ticks since its
        clock last missed one.
    tasks : frozenset of Task
        The tasks that host A remembers.
    host_b_attempt : int
        Attempt that runs on host B; 0 for none.
    starts : frozenset of Start
        Start commands sent; each may arrive at any time, and repeatedly.
    renewal : (int, int) or None
        Incarnation and deadline of the last renewal sent.
    replies : frozenset of Reply
        Replies in flight.
    started_attempts : frozenset of int
        Attempts that have started.
    believed_ended : frozenset of int
        Attempts that the owner believes to have ended or never started.
    """

    owner: Owner = Owner()
    incarnation: int = 0
    clock: int = 0
    ticks_since_miss: int = MIN_TICKS_BETWEEN_MISSES
    tasks: frozenset[Task] = frozenset()
    host_b_attempt: int = 0
    starts: frozenset[Start] = frozenset()
    renewal: tuple[int, int] | None = None
    replies: frozenset[Reply] = frozenset()
    started_attempts: frozenset[int] = frozenset()
    believed_ended: frozenset[int] = frozenset()


def _list_running(state: AttemptState) -> list[int]:
    running = [t.attempt for t in state.tasks if t.state == 'running']
    return (
        [*running, state.host_b_attempt] if state.host_b_attempt else running
    )


def _is_current(owner: Owner, reply: Reply) -> bool:
    """Tell whether a reply is at least as new as the owner's reading."""
    if reply.incarnation != owner.incarnation:
        return True
    return reply.clock >= owner.clock


class _AttemptTransitions:
    """Transitions of the owner, host A and the network."""

    def __init__(self, guards: frozenset[str], scope: Scope) -> None:
        self.guards = guards
        self.scope = scope

    def list_transitions(self, state: AttemptState) -> Iterator[Transition]:
        """Return the transitions, to states without irrelevant parts."""
        for label, after in self._list_all_transitions(state):
            yield label, self._remove_irrelevant(after)

    def _list_all_transitions(
        self, state: AttemptState
    ) -> Iterator[tuple[str, AttemptState]]:
        yield from self._list_clock_transitions(state)
        yield from self._list_owner_transitions(state)
        yield from self._list_host_transitions(state)
        for reply in state.replies:
            remaining = state._replace(replies=state.replies - {reply})
            yield (
                f'owner receives {tuple(reply)}',
                self._receive_reply(remaining, reply),
            )

    def _remove_irrelevant(self, state: AttemptState) -> AttemptState:
        """Remove the parts of a state that have no further effect.

        These are the clock readings and deadlines of an owner that has ended
        the job or whose last attempt runs on host B, replies that the owner
        would ignore, and commands that host A would refuse from now on.
        Fewer distinct states keep the search small.
        """
        owner = state.owner
        if owner.host == 'B' or owner.outcome:
            owner = owner._replace(
                incarnation=0,
                clock=0,
                reading_age=0,
                past_incarnations=frozenset(),
                start_before=0,
                deadline=0,
            )
            state = state._replace(owner=owner, replies=frozenset())
        starts = frozenset(
            start
            for start in state.starts
            if self._may_accept_start(state, start)
        )
        renewal = state.renewal
        if renewal and not self._may_accept_renewal(state, *renewal):
            renewal = None
        return state._replace(
            starts=starts,
            renewal=renewal,
            replies=frozenset(
                reply for reply in state.replies if _is_current(owner, reply)
            ),
        )

    def _may_accept_start(self, state: AttemptState, start: Start) -> bool:
        """Tell whether host A may still accept a start command."""
        if start.incarnation != state.incarnation:
            return START_INCARNATION not in self.guards
        if not self.scope.releases and self._find_task(state, start.attempt):
            return self.scope.restarts and (
                START_INCARNATION not in self.guards
            )
        if START_DEADLINE in self.guards:
            return state.clock < start.start_before
        return state.clock < start.deadline

    def _may_accept_renewal(
        self, state: AttemptState, incarnation: int, deadline: int
    ) -> bool:
        """Tell whether a renewal may still extend a lease on host A."""
        if incarnation != state.incarnation:
            return RENEW_INCARNATION not in self.guards
        if state.clock < deadline:
            return True
        return self.scope.restarts and RENEW_INCARNATION not in self.guards

    def _list_clock_transitions(
        self, state: AttemptState
    ) -> Iterator[tuple[str, AttemptState]]:
        # Before the first start nothing but the passing of time could happen,
        # so the model leaves it out.
        owner = state.owner
        # While the owner has no open attempt on host A, time would only end
        # tasks and make the host refuse commands.
        if owner.host != 'A' or owner.outcome:
            return
        first, second = self.scope.horizons
        if state.clock >= (
            second if state.incarnation else INITIAL_CLOCK + first
        ):
            return
        aged = owner._replace(
            reading_age=min(owner.reading_age + 1, MAX_READING_AGE_UNITS)
        )
        later = state._replace(owner=aged)
        clock = state.clock + 1
        ticked = later._replace(
            clock=clock,
            ticks_since_miss=min(
                state.ticks_since_miss + 1, MIN_TICKS_BETWEEN_MISSES
            ),
            tasks=frozenset(
                task._replace(state='ended', deadline=0)
                if task.state == 'running' and clock >= task.deadline
                else task
                for task in state.tasks
            ),
        )
        yield 'time passes', ticked
        if (
            self.scope.drift
            and state.ticks_since_miss >= MIN_TICKS_BETWEEN_MISSES
        ):
            yield (
                'time passes, host clock misses it',
                later._replace(ticks_since_miss=0),
            )

    def _list_host_transitions(
        self, state: AttemptState
    ) -> Iterator[tuple[str, AttemptState]]:
        for start in state.starts:
            yield (
                f'host receives {tuple(start)}',
                self._receive_start(state, start),
            )
            known = self._find_task(state, start.attempt)
            if self.scope.refusals and not known:
                yield (
                    'host refuses the start for lack of capacity',
                    self._refuse_start(state, start),
                )
        if state.renewal:
            yield (
                'host receives the renewal',
                self._receive_renewal(state, *state.renewal),
            )
        yield 'host replies', self._send_reply(state)
        for task in state.tasks:
            remaining = state.tasks - {task}
            if task.state == 'running':
                ended = remaining | {task._replace(state='ended', deadline=0)}
                yield f'task {task.attempt} ends', state._replace(tasks=ended)
            early = state.clock < task.start_before
            owner_knows_end = (
                task.attempt in state.believed_ended and task.state == 'ended'
            )
            if not self.scope.releases:
                continue
            if owner_knows_end and not (
                early and REMEMBER_ENDED in self.guards
            ):
                yield (
                    f'{task.attempt} released',
                    state._replace(tasks=remaining),
                )
        if self.scope.restarts and state.incarnation == 0:
            yield (
                'host restarts',
                state._replace(incarnation=1, clock=0, tasks=frozenset()),
            )

    def _find_task(self, state: AttemptState, attempt: int) -> Task | None:
        for task in state.tasks:
            if task.attempt == attempt:
                return task
        return None

    def _send_reply(self, state: AttemptState) -> AttemptState:
        if len(state.replies) >= self.scope.max_replies:
            return state
        attempt = state.owner.attempt
        task = self._find_task(state, attempt)
        found = task.state if task else 'absent'
        reply = Reply(state.incarnation, state.clock, attempt, found)
        return state._replace(replies=state.replies | {reply})

    def _refuse_start(self, state: AttemptState, start: Start) -> AttemptState:
        task = Task(start.attempt, start.start_before, 0, 'refused')
        after = state._replace(tasks=state.tasks | {task})
        if REMEMBER_REFUSED in self.guards:
            return after
        return self._send_reply(after)._replace(tasks=state.tasks)

    def _receive_start(
        self, state: AttemptState, start: Start
    ) -> AttemptState:
        if self._find_task(state, start.attempt):
            return state
        other_incarnation = start.incarnation != state.incarnation
        if START_INCARNATION in self.guards and other_incarnation:
            return state
        late = state.clock >= start.start_before
        if START_DEADLINE in self.guards and late:
            return self._refuse_start(state, start)
        if state.clock >= start.deadline:
            return self._refuse_start(state, start)
        task = Task(
            start.attempt, start.start_before, start.deadline, 'running'
        )
        return state._replace(
            tasks=state.tasks | {task},
            started_attempts=state.started_attempts | {start.attempt},
        )

    def _receive_renewal(
        self, state: AttemptState, incarnation: int, deadline: int
    ) -> AttemptState:
        other_incarnation = incarnation != state.incarnation
        if RENEW_INCARNATION in self.guards and other_incarnation:
            return state
        tasks = frozenset(
            task._replace(deadline=max(task.deadline, deadline))
            if task.state == 'running'
            else task
            for task in state.tasks
        )
        return state._replace(tasks=tasks)

    def _list_owner_transitions(
        self, state: AttemptState
    ) -> Iterator[tuple[str, AttemptState]]:
        owner = state.owner
        if owner.outcome:
            return
        reading = ClockReading(owner.clock, received_at=0)
        lease = compute_task_lease_deadline(reading, LEASE_UNITS)
        yield from self._list_decisions(state, lease)
        if owner.status != AttemptStatus.UNDETERMINED or owner.host != 'A':
            return
        renewal = (owner.incarnation, lease)
        if self.scope.renewals and renewal != state.renewal:
            longest = max(owner.deadline, lease)
            if LONGEST_LEASE not in self.guards:
                longest = owner.deadline
            after = owner._replace(deadline=longest)
            renewed = state._replace(renewal=renewal, owner=after)
            yield f'owner renews until {lease}', renewed
        drift = DRIFT_BOUND if DRIFT_IN_EXPIRY in self.guards else 0.0
        expiry = compute_task_lease_expiry(
            owner.deadline, reading, drift=drift, margin_ms=0
        )
        if owner.reading_age >= expiry:
            yield (
                'owner: lease has expired',
                self._record_status(state, AttemptStatus.LAPSED),
            )

    def _list_decisions(
        self, state: AttemptState, lease: int
    ) -> Iterator[tuple[str, AttemptState]]:
        """List the starts of the next attempt, or the end of the job."""
        owner = state.owner
        decision = RetryDecision.RETRY
        if owner.status:
            idempotent = (
                self.scope.idempotent or AT_MOST_ONCE not in self.guards
            )
            decision = decide_retry(
                idempotent,
                AttemptStatus(owner.status),
                owner.attempt,
                MAX_ATTEMPTS,
            )
        if decision is RetryDecision.WAIT:
            return
        if decision is not RetryDecision.RETRY:
            after = owner._replace(outcome=decision)
            yield f'owner: {decision}', state._replace(owner=after)
            return
        if not owner.may_have_run:
            after = owner._replace(outcome='not run')
            yield 'owner: not run', state._replace(owner=after)
        if owner.attempt < MAX_ATTEMPTS:
            yield from self._list_starts(state, lease)

    def _list_starts(
        self, state: AttemptState, lease: int
    ) -> Iterator[tuple[str, AttemptState]]:
        owner = state.owner
        number = owner.attempt + 1
        before = owner.clock + START_WINDOW_UNITS
        start = Start(number, owner.incarnation, before, lease)
        after = owner._replace(
            attempt=number,
            host='A',
            start_before=before,
            deadline=lease,
            status=AttemptStatus.UNDETERMINED,
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
                    host_b_attempt=number,
                    started_attempts=state.started_attempts | {number},
                ),
            )

    def _receive_reply(
        self, state: AttemptState, reply: Reply
    ) -> AttemptState:
        owner = state.owner
        if (
            reply.incarnation in owner.past_incarnations
            and PAST_REPLIES in self.guards
        ):
            return state
        changed = reply.incarnation != owner.incarnation
        if not changed and reply.clock < owner.clock:
            return state
        after = owner._replace(
            incarnation=reply.incarnation,
            clock=reply.clock,
            reading_age=0,
        )
        is_open_on_a = (
            owner.status == AttemptStatus.UNDETERMINED and owner.host == 'A'
        )
        if changed:
            after = after._replace(
                past_incarnations=owner.past_incarnations | {owner.incarnation}
            )
        known = state._replace(owner=after)
        if not is_open_on_a:
            return known
        if changed:
            return self._record_status(known, AttemptStatus.LAPSED)
        reported = reply.state if reply.attempt == owner.attempt else 'running'
        if reported == 'ended':
            return self._record_status(known, AttemptStatus.FAILED)
        if reported == 'refused':
            return self._record_status(known, AttemptStatus.REFUSED)
        if reported == 'absent' and reply.clock >= owner.start_before:
            return self._record_status(known, AttemptStatus.NOT_SENT)
        return known

    def _record_status(
        self, state: AttemptState, status: AttemptStatus
    ) -> AttemptState:
        owner = state.owner
        never_ran = status in (AttemptStatus.REFUSED, AttemptStatus.NOT_SENT)
        after = owner._replace(
            status=status, may_have_run=owner.may_have_run or not never_ran
        )
        return state._replace(
            owner=after,
            believed_ended=state.believed_ended | {owner.attempt},
        )


def _is_not_run_correct(state: AttemptState) -> bool:
    return state.owner.outcome != 'not run' or not state.started_attempts


def _is_refusal_correct(state: AttemptState) -> bool:
    not_run_statuses = (AttemptStatus.REFUSED, AttemptStatus.NOT_SENT)
    owner = state.owner
    return (
        owner.status not in not_run_statuses
        or owner.attempt not in state.started_attempts
    )


INVARIANTS: dict[str, Predicate] = {
    'one attempt runs at once': lambda s: len(_list_running(s)) <= 1,
    'an attempt believed ended does not run': lambda s: (
        not s.believed_ended.intersection(_list_running(s))
    ),
    'a job reported as not run never started': _is_not_run_correct,
    'a refused attempt never started': _is_refusal_correct,
}
WITNESSES: dict[str, Predicate] = {
    'a second attempt runs on host B': lambda s: s.host_b_attempt == 2,
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
        DRIFT_IN_EXPIRY,
        LONGEST_LEASE,
        REMEMBER_ENDED,
        REMEMBER_REFUSED,
        AT_MOST_ONCE,
    }
)


def _build(
    guards: frozenset[str], removable: tuple[str, ...], scope: Scope
) -> StateMachine:
    """Build a state machine in which only some guards can be removed."""
    invariants = dict(INVARIANTS)
    witnesses = dict(WITNESSES)
    if not scope.idempotent:
        invariants['a non-idempotent job runs once'] = lambda s: (
            len(s.started_attempts) <= 1
        )
    active = guards | (GUARDS - set(removable))
    transitions = _AttemptTransitions(active, scope)
    initial = AttemptState(
        clock=INITIAL_CLOCK, owner=Owner(clock=INITIAL_CLOCK)
    )
    return StateMachine(
        initial, transitions.list_transitions, invariants, witnesses
    )


START_GUARDS = (START_DEADLINE, REMEMBER_ENDED, REMEMBER_REFUSED)


@register_specification('attempts.start', START_GUARDS)
def build_start(guards: frozenset[str]) -> StateMachine:
    """Build the model of lost, late and repeated starts."""
    scope = Scope(refusals=True, releases=True)
    return _build(guards, START_GUARDS, scope)


RENEWAL_GUARDS = (DRIFT_IN_EXPIRY, LONGEST_LEASE)


@register_specification('attempts.renewal', RENEWAL_GUARDS)
def build_renewal(guards: frozenset[str]) -> StateMachine:
    """Build the model of lost and late renewals with a slow clock."""
    scope = Scope(drift=True, renewals=True)
    return _build(guards, RENEWAL_GUARDS, scope)


RESTART_GUARDS = (START_INCARNATION, RENEW_INCARNATION, PAST_REPLIES)


@register_specification('attempts.restart', RESTART_GUARDS)
def build_restart(guards: frozenset[str]) -> StateMachine:
    """Build the model of a host restart: new incarnation, new clock."""
    scope = Scope(restarts=True, renewals=True, max_replies=2, horizons=(1, 5))
    return _build(guards, RESTART_GUARDS, scope)


ONCE_GUARDS = (START_DEADLINE, REMEMBER_REFUSED, AT_MOST_ONCE)


@register_specification('attempts.at-most-once', ONCE_GUARDS)
def build_at_most_once(guards: frozenset[str]) -> StateMachine:
    """Build the model of a non-idempotent job and a host restart."""
    scope = Scope(
        idempotent=False,
        restarts=True,
        refusals=True,
        releases=True,
        horizons=(3, 3),
    )
    return _build(guards, ONCE_GUARDS, scope)
