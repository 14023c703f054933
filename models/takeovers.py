"""A takeover while attempt 1 of a job runs, or may still start, on host A.

`attempts.outage` models clocks: only the old owner can't reach the store, and
it renews the task lease during its grace period. The successor can't reach
host A and waits for the lease to expire. `attempts.takeover` has no clocks:
the successor acts on host A's reply, and commands of the old owner arrive at
any time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import register_specification
from models.specifications import StateMachine
from sassafrasgate.shards.attempts import AttemptStatus
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.attempts import compute_takeover_lease_expiry
from sassafrasgate.shards.attempts import compute_task_lease_deadline
from sassafrasgate.shards.attempts import decide_retry
from sassafrasgate.shards.attempts import RetryDecision
from sassafrasgate.shards.ownership import accepts_placements
from sassafrasgate.shards.ownership import may_send_commands
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from collections.abc import Iterator

    from models.specifications import Transition

# Far above the real 1%, so that drift has an effect within a few units of
# time. A slow clock counts at least 2 of any 3 ticks.
DRIFT_BOUND = 0.5
MIN_TICKS_BETWEEN_MISSES = 2

STORE_LEASE_IN_EXPIRY = 'takeover expiry includes the store lease'
GRACE_IN_EXPIRY = 'takeover expiry includes the grace period'
DRIFT_IN_EXPIRY = 'takeover expiry includes the drift'
GRACE_END = 'grace period of the owner ends'
FIXED_DEADLINE = 'deadline fixed at the lease check'

START_JOURNALED = 'start journaled before it is sent'
EPOCH_ACKNOWLEDGED = 'host acknowledges the epoch before placing'
EPOCH_FENCING = 'epoch fencing at the worker'
START_NAMES_INCARNATION = 'start only on the journaled incarnation'
ABSENT_IS_LAPSED = 'absent on another incarnation means lapsed'
AT_MOST_ONCE = 'retry rule for non-idempotent jobs'


@dataclass(frozen=True, slots=True)
class Durations:
    """Durations in units of time.

    Parameters
    ----------
    ttl, grace, lease : int
        Duration of the store lease, of the grace period for outages of the
        store, and of the task lease.
    horizon : int
        Time at which the model ends.
    """

    ttl: int
    grace: int
    lease: int
    horizon: int


class Clock(NamedTuple):
    """A clock that may miss ticks, and its ticks since the last miss."""

    time: int = 1
    ticks_since_miss: int = MIN_TICKS_BETWEEN_MISSES


class OutageState(NamedTuple):
    """State of the old owner, the successor and host A in a store outage.

    The old owner can't reach the store from time 1 on.

    Parameters
    ----------
    now : int
        Time on the clock of the store and of the successor.
    owner, host : Clock
        Clocks of the old owner and of host A.
    checked_at : int
        Owner's clock when it last ran; more than a lease ago after a pause.
    checked : bool
        Whether the owner has passed its lease check and has yet to send.
    deadline : int
        Lease deadline of the task on host A; 0 when no task runs.
    takeover_at : int
        Time at which the successor's takeover record was in the journal; 0
        before the takeover.
    expired : bool
        Whether the successor considers the lease of attempt 1 expired and
        starts another attempt.
    """

    now: int = 1
    owner: Clock = Clock()
    host: Clock = Clock()
    checked_at: int = 1
    checked: bool = False
    deadline: int = 0
    takeover_at: int = 0
    expired: bool = False


def _list_ticks(clock: Clock) -> list[Clock]:
    """Return the clock after a counted tick, and after a missed one."""
    ticked = Clock(
        clock.time + 1,
        min(clock.ticks_since_miss + 1, MIN_TICKS_BETWEEN_MISSES),
    )
    if clock.ticks_since_miss < MIN_TICKS_BETWEEN_MISSES:
        return [ticked]
    return [ticked, Clock(clock.time, 0)]


class _OutageTransitions:
    """Transitions of the old owner, host A and the successor."""

    def __init__(self, guards: frozenset[str], durations: Durations) -> None:
        self.guards = guards
        self.durations = durations

    def list_transitions(self, state: OutageState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        # A task that has ended does not start again, so the invariant can't
        # be violated any more.
        if state.expired or not state.deadline:
            return
        if state.now < self.durations.horizon:
            yield from self._list_clock_transitions(state)
        yield from self._list_owner_transitions(state)
        if not state.takeover_at and state.now >= 1 + self.durations.ttl:
            taken_over = state._replace(takeover_at=state.now)
            yield 'successor takes over', taken_over
        if state.takeover_at and self._has_expired(state):
            yield 'successor: lease has expired', state._replace(expired=True)

    def _list_clock_transitions(
        self, state: OutageState
    ) -> Iterator[Transition]:
        for owner in _list_ticks(state.owner):
            for host in _list_ticks(state.host):
                deadline = state.deadline
                if host.time >= deadline:
                    deadline = 0
                yield (
                    f'time {state.now + 1}: owner {owner.time}, '
                    f'host {host.time}',
                    state._replace(
                        now=state.now + 1,
                        owner=owner,
                        host=host,
                        deadline=deadline,
                    ),
                )

    def _list_owner_transitions(
        self, state: OutageState
    ) -> Iterator[Transition]:
        # The owner always has the latest reading of host A's clock, and its
        # renewals arrive immediately. An older reading, or a later arrival of
        # the same absolute deadline, could only make the task end earlier.
        now = state.owner.time
        reading = ClockReading(state.host.time, now)
        deadline = max(
            state.deadline,
            compute_task_lease_deadline(reading, self.durations.lease),
        )
        lease = OwnerLease(
            renewed_at=1, store_failing_since=1, checked_at=state.checked_at
        )
        grace = self.durations.grace
        if GRACE_END not in self.guards:
            grace = self.durations.horizon
        if may_send_commands(
            lease, now, ttl_ms=self.durations.ttl, grace_ms=grace
        ):
            ran = state._replace(checked_at=now)
            if FIXED_DEADLINE not in self.guards:
                yield (
                    'owner passes the lease check',
                    ran._replace(checked=True),
                )
            else:
                renewed = ran._replace(deadline=deadline)
                yield f'owner renews until {deadline}', renewed
        if state.checked:
            renewed = state._replace(checked=False, deadline=deadline)
            yield f'owner renews until {deadline}', renewed

    def _has_expired(self, state: OutageState) -> bool:
        expiry = compute_takeover_lease_expiry(
            state.takeover_at,
            self.durations.grace if GRACE_IN_EXPIRY in self.guards else 0,
            lease_ms=self.durations.lease,
            ttl_ms=self.durations.ttl
            if STORE_LEASE_IN_EXPIRY in self.guards
            else 0,
            drift=DRIFT_BOUND if DRIFT_IN_EXPIRY in self.guards else 0.0,
            margin_ms=0,
        )
        return state.now >= expiry


def _build_outage(
    guards: frozenset[str], durations: Durations
) -> StateMachine:
    end = 1 + durations.ttl
    return StateMachine(
        OutageState(deadline=1 + durations.lease),
        _OutageTransitions(guards, durations).list_transitions,
        {
            'an attempt with an expired lease does not run': lambda s: (
                not (s.expired and s.deadline)
            ),
        },
        {
            'the task ends last': lambda s: (
                s.takeover_at
                and s.now > end + durations.grace
                and not s.deadline
            ),
            'the old owner renews after the takeover': lambda s: (
                s.takeover_at and s.checked_at > end and s.deadline
            ),
        },
    )


@register_specification(
    'attempts.outage',
    (GRACE_IN_EXPIRY, DRIFT_IN_EXPIRY, GRACE_END, FIXED_DEADLINE),
)
def build_outage(guards: frozenset[str]) -> StateMachine:
    """Build the model of a store outage for the old owner only."""
    return _build_outage(
        guards | {STORE_LEASE_IN_EXPIRY}, Durations(2, 3, 4, 18)
    )


@register_specification('attempts.store-lease', (STORE_LEASE_IN_EXPIRY,))
def build_store_lease(guards: frozenset[str]) -> StateMachine:
    """Build the same model with a relatively long store lease."""
    always = {GRACE_IN_EXPIRY, DRIFT_IN_EXPIRY, GRACE_END, FIXED_DEADLINE}
    return _build_outage(guards | always, Durations(4, 2, 2, 18))


class TakeoverState(NamedTuple):
    """State of an old owner, its successor and host A.

    Parameters
    ----------
    start_journaled : bool
        Whether the journal contains the start of attempt 1 on host A.
    journaled_incarnation, known_incarnation : int
        Incarnation of host A that the journal names, and the latest one that
        the old owner knows.
    starts : frozenset of int
        Incarnations that the sent starts of attempt 1 name.
    incarnation : int
        Incarnation of host A; a restart clears the task and the epoch.
    task_state : str
        ``absent``, ``running`` or ``ended`` on host A.
    new_epoch_seen : bool
        Whether host A has seen the successor's epoch.
    taken_over : bool
        Whether the successor's takeover record is in the journal.
    status, decision : str
        The `AttemptStatus` of attempt 1 as the successor knows it, and its
        `RetryDecision`; empty while unknown.
    ran : bool
        Whether attempt 1 has run.
    """

    start_journaled: bool = False
    journaled_incarnation: int = 0
    known_incarnation: int = 0
    starts: frozenset[int] = frozenset()
    incarnation: int = 0
    task_state: str = 'absent'
    new_epoch_seen: bool = False
    taken_over: bool = False
    status: str = ''
    decision: str = ''
    ran: bool = False


MAX_RESTARTS = 2


class _TakeoverTransitions:
    """Transitions of the old owner, host A and the successor."""

    def __init__(self, guards: frozenset[str], idempotent: bool) -> None:
        self.guards = guards
        self.idempotent = idempotent

    def list_transitions(self, state: TakeoverState) -> Iterator[Transition]:
        """Return the transitions from a state."""
        yield from self._list_owner_transitions(state)
        yield from self._list_host_transitions(state)
        if not state.taken_over:
            status = '' if state.start_journaled else AttemptStatus.NOT_SENT
            taken_over = state._replace(taken_over=True, status=status)
            yield 'successor takes over', taken_over
            return
        yield from self._list_successor_transitions(state)

    def _list_owner_transitions(
        self, state: TakeoverState
    ) -> Iterator[Transition]:
        updated = state._replace(known_incarnation=state.incarnation)
        yield 'owner learns the incarnation of host A', updated
        if not state.start_journaled and not state.taken_over:
            journaled = state._replace(
                start_journaled=True,
                journaled_incarnation=state.known_incarnation,
            )
            yield 'owner journals the start', journaled
        may_start = state.start_journaled or START_JOURNALED not in self.guards
        same_incarnation = (
            state.journaled_incarnation == state.known_incarnation
            or START_NAMES_INCARNATION not in self.guards
        )
        if may_start and same_incarnation:
            starts = state.starts | {state.known_incarnation}
            yield 'owner sends the start', state._replace(starts=starts)

    def _list_host_transitions(
        self, state: TakeoverState
    ) -> Iterator[Transition]:
        stale = state.new_epoch_seen and EPOCH_FENCING in self.guards
        expected = state.incarnation in state.starts
        if state.task_state == 'absent' and expected and not stale:
            running = state._replace(task_state='running', ran=True)
            yield 'host A starts the task', running
        if state.task_state == 'running':
            yield 'task ends on A', state._replace(task_state='ended')
        if state.incarnation < MAX_RESTARTS:
            restarted = state._replace(
                incarnation=state.incarnation + 1,
                task_state='absent',
                new_epoch_seen=False,
            )
            yield 'host A restarts', restarted

    def _list_successor_transitions(
        self, state: TakeoverState
    ) -> Iterator[Transition]:
        if not state.status:
            replied = state._replace(new_epoch_seen=True)
            yield (
                'host A replies to the successor',
                replied._replace(
                    status=self._derive_status(state, state.task_state)
                ),
            )
            needs_acknowledgement = EPOCH_ACKNOWLEDGED in self.guards
            if accepts_placements(
                not needs_acknowledgement, False, False, False
            ):
                absent = state._replace(
                    status=self._derive_status(state, 'absent')
                )
                yield 'successor continues without a reply', absent
            return
        if state.decision:
            return
        idempotent = self.idempotent or AT_MOST_ONCE not in self.guards
        decision = decide_retry(idempotent, AttemptStatus(state.status), 1, 2)
        yield f'successor: {decision}', state._replace(decision=decision)

    def _derive_status(
        self, state: TakeoverState, task_state: str
    ) -> AttemptStatus:
        """Return the status of attempt 1 that follows from the reply."""
        if task_state == 'running':
            return AttemptStatus.UNDETERMINED
        if task_state == 'ended':
            return AttemptStatus.FAILED
        # A start names the same incarnation as its journal record, so it may
        # have taken effect on that incarnation only.
        if (
            state.incarnation != state.journaled_incarnation
            and ABSENT_IS_LAPSED in self.guards
        ):
            return AttemptStatus.LAPSED
        return AttemptStatus.NOT_SENT


def _build_takeover(guards: frozenset[str], idempotent: bool) -> StateMachine:
    invariants = {
        'an attempt believed ended does not run': lambda s: (
            not (
                s.status not in ('', AttemptStatus.UNDETERMINED)
                and s.task_state == 'running'
            )
        ),
        'an attempt believed not sent never ran': lambda s: (
            not (s.status == AttemptStatus.NOT_SENT and s.ran)
        ),
    }
    if not idempotent:
        invariants['a non-idempotent job runs once'] = lambda s: (
            not (s.decision == RetryDecision.RETRY and s.ran)
        )
    witnesses = {
        'the successor finds the task': lambda s: (
            s.status == AttemptStatus.UNDETERMINED
        ),
        'the successor learns that it never ran': lambda s: (
            s.start_journaled and s.status == AttemptStatus.NOT_SENT
        ),
        'the successor starts another attempt': lambda s: (
            s.decision == RetryDecision.RETRY
        ),
        'a start is in flight after fencing': lambda s: (
            s.new_epoch_seen
            and s.incarnation in s.starts
            and s.task_state == 'absent'
        ),
    }
    transitions = _TakeoverTransitions(guards, idempotent)
    return StateMachine(
        TakeoverState(), transitions.list_transitions, invariants, witnesses
    )


@register_specification(
    'attempts.takeover',
    (
        START_JOURNALED,
        EPOCH_ACKNOWLEDGED,
        EPOCH_FENCING,
        START_NAMES_INCARNATION,
        ABSENT_IS_LAPSED,
    ),
)
def build_takeover(guards: frozenset[str]) -> StateMachine:
    """Build the model of the takeover of an idempotent job."""
    return _build_takeover(guards, idempotent=True)


@register_specification(
    'attempts.takeover-once',
    (
        START_JOURNALED,
        EPOCH_ACKNOWLEDGED,
        EPOCH_FENCING,
        START_NAMES_INCARNATION,
        ABSENT_IS_LAPSED,
        AT_MOST_ONCE,
    ),
)
def build_takeover_once(guards: frozenset[str]) -> StateMachine:
    """Build the model of the takeover of a non-idempotent job."""
    return _build_takeover(guards, idempotent=False)
