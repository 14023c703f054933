"""Placement policies, registered by job class."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heapreplace
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.scores import ScoreWeights

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafrasgate.core.hosts import Host
    from sassafrasgate.placement.index import HostIndex


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A job to place, with the constraints on its hosts.

    Parameters
    ----------
    spec : JobSpec
        The job as it was submitted.
    local_domain : str
        Failure domain of the caller or of its data, which is preferred;
        empty for no preference.
    excluded : frozenset of str
        Hosts that must not be used, for example after a failure there.
    labels : tuple of str
        Labels required by the rules; a host must have all of them.
    failure_domains : tuple of str
        Failure domains to which the rules restrict the job, in addition to
        ``spec.failure_domains``; empty for no restriction.
    demand : Resources
        Estimated demand of one task. The declared demand applies to each
        resource for which it is larger.
    tasks : int
        Number of tasks to place; 0 for all tasks of the job.
    occupied : tuple of str
        Hosts of the job's running tasks, which count when tasks are spread
        or kept together.
    """

    spec: JobSpec
    local_domain: str = ''
    excluded: frozenset[str] = frozenset()
    labels: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()
    demand: Resources = NO_RESOURCES
    tasks: int = 0
    occupied: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Assignment:
    """Hosts chosen for the tasks of one attempt.

    Parameters
    ----------
    hosts : tuple of str
        One host name for each task, in task order; names may repeat.
    score : float
        Cost of the choice, for logs; lower is better.
    candidates : int
        Number of hosts that were considered. For one task, these are the
        open hosts whose mean free share is large enough; for several
        tasks, the usable open hosts where at least one fits.
    """

    hosts: tuple[str, ...]
    score: float
    candidates: int


POLICIES: Registry[
    JobClass, Callable[[HostIndex, PlacementRequest], Assignment | None]
] = Registry('job class policy')

# A caller waits for quick and urgent jobs, so a local host is preferred
# regardless of the fit. Batch jobs and gangs use a remote host if its mean
# free share is lower by a quarter of the largest host.
INTERACTIVE_WEIGHTS = ScoreWeights(remote=2.0)
BATCH_WEIGHTS = ScoreWeights(remote=0.25)
GANG_WEIGHTS = ScoreWeights(remote=0.25, domain=-0.5, rack=-0.25)
# The failure of a domain should end as few tasks of a service as possible,
# then that of a rack, then that of a host. One more task in a domain therefore
# costs more than several in a rack, and one more in a rack more than several
# on a host. The fit costs at most 1.
SERVICE_WEIGHTS = ScoreWeights(remote=0.5, domain=100.0, rack=10.0, host=2.0)


@POLICIES.register(JobClass.QUICK)
def place_quick(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place a quick job; locality takes precedence over packing."""
    return place_single(index, request, INTERACTIVE_WEIGHTS)


@POLICIES.register(JobClass.URGENT)
def place_urgent(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place an urgent job; locality takes precedence over packing."""
    return place_single(index, request, INTERACTIVE_WEIGHTS)


@POLICIES.register(JobClass.BATCH)
def place_batch(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place a batch job; a remote host must be a clearly better fit."""
    return place_single(index, request, BATCH_WEIGHTS)


@POLICIES.register(JobClass.SERVICE)
def place_service(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place a service, spread over domains, then racks, then hosts."""
    return place_group(index, request, SERVICE_WEIGHTS)


@POLICIES.register(JobClass.GANG)
def place_gang(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place all tasks of a gang close together, or none."""
    return place_group(index, request, GANG_WEIGHTS)


def choose_hosts(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Choose a host for each task of a job; reserve nothing.

    Returns
    -------
    Assignment or Refusal
        A refusal if not all tasks can be placed. Its kind is
        `RefusalKind.FITS_NOWHERE` when the hosts of the index could not
        hold the tasks even if they were empty, otherwise
        `RefusalKind.NO_ROOM`.
    """
    policy = POLICIES.find(request.spec.job_class)
    return policy(index, request) or build_refusal(index, request)


def compute_demand(request: PlacementRequest) -> Resources:
    """Return the resources to reserve per task, at least those declared."""
    if request.demand is NO_RESOURCES:
        return request.spec.demand
    return request.spec.demand.take_maximum(request.demand)


def is_allowed(host: Host, request: PlacementRequest) -> bool:
    """Return whether the rules and the job's constraints allow a host."""
    domains = request.spec.failure_domains
    if domains and host.failure_domain not in domains:
        return False
    domains = request.failure_domains
    if domains and host.failure_domain not in domains:
        return False
    return all(label in host.labels for label in request.labels)


def fits_inventory(hosts: Iterable[Host], request: PlacementRequest) -> bool:
    """Return whether the hosts, if empty, could hold all tasks of a job.

    ``hosts`` may be those of one shard or of the whole cell.
    """
    demand = compute_demand(request)
    unplaced = request.tasks or request.spec.tasks
    for host in hosts:
        if not is_allowed(host, request):
            continue
        unplaced -= count_fitting(demand, host.capacity, unplaced)
        if unplaced <= 0:
            return True
    return False


def count_fitting(demand: Resources, available: Resources, limit: int) -> int:
    """Return how many times ``demand`` fits, at most ``limit``."""
    count = limit
    for demanded, free in (
        (demand.millicores, available.millicores),
        (demand.memory_mb, available.memory_mb),
        (demand.accelerators, available.accelerators),
        (demand.slots, available.slots),
        (demand.connections, available.connections),
    ):
        if free < 0:
            return 0
        if demanded > 0:
            count = min(count, free // demanded)
    return count


def place_single(
    index: HostIndex, request: PlacementRequest, weights: ScoreWeights
) -> Assignment | None:
    """Place a single task by best fit.

    The index returns the fullest suitable host of each failure domain. The
    cost of a remote host is then added to those outside the local domain.
    """
    demand = compute_demand(request)
    is_usable = _make_filter(index, request)
    local = request.local_domain
    found = []
    for domain in index.list_domains():
        best_fit = index.find_best_fit(domain, demand, is_usable)
        if best_fit is None:
            continue
        score, name = best_fit
        if local and domain != local:
            score += weights.remote
        found.append((score, name))
    if not found:
        return None
    score, name = min(found)
    return Assignment(
        (name,),
        score - index.compute_mean_share(demand),
        index.count_candidates(demand),
    )


def place_group(
    index: HostIndex, request: PlacementRequest, weights: ScoreWeights
) -> Assignment | None:
    """Place several tasks one after the other; all of them or none."""
    demand = compute_demand(request)
    count = request.tasks or request.spec.tasks
    heaps = _HostHeaps(index, request, weights, demand)
    candidates = heaps.count_hosts()
    chosen = []
    total = 0.0
    for _ in range(count):
        best = heaps.place_on_best()
        if best is None:
            return None
        total += best[0]
        chosen.append(best[1])
    return Assignment(tuple(chosen), total, candidates)


class _HostHeaps:
    """Suitable hosts, by cost, while the tasks of one job are placed.

    The hosts of each rack and the racks of each domain are kept in heaps,
    since placing a task changes only the costs of its own host, rack and
    domain. Each task takes one comparison per domain and two heap
    operations.
    """

    def __init__(
        self,
        index: HostIndex,
        request: PlacementRequest,
        weights: ScoreWeights,
        demand: Resources,
    ) -> None:
        self._hosts = index.hosts
        self._compute_mean_share = index.compute_mean_share
        self._weights = weights
        self._demand = demand
        self._local = request.local_domain
        self._tasks_by_domain = Counter[str]()
        self._tasks_by_rack = Counter[str]()
        self._tasks_by_host = Counter[str]()
        self._host_heaps: dict[str, dict[str, list[tuple[float, str]]]] = {}
        self._free = _list_usable(index, request, demand)
        for name in request.occupied:
            if name in self._hosts:
                self._count_task(self._hosts[name])
        for name in self._free:
            self._add_host(self._hosts[name])
        self._rack_heaps = {
            domain: self._make_rack_heap(racks)
            for domain, racks in self._host_heaps.items()
        }

    def count_hosts(self) -> int:
        """Return the number of hosts where at least one task fits."""
        return len(self._free)

    def place_on_best(self) -> tuple[float, str] | None:
        """Place a task on the cheapest host; return the cost and the host."""
        costs = [
            (self._compute_domain_cost(domain) + rack_heap[0][0], domain)
            for domain, rack_heap in self._rack_heaps.items()
            if rack_heap
        ]
        if not costs:
            return None
        cost, domain = min(costs)
        rack_heap = self._rack_heaps[domain]
        rack = rack_heap[0][1]
        host_heap = self._host_heaps[domain][rack]
        name = host_heap[0][1]
        self._count_task(self._hosts[name])
        self._free[name] = self._free[name] - self._demand
        if self._demand.fits_in(self._free[name]):
            heapreplace(host_heap, (self._compute_host_cost(name), name))
        else:
            heappop(host_heap)
        if host_heap:
            heapreplace(
                rack_heap, (self._compute_rack_cost(rack, host_heap), rack)
            )
        else:
            heappop(rack_heap)
        return cost, name

    def _add_host(self, host: Host) -> None:
        racks = self._host_heaps.setdefault(host.failure_domain, {})
        host_heap = racks.setdefault(host.rack, [])
        host_heap.append((self._compute_host_cost(host.name), host.name))

    def _make_rack_heap(
        self, racks: dict[str, list[tuple[float, str]]]
    ) -> list[tuple[float, str]]:
        for host_heap in racks.values():
            heapify(host_heap)
        rack_heap = [
            (self._compute_rack_cost(rack, host_heap), rack)
            for rack, host_heap in racks.items()
        ]
        heapify(rack_heap)
        return rack_heap

    def _count_task(self, host: Host) -> None:
        self._tasks_by_domain[host.failure_domain] += 1
        self._tasks_by_rack[host.rack] += 1
        self._tasks_by_host[host.name] += 1

    def _compute_domain_cost(self, domain: str) -> float:
        cost = self._weights.domain * self._tasks_by_domain[domain]
        if self._local and domain != self._local:
            cost += self._weights.remote
        return cost

    def _compute_rack_cost(
        self, rack: str, host_heap: list[tuple[float, str]]
    ) -> float:
        return host_heap[0][0] + self._weights.rack * self._tasks_by_rack[rack]

    def _compute_host_cost(self, name: str) -> float:
        # The share of the demand is the same on all hosts and is left out.
        cost = self._compute_mean_share(self._free[name])
        if co_located := self._tasks_by_host.get(name):
            cost += self._weights.host * co_located
        return cost


def _list_usable(
    index: HostIndex, request: PlacementRequest, demand: Resources
) -> dict[str, Resources]:
    """Return the free resources of each host that may run a task."""
    is_usable = _make_filter(index, request)
    free = index.free_on_open_hosts
    return {
        name: free[name]
        for name in index.list_fitting(demand)
        if is_usable is None or is_usable(name)
    }


def _make_filter(
    index: HostIndex, request: PlacementRequest
) -> Callable[[str], bool] | None:
    """Return a predicate for usable host names; None if all are usable."""
    excluded = request.excluded
    if not (
        excluded
        or request.labels
        or request.failure_domains
        or request.spec.failure_domains
    ):
        return None
    hosts = index.hosts
    return lambda name: (
        name not in excluded and is_allowed(hosts[name], request)
    )


def build_refusal(index: HostIndex, request: PlacementRequest) -> Refusal:
    """Return the refusal of a request: fits nowhere, or no free capacity."""
    count = request.tasks or request.spec.tasks
    tasks = f'{count} tasks of {compute_demand(request)!r}'
    if fits_inventory(index.hosts.values(), request):
        return Refusal(
            RefusalKind.NO_ROOM,
            f'no free capacity now for {tasks} on {len(index.hosts)} hosts',
            'wait for running work to end, or ask for less',
        )
    return Refusal(
        RefusalKind.FITS_NOWHERE,
        f'none of the {len(index.hosts)} hosts could ever hold {tasks}',
        'ask for less per task, or relax failure domains and labels',
    )
