"""A small event loop that drives the pure decisions with a job stream."""

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
from benchmarks.streams import make_hosts
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

    from benchmarks.streams import Arrival
    from benchmarks.streams import Workload
    from sassafrasgate.core.jobs import JobSpec

# Waits are counted from here on, when the hosts have filled up.
WARM_UP_MS = 15_000
# While jobs wait, a pass over the queue covers what happened in this time.
PASS_INTERVAL_MS = 5
FAILURE_MS = 50
MAX_ATTEMPTS = 3
MAX_QUEUED = 100_000


@dataclass(frozen=True, slots=True)
class Variant:
    """One way to schedule: the library's, or with one part replaced."""

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
class Outcome:
    """What one run showed; waits in ms by class."""

    waits: dict[JobClass, HdrHistogram] = field(
        default_factory=lambda: {
            job_class: HdrHistogram(1, 3_600_000, 3) for job_class in JobClass
        }
    )
    offered: int = 0
    started: int = 0
    missed: int = 0
    shed: int = 0
    tasks: int = 0
    remote_tasks: int = 0
    failed_attempts: int = 0
    failed_jobs: int = 0
    busy: float = 0.0
    passes: int = 0


class Loop:
    """One run of a stream over one set of hosts."""

    def __init__(
        self,
        workload: Workload,
        variant: Variant,
        bad_hosts: Iterable[str] = (),
    ) -> None:
        hosts = make_hosts(workload)
        self._variant = variant
        self._index = HostIndex()
        for host in hosts:
            self._index.add_host(host)
        self._capacity = workload.capacity.scale(len(hosts))
        self._ledger = QuotaLedger()
        self._health = HostHealth(len(hosts))
        self._bad_hosts = frozenset(bad_hosts)
        self._queue: Any = FifoQueue()
        if not variant.is_fifo:
            self._queue = JobQueue(workload.teams, self._capacity)
        self._events: list[tuple[int, int, Callable[..., None], Any]] = []
        self._order = count()
        self._jobs: dict[str, Arrival] = {}
        self._attempts: dict[str, int] = {}
        self._left: dict[str, int] = {}
        self._excluded: dict[str, frozenset[str]] = {}
        self._rates: dict[str, StartRate] = {}
        self._pass_at = -1
        self._now = 0
        self._outcome = Outcome()

    def run(self, arrivals: list[Arrival], horizon_ms: int) -> Outcome:
        """Return what happened until the horizon.

        A job that has not started by then counts with the time it has
        waited so far.
        """
        for arrival in arrivals:
            self._push(arrival.at, self._arrive, arrival)
        while self._events and self._events[0][0] < horizon_ms:
            at, _, handle, argument = heappop(self._events)
            self._advance(at)
            handle(argument)
        self._advance(horizon_ms)
        for job_id, arrival in self._jobs.items():
            if job_id not in self._left:
                self._note_wait(arrival)
        self._outcome.busy /= horizon_ms - WARM_UP_MS
        return self._outcome

    def _push(
        self, at: int, handle: Callable[..., None], argument: Any
    ) -> None:
        heappush(self._events, (at, next(self._order), handle, argument))

    def _advance(self, at: int) -> None:
        since = max(self._now, WARM_UP_MS)
        if at > since:
            self._outcome.busy += (at - since) * self._find_busy_share()
        self._now = max(self._now, at)

    def _find_busy_share(self) -> float:
        held = Resources()
        for amount in self._ledger.reserved.values():
            held = held + amount
        return max(
            held.millicores / self._capacity.millicores,
            held.memory_mb / self._capacity.memory_mb,
            held.slots / self._capacity.slots,
        )

    def _arrive(self, arrival: Arrival) -> None:
        self._jobs[arrival.job_id] = arrival
        self._outcome.offered += 1
        if self._variant.has_shedding and self._is_shed(arrival):
            self._outcome.shed += 1
            del self._jobs[arrival.job_id]
            return
        self._queue.add(
            arrival.job_id, arrival.spec, self._now, group='no rules'
        )
        self._plan_pass()

    def _is_shed(self, arrival: Arrival) -> bool:
        """Tell whether a job that can't start now would wait too long."""
        spec = arrival.spec
        load = AdmissionLoad(
            self._queue.count_queued(spec.team),
            MAX_QUEUED,
            len(self._queue),
            MAX_QUEUED,
            self._queue.count_ahead(spec.team, spec.job_class),
            self._find_rate(spec).compute_rate(self._now),
        )
        if check_admission(spec, load) is None:
            return False
        request = PlacementRequest(spec, arrival.domain)
        return not isinstance(
            self._variant.choose(self._index, request), Assignment
        )

    def _find_rate(self, spec: JobSpec) -> StartRate:
        key = spec.team
        if spec.job_class is JobClass.URGENT:
            key = 'urgent'
        return self._rates.setdefault(key, StartRate())

    def _plan_pass(self) -> None:
        if self._pass_at >= self._now:
            return
        delay = PASS_INTERVAL_MS if len(self._queue) > 1 else 0
        self._pass_at = self._now + delay
        self._push(self._pass_at, self._run_pass, None)

    def _run_pass(self, _: None) -> None:
        self._pass_at = -1
        self._outcome.passes += 1
        for job in self._queue.list_expired(self._now):
            self._queue.remove(job.job_id)
            self._outcome.missed += 1
            self._note_wait(self._jobs.pop(job.job_id))
        for job in self._queue.begin_pass(self._now, self._ledger.reserved):
            arrival = self._jobs[job.job_id]
            request = PlacementRequest(
                job.spec,
                arrival.domain,
                self._excluded.get(job.job_id, frozenset()),
            )
            chosen = self._variant.choose(self._index, request)
            if isinstance(chosen, Assignment):
                self._queue.remove(job.job_id)
                self._start(arrival, chosen.hosts)

    def _start(self, arrival: Arrival, hosts: tuple[str, ...]) -> None:
        job_id = arrival.job_id
        self._find_rate(arrival.spec).record_starts(self._now)
        attempt = self._attempts.get(job_id, 0) + 1
        self._attempts[job_id] = attempt
        self._left[job_id] = len(hosts)
        if attempt == 1:
            self._outcome.started += 1
        bad = self._bad_hosts.intersection(hosts)
        if not bad:
            self._note_wait(arrival)
        run_ms = FAILURE_MS if bad else arrival.run_ms
        for number, name in enumerate(hosts):
            task = make_task_id(job_id, number, attempt)
            self._index.reserve(name, task, arrival.spec.demand)
            self._ledger.reserve(arrival.spec.team, arrival.spec.demand)
            domain = self._index.hosts[name].failure_domain
            self._outcome.tasks += 1
            self._outcome.remote_tasks += domain != arrival.domain
            self._push(
                self._now + run_ms, self._end, (name, task, name in bad)
            )
        self._limit_probation(hosts)

    def _end(self, ended: tuple[str, str, bool]) -> None:
        name, task, has_failed = ended
        job_id = split_task_id(task)[0]
        arrival = self._jobs[job_id]
        self._index.release(name, task)
        self._ledger.release(arrival.spec.team, arrival.spec.demand)
        if has_failed:
            self._excluded[job_id] = self._excluded.get(
                job_id, frozenset()
            ) | {name}
        if self._variant.has_quarantine:
            self._note_health(name, job_id, has_failed)
        self._left[job_id] -= 1
        if not self._left[job_id]:
            self._finish(arrival)
        self._plan_pass()

    def _finish(self, arrival: Arrival) -> None:
        job_id = arrival.job_id
        attempt = self._attempts[job_id]
        bad = self._excluded.get(job_id, frozenset())
        if len(bad) < attempt:
            del self._jobs[job_id]
            return
        self._outcome.failed_attempts += 1
        if attempt >= MAX_ATTEMPTS:
            self._outcome.failed_jobs += 1
            del self._jobs[job_id]
            return
        del self._left[job_id]
        self._queue.add(job_id, arrival.spec, self._now, group=job_id)

    def _note_health(self, name: str, job_id: str, failed: bool) -> None:
        self._health.record_result(name, job_id, not failed, self._now)
        self._update_open(name)
        if (until := self._health.find_next_change(self._now)) is not None:
            self._push(until, self._end_quarantines, None)

    def _end_quarantines(self, _: None) -> None:
        for name in self._index.hosts:
            self._update_open(name)
        self._plan_pass()

    def _limit_probation(self, hosts: tuple[str, ...]) -> None:
        if self._variant.has_quarantine:
            for name in hosts:
                self._update_open(name)

    def _update_open(self, name: str) -> None:
        allowed = self._health.get_task_limit(name, self._now)
        running = len(self._index.list_reservations(name))
        self._index.set_open(name, allowed is None or running < allowed)

    def _note_wait(self, arrival: Arrival) -> None:
        if arrival.at < WARM_UP_MS:
            return
        waits = self._outcome.waits[arrival.spec.job_class]
        waits.record_value(max(1, self._now - arrival.at))
