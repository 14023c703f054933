"""Admission of workflows by the delay of the owner's events.

What is accepted is owed, so an owner that is late refuses work before its
record is written. The delay that counts is the least of the latest samples: a
single late sample, as after a pause of the process, leaves no queue behind.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind

if TYPE_CHECKING:
    from sassafrasgate.core.workflows import Workflow
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.shards.events import RequestReceived
    from sassafrasgate.shards.events import Ticked

DELAY_SAMPLES = 3
# A longer delay lowers the rate at which tasks are admitted. It is well below
# the time for which other hosts wait for a reply.
MAX_DELAY_MS = 150
# The rate is raised only while the delay is shorter than this.
RAISE_DELAY_MS = 50
# With a longer delay nothing is admitted: the time in which a quick job earns
# most would be over before its start.
REFUSAL_DELAY_MS = 500
# The effect of a lower rate shows once tasks that were admitted before have
# been started.
DECREASE_INTERVAL_MS = 500
DECREASE_FACTOR = 0.85
# A queue that was there before the rate was lowered takes this time at most
# to become shorter.
EPISODE_MS = 2_000
INCREASE_PER_S = 0.3
# The rate rises slowly from this share of the one that was last served: the
# work of what is admitted lasts for about a second.
SLOW_INCREASE_SHARE = 0.75
SLOW_INCREASE_PER_S = 0.05
MIN_TASKS_PER_S = 5.0
# The limit ends once nothing has been refused for this time.
RELEASE_MS = 3_000
RATE_WINDOW_MS = 1_000
# Longest time for which unused allowance is kept.
BURST_MS = 250
MAX_RETRY_AFTER_MS = 5_000


@dataclass(frozen=True, slots=True)
class Admission:
    """How much work the owner admits.

    Parameters
    ----------
    delays_ms : tuple of int
        Latest delays of events.
    limit_per_s : float
        Tasks that may be admitted in a second.
    served_per_s : float
        Tasks that were started in a second when the limit was last lowered.
    allowance : float
        Tasks that may be admitted now. It is negative after a large job.
    rate_per_s : float
        Tasks that were started in a second of late.
    started_tasks : int
        Tasks that this owner had started at the latest sample.
    began_at : int
        Owner's clock, in ms, of the first sample.
    measured_at : int
        Owner's clock, in ms, of the latest sample.
    delay_at_decrease_ms : int
        Delay when the limit was last lowered.
    decreased_at : int
        Owner's clock, in ms, when the limit was last lowered.
    refused_at : int
        Owner's clock, in ms, when a workflow was last refused or the limit
        lowered.
    promised_until : int
        Owner's clock, in ms, when the work of all refused callers can have
        been admitted.
    """

    delays_ms: tuple[int, ...] = ()
    limit_per_s: float = inf
    served_per_s: float = 0.0
    allowance: float = 0.0
    rate_per_s: float = 0.0
    started_tasks: int = 0
    began_at: int = 0
    measured_at: int = 0
    delay_at_decrease_ms: int = 0
    decreased_at: int = 0
    refused_at: int = 0
    promised_until: int = 0

    @property
    def standing_delay_ms(self) -> int:
        """The delay that each of the latest samples has had at least."""
        if len(self.delays_ms) < DELAY_SAMPLES:
            return 0
        return min(self.delays_ms)


def measure_delay(state: DispatchState, event: Ticked) -> None:
    """Adapt the rate of admissions to the delay of a tick."""
    due_at = event.due_at or event.fired_at
    if not due_at:
        return
    now = state.now
    admission = state.admission
    if not admission.measured_at:
        admission = replace(
            admission,
            began_at=now,
            measured_at=now,
            started_tasks=state.started_tasks,
        )
    elapsed_ms = now - admission.measured_at
    admission = _measure_rate(admission, now, state.started_tasks, elapsed_ms)
    admission = _refill(admission, elapsed_ms)
    delays_ms = (*admission.delays_ms, max(0, now - due_at))
    admission = replace(
        admission, delays_ms=delays_ms[-DELAY_SAMPLES:], measured_at=now
    )
    if admission.standing_delay_ms > MAX_DELAY_MS:
        admission = _lower_limit(admission, now)
    elif admission.standing_delay_ms <= RAISE_DELAY_MS:
        admission = _raise_limit(admission, now, elapsed_ms)
    state.admission = admission


def _measure_rate(
    admission: Admission, now: int, started_tasks: int, elapsed_ms: int
) -> Admission:
    """Add a sample to the moving average of the tasks that were started."""
    if not elapsed_ms:
        return admission
    known_ms = max(1, min(RATE_WINDOW_MS, now - admission.began_at))
    share = min(1.0, elapsed_ms / known_ms)
    started = started_tasks - admission.started_tasks
    change = started * 1_000 / elapsed_ms - admission.rate_per_s
    return replace(
        admission,
        rate_per_s=admission.rate_per_s + change * share,
        started_tasks=started_tasks,
    )


def _refill(admission: Admission, elapsed_ms: int) -> Admission:
    """Add the allowance of the time since the previous sample."""
    limit_per_s = admission.limit_per_s
    if limit_per_s == inf:
        return admission
    added = limit_per_s * min(elapsed_ms, RATE_WINDOW_MS) / 1_000
    allowance = min(
        admission.allowance + added, limit_per_s * BURST_MS / 1_000
    )
    return replace(admission, allowance=allowance)


def _lower_limit(admission: Admission, now: int) -> Admission:
    since_ms = now - admission.decreased_at
    falling = admission.delays_ms[-1] < admission.delay_at_decrease_ms
    if since_ms < DECREASE_INTERVAL_MS or falling and since_ms < EPISODE_MS:
        return admission
    if now - admission.began_at < RATE_WINDOW_MS:
        # The rate of a new owner is not known yet.
        return admission
    limit_per_s = min(admission.limit_per_s, admission.rate_per_s)
    return replace(
        admission,
        limit_per_s=max(MIN_TASKS_PER_S, limit_per_s * DECREASE_FACTOR),
        served_per_s=admission.rate_per_s,
        delay_at_decrease_ms=admission.standing_delay_ms,
        decreased_at=now,
        refused_at=now,
    )


def _raise_limit(admission: Admission, now: int, elapsed_ms: int) -> Admission:
    limit_per_s = admission.limit_per_s
    if limit_per_s == inf:
        return admission
    if now - admission.refused_at > RELEASE_MS:
        return replace(
            admission, limit_per_s=inf, allowance=0.0, promised_until=0
        )
    slow = limit_per_s > admission.served_per_s * SLOW_INCREASE_SHARE
    increase_per_s = SLOW_INCREASE_PER_S if slow else INCREASE_PER_S
    elapsed_s = min(elapsed_ms, RATE_WINDOW_MS) / 1_000
    return replace(
        admission, limit_per_s=limit_per_s * (1 + increase_per_s * elapsed_s)
    )


def admit_workflow(state: DispatchState, workflow: Workflow) -> Refusal | None:
    """Count a workflow as admitted, or return a refusal."""
    admission = state.admission
    tasks = sum(step.tasks for step in workflow.steps)
    late = admission.standing_delay_ms > REFUSAL_DELAY_MS
    if not late and (admission.limit_per_s == inf or admission.allowance > 0):
        allowance = admission.allowance
        if admission.limit_per_s != inf:
            allowance -= tasks
        state.admission = replace(admission, allowance=allowance)
        return None
    return _refuse(state, admission, tasks)


def _refuse(state: DispatchState, admission: Admission, tasks: int) -> Refusal:
    """Refuse a workflow, and tell when there will be room for it.

    The refused callers return one after the other.
    """
    limit_per_s = admission.limit_per_s
    if limit_per_s == inf:
        limit_per_s = max(admission.rate_per_s, MIN_TASKS_PER_S)
    missing = max(0.0, -admission.allowance)
    earliest = (
        state.now
        + admission.standing_delay_ms
        + int(missing * 1_000 / limit_per_s)
    )
    promised_until = min(
        max(earliest, admission.promised_until)
        + int(tasks * 1_000 / limit_per_s),
        state.now + MAX_RETRY_AFTER_MS,
    )
    state.admission = replace(
        admission, promised_until=promised_until, refused_at=state.now
    )
    retry_after_ms = promised_until - state.now
    return Refusal(
        RefusalKind.OVERLOADED,
        f'the owner is {admission.standing_delay_ms} ms late and admits '
        f'{limit_per_s:.0f} tasks a second',
        f'send the request again after {retry_after_ms} ms',
        retry_after_ms,
    )


def has_expired(state: DispatchState, event: RequestReceived) -> bool:
    """Return whether the sender of a request no longer waits for it."""
    return bool(event.expires_at) and state.now > event.expires_at


def make_expiry_refusal(event: RequestReceived) -> Refusal:
    """Return the refusal of a request that has waited for too long."""
    return Refusal(
        RefusalKind.OVERLOADED,
        f'a request of kind {event.message.kind!r} has waited for longer than '
        'its sender does',
        'send the request again after a second',
        1_000,
    )
