"""Simple ways to schedule that the library must beat."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.placement.policies import Assignment
from sassafrasgate.placement.policies import build_refusal
from sassafrasgate.placement.policies import choose_hosts
from sassafrasgate.placement.policies import compute_demand
from sassafrasgate.placement.policies import is_allowed
from sassafrasgate.placement.queues import QueuedJob
from sassafrasgate.placement.scores import RESOURCE_NAMES

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from sassafrasgate.core.errors import Refusal
    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.placement.index import HostIndex
    from sassafrasgate.placement.policies import PlacementRequest


class FifoQueue:
    """First come, first served over all teams; the first job blocks."""

    def __init__(self) -> None:
        self._jobs: dict[str, QueuedJob] = {}

    def add(
        self, job_id: str, spec: JobSpec, now: int, group: object = None
    ) -> None:
        """Add a job at the end."""
        expires_at = float('inf')
        if spec.deadline_s:
            expires_at = now + spec.deadline_s * 1000
        self._jobs[job_id] = QueuedJob(job_id, spec, now, expires_at)

    def remove(self, job_id: str) -> bool:
        """Remove a job."""
        return self._jobs.pop(job_id, None) is not None

    def begin_pass(
        self, now: int, reserved: object = None
    ) -> Iterator[QueuedJob]:
        """Offer jobs until one is refused."""
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
    """Take for each task the first host, in inventory order, with room."""
    return _choose_by_scan(index, request, lambda name, free: 0)


def choose_best_fit_by_scan(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Choose like the library does for one task, but look at all hosts."""
    hosts = index.hosts
    hop = 2.0 if request.spec.deadline_s else 0.25

    def find_cost(name: str, free: Resources) -> float:
        cost = index.compute_mean_share(free)
        if hosts[name].failure_domain != request.local_domain:
            cost += hop
        return cost

    return _choose_by_scan(index, request, find_cost)


def choose_by_scarcest(
    index: HostIndex, request: PlacementRequest
) -> Assignment | Refusal:
    """Take the host that is left with least of the scarcest resource.

    That is the demanded one of which all hosts together have room for the
    fewest such tasks.
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
    """Choose as if all failure domains were equally near."""
    return choose_hosts(index, replace(request, local_domain=''))


def _choose_by_scan(
    index: HostIndex,
    request: PlacementRequest,
    find_cost: Callable[[str, Resources], float],
) -> Assignment | Refusal:
    demand = compute_demand(request)
    room = {
        name: free
        for name, free in index.free_on_open_hosts.items()
        if demand.fits_in(free)
        and name not in request.excluded
        and is_allowed(index.hosts[name], request)
    }
    candidates = len(room)
    chosen: list[str] = []
    for _ in range(request.tasks or request.spec.tasks):
        if not room:
            return build_refusal(index, request)
        name = min(room, key=lambda name: find_cost(name, room[name]))
        chosen.append(name)
        room[name] = room[name] - demand
        if not demand.fits_in(room[name]):
            del room[name]
    return Assignment(tuple(chosen), 0.0, candidates)
