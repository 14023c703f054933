"""Which tenant may submit, query and cancel which workflows.

Entry hosts identify the tenant by the key of a call; the owner decides what
the tenant may do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.protocol.workflows import SubmitWorkflow


def check_tenant(
    state: DispatchState, message: SubmitWorkflow
) -> Refusal | None:
    """Return a refusal if the owner cannot place a submission's tenant.

    The routing tables of the sender and of the owner may differ for a short
    time, so the refusal asks for another attempt.
    """
    table = state.routing_table
    if table.tenants is None:
        return None
    queue = table.find_queue_by_name(message.queue)
    if message.tenant and table.find_tenant(message.tenant) is not None:
        return None
    if not message.tenant and queue is not None and queue.public:
        return None
    return Refusal(
        RefusalKind.NOT_READY,
        f'tenant {message.tenant!r} of queue {message.queue!r} is not in '
        f'version {table.version!r} of the routing table',
        'send the request again once all entry hosts have the newest version',
    )


def check_access(
    state: DispatchState, entry: JobEntry, tenant: str
) -> Refusal | None:
    """Return a refusal if a tenant may not see or cancel a workflow.

    The workflows of a tenant are its own. Those of a public queue, and those
    without a tenant, are open to all callers.
    """
    if not entry.tenant or entry.tenant == tenant:
        return None
    if state.find_queue_of(entry).public:
        return None
    return Refusal(
        RefusalKind.FORBIDDEN,
        f'job {entry.job_id!r} belongs to another tenant than {tenant!r}',
        'use a key of the tenant that has submitted the job',
    )


def list_tenant_fields(tenant: str) -> tuple[tuple[str, object], ...]:
    """Return the fields of a log line that name a tenant, if there is one."""
    return (('tenant', tenant),) if tenant else ()
