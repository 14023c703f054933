"""Jobs of several steps, and what is known of their tasks and runs."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sassafrasgate.core.resources import NOTHING
from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Step:
    """Tasks of one kind within a workflow.

    Parameters
    ----------
    tasks : int
        How many tasks the step has.
    demand : Resources
        What each task needs of a worker.
    estimate_ms : int
        The caller's rough estimate of a task's duration.
    after : tuple of int
        Steps whose tasks must all have finished first.
    checkpointing : bool
        Whether a task can resume from a checkpoint.
    gang : bool
        Whether the tasks only work while all of them are present.
    same_rack : bool
        Whether a gang that is spread over racks is slower.
    label : str
        Label that the worker must have; empty for any.
    rack : str
        Rack that holds the data; other racks are slower. Empty for none.
    max_per_worker : int
        Most tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether several runs of a task may go on at once.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : int
        For long-running tasks: bound of their tail latency; 0 for none.
    fills : bool
        Whether the tasks use only what others leave of the processors.
    may_miss : int
        For long-running tasks: how many may be away at once because of a
        decision of this system; 0 for no such promise.
    """

    tasks: int
    demand: Resources = NOTHING
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
    """What a caller submits: steps, and how often they are to run.

    Parameters
    ----------
    payload : str
        Handed to the workers with each task.
    steps : tuple of Step
        Each names only earlier steps as its predecessors.
    occurrences : int
        How many times the steps run.
    start_at_ms : int
        When the first occurrence is due, in Unix ms; 0 for at once.
    interval_ms : int
        Time between the due times of two occurrences.
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
        Another member of its gang ended.
    INCOMPLETE_GANG
        The other members did not appear in time.
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
    """A run that a worker reports as present.

    Parameters
    ----------
    checkpoint : str
        The newest checkpoint, or empty.
    percent : int
        Share of the work that is done; for a long-running task 100 once it
        is at work.
    load : int
        For the last half second: tail latency in ms of a task that serves
        users, millicores in use of any other.
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
        Position in the worker's list of ends, from 1 in each incarnation.
    """

    number: int
    task: str
    run: int
    how: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a hold call.

    Parameters
    ----------
    clock_ms : int
        The worker's steady clock.
    born_ms : int
        Unix ms of the incarnation's start, which identifies it.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


@dataclass(frozen=True, slots=True)
class HoldRequest:
    """Renews a worker's lease, acknowledges ends and waits for news.

    Parameters
    ----------
    fence : int
        The worker does nothing for a call with a lower one than it has seen.
    acknowledged : int
        Ends up to this number are durable and may be forgotten.
    deadline_ms : int
        On the worker's clock; all runs there end then. 0 renews nothing.
    wait_ms : int
        How long the worker may hold the answer while nothing ends.
    """

    fence: int
    acknowledged: int = 0
    deadline_ms: int = 0
    wait_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunRequest:
    """Starts one run of a task.

    Parameters
    ----------
    deadline_ms : int
        On the worker's clock; renews the lease of all runs there, and the
        worker refuses the start from then on.
    fence : int
        As in `HoldRequest`.
    ticket : str
        Proof that the queue's policy admits the worker; empty without one.
    """

    task: str
    run: int
    payload: str
    deadline_ms: int
    fence: int
    checkpoint: str = ''
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class RunAnswer:
    """A worker's answer to a start.

    Parameters
    ----------
    clock_ms : int
        The worker's steady clock; 0 when the answer had none.
    refusal : StartRefusal or None
        None when the run is there.
    """

    clock_ms: int
    refusal: StartRefusal | None = None


@dataclass(frozen=True, slots=True)
class Advice:
    """Which workers may run a step.

    Parameters
    ----------
    tickets : tuple of (str, str)
        Worker and ticket, for those that may.
    valid_ms : int
        How long the tickets last from the answer on.
    """

    tickets: tuple[tuple[str, str], ...]
    valid_ms: int


def make_step_task_id(
    job_id: str, occurrence: int, step: int, index: int
) -> str:
    """Return the id of a workflow's task.

    Examples
    --------
    >>> make_step_task_id('5c0e7a21d94b36f8', 0, 1, 17)
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f'{job_id}.{occurrence}.{step}.{index}'


def split_step_task_id(task: str) -> tuple[str, int, int, int]:
    """Return job id, occurrence, step and index of a task id.

    Raises
    ------
    ValueError
        When the text is not such an id.
    """
    job_id, occurrence, step, index = task.rsplit('.', 3)
    return job_id, int(occurrence), int(step), int(index)
