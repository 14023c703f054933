"""Caps: how much the tasks of a tenant may hold over all workers.

A tenant with more work than its cap runs it in parts, without delaying other
tenants; its waiting steps add little to the cost of a pass.

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
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.plans import estimate_run_end
from sassafrasgate.dispatch.prior_runs import compute_unseen_usage
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
NOTHING_MISSING: frozenset[str] = frozenset()
# A step that lacks room under the cap holds back later steps of its tenant if
# enough is expected to end within this time. Otherwise small tasks would take
# the room of wide ones indefinitely, or a gang would keep a tenant idle for
# long.
ROOM_HORIZON_MS = 8_000
# The same for a gang while its tenant uses less than half of the cap: callers
# expect the tenant's other steps to start soon.
HALF_CAP_HORIZON_MS = 2_000
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
    cap: Resources,
    used: Resources,
    demand: Resources,
    count: int = 1,
    may_exceed: bool = False,
) -> frozenset[str]:
    """Return the resources in which tasks that start together lack room.

    Parameters
    ----------
    used : Resources
        What counts against the cap before the start.
    count : int
        Number of tasks, which is 1 except for gangs.
    may_exceed : bool
        Whether the tasks together may exceed the cap by one task at most,
        while less than half of the cap is used. A task wider than the rest
        would otherwise wait for as long as any other of its tenant runs.
    """
    missing = set()
    # Each waiting step of a capped tenant comes here in each pass, so the
    # fields are read one by one.
    if cap.millicores and not _has_room(
        cap.millicores, used.millicores, demand.millicores, count, may_exceed
    ):
        missing.add('millicores')
    if cap.memory_mb and not _has_room(
        cap.memory_mb, used.memory_mb, demand.memory_mb, count, may_exceed
    ):
        missing.add('memory_mb')
    if cap.accelerators and not _has_room(
        cap.accelerators,
        used.accelerators,
        demand.accelerators,
        count,
        may_exceed,
    ):
        missing.add('accelerators')
    return frozenset(missing) if missing else NOTHING_MISSING


def _has_room(
    cap: int, used: int, demand: int, count: int, may_exceed: bool
) -> bool:
    if not demand or used + demand * count <= cap:
        return True
    if not may_exceed or 2 * used >= cap:
        return False
    return used + demand * (count - 1) <= cap


def compute_usage(
    state: DispatchState, caps: PassCaps, tenant: str
) -> Resources:
    """Return what counts against the cap of a tenant."""
    if caps.unseen is None:
        caps.unseen = compute_unseen_usage(state)
    usage = state.get_tenant_usage(tenant)
    unseen = caps.unseen.get(tenant)
    return usage if unseen is None else usage + unseen


def is_exhausted(caps: PassCaps, job: JobEntry, step: Step) -> bool:
    """Return whether earlier steps of the pass show that this one must wait.

    One of them holds it back, or a smaller task of its tenant lacked room.
    """
    names = caps.exhausted.get(job.tenant)
    if names is not None:
        return any(getattr(step.demand, name) for name in names)
    rejected = caps.rejected_millicores.get(job.tenant)
    if rejected is None or step.gang:
        return False
    return step.demand.millicores >= rejected


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
    if job.tenant in caps.promised:
        used = used + caps.promised[job.tenant]
    missing = list_missing(cap, used, step.demand, count, may_exceed=True)
    if not missing:
        missing = list_missing(cap, used, step.demand, count)
        if not missing or _are_runs_confirmed(state, caps, job.tenant):
            return True
    caps.reached.add(job.tenant)
    if not step.gang and 'millicores' in missing:
        caps.rejected_millicores[job.tenant] = step.demand.millicores
    left = used - _find_released(state, job.tenant, cap)
    if not list_missing(cap, left, step.demand, count, may_exceed=True):
        previous = caps.exhausted.get(job.tenant, frozenset())
        caps.exhausted[job.tenant] = previous | missing
    return False


def _are_runs_confirmed(
    state: DispatchState, caps: PassCaps, tenant: str
) -> bool:
    """Return whether all that counts against a cap has certainly started.

    Otherwise a smaller task, whose start call is overtaken, could start beside
    one that exceeds the cap.
    """
    if caps.unseen and tenant in caps.unseen:
        return False
    return all(
        state.runs[place].phase is RunPhase.PRESENT
        and not state.runs[place].uncertain
        for place in state.runs_by_tenant.get(tenant, ())
    )


def _find_released(
    state: DispatchState, tenant: str, cap: Resources
) -> Resources:
    """Return what the runs of a tenant are expected to release soon."""
    outlook = state.cap_outlooks.get(tenant)
    if outlook is None or state.now - outlook.at >= OUTLOOK_INTERVAL_MS:
        horizon_ms = ROOM_HORIZON_MS
        if _is_under_half(cap, state.get_tenant_usage(tenant)):
            horizon_ms = HALF_CAP_HORIZON_MS
        outlook = _compute_outlook(state, tenant, horizon_ms)
        state.cap_outlooks[tenant] = outlook
    return outlook.released


def _is_under_half(cap: Resources, used: Resources) -> bool:
    return all(
        2 * getattr(used, name) < getattr(cap, name)
        for name in CAPPED_RESOURCES
        if getattr(cap, name)
    )


def _compute_outlook(
    state: DispatchState, tenant: str, horizon_ms: int
) -> CapOutlook:
    until = state.now + horizon_ms
    released = NO_RESOURCES
    for place in state.runs_by_tenant.get(tenant, ()):
        run = state.runs[place]
        if run.stopping or estimate_run_end(state, run) <= until:
            released = released + run.charged
    return CapOutlook(state.now, released)


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
            tenant.cap,
            NO_RESOURCES,
            step.demand,
            step.tasks,
            may_exceed=True,
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
