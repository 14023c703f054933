"""Pools whose waiting work can't all start while it can still be in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.ordering import classify_step
from sassafrasgate.dispatch.ordering import compute_slack
from sassafrasgate.dispatch.ordering import IN_TIME
from sassafrasgate.dispatch.plans import find_total_free
from sassafrasgate.dispatch.plans import sum_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.pass_plans import PassPlan
    from sassafrasgate.dispatch.state import DispatchState


def list_overloaded_pools(
    state: DispatchState, plan: PassPlan, keys: Iterable[StepKey]
) -> set[str]:
    """Return the pools that can't start all of some steps in time."""
    by_pool: dict[str, list[tuple[int, StepKey]]] = {}
    for key in keys:
        job = state.jobs[key.job_id]
        slack = compute_slack(job, key, state.now)
        if classify_step(state, job, key, slack) == IN_TIME:
            by_pool.setdefault(state.find_pool_of(job), []).append(
                (slack, key)
            )
    return {
        pool
        for pool, steps in by_pool.items()
        if pool in plan.usable and _is_overloaded(state, plan, pool, steps)
    }


def _is_overloaded(
    state: DispatchState,
    plan: PassPlan,
    pool: str,
    steps: list[tuple[int, StepKey]],
) -> bool:
    """Return whether steps need more cores than become free in their slack.

    A pool that is full releases its capacity once in the mean duration of a
    run, which is taken from the steps that wait.
    """
    demands: list[tuple[int, int]] = []
    work = 0
    for slack, key in steps:
        step = state.find_step(key)
        demand = len(state.steps[key].pending_tasks) * step.demand.millicores
        demands.append((slack, demand))
        work += demand * step.estimate_ms
    needed = sum(demand for _, demand in demands)
    free = find_total_free(state, plan, pool).millicores
    if needed <= free or not work:
        return False
    released_per_ms = sum_capacity(plan, pool).millicores * needed / work
    needed = 0
    for slack, demand in sorted(demands):
        needed += demand
        if needed > free + max(0, slack) * released_per_ms:
            return True
    return False
