"""Jobs as callers submit them, their states and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from sassafrasgate.core.resources import Resources


class JobClass(StrEnum):
    """Classes of jobs; a policy is registered for each."""

    QUICK = 'quick'
    URGENT = 'urgent'
    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'


class JobState(StrEnum):
    """The states of a job that callers see."""

    ACCEPTED = 'accepted'
    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


FINAL_STATES = frozenset(
    {
        JobState.FINISHED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.NOT_RUN,
    }
)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its caller submits it.

    Parameters
    ----------
    team : str
        The team whose quota and fair share the job counts against.
    key : str
        The caller's idempotency key; unique within the team.
    job_class : JobClass
        Class that selects the policy.
    demand : Resources
        Resources that each task needs.
    tasks : int
        Number of tasks; more than one only for services and gangs.
    idempotent : bool
        Whether the job may run again after a failed or lost attempt.
    priority : int
        Priority within the team, from -100 to 100; higher goes first.
    deadline_s : float
        Seconds after submission by which the job must have started; 0 for
        none. For quick requests, the time until the complete reply.
    run_time_s : float
        The caller's estimate of the run time; used only to order jobs.
    failure_domains : tuple of str
        Where the job may run; empty for anywhere.
    payload : bytes
        Passed to the worker unchanged.
    """

    team: str
    key: str
    job_class: JobClass = JobClass.BATCH
    demand: Resources = Resources(1000, 512, 0, 1, 1)
    tasks: int = 1
    idempotent: bool = True
    priority: int = 0
    deadline_s: float = 0.0
    run_time_s: float = 0.0
    failure_domains: tuple[str, ...] = ()
    payload: bytes = b''


@dataclass(frozen=True, slots=True)
class Placement:
    """Assignment of one task of an attempt to a host.

    Parameters
    ----------
    task : str
        Task id.
    host : str
        Host that may run the task.
    demand : Resources
        Resources reserved for the task on the host.
    incarnation : str
        The worker's incarnation when the host was chosen. A start is valid
        for this incarnation only, so that the shard's next owner can
        distinguish a task that never started from one that was lost when
        the worker restarted.
    """

    task: str
    host: str
    demand: Resources
    incarnation: str = ''


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a job ended.

    Parameters
    ----------
    state : JobState
        A final state, or `JobState.UNKNOWN`.
    reason : str
        Why the job did not succeed; empty for success.
    output : bytes
        The output, if it is small enough for the journal.
    chunks : int
        Number of chunks in the store that hold a large output.
    size : int
        Length of the complete output in bytes.
    digest : str
        xxh128 digest of the complete output, in hexadecimal.
    """

    state: JobState
    reason: str = ''
    output: bytes = b''
    chunks: int = 0
    size: int = 0
    digest: str = ''
