"""Baseline scheduling algorithms that the library is compared with."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.placement.policies import Assignment
from sassafrasgate.placement.policies import build_refusal
from sassafrasgate.placement.policies import choose_hosts
from sassafrasgate.placement.policies import compute_demand
from sassafrasgate.placement.policies import is_allowed
from sassafrasgate.placement.queues import QueuedJob

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from sassafrasgate.core.errors import Refusal
    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.placement.index import HostIndex
    from sassafrasgate.placement.policies import PlacementRequest

RESOURCE_NAMES = (
    'millicores',
    'memory_mb',
    'accelerators',
    'slots',
    'connections',
)


class FifoQueue:
    """A first-come, first-served queue, shared by all teams.

    A pass ends at the first job that can't be placed (head-of-line blocking).
    The methods have the parameters of those of `JobQueue`.
    """

    def __init__(self) -> None:
        self._jobs: dict[str, QueuedJob] = {}

    def add(
        self, job_id: str, spec: JobSpec, now: int, group: object = None
    ) -> None:
        """Append a job to the queue; ``now`` is in ms."""
        expires_at = float('inf')
        if spec.deadline_s:
            expires_at = now + spec.deadline_s * 1000
        self._jobs[job_id] = QueuedJob(job_id, spec, now, expires_at)

    def remove(self, job_id: str) -> bool:
        """Remove a started or cancelled job; return False if not queued."""
        return self._jobs.pop(job_id, None) is not None

    def begin_pass(
        self, now: int, reserved: object = None
    ) -> Iterator[QueuedJob]:
        """Yield jobs in order until one isn't removed by the caller."""
        while self._jobs:
            job = next(iter(self._jobs.values()))
            yield job
            if job.job_id in self._jobs:
                return

    def list_expired(self, now: int) -> list[QueuedJob]:
        """Return the jobs whose deadline has passed."""
        return [job for job in self._jobs.values() if job.expires_at <= now]

    def __len__(self) -> int:
        return len(self._jobs)


def choose_first_fit(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Choose for each task the first host in inventory order that fits."""
    return _choose_by_scan(index, request, lambda name, free: 0)


def choose_best_fit_by_scan(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Choose the best-fitting host by a scan over all hosts.

    The cost of a host is that which the library uses for a single task: the
    mean free share, plus a fixed cost for another failure domain.
    """
    hosts = index.hosts
    remote_cost = 2.0 if request.spec.deadline_s else 0.25

    def compute_cost(name: str, free: Resources) -> float:
        cost = index.compute_mean_share(free)
        if hosts[name].failure_domain != request.local_domain:
            cost += remote_cost
        return cost

    return _choose_by_scan(index, request, compute_cost)


def choose_by_scarcest_resource(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Choose the host with the smallest free amount of the scarcest resource.

    The scarcest resource is the demanded one whose free amount on all hosts
    is enough for the fewest tasks of this demand.
    """
    demand = compute_demand(request)
    total = index.sum_free()
    resource = min(
        (name for name in RESOURCE_NAMES if getattr(demand, name)),
        key=lambda name: getattr(total, name) / getattr(demand, name),
    )
    return _choose_by_scan(
        index, request, lambda name, free: getattr(free, resource)
    )


def choose_without_locality(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Choose as the library does, but without preferring a failure domain."""
    return choose_hosts(index, replace(request, local_domain=''))


def _choose_by_scan(
    index: HostIndex,
    request: PlacementRequest,
    compute_cost: Callable[[str, Resources], float],
) -> Assignment | Refusal:
    demand = compute_demand(request)
    free_by_host = {
        name: free
        for name, free in index.free_on_open_hosts.items()
        if demand.fits_in(free)
        and name not in request.excluded
        and is_allowed(index.hosts[name], request)
    }
    candidates = len(free_by_host)
    chosen: list[str] = []
    for _ in range(request.tasks or request.spec.tasks):
        if not free_by_host:
            return build_refusal(index, request)
        name = min(
            free_by_host,
            key=lambda name: compute_cost(name, free_by_host[name]),
        )
        chosen.append(name)
        free_by_host[name] = free_by_host[name] - demand
        if not demand.fits_in(free_by_host[name]):
            del free_by_host[name]
    return Assignment(tuple(chosen), 0.0, candidates)
