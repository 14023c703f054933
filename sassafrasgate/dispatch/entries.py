"""Entries of the dispatcher's state; all are immutable."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.tenants import NO_TENANT
from sassafrasgate.core.workers import Registration
from sassafrasgate.core.workflows import FINAL_WORKFLOW_STATES
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.identities import EndNumber
from sassafrasgate.dispatch.identities import GangRun
from sassafrasgate.dispatch.identities import RunIdentity
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import RunPlace
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.index_sets import IndexSet
from sassafrasgate.dispatch.speeds import NO_READING
from sassafrasgate.dispatch.speeds import SpeedReading
from sassafrasgate.shards.attempts import ClockReading


class RunPhase(StrEnum):
    """How far the start of a run is confirmed.

    Attributes
    ----------
    SENT
        The start call was sent and has got no reply yet.
    PRESENT
        The worker has confirmed the run in a reply or a report.
    UNSURE
        It is open whether the worker will start the run: a start call got
        no reply, and the worker may still carry it out. Only the reply to
        a stop call makes sure that the run cannot start any more.
    """

    SENT = 'sent'
    PRESENT = 'present'
    UNSURE = 'unsure'


@dataclass(frozen=True, slots=True)
class RunEntry:
    """A run that may be present on a worker.

    Its demand is reserved on the worker until the run is certainly gone.

    Parameters
    ----------
    index : int
        Index of the task within its step.
    incarnation_ms : int
        Incarnation of the worker on which the run was started.
    started_at : int
        Owner's clock, in ms, when the start was decided.
    expected_ms : int
        Expected duration of the run.
    uncertain : bool
        Whether a start call for the run got no reply.
    confirmed_clock_ms : int
        Worker's clock, in ms, when it confirmed the run. The run is gone if
        a later report does not list it.
    listed : bool
        Whether a report of the worker's current incarnation has listed the
        run.
    stopping : bool
        Whether the owner has decided to stop the run.
    stop_confirmed_clock_ms : int
        Worker's clock, in ms, when it replied to a stop call; 0 before that.
    percent, percent_at : int
        Last reported progress in percent, and the owner's clock, in ms, when
        the report arrived.
    checkpoint : str
        Newest checkpoint that the worker has reported; empty for none.
    speed : SpeedReading
        What the reports say about the run's speed.
    target_ms : int
        Target for the tail latency of a latency-critical task; 0 for other
        tasks.
    fills : bool
        Whether the task is best-effort: it uses only processor time that
        other tasks leave.
    load, load_at : int
        Last reported load, see `RunningRun`, and the owner's clock, in ms,
        when the report arrived.
    pace, paced_at : int
        Percent of full speed at which a best-effort task should work, and
        the owner's clock, in ms, when that was decided.
    confirmed_pace : int
        Pace, in percent, that the worker has confirmed.
    pace_sent_at : int
        Owner's clock, in ms, when the unanswered pace call was sent; 0 if no
        call is unanswered.
    epoch : int
        Epoch of this owner if it has started the run; 0 if a previous one
        has.
    tenant : str
        Tenant of the run's job; empty for none.
    pool : str
        Pool of the job's queue.
    charged : Resources
        What counts against the tenant's cap: the step's whole demand, also
        where ``demand``, the reservation, leaves a part out.
    """

    key: RunKey
    step: StepKey
    index: int
    worker: str
    incarnation_ms: int
    demand: Resources
    phase: RunPhase = RunPhase.SENT
    started_at: int = 0
    expected_ms: int = 0
    uncertain: bool = False
    confirmed_clock_ms: int = 0
    listed: bool = False
    stopping: bool = False
    stop_confirmed_clock_ms: int = 0
    percent: int = 0
    percent_at: int = 0
    checkpoint: str = ''
    speed: SpeedReading = NO_READING
    target_ms: int = 0
    fills: bool = False
    load: int = 0
    load_at: int = 0
    pace: int = 100
    paced_at: int = 0
    confirmed_pace: int = 100
    pace_sent_at: int = 0
    epoch: int = 0
    tenant: str = NO_TENANT
    pool: str = ''
    charged: Resources = NO_RESOURCES

    @property
    def place(self) -> RunPlace:
        """Key of the run in the state."""
        return RunPlace(self.worker, self.key)


@dataclass(frozen=True, slots=True)
class MoveHistory:
    """Moves of a task or gang away from workers where it was slow.

    Parameters
    ----------
    count : int
        Number of moves.
    ran_ms : int
        How long the task's run had lasted when it was last moved, in ms.
    shown_ms : int
        Duration of a whole run at the speed that the last moved run has
        shown, in ms; 0 if it has shown none.
    workers : frozenset of str
        Workers from which it was moved.
    """

    count: int = 0
    ran_ms: int = 0
    shown_ms: int = 0
    workers: frozenset[str] = frozenset()


NO_MOVES = MoveHistory()


@dataclass(frozen=True, slots=True)
class TaskEntry:
    """Progress of one task, without its current runs.

    Parameters
    ----------
    finished : bool
        Whether the task has finished successfully.
    failures : int
        Number of runs that have failed.
    next_run : int
        Lowest number that the next run may have.
    checkpoint : str
        Newest checkpoint of the task; empty for none.
    ended_runs : tuple of RunIdentity
        Runs whose end has been applied.
    failed_on : tuple of str
        Workers on which runs have failed.
    moves : MoveHistory
        Moves of the task's runs; a gang is moved as a whole.
    """

    finished: bool = False
    failures: int = 0
    next_run: int = 1
    checkpoint: str = ''
    ended_runs: tuple[RunIdentity, ...] = ()
    failed_on: tuple[str, ...] = ()
    moves: MoveHistory = NO_MOVES


NEW_TASK = TaskEntry()


@dataclass(frozen=True, slots=True)
class StepEntry:
    """Progress of one step of one occurrence of a job.

    Parameters
    ----------
    pending_tasks : IndexSet
        Indexes of the tasks that need a run and have none.
    open_tasks : int
        Number of tasks that have not finished.
    ready : bool
        Whether the step may run: its predecessors have finished and its
        start time has passed.
    closed : bool
        Whether the step has finished and its successors were made ready.
    gang_failures : int
        Number of runs of the gang that have failed.
    failed_gang_runs : tuple of GangRun
        Runs of the gang that have failed.
    checkpoint : str
        Newest checkpoint of a gang, which is valid for all members.
    ready_at : int
        Owner's clock, in ms, when the step became ready.
    moves : MoveHistory
        Moves of the gang.
    """

    key: StepKey
    pending_tasks: IndexSet
    open_tasks: int
    ready: bool = False
    closed: bool = False
    gang_failures: int = 0
    failed_gang_runs: tuple[GangRun, ...] = ()
    checkpoint: str = ''
    ready_at: int = 0
    moves: MoveHistory = NO_MOVES


@dataclass(frozen=True, slots=True)
class GangLook:
    """Result of the latest look at a gang that could not start.

    Parameters
    ----------
    advice : StepAdvice
        Advice about the step at that time.
    had_room : bool
        Whether the gang fitted into what was free on its admitted workers,
        regardless of reservations and tickets.
    next_at : int
        Owner's clock, in ms, of the next look if nothing changes.
    start_at : int
        Owner's clock, in ms, when the gang is expected to start.
    chosen : dict
        Number of tasks by worker for which capacity is reserved; empty for
        no reservation.
    """

    advice: StepAdvice
    had_room: bool
    next_at: int
    start_at: int
    chosen: dict[str, int]


@dataclass(frozen=True, slots=True)
class JobEntry:
    """An accepted workflow.

    Parameters
    ----------
    queue : Queue
        Settings of the job's queue when the job was accepted.
    tenant : str
        Tenant to which the job belongs; empty for none.
    cap : Resources
        Cap of the tenant when the job was accepted.
    held : Resources
        What runs of the job may hold if it had ended before the snapshot
        that the owner has read.
    surplus : bool
        Whether the tenant had submitted more jobs than it is entitled to when
        the job was accepted.
    state : WorkflowState
        State that has been decided; callers see ``durable_state`` instead.
    durable_state : WorkflowState
        Latest state whose record is durable.
    durable : bool
        Whether the journal contains the record of the acceptance.
    from_previous_owner : bool
        Whether a previous owner may have started tasks of the job.
    due_at : int
        Owner's clock, in ms, by which the job should complete.
    value_ends_at : int
        Owner's clock, in ms, after which completing the job earns nothing.
    critical_paths_ms : tuple of int
        For each step, the critical path from its start to the end of the
        job: the longest chain of estimated work, in ms.
    occurrences : int
        Number of occurrences that have been opened.
    due_occurrences : int
        Number of occurrences whose start time has passed.
    open_steps : int
        Number of steps of opened occurrences that have not finished.
    runs_stopped : bool
        Whether all runs have been stopped after the end of the job.
    ended_by : EndNumber or None
        End of a run that ended the job.
    ended_at_ms : int
        Wall clock of the owner that ended the job.
    ended_known_at : int
        Owner's clock, in ms, when this owner learned that the job had ended,
        less the time for which earlier owners had kept it.
    """

    job_id: str
    queue: Queue
    workflow: Workflow
    accepted_at_ms: int
    tenant: str = NO_TENANT
    cap: Resources = NO_RESOURCES
    held: Resources = NO_RESOURCES
    surplus: bool = False
    state: WorkflowState = WorkflowState.QUEUED
    durable_state: WorkflowState = WorkflowState.QUEUED
    durable: bool = False
    from_previous_owner: bool = False
    due_at: int = 0
    value_ends_at: int = 0
    critical_paths_ms: tuple[int, ...] = ()
    occurrences: int = 0
    due_occurrences: int = 0
    open_steps: int = 0
    runs_stopped: bool = False
    ended_by: EndNumber | None = None
    ended_at_ms: int = 0
    ended_known_at: int = 0

    @property
    def has_ended(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state in FINAL_WORKFLOW_STATES


@dataclass(frozen=True, slots=True)
class JobAllowance:
    """Jobs that a tenant may submit at once within its entitlement.

    Parameters
    ----------
    jobs : float
        Number of jobs; it grows by the tenant's weight each second.
    at_ms : int
        Unix time, in ms, at which ``jobs`` was computed.
    """

    jobs: float
    at_ms: int


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """State of a worker, as far as the owner has learned it.

    Parameters
    ----------
    registration : Registration
        Newest entry of the worker in the store.
    registered : bool
        Whether the store still has an entry for the worker.
    recorded : bool
        Whether a durable record names the worker, so that a successor
        contacts it.
    epoch_acknowledged : bool
        Whether the worker has replied to a call with this owner's epoch.
    incarnation_ms : int
        Incarnation of the worker in its newest report; 0 before the first
        report.
    past_incarnations : frozenset of int
        Incarnations that a report has shown to have ended.
    reading : ClockReading or None
        The worker's clock in its newest report.
    last_end_number : int
        Highest number in the worker's list of ended runs that has been
        handled.
    silent_since : int
        Owner's clock, in ms, of the first unanswered call since the worker
        last replied; 0 while the worker replies.
    leases_expire_at : int
        Owner's clock, in ms, from which every lease granted to the worker
        has expired.
    leases_expired : bool
        Whether the worker's runs were recorded as lost because its leases
        had expired.
    acknowledged_end : int
        Highest number in that list whose record is durable.
    unknown_runs : frozenset of RunKey
        Runs on the worker whose task is unknown to the owner. They are
        being stopped, and their demand is unknown until then.
    stop_retry_at : int
        Owner's clock, in ms, from which a stop call may be repeated.
    avoid_until : int
        Owner's clock, in ms, until which the worker gets no new runs.
    """

    registration: Registration
    registered: bool = True
    recorded: bool = False
    epoch_acknowledged: bool = False
    incarnation_ms: int = 0
    past_incarnations: frozenset[int] = frozenset()
    reading: ClockReading | None = None
    last_end_number: int = 0
    silent_since: int = 0
    leases_expire_at: int = 0
    leases_expired: bool = False
    acknowledged_end: int = 0
    unknown_runs: frozenset[RunKey] = frozenset()
    stop_retry_at: int = 0
    avoid_until: int = 0

    @property
    def is_described(self) -> bool:
        """Whether the entry in the store describes the current incarnation.

        A restarted worker may have other labels and another capacity. An
        entry or a report without an incarnation is taken to describe it.
        """
        described = self.registration.incarnation_ms
        reported = self.incarnation_ms
        return not described or not reported or described == reported

    @property
    def takes_starts(self) -> bool:
        """Whether runs may start on the worker, as its entry says."""
        return self.registered and not self.registration.leaving


@dataclass(frozen=True, slots=True)
class PendingStop:
    """A run that has to be stopped and may still be present.

    Parameters
    ----------
    sent_at : int
        Owner's clock, in ms, when the last stop call was sent.
    calls : int
        Number of stop calls that were sent.
    """

    sent_at: int = 0
    calls: int = 0


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Evidence that a worker may be slow.

    Parameters
    ----------
    jobs : frozenset of str
        Jobs whose runs were too slow there.
    since : int
        Owner's clock, in ms, when a run was last too slow.
    """

    jobs: frozenset[str]
    since: int


@dataclass(frozen=True, slots=True)
class SlowPeriod:
    """Period in which a slow worker gets no new runs.

    Parameters
    ----------
    speed_share : float
        Speed of the worker as a fraction of the usual speed; 0 if its runs
        make no progress.
    ends_at : int
        Owner's clock, in ms, when the period ends.
    duration_ms : int
        Length of the period.
    """

    speed_share: float
    ends_at: int
    duration_ms: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to run a step on one incarnation of a worker.

    Parameters
    ----------
    ticket : str
        Token from the advice service, which the start call presents.
    expires_at : int
        Owner's clock, in ms, when the ticket expires.
    incarnation_ms : int
        Incarnation of the worker that the ticket is valid for.
    """

    ticket: str
    expires_at: int
    incarnation_ms: int


@dataclass(frozen=True, slots=True)
class StepAdvice:
    """Replies of the advice service about a step.

    Parameters
    ----------
    tickets : dict
        Newest ticket by worker. Tickets that have expired, were refused or
        are for another incarnation are kept because their workers remain
        admissible; the service is asked for new ones.
    asked_incarnations : dict
        Workers that the service has been asked about, each with its
        incarnation when the call was made. A worker without a ticket may
        have been away; its next incarnation may be admissible.
    pending_workers : frozenset of str
        Workers named in the pending call; empty if no call is pending.
    requested_at : int
        Owner's clock, in ms, when the newest call was made.
    failures : int
        Number of calls that have failed since the last successful one.
    """

    tickets: dict[str, Ticket] = field(default_factory=dict)
    asked_incarnations: dict[str, int] = field(default_factory=dict)
    pending_workers: frozenset[str] = frozenset()
    requested_at: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class AdviceChannel:
    """Calls of one entry host to the advice service.

    The service handles the calls of one host one at a time.

    Parameters
    ----------
    entry_host : str
        Name of the host.
    busy_until : int
        Owner's clock, in ms, when all calls made so far are expected to
        have got a reply.
    """

    entry_host: str
    busy_until: int = 0
