"""Shares of the tenants in each pool while their demand exceeds it.

A tenant's share is the dominant share of what its runs are charged for. While
all demand of a pool fits, shares decide nothing. Otherwise each tenant may
have as much as the weighted max-min fair allocation gives it, and the steps
beyond are placed after those of the other tenants.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import exp
from math import inf
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.shares import compute_dominant_share
from sassafrasgate.core.shares import find_fair_level
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.identities import ShareKey
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.plans import sum_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.pass_plans import PassPlan
    from sassafrasgate.dispatch.state import DispatchState

# Time constant of the averages, about as long as a large task: a tenant with
# wide steps does not get its next one as soon as the previous one has ended.
MEMORY_MS = 10_000
# A tenant of weight 0 is entitled to nothing but what is left.
MIN_WEIGHT = 1e-6
# Work that would occupy the whole pool for less than this time is placed by
# its urgency alone, as a caller would otherwise wait for the long steps of
# others. Its amount is limited, as each tenant is entitled to few jobs.
SMALL_WORK_MS = 20
LOG_INTERVAL_MS = 1_000
MAX_LOGGED_TENANTS = 3


@dataclass(slots=True)
class PoolShares:
    """Shares of one pool in one pass.

    Parameters
    ----------
    capacity : Resources
        Capacity of the pool's usable workers.
    weights : dict
        Weight of each tenant that uses the pool or waits for it.
    used : dict
        Dominant share of each of them, of now or lately.
    waiting : dict
        Dominant share of each waiting step.
    level : float
        Share for each unit of weight up to which a tenant is served first;
        infinity if the pool has room for all.
    """

    capacity: Resources
    weights: dict[str, float] = field(default_factory=dict)
    used: dict[str, float] = field(default_factory=dict)
    waiting: dict[StepKey, float] = field(default_factory=dict)
    level: float = inf


def find_over_share(
    state: DispatchState, plan: PassPlan, keys: Iterable[StepKey]
) -> set[StepKey]:
    """Return the waiting steps with which tenants exceed their shares.

    Parameters
    ----------
    keys : iterable of StepKey
        The waiting steps. Those of one tenant are in the order in which they
        should be placed.
    """
    keys = list(keys)
    pools = measure_shares(state, plan, keys)
    over: set[StepKey] = set()
    for key in keys:
        job = state.jobs[key.job_id]
        shares = pools[state.find_pool_of(job)]
        if shares.level == inf:
            continue
        tenant = job.tenant
        exceeds = shares.used[tenant] >= shares.weights[tenant] * shares.level
        if exceeds and not _is_small(state, key, shares):
            over.add(key)
            plan.over_share.setdefault(state.find_pool_of(job), set()).add(
                tenant
            )
        shares.used[tenant] += shares.waiting[key]
    return over


def log_shares(state: DispatchState, plan: PassPlan) -> Actions:
    """Log which tenants exceed their shares, at most once in an interval."""
    if not plan.over_share:
        return
    if state.now - state.shares_logged_at < LOG_INTERVAL_MS:
        return
    state.shares_logged_at = state.now
    for pool, tenants in sorted(plan.over_share.items()):
        fields = [('pool', pool), ('waiting', len(state.waiting_steps))]
        yield LogEvent(
            'shares', '', (*fields, *_list_largest(state, pool, tenants))
        )


def _list_largest(
    state: DispatchState, pool: str, tenants: set[str]
) -> list[tuple[str, str | int]]:
    """Return log fields about the tenants that have the most of a pool."""
    recent = {
        tenant: state.recent_shares.get(ShareKey(pool, tenant), 0.0)
        for tenant in tenants
    }
    largest = sorted(recent, key=lambda tenant: -recent[tenant])
    return [
        ('over_share', len(tenants)),
        *(
            (f'tenant_{place}', f'{tenant} {recent[tenant]:.3f}')
            for place, tenant in enumerate(largest[:MAX_LOGGED_TENANTS], 1)
        ),
    ]


def measure_shares(
    state: DispatchState, plan: PassPlan, keys: Iterable[StepKey]
) -> dict[str, PoolShares]:
    """Return the shares of each pool for which steps wait."""
    pools: dict[str, PoolShares] = {}
    wanted: dict[ShareKey, float] = {}
    for key in keys:
        job = state.jobs[key.job_id]
        pool = state.find_pool_of(job)
        if pool not in pools:
            pools[pool] = PoolShares(sum_capacity(plan, pool))
        shares = pools[pool]
        step = job.workflow.steps[key.step]
        share = len(state.steps[key].pending_tasks) * compute_dominant_share(
            step.demand, shares.capacity
        )
        shares.waiting[key] = share
        share_key = ShareKey(pool, job.tenant)
        wanted[share_key] = wanted.get(share_key, 0.0) + share
    _update_recent_shares(state, pools)
    for pool, tenant in {*wanted, *state.recent_shares}:
        if pool in pools:
            _add_tenant(state, pools[pool], ShareKey(pool, tenant))
    for pool, shares in pools.items():
        shares.level = find_fair_level(
            {
                tenant: used + wanted.get(ShareKey(pool, tenant), 0.0)
                for tenant, used in shares.used.items()
            },
            shares.weights,
        )
    return pools


def _is_small(state: DispatchState, key: StepKey, shares: PoolShares) -> bool:
    estimate_ms = state.find_step(key).estimate_ms
    return shares.waiting[key] * estimate_ms < SMALL_WORK_MS


def _add_tenant(
    state: DispatchState, shares: PoolShares, key: ShareKey
) -> None:
    tenant = state.routing_table.find_tenant(key.tenant)
    weight = 1.0 if tenant is None else tenant.weight
    shares.weights[key.tenant] = max(MIN_WEIGHT, weight)
    running = compute_dominant_share(
        state.pool_usage.get(key, NO_RESOURCES), shares.capacity
    )
    shares.used[key.tenant] = max(running, state.recent_shares.get(key, 0.0))


def _update_recent_shares(
    state: DispatchState, pools: dict[str, PoolShares]
) -> None:
    """Move the averages of some pools towards what runs now.

    What runs now is taken to have run since the previous measurement.
    """
    for pool, shares in pools.items():
        elapsed_ms = state.now - state.shares_measured_at.get(pool, 0)
        state.shares_measured_at[pool] = state.now
        kept = exp(-max(0, elapsed_ms) / MEMORY_MS)
        for key in {*state.recent_shares, *state.pool_usage}:
            if key.pool == pool:
                _update_recent_share(state, key, shares.capacity, kept)


def _update_recent_share(
    state: DispatchState, key: ShareKey, capacity: Resources, kept: float
) -> None:
    usage = state.pool_usage.get(key, NO_RESOURCES)
    running = compute_dominant_share(usage, capacity)
    recent = running + (state.recent_shares.get(key, 0.0) - running) * kept
    state.recent_shares[key] = recent
    if key not in state.pool_usage and recent < MIN_WEIGHT:
        del state.recent_shares[key]
