"""Which jobs of a tenant exceed the rate that it is entitled to.

A tenant is entitled to as many jobs a second as its weight, measured by a
token bucket over the times of acceptance. These times are in the journal, so a
successor comes to the same result.
"""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.entries import JobAllowance

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.state import DispatchState

# A tenant that has sent less may send the jobs of this time at once: callers
# submit at irregular times.
BURST_S = 5.0
MIN_BURST_JOBS = 2.0


def is_surplus(state: DispatchState, tenant: str, at_ms: int) -> bool:
    """Return whether a job of a tenant would exceed its entitlement.

    Jobs without a tenant, and those of a tenant that the routing table does
    not name, have no entitlement that they could exceed.

    Parameters
    ----------
    at_ms : int
        Unix time, in ms, at which the job would be accepted.
    """
    allowance = _find_allowance(state, tenant, at_ms)
    return allowance is not None and allowance.jobs < 1


def count_job(state: DispatchState, entry: JobEntry) -> JobEntry:
    """Count an accepted job, and mark it if it is surplus.

    Surplus uses no allowance: what a tenant sends in excess does not delay
    the time from which its jobs are entitled again.
    """
    allowance = _find_allowance(state, entry.tenant, entry.accepted_at_ms)
    if allowance is None:
        return entry
    if allowance.jobs < 1:
        return state.update_job(entry.job_id, surplus=True)
    state.job_allowances[entry.tenant] = JobAllowance(
        allowance.jobs - 1, allowance.at_ms
    )
    return entry


def rebuild_entitlements(state: DispatchState) -> None:
    """Mark the surplus among the jobs that previous owners have accepted.

    A successor reads the jobs before it knows the weights of their tenants.
    Jobs that have ended before a snapshot are not counted.
    """
    state.job_allowances.clear()
    accepted = (entry for entry in state.jobs.values() if entry.tenant)
    for entry in sorted(accepted, key=attrgetter('accepted_at_ms')):
        count_job(state, entry)


def _find_allowance(
    state: DispatchState, tenant: str, at_ms: int
) -> JobAllowance | None:
    configured = state.routing_table.find_tenant(tenant) if tenant else None
    if configured is None:
        return None
    limit = max(MIN_BURST_JOBS, configured.weight * BURST_S)
    allowance = state.job_allowances.get(tenant)
    if allowance is None:
        return JobAllowance(limit, at_ms)
    elapsed_ms = max(0, at_ms - allowance.at_ms)
    jobs = allowance.jobs + configured.weight * elapsed_ms / 1_000
    return JobAllowance(min(limit, jobs), max(at_ms, allowance.at_ms))


def list_surplus_fields(entry: JobEntry) -> tuple[tuple[str, object], ...]:
    """Return the field of a log line that marks surplus, for tenants only."""
    return (('surplus', entry.surplus),) if entry.tenant else ()
