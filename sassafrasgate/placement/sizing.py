"""Demand estimates, and actions for tasks that exceed a reservation."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.core.jobs import JobSpec

# Number of ended tasks that an estimate is based on: large enough that one
# outlier does not determine it, and small enough to follow a new release of
# the caller's program within a day.
MAX_SAMPLES = 64
MIN_SAMPLES = 8
# Fraction of the tasks whose peak usage fits in the estimate. The largest
# tasks are handled by `plan_overuse`, since reserving their peak for every
# task would waste resources.
DEMAND_QUANTILE = 0.9
# Upper limit of an estimate as a multiple of the declared demand, since usage
# reports can be wrong.
MAX_DEMAND_FACTOR = 4.0

# Time between two escalation steps for one task. Usage reports lag by a few
# seconds, so the effect of a step is not visible earlier.
ESCALATION_INTERVAL_MS = 10_000

# Order in which usage beyond reservations is reclaimed from job classes.
RECLAIM_ORDER = (
    JobClass.BATCH,
    JobClass.GANG,
    JobClass.SERVICE,
    JobClass.QUICK,
    JobClass.URGENT,
)


class DemandEstimator:
    """Estimates the demand of tasks from the peak usage of ended ones.

    For each team and job class it keeps the ratios of used to declared
    processor time and memory. Other resources are counted rather than
    measured, so their declared amounts apply.
    """

    def __init__(self) -> None:
        self._samples: dict[
            tuple[str, JobClass], deque[tuple[float, float]]
        ] = {}

    def record_peak(self, spec: JobSpec, peak: Resources) -> None:
        """Record the peak usage that was reported for an ended task."""
        samples = self._samples.setdefault(
            (spec.team, spec.job_class), deque(maxlen=MAX_SAMPLES)
        )
        samples.append(
            (
                peak.millicores / max(1, spec.demand.millicores),
                peak.memory_mb / max(1, spec.demand.memory_mb),
            )
        )

    def estimate_demand(self, spec: JobSpec) -> Resources:
        """Return the resources to reserve, at least those declared."""
        samples = self._samples.get((spec.team, spec.job_class), ())
        if len(samples) < MIN_SAMPLES:
            return spec.demand
        factors = (
            _compute_factor([sample[0] for sample in samples]),
            _compute_factor([sample[1] for sample in samples]),
        )
        estimate = Resources(
            int(spec.demand.millicores * factors[0]),
            int(spec.demand.memory_mb * factors[1]),
        )
        return spec.demand.take_maximum(estimate)


class OveruseStep(StrEnum):
    """Actions for a task that exceeds its reservation, mildest first."""

    RESIZE = 'resize'
    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


_NEXT_STEPS = {
    OveruseStep.RESIZE: OveruseStep.THROTTLE,
    OveruseStep.THROTTLE: OveruseStep.CHECKPOINT,
    OveruseStep.CHECKPOINT: OveruseStep.STOP,
    OveruseStep.STOP: OveruseStep.STOP,
}


@dataclass(frozen=True, slots=True)
class ReservationUsage:
    """Usage of a task, as last reported by its worker, and its reservation.

    Parameters
    ----------
    task : str
        Task id.
    job_class : JobClass
        Determines the order of reclaiming, see `RECLAIM_ORDER`.
    reserved, used : Resources
        Resources that the task has reserved, and those that it uses.
    priority : int
        Within a class, resources are reclaimed from lower priorities
        first.
    last_step : OveruseStep or None
        The latest action for this task.
    last_step_at : int
        When that action was taken, in ms.
    """

    task: str
    job_class: JobClass
    reserved: Resources
    used: Resources
    priority: int = 0
    last_step: OveruseStep | None = None
    last_step_at: int = 0


@dataclass(frozen=True, slots=True)
class OveruseAction:
    """An action for one task that exceeds its reservation.

    Parameters
    ----------
    task : str
        Task id.
    step : OveruseStep
        Kind of the action.
    reservation : Resources
        New reservation for `OveruseStep.RESIZE`, otherwise the current one.
    reason : str
        Cause of the action, for logs and explanations.
    """

    task: str
    step: OveruseStep
    reservation: Resources
    reason: str


def plan_overuse(
    free: Resources, tasks: Iterable[ReservationUsage], now: int
) -> tuple[OveruseAction, ...]:
    """Return actions for the tasks of a host that exceed their reservations.

    Free resources go to the tasks of the highest class first, whose
    reservations are raised to their usage. The rest is reclaimed from the
    lowest class first: a task is throttled, then checkpointed, then
    stopped, with at least `ESCALATION_INTERVAL_MS` between the steps. Only
    as many tasks are affected as the shortfall requires. A task within its
    reservation is never affected.

    Parameters
    ----------
    free : Resources
        Resources of the host that are not reserved.
    now : int
        Time in ms.
    """
    exceeding = [
        task for task in tasks if not task.used.fits_in(task.reserved)
    ]
    exceeding.sort(key=_make_reclaim_key)
    granted, denied = _grant_excess(free, exceeding)
    actions = [
        OveruseAction(
            task.task,
            OveruseStep.RESIZE,
            task.reserved.take_maximum(task.used),
            f'uses {task.used!r}',
        )
        for task in granted
    ]
    shortfall = _sum_excess(denied) - subtract_excess(free, granted)
    for task in denied:
        if shortfall.fits_in(NO_RESOURCES):
            break
        shortfall = shortfall - compute_excess(task)
        if step := _choose_step(task, now):
            actions.append(
                OveruseAction(
                    task.task,
                    step,
                    task.reserved,
                    f'uses {task.used!r}, reserved {task.reserved!r}, and '
                    f'the host has no free capacity for the difference',
                )
            )
    return tuple(actions)


def compute_excess(task: ReservationUsage) -> Resources:
    """Return the usage of a task beyond its reservation."""
    return task.reserved.take_maximum(task.used) - task.reserved


def subtract_excess(
    free: Resources, granted: Iterable[ReservationUsage]
) -> Resources:
    """Return what stays free after granting excess usage, at least zero."""
    for task in granted:
        free = free - compute_excess(task)
    return free.take_maximum(NO_RESOURCES)


def _make_reclaim_key(task: ReservationUsage) -> tuple[int, int, str]:
    return RECLAIM_ORDER.index(task.job_class), task.priority, task.task


def _grant_excess(
    free: Resources, exceeding: list[ReservationUsage]
) -> tuple[list[ReservationUsage], list[ReservationUsage]]:
    """Split tasks, sorted from lowest class, by whether their excess fits."""
    granted = []
    denied = []
    for task in reversed(exceeding):
        excess = compute_excess(task)
        if excess.fits_in(free):
            granted.append(task)
            free = free - excess
            continue
        denied.append(task)
    denied.reverse()
    return granted, denied


def _sum_excess(tasks: Iterable[ReservationUsage]) -> Resources:
    total = NO_RESOURCES
    for task in tasks:
        total = total + compute_excess(task)
    return total


def _choose_step(task: ReservationUsage, now: int) -> OveruseStep | None:
    """Return the next step, or None until the last one can take effect."""
    if task.last_step in (None, OveruseStep.RESIZE):
        return OveruseStep.THROTTLE
    if now < task.last_step_at + ESCALATION_INTERVAL_MS:
        return None
    return _NEXT_STEPS[task.last_step]


def _compute_factor(ratios: list[float]) -> float:
    """Return the quantile of used to declared demand, with a limit."""
    ordered = sorted(ratios)
    factor = ordered[int(DEMAND_QUANTILE * (len(ordered) - 1))]
    return min(factor, MAX_DEMAND_FACTOR)
