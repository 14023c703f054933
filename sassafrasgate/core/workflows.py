"""Workflows, the calls of their workers, and the ids of their tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Step:
    """Step of a workflow: a group of tasks with the same requirements.

    Parameters
    ----------
    tasks : int
        Number of tasks in the step.
    demand : Resources
        Resources that each task needs on a worker.
    estimate_ms : int
        The caller's rough estimate of a task's duration, in milliseconds.
    after : tuple of int
        Indexes of the steps whose tasks must all have finished first.
    checkpointing : bool
        Whether a task can resume from a checkpoint.
    gang : bool
        Whether the tasks make progress only while all of them are running.
    same_rack : bool
        Whether a gang runs more slowly when spread over several racks.
    label : str
        Label that the worker must have; empty for any.
    rack : str
        Rack that holds the data; tasks run more slowly in other racks. Empty
        for no preference.
    max_per_worker : int
        Maximum number of the step's tasks on one worker; 0 for no limit.
    speculative : bool
        Whether several runs of a task may execute at the same time.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of the same image behave alike.
    target_ms : int
        For long-running tasks: upper bound for their tail latency, in
        milliseconds; 0 for none.
    fills : bool
        Whether the tasks use only processor time that other tasks leave
        idle.
    may_miss : int
        For long-running tasks: how many may be absent at the same time
        because of decisions of the scheduler; 0 for no guarantee.
    """

    tasks: int
    demand: Resources = NO_RESOURCES
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


@dataclass(frozen=True, slots=True)
class Workflow:
    """A workflow as its caller submits it: steps and a schedule.

    Parameters
    ----------
    payload : str
        Passed to the workers with each task.
    steps : tuple of Step
        Steps in an order in which each names only earlier ones in ``after``.
    occurrences : int
        Number of times that the steps run.
    start_at_ms : int
        When the first occurrence is due, in Unix milliseconds; 0 for
        immediately.
    interval_ms : int
        Time between the due times of two occurrences, in milliseconds.
    """

    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 1
    start_at_ms: int = 0
    interval_ms: int = 0


class WorkflowState(StrEnum):
    """The states of a workflow that callers see."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_WORKFLOW_STATES = frozenset(
    {
        WorkflowState.COMPLETED,
        WorkflowState.FAILED,
        WorkflowState.CANCELLED,
    }
)


class EndKind(StrEnum):
    """How a run of a task ended on its worker.

    Attributes
    ----------
    PEER_ENDED
        Another member of the gang ended.
    INCOMPLETE_GANG
        The other members of the gang did not start in time.
    """

    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    PEER_ENDED = 'peer-ended'
    INCOMPLETE_GANG = 'incomplete-gang'


class StartRefusal(StrEnum):
    """Why a worker did not start a run."""

    STALE_EPOCH = 'stale-epoch'
    OLD_RUN = 'old-run'
    DEADLINE_PASSED = 'deadline-passed'
    NO_ROOM = 'no-room'
    NO_TICKET = 'no-ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_INCARNATION = 'other-incarnation'
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that a worker reports as running.

    Parameters
    ----------
    checkpoint : str
        Id of the latest checkpoint; empty for none.
    percent : int
        Share of the work that is done; for a long-running task, 100 as soon
        as it has started working.
    load : int
        Over the last half second: the tail latency in milliseconds of a task
        that serves users, or the millicores that any other task used.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int = 0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """A run that a worker reports as ended.

    Parameters
    ----------
    number : int
        Sequence number in the worker's list of ended runs, which starts from
        1 in each incarnation.
    """

    number: int
    task: str
    run: int
    how: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's reply to a hold call.

    Parameters
    ----------
    clock_ms : int
        Reading of the worker's monotonic clock, in milliseconds.
    incarnation_ms : int
        Start of the worker's incarnation in Unix milliseconds, which
        identifies it.
    lists_all_ends : bool
        Whether ``ended`` has all runs that have ended and are not
        acknowledged; otherwise later reports list the others.
    """

    clock_ms: int
    incarnation_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    lists_all_ends: bool = True


@dataclass(frozen=True, slots=True)
class HoldRequest:
    """Renews a worker's lease, acknowledges ended runs and polls for updates.

    Parameters
    ----------
    fencing_token : int
        Fencing token. The worker refuses a call with a token lower than the
        highest one that it has seen.
    acknowledged : int
        Ended runs up to this number are stored durably; the worker may
        discard them.
    deadline_ms : int
        Reading of the worker's clock, in ms, at which all its runs end,
        unless the lease is renewed. 0 renews nothing.
    wait_ms : int
        How long the worker may hold back the reply while no run ends, in
        milliseconds.
    incarnation_ms : int
        Incarnation whose clock and list of ends the request refers to; 0 if
        it refers to none.
    """

    fencing_token: int
    acknowledged: int = 0
    deadline_ms: int = 0
    wait_ms: int = 0
    incarnation_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunRequest:
    """Starts one run of a task.

    Parameters
    ----------
    deadline_ms : int
        Reading of the worker's clock, in ms, to which the lease of all its
        runs is renewed, and from which on the worker refuses this start.
    fencing_token : int
        Fencing token. The worker refuses a call with a token lower than the
        highest one that it has seen.
    ticket : str
        Ticket from the advice service that admits the worker; empty when
        the queue needs none.
    incarnation_ms : int
        Incarnation whose clock the deadline refers to; 0 if the worker names
        none.
    """

    task: str
    run: int
    payload: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ''
    ticket: str = ''
    incarnation_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunReply:
    """A worker's reply to a start.

    Parameters
    ----------
    clock_ms : int
        Reading of the worker's monotonic clock, in milliseconds; 0 when the
        reply had none.
    refusal : StartRefusal or None
        None when the worker has the run.
    """

    clock_ms: int
    refusal: StartRefusal | None = None


@dataclass(frozen=True, slots=True)
class Advice:
    """The advice service's choice of workers that may run a step.

    Parameters
    ----------
    tickets : tuple of (str, str)
        Worker and ticket, for each worker that may run the step.
    valid_ms : int
        How long the tickets are valid after the reply, in milliseconds.
    """

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


def make_step_task_id(
    job_id: str, occurrence: int, step: int, index: int
) -> str:
    """Return the id of a task of a workflow.

    Examples
    --------
    >>> make_step_task_id('5c0e7a21d94b36f8', 0, 1, 17)
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f'{job_id}.{occurrence}.{step}.{index}'


def split_step_task_id(task: str) -> tuple[str, int, int, int]:
    """Return the job id, occurrence, step and index encoded in a task id.

    Raises
    ------
    ValueError
        When the text is not the id of a workflow's task.
    """
    job_id, occurrence, step, index = task.rsplit('.', 3)
    return job_id, int(occurrence), int(step), int(index)
