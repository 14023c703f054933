"""Queued jobs in weighted fair order over teams."""

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
from sassafrasgate.placement.scores import compute_dominant_share

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from sassafrasgate.core.cells import Team

URGENCY = {
    JobClass.URGENT: 0,
    JobClass.QUICK: 1,
    JobClass.SERVICE: 2,
    JobClass.GANG: 3,
    JobClass.BATCH: 4,
}

# A stage of a pass offers at most this many jobs that are refused, and looks
# at most at this many groups of equal jobs, divided evenly over the teams, so
# that no team uses up what others need. The next pass goes on with the rest:
# the bounds delay a job but never starve it.
MAX_REFUSALS = 64
MAX_LOOKED_AT = 256
_MIN_REFUSALS = 4
_MIN_LOOKED_AT = 16

# Cancelled entries are dropped when they surface, or all at once when they
# are more than the live ones; this floor spares small queues.
_MIN_STALE = 64

_Key = tuple[int, int, float, int]
_NO_USAGE: dict[str, Resources] = {}


@dataclass(frozen=True, slots=True, eq=False)
class QueuedJob:
    """A waiting job.

    Parameters
    ----------
    job_id : str
        Unique in the queue.
    spec : JobSpec
        What the caller asked for.
    queued_at : int
        When it was added, in ms of the owner's clock.
    expires_at : float
        Deadline for its start in ms; infinite for none.
    """

    job_id: str
    spec: JobSpec
    queued_at: int
    expires_at: float


@dataclass(frozen=True, slots=True, eq=False)
class _Shape:
    """Jobs of a team that fit exactly where the others of the shape fit.

    There is one object for each shape of a lane, so that comparing and
    hashing don't look at the amounts.
    """

    group: Hashable
    demand: Resources
    tasks: int

    def covers(self, other: _Shape) -> bool:
        """Tell whether no room for ``other`` means no room for this."""
        return self.tasks >= other.tasks and other.demand.fits_in(self.demand)


class _Lane:
    """One team's jobs of one stage: a heap of jobs for each shape."""

    def __init__(self) -> None:
        self.shapes: dict[tuple[Hashable, Resources, int], _Shape] = {}
        self.buckets: dict[_Shape, list[tuple[_Key, QueuedJob]]] = {}
        self.heads: list[tuple[_Key, int, _Shape]] = []
        self.head_keys: dict[_Shape, _Key] = {}
        self.parked: set[_Shape] = set()
        self.bounded = False
        self.live = 0
        self.stale = 0
        self._ties = count()

    def add(self, group: Hashable, key: _Key, job: QueuedJob) -> None:
        self.live += 1
        spec = job.spec
        shape = self.shapes.setdefault(
            (group, spec.demand, spec.tasks),
            _Shape(group, spec.demand, spec.tasks),
        )
        bucket = self.buckets.setdefault(shape, [])
        heappush(bucket, (key, job))
        if bucket[0][0] == key and shape not in self.parked:
            self._push_head(shape, key)

    def find_first(
        self, jobs: Mapping[str, QueuedJob], now: int
    ) -> tuple[_Shape, QueuedJob] | None:
        """Return the first live job that is not parked."""
        while self.heads:
            key, _, shape = self.heads[0]
            if self.head_keys.get(shape) != key:
                heappop(self.heads)
                continue
            bucket = self._trim(shape, jobs, now)
            if not bucket:
                heappop(self.heads)
                del self.head_keys[shape]
                continue
            first, job = bucket[0]
            if first == key:
                return shape, job
            self.head_keys[shape] = first
            heapreplace(self.heads, (first, next(self._ties), shape))
        return None

    def park(self, shape: _Shape) -> None:
        """Leave a shape out until `unpark`."""
        del self.head_keys[shape]
        heappop(self.heads)
        self.parked.add(shape)

    def unpark(self) -> None:
        parked, self.parked = self.parked, set()
        for shape in parked:
            if bucket := self.buckets.get(shape):
                self._push_head(shape, bucket[0][0])

    def drop_stale(self, jobs: Mapping[str, QueuedJob]) -> None:
        """Rebuild all heaps without cancelled jobs."""
        self.stale = 0
        self.heads = []
        self.head_keys = {}
        old, self.buckets = self.buckets, {}
        for shape, bucket in old.items():
            live = [
                item for item in bucket if jobs.get(item[1].job_id) is item[1]
            ]
            if not live:
                self._forget(shape)
                continue
            heapify(live)
            self.buckets[shape] = live
            if shape not in self.parked:
                self._push_head(shape, live[0][0])

    def _push_head(self, shape: _Shape, key: _Key) -> None:
        self.head_keys[shape] = key
        heappush(self.heads, (key, next(self._ties), shape))

    def _trim(
        self, shape: _Shape, jobs: Mapping[str, QueuedJob], now: int
    ) -> list[tuple[_Key, QueuedJob]]:
        bucket = self.buckets[shape]
        while bucket:
            job = bucket[0][1]
            if jobs.get(job.job_id) is job:
                if job.expires_at > now:
                    return bucket
            else:
                self.stale -= 1
            heappop(bucket)
        del self.buckets[shape]
        self._forget(shape)
        return bucket

    def _forget(self, shape: _Shape) -> None:
        self.parked.discard(shape)
        del self.shapes[shape.group, shape.demand, shape.tasks]


class JobQueue:
    """Jobs that wait, offered in weighted fair order over teams.

    Urgent jobs of all teams come first. The team whose reservations have
    the smallest dominant share for its weight goes next (dominant resource
    fairness, Ghodsi et al. 2011); among equals, the one that was served
    least (start-time fair queueing, Goyal et al. 1996). Within a team the
    order is class, priority, deadline, arrival.

    Parameters
    ----------
    teams : iterable of Team
        Weights; a team that is not listed has weight 1.
    total : Resources
        Capacity of the shard, against which shares are taken.

    Examples
    --------
    >>> queue = JobQueue()
    >>> queue.add('j1', JobSpec('orders', 'k1'), 0)
    >>> for job in queue.begin_pass(0):
    ...     queue.remove(job.job_id)
    True
    """

    def __init__(
        self, teams: Iterable[Team] = (), total: Resources = NO_RESOURCES
    ) -> None:
        self._jobs: dict[str, QueuedJob] = {}
        self._stages: tuple[dict[str, _Lane], dict[str, _Lane]] = ({}, {})
        self._expiry: list[tuple[float, int, QueuedJob]] = []
        self._counts: Counter[tuple[str, JobClass]] = Counter()
        self._team_counts: Counter[str] = Counter()
        self._class_counts: Counter[JobClass] = Counter()
        self._virtual: dict[str, float] = {}
        self._virtual_now = 0.0
        self._sequence = count()
        self._weights: dict[str, int] = {}
        self._total = total
        self.set_teams(teams)

    def set_teams(self, teams: Iterable[Team]) -> None:
        """Replace the weights of teams."""
        self._weights = {team.name: max(1, team.weight) for team in teams}

    def set_capacity(self, total: Resources) -> None:
        """Replace the capacity against which shares are taken."""
        self._total = total

    def add(
        self,
        job_id: str,
        spec: JobSpec,
        now: int,
        group: Hashable = None,
    ) -> None:
        """Add a job; a job that is already queued stays where it is.

        Parameters
        ----------
        now : int
            Time of arrival in ms.
        group : hashable
            Jobs of one group may run on the same hosts, so when one is
            refused, the others that need as much are skipped. By default
            the team, class and failure domains, which rules may name; a
            job with excluded hosts needs a group of its own.
        """
        if job_id in self._jobs:
            return
        expires_at = now + spec.deadline_s * 1000 if spec.deadline_s else inf
        job = QueuedJob(job_id, spec, now, expires_at)
        if group is None:
            group = (spec.team, spec.job_class, spec.failure_domains)
        sequence = next(self._sequence)
        key = (
            URGENCY[spec.job_class],
            -spec.priority,
            expires_at,
            sequence,
        )
        team = spec.team
        if not self._team_counts[team]:
            self._virtual[team] = max(
                self._virtual.get(team, 0.0), self._virtual_now
            )
        self._jobs[job_id] = job
        self._count(job, 1)
        lanes = self._find_lanes(spec)
        lanes.setdefault(team, _Lane()).add(group, key, job)
        if expires_at < inf:
            heappush(self._expiry, (expires_at, sequence, job))

    def remove(self, job_id: str) -> bool:
        """Remove a job that was started or cancelled; False if not queued.

        The cost is O(1), amortised, however many jobs wait.
        """
        job = self._jobs.pop(job_id, None)
        if job is None:
            return False
        self._count(job, -1)
        lanes = self._find_lanes(job.spec)
        lane = lanes[job.spec.team]
        lane.live -= 1
        lane.stale += 1
        if lane.stale > lane.live + _MIN_STALE:
            lane.drop_stale(self._jobs)
        if len(self._expiry) > 2 * len(self._jobs) + _MIN_STALE:
            self._drop_stale_expiry()
        if not self._team_counts[job.spec.team]:
            del self._team_counts[job.spec.team]
            for stage in self._stages:
                stage.pop(job.spec.team, None)
        return True

    def begin_pass(
        self, now: int, reserved: Mapping[str, Resources] = _NO_USAGE
    ) -> QueuePass:
        """Return one pass over the queue, best job first.

        A job that the caller removes from the queue before asking for the
        next one counts as started; a job that is still queued counts as
        refused, and jobs of its group that need as much are skipped.

        Parameters
        ----------
        now : int
            Time in ms; jobs past their deadline are not offered, see
            `list_expired`.
        reserved : mapping of str to Resources
            What the running tasks of each team reserve.
        """
        return QueuePass(self, now, reserved)

    def list_expired(self, now: int) -> list[QueuedJob]:
        """Return and keep the queued jobs whose deadline has passed."""
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            job = heappop(self._expiry)[2]
            if self._jobs.get(job.job_id) is job:
                expired.append(job)
        for job in expired:
            heappush(self._expiry, (job.expires_at, next(self._sequence), job))
        return expired

    def count_queued(self, team: str) -> int:
        """Return how many jobs of a team wait."""
        return self._team_counts.get(team, 0)

    def count_ahead(self, team: str, job_class: JobClass) -> int:
        """Return how many jobs would be offered before a new one.

        For urgent work these are the urgent jobs of all teams, otherwise
        the urgent jobs and the team's own of classes that go before or
        are equal. Priority and deadline are not considered.
        """
        if job_class is JobClass.URGENT:
            return self._class_counts[JobClass.URGENT]
        own = sum(
            self._counts.get((team, other), 0)
            for other, urgency in URGENCY.items()
            if 0 < urgency <= URGENCY[job_class]
        )
        return self._class_counts[JobClass.URGENT] + own

    def __len__(self) -> int:
        return len(self._jobs)

    def __contains__(self, job_id: object) -> bool:
        return job_id in self._jobs

    def __iter__(self) -> Iterator[QueuedJob]:
        return iter(self._jobs.values())

    def count_stored(self) -> int:
        """Return how many entries are held, with those of removed jobs."""
        return len(self._expiry) + sum(
            len(bucket)
            for stage in self._stages
            for lane in stage.values()
            for bucket in lane.buckets.values()
        )

    def _drop_stale_expiry(self) -> None:
        self._expiry = [
            item
            for item in self._expiry
            if self._jobs.get(item[2].job_id) is item[2]
        ]
        heapify(self._expiry)

    def _find_lanes(self, spec: JobSpec) -> dict[str, _Lane]:
        return self._stages[0 if spec.job_class is JobClass.URGENT else 1]

    def _count(self, job: QueuedJob, change: int) -> None:
        spec = job.spec
        self._team_counts[spec.team] += change
        self._class_counts[spec.job_class] += change
        self._counts[spec.team, spec.job_class] += change

    def _find_weight(self, team: str) -> int:
        return self._weights.get(team, 1)

    def _charge(self, spec: JobSpec) -> float:
        """Account a start; return the dominant share by weight."""
        amount = spec.demand.scale(spec.tasks)
        share = compute_dominant_share(amount, self._total)
        share /= self._find_weight(spec.team)
        virtual = self._virtual.get(spec.team, 0.0)
        self._virtual_now = max(self._virtual_now, virtual)
        self._virtual[spec.team] = virtual + share
        return share


class QueuePass:
    """An iterator over queued jobs; made by `JobQueue.begin_pass`."""

    def __init__(
        self, queue: JobQueue, now: int, reserved: Mapping[str, Resources]
    ) -> None:
        self._queue = queue
        self._now = now
        self._shares = {
            team: compute_dominant_share(
                reserved.get(team, NO_RESOURCES), queue._total
            )
            / queue._find_weight(team)
            for team in queue._team_counts
        }
        self._refused: dict[Hashable, list[_Shape]] = {}
        self._skipped: set[str] = set()
        self._offered: tuple[_Lane, _Shape, QueuedJob] | None = None
        self._stage = -1
        self._order: list[tuple[float, float, str]] = []
        self._refusals = Counter[str]()
        self._looked_at = Counter[str]()
        self._max_refusals = MAX_REFUSALS
        self._max_looked_at = MAX_LOOKED_AT

    def __iter__(self) -> QueuePass:
        return self

    def __next__(self) -> QueuedJob:
        self._settle()
        while True:
            if self._order:
                if job := self._find_next():
                    return job
            elif not self._start_stage():
                raise StopIteration

    def skip_team(self, team: str) -> None:
        """Offer no more jobs of a team in this pass.

        For example when its quota is used up, which says nothing about room
        for other teams.
        """
        self._skipped.add(team)

    def _start_stage(self) -> bool:
        if self._stage == len(self._queue._stages) - 1:
            return False
        self._stage += 1
        self._refusals.clear()
        self._looked_at.clear()
        lanes = self._queue._stages[self._stage]
        teams = max(1, len(lanes))
        self._max_refusals = max(_MIN_REFUSALS, MAX_REFUSALS // teams)
        self._max_looked_at = max(_MIN_LOOKED_AT, MAX_LOOKED_AT // teams)
        for team, lane in lanes.items():
            # Only a pass that met its bound leaves the rest to the next
            # one; after a caller broke off, every shape is offered again.
            if not lane.bounded or not lane.heads:
                lane.unpark()
            lane.bounded = False
            self._push(team)
        return True

    def _push(self, team: str) -> None:
        entry = (
            self._shares.get(team, 0.0),
            self._queue._virtual.get(team, 0.0),
            team,
        )
        heappush(self._order, entry)

    def _find_next(self) -> QueuedJob | None:
        """Offer the first job of the next team, or drop the team."""
        team = self._order[0][2]
        lane = self._queue._stages[self._stage].get(team)
        if lane is None or team in self._skipped:
            heappop(self._order)
            return None
        while found := lane.find_first(self._queue._jobs, self._now):
            shape, job = found
            if not self._is_refused(shape):
                self._offered = lane, shape, job
                return job
            lane.park(shape)
            self._looked_at[team] += 1
            if self._looked_at[team] >= self._max_looked_at:
                lane.bounded = True
                heappop(self._order)
                return None
        # Every shape of the team was offered: the next pass starts over.
        lane.unpark()
        heappop(self._order)
        return None

    def _settle(self) -> None:
        """Account the job that was offered last as started or refused."""
        if self._offered is None:
            return
        lane, shape, job = self._offered
        self._offered = None
        team = job.spec.team
        if self._queue._jobs.get(job.job_id) is not job:
            heappop(self._order)
            share = self._queue._charge(job.spec)
            self._shares[team] = self._shares.get(team, 0.0) + share
            self._push(team)
            return
        if team in self._skipped:
            return
        self._refuse(lane, shape)
        self._refusals[team] += 1
        if self._refusals[team] >= self._max_refusals:
            lane.bounded = True
            heappop(self._order)

    def _refuse(self, lane: _Lane, shape: _Shape) -> None:
        shapes = self._refused.get(shape.group, [])
        kept = [other for other in shapes if not other.covers(shape)]
        self._refused[shape.group] = [*kept, shape]
        found = lane.find_first(self._queue._jobs, self._now)
        if found and found[0] == shape:
            lane.park(shape)

    def _is_refused(self, shape: _Shape) -> bool:
        return any(
            shape.covers(other) for other in self._refused.get(shape.group, ())
        )
