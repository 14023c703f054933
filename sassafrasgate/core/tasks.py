"""Requests and answers of the workers' API, as data.

Times named ``clock`` or ``..._clock`` are readings of the *worker's* clock
in milliseconds, which counts suspended time and starts anew with each
incarnation.
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
    """The answer to a start."""

    STARTED = 'started'
    ENDED = 'ended'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that runs on a worker."""

    task: str
    shard: str
    epoch: int
    resources: Resources
    lease_clock: int


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A task that has ended and is kept until it is released.

    Parameters
    ----------
    task : str
        Task id.
    outcome : TaskOutcome
        How it ended.
    reason : str
        The worker's message for a failure.
    size : int
        Length of the output in bytes.
    digest : str
        xxh3-128 of the output, in hexadecimal.
    output : bytes
        The output itself when it has at most 16 KiB.
    """

    task: str
    outcome: TaskOutcome
    reason: str = ''
    size: int = 0
    digest: str = ''
    output: bytes = b''


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """What a task used, ``age_ms`` before the answer."""

    task: str
    millicores: int
    memory_mb: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Raises the fence, renews leases and asks for news in one call.

    Parameters
    ----------
    shard, epoch
        The worker refuses an epoch below the highest one seen for the shard.
    lease_clock : int
        New deadline of every task of the shard on this worker.
    release : tuple of str
        Ended tasks whose end the shard has noted durably.
    wait_ms : int
        How long the worker may hold the answer when it has no news.
    known : tuple of str
        Ended tasks that the shard has already seen, which are no news.
    incarnation : str
        The incarnation whose clock ``lease_clock`` was computed from. The
        worker does not renew leases for another one: a delayed request
        from before a restart would name a deadline far in the new clock's
        future. Empty skips the check.
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
    """What the worker knows of the shard's tasks."""

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
    """Starts one task; repeats of a task id give the first answer.

    Parameters
    ----------
    start_before_clock : int
        The worker refuses the start once its clock has reached this.
    lease_clock : int
        The worker stops the task once its clock has reached this.
    incarnation : str
        The worker refuses a start meant for another incarnation.
    wait_ms : int
        How long to hold the answer for the task's end; 0 to answer at once.
    renewable : bool
        Whether a sync extends the lease. A quick request is not renewed, so
        that its first lease bounds how long it can run.
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
    """The worker's answer to a start."""

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
        The limit that a throttle sets; unused by other commands.
    """

    shard: str
    epoch: int
    millicores: int = 0


@dataclass(frozen=True, slots=True)
class CommandReply:
    """The worker's answer to a command about one task.

    Parameters
    ----------
    accepted : bool
        False for a stale epoch and for a task that does not run.
    incarnation, clock
        As in the other answers.
    reason : str
        Why the command was not accepted.
    """

    accepted: bool
    incarnation: str
    clock: int
    reason: str = ''
