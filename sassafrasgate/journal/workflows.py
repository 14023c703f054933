"""Journal records of workflows."""

from __future__ import annotations

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.tenants import NO_TENANT
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.journal.records import register_record


@register_record('workflow-accepted')
class WorkflowAccepted:
    """A workflow is accepted and will be finished.

    Parameters
    ----------
    queue : Queue
        Queue as configured at acceptance, in case it is removed later.
    accepted_at_ms : int
        Time of acceptance in Unix milliseconds.
    tenant : str
        Tenant to which the workflow belongs; empty for none and in records
        of earlier releases.
    cap : Resources
        Cap of the tenant at acceptance, in case the tenant is removed later.
    """

    job_id: str
    queue: Queue
    workflow: Workflow
    accepted_at_ms: int
    tenant: str = NO_TENANT
    cap: Resources = NO_RESOURCES


@register_record('workflow-cancelled')
class WorkflowCancelled:
    """A caller has cancelled a workflow."""

    job_id: str
    at_ms: int


@register_record('run-ended')
class RunEnded:
    """A worker has reported the end of a run.

    Parameters
    ----------
    number : int
        Sequence number in the list of ended runs of the worker's incarnation.
    born_ms : int
        Start of the worker's incarnation in Unix milliseconds, which
        identifies it.
    at_ms : int
        Time of the record in Unix milliseconds.
    epoch : int
        Epoch of the owner that has started the run if it has written this
        record; 0 if a previous owner has started the run. Earlier releases
        neither write nor read it.
    max_attempts : int
        Number of failures that end the job, by the routing table of the owner
        that has written this record; 0 if the table of the reader decides, as
        for records of earlier releases.
    """

    task: str
    run: int
    how: EndKind
    checkpoint: str
    worker: str
    born_ms: int
    number: int
    at_ms: int
    epoch: int = 0
    max_attempts: int = 0


@register_record('step-progress')
class StepProgress:
    """In snapshots: progress of a step of a workflow that has not ended.

    Parameters
    ----------
    finished : tuple of int
        Indexes of the tasks that have finished.
    failures : tuple of (int, int)
        Task index and number of failed runs; index -1 for a gang.
    next_runs : tuple of (int, int)
        Task index and lowest number for the next run, if above 1.
    checkpoints : tuple of (int, str)
        Task index and latest checkpoint; index -1 for a gang.
    ended : tuple of (int, tuple of int)
        Task index and the numbers of the runs whose end is recorded; for a
        gang, index -1 and its failed runs. Workers report an ended run again
        until it is acknowledged. Only earlier releases rely on it.
    ended_runs : tuple of (int, tuple of (int, str, int))
        Task index, and number, worker and start of the worker's incarnation
        of each run whose end is recorded.
    failed_gang_runs : tuple of (int, int)
        Number and epoch of each failed run of a gang.
    """

    job_id: str
    occurrence: int
    step: int
    finished: tuple[int, ...]
    failures: tuple[tuple[int, int], ...]
    next_runs: tuple[tuple[int, int], ...]
    checkpoints: tuple[tuple[int, str], ...]
    ended: tuple[tuple[int, tuple[int, ...]], ...] = ()
    ended_runs: tuple[tuple[int, tuple[tuple[int, str, int], ...]], ...] = ()
    failed_gang_runs: tuple[tuple[int, int], ...] = ()


@register_record('workflow-closed')
class WorkflowClosed:
    """In snapshots: a workflow that has ended, kept for callers' queries.

    Parameters
    ----------
    kept_ms : int
        For how long, in ms, owners have kept it since they learned of its
        end; 0 in records of earlier releases.
    tenant : str
        As in `WorkflowAccepted`.
    held : Resources
        What its runs may still hold on workers, if it has a tenant.
    """

    job_id: str
    queue: Queue
    state: WorkflowState
    ended_at_ms: int
    kept_ms: int = 0
    tenant: str = NO_TENANT
    held: Resources = NO_RESOURCES


@register_record('worker-seen')
class WorkerSeen:
    """Runs may be started on a worker from now on."""

    worker: str
    pool: str
    address: str


@register_record('worker-forgotten')
class WorkerForgotten:
    """A worker is gone; no run can still be active on it."""

    worker: str


@register_record('released')
class ShardReleased:
    """The owner hands over the shard and has stopped sending commands.

    Parameters
    ----------
    lapse_ms : int
        Time until its leases on workers have expired at the latest, in
        milliseconds.
    waits_ms : tuple of (str, int), or None
        Workers that have never replied to the owner, and the time, in ms,
        until the leases of owners before it have expired there. None in
        records of earlier releases.
    """

    lapse_ms: int
    waits_ms: tuple[tuple[str, int], ...] | None = None
