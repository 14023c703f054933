"""Room that is kept for small steps in pools that are full.

A task that needs more than what single runs release never finds room while
smaller tasks of others take each released part. Workers are therefore kept for
the tasks of a small step that comes first and fits on none of them.
"""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.dispatch.ordering import classify_step
from sassafrasgate.dispatch.ordering import compute_slack
from sassafrasgate.dispatch.ordering import IN_TIME
from sassafrasgate.dispatch.pass_plans import GangReservation
from sassafrasgate.dispatch.plans import sum_capacity
from sassafrasgate.dispatch.shares import SMALL_WORK_MS

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.dispatch.entries import WorkerEntry
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.pass_plans import PassPlan
    from sassafrasgate.dispatch.state import DispatchState

# Once one of this many workers of a pool is kept, no further step keeps any,
# so that little capacity is idle.
WORKERS_PER_KEPT = 10


def may_keep_room(state: DispatchState, plan: PassPlan, key: StepKey) -> bool:
    """Return whether workers may be kept for a step that finds no room."""
    job = state.jobs[key.job_id]
    pool = state.find_pool_of(job)
    if not plan.keeps_room or job.surplus:
        return False
    if not _may_keep_more(plan, pool):
        return False
    slack = compute_slack(job, key, state.now)
    if classify_step(state, job, key, slack) != IN_TIME:
        return False
    step = state.find_step(key)
    work = step.tasks * step.demand.millicores * step.estimate_ms
    return work < SMALL_WORK_MS * sum_capacity(plan, pool).millicores


def _may_keep_more(plan: PassPlan, pool: str) -> bool:
    """Return whether another step may keep workers of a pool in this pass."""
    usable = plan.usable.get(pool, {})
    kept = sum(1 for name in plan.kept_workers if name in usable)
    return kept * WORKERS_PER_KEPT < len(usable)


def keep_room(
    state: DispatchState,
    plan: PassPlan,
    key: StepKey,
    demand: Resources,
    workers: list[WorkerEntry],
) -> None:
    """Keep workers for the pending tasks of a step for this pass.

    Those with the most free cores are kept. Steps that are placed later get
    only what the task will leave.

    Parameters
    ----------
    workers : list of WorkerEntry
        Workers on which the step may run.
    """
    names = [
        worker.registration.worker
        for worker in workers
        if worker.registration.worker not in plan.reservations
    ]
    tasks = len(state.steps[key].pending_tasks)
    for name in nlargest(
        tasks, names, key=lambda name: state.free_resources[name].millicores
    ):
        spare = state.free_resources[name] - demand
        plan.reservations[name] = GangReservation(
            state.now, spare.take_maximum(NO_RESOURCES)
        )
        plan.kept_workers.add(name)
