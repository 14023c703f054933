"""Queue of waiting jobs, ordered by weighted fairness among teams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable
from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush
from heapq import heapreplace
from itertools import count
from math import inf
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.shares import compute_weighted_share

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from sassafrasgate.core.cells import Team

CLASS_ORDER = {
    JobClass.URGENT: 0,
    JobClass.QUICK: 1,
    JobClass.SERVICE: 2,
    JobClass.GANG: 3,
    JobClass.BATCH: 4,
}

# Limits of one stage of a pass: jobs that are refused, and job shapes that are
# skipped because a job that needs no more was refused. They are divided evenly
# among the teams, so that one team cannot use up the pass of the others. The
# next pass continues with the remaining shapes, so the limits delay jobs but
# never starve them.
MAX_REFUSALS = 64
MAX_SKIPPED_SHAPES = 256
_MIN_REFUSALS = 4
_MIN_SKIPPED_SHAPES = 16

# Entries of removed jobs are deleted when they reach the top of a heap, or
# all at once when they outnumber the entries of queued jobs by this many, so
# that small queues are not rebuilt often.
_MIN_STALE_ENTRIES = 64

_SortKey = tuple[int, int, float, int]
_NO_RESERVATIONS: dict[str, Resources] = {}


@dataclass(frozen=True, slots=True, eq=False)
class QueuedJob:
    """A job in the queue.

    Parameters
    ----------
    job_id : str
        Id of the job, unique in the queue.
    spec : JobSpec
        The job as it was submitted.
    queued_at : int
        When the job was added, in ms of the shard owner's clock.
    expires_at : float
        Deadline for the start of the job, in ms; infinity if it has
        none.
    """

    job_id: str
    spec: JobSpec
    queued_at: int
    expires_at: float


@dataclass(frozen=True, slots=True, eq=False)
class _JobShape:
    """Group, demand and number of tasks that jobs of a team have in common.

    Jobs of the same shape fit on the same hosts, so if one is refused, so
    are the others. A team queue has a single object for each shape; shapes
    are compared and hashed by identity, which is faster than by value.
    """

    group: Hashable
    demand: Resources
    tasks: int

    def covers(self, other: _JobShape) -> bool:
        """Return whether this shape needs at least as much as ``other``."""
        return self.tasks >= other.tasks and other.demand.fits_in(self.demand)


class _TeamQueue:
    """Jobs of one team in one stage: a heap of jobs for each shape.

    ``heads`` is a heap of the first jobs of the shapes that are not
    deferred. Its outdated entries differ from ``head_keys`` and are skipped.
    """

    def __init__(self) -> None:
        self.shapes: dict[tuple[Hashable, Resources, int], _JobShape] = {}
        self.buckets: dict[_JobShape, list[tuple[_SortKey, QueuedJob]]] = {}
        self.heads: list[tuple[_SortKey, int, _JobShape]] = []
        self.head_keys: dict[_JobShape, _SortKey] = {}
        self.deferred: set[_JobShape] = set()
        self.limit_reached = False
        self.live_count = 0
        self.stale_count = 0
        self._tie_breaker = count()

    def add(self, group: Hashable, key: _SortKey, job: QueuedJob) -> None:
        self.live_count += 1
        spec = job.spec
        shape = self.shapes.setdefault(
            (group, spec.demand, spec.tasks),
            _JobShape(group, spec.demand, spec.tasks),
        )
        bucket = self.buckets.setdefault(shape, [])
        heappush(bucket, (key, job))
        if bucket[0][0] == key and shape not in self.deferred:
            self._push_head(shape, key)

    def find_first(
        self, jobs: Mapping[str, QueuedJob], now: int
    ) -> tuple[_JobShape, QueuedJob] | None:
        """Return the first job whose shape is not deferred, and its shape."""
        while self.heads:
            key, _, shape = self.heads[0]
            if self.head_keys.get(shape) != key:
                heappop(self.heads)
                continue
            bucket = self._prune(shape, jobs, now)
            if not bucket:
                heappop(self.heads)
                del self.head_keys[shape]
                continue
            first_key, job = bucket[0]
            if first_key == key:
                return shape, job
            self.head_keys[shape] = first_key
            heapreplace(
                self.heads, (first_key, next(self._tie_breaker), shape)
            )
        return None

    def defer(self, shape: _JobShape) -> None:
        """Exclude the shape of the first job until `restore_deferred`."""
        del self.head_keys[shape]
        heappop(self.heads)
        self.deferred.add(shape)

    def restore_deferred(self) -> None:
        """Include all deferred shapes again."""
        deferred, self.deferred = self.deferred, set()
        for shape in deferred:
            if bucket := self.buckets.get(shape):
                self._push_head(shape, bucket[0][0])

    def drop_stale(self, jobs: Mapping[str, QueuedJob]) -> None:
        """Rebuild all heaps without the entries of removed jobs."""
        self.stale_count = 0
        self.heads = []
        self.head_keys = {}
        old, self.buckets = self.buckets, {}
        for shape, bucket in old.items():
            live = [
                item for item in bucket if jobs.get(item[1].job_id) is item[1]
            ]
            if not live:
                self._remove_shape(shape)
                continue
            heapify(live)
            self.buckets[shape] = live
            if shape not in self.deferred:
                self._push_head(shape, live[0][0])

    def _push_head(self, shape: _JobShape, key: _SortKey) -> None:
        self.head_keys[shape] = key
        heappush(self.heads, (key, next(self._tie_breaker), shape))

    def _prune(
        self, shape: _JobShape, jobs: Mapping[str, QueuedJob], now: int
    ) -> list[tuple[_SortKey, QueuedJob]]:
        """Drop removed and expired jobs from the top of a shape's heap."""
        bucket = self.buckets[shape]
        while bucket:
            job = bucket[0][1]
            if jobs.get(job.job_id) is job:
                if job.expires_at > now:
                    return bucket
            else:
                self.stale_count -= 1
            heappop(bucket)
        del self.buckets[shape]
        self._remove_shape(shape)
        return bucket

    def _remove_shape(self, shape: _JobShape) -> None:
        self.deferred.discard(shape)
        del self.shapes[shape.group, shape.demand, shape.tasks]


class JobQueue:
    """Waiting jobs, offered in weighted fair order among teams.

    A pass has two stages: urgent jobs of all teams, then all other jobs. In
    each stage, the next job is from the team whose reservations have the
    smallest dominant share divided by its weight (dominant resource
    fairness, Ghodsi et al. 2011). Among equal teams, it is from the one with
    the smallest virtual time (start-time fair queueing, Goyal et al. 1996).
    Jobs of one team are ordered by class, priority, deadline and arrival.

    Parameters
    ----------
    teams : iterable of Team
        Teams with their weights; other teams have weight 1.
    capacity : Resources
        Capacity of the shard, from which dominant shares are computed.

    Examples
    --------
    >>> queue = JobQueue()
    >>> queue.add('j1', JobSpec('orders', 'k1'), 0)
    >>> for job in queue.begin_pass(0):
    ...     queue.remove(job.job_id)
    True
    """

    def __init__(
        self, teams: Iterable[Team] = (), capacity: Resources = NO_RESOURCES
    ) -> None:
        self._jobs: dict[str, QueuedJob] = {}
        self._stages: tuple[dict[str, _TeamQueue], dict[str, _TeamQueue]] = (
            {},
            {},
        )
        self._expiry_heap: list[tuple[float, int, QueuedJob]] = []
        self._team_class_counts: Counter[tuple[str, JobClass]] = Counter()
        self._team_counts: Counter[str] = Counter()
        self._class_counts: Counter[JobClass] = Counter()
        self._virtual_times: dict[str, float] = {}
        self._system_virtual_time = 0.0
        self._sequence = count()
        self._weights: dict[str, int] = {}
        self._capacity = capacity
        self.set_teams(teams)

    def set_teams(self, teams: Iterable[Team]) -> None:
        """Replace the weights of all teams."""
        self._weights = {team.name: max(1, team.weight) for team in teams}

    def set_capacity(self, capacity: Resources) -> None:
        """Replace the capacity from which dominant shares are computed."""
        self._capacity = capacity

    def add(
        self,
        job_id: str,
        spec: JobSpec,
        now: int,
        group: Hashable = None,
    ) -> None:
        """Add a job; a job that is already queued keeps its position.

        Parameters
        ----------
        now : int
            Time of arrival in ms.
        group : hashable
            Jobs of one group may run on the same hosts, so when one is
            refused, the others that need at least as much are skipped. By
            default the group is the team, class and failure domains, by
            which rules may select hosts. A job with excluded hosts needs a
            group of its own.
        """
        if job_id in self._jobs:
            return
        expires_at = now + spec.deadline_s * 1000 if spec.deadline_s else inf
        job = QueuedJob(job_id, spec, now, expires_at)
        if group is None:
            group = (spec.team, spec.job_class, spec.failure_domains)
        sequence = next(self._sequence)
        key = (
            CLASS_ORDER[spec.job_class],
            -spec.priority,
            expires_at,
            sequence,
        )
        team = spec.team
        if not self._team_counts[team]:
            self._virtual_times[team] = max(
                self._virtual_times.get(team, 0.0), self._system_virtual_time
            )
        self._jobs[job_id] = job
        self._update_counts(job, 1)
        team_queues = self._find_team_queues(spec)
        team_queues.setdefault(team, _TeamQueue()).add(group, key, job)
        if expires_at < inf:
            heappush(self._expiry_heap, (expires_at, sequence, job))

    def remove(self, job_id: str) -> bool:
        """Remove a started or cancelled job; return False if not queued.

        The amortised cost is O(1), regardless of the queue length.
        """
        job = self._jobs.pop(job_id, None)
        if job is None:
            return False
        self._update_counts(job, -1)
        team_queues = self._find_team_queues(job.spec)
        team_queue = team_queues[job.spec.team]
        team_queue.live_count -= 1
        team_queue.stale_count += 1
        if team_queue.stale_count > team_queue.live_count + _MIN_STALE_ENTRIES:
            team_queue.drop_stale(self._jobs)
        if len(self._expiry_heap) > 2 * len(self._jobs) + _MIN_STALE_ENTRIES:
            self._drop_stale_expiries()
        if not self._team_counts[job.spec.team]:
            del self._team_counts[job.spec.team]
            for stage in self._stages:
                stage.pop(job.spec.team, None)
        return True

    def begin_pass(
        self, now: int, reserved: Mapping[str, Resources] = _NO_RESERVATIONS
    ) -> QueuePass:
        """Return an iterator over the queued jobs, in order.

        A job that the caller removes from the queue before it requests the
        next one counts as started. A job that is still queued then counts
        as refused, and jobs of its group that need at least as much are
        skipped.

        Parameters
        ----------
        now : int
            Time in ms. Jobs whose deadline has passed are not offered, see
            `list_expired`.
        reserved : mapping of str to Resources
            Resources reserved by each team.
        """
        return QueuePass(self, now, reserved)

    def list_expired(self, now: int) -> list[QueuedJob]:
        """Return the jobs whose deadline has passed; they stay queued."""
        expired = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            job = heappop(self._expiry_heap)[2]
            if self._jobs.get(job.job_id) is job:
                expired.append(job)
        for job in expired:
            heappush(
                self._expiry_heap, (job.expires_at, next(self._sequence), job)
            )
        return expired

    def count_queued(self, team: str) -> int:
        """Return the number of queued jobs of a team."""
        return self._team_counts.get(team, 0)

    def count_ahead(self, team: str, job_class: JobClass) -> int:
        """Return how many jobs would be offered before a new one.

        Before an urgent job, these are the urgent jobs of all teams. Before
        another job, the team's jobs of the same and of preceding classes
        are added. Priority and deadline are not considered.
        """
        if job_class is JobClass.URGENT:
            return self._class_counts[JobClass.URGENT]
        own = sum(
            self._team_class_counts.get((team, other), 0)
            for other, position in CLASS_ORDER.items()
            if 0 < position <= CLASS_ORDER[job_class]
        )
        return self._class_counts[JobClass.URGENT] + own

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._jobs

    def __iter__(self) -> Iterator[QueuedJob]:
        return iter(self._jobs.values())

    def count_entries(self) -> int:
        """Return the number of heap entries, with those of removed jobs."""
        return len(self._expiry_heap) + sum(
            len(bucket)
            for stage in self._stages
            for team_queue in stage.values()
            for bucket in team_queue.buckets.values()
        )

    def _drop_stale_expiries(self) -> None:
        self._expiry_heap = [
            item
            for item in self._expiry_heap
            if self._jobs.get(item[2].job_id) is item[2]
        ]
        heapify(self._expiry_heap)

    def _find_team_queues(self, spec: JobSpec) -> dict[str, _TeamQueue]:
        return self._stages[0 if spec.job_class is JobClass.URGENT else 1]

    def _update_counts(self, job: QueuedJob, change: int) -> None:
        spec = job.spec
        self._team_counts[spec.team] += change
        self._class_counts[spec.job_class] += change
        self._team_class_counts[spec.team, spec.job_class] += change

    def _get_weight(self, team: str) -> int:
        return self._weights.get(team, 1)

    def _account_start(self, spec: JobSpec) -> float:
        """Account a started job; return its dominant share by weight."""
        amount = spec.demand.scale(spec.tasks)
        share = compute_weighted_share(
            amount, self._capacity, self._get_weight(spec.team)
        )
        virtual = self._virtual_times.get(spec.team, 0.0)
        self._system_virtual_time = max(self._system_virtual_time, virtual)
        self._virtual_times[spec.team] = virtual + share
        return share


class QueuePass:
    """Iterator over queued jobs; created by `JobQueue.begin_pass`."""

    def __init__(
        self, queue: JobQueue, now: int, reserved: Mapping[str, Resources]
    ) -> None:
        self._queue = queue
        self._now = now
        self._shares = {
            team: compute_weighted_share(
                reserved.get(team, NO_RESOURCES),
                queue._capacity,
                queue._get_weight(team),
            )
            for team in queue._team_counts
        }
        self._refused_shapes: dict[Hashable, list[_JobShape]] = {}
        self._skipped_teams: set[str] = set()
        self._offered: tuple[_TeamQueue, _JobShape, QueuedJob] | None = None
        self._stage = -1
        self._team_heap: list[tuple[float, float, str]] = []
        self._refusal_counts = Counter[str]()
        self._skipped_shape_counts = Counter[str]()
        self._max_refusals = MAX_REFUSALS
        self._max_skipped_shapes = MAX_SKIPPED_SHAPES

    def __iter__(self) -> QueuePass:
        return self

    def __next__(self) -> QueuedJob:
        self._record_outcome()
        while True:
            if self._team_heap:
                if job := self._find_next_job():
                    return job
            elif not self._start_stage():
                raise StopIteration

    def skip_team(self, team: str) -> None:
        """Offer no more jobs of a team in this pass.

        For example when its quota is used up, which does not affect other
        teams.
        """
        self._skipped_teams.add(team)

    def _start_stage(self) -> bool:
        if self._stage == len(self._queue._stages) - 1:
            return False
        self._stage += 1
        self._refusal_counts.clear()
        self._skipped_shape_counts.clear()
        team_queues = self._queue._stages[self._stage]
        teams = max(1, len(team_queues))
        self._max_refusals = max(_MIN_REFUSALS, MAX_REFUSALS // teams)
        self._max_skipped_shapes = max(
            _MIN_SKIPPED_SHAPES, MAX_SKIPPED_SHAPES // teams
        )
        for team, team_queue in team_queues.items():
            # Deferred shapes stay deferred only if the last pass reached a
            # limit. If its caller stopped early, all are offered again.
            if not team_queue.limit_reached or not team_queue.heads:
                team_queue.restore_deferred()
            team_queue.limit_reached = False
            self._push_team(team)
        return True

    def _push_team(self, team: str) -> None:
        entry = (
            self._shares.get(team, 0.0),
            self._queue._virtual_times.get(team, 0.0),
            team,
        )
        heappush(self._team_heap, entry)

    def _find_next_job(self) -> QueuedJob | None:
        """Return the first job of the next team, or drop that team."""
        team = self._team_heap[0][2]
        team_queue = self._queue._stages[self._stage].get(team)
        if team_queue is None or team in self._skipped_teams:
            heappop(self._team_heap)
            return None
        while found := team_queue.find_first(self._queue._jobs, self._now):
            shape, job = found
            if not self._is_refused(shape):
                self._offered = team_queue, shape, job
                return job
            team_queue.defer(shape)
            self._skipped_shape_counts[team] += 1
            if self._skipped_shape_counts[team] >= self._max_skipped_shapes:
                team_queue.limit_reached = True
                heappop(self._team_heap)
                return None
        # All shapes of the team were examined, so the next pass offers them
        # again.
        team_queue.restore_deferred()
        heappop(self._team_heap)
        return None

    def _record_outcome(self) -> None:
        """Record whether the last offered job was started or refused."""
        if self._offered is None:
            return
        team_queue, shape, job = self._offered
        self._offered = None
        team = job.spec.team
        if self._queue._jobs.get(job.job_id) is not job:
            heappop(self._team_heap)
            share = self._queue._account_start(job.spec)
            self._shares[team] = self._shares.get(team, 0.0) + share
            self._push_team(team)
            return
        if team in self._skipped_teams:
            return
        self._record_refusal(team_queue, shape)
        self._refusal_counts[team] += 1
        if self._refusal_counts[team] >= self._max_refusals:
            team_queue.limit_reached = True
            heappop(self._team_heap)

    def _record_refusal(
        self, team_queue: _TeamQueue, shape: _JobShape
    ) -> None:
        shapes = self._refused_shapes.get(shape.group, [])
        kept = [other for other in shapes if not other.covers(shape)]
        self._refused_shapes[shape.group] = [*kept, shape]
        found = team_queue.find_first(self._queue._jobs, self._now)
        if found and found[0] == shape:
            team_queue.defer(shape)

    def _is_refused(self, shape: _JobShape) -> bool:
        return any(
            shape.covers(other)
            for other in self._refused_shapes.get(shape.group, ())
        )
