"""Placement policies by job class, in a registry."""

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
from sassafrasgate.core.resources import NOTHING
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.scores import find_scarcest
from sassafrasgate.placement.scores import Weights

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from sassafrasgate.core.hosts import Host
    from sassafrasgate.placement.index import HostIndex


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a decision needs to know of a job.

    Parameters
    ----------
    spec : JobSpec
        What the caller asked for.
    local_domain : str
        Failure domain of the caller or the data; empty for no preference.
    excluded : frozenset of str
        Hosts that must not be used, for example after a failure there.
    labels : tuple of str
        Labels that a host must all carry, from the rules.
    failure_domains : tuple of str
        Where rules allow the job, besides ``spec.failure_domains``; empty
        for anywhere.
    demand : Resources
        Learned size of a task; covered with the declared one.
    tasks : int
        Number of tasks to place; 0 for all of the job's.
    occupied : tuple of str
        Hosts of the job's tasks that keep running, for spreading.
    """

    spec: JobSpec
    local_domain: str = ''
    excluded: frozenset[str] = frozenset()
    labels: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()
    demand: Resources = NOTHING
    tasks: int = 0
    occupied: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Assignment:
    """Hosts for the tasks of one attempt.

    Parameters
    ----------
    hosts : tuple of str
        One host name for each task, in task order; names may repeat.
    score : float
        Cost of the choice, lower is better; for logs.
    candidates : int
        Number of open hosts that had enough of the scarcest resource for a
        task; for several tasks, of all resources.
    """

    hosts: tuple[str, ...]
    score: float
    candidates: int


POLICIES: Registry[
    JobClass, Callable[[HostIndex, PlacementRequest], Assignment | None]
] = Registry('job class policy')

# A caller waits for quick and urgent work, so local hosts go first however
# they fit. Batch work and gangs take a hop when it saves a quarter of a host.
WAITING_WEIGHTS = Weights(hop=2.0)
BATCH_WEIGHTS = Weights(hop=0.25)
GANG_WEIGHTS = Weights(hop=0.25, domain=-0.5, rack=-0.25)
# The loss of a domain, a rack or a host should take the fewest tasks of a
# service, in this order; each cost outweighs all below it.
SERVICE_WEIGHTS = Weights(hop=0.5, domain=100.0, rack=10.0, host=2.0)


@POLICIES.register(JobClass.QUICK)
def place_quick(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place a quick request: local before well packed."""
    return place_one(index, request, WAITING_WEIGHTS)


@POLICIES.register(JobClass.URGENT)
def place_urgent(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place urgent work: local before well packed."""
    return place_one(index, request, WAITING_WEIGHTS)


@POLICIES.register(JobClass.BATCH)
def place_batch(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place batch work: well packed, local when that costs little."""
    return place_one(index, request, BATCH_WEIGHTS)


@POLICIES.register(JobClass.SERVICE)
def place_service(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place a service: spread over domains, then racks, then hosts."""
    return place_together(index, request, SERVICE_WEIGHTS)


@POLICIES.register(JobClass.GANG)
def place_gang(
    index: HostIndex, request: PlacementRequest
) -> Assignment | None:
    """Place a gang: close together, all or nothing."""
    return place_together(index, request, GANG_WEIGHTS)


def choose_hosts(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Choose a host for each task of a job, all or nothing.

    Returns
    -------
    Assignment or Refusal
        A refusal is `RefusalKind.FITS_NOWHERE` when the hosts of the index
        could not hold the tasks even when empty, otherwise
        `RefusalKind.NO_ROOM`. Nothing is reserved.
    """
    policy = POLICIES.find(request.spec.job_class)
    return policy(index, request) or explain_refusal(index, request)


def find_demand(request: PlacementRequest) -> Resources:
    """Return what each task reserves: never less than was declared."""
    if request.demand is NOTHING:
        return request.spec.demand
    return request.spec.demand.cover(request.demand)


def is_allowed(host: Host, request: PlacementRequest) -> bool:
    """Tell whether rules and the caller allow a host for a job."""
    domains = request.spec.failure_domains
    if domains and host.failure_domain not in domains:
        return False
    domains = request.failure_domains
    if domains and host.failure_domain not in domains:
        return False
    return all(label in host.labels for label in request.labels)


def fits_inventory(hosts: Iterable[Host], request: PlacementRequest) -> bool:
    """Tell whether empty hosts could hold all tasks of a job together.

    Usable with the hosts of one shard or of the whole cell.
    """
    demand = find_demand(request)
    missing = request.tasks or request.spec.tasks
    for host in hosts:
        if not is_allowed(host, request):
            continue
        missing -= count_fitting(demand, host.capacity, missing)
        if missing <= 0:
            return True
    return False


def count_fitting(demand: Resources, room: Resources, most: int) -> int:
    """Return how many times a demand fits in some room, at most ``most``."""
    count = most
    for need, have in (
        (demand.millicores, room.millicores),
        (demand.memory_mb, room.memory_mb),
        (demand.accelerators, room.accelerators),
        (demand.slots, room.slots),
        (demand.connections, room.connections),
    ):
        if have < 0:
            return 0
        if need > 0:
            count = min(count, have // need)
    return count


def place_one(
    index: HostIndex, request: PlacementRequest, weights: Weights
) -> Assignment | None:
    """Place a single task by best fit over the scarcest resource.

    In each domain, the index yields the host that is left with least of
    that resource; the cost of a hop decides between the domains.
    """
    demand = find_demand(request)
    resource = find_scarcest(demand, index.total_free())
    whole = getattr(index.find_largest_capacity(), resource) or 1
    need = getattr(demand, resource)
    is_usable = _make_filter(index, request)
    found = []
    for domain in index.list_domains():
        tightest = index.find_tightest(domain, resource, demand, is_usable)
        if tightest is None:
            continue
        score = (tightest[0] - need) / whole
        if request.local_domain and domain != request.local_domain:
            score += weights.hop
        found.append((score, tightest[1]))
    if not found:
        return None
    score, name = min(found)
    return Assignment((name,), score, index.count_open(resource, need))


def place_together(
    index: HostIndex, request: PlacementRequest, weights: Weights
) -> Assignment | None:
    """Place several tasks, one by one, all or nothing.

    Each rack keeps its hosts in a heap by fit, since only the fit of a
    chosen host changes; a task then costs one comparison for each rack.
    """
    demand = find_demand(request)
    count = request.tasks or request.spec.tasks
    table = _RackTable(index, request, weights, demand)
    candidates = table.count_hosts()
    chosen = []
    total = 0.0
    for _ in range(count):
        best = table.take_best()
        if best is None:
            return None
        total += best[0]
        chosen.append(best[1])
    return Assignment(tuple(chosen), total, candidates)


class _RackTable:
    """Hosts with room by rack, while one job's tasks are placed."""

    def __init__(
        self,
        index: HostIndex,
        request: PlacementRequest,
        weights: Weights,
        demand: Resources,
    ) -> None:
        self._hosts = index.hosts
        self._weights = weights
        self._demand = demand
        self._local = request.local_domain
        self._resource = find_scarcest(demand, index.total_free())
        largest = index.find_largest_capacity()
        self._whole = getattr(largest, self._resource) or 1
        self._near = Counter[str]()
        self._free: dict[str, Resources] = {}
        self._racks: dict[tuple[str, str], list[tuple[float, str]]] = {}
        for name in request.occupied:
            if name in self._hosts:
                self._count_near(name)
        self._fill(index, _make_filter(index, request))

    def count_hosts(self) -> int:
        return len(self._free)

    def take_best(self) -> tuple[float, str] | None:
        """Return cost and name of the best host, and place a task there."""
        if not self._racks:
            return None
        cost, rack = min(
            (heap[0][0] + self._find_rack_cost(rack), rack)
            for rack, heap in self._racks.items()
        )
        heap = self._racks[rack]
        name = heap[0][1]
        self._count_near(name)
        self._free[name] = self._free[name] - self._demand
        if self._demand.fits_in(self._free[name]):
            heapreplace(heap, (self._find_host_cost(name), name))
            return cost, name
        heappop(heap)
        if not heap:
            del self._racks[rack]
        return cost, name

    def _fill(
        self, index: HostIndex, is_usable: Callable[[str], bool] | None
    ) -> None:
        free = index.open_free
        for name in index.list_fitting(self._demand):
            if is_usable is not None and not is_usable(name):
                continue
            self._free[name] = free[name]
            host = self._hosts[name]
            heap = self._racks.setdefault((host.failure_domain, host.rack), [])
            heap.append((self._find_host_cost(name), name))
        for heap in self._racks.values():
            heapify(heap)

    def _count_near(self, name: str) -> None:
        host = self._hosts[name]
        self._near[f'domain {host.failure_domain}'] += 1
        self._near[f'rack {host.rack}'] += 1
        self._near[f'host {name}'] += 1

    def _find_host_cost(self, name: str) -> float:
        left: int = getattr(self._free[name], self._resource)
        left -= getattr(self._demand, self._resource)
        near = self._near[f'host {name}'] if self._near else 0
        return left / self._whole + self._weights.host * near

    def _find_rack_cost(self, rack: tuple[str, str]) -> float:
        domain, name = rack
        cost = 0.0
        if self._local and domain != self._local:
            cost = self._weights.hop
        return (
            cost
            + self._weights.domain * self._near[f'domain {domain}']
            + self._weights.rack * self._near[f'rack {name}']
        )


def _make_filter(
    index: HostIndex, request: PlacementRequest
) -> Callable[[str], bool] | None:
    """Return what tells whether a host may be used; None when all may."""
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


def explain_refusal(index: HostIndex, request: PlacementRequest) -> Refusal:
    """Return why a request can't be placed: never, or not now."""
    count = request.tasks or request.spec.tasks
    tasks = f'{count} tasks of {find_demand(request)!r}'
    if fits_inventory(index.hosts.values(), request):
        return Refusal(
            RefusalKind.NO_ROOM,
            f'no room now for {tasks} on {len(index.hosts)} hosts',
            'wait for running work to end, or ask for less',
        )
    return Refusal(
        RefusalKind.FITS_NOWHERE,
        f'no hosts of {len(index.hosts)} could ever hold {tasks}',
        'ask for less per task, or relax failure domains and labels',
    )
