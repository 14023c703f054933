"""Requests and replies of the workers' API.

Times named ``clock`` or ``..._clock`` are readings of the *worker's* clock
in milliseconds. It keeps counting while the machine is suspended, and
restarts with each incarnation of the worker.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sassafrasgate.core.resources import Resources


class TaskOutcome(StrEnum):
    """How a task ended on its worker."""

    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


class StartStatus(StrEnum):
    """Result of a request to start a task."""

    STARTED = 'started'
    ENDED = 'ended'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that is running on a worker."""

    task: str
    shard: str
    epoch: int
    resources: Resources
    lease_clock: int


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A task that has ended; the worker keeps it until it is released.

    Parameters
    ----------
    task : str
        Task id.
    outcome : TaskOutcome
        How it ended.
    reason : str
        The worker's description of a failure.
    size : int
        Length of the output in bytes.
    digest : str
        xxh3-128 digest of the output, in hexadecimal.
    output : bytes
        The output itself if it is at most 16 KiB.
    """

    task: str
    outcome: TaskOutcome
    reason: str = ''
    size: int = 0
    digest: str = ''
    output: bytes = b''


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Resource usage of a task, measured ``age_ms`` before the reply."""

    task: str
    millicores: int
    memory_mb: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Raises the fencing epoch, renews leases and polls for updates.

    Parameters
    ----------
    shard, epoch
        The worker refuses an epoch below the highest one seen for the shard.
    lease_clock : int
        New deadline, in ms on the worker's clock, of every task of the
        shard on this worker.
    release : tuple of str
        Ids of ended tasks whose outcome the shard has stored durably.
    wait_ms : int
        How long the worker may hold back the reply while it has no updates,
        in milliseconds.
    known : tuple of str
        Ids of ended tasks that the shard has already seen; they do not
        count as updates.
    incarnation : str
        The incarnation whose clock ``lease_clock`` was computed from. A
        worker of another incarnation renews no leases: a request delayed
        across a restart would set a deadline far in the future of the new
        clock. Empty skips the check.
    """

    shard: str
    epoch: int
    lease_clock: int
    release: tuple[str, ...] = ()
    wait_ms: int = 0
    known: tuple[str, ...] = ()
    incarnation: str = ''


@dataclass(frozen=True, slots=True)
class SyncReply:
    """State of the shard's tasks on the worker."""

    accepted: bool
    incarnation: str
    clock: int
    epoch: int = 0
    leaving: bool = False
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    usage: tuple[TaskUsage, ...] = ()


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Starts one task; repeats for the same task id get the first reply.

    Parameters
    ----------
    start_before_clock : int
        The worker refuses the start once its clock reaches this value, in
        ms.
    lease_clock : int
        The worker stops the task once its clock reaches this value, in ms.
    incarnation : str
        The worker refuses a start meant for another incarnation.
    wait_ms : int
        How long the worker may hold back the reply until the task ends, in
        milliseconds; 0 to reply at once.
    renewable : bool
        Whether a sync renews the lease. The lease of a quick request is not
        renewed, so that it limits how long the task can run.
    """

    task: str
    shard: str
    epoch: int
    incarnation: str
    start_before_clock: int
    lease_clock: int
    resources: Resources
    payload: bytes = b''
    wait_ms: int = 0
    renewable: bool = True


@dataclass(frozen=True, slots=True)
class StartReply:
    """The worker's reply to a start."""

    status: StartStatus
    incarnation: str
    clock: int
    reason: str = ''
    ended: EndedTask | None = None


@dataclass(frozen=True, slots=True)
class TaskCommand:
    """Stops, throttles or checkpoints one task.

    Parameters
    ----------
    shard, epoch
        The worker refuses an epoch below the highest one seen for the shard.
    millicores : int
        Processor limit that a throttle command sets; unused by other
        commands.
    """

    shard: str
    epoch: int
    millicores: int = 0


@dataclass(frozen=True, slots=True)
class CommandReply:
    """The worker's reply to a command for one task.

    Parameters
    ----------
    accepted : bool
        False for a stale epoch and for a task that is not running.
    incarnation, clock
        Incarnation of the worker and reading of its clock.
    reason : str
        Why the command was not accepted.
    """

    accepted: bool
    incarnation: str
    clock: int
    reason: str = ''
