"""Validation of submitted jobs, and admission of jobs to the queue."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import fields
from math import exp
from math import isfinite
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_KEY_LENGTH = 512
# A journal value is limited to 512 KiB, and one job must leave space for
# others in it.
MAX_PAYLOAD_BYTES = 256 * 1024
MAX_TASKS = 10_000
MAX_PRIORITY = 100

# Time constant of the average start rate: short enough to follow a change of
# load within seconds, long enough to smooth out bursts.
RATE_TIME_CONSTANT_MS = 10_000

_MULTI_TASK_CLASSES = frozenset({JobClass.SERVICE, JobClass.GANG})


@dataclass(frozen=True, slots=True)
class AdmissionLoad:
    """State of the queue when a new job arrives.

    Parameters
    ----------
    team_queued, team_limit : int
        Number of queued jobs of the team, and its limit.
    shard_queued, shard_limit : int
        Number of queued jobs of the shard, and its limit.
    ahead : int
        Number of queued jobs that would be offered before the new one, see
        `JobQueue.count_ahead`.
    starts_per_s : float
        Recent start rate of the jobs counted in ``ahead``; 0 if it is
        unknown, in which case no job is refused because of its deadline.
    """

    team_queued: int
    team_limit: int
    shard_queued: int
    shard_limit: int
    ahead: int = 0
    starts_per_s: float = 0.0


SPEC_CHECKS: Registry[str, Callable[[JobSpec], str]] = Registry('spec check')


@SPEC_CHECKS.register('identity')
def check_identity(spec: JobSpec) -> str:
    """Return an error for the team or the key, or an empty string."""
    if not spec.team:
        return "field 'team' is empty"
    if not spec.key:
        return "field 'key' is empty"
    if len(spec.key) > MAX_KEY_LENGTH:
        return f"field 'key' is longer than {MAX_KEY_LENGTH} characters"
    return ''


@SPEC_CHECKS.register('demand')
def check_demand(spec: JobSpec) -> str:
    """Return an error for the demand, or an empty string."""
    for field in fields(Resources):
        if getattr(spec.demand, field.name) < 0:
            return f'demand {spec.demand!r} has a negative {field.name}'
    if spec.demand.slots < 1:
        return f'demand {spec.demand!r} requests no slot'
    if spec.demand.millicores < 1 or spec.demand.memory_mb < 1:
        return (
            f'demand {spec.demand!r} requests no processor time or no memory'
        )
    return ''


@SPEC_CHECKS.register('tasks')
def check_tasks(spec: JobSpec) -> str:
    """Return an error for the number of tasks, or an empty string."""
    if not 1 <= spec.tasks <= MAX_TASKS:
        return f'{spec.tasks!r} tasks requested, allowed are 1 to {MAX_TASKS}'
    if spec.tasks > 1 and spec.job_class not in _MULTI_TASK_CLASSES:
        return (
            f'class {spec.job_class.value!r} allows 1 task, not {spec.tasks!r}'
        )
    return ''


@SPEC_CHECKS.register('times')
def check_times(spec: JobSpec) -> str:
    """Return an error for the deadline or run time, or an empty string."""
    for name in ('deadline_s', 'run_time_s'):
        value: float = getattr(spec, name)
        if not isfinite(value) or value < 0:
            return f'field {name!r} is {value!r}, not a finite time from 0'
    return ''


@SPEC_CHECKS.register('priority')
def check_priority(spec: JobSpec) -> str:
    """Return an error for the priority, or an empty string."""
    if abs(spec.priority) > MAX_PRIORITY:
        return f'priority {spec.priority!r} is outside +-{MAX_PRIORITY}'
    return ''


@SPEC_CHECKS.register('payload')
def check_payload(spec: JobSpec) -> str:
    """Return an error for the payload, or an empty string."""
    if len(spec.payload) > MAX_PAYLOAD_BYTES:
        return (
            f'payload of {len(spec.payload)} bytes exceeds the limit of '
            f'{MAX_PAYLOAD_BYTES} bytes'
        )
    return ''


def check_spec(spec: JobSpec) -> Refusal | None:
    """Return a refusal with the first error of a spec; None if valid."""
    for name in SPEC_CHECKS:
        if fault := SPEC_CHECKS.find(name)(spec):
            return Refusal(
                RefusalKind.INVALID, fault, 'correct the job and resubmit it'
            )
    return None


def check_admission(spec: JobSpec, load: AdmissionLoad) -> Refusal | None:
    """Return a refusal if a job that cannot start at once may not be queued.

    Returns
    -------
    Refusal or None
        `RefusalKind.INVALID` for an invalid spec, `OVERLOADED` when the
        queue of the team or the shard is full, or `DEADLINE` when the
        expected wait exceeds the deadline of the job; None if the job may
        be queued.

    Examples
    --------
    >>> load = AdmissionLoad(0, 10, 0, 100, ahead=50, starts_per_s=10.0)
    >>> spec = JobSpec('orders', 'k', deadline_s=4.0)
    >>> check_admission(spec, load).kind.value
    'deadline'
    """
    if refusal := check_spec(spec):
        return refusal
    if load.team_queued >= load.team_limit:
        return Refusal(
            RefusalKind.OVERLOADED,
            f'team {spec.team!r} has {load.team_queued} jobs waiting, '
            f'limit {load.team_limit}',
            'retry later, or raise max_queued of the team',
        )
    if load.shard_queued >= load.shard_limit:
        return Refusal(
            RefusalKind.OVERLOADED,
            f'{load.shard_queued} jobs wait in the shard, '
            f'limit {load.shard_limit}',
            'retry later with increasing delays',
        )
    wait_s = estimate_wait(load.ahead, load.starts_per_s)
    if spec.deadline_s and wait_s > spec.deadline_s:
        return Refusal(
            RefusalKind.DEADLINE,
            f'expected wait {wait_s:.1f} s exceeds the deadline of '
            f'{spec.deadline_s!r} s',
            'retry later, or allow a later deadline',
        )
    return None


def estimate_wait(ahead: int, starts_per_s: float) -> float:
    """Return the expected wait in seconds; 0 if the rate is unknown."""
    if starts_per_s <= 0:
        return 0.0
    return ahead / starts_per_s


class StartRate:
    """Recent start rate of jobs, as an exponentially weighted average.

    While no job starts, the rate decays, so the expected wait grows.
    """

    def __init__(self) -> None:
        self._weighted_count = 0.0
        self._updated_at = 0
        self._first_start_at: int | None = None

    def record_starts(self, now: int, jobs: int = 1) -> None:
        """Record the start of ``jobs`` jobs at ``now``, in ms."""
        if self._first_start_at is None:
            self._first_start_at = now
        self._weighted_count = self._decay(now) + jobs
        self._updated_at = max(now, self._updated_at)

    def compute_rate(self, now: int) -> float:
        """Return the starts per second; 0 before the first start."""
        if self._first_start_at is None:
            return 0.0
        # Normalise by the part of the window since the first start, so that
        # the rate isn't underestimated at the beginning.
        window_fraction = 1 - exp(
            -max(now - self._first_start_at, 1000) / RATE_TIME_CONSTANT_MS
        )
        return self._decay(now) / (
            RATE_TIME_CONSTANT_MS / 1000 * window_fraction
        )

    def _decay(self, now: int) -> float:
        elapsed = max(0, now - self._updated_at)
        return self._weighted_count * exp(-elapsed / RATE_TIME_CONSTANT_MS)
