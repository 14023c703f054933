"""What operators see of tenants and their caps in the decision log."""

from __future__ import annotations

from dataclasses import replace
from heapq import nlargest
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.prior_runs import compute_unseen_usage
from sassafrasgate.dispatch.tenant_accounts import CappedPeriod

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

# A tenant has left its cap if no step has lacked room for this time. At the
# cap, a step lacks room again as soon as another one has started.
CAP_LEFT_MS = 1_000
TENANTS_INTERVAL_MS = 5_000
# Number of tenants that the periodic line names, those with most work first.
MAX_LISTED_TENANTS = 32


def record_capped_tenants(state: DispatchState, reached: set[str]) -> Actions:
    """Record the tenants that are at their caps, and log new ones."""
    for tenant in sorted(reached):
        period = state.capped_tenants.get(tenant)
        if period is not None:
            state.capped_tenants[tenant] = replace(period, seen_at=state.now)
            continue
        state.capped_tenants[tenant] = CappedPeriod(state.now, state.now)
        yield LogEvent('tenant-capped', '', _describe_tenant(state, tenant))


def end_capped_periods(state: DispatchState) -> Actions:
    """Log the tenants that have left their caps."""
    for tenant, period in list(state.capped_tenants.items()):
        if state.now - period.seen_at < CAP_LEFT_MS:
            continue
        del state.capped_tenants[tenant]
        yield LogEvent(
            'tenant-uncapped',
            '',
            (
                *_describe_tenant(state, tenant),
                ('capped_ms', period.seen_at - period.since),
            ),
        )


def _describe_tenant(
    state: DispatchState, tenant: str
) -> tuple[tuple[str, object], ...]:
    used = state.get_tenant_usage(tenant)
    unseen = compute_unseen_usage(state).get(tenant, NO_RESOURCES)
    cap = _find_cap(state, tenant)
    return (
        ('tenant', tenant),
        ('runs', len(state.runs_by_tenant.get(tenant, ()))),
        ('millicores', used.millicores),
        ('memory_mb', used.memory_mb),
        ('accelerators', used.accelerators),
        ('unseen_millicores', unseen.millicores),
        ('cap_millicores', cap.millicores),
        ('cap_memory_mb', cap.memory_mb),
        ('cap_accelerators', cap.accelerators),
        ('table', state.routing_table.version),
    )


def _find_cap(state: DispatchState, name: str) -> Resources:
    tenant = state.routing_table.find_tenant(name)
    return NO_RESOURCES if tenant is None else tenant.cap


def log_tenants(state: DispatchState) -> Actions:
    """Log what all tenants have running and waiting, every few seconds.

    Each tenant is shown as its name, its running tasks, its waiting tasks,
    the processor time that it uses and that of its cap, in millicores.
    """
    if not state.routing_table.tenants:
        return
    if state.now - state.tenants_logged_at < TENANTS_INTERVAL_MS:
        return
    state.tenants_logged_at = state.now
    waiting = _count_waiting_tasks(state)
    active = {*waiting, *state.runs_by_tenant}
    listed = nlargest(
        MAX_LISTED_TENANTS,
        active,
        key=lambda name: (
            state.get_tenant_usage(name).millicores,
            waiting.get(name, 0),
            name,
        ),
    )
    yield LogEvent(
        'tenants',
        '',
        (
            ('tenants', len(state.routing_table.tenants)),
            ('active', len(active)),
            ('capped', len(state.capped_tenants)),
            ('unreconciled_workers', len(state.unreconciled_workers)),
            (
                'usage',
                ' '.join(
                    _format_tenant(state, name, waiting.get(name, 0))
                    for name in listed
                ),
            ),
        ),
    )


def _count_waiting_tasks(state: DispatchState) -> dict[str, int]:
    counts: dict[str, int] = {}
    for key in state.waiting_steps:
        tenant = state.jobs[key.job_id].tenant
        if tenant:
            tasks = len(state.steps[key].pending_tasks)
            counts[tenant] = counts.get(tenant, 0) + tasks
    return counts


def _format_tenant(state: DispatchState, name: str, waiting: int) -> str:
    runs = len(state.runs_by_tenant.get(name, ()))
    used = state.get_tenant_usage(name).millicores
    cap = _find_cap(state, name).millicores
    return f'{name}:{runs}:{waiting}:{used}/{cap or "-"}'
