"""The dispatcher's state, owned by one task.

Values are frozen; the containers belong to the dispatcher's task alone.
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
    """Names one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class RunKey(NamedTuple):
    """Names one run of a task."""

    task: str
    run: int


class RunPhase(StrEnum):
    """What the owner knows of a run.

    Attributes
    ----------
    SENT
        The start has no answer yet.
    PRESENT
        The worker has answered or reported that the run is there.
    UNSURE
        A copy of the start was refused, and another one had no answer and
        may still be carried out. Only an answered stop settles it.
    """

    SENT = 'sent'
    PRESENT = 'present'
    UNSURE = 'unsure'


@dataclass(frozen=True, slots=True)
class RunEntry:
    """A run that may be present on a worker and holds a reservation.

    Parameters
    ----------
    born_ms : int
        Incarnation of the worker that it was started on.
    started_at : int
        Owner's clock when the start was decided.
    expected_ms : int
        How long the run is expected to take.
    uncertain : bool
        Whether a copy of the start had no answer.
    present_clock : int
        Worker's clock when it confirmed the run; a later report that does
        not list the run means that it is gone.
    listed : bool
        Whether a report of the worker's present life has listed it.
    stopping : bool
        Whether the owner wants it to end.
    stop_sent_at : int
        Owner's clock of the last stop call.
    stop_clock : int
        Worker's clock when it answered a stop; 0 before.
    percent, percent_at : int
        Last reported progress, and the owner's clock of that report.
    checkpoint : str
        Newest checkpoint that the worker has reported.
    base_percent, base_at : int
        Progress and time that the next rate is taken from.
    rate : float
        Percent per second between two reports; negative before the second.
    rate_at : int
        Owner's clock of the later of them.
    target_ms : int
        Bound of the tail latency of a task that serves users; 0 for others.
    fills : bool
        Whether the task uses what others leave of the processors.
    load, load_at : int
        Last reported load, see `RunningRun`, and the owner's clock of it.
    pace, paced_at : int
        Percent of its speed at which a filling task is to work, and the
        owner's clock when that was decided.
    confirmed_pace : int
        What the worker has put in force.
    pace_sent_at : int
        Owner's clock of the call under way; 0 when there is none.
    """

    key: RunKey
    step: StepKey
    index: int
    worker: str
    born_ms: int
    demand: Resources
    phase: RunPhase = RunPhase.SENT
    started_at: int = 0
    expected_ms: int = 0
    uncertain: bool = False
    present_clock: int = 0
    listed: bool = False
    stopping: bool = False
    stop_sent_at: int = 0
    stop_clock: int = 0
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


@dataclass(frozen=True, slots=True)
class TaskEntry:
    """What is known of a task beyond its present runs.

    Parameters
    ----------
    failures : int
        Runs that ended as failed.
    next_run : int
        Lowest number for the next run.
    ended_runs : tuple of int
        Runs whose end has been noted.
    failed_on : tuple of str
        Workers on which runs have failed.
    moved : bool
        Whether a run was moved for taking far longer than estimated.
    """

    finished: bool = False
    failures: int = 0
    next_run: int = 1
    checkpoint: str = ''
    ended_runs: tuple[int, ...] = ()
    failed_on: tuple[str, ...] = ()
    moved: bool = False


FRESH_TASK = TaskEntry()


@dataclass(frozen=True, slots=True)
class StepEntry:
    """Progress of one step of one occurrence.

    Parameters
    ----------
    pending : frozenset of int
        Tasks that want a run and have none.
    open : int
        Tasks that have not finished.
    ready : bool
        Whether its predecessors are done and its time has come.
    closed : bool
        Whether it has finished and what follows was opened.
    gang_failures : int
        Runs of the gang that ended as failed.
    failed_gang_runs : tuple of int
        Their numbers.
    checkpoint : str
        Newest checkpoint of a gang, which is valid for all members.
    ready_at : int
        Owner's clock when it became ready.
    moved : bool
        Whether its gang was moved for taking far longer than estimated.
    """

    key: StepKey
    pending: frozenset[int]
    open: int
    ready: bool = False
    closed: bool = False
    gang_failures: int = 0
    failed_gang_runs: tuple[int, ...] = ()
    checkpoint: str = ''
    ready_at: int = 0
    moved: bool = False


@dataclass(frozen=True, slots=True)
class JobEntry:
    """One accepted workflow.

    Parameters
    ----------
    queue : Queue
        Terms at acceptance.
    state : WorkflowState
        As decided; callers see ``shown``.
    shown : WorkflowState
        As far as it is durable.
    durable : bool
        Whether the acceptance is in the journal.
    inherited : bool
        Whether an earlier owner may have started its tasks.
    due_at : int
        Owner's clock by which the job should have completed.
    late_at : int
        Owner's clock from which completing it earns nothing more.
    tails : tuple of int
        For each step, the longest chain of expected work from its start to
        the end of the job, in ms.
    occurrences : int
        Occurrences that have been opened.
    open_steps : int
        Steps of opened occurrences that have not finished.
    closed_by : RunKey or None
        The run whose end closed the job.
    """

    job_id: str
    queue: Queue
    workflow: Workflow
    accepted_at_ms: int
    state: WorkflowState = WorkflowState.QUEUED
    shown: WorkflowState = WorkflowState.QUEUED
    durable: bool = False
    inherited: bool = False
    due_at: int = 0
    late_at: int = 0
    tails: tuple[int, ...] = ()
    occurrences: int = 0
    open_steps: int = 0
    closed_by: RunKey | None = None
    ended_at_ms: int = 0

    @property
    def is_over(self) -> bool:
        """Whether the job has ended for good."""
        return self.state in FINAL_WORKFLOW_STATES


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What the owner knows of a worker.

    Parameters
    ----------
    registration : Registration
        Its newest entry in the store.
    registered : bool
        Whether the entry is still there.
    recorded : bool
        Whether the journal names the worker, so that a successor looks
        there.
    fenced : bool
        Whether it has answered under this owner's epoch.
    born_ms : int
        Incarnation of the newest report; 0 before the first.
    reading : ClockReading or None
        The worker's clock in the newest report.
    seen : int
        Highest number in its list of ends that has been handled.
    silent_since : int
        Owner's clock of the first call without an answer since it last
        answered; 0 while it answers.
    lapse_at : int
        Owner's clock from which all that was granted there has lapsed.
    lapsed : bool
        Whether its runs were given up for that.
    foreign : frozenset of RunKey
        Runs there of unknown size, which are being stopped.
    avoid_until : int
        Owner's clock until which it gets no new work.
    """

    registration: Registration
    registered: bool = True
    recorded: bool = False
    fenced: bool = False
    born_ms: int = 0
    reading: ClockReading | None = None
    seen: int = 0
    silent_since: int = 0
    lapse_at: int = 0
    lapsed: bool = False
    foreign: frozenset[RunKey] = frozenset()
    avoid_until: int = 0


@dataclass(frozen=True, slots=True)
class SlowMark:
    """A worker that gets no new runs for being slow.

    Parameters
    ----------
    share : float
        Its speed as a share of the usual one; 0 when runs stand still.
    until : int
        Owner's clock of the end of the pause.
    pause_ms : int
        Length of the pause.
    """

    share: float
    until: int
    pause_ms: int


@dataclass(frozen=True, slots=True)
class Ticket:
    """Proof that a worker may run a step, for one life of the worker."""

    ticket: str
    expires_at: int
    born_ms: int


@dataclass(frozen=True, slots=True)
class StepAdvice:
    """What the advice service has said about a step.

    Parameters
    ----------
    tickets : dict
        Newest ticket by worker; also expired ones, whose workers stay good.
    asked : frozenset of str
        Workers that the service has been asked about.
    asking : frozenset of str
        Workers named in the call that is under way; empty when none is.
    asked_at : int
        Owner's clock of the newest call.
    failures : int
        Calls without advice since the last with one.
    """

    tickets: dict[str, Ticket] = field(default_factory=dict)
    asked: frozenset[str] = frozenset()
    asking: frozenset[str] = frozenset()
    asked_at: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class Lane:
    """An entry host that can call the advice service.

    Parameters
    ----------
    busy_until : int
        Owner's clock at which its calls so far are expected to be over.
    """

    name: str
    busy_until: int = 0


@dataclass
class DispatchState:
    """Everything that the dispatcher's decisions depend on.

    Parameters
    ----------
    shard : str
        Name of the journal.
    owner : str
        Process name and incarnation of the owner.
    released_ms : int
        How long the leases of an earlier owner, who has handed over, last
        from the takeover on; -1 when it has not.
    owners : tuple of str
        Latest owners, the newest last, without those that handed over; one
        that has not ended may go on unaware for a while.
    shortened : bool
        Whether the waiting time of ``unsettled`` was cut down since all of
        them have ended.
    unsettled : dict
        Workers where an earlier owner's runs may be, with the owner's clock
        at which everything there has lapsed.
    """

    shard: str
    owner: str
    epoch: int = 0
    ttl_ms: int = 0
    grace_ms: int = 0
    previous_ttl_ms: int = 0
    previous_grace_ms: int = 0
    released_ms: int = -1
    owners: tuple[str, ...] = ()
    shortened: bool = False
    table: RoutingTable = field(default_factory=RoutingTable)
    jobs: dict[str, JobEntry] = field(default_factory=dict)
    steps: dict[StepKey, StepEntry] = field(default_factory=dict)
    tasks: dict[str, TaskEntry] = field(default_factory=dict)
    runs: dict[RunKey, RunEntry] = field(default_factory=dict)
    runs_on: dict[str, set[RunKey]] = field(default_factory=dict)
    runs_of: dict[StepKey, set[RunKey]] = field(default_factory=dict)
    # Runs that serve users, by worker, and filling runs with a set pace.
    serving: dict[str, set[RunKey]] = field(default_factory=dict)
    paced: set[RunKey] = field(default_factory=set)
    waiting: dict[StepKey, None] = field(default_factory=dict)
    workers: dict[str, WorkerEntry] = field(default_factory=dict)
    free: dict[str, Resources] = field(default_factory=dict)
    known_workers: dict[str, tuple[str, str]] = field(default_factory=dict)
    unsettled: dict[str, int] = field(default_factory=dict)
    advice: dict[StepKey, StepAdvice] = field(default_factory=dict)
    lanes: dict[str, Lane] = field(default_factory=dict)
    health: dict[str, WorkerHealth] = field(default_factory=dict)
    slow: dict[str, SlowMark] = field(default_factory=dict)
    step_rates: dict[StepKey, float] = field(default_factory=dict)
    # How often calls to a worker were begun under this owner.
    watches: dict[str, int] = field(default_factory=dict)
    # When a run last finished on a worker, on the owner's clock.
    finished_at: dict[str, int] = field(default_factory=dict)
    accept_callers: dict[str, list[int]] = field(default_factory=dict)
    cancel_callers: dict[str, list[int]] = field(default_factory=dict)
    ended_order: dict[str, None] = field(default_factory=dict)
    unanswered: list[int] = field(default_factory=list)
    hold_wait_ms: int = 0
    judged_at: int = 0
    stalled_since: int = 0
    stopping: bool = False
    dirty: bool = False
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
        """Replace fields of a task, which may be fresh."""
        entry = replace(self.tasks.get(task, FRESH_TASK), **changes)
        self.tasks[task] = entry
        return entry

    def update_run(self, key: RunKey, **changes: Any) -> RunEntry:
        """Replace fields of a run and return the new entry."""
        entry = replace(self.runs[key], **changes)
        self.runs[key] = entry
        return entry

    def update_worker(self, worker: str, **changes: Any) -> WorkerEntry:
        """Replace fields of a worker and return the new entry."""
        entry = replace(self.workers[worker], **changes)
        self.workers[worker] = entry
        return entry

    def find_task(self, task: str) -> TaskEntry:
        """Return a task's entry."""
        return self.tasks.get(task, FRESH_TASK)

    def find_step(self, key: StepKey) -> Step:
        """Return the definition of a step."""
        return self.jobs[key.job_id].workflow.steps[key.step]

    def find_terms(self, entry: JobEntry) -> Queue:
        """Return the terms in force for a job."""
        return self.table.find_queue_by_name(entry.queue.name) or entry.queue

    def add_run(self, entry: RunEntry) -> None:
        """Hold a reservation for a run that may be present from now on."""
        self.runs[entry.key] = entry
        self.runs_on.setdefault(entry.worker, set()).add(entry.key)
        self.runs_of.setdefault(entry.step, set()).add(entry.key)
        if entry.target_ms:
            self.serving.setdefault(entry.worker, set()).add(entry.key)
        if entry.fills:
            self.paced.add(entry.key)
        if entry.worker in self.free:
            self.free[entry.worker] = self.free[entry.worker] - entry.demand

    def drop_run(self, key: RunKey) -> RunEntry | None:
        """Give back the reservation of a run that is certainly gone."""
        entry = self.runs.pop(key, None)
        if entry is None:
            return None
        self.runs_on.get(entry.worker, set()).discard(key)
        siblings = self.runs_of.get(entry.step, set())
        siblings.discard(key)
        if not siblings:
            self.runs_of.pop(entry.step, None)
        self.paced.discard(key)
        if entry.target_ms:
            self.serving[entry.worker].discard(key)
            if not self.serving[entry.worker]:
                del self.serving[entry.worker]
        if entry.worker in self.free:
            self.free[entry.worker] = self.free[entry.worker] + entry.demand
        self.dirty = True
        return entry

    def list_runs_on(self, worker: str) -> list[RunEntry]:
        """Return the runs that may be present on a worker."""
        return [self.runs[key] for key in self.runs_on.get(worker, ())]

    def list_runs_of(self, key: StepKey) -> list[RunEntry]:
        """Return the runs of a step that may be present anywhere."""
        return [self.runs[run] for run in self.runs_of.get(key, ())]

    def list_steps_of(self, job: JobEntry) -> Iterable[StepKey]:
        """Yield the keys of a job's opened steps."""
        for occurrence in range(job.occurrences):
            for step in range(len(job.workflow.steps)):
                key = StepKey(job.job_id, occurrence, step)
                if key in self.steps:
                    yield key

    def measure_free(self, worker: str) -> None:
        """Recompute a worker's free capacity from its reservations."""
        entry = self.workers[worker]
        used = NO_RESOURCES
        for run in self.list_runs_on(worker):
            used = used + run.demand
        self.free[worker] = entry.registration.capacity - used


def name_task(key: StepKey, index: int) -> str:
    """Return the id of one task of a step."""
    return make_step_task_id(key.job_id, key.occurrence, key.step, index)
