"""Learned sizes of tasks, and the answer to growth beyond a reservation."""

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

# Enough ended tasks that one outlier does not decide, few enough to follow
# a new release of the caller's program within a day.
SAMPLES = 64
MIN_SAMPLES = 8
# The reservation covers all but the largest tenth; the largest tasks are
# left to `plan_growth`, since reserving for them wastes room on all others.
COVERED_SHARE = 0.9
# Usage reports can be wrong; a learned size stays within this factor.
MAX_FACTOR = 4.0

# Usage lags by a few seconds, so a step needs this long to show its effect
# before the next one follows.
ESCALATION_MS = 10_000

# Lowest first: the order in which classes give up what exceeds their
# reservations.
RANKS = (
    JobClass.BATCH,
    JobClass.GANG,
    JobClass.SERVICE,
    JobClass.QUICK,
    JobClass.URGENT,
)


class LearnedSizes:
    """Factors between declared and used amounts by team and class.

    Only processor time and memory are learned; the other resources are
    counted, not measured.
    """

    def __init__(self) -> None:
        self._samples: dict[
            tuple[str, JobClass], deque[tuple[float, float]]
        ] = {}

    def note_peak(self, spec: JobSpec, peak: Resources) -> None:
        """Note the largest usage that was reported for an ended task."""
        samples = self._samples.setdefault(
            (spec.team, spec.job_class), deque(maxlen=SAMPLES)
        )
        samples.append(
            (
                peak.millicores / max(1, spec.demand.millicores),
                peak.memory_mb / max(1, spec.demand.memory_mb),
            )
        )

    def find_size(self, spec: JobSpec) -> Resources:
        """Return what a task should reserve; never less than declared."""
        samples = self._samples.get((spec.team, spec.job_class), ())
        if len(samples) < MIN_SAMPLES:
            return spec.demand
        factors = (
            _find_covering([sample[0] for sample in samples]),
            _find_covering([sample[1] for sample in samples]),
        )
        learned = Resources(
            int(spec.demand.millicores * factors[0]),
            int(spec.demand.memory_mb * factors[1]),
        )
        return spec.demand.take_maximum(learned)


class GrowthStep(StrEnum):
    """Answers to a task that uses more than it reserved, mildest first."""

    RESIZE = 'resize'
    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


_ESCALATION = {
    GrowthStep.RESIZE: GrowthStep.THROTTLE,
    GrowthStep.THROTTLE: GrowthStep.CHECKPOINT,
    GrowthStep.CHECKPOINT: GrowthStep.STOP,
    GrowthStep.STOP: GrowthStep.STOP,
}


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """What a task uses by its worker's latest report.

    Parameters
    ----------
    task : str
        Task id.
    job_class : JobClass
        Decides who gives way first.
    reserved, used : Resources
        What the task holds, and what it was seen to use.
    priority : int
        Lower gives way first within a class.
    last_step : GrowthStep or None
        The latest answer to this task's growth.
    last_step_at : int
        When it was given, in ms.
    """

    task: str
    job_class: JobClass
    reserved: Resources
    used: Resources
    priority: int = 0
    last_step: GrowthStep | None = None
    last_step_at: int = 0


@dataclass(frozen=True, slots=True)
class GrowthAction:
    """One answer to one task's growth.

    Parameters
    ----------
    task : str
        Task id.
    step : GrowthStep
        What to do.
    size : Resources
        New reservation for `GrowthStep.RESIZE`, otherwise the current one.
    reason : str
        For logs and explanations.
    """

    task: str
    step: GrowthStep
    size: Resources
    reason: str


def plan_growth(
    free: Resources, tasks: Iterable[TaskUsage], now: int
) -> tuple[GrowthAction, ...]:
    """Answer growth beyond reservations on one host.

    Growth is granted from what is free, highest class first. What can't be
    granted is taken back from the lowest class first, by throttle, then
    checkpoint, then stop, one step for each `ESCALATION_MS`, and only as
    far as needed to end the shortfall. A task within its reservation is
    never touched.

    Parameters
    ----------
    free : Resources
        What no reservation on the host holds.
    now : int
        Time in ms.
    """
    grown = [task for task in tasks if not task.used.fits_in(task.reserved)]
    grown.sort(key=_rank)
    granted, missing = _grant_growth(free, grown)
    actions = [
        GrowthAction(
            task.task,
            GrowthStep.RESIZE,
            task.reserved.take_maximum(task.used),
            f'uses {task.used!r}',
        )
        for task in granted
    ]
    shortfall = _sum_excess(missing) - free_after(free, granted)
    for task in missing:
        if shortfall.fits_in(NO_RESOURCES):
            break
        shortfall = shortfall - find_excess(task)
        if step := _choose_step(task, now):
            actions.append(
                GrowthAction(
                    task.task,
                    step,
                    task.reserved,
                    f'uses {task.used!r}, reserved {task.reserved!r}, and '
                    f'the host has no room for the growth',
                )
            )
    return tuple(actions)


def find_excess(task: TaskUsage) -> Resources:
    """Return how much more than its reservation a task uses."""
    return task.reserved.take_maximum(task.used) - task.reserved


def free_after(free: Resources, granted: Iterable[TaskUsage]) -> Resources:
    """Return what stays free once growth is granted, at least nothing."""
    for task in granted:
        free = free - find_excess(task)
    return free.take_maximum(NO_RESOURCES)


def _rank(task: TaskUsage) -> tuple[int, int, str]:
    return RANKS.index(task.job_class), task.priority, task.task


def _grant_growth(
    free: Resources, grown: list[TaskUsage]
) -> tuple[list[TaskUsage], list[TaskUsage]]:
    """Split grown tasks, lowest first, into granted and not granted."""
    granted = []
    missing = []
    for task in reversed(grown):
        excess = find_excess(task)
        if excess.fits_in(free):
            granted.append(task)
            free = free - excess
            continue
        missing.append(task)
    missing.reverse()
    return granted, missing


def _sum_excess(tasks: Iterable[TaskUsage]) -> Resources:
    total = NO_RESOURCES
    for task in tasks:
        total = total + find_excess(task)
    return total


def _choose_step(task: TaskUsage, now: int) -> GrowthStep | None:
    """Return the next step, or None while the last one may still act."""
    if task.last_step in (None, GrowthStep.RESIZE):
        return GrowthStep.THROTTLE
    if now < task.last_step_at + ESCALATION_MS:
        return None
    return _ESCALATION[task.last_step]


def _find_covering(factors: list[float]) -> float:
    ordered = sorted(factors)
    covering = ordered[int(COVERED_SHARE * (len(ordered) - 1))]
    return min(covering, MAX_FACTOR)
