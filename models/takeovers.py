"""A takeover while attempt 1 of a job may run, or still start, on host A.

`attempts.outage` has clocks: the old owner alone can't reach the store and
renews during its grace, while the successor can't reach host A and waits.
`attempts.takeover` has none: the successor acts on host A's answer, and
commands of the old owner arrive at any time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple
from typing import TYPE_CHECKING

from models.specifications import Machine
from models.specifications import register_specification
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

    from models.specifications import Step

# Far above the real 1%, so that it shows within a few units: a slow clock
# counts at least 2 of any 3 ticks.
DRIFT = 0.5
CALM_TICKS = 2

STORE_LEASE = 'takeover lapse includes the store lease'
GRACE_WAIT = 'takeover lapse includes the grace'
DRIFT_WAIT = 'takeover lapse includes the drift'
GRACE_END = 'grace of the owner ends'
FIXED_DEADLINE = 'deadline fixed at the lease check'

INTENT = 'start intent journaled before the start'
FENCE_ANSWERED = 'host answers the fence before placing'
EPOCH = 'worker epoch fence'
BOUND_START = 'covered start bound to an incarnation'
ABSENT_IS_LOST = 'absent on another incarnation counts as lost'
AT_MOST_ONCE = 'non-idempotent rule'


@dataclass(frozen=True, slots=True)
class Durations:
    """Store lease, outage grace, task lease and the end of time, in units."""

    ttl: int
    grace: int
    lease: int
    horizon: int


class Clock(NamedTuple):
    """A clock that may miss a tick; ``calm`` ticks passed since the last."""

    time: int = 1
    calm: int = CALM_TICKS


class Outage(NamedTuple):
    """An old owner that can't reach the store since time 1.

    Parameters
    ----------
    now : int
        Clock of the store and of the successor.
    owner, host : Clock
        Clocks of the old owner and of host A.
    checked_at : int
        Owner's clock when it last ran; more than a lease ago after a pause.
    checked : bool
        Whether it has passed its lease check and not yet sent.
    deadline : int
        Deadline of the task that runs on host A; 0 when none runs.
    taken_at : int
        When the successor's takeover record was in the journal; 0 before.
    lapsed : bool
        Whether the successor takes attempt 1 for lapsed and starts another.
    """

    now: int = 1
    owner: Clock = Clock()
    host: Clock = Clock()
    checked_at: int = 1
    checked: bool = False
    deadline: int = 0
    taken_at: int = 0
    lapsed: bool = False


def _list_ticks(clock: Clock) -> list[Clock]:
    """Return the clock after one unit, and after a missed one."""
    ticked = Clock(clock.time + 1, min(clock.calm + 1, CALM_TICKS))
    if clock.calm < CALM_TICKS:
        return [ticked]
    return [ticked, Clock(clock.time, 0)]


class _OutageSteps:
    """The steps of the old owner, host A and the successor."""

    def __init__(self, guards: frozenset[str], durations: Durations) -> None:
        self.guards = guards
        self.durations = durations

    def list_steps(self, state: Outage) -> Iterator[Step]:
        """Return the successors of a state."""
        # An ended task is not revived, so nothing can be violated then.
        if state.lapsed or not state.deadline:
            return
        if state.now < self.durations.horizon:
            yield from self._pass_time(state)
        yield from self._own(state)
        if not state.taken_at and state.now >= 1 + self.durations.ttl:
            taken = state._replace(taken_at=state.now)
            yield 'successor takes over', taken
        if state.taken_at and self._has_lapsed(state):
            yield 'successor: lapsed', state._replace(lapsed=True)

    def _pass_time(self, state: Outage) -> Iterator[Step]:
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

    def _own(self, state: Outage) -> Iterator[Step]:
        # The owner always has the newest reading of host A and its renewals
        # arrive at once: an older reading, or a late arrival of the same
        # absolute deadline, only lets the task end earlier.
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
                yield 'owner checks', ran._replace(checked=True)
            else:
                renewed = ran._replace(deadline=deadline)
                yield f'owner renews until {deadline}', renewed
        if state.checked:
            renewed = state._replace(checked=False, deadline=deadline)
            yield f'owner renews until {deadline}', renewed

    def _has_lapsed(self, state: Outage) -> bool:
        lapse = compute_takeover_lease_expiry(
            state.taken_at,
            self.durations.grace if GRACE_WAIT in self.guards else 0,
            lease_ms=self.durations.lease,
            ttl_ms=self.durations.ttl if STORE_LEASE in self.guards else 0,
            drift=DRIFT if DRIFT_WAIT in self.guards else 0.0,
            margin_ms=0,
        )
        return state.now >= lapse


def _build_outage(guards: frozenset[str], durations: Durations) -> Machine:
    end = 1 + durations.ttl
    return Machine(
        Outage(deadline=1 + durations.lease),
        _OutageSteps(guards, durations).list_steps,
        {
            'a lapsed attempt does not run': lambda s: (
                not (s.lapsed and s.deadline)
            ),
        },
        {
            'the task ends last': lambda s: (
                s.taken_at and s.now > end + durations.grace and not s.deadline
            ),
            'the old owner renews after the takeover': lambda s: (
                s.taken_at and s.checked_at > end and s.deadline
            ),
        },
    )


@register_specification(
    'attempts.outage', (GRACE_WAIT, DRIFT_WAIT, GRACE_END, FIXED_DEADLINE)
)
def build_outage(guards: frozenset[str]) -> Machine:
    """Build an outage of the store for the old owner only."""
    return _build_outage(guards | {STORE_LEASE}, Durations(2, 3, 4, 18))


@register_specification('attempts.store-lease', (STORE_LEASE,))
def build_store_lease(guards: frozenset[str]) -> Machine:
    """Build the same outage with a store lease longer than the rest."""
    always = {GRACE_WAIT, DRIFT_WAIT, GRACE_END, FIXED_DEADLINE}
    return _build_outage(guards | always, Durations(4, 2, 2, 18))


class Takeover(NamedTuple):
    """An old owner, its successor and host A.

    Parameters
    ----------
    intent : bool
        Whether the journal names host A for attempt 1.
    bound, known : int
        Incarnation of host A that the journal names, and that the old owner
        last heard of.
    starts : frozenset of int
        Starts of attempt 1 sent, by the incarnation that they name.
    incarnation : int
        Of host A; a restart forgets the task and the fence.
    task : str
        ``absent``, ``running`` or ``ended`` on host A.
    fenced : bool
        Whether host A has seen the successor's epoch.
    taken : bool
        Whether the successor's takeover record is in the journal.
    fate, step : str
        What the successor knows of attempt 1, and its next step.
    ran : bool
        Whether attempt 1 has run.
    """

    intent: bool = False
    bound: int = 0
    known: int = 0
    starts: frozenset[int] = frozenset()
    incarnation: int = 0
    task: str = 'absent'
    fenced: bool = False
    taken: bool = False
    fate: str = ''
    step: str = ''
    ran: bool = False


MAX_RESTARTS = 2


class _TakeoverSteps:
    """The steps of the old owner, host A and the successor."""

    def __init__(self, guards: frozenset[str], idempotent: bool) -> None:
        self.guards = guards
        self.idempotent = idempotent

    def list_steps(self, state: Takeover) -> Iterator[Step]:
        """Return the successors of a state."""
        yield from self._own(state)
        yield from self._run_host(state)
        if not state.taken:
            fate = '' if state.intent else AttemptStatus.NOT_SENT
            taken = state._replace(taken=True, fate=fate)
            yield 'successor takes over', taken
            return
        yield from self._succeed(state)

    def _own(self, state: Takeover) -> Iterator[Step]:
        heard = state._replace(known=state.incarnation)
        yield 'owner hears host A', heard
        if not state.intent and not state.taken:
            journaled = state._replace(intent=True, bound=state.known)
            yield 'owner journals the start', journaled
        covered = state.intent or INTENT not in self.guards
        bound = state.bound == state.known or BOUND_START not in self.guards
        if covered and bound:
            starts = state.starts | {state.known}
            yield 'owner sends the start', state._replace(starts=starts)

    def _run_host(self, state: Takeover) -> Iterator[Step]:
        stale = state.fenced and EPOCH in self.guards
        expected = state.incarnation in state.starts
        if state.task == 'absent' and expected and not stale:
            running = state._replace(task='running', ran=True)
            yield 'host A starts the task', running
        if state.task == 'running':
            yield 'task ends on A', state._replace(task='ended')
        if state.incarnation < MAX_RESTARTS:
            restarted = state._replace(
                incarnation=state.incarnation + 1, task='absent', fenced=False
            )
            yield 'host A restarts', restarted

    def _succeed(self, state: Takeover) -> Iterator[Step]:
        if not state.fate:
            fenced = state._replace(fenced=True)
            yield (
                'host A answers successor',
                fenced._replace(fate=self._conclude(state, state.task)),
            )
            waits = FENCE_ANSWERED in self.guards
            if accepts_placements(not waits, False, False, False):
                absent = state._replace(fate=self._conclude(state, 'absent'))
                yield 'successor goes on without an answer', absent
            return
        if state.step:
            return
        idempotent = self.idempotent or AT_MOST_ONCE not in self.guards
        step = decide_retry(idempotent, AttemptStatus(state.fate), 1, 2)
        yield f'successor: {step}', state._replace(step=step)

    def _conclude(self, state: Takeover, task: str) -> AttemptStatus:
        """Return what host A's answer tells of attempt 1."""
        if task == 'running':
            return AttemptStatus.UNDETERMINED
        if task == 'ended':
            return AttemptStatus.FAILED
        # A start names the incarnation that the journal names for it.
        if state.incarnation != state.bound and ABSENT_IS_LOST in self.guards:
            return AttemptStatus.LAPSED
        return AttemptStatus.NOT_SENT


def _build_takeover(guards: frozenset[str], idempotent: bool) -> Machine:
    invariants = {
        'an attempt believed over does not run': lambda s: (
            not (
                s.fate not in ('', AttemptStatus.UNDETERMINED)
                and s.task == 'running'
            )
        ),
        'never sent is true': lambda s: (
            not (s.fate == AttemptStatus.NOT_SENT and s.ran)
        ),
    }
    if not idempotent:
        invariants['a non-idempotent job runs once'] = lambda s: (
            not (s.step == RetryDecision.RETRY and s.ran)
        )
    witnesses = {
        'the successor finds the task': lambda s: (
            s.fate == AttemptStatus.UNDETERMINED
        ),
        'the successor knows that it never ran': lambda s: (
            s.intent and s.fate == AttemptStatus.NOT_SENT
        ),
        'the successor starts another attempt': lambda s: (
            s.step == RetryDecision.RETRY
        ),
        'a start arrives after the fence': lambda s: (
            s.fenced and s.incarnation in s.starts and s.task == 'absent'
        ),
    }
    steps = _TakeoverSteps(guards, idempotent)
    return Machine(Takeover(), steps.list_steps, invariants, witnesses)


@register_specification(
    'attempts.takeover',
    (INTENT, FENCE_ANSWERED, EPOCH, BOUND_START, ABSENT_IS_LOST),
)
def build_takeover(guards: frozenset[str]) -> Machine:
    """Build the takeover of a job that may run again."""
    return _build_takeover(guards, idempotent=True)


@register_specification(
    'attempts.takeover-once',
    (
        INTENT,
        FENCE_ANSWERED,
        EPOCH,
        BOUND_START,
        ABSENT_IS_LOST,
        AT_MOST_ONCE,
    ),
)
def build_takeover_once(guards: frozenset[str]) -> Machine:
    """Build the takeover of a job that must not run twice."""
    return _build_takeover(guards, idempotent=False)
