"""Orders in which a scheduling pass places the waiting steps."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.ordering import Rank
from sassafrasgate.dispatch.ordering import rank_step
from sassafrasgate.dispatch.ordering import rank_step_by_work
from sassafrasgate.dispatch.ordering import WORTHLESS
from sassafrasgate.dispatch.overloads import list_overloaded_pools
from sassafrasgate.dispatch.shares import find_over_share

if TYPE_CHECKING:
    from sassafrasgate.dispatch.pass_plans import PassPlan
    from sassafrasgate.dispatch.state import DispatchState

Order = Callable[['DispatchState', 'PassPlan'], list[StepKey]]

ORDERS: Registry[str, Order] = Registry('order of waiting steps')

# A step that has waited longer may be placed before all others.
PATIENCE_MS = 30_000
# Only one such step is chosen in this time, so that old work of no use does
# not take the place of new work.
PROMOTION_INTERVAL_MS = 1_000
MAX_PROMOTION_MS = 5_000


def order_steps(state: DispatchState, plan: PassPlan) -> list[StepKey]:
    """Return the waiting steps, in the order in which they are placed."""
    return ORDERS.find(_choose_order(state))(state, plan)


def _choose_order(state: DispatchState) -> str:
    if state.routing_table.tenants is not None:
        return 'shares'
    return 'work' if state.manages_overload else 'deadline'


@ORDERS.register('deadline')
def order_by_deadline(state: DispatchState, plan: PassPlan) -> list[StepKey]:
    """Order steps by slack, then by priority."""
    return sorted(state.waiting_steps, key=lambda key: rank_step(state, key))


@ORDERS.register('work')
def order_by_work(state: DispatchState, plan: PassPlan) -> list[StepKey]:
    """Order steps by slack, and by priority and work in overloaded pools."""
    overloaded = list_overloaded_pools(state, plan, state.waiting_steps)
    plan.keeps_room = True
    return sorted(
        state.waiting_steps,
        key=lambda key: _rank_in_pool(state, key, overloaded),
    )


@ORDERS.register('shares')
def order_by_shares(state: DispatchState, plan: PassPlan) -> list[StepKey]:
    """Order steps by entitlement, shares of the tenants, priority and work.

    Work of no use to its caller is last, surplus comes before it, then what
    exceeds the share of its tenant. A step that has waited for too long is
    the first.
    """
    entitled = [
        key
        for key in state.waiting_steps
        if not state.jobs[key.job_id].surplus
        and state.jobs[key.job_id].tenant not in state.capped_tenants
    ]
    overloaded = list_overloaded_pools(state, plan, entitled)
    plan.keeps_room = True
    ranks = {}
    for key in state.waiting_steps:
        job = state.jobs[key.job_id]
        rank = _rank_in_pool(state, key, overloaded)
        ranks[key] = (rank[0] == WORTHLESS, job.surplus, False, rank)
    in_order = sorted(ranks, key=ranks.__getitem__)
    for key in find_over_share(state, plan, in_order):
        worthless, surplus, _, rank = ranks[key]
        ranks[key] = (worthless, surplus, True, rank)
    keys = sorted(ranks, key=ranks.__getitem__)
    promoted = _find_promoted_step(state)
    if promoted is not None:
        keys.remove(promoted)
        keys.insert(0, promoted)
    return keys


def _rank_in_pool(
    state: DispatchState, key: StepKey, overloaded: set[str]
) -> Rank:
    if state.find_pool_of(state.jobs[key.job_id]) in overloaded:
        return rank_step_by_work(state, key)
    return rank_step(state, key)


def _find_promoted_step(state: DispatchState) -> StepKey | None:
    """Return the step that is placed first since it has waited for long.

    A step stays promoted until all its tasks have been started, but not for
    long, as it may never fit. The next one is the oldest of those that have
    become ready after it; after the newest, the oldest of all follows.
    """
    promoted_ms = state.now - state.promoted_at
    if state.promoted_step in state.waiting_steps and (
        promoted_ms < MAX_PROMOTION_MS
    ):
        return state.promoted_step
    if promoted_ms < PROMOTION_INTERVAL_MS:
        return None
    waiting = [(state.steps[key].ready_at, key) for key in state.waiting_steps]
    old = [item for item in waiting if state.now - item[0] >= PATIENCE_MS]
    if not old:
        return None
    previous = (
        state.promoted_ready_at,
        state.promoted_step or StepKey('', 0, 0),
    )
    later = [item for item in old if item > previous]
    state.promoted_ready_at, state.promoted_step = min(later or old)
    state.promoted_at = state.now
    return state.promoted_step
