"""Journal records of workflows."""

from __future__ import annotations

from sassafrasgate.core.routing import Queue
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
        Terms in force at acceptance, for when the queue is removed.
    accepted_at_ms : int
        Wall clock of the owner.
    """

    job_id: str
    queue: Queue
    workflow: Workflow
    accepted_at_ms: int


@register_record('workflow-cancelled')
class WorkflowCancelled:
    """A caller has ended a workflow."""

    job_id: str
    at_ms: int


@register_record('run-ended')
class RunEnded:
    """A worker has listed the end of a run.

    Parameters
    ----------
    number : int
        Position in the list of ends of the worker's incarnation.
    born_ms : int
        The incarnation.
    at_ms : int
        Wall clock of the owner.
    """

    task: str
    run: int
    how: EndKind
    checkpoint: str
    worker: str
    born_ms: int
    number: int
    at_ms: int


@register_record('step-progress')
class StepProgress:
    """In snapshots: what is known of a step of an open workflow.

    Parameters
    ----------
    finished : tuple of int
        Indexes of the tasks that have finished.
    failures : tuple of (int, int)
        Index and number of failed runs; index -1 for a gang.
    next_runs : tuple of (int, int)
        Index and lowest number for the next run, where it is above 1.
    checkpoints : tuple of (int, str)
        Index and newest checkpoint; index -1 for a gang.
    ended : tuple of (int, tuple of int)
        Index and runs whose end is noted; index -1 and the failed runs for
        a gang. Workers list an end again until it is acknowledged.
    """

    job_id: str
    occurrence: int
    step: int
    finished: tuple[int, ...]
    failures: tuple[tuple[int, int], ...]
    next_runs: tuple[tuple[int, int], ...]
    checkpoints: tuple[tuple[int, str], ...]
    ended: tuple[tuple[int, tuple[int, ...]], ...] = ()


@register_record('workflow-closed')
class WorkflowClosed:
    """In snapshots: a workflow that has ended, kept for its callers."""

    job_id: str
    queue: Queue
    state: WorkflowState
    ended_at_ms: int


@register_record('worker-seen')
class WorkerSeen:
    """From now on runs may be started on a worker."""

    worker: str
    pool: str
    address: str


@register_record('worker-forgotten')
class WorkerForgotten:
    """A worker is gone and nothing can run on it any more."""

    worker: str


@register_record('released')
class ShardReleased:
    """The owner hands over on purpose and has stopped sending.

    Parameters
    ----------
    lapse_ms : int
        For how long from then on its leases on workers may last.
    """

    lapse_ms: int
