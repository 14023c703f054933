"""Prediction of when waiting work of a pool starts.

A backlog is a virtual schedule of what waits: running work ends as expected,
and the room that it leaves goes to the waiting steps in their order. It deals
with one resource only, the scarcest one, and takes all workers of the pool as
one, so what it predicts for work that fits on few workers is too early. The
ratio of real to predicted waiting times corrects it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.schedules import Schedule

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

# Room on a pool with a smaller used share is found on some worker, whatever
# waits: a pool is contended only above it.
CONTENDED_SHARE = 0.8
# Late work gets at least this share of the room that becomes free, however
# much work arrives that can be on time.
MIN_LATE_SHARE = 0.1
# A predicted wait may be too long by this fraction.
ERROR_SHARE = 0.25
MIN_CORRECTION = 0.25
MAX_CORRECTION = 1.5
# Weight of one sample in the moving average of the correction.
SAMPLE_WEIGHT = 0.1
# Error of the measurement of a waiting time.
SAMPLE_ERROR_MS = 250


Rank = tuple[int, int, int]


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """Work that waits for room.

    Parameters
    ----------
    latest_start : int
        Owner's clock, in ms, at which the work has to start to be on time.
    late_from : int
        Owner's clock, in ms, from which on it waits behind all work that can
        still be on time.
    last_start : int
        Owner's clock, in ms, from which on the work is of no use.
    priority, due_at : int
        Order among late work.
    amount : int
        What all its tasks need of the scarcest resource.
    duration_ms : int
        Expected duration of a task.
    task_amount : int
        What the smallest task needs of the resource.
    key : StepKey or None
        None for work that is not accepted yet.
    tenant : str
        Tenant to which the work belongs; empty for none.
    """

    latest_start: int
    late_from: int
    last_start: int
    priority: int
    due_at: int
    amount: int
    duration_ms: int
    task_amount: int = 0
    key: StepKey | None = None
    tenant: str = ''

    @property
    def work(self) -> int:
        """Amount of the resource times the time for which it is needed."""
        return self.amount * self.duration_ms

    def rank(self, by_work: bool) -> Rank:
        """Return the sort key among work that can be on time.

        Parameters
        ----------
        by_work : bool
            Whether the pool is overloaded, so that little work comes first,
            see `sassafrasgate.dispatch.ordering.rank_step_by_work`.
        """
        if by_work:
            return (self.priority, self.work.bit_length(), self.latest_start)
        return (0, 0, self.latest_start)


@dataclass(frozen=True, slots=True)
class Expectation:
    """When a waiting step is expected to have started.

    Parameters
    ----------
    seen_at, start_at : int
        Owner's clock, in ms, when the expectation was formed, and when the
        last task of the step is expected to start.
    """

    seen_at: int
    start_at: int


@dataclass(frozen=True, slots=True)
class Backlog:
    """What waits in a pool, and when it is expected to start.

    Parameters
    ----------
    measured_at : int
        Owner's clock, in ms, of the measurement.
    resource : str
        Name of the scarcest resource, to which all amounts refer.
    capacity, free : int
        Amount on all usable workers, and what of it is free.
    usable_free : int
        What is free and can be used by what comes next. While work waits for
        room, what is free lies in pieces that are too small.
    release_per_ms : float
        Amount that becomes free in a millisecond.
    by_work : bool
        Whether the pool is overloaded, see `WaitingWork.rank`.
    ranks : tuple of (int, int, int)
        For work that can be on time, its sort keys in their order.
    starts : tuple of int
        When all of that work up to the same place is expected to have
        started.
    wide : tuple of (tuple, int, int)
        For the same work: its sort key, what a task needs, and what all of
        its tasks need.
    late_ranks : tuple of (int, int)
        For late work, in its order: priority and due time.
    late_starts : tuple of int
        When all work up to it is expected to have started.
    drained_at : int
        When all that waits is expected to have started.
    late_share : float
        Share of the room that becomes free which is left to late work.
    waiting : int
        Work that waits, in units of the resource times milliseconds.
    tenant_work : dict
        What waits, by tenant.
    added : tuple of WaitingWork
        Work that was accepted after the measurement.
    correction : float
        Ratio of real to predicted waiting times.
    expectations : dict
        Steps whose start has been predicted and is awaited.
    """

    measured_at: int
    resource: str = ''
    capacity: int = 0
    free: int = 0
    usable_free: int = 0
    release_per_ms: float = 0.0
    by_work: bool = False
    ranks: tuple[Rank, ...] = ()
    starts: tuple[int, ...] = ()
    wide: tuple[tuple[Rank, int, int], ...] = ()
    late_ranks: tuple[tuple[int, int], ...] = ()
    late_starts: tuple[int, ...] = ()
    drained_at: int = 0
    late_share: float = 1.0
    waiting: int = 0
    tenant_work: Mapping[str, tuple[WaitingWork, ...]] = field(
        default_factory=dict
    )
    added: tuple[WaitingWork, ...] = ()
    correction: float = 1.0
    expectations: Mapping[StepKey, Expectation] = field(default_factory=dict)

    @property
    def used_share(self) -> float:
        """Share of the capacity that is in use; 1 without any capacity."""
        return 1 - self.free / self.capacity if self.capacity else 1.0

    @property
    def is_contended(self) -> bool:
        """Whether work waits because the pool is full."""
        return (
            bool(self.waiting)
            and not self.usable_free
            and self.used_share >= CONTENDED_SHARE
        )


def build_backlog(
    now: int,
    resource: str,
    capacity: int,
    free: int,
    ends: Iterable[tuple[int, int]],
    waiting: Sequence[WaitingWork],
    late_share: float = 1.0,
    is_blocked: bool = True,
    deferred: Sequence[WaitingWork] = (),
    by_work: bool = False,
) -> Backlog:
    """Return the virtual schedule of what waits.

    Parameters
    ----------
    ends : iterable of (int, int)
        Expected ends of running work, and the amounts that they release.
    is_blocked : bool
        Whether some of what waits could start if there were room for it.
    deferred : sequence of WaitingWork
        Work that waits without taking room from other work. It counts for
        its tenants only.
    by_work : bool
        As in `WaitingWork.rank`.
    """
    usable_free = 0 if is_blocked else free
    schedule = Schedule(now, usable_free, ends)
    backlog = Backlog(
        now,
        resource,
        capacity,
        free,
        usable_free,
        schedule.compute_release_rate(),
        late_share=late_share,
        waiting=sum(work.work for work in waiting),
        tenant_work=_group_by_tenant((*waiting, *deferred)),
        by_work=by_work,
    )
    expectations: dict[StepKey, Expectation] = {}
    ranks: list[Rank] = []
    starts: list[int] = []
    wide: list[tuple[Rank, int, int]] = []
    late: list[WaitingWork] = []
    for work in sorted(waiting, key=lambda work: work.rank(by_work)):
        if schedule.now > work.late_from:
            late.append(work)
            continue
        ranks.append(work.rank(by_work))
        starts.append(schedule.place(work.amount, work.duration_ms))
        wide.append((ranks[-1], work.task_amount, work.amount))
        if work.key is not None:
            expectations[work.key] = Expectation(now, starts[-1])
    began = schedule.now
    late_ranks: list[tuple[int, int]] = []
    late_starts: list[int] = []
    for work in sorted(late, key=rank_late_work):
        if began + (schedule.now - began) / late_share > work.last_start:
            continue
        late_ranks.append(rank_late_work(work))
        placed = schedule.place(work.amount, work.duration_ms)
        late_starts.append(int(began + (placed - began) / late_share))
    return replace(
        backlog,
        ranks=tuple(ranks),
        starts=tuple(starts),
        wide=tuple(wide),
        late_ranks=tuple(late_ranks),
        late_starts=tuple(late_starts),
        drained_at=max([now, *starts, *late_starts]),
        expectations=expectations,
    )


def rank_late_work(work: WaitingWork) -> tuple[int, int]:
    """Return the sort key of late work; the lowest starts first."""
    return work.priority, work.due_at


def _group_by_tenant(
    waiting: Iterable[WaitingWork],
) -> dict[str, tuple[WaitingWork, ...]]:
    groups: dict[str, list[WaitingWork]] = {}
    for work in waiting:
        groups.setdefault(work.tenant, []).append(work)
    return {tenant: tuple(group) for tenant, group in groups.items()}


def find_tenant_work_ahead(backlog: Backlog, work: WaitingWork) -> int:
    """Return the work of the same tenant that starts before new work.

    It is an amount of the resource times milliseconds.
    """
    rank = work.rank(backlog.by_work)
    return sum(
        other.work
        for other in backlog.tenant_work.get(work.tenant, ())
        if other.rank(backlog.by_work) <= rank
    )


def predict_start(backlog: Backlog, work: WaitingWork) -> float:
    """Return when new work is expected to have started.

    The result is a time of the owner's clock in ms, infinite if no room
    becomes free.
    """
    start = _predict_timely_start(backlog, work)
    wait_ms = max(0.0, start - backlog.measured_at)
    if backlog.measured_at + wait_ms * (1 - ERROR_SHARE) <= work.late_from:
        return start
    return max(start, _predict_late_start(backlog, work))


def _predict_timely_start(backlog: Backlog, work: WaitingWork) -> float:
    rank = work.rank(backlog.by_work)
    place = bisect_right(backlog.ranks, rank)
    before = backlog.starts[place - 1] if place else backlog.measured_at
    added = sum(
        other.amount
        for other in backlog.added
        if other.rank(backlog.by_work) <= rank
    )
    missing = added + work.amount - _find_overtaken(backlog, work)
    if before <= backlog.measured_at:
        missing -= backlog.usable_free
    return _correct(backlog, before + _find_delay_ms(backlog, missing))


def _find_overtaken(backlog: Backlog, work: WaitingWork) -> int:
    """Return the amount of earlier work that is overtaken.

    A smaller task starts in room that is too small for a larger one.
    """
    rank = work.rank(backlog.by_work)
    return sum(
        amount
        for wide_rank, task_amount, amount in backlog.wide
        if wide_rank <= rank and task_amount > work.task_amount
    )


def _predict_late_start(backlog: Backlog, work: WaitingWork) -> float:
    place = bisect_right(backlog.late_ranks, rank_late_work(work))
    before = backlog.measured_at
    if backlog.starts:
        before = backlog.starts[-1]
    if place:
        before = backlog.late_starts[place - 1]
    missing = sum(other.amount for other in backlog.added) + work.amount
    delay_ms = _find_delay_ms(backlog, missing) / backlog.late_share
    return _correct(backlog, before + delay_ms)


def _find_delay_ms(backlog: Backlog, missing: int) -> float:
    """Return how long it takes until an amount has become free, in ms."""
    if not backlog.release_per_ms:
        return inf if missing > 0 else 0.0
    return missing / backlog.release_per_ms


def _correct(backlog: Backlog, predicted: float) -> float:
    wait_ms = max(0.0, predicted - backlog.measured_at)
    return backlog.measured_at + wait_ms * backlog.correction


def add_work(backlog: Backlog, work: WaitingWork) -> Backlog:
    """Return a backlog with work that was accepted after the measurement."""
    tenant_work = dict(backlog.tenant_work)
    tenant_work[work.tenant] = (*tenant_work.get(work.tenant, ()), work)
    return replace(
        backlog, added=(*backlog.added, work), tenant_work=tenant_work
    )


def correct_prediction(correction: float, predicted: int, real: int) -> float:
    """Return the correction after another step has started.

    Parameters
    ----------
    predicted, real : int
        Waiting time in ms without the correction, and as it was.
    """
    ratio = (real + SAMPLE_ERROR_MS) / (predicted + SAMPLE_ERROR_MS)
    change = (ratio - correction) * SAMPLE_WEIGHT
    return min(MAX_CORRECTION, max(MIN_CORRECTION, correction + change))
