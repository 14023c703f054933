"""The state of the dispatcher.

The entries are immutable. The containers that hold them are changed by the
dispatcher's task only.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.workers import Registration
from sassafrasgate.core.workflows import FINAL_WORKFLOW_STATES
from sassafrasgate.core.workflows import make_step_task_id
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.health import WorkerHealth
from sassafrasgate.shards.attempts import ClockReading

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.core.workflows import Step


class StepKey(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class RunKey(NamedTuple):
    """Names a run of a task on one worker.

    Each owner numbers the runs of a task from the lowest number that it does
    not know to be used, so two owners may give one number on two workers.
    """

    task: str
    run: int


class RunPlace(NamedTuple):
    """Identifies a run that may be present on a worker."""

    worker: str
    key: RunKey


class RunIdentity(NamedTuple):
    """Identifies a run that has ended among all runs of its task.

    Parameters
    ----------
    run : int
        Number of the run.
    worker : str
        Worker that has reported the end; empty if only the number is known,
        from a snapshot of an earlier release.
    born_ms : int
        Start of the worker's incarnation, in Unix ms.
    """

    run: int
    worker: str = ''
    born_ms: int = 0


class GangRun(NamedTuple):
    """Identifies a run of a gang.

    Parameters
    ----------
    run : int
        Number of the run, which all members have.
    epoch : int
        Epoch of the owner that started it, if that owner has recorded an
        end; otherwise 0.
    """

    run: int
    epoch: int = 0


class EndNumber(NamedTuple):
    """Identifies an end in the list of a worker's incarnation."""

    worker: str
    born_ms: int
    number: int


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
    stop_sent_at : int
        Owner's clock, in ms, when the last stop call was sent.
    stop_confirmed_clock_ms : int
        Worker's clock, in ms, when it replied to a stop call; 0 before that.
    percent, percent_at : int
        Last reported progress in percent, and the owner's clock, in ms, when
        the report arrived.
    checkpoint : str
        Newest checkpoint that the worker has reported; empty for none.
    base_percent, base_at : int
        Progress in percent and owner's clock, in ms, from which the next
        rate is measured.
    rate : float
        Progress in percent per second between two reports; negative until
        two reports have arrived.
    rate_at : int
        Owner's clock, in ms, of the report that completed ``rate``.
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
    stop_sent_at: int = 0
    stop_confirmed_clock_ms: int = 0
    percent: int = 0
    percent_at: int = 0
    checkpoint: str = ''
    base_percent: int = 0
    base_at: int = 0
    rate: float = -1.0
    rate_at: int = 0
    target_ms: int = 0
    fills: bool = False
    load: int = 0
    load_at: int = 0
    pace: int = 100
    paced_at: int = 0
    confirmed_pace: int = 100
    pace_sent_at: int = 0
    epoch: int = 0

    @property
    def place(self) -> RunPlace:
        """Key of the run in the state."""
        return RunPlace(self.worker, self.key)


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
    moved : bool
        Whether a run has been moved because it took far longer than
        estimated.
    """

    finished: bool = False
    failures: int = 0
    next_run: int = 1
    checkpoint: str = ''
    ended_runs: tuple[RunIdentity, ...] = ()
    failed_on: tuple[str, ...] = ()
    moved: bool = False


NEW_TASK = TaskEntry()


@dataclass(frozen=True, slots=True)
class StepEntry:
    """Progress of one step of one occurrence of a job.

    Parameters
    ----------
    pending_tasks : frozenset of int
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
    moved : bool
        Whether the gang has been moved because it took far longer than
        estimated.
    """

    key: StepKey
    pending_tasks: frozenset[int]
    open_tasks: int
    ready: bool = False
    closed: bool = False
    gang_failures: int = 0
    failed_gang_runs: tuple[GangRun, ...] = ()
    checkpoint: str = ''
    ready_at: int = 0
    moved: bool = False


@dataclass(frozen=True, slots=True)
class JobEntry:
    """An accepted workflow.

    Parameters
    ----------
    queue : Queue
        Settings of the job's queue when the job was accepted.
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
    open_steps : int
        Number of steps of opened occurrences that have not finished.
    ended_by : EndNumber or None
        End of a run that ended the job.
    ended_at_ms : int
        Wall clock when the job ended.
    """

    job_id: str
    queue: Queue
    workflow: Workflow
    accepted_at_ms: int
    state: WorkflowState = WorkflowState.QUEUED
    durable_state: WorkflowState = WorkflowState.QUEUED
    durable: bool = False
    from_previous_owner: bool = False
    due_at: int = 0
    value_ends_at: int = 0
    critical_paths_ms: tuple[int, ...] = ()
    occurrences: int = 0
    open_steps: int = 0
    ended_by: EndNumber | None = None
    ended_at_ms: int = 0

    @property
    def has_ended(self) -> bool:
        """Whether the job has reached a final state."""
        return self.state in FINAL_WORKFLOW_STATES


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
    unknown_runs : frozenset of RunKey
        Runs on the worker whose task is unknown to the owner. They are
        being stopped, and their demand is unknown until then.
    avoid_until : int
        Owner's clock, in ms, until which the worker gets no new runs.
    """

    registration: Registration
    registered: bool = True
    recorded: bool = False
    epoch_acknowledged: bool = False
    incarnation_ms: int = 0
    reading: ClockReading | None = None
    last_end_number: int = 0
    silent_since: int = 0
    leases_expire_at: int = 0
    leases_expired: bool = False
    unknown_runs: frozenset[RunKey] = frozenset()
    avoid_until: int = 0

    @property
    def takes_starts(self) -> bool:
        """Whether runs may start on the worker, as its entry says."""
        return self.registered and not self.registration.leaving


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


@dataclass
class DispatchState:
    """All inputs of the dispatcher's decisions.

    Parameters
    ----------
    shard : str
        Name of the journal.
    owner : str
        Process name and incarnation of the owner.
    epoch : int
        Epoch of the newest takeover record.
    ttl_ms, grace_ms : int
        Duration of the owner's lease, and the time for which it may act
        after its lease during an outage of the store.
    previous_ttl_ms, previous_grace_ms : int
        The same for the previous owner.
    handover_lease_ms : int
        How long, after this takeover, leases granted by the previous owner
        remain valid if that owner handed the shard over; -1 if it did not.
    owners : tuple of str
        Latest owners, newest last, without those that handed the shard over.
        An owner whose process has not ended may continue for a while without
        noticing that it was replaced.
    previous_owners_ended : bool
        Whether the processes of all previous owners have ended, and the
        deadlines in ``unreconciled_workers`` were shortened for that reason.
    runs_by_worker, runs_by_step : dict
        Keys of the runs on each worker and of each step.
    latency_critical_runs : dict
        Keys of the runs of latency-critical tasks, by worker.
    paced_runs : set of RunPlace
        Runs of best-effort tasks whose pace is not confirmed or below full
        pace.
    waiting_steps : dict
        Ready steps with pending tasks; used as an ordered set.
    free_resources : dict
        Capacity of each worker without the reserved resources.
    recorded_workers : dict
        Pool and address of each worker that the journal names.
    unreconciled_workers : dict
        Workers that may have runs of a previous owner, with the owner's
        clock, in ms, when every lease on that worker has expired.
    health : dict
        Recent failures of runs, by worker; healthy workers are left out.
    step_rates : dict
        Rate, in percent per second, of the run of each step that finished
        last.
    watch_counts : dict
        Number of times that this owner has begun to poll each worker.
    last_finish_at : dict
        Owner's clock, in ms, when a run last finished on each worker.
    submit_callers, cancel_callers : dict
        Reply tokens of callers that wait for a record, by job.
    ended_jobs : dict
        Ids of jobs in a final state; used as an ordered set.
    unanswered_at : list of int
        Owner's clock, in ms, of recent calls that got no reply from a worker.
    hold_wait_ms : int
        Current duration for which workers may hold a hold call open; 0
        before it is first set.
    registrations_confirmed_at : int
        Owner's clock, in ms, when the store last confirmed the workers'
        entries.
    stragglers_checked_at : int
        Owner's clock, in ms, of the latest check for slow workers.
    stalled_since : int
        Owner's clock, in ms, when writes of the journal began to fail; 0
        while they succeed.
    stopping : bool
        Whether a planned stop has begun.
    needs_pass : bool
        Whether waiting steps have to be considered again.
    now : int
        Owner's clock, in ms, at the current event.
    wall_ms : int
        Unix time, in ms, at the current event.
    """

    shard: str
    owner: str
    epoch: int = 0
    ttl_ms: int = 0
    grace_ms: int = 0
    previous_ttl_ms: int = 0
    previous_grace_ms: int = 0
    handover_lease_ms: int = -1
    owners: tuple[str, ...] = ()
    previous_owners_ended: bool = False
    routing_table: RoutingTable = field(default_factory=RoutingTable)
    jobs: dict[str, JobEntry] = field(default_factory=dict)
    steps: dict[StepKey, StepEntry] = field(default_factory=dict)
    tasks: dict[str, TaskEntry] = field(default_factory=dict)
    runs: dict[RunPlace, RunEntry] = field(default_factory=dict)
    runs_by_worker: dict[str, set[RunPlace]] = field(default_factory=dict)
    runs_by_step: dict[StepKey, set[RunPlace]] = field(default_factory=dict)
    latency_critical_runs: dict[str, set[RunPlace]] = field(
        default_factory=dict
    )
    paced_runs: set[RunPlace] = field(default_factory=set)
    waiting_steps: dict[StepKey, None] = field(default_factory=dict)
    workers: dict[str, WorkerEntry] = field(default_factory=dict)
    free_resources: dict[str, Resources] = field(default_factory=dict)
    recorded_workers: dict[str, tuple[str, str]] = field(default_factory=dict)
    unreconciled_workers: dict[str, int] = field(default_factory=dict)
    advice: dict[StepKey, StepAdvice] = field(default_factory=dict)
    advice_channels: dict[str, AdviceChannel] = field(default_factory=dict)
    health: dict[str, WorkerHealth] = field(default_factory=dict)
    slow_workers: dict[str, SlowPeriod] = field(default_factory=dict)
    step_rates: dict[StepKey, float] = field(default_factory=dict)
    watch_counts: dict[str, int] = field(default_factory=dict)
    last_finish_at: dict[str, int] = field(default_factory=dict)
    submit_callers: dict[str, list[int]] = field(default_factory=dict)
    cancel_callers: dict[str, list[int]] = field(default_factory=dict)
    ended_jobs: dict[str, None] = field(default_factory=dict)
    unanswered_at: list[int] = field(default_factory=list)
    hold_wait_ms: int = 0
    registrations_confirmed_at: int = 0
    stragglers_checked_at: int = 0
    stalled_since: int = 0
    stopping: bool = False
    needs_pass: bool = False
    now: int = 0
    wall_ms: int = 0

    def update_job(self, job_id: str, **changes: Any) -> JobEntry:
        """Replace fields of a job and return the new entry."""
        entry = replace(self.jobs[job_id], **changes)
        self.jobs[job_id] = entry
        return entry

    def update_step(self, key: StepKey, **changes: Any) -> StepEntry:
        """Replace fields of a step and return the new entry."""
        entry = replace(self.steps[key], **changes)
        self.steps[key] = entry
        return entry

    def update_task(self, task: str, **changes: Any) -> TaskEntry:
        """Replace fields of a task and return the new entry.

        A task without an entry gets one.
        """
        entry = replace(self.tasks.get(task, NEW_TASK), **changes)
        self.tasks[task] = entry
        return entry

    def find_run(self, worker: str, key: RunKey) -> RunEntry | None:
        """Return a run on a worker, or None."""
        return self.runs.get(RunPlace(worker, key))

    def update_run(self, place: RunPlace, **changes: Any) -> RunEntry:
        """Replace fields of a run and return the new entry."""
        entry = replace(self.runs[place], **changes)
        self.runs[place] = entry
        return entry

    def update_worker(self, worker: str, **changes: Any) -> WorkerEntry:
        """Replace fields of a worker and return the new entry."""
        entry = replace(self.workers[worker], **changes)
        self.workers[worker] = entry
        return entry

    def find_task(self, task: str) -> TaskEntry:
        """Return the entry of a task, or `NEW_TASK`."""
        return self.tasks.get(task, NEW_TASK)

    def find_step(self, key: StepKey) -> Step:
        """Return the definition of a step."""
        return self.jobs[key.job_id].workflow.steps[key.step]

    def find_queue_of(self, entry: JobEntry) -> Queue:
        """Return the current settings of a job's queue.

        The settings at acceptance apply if the queue no longer exists.
        """
        return (
            self.routing_table.find_queue_by_name(entry.queue.name)
            or entry.queue
        )

    def add_run(self, entry: RunEntry) -> None:
        """Add a run and reserve its demand on its worker."""
        place = entry.place
        self.runs[place] = entry
        self.runs_by_worker.setdefault(entry.worker, set()).add(place)
        self.runs_by_step.setdefault(entry.step, set()).add(place)
        if entry.target_ms:
            self.latency_critical_runs.setdefault(entry.worker, set()).add(
                place
            )
        if entry.fills:
            self.paced_runs.add(place)
        if entry.worker in self.free_resources:
            self.free_resources[entry.worker] = (
                self.free_resources[entry.worker] - entry.demand
            )

    def remove_run(self, place: RunPlace) -> RunEntry | None:
        """Remove a run that is certainly gone and release its demand."""
        entry = self.runs.pop(place, None)
        if entry is None:
            return None
        self.runs_by_worker.get(entry.worker, set()).discard(place)
        siblings = self.runs_by_step.get(entry.step, set())
        siblings.discard(place)
        if not siblings:
            self.runs_by_step.pop(entry.step, None)
        self.paced_runs.discard(place)
        if entry.target_ms:
            self.latency_critical_runs[entry.worker].discard(place)
            if not self.latency_critical_runs[entry.worker]:
                del self.latency_critical_runs[entry.worker]
        if entry.worker in self.free_resources:
            self.free_resources[entry.worker] = (
                self.free_resources[entry.worker] + entry.demand
            )
        self.needs_pass = True
        return entry

    def list_runs_on(self, worker: str) -> list[RunEntry]:
        """Return the runs that may be present on a worker."""
        places = self.runs_by_worker.get(worker, ())
        return [self.runs[place] for place in places]

    def list_runs_of(self, key: StepKey) -> list[RunEntry]:
        """Return the runs of a step that may be present on any worker."""
        return [self.runs[place] for place in self.runs_by_step.get(key, ())]

    def list_steps_of(self, job: JobEntry) -> Iterable[StepKey]:
        """Yield the keys of a job's opened steps."""
        for occurrence in range(job.occurrences):
            for step in range(len(job.workflow.steps)):
                key = StepKey(job.job_id, occurrence, step)
                if key in self.steps:
                    yield key

    def update_free_resources(self, worker: str) -> None:
        """Recompute a worker's free capacity from its reservations."""
        entry = self.workers[worker]
        used = NO_RESOURCES
        for run in self.list_runs_on(worker):
            used = used + run.demand
        self.free_resources[worker] = entry.registration.capacity - used


def make_task_id(key: StepKey, index: int) -> str:
    """Return the id of one task of a step."""
    return make_step_task_id(key.job_id, key.occurrence, key.step, index)
