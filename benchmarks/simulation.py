"""Discrete-event simulation of queueing and placement of a job stream."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import Any
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from benchmarks.baselines import choose_first_fit
from benchmarks.baselines import choose_without_locality
from benchmarks.baselines import FifoQueue
from benchmarks.workloads import make_hosts
from sassafrasgate.core.identifiers import make_task_id
from sassafrasgate.core.identifiers import split_task_id
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.admission import AdmissionLoad
from sassafrasgate.placement.admission import check_admission
from sassafrasgate.placement.admission import StartRate
from sassafrasgate.placement.index import HostIndex
from sassafrasgate.placement.policies import Assignment
from sassafrasgate.placement.policies import choose_hosts
from sassafrasgate.placement.policies import PlacementRequest
from sassafrasgate.placement.quarantine import HostHealth
from sassafrasgate.placement.queues import JobQueue
from sassafrasgate.placement.quotas import QuotaLedger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from benchmarks.workloads import Arrival
    from benchmarks.workloads import Workload
    from sassafrasgate.core.jobs import JobSpec

# The start of a run, in which the hosts fill up, is excluded from waits, from
# the busy share and from packing.
WARM_UP_MS = 15_000
# Delay of a scheduling pass when several jobs are queued, so that one pass
# handles all events of this interval.
PASS_INTERVAL_MS = 5
TIME_TO_FAILURE_MS = 50
MAX_ATTEMPTS = 3
MAX_QUEUED = 100_000


@dataclass(frozen=True, slots=True)
class Variant:
    """A configuration of the scheduler: the library with parts replaced.

    Parameters
    ----------
    name : str
        Name in the tables.
    choose : callable
        Placement function.
    is_fifo : bool
        Whether jobs queue in `FifoQueue` instead of `JobQueue`.
    has_quarantine : bool
        Whether hosts with failing tasks are quarantined.
    has_shedding : bool
        Whether a job is refused on arrival if it doesn't fit at once and its
        expected wait exceeds its deadline.
    """

    name: str
    choose: Callable[[HostIndex, PlacementRequest], Any] = choose_hosts
    is_fifo: bool = False
    has_quarantine: bool = True
    has_shedding: bool = False


LIBRARY = Variant('library')
VARIANTS = (
    LIBRARY,
    Variant('first come first served', is_fifo=True),
    Variant('first fit', choose=choose_first_fit),
    Variant('no locality', choose=choose_without_locality),
)
SHEDDING = Variant('shedding', has_shedding=True)
NO_QUARANTINE = Variant('no quarantine', has_quarantine=False)


@dataclass(slots=True)
class SimulationResult:
    """Results of one simulation.

    Parameters
    ----------
    waits : dict
        Histogram of the waiting times in ms, by job class.
    missed_deadlines : int
        Jobs that were still queued at their deadline.
    shed : int
        Jobs that were refused on arrival.
    remote_tasks : int
        Tasks in another failure domain than the caller of their job.
    busy_share : float
        Reserved share of the most reserved resource, as a mean over the
        time after the warm-up.
    """

    waits: dict[JobClass, HdrHistogram] = field(
        default_factory=lambda: {
            job_class: HdrHistogram(1, 3_600_000, 3) for job_class in JobClass
        }
    )
    offered: int = 0
    started: int = 0
    missed_deadlines: int = 0
    shed: int = 0
    tasks: int = 0
    remote_tasks: int = 0
    failed_attempts: int = 0
    failed_jobs: int = 0
    busy_share: float = 0.0
    passes: int = 0


class Simulation:
    """Simulation of one job stream on the hosts of a workload.

    Parameters
    ----------
    workload : Workload
        Hosts and teams.
    variant : Variant
        Configuration of the scheduler.
    failing_hosts : iterable of str
        Hosts on which each task fails after `TIME_TO_FAILURE_MS`.
    """

    def __init__(
        self,
        workload: Workload,
        variant: Variant,
        failing_hosts: Iterable[str] = (),
    ) -> None:
        hosts = make_hosts(workload)
        self._variant = variant
        self._index = HostIndex()
        for host in hosts:
            self._index.add_host(host)
        self._capacity = workload.capacity.scale(len(hosts))
        self._ledger = QuotaLedger()
        self._health = HostHealth(len(hosts))
        self._failing_hosts = frozenset(failing_hosts)
        self._queue: Any = FifoQueue()
        if not variant.is_fifo:
            self._queue = JobQueue(workload.teams, self._capacity)
        self._events: list[tuple[int, int, Callable[..., None], Any]] = []
        self._tie_breaker = count()
        self._jobs: dict[str, Arrival] = {}
        self._attempts: dict[str, int] = {}
        self._unfinished_tasks: dict[str, int] = {}
        self._excluded_hosts: dict[str, frozenset[str]] = {}
        self._start_rates: dict[str, StartRate] = {}
        self._next_pass_at = -1
        self._now = 0
        self._result = SimulationResult()

    def run(
        self, arrivals: list[Arrival], horizon_ms: int
    ) -> SimulationResult:
        """Run the simulation until the horizon and return its results.

        A job that is still queued at the horizon counts with its wait until
        then.
        """
        for arrival in arrivals:
            self._schedule_event(arrival.at, self._handle_arrival, arrival)
        while self._events and self._events[0][0] < horizon_ms:
            at, _, handle, argument = heappop(self._events)
            self._advance_clock(at)
            handle(argument)
        self._advance_clock(horizon_ms)
        for job_id, arrival in self._jobs.items():
            if job_id not in self._unfinished_tasks:
                self._record_wait(arrival)
        self._result.busy_share /= horizon_ms - WARM_UP_MS
        return self._result

    def _schedule_event(
        self, at: int, handle: Callable[..., None], argument: Any
    ) -> None:
        heappush(self._events, (at, next(self._tie_breaker), handle, argument))

    def _advance_clock(self, at: int) -> None:
        since = max(self._now, WARM_UP_MS)
        if at > since:
            self._result.busy_share += (
                at - since
            ) * self._compute_busy_share()
        self._now = max(self._now, at)

    def _compute_busy_share(self) -> float:
        reserved = Resources()
        for amount in self._ledger.reserved.values():
            reserved = reserved + amount
        return max(
            reserved.millicores / self._capacity.millicores,
            reserved.memory_mb / self._capacity.memory_mb,
            reserved.slots / self._capacity.slots,
        )

    def _handle_arrival(self, arrival: Arrival) -> None:
        self._jobs[arrival.job_id] = arrival
        self._result.offered += 1
        if self._variant.has_shedding and self._should_shed(arrival):
            self._result.shed += 1
            del self._jobs[arrival.job_id]
            return
        self._queue.add(
            arrival.job_id, arrival.spec, self._now, group='no rules'
        )
        self._schedule_pass()

    def _should_shed(self, arrival: Arrival) -> bool:
        """Return whether a job neither fits now nor may be queued."""
        spec = arrival.spec
        load = AdmissionLoad(
            self._queue.count_queued(spec.team),
            MAX_QUEUED,
            len(self._queue),
            MAX_QUEUED,
            self._queue.count_ahead(spec.team, spec.job_class),
            self._get_start_rate(spec).compute_rate(self._now),
        )
        if check_admission(spec, load) is None:
            return False
        request = PlacementRequest(spec, arrival.domain)
        return not isinstance(
            self._variant.choose(self._index, request), Assignment
        )

    def _get_start_rate(self, spec: JobSpec) -> StartRate:
        key = spec.team
        if spec.job_class is JobClass.URGENT:
            key = 'urgent'
        return self._start_rates.setdefault(key, StartRate())

    def _schedule_pass(self) -> None:
        if self._next_pass_at >= self._now:
            return
        delay = PASS_INTERVAL_MS if len(self._queue) > 1 else 0
        self._next_pass_at = self._now + delay
        self._schedule_event(self._next_pass_at, self._run_pass, None)

    def _run_pass(self, _: None) -> None:
        self._next_pass_at = -1
        self._result.passes += 1
        for job in self._queue.list_expired(self._now):
            self._queue.remove(job.job_id)
            self._result.missed_deadlines += 1
            self._record_wait(self._jobs.pop(job.job_id))
        for job in self._queue.begin_pass(self._now, self._ledger.reserved):
            arrival = self._jobs[job.job_id]
            request = PlacementRequest(
                job.spec,
                arrival.domain,
                self._excluded_hosts.get(job.job_id, frozenset()),
            )
            chosen = self._variant.choose(self._index, request)
            if isinstance(chosen, Assignment):
                self._queue.remove(job.job_id)
                self._start_job(arrival, chosen.hosts)

    def _start_job(self, arrival: Arrival, hosts: tuple[str, ...]) -> None:
        job_id = arrival.job_id
        self._get_start_rate(arrival.spec).record_starts(self._now)
        attempt = self._attempts.get(job_id, 0) + 1
        self._attempts[job_id] = attempt
        self._unfinished_tasks[job_id] = len(hosts)
        if attempt == 1:
            self._result.started += 1
        used_failing_hosts = self._failing_hosts.intersection(hosts)
        if not used_failing_hosts:
            self._record_wait(arrival)
        run_ms = TIME_TO_FAILURE_MS if used_failing_hosts else arrival.run_ms
        for number, name in enumerate(hosts):
            task = make_task_id(job_id, number, attempt)
            self._index.reserve(name, task, arrival.spec.demand)
            self._ledger.reserve(arrival.spec.team, arrival.spec.demand)
            domain = self._index.hosts[name].failure_domain
            self._result.tasks += 1
            self._result.remote_tasks += domain != arrival.domain
            self._schedule_event(
                self._now + run_ms,
                self._end_task,
                (name, task, name in used_failing_hosts),
            )
        self._apply_probation_limits(hosts)

    def _end_task(self, ended: tuple[str, str, bool]) -> None:
        name, task, has_failed = ended
        job_id = split_task_id(task)[0]
        arrival = self._jobs[job_id]
        self._index.release(name, task)
        self._ledger.release(arrival.spec.team, arrival.spec.demand)
        if has_failed:
            self._excluded_hosts[job_id] = self._excluded_hosts.get(
                job_id, frozenset()
            ) | {name}
        if self._variant.has_quarantine:
            self._record_health(name, job_id, has_failed)
        self._unfinished_tasks[job_id] -= 1
        if not self._unfinished_tasks[job_id]:
            self._finish_attempt(arrival)
        self._schedule_pass()

    def _finish_attempt(self, arrival: Arrival) -> None:
        job_id = arrival.job_id
        attempt = self._attempts[job_id]
        failed_hosts = self._excluded_hosts.get(job_id, frozenset())
        if len(failed_hosts) < attempt:
            del self._jobs[job_id]
            return
        self._result.failed_attempts += 1
        if attempt >= MAX_ATTEMPTS:
            self._result.failed_jobs += 1
            del self._jobs[job_id]
            return
        del self._unfinished_tasks[job_id]
        self._queue.add(job_id, arrival.spec, self._now, group=job_id)

    def _record_health(self, name: str, job_id: str, failed: bool) -> None:
        self._health.record_result(name, job_id, not failed, self._now)
        self._update_open_status(name)
        if (until := self._health.find_next_change(self._now)) is not None:
            self._schedule_event(until, self._update_all_hosts, None)

    def _update_all_hosts(self, _: None) -> None:
        for name in self._index.hosts:
            self._update_open_status(name)
        self._schedule_pass()

    def _apply_probation_limits(self, hosts: tuple[str, ...]) -> None:
        if self._variant.has_quarantine:
            for name in hosts:
                self._update_open_status(name)

    def _update_open_status(self, name: str) -> None:
        allowed = self._health.get_task_limit(name, self._now)
        running = len(self._index.list_reservations(name))
        self._index.set_open(name, allowed is None or running < allowed)

    def _record_wait(self, arrival: Arrival) -> None:
        if arrival.at < WARM_UP_MS:
            return
        waits = self._result.waits[arrival.spec.job_class]
        waits.record_value(max(1, self._now - arrival.at))
