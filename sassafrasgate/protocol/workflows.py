"""Messages about workflows between entry hosts."""

from __future__ import annotations

from sassafrasgate.core.tenants import NO_TENANT
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.protocol.messages import register_message


@register_message('submit-workflow')
class SubmitWorkflow:
    """Asks the owner to accept a workflow; the reply is a `WorkflowView`.

    Parameters
    ----------
    version : int
        Version of the sender's routing table.
    tenant : str
        Tenant whose key the call carried; empty for none. Earlier releases
        neither write nor read it.
    """

    job_id: str
    queue: str
    version: int
    workflow: Workflow
    tenant: str = NO_TENANT


@register_message('query-workflow')
class QueryWorkflow:
    """Asks for a workflow's state.

    Parameters
    ----------
    tenant : str
        As in `SubmitWorkflow`.
    """

    job_id: str
    tenant: str = NO_TENANT


@register_message('cancel-workflow')
class CancelWorkflow:
    """Cancels a workflow; the reply follows once this is durable.

    Parameters
    ----------
    tenant : str
        As in `SubmitWorkflow`.
    """

    job_id: str
    tenant: str = NO_TENANT


@register_message('workflow-view')
class WorkflowView:
    """The state of a workflow as its owner knows it.

    Parameters
    ----------
    state : WorkflowState or None
        None when no such workflow was accepted, or when it ended long
        enough ago to be forgotten.
    epoch : int
        Epoch of the owner that replies.
    """

    job_id: str
    state: WorkflowState | None
    epoch: int = 0


@register_message('count-pending')
class CountPending:
    """Asks for the number of a queue's workflows that have not begun."""

    queue: str


@register_message('pending-count')
class PendingCount:
    """The number of a queue's workflows that have not begun."""

    queue: str
    count: int


@register_message('request-failed')
class RequestFailed:
    """Tells an entry host that a request has ended an ownership.

    The reply is an `Acknowledged`. The host does not pass the request on.

    Parameters
    ----------
    request_kind : str
        Kind of the request's message.
    subject : str
        The job's id, or the queue's name if the request is about no job.
    """

    request_kind: str
    subject: str


@register_message('seek-advice')
class SeekAdvice:
    """Asks an entry host to call the advice service about a step.

    Parameters
    ----------
    step : str
        Id of the step.
    workers : tuple of str
        Ids of the workers to ask about.
    """

    step: str
    workers: tuple[str, ...]
    timeout_ms: int


@register_message('advice-given')
class AdviceGiven:
    """Reply of the advice service.

    Parameters
    ----------
    tickets : tuple of (str, str)
        Worker and ticket, for each worker that may run the step.
    """

    step: str
    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


@register_message('pause-claims')
class PauseClaims:
    """Asks an entry host not to claim the shard for a time.

    An owner asks when the store doesn't renew its lease. The reply is an
    `Acknowledged`, or a refusal.

    Parameters
    ----------
    incarnation : str
        The owner's process.
    pause_ms : int
        Time in ms from the arrival of the request.
    """

    incarnation: str
    pause_ms: int


@register_message('find-owner')
class FindOwner:
    """Asks an entry host for the owner; the reply is an `OwnerFound`.

    Parameters
    ----------
    incarnation : str
        The process to which the host is asked to say whether it has a
        connection; empty for none. Earlier releases ignore it.
    """

    shard: str
    incarnation: str = ''


@register_message('owner-found')
class OwnerFound:
    """The owner of a shard, as an entry host has read it from the store.

    Parameters
    ----------
    member : bytes
        Value of the owner key in the store; empty when there is no owner.
    revision : int
        Revision of that key.
    connected : bool
        Whether the replying host has a connection to the process in the
        question, or is that process. Earlier releases do not say.
    """

    shard: str
    member: bytes
    revision: int
    connected: bool = False


@register_message('hand-over')
class HandOver:
    """Asks an entry host to take over the shard during a planned stop.

    The reply is an `Acknowledged`, sent once the takeover is in the journal.

    Parameters
    ----------
    records : bytes
        Encoded journal records that restore the owner's state; all of them
        are durable.
    next_sequence : int
        Number of the next journal entry to write.
    slot_revision : int
        Revision of the slot of ``next_sequence``; 0 when the slot is empty.
    snapshot_sequence : int
        Number of the last entry that the snapshot covers; 0 when there is no
        snapshot.
    snapshot_chunks, snapshot_revision : int
        Number of chunks of the snapshot, and revision of its pointer key.
    owner_revision : int
        Revision of the owner key, which the successor replaces.
    """

    shard: str
    records: bytes
    next_sequence: int
    slot_revision: int
    snapshot_sequence: int
    snapshot_chunks: int
    snapshot_revision: int
    owner_revision: int = 0
