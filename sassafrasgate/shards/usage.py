"""Usage reports of workers and actions on tasks that exceed reservations."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.sizing import OveruseAction
from sassafrasgate.placement.sizing import OveruseStep
from sassafrasgate.placement.sizing import plan_overuse
from sassafrasgate.placement.sizing import ReservationUsage
from sassafrasgate.shards.actions import LimitTask
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import StopTask

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafrasgate.core.tasks import TaskUsage as UsageReport
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState
    from sassafrasgate.shards.state import TaskEntry

OVERUSE_STEPS: Registry[
    OveruseStep, Callable[[ShardState, TaskEntry, OveruseAction], Actions]
] = Registry('overuse step')


def record_usage(
    state: ShardState, host: str, reports: Iterable[UsageReport], now: int
) -> Actions:
    """Record the usage of a host's tasks and act on overuse.

    Overuse is usage beyond a task's reservation.
    """
    for report in reports:
        if report.task not in state.tasks:
            continue
        state.usage[report.task] = report
        used = Resources(report.millicores, report.memory_mb)
        peak = state.peak_usage.get(report.task, used)
        state.peak_usage[report.task] = peak.take_maximum(used)
    usages = [
        usage
        for task in state.index.list_reservations(host)
        if (usage := _find_usage(state, task)) is not None
    ]
    if all(usage.used.fits_in(usage.reserved) for usage in usages):
        return
    free = state.index.find_free(host)
    for action in plan_overuse(free, usages, now):
        task = state.tasks[action.task]
        state.overuse_actions[action.task] = (action, now)
        yield LogDecision(
            action.step, task.job_id, host=host, reason=action.reason
        )
        yield from OVERUSE_STEPS.find(action.step)(state, task, action)


def _find_usage(state: ShardState, task: str) -> ReservationUsage | None:
    report = state.usage.get(task)
    entry = state.tasks.get(task)
    job = state.jobs.get(entry.job_id) if entry is not None else None
    if report is None or entry is None or job is None:
        return None
    last = state.overuse_actions.get(task)
    return ReservationUsage(
        task,
        job.spec.job_class,
        state.index.list_reservations(entry.host)[task],
        Resources(report.millicores, report.memory_mb),
        job.spec.priority,
        last[0].step if last else None,
        last[1] if last else 0,
    )


@OVERUSE_STEPS.register(OveruseStep.RESIZE)
def _resize(
    state: ShardState, task: TaskEntry, action: OveruseAction
) -> Actions:
    state.index.resize(task.host, task.task, action.reservation)
    yield from ()


@OVERUSE_STEPS.register(OveruseStep.THROTTLE)
def _throttle(
    state: ShardState, task: TaskEntry, action: OveruseAction
) -> Actions:
    yield LimitTask(
        task.host, task.task, 'throttle', action.reservation.millicores
    )


@OVERUSE_STEPS.register(OveruseStep.CHECKPOINT)
def _checkpoint(
    state: ShardState, task: TaskEntry, action: OveruseAction
) -> Actions:
    yield LimitTask(task.host, task.task, 'checkpoint')


@OVERUSE_STEPS.register(OveruseStep.STOP)
def _stop(
    state: ShardState, task: TaskEntry, action: OveruseAction
) -> Actions:
    state.tasks[task.task] = replace(task, stopping=True)
    yield StopTask(task.host, task.task)
