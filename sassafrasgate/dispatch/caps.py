"""Caps: how much the tasks of a tenant may hold over all workers.

The load that this answers: a tenant sends far more than it may run. Its steps
run in waves, those of other tenants go on, and its waiting steps cost a pass
next to nothing.

Runs count from the decision to start them until they are certainly gone, also
those that are being stopped or whose start got no reply. What previous owners
may have running unseen is added, see `sassafrasgate.dispatch.prior_runs`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.plans import estimate_run_end
from sassafrasgate.dispatch.prior_runs import bound_prior_usage
from sassafrasgate.dispatch.prior_runs import list_stray_usage
from sassafrasgate.dispatch.tenant_accounts import CapOutlook

if TYPE_CHECKING:
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.dispatch.tenant_accounts import PassCaps
    from sassafrasgate.protocol.workflows import SubmitWorkflow

# Resources that a cap limits.
CAPPED_RESOURCES = ('millicores', 'memory_mb', 'accelerators')
# A step that lacks room under the cap holds back later steps of its tenant if
# enough is expected to end within this time. Otherwise small tasks would take
# the room of wide ones for ever, or a gang would keep a tenant idle for long.
ROOM_HORIZON_MS = 8_000
# The expected ends of a tenant's runs are looked up again after this time.
OUTLOOK_INTERVAL_MS = 500


def find_cap(state: DispatchState, job: JobEntry) -> Resources:
    """Return the cap that holds for a job; 0 for no limit.

    The cap at the acceptance applies if the tenant no longer exists.
    """
    if not job.tenant:
        return NO_RESOURCES
    tenant = state.routing_table.find_tenant(job.tenant)
    return job.cap if tenant is None else tenant.cap


def list_missing(
    cap: Resources, used: Resources, demand: Resources, count: int = 1
) -> frozenset[str]:
    """Return the resources in which tasks that start together lack room.

    Together they may exceed the cap by less than one task while less than
    half of the cap is used. A task wider than the rest would otherwise wait
    for as long as any other task of its tenant runs.

    Parameters
    ----------
    used : Resources
        What counts against the cap before the start.
    count : int
        Number of tasks, which is 1 except for gangs.
    """
    return frozenset(
        name
        for name in CAPPED_RESOURCES
        if not _has_room(
            getattr(cap, name),
            getattr(used, name),
            getattr(demand, name),
            count,
        )
    )


def _has_room(cap: int, used: int, demand: int, count: int) -> bool:
    if not cap or not demand or used + demand * count <= cap:
        return True
    return 2 * used < cap and used + demand * (count - 1) <= cap


def compute_usage(
    state: DispatchState, caps: PassCaps, tenant: str
) -> Resources:
    """Return what counts against the cap of a tenant."""
    usage = state.get_tenant_usage(tenant)
    unseen = caps.unseen.get(tenant)
    if unseen is None:
        unseen = caps.unseen[tenant] = compute_unseen_usage(state, tenant)
    return usage if unseen is NO_RESOURCES else usage + unseen


def compute_unseen_usage(state: DispatchState, tenant: str) -> Resources:
    """Return what a tenant may have running without an entry, at most."""
    total = bound_prior_usage(state, tenant)
    for job, charged in list_stray_usage(state):
        if job.tenant == tenant:
            total = total + charged
    return total


def is_exhausted(caps: PassCaps, job: JobEntry, step: Step) -> bool:
    """Return whether an earlier step of the pass holds this one back."""
    names = caps.exhausted.get(job.tenant)
    return names is not None and _uses(step.demand, names)


def _uses(demand: Resources, names: frozenset[str]) -> bool:
    return any(getattr(demand, name) for name in names)


def allows_start(
    state: DispatchState, caps: PassCaps, job: JobEntry, step: Step
) -> bool:
    """Return whether the cap has room for a task, or for a whole gang.

    Each start of a run is decided after this check.
    """
    if not job.tenant:
        return True
    cap = find_cap(state, job)
    if cap == NO_RESOURCES:
        return True
    if is_exhausted(caps, job, step):
        return False
    count = step.tasks if step.gang else 1
    used = compute_usage(state, caps, job.tenant)
    used = used + caps.promised.get(job.tenant, NO_RESOURCES)
    missing = list_missing(cap, used, step.demand, count)
    if not missing:
        return True
    caps.reached.add(job.tenant)
    left = used - _find_released(state, job.tenant)
    if not list_missing(cap, left, step.demand, count):
        previous = caps.exhausted.get(job.tenant, frozenset())
        caps.exhausted[job.tenant] = previous | missing
    return False


def _find_released(state: DispatchState, tenant: str) -> Resources:
    """Return what is expected to end within `ROOM_HORIZON_MS`."""
    outlook = state.cap_outlooks.get(tenant)
    if outlook is None or state.now - outlook.at >= OUTLOOK_INTERVAL_MS:
        until = state.now + ROOM_HORIZON_MS
        released = NO_RESOURCES
        for place in state.runs_by_tenant.get(tenant, ()):
            run = state.runs[place]
            if run.stopping or estimate_run_end(state, run) <= until:
                released = released + run.charged
        outlook = CapOutlook(state.now, released)
        state.cap_outlooks[tenant] = outlook
    return outlook.released


def promise_room(
    state: DispatchState,
    caps: PassCaps,
    key: StepKey,
    step: Step,
    job: JobEntry,
) -> None:
    """Count the tasks of a step that waits for advice in this pass.

    Otherwise every waiting step would ask for advice about the same room.
    """
    if not job.tenant:
        return
    advice = state.advice.get(key)
    entry = state.steps.get(key)
    if advice is None or not advice.pending_workers or entry is None:
        return
    if find_cap(state, job) == NO_RESOURCES:
        return
    demand = step.demand.scale(len(entry.pending_tasks))
    promised = caps.promised.get(job.tenant, NO_RESOURCES)
    caps.promised[job.tenant] = promised + demand


def check_caps(
    state: DispatchState, message: SubmitWorkflow
) -> Refusal | None:
    """Return a refusal if a gang could never run under its tenant's cap."""
    tenant = state.routing_table.find_tenant(message.tenant)
    if tenant is None or not tenant.has_cap:
        return None
    for number, step in enumerate(message.workflow.steps):
        if not step.gang:
            continue
        missing = list_missing(
            tenant.cap, NO_RESOURCES, step.demand, step.tasks
        )
        if missing:
            return Refusal(
                RefusalKind.INVALID,
                f'step {number!r} starts {step.tasks!r} tasks at once, which '
                f'exceed the cap of tenant {message.tenant!r} in '
                f'{", ".join(sorted(missing))}',
                'send a job whose gangs fit the cap, or have the cap raised',
            )
    return None
