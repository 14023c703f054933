"""Placement policies by job class, in a registry."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import NOTHING
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.scores import find_scarcest
from sassafrasgate.placement.scores import find_share

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

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
        Number of hosts that the first task fitted on.
    """

    hosts: tuple[str, ...]
    score: float
    candidates: int


@dataclass(frozen=True, slots=True)
class Policy:
    """Weights of one job class; all costs add up, the lowest wins.

    Parameters
    ----------
    hop_cost : float
        Cost of a host outside the local failure domain. The fit costs 0 to
        1, so a cost above 1 makes locality decide and a lower one lets a
        clearly better fit win.
    domain_cost, rack_cost, host_cost : float
        Cost for each of the job's tasks that is already in the same
        failure domain, rack or host; negative to keep tasks together.
    """

    hop_cost: float = 0.0
    domain_cost: float = 0.0
    rack_cost: float = 0.0
    host_cost: float = 0.0


POLICIES: Registry[JobClass, Callable[[], Policy]] = Registry(
    'job class policy'
)


@POLICIES.register(JobClass.QUICK)
def make_quick_policy() -> Policy:
    """Return the policy for callers that wait: local before well packed."""
    return Policy(hop_cost=2.0)


@POLICIES.register(JobClass.URGENT)
def make_urgent_policy() -> Policy:
    """Return the policy for urgent work: local before well packed."""
    return Policy(hop_cost=2.0)


@POLICIES.register(JobClass.SERVICE)
def make_service_policy() -> Policy:
    """Return the policy for services: spread over domains, then racks."""
    return Policy(
        hop_cost=0.5, domain_cost=100.0, rack_cost=10.0, host_cost=2.0
    )


@POLICIES.register(JobClass.BATCH)
def make_batch_policy() -> Policy:
    """Return the policy for batch work: packed, local when alike."""
    return Policy(hop_cost=0.25)


@POLICIES.register(JobClass.GANG)
def make_gang_policy() -> Policy:
    """Return the policy for gangs: close together, all or nothing."""
    return Policy(hop_cost=0.25, domain_cost=-0.5, rack_cost=-0.25)


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
    policy = POLICIES.find(request.spec.job_class)()
    demand = find_demand(request)
    count = request.tasks or request.spec.tasks
    free = _list_free(index, request, demand)
    if not free:
        return _explain_refusal(index, request, demand, count)
    chosen = _place_tasks(index, request, policy, demand, count, free)
    if chosen is None:
        return _explain_refusal(index, request, demand, count)
    return Assignment(*chosen, candidates=len(free))


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


def _list_free(
    index: HostIndex, request: PlacementRequest, demand: Resources
) -> dict[str, Resources]:
    hosts = index.hosts
    excluded = request.excluded
    unconstrained = not (
        request.labels
        or request.failure_domains
        or request.spec.failure_domains
    )
    return {
        name: free
        for name, free in index.open_free.items()
        if demand.fits_in(free)
        and name not in excluded
        and (unconstrained or is_allowed(hosts[name], request))
    }


def _place_tasks(
    index: HostIndex,
    request: PlacementRequest,
    policy: Policy,
    demand: Resources,
    count: int,
    free: dict[str, Resources],
) -> tuple[tuple[str, ...], float] | None:
    scarcest = find_scarcest(demand, index.total_free())
    hosts = index.hosts
    near = [hosts[name] for name in request.occupied if name in hosts]
    room = dict(free) if count > 1 else free
    chosen: list[str] = []
    total = 0.0
    while len(chosen) < count:
        if not room:
            return None
        counts = _count_near(near, policy)
        score, name = min(
            (
                find_share(left, demand, scarcest, hosts[name].capacity)
                + _find_cost(hosts[name], request, policy, counts),
                name,
            )
            for name, left in room.items()
        )
        chosen.append(name)
        total += score
        if len(chosen) == count:
            break
        near.append(hosts[name])
        room[name] = room[name] - demand
        if not demand.fits_in(room[name]):
            del room[name]
    return tuple(chosen), total


def _count_near(near: list[Host], policy: Policy) -> Mapping[str, float]:
    """Return the cost of each domain, rack and host with the job's tasks."""
    costs: dict[str, float] = {}
    for host in near:
        for key, cost in (
            (f'd:{host.failure_domain}', policy.domain_cost),
            (f'r:{host.rack}', policy.rack_cost),
            (f'h:{host.name}', policy.host_cost),
        ):
            costs[key] = costs.get(key, 0.0) + cost
    return costs


def _find_cost(
    host: Host,
    request: PlacementRequest,
    policy: Policy,
    near: Mapping[str, float],
) -> float:
    cost = 0.0
    if request.local_domain and host.failure_domain != request.local_domain:
        cost = policy.hop_cost
    if not near:
        return cost
    return (
        cost
        + near.get(f'd:{host.failure_domain}', 0.0)
        + near.get(f'r:{host.rack}', 0.0)
        + near.get(f'h:{host.name}', 0.0)
    )


def _explain_refusal(
    index: HostIndex,
    request: PlacementRequest,
    demand: Resources,
    count: int,
) -> Refusal:
    tasks = f'{count} tasks of {demand!r}'
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
