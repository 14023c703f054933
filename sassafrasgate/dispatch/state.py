"""The state of the dispatcher.

The entries are immutable. The containers that hold them are changed by the
dispatcher's task only.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from math import inf
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import Queue
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.dispatch.admission import Admission
from sassafrasgate.dispatch.backlogs import Backlog
from sassafrasgate.dispatch.entries import AdviceChannel
from sassafrasgate.dispatch.entries import GangLook
from sassafrasgate.dispatch.entries import JobAllowance
from sassafrasgate.dispatch.entries import JobEntry
from sassafrasgate.dispatch.entries import NEW_TASK
from sassafrasgate.dispatch.entries import PendingStop
from sassafrasgate.dispatch.entries import RunEntry
from sassafrasgate.dispatch.entries import SlowPeriod
from sassafrasgate.dispatch.entries import StepAdvice
from sassafrasgate.dispatch.entries import StepEntry
from sassafrasgate.dispatch.entries import Suspicion
from sassafrasgate.dispatch.entries import TaskEntry
from sassafrasgate.dispatch.entries import WorkerEntry
from sassafrasgate.dispatch.health import WorkerHealth
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import RunPlace
from sassafrasgate.dispatch.identities import ShareKey
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.pass_plans import OpenPass
from sassafrasgate.dispatch.prior_leases import LeaseBound
from sassafrasgate.dispatch.prior_leases import Release
from sassafrasgate.dispatch.promises import Promise
from sassafrasgate.dispatch.tenant_accounts import CapOutlook
from sassafrasgate.dispatch.tenant_accounts import CappedPeriod
from sassafrasgate.dispatch.tenant_accounts import PriorRuns
from sassafrasgate.shards.ownership import OwnerTerm

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.core.workflows import Step


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
    took_over_at : int
        Owner's clock, in ms, at the takeover.
    lease_expires_at : float
        Owner's clock, in ms, when its lease in the store expires unless it is
        renewed. From then on another owner may act; infinite until the first
        `LeaseConfirmed`.
    terms : tuple of OwnerTerm
        Owners that may still act, in the order of their takeovers, and this
        owner as the last one. One whose process has not ended may continue
        for a while without noticing that it was replaced.
    needed_witnesses : frozenset of str
        Hosts without whose agreement this owner does not act after its
        lease, in any record that a successor may have read.
    release : Release or None
        What the latest owner that handed the shard over has stated.
    previous_owners_ended : bool
        Whether the processes of all previous owners have ended, and the
        deadlines in ``unreconciled_workers`` were shortened for that reason.
    runs_by_worker, runs_by_step, runs_by_task : dict
        Keys of the runs on each worker, of each step and of each task.
    latency_critical_runs : dict
        Keys of the runs of latency-critical tasks, by worker.
    tenant_usage : dict
        What the runs of each tenant are charged for; tenants without runs
        are left out.
    pool_usage : dict
        The same by pool and tenant.
    recent_shares : dict
        Dominant share of each tenant in each pool, averaged over what has run
        lately.
    shares_measured_at : dict
        Owner's clock, in ms, when the ``recent_shares`` of each pool were
        last updated.
    shares_logged_at : int
        Owner's clock, in ms, of the latest log lines about shares.
    job_allowances : dict
        Jobs that each tenant may still submit within its entitlement.
    promoted_step : StepKey or None
        Step that is placed first because it has waited for long.
    promoted_at : int
        Owner's clock, in ms, when that step was chosen.
    runs_by_tenant : dict
        Keys of the runs of each tenant.
    prior_runs : PriorRuns
        Tasks of tenants that previous owners may have running unseen.
    cap_outlooks : dict
        What runs of capped tenants are expected to release soon.
    capped_tenants : dict
        Tenants of which steps wait because of the cap.
    tenants_logged_at : int
        Owner's clock, in ms, of the latest log line about all tenants.
    promoted_ready_at : int
        Owner's clock, in ms, when that step had become ready.
    paced_runs : set of RunPlace
        Runs of best-effort tasks whose pace is not confirmed or below full
        pace.
    pending_stops : dict
        Runs that have to be stopped, in the order of their last stop calls.
    waiting_steps : dict
        Ready steps with pending tasks; used as an ordered set.
    free_resources : dict
        Capacity of each worker without the reserved resources.
    recorded_workers : dict
        Pool and address of each worker that the journal names.
    unreconciled_workers : dict
        Workers that may have runs of a previous owner, with the bound of the
        leases there.
    gang_looks : dict
        Latest look at each gang that waits for capacity.
    health : dict
        Recent failures of runs, by worker; healthy workers are left out.
    step_rates : dict
        Rate, in percent per second, of the run of each step that finished
        last.
    watch_counts : dict
        Number of times that this owner has begun to poll each worker.
    finished_shares : list of float
        Speeds of the runs that finished last, as multiples of their expected
        speeds; the newest at the end.
    suspected_workers : dict
        Recent evidence against workers on which no run has finished since.
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
    admission : Admission
        How much work is admitted.
    manages_overload : bool
        Whether the order of an overloaded pool and refusals by prediction
        hold also in a cell without tenants.
    backlogs : dict
        What waits in each pool, by pool.
    backlogs_measured_at, backlogs_logged_at : int
        Owner's clock, in ms, when the backlogs were last measured, and when
        they were last logged.
    promises : dict
        What refused callers have been told, by job.
    promised_until : dict
        By pool, the owner's clock, in ms, when the work of all refused
        callers can have been admitted.
    rate_before_stall : float
        Tasks that were started in a second before writes of the journal
        began to fail; 0 if no pool was full then.
    started_tasks : int
        Number of runs that this owner has started.
    stopping : bool
        Whether a planned stop has begun.
    needs_pass : bool
        Whether waiting steps have to be considered again.
    open_pass : OpenPass or None
        Scheduling pass of which a part is left.
    unstopped_jobs : dict
        Ids of ended jobs of which runs are left to be stopped; used as an
        ordered set.
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
    took_over_at: int = 0
    lease_expires_at: float = inf
    terms: tuple[OwnerTerm, ...] = ()
    needed_witnesses: frozenset[str] = frozenset()
    release: Release | None = None
    previous_owners_ended: bool = False
    routing_table: RoutingTable = field(default_factory=RoutingTable)
    jobs: dict[str, JobEntry] = field(default_factory=dict)
    steps: dict[StepKey, StepEntry] = field(default_factory=dict)
    tasks: dict[str, TaskEntry] = field(default_factory=dict)
    runs: dict[RunPlace, RunEntry] = field(default_factory=dict)
    runs_by_worker: dict[str, set[RunPlace]] = field(default_factory=dict)
    runs_by_step: dict[StepKey, set[RunPlace]] = field(default_factory=dict)
    runs_by_task: dict[str, set[RunPlace]] = field(default_factory=dict)
    latency_critical_runs: dict[str, set[RunPlace]] = field(
        default_factory=dict
    )
    tenant_usage: dict[str, Resources] = field(default_factory=dict)
    pool_usage: dict[ShareKey, Resources] = field(default_factory=dict)
    recent_shares: dict[ShareKey, float] = field(default_factory=dict)
    shares_measured_at: dict[str, int] = field(default_factory=dict)
    shares_logged_at: int = 0
    job_allowances: dict[str, JobAllowance] = field(default_factory=dict)
    promoted_step: StepKey | None = None
    promoted_at: int = 0
    runs_by_tenant: dict[str, set[RunPlace]] = field(default_factory=dict)
    prior_runs: PriorRuns = field(default_factory=PriorRuns)
    cap_outlooks: dict[str, CapOutlook] = field(default_factory=dict)
    capped_tenants: dict[str, CappedPeriod] = field(default_factory=dict)
    tenants_logged_at: int = 0
    promoted_ready_at: int = 0
    paced_runs: set[RunPlace] = field(default_factory=set)
    pending_stops: dict[RunPlace, PendingStop] = field(default_factory=dict)
    waiting_steps: dict[StepKey, None] = field(default_factory=dict)
    workers: dict[str, WorkerEntry] = field(default_factory=dict)
    free_resources: dict[str, Resources] = field(default_factory=dict)
    recorded_workers: dict[str, tuple[str, str]] = field(default_factory=dict)
    unreconciled_workers: dict[str, LeaseBound] = field(default_factory=dict)
    advice: dict[StepKey, StepAdvice] = field(default_factory=dict)
    gang_looks: dict[StepKey, GangLook] = field(default_factory=dict)
    advice_channels: dict[str, AdviceChannel] = field(default_factory=dict)
    health: dict[str, WorkerHealth] = field(default_factory=dict)
    slow_workers: dict[str, SlowPeriod] = field(default_factory=dict)
    step_rates: dict[StepKey, float] = field(default_factory=dict)
    watch_counts: dict[str, int] = field(default_factory=dict)
    finished_shares: list[float] = field(default_factory=list)
    suspected_workers: dict[str, Suspicion] = field(default_factory=dict)
    submit_callers: dict[str, list[int]] = field(default_factory=dict)
    cancel_callers: dict[str, list[int]] = field(default_factory=dict)
    ended_jobs: dict[str, None] = field(default_factory=dict)
    unanswered_at: list[int] = field(default_factory=list)
    hold_wait_ms: int = 0
    registrations_confirmed_at: int = 0
    stragglers_checked_at: int = 0
    stalled_since: int = 0
    admission: Admission = Admission()
    manages_overload: bool = False
    backlogs: dict[str, Backlog] = field(default_factory=dict)
    backlogs_measured_at: int = 0
    backlogs_logged_at: int = 0
    promises: dict[str, Promise] = field(default_factory=dict)
    promised_until: dict[str, int] = field(default_factory=dict)
    rate_before_stall: float = 0.0
    started_tasks: int = 0
    stopping: bool = False
    needs_pass: bool = False
    open_pass: OpenPass | None = None
    unstopped_jobs: dict[str, None] = field(default_factory=dict)
    now: int = 0
    wall_ms: int = 0

    @property
    def may_be_replaced(self) -> bool:
        """Whether another owner may act because this one's lease is over."""
        return self.now >= self.lease_expires_at

    @property
    def is_pass_due(self) -> bool:
        """Whether a scheduling pass has to begin or to go on."""
        return self.needs_pass or self.has_open_work

    @property
    def has_open_work(self) -> bool:
        """Whether a part of an earlier decision is left."""
        return self.open_pass is not None or bool(self.unstopped_jobs)

    @property
    def is_overload_managed(self) -> bool:
        """Whether overload changes the order of work and is refused."""
        return self.manages_overload or self.routing_table.tenants is not None

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

    def find_pool_of(self, entry: JobEntry) -> str:
        """Return the pool that currently runs a job's tasks."""
        return self.find_queue_of(entry).pool

    def add_run(self, entry: RunEntry) -> None:
        """Add a run and reserve its demand on its worker."""
        place = entry.place
        self.runs[place] = entry
        self.runs_by_worker.setdefault(entry.worker, set()).add(place)
        self.runs_by_step.setdefault(entry.step, set()).add(place)
        self.runs_by_task.setdefault(entry.key.task, set()).add(place)
        if entry.target_ms:
            self.latency_critical_runs.setdefault(entry.worker, set()).add(
                place
            )
        if entry.fills:
            self.paced_runs.add(place)
        if entry.tenant:
            self._charge_tenant(entry)
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
        _discard(self.runs_by_step, entry.step, place)
        _discard(self.runs_by_task, entry.key.task, place)
        self.paced_runs.discard(place)
        self.pending_stops.pop(place, None)
        if entry.tenant:
            self._release_tenant(entry)
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

    def get_tenant_usage(self, tenant: str) -> Resources:
        """Return what the runs of a tenant are charged for."""
        return self.tenant_usage.get(tenant, NO_RESOURCES)

    def _charge_tenant(self, entry: RunEntry) -> None:
        tenant = entry.tenant
        self.runs_by_tenant.setdefault(tenant, set()).add(entry.place)
        self.tenant_usage[tenant] = (
            self.get_tenant_usage(tenant) + entry.charged
        )
        share_key = ShareKey(entry.pool, tenant)
        self.pool_usage[share_key] = (
            self.pool_usage.get(share_key, NO_RESOURCES) + entry.charged
        )

    def _release_tenant(self, entry: RunEntry) -> None:
        tenant = entry.tenant
        self.runs_by_tenant[tenant].discard(entry.place)
        self.tenant_usage[tenant] = (
            self.get_tenant_usage(tenant) - entry.charged
        )
        if not self.runs_by_tenant[tenant]:
            del self.runs_by_tenant[tenant]
            del self.tenant_usage[tenant]
        share_key = ShareKey(entry.pool, tenant)
        left = self.pool_usage.pop(share_key, NO_RESOURCES) - entry.charged
        if left != NO_RESOURCES:
            self.pool_usage[share_key] = left

    def settle_worker(self, worker: str) -> None:
        """Count a worker as one without unseen runs of previous owners."""
        del self.unreconciled_workers[worker]
        if not self.unreconciled_workers:
            self.prior_runs.clear()
        self.needs_pass = True

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


def _discard(
    places: dict[Any, set[RunPlace]], key: Any, place: RunPlace
) -> None:
    """Remove a run from an index, and the key with its last run."""
    found = places.get(key, set())
    found.discard(place)
    if not found:
        places.pop(key, None)
