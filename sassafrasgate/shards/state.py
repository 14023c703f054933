"""The state of one shard.

Entries are frozen data classes; the containers that hold them are changed
only by the task that owns the shard.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Team
from sassafrasgate.core.identifiers import split_task_id
from sassafrasgate.core.jobs import FINAL_STATES
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.core.jobs import Placement
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import EndedTask
from sassafrasgate.core.tasks import RunningTask
from sassafrasgate.core.tasks import TaskUsage
from sassafrasgate.placement.admission import StartRate
from sassafrasgate.placement.index import HostIndex
from sassafrasgate.placement.quarantine import HostHealth
from sassafrasgate.placement.queues import JobQueue
from sassafrasgate.placement.quotas import QuotaLedger
from sassafrasgate.placement.sizing import DemandEstimator
from sassafrasgate.placement.sizing import OveruseAction
from sassafrasgate.protocol.messages import Summary
from sassafrasgate.protocol.messages import TransferEnded
from sassafrasgate.shards.attempts import AttemptStatus
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.ownership import OwnerTerm

if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_FAILED_ATTEMPTS = 3
MAX_EXPLANATION_LINES = 12


class TaskPhase(StrEnum):
    """The progress of a task's start, as far as the owner knows it."""

    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'


@dataclass(frozen=True, slots=True)
class TaskEntry:
    """A task that may be running and that holds a reservation.

    Parameters
    ----------
    start_before_clock : int
        For an unanswered start, the reading, in ms, of the worker's clock from
        which the worker refuses it.
    started_clock : int
        Worker's clock, in ms, when it confirmed the start. A sync reply from
        before this reading cannot list the task, so its absence there shows
        nothing.
    stopping : bool
        Whether the owner has asked the worker to stop the task.
    team : str
        Team whose quota the reservation counts against; empty for tasks that
        a previous owner started without a journal record.
    """

    task: str
    job_id: str
    host: str
    demand: Resources
    incarnation: str
    phase: TaskPhase = TaskPhase.PLANNED
    start_before_clock: int = 0
    started_clock: int = 0
    stopping: bool = False
    team: str = ''


@dataclass(frozen=True, slots=True)
class UnsuccessfulTask:
    """A task that ended without success."""

    task: str
    host: str
    status: AttemptStatus
    reason: str


@dataclass(frozen=True, slots=True)
class FinishedTask:
    """A task that ended with success."""

    task: str
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class JobEntry:
    """One job of the shard.

    Parameters
    ----------
    attempt : int
        Highest attempt number used so far.
    failures : int
        Number of attempts that counted as failures.
    placements : tuple of Placement
        Tasks that may be running or have finished.
    finished_tasks, unsuccessful_tasks : tuple
        Tasks of the current placements that ended with and without success.
    failed_hosts : tuple of str
        Hosts on which attempts failed, oldest first.
    home : str
        Home shard of a job that was transferred here, or empty.
    home_attempt : int
        The home shard's attempt number of such a job.
    transferred_to : str
        Shard that runs the current attempt, or empty.
    durable : bool
        Whether the acceptance is in the journal.
    end_durable : bool
        Whether the end is in the journal. Only then may workers discard the
        job's tasks: a successor that finds neither the end in the journal
        nor the task on its worker concludes that the task never started.
    cancelling : bool
        Whether a caller has asked to cancel the job.
    may_have_run : bool
        Whether an earlier attempt started, or may have.
    """

    job_id: str
    spec: JobSpec
    state: JobState = JobState.ACCEPTED
    reason: str = ''
    attempt: int = 0
    failures: int = 0
    placements: tuple[Placement, ...] = ()
    finished_tasks: tuple[FinishedTask, ...] = ()
    unsuccessful_tasks: tuple[UnsuccessfulTask, ...] = ()
    outcome: Outcome | None = None
    accepted_at_ms: int = 0
    ended_at_ms: int = 0
    failed_hosts: tuple[str, ...] = ()
    home: str = ''
    home_attempt: int = 0
    transferred_to: str = ''
    durable: bool = False
    end_durable: bool = False
    cancelling: bool = False
    may_have_run: bool = False

    @property
    def has_ended(self) -> bool:
        """Whether the job has ended for good."""
        return self.state in FINAL_STATES

    @property
    def unplaced_tasks(self) -> int:
        """Number of tasks that still have to be placed."""
        return self.spec.tasks - len(self.placements)


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host of the shard.

    Parameters
    ----------
    epoch_acknowledged : bool
        Whether the worker has acknowledged this owner's epoch, after which
        it refuses commands of previous owners.
    reading : ClockReading or None
        The last clock reading under this epoch.
    silent_since : int
        Owner's clock, in ms, when the worker first failed to respond; 0 while
        it responds.
    leases_expire_at : int
        Owner's clock, in ms, from which all leases of previous owners on the
        host have expired; 0 once the worker has replied.
    leaving : bool
        Whether the worker reports that its host is about to leave.
    listed_leaving : bool
        Whether the platform's host list says so.
    leases_expired : bool
        Whether all leases on the host have expired.
    """

    name: str
    epoch_acknowledged: bool = False
    incarnation: str = ''
    reading: ClockReading | None = None
    silent_since: int = 0
    leases_expire_at: int = 0
    leaving: bool = False
    listed_leaving: bool = False
    leases_expired: bool = False


@dataclass(frozen=True, slots=True)
class PendingSubmit:
    """A job whose callers wait for its acceptance to become durable.

    Parameters
    ----------
    expires_at : int
        Owner's clock, in ms, from which the job's records are withdrawn.
    callers : tuple of JobWaiter
        Callers to reply to; those with time left then wait for the job's end.
    withdrawing : bool
        Whether the journal has been asked to withdraw the records.
    """

    expires_at: int
    callers: tuple[JobWaiter, ...]
    withdrawing: bool = False


@dataclass(frozen=True, slots=True)
class JobWaiter:
    """A caller that waits for a job's end.

    Parameters
    ----------
    reply_to : int
        Token of the caller's request.
    expires_at : int
        Owner's clock, in ms, from which the caller gets the current state.
    """

    reply_to: int
    expires_at: int


@dataclass(frozen=True, slots=True)
class QuickRequest:
    """A quick request, which runs without journal records.

    Parameters
    ----------
    reply_to : tuple of int
        Tokens of the requests that wait for the reply.
    expires_at : int
        Owner's clock, in ms, from which the callers get the reply "unknown".
    attempt, task, host
        Number, task id and host of the current attempt.
    tried_hosts : tuple of str
        Hosts of earlier attempts.
    ended : EndedTask or None
        The end of the task while its large output is fetched.
    """

    job_id: str
    spec: JobSpec
    reply_to: tuple[int, ...]
    expires_at: int
    attempt: int
    task: str
    host: str
    tried_hosts: tuple[str, ...] = ()
    ended: EndedTask | None = None


@dataclass(frozen=True, slots=True)
class TransferEntry:
    """An attempt that is transferred to another shard.

    Parameters
    ----------
    durable : bool
        Whether the transfer is in the journal; only then may it be sent.
    accepted : bool
        Whether the other shard has durably accepted the attempt.
    next_at : int
        Owner's clock, in ms, from which the message is sent again.
    """

    attempt: int
    shard: str
    durable: bool = False
    accepted: bool = False
    next_at: int = 0


@dataclass
class ShardState:
    """Everything that a shard's decisions depend on.

    Parameters
    ----------
    name : str
        Shard name.
    owner : str
        Process name and incarnation of the owner.
    terms : tuple of OwnerTerm
        Owners that may still act, in the order of their takeovers, and this
        owner as the last one.
    took_over_at : int
        Owner's clock, in ms, at the takeover.
    waiters : dict of str to tuple of JobWaiter
        Callers that wait for the end of each job.
    quick_requests : dict of str to QuickRequest
        Quick requests by job id.
    quick_sequence : int
        Sequence number in the task id of the latest quick request.
    last_pass_at : int
        Owner's clock, in ms, of the latest periodic scheduling pass.
    base_shares : dict of str to Resources
        Each team's equal share of its quota.
    lent_shares, borrowed_shares : dict of tuple to Resources
        Totals lent to and borrowed from other shards, by shard and team.
    borrow_turns : dict of str to tuple of int
        For each team, the number of requests for share so far and the owner's
        clock, in ms, from which the next one may be sent.
    share_callers : dict of tuple to list of int
        Tokens of requests for share that wait for the journal, by borrowing
        shard and team.
    preempt_again_at : dict of str to int
        Owner's clock, in ms, from which a job may preempt tasks again.
    output_copies : dict of str to EndedTask
        Ends of tasks whose large output is being copied to the store.
    pending_requeues : set of str
        Ended tasks whose requeue is not in the journal yet.
    tombstones : dict of tuple to None
        Permanently refused attempts as job id, home shard and attempt
        number, oldest first.
    summaries : dict of str to tuple
        The latest summary of each shard and the owner's clock, in ms, at its
        arrival.
    transfer_callers : dict of tuple to list of int
        Tokens of transfers and recalls that wait for the journal, by
        attempt.
    unacknowledged_ends : dict of str to tuple
        Reports of ends to home shards, and the owner's clock, in ms, from
        which each is sent again.
    ended_jobs : dict of str to None
        Ids of ended jobs in the order of their ends.
    overuse_actions : dict of str to tuple
        The latest action on each task that used more than its reservation,
        and the owner's clock of that action.
    needs_pass : bool
        Whether the queued jobs need a scheduling pass.
    now : int
        Owner's clock, in ms, at the latest event.
    wall_ms : int
        Wall clock at the latest timer event.
    """

    name: str
    owner: str
    epoch: int = 0
    grace_ms: int = 0
    ttl_ms: int = 0
    terms: tuple[OwnerTerm, ...] = ()
    took_over_at: int = 0
    configuration: Configuration = field(default_factory=Configuration)
    failure_domain: str = ''
    index: HostIndex = field(default_factory=HostIndex)
    queue: JobQueue = field(default_factory=JobQueue)
    quotas: QuotaLedger = field(default_factory=QuotaLedger)
    health: HostHealth = field(default_factory=HostHealth)
    jobs: dict[str, JobEntry] = field(default_factory=dict)
    tasks: dict[str, TaskEntry] = field(default_factory=dict)
    hosts: dict[str, HostEntry] = field(default_factory=dict)
    pending_submits: dict[str, PendingSubmit] = field(default_factory=dict)
    waiters: dict[str, tuple[JobWaiter, ...]] = field(default_factory=dict)
    quick_requests: dict[str, QuickRequest] = field(default_factory=dict)
    quick_sequence: int = 0
    last_pass_at: int = 0
    base_shares: dict[str, Resources] = field(default_factory=dict)
    lent_shares: dict[tuple[str, str], Resources] = field(default_factory=dict)
    borrowed_shares: dict[tuple[str, str], Resources] = field(
        default_factory=dict
    )
    borrow_turns: dict[str, tuple[int, int]] = field(default_factory=dict)
    share_callers: dict[tuple[str, str], list[int]] = field(
        default_factory=dict
    )
    preempt_again_at: dict[str, int] = field(default_factory=dict)
    output_copies: dict[str, EndedTask] = field(default_factory=dict)
    pending_requeues: set[str] = field(default_factory=set)
    explanations: dict[str, tuple[str, ...]] = field(default_factory=dict)
    usage: dict[str, TaskUsage] = field(default_factory=dict)
    tombstones: dict[tuple[str, str, int], None] = field(default_factory=dict)
    summaries: dict[str, tuple[Summary, int]] = field(default_factory=dict)
    summary_published_at: int = 0
    transfers: dict[str, TransferEntry] = field(default_factory=dict)
    transfer_callers: dict[tuple[str, str, int], list[int]] = field(
        default_factory=dict
    )
    unacknowledged_ends: dict[str, tuple[TransferEnded, int]] = field(
        default_factory=dict
    )
    ended_jobs: dict[str, None] = field(default_factory=dict)
    stopping: bool = False
    demand_estimator: DemandEstimator = field(default_factory=DemandEstimator)
    start_rate: StartRate = field(default_factory=StartRate)
    overuse_actions: dict[str, tuple[OveruseAction, int]] = field(
        default_factory=dict
    )
    peak_usage: dict[str, Resources] = field(default_factory=dict)
    needs_pass: bool = False
    now: int = 0
    wall_ms: int = 0

    def find_team(self, name: str) -> Team | None:
        """Return the team of the configuration with a name, or None."""
        for team in self.configuration.teams:
            if team.name == name:
                return team
        return None

    def update_job(self, job_id: str, **changes: Any) -> JobEntry:
        """Replace fields of a job and return the new entry."""
        entry = replace(self.jobs[job_id], **changes)
        self.jobs[job_id] = entry
        return entry

    def update_host(self, name: str, **changes: Any) -> HostEntry:
        """Replace fields of a host and return the new entry."""
        entry = replace(self.hosts[name], **changes)
        self.hosts[name] = entry
        return entry

    def add_task(self, entry: TaskEntry) -> None:
        """Add a task that may run from now on and reserve its resources."""
        if entry.task in self.tasks:
            return
        self.tasks[entry.task] = entry
        if entry.team:
            self.quotas.reserve(entry.team, entry.demand)
        if entry.host in self.index.hosts:
            self.index.reserve(
                entry.host, entry.task, entry.demand, force=True
            )

    def drop_task(self, task: str) -> TaskEntry | None:
        """Remove a task that has certainly ended and free its resources."""
        entry = self.tasks.pop(task, None)
        if entry is None:
            return None
        if entry.host in self.index.hosts:
            self.index.release(entry.host, task)
        if entry.team:
            self.quotas.release(entry.team, entry.demand)
        self.usage.pop(task, None)
        self.overuse_actions.pop(task, None)
        return entry

    def mark_job_running(self, job_id: str) -> None:
        """Set a job's state to running once all its tasks run."""
        entry = self.jobs.get(job_id)
        if entry is None or entry.state is not JobState.ACCEPTED:
            return
        if entry.unplaced_tasks > 0:
            return
        phases = {task.phase for task in self.list_job_tasks(job_id)}
        if phases <= {TaskPhase.RUNNING}:
            self.update_job(job_id, state=JobState.RUNNING)

    def may_release(self, task: str) -> bool:
        """Return whether a task may be released without a further record."""
        job_id, _, _ = split_task_id(task)
        entry = self.jobs.get(job_id)
        if entry is None:
            return job_id.partition('~')[0] not in self.quick_requests
        return entry.end_durable

    def must_stop(self, report: RunningTask) -> bool:
        """Return whether an unexpected task belongs to a job of this shard.

        The owner has ended its attempt, so it has to be stopped.
        """
        job_id, _, _ = split_task_id(report.task)
        entry = self.jobs.get(job_id)
        return entry is not None

    def list_stopping_tasks(self) -> Iterable[TaskEntry]:
        """Return the tasks that their workers have been asked to stop."""
        return [task for task in self.tasks.values() if task.stopping]

    def fits_elsewhere(self, spec: JobSpec) -> bool:
        """Return whether a task fits on a host of another shard.

        The summaries of the other shards decide, whatever their age.
        """
        return any(
            spec.demand.fits_in(summary.largest)
            for summary, _ in self.summaries.values()
        )

    def list_job_tasks(self, job_id: str) -> Iterable[TaskEntry]:
        """Return the tasks of a job that may be running."""
        entry = self.jobs.get(job_id)
        if entry is None:
            return ()
        found = (self.tasks.get(item.task) for item in entry.placements)
        return [task for task in found if task is not None]
