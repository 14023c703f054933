"""Quarantine of hosts where jobs fail that other hosts complete."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum

# A host is quarantined after this many jobs failed on it and then completed
# on another host, without a success on the first host in between.
MIN_CONFIRMED_FAILURES = 2
# Failures of this many distinct jobs in a row quarantine a host without
# confirmation, since jobs that may not be retried never complete elsewhere.
MIN_CONSECUTIVE_FAILURES = 6
# A job that failed on this many healthy hosts is considered faulty itself. A
# host where MIN_SUSPECT_FAILURES other jobs have failed since its last success
# does not count as healthy here: two hosts that fail every task would
# otherwise make each job that runs on both look faulty.
MIN_HOSTS_FOR_JOB_FAULT = 2
MIN_SUSPECT_FAILURES = 2

# A quarantine after a failed probation lasts twice as long as the one before.
INITIAL_QUARANTINE_MS = 30_000
MAX_QUARANTINE_MS = 3_600_000
# Tasks that may run at once on a host in probation after a quarantine, and
# successes that end the probation.
MAX_PROBATION_TASKS = 2
MIN_PROBATION_SUCCESSES = 3

# Share of the hosts of a shard that may be in quarantine at once. One host
# may always be.
MAX_QUARANTINED_SHARE = 0.1
# Jobs whose failures are kept; those that failed least recently are evicted
# first.
MAX_TRACKED_JOBS = 20_000


class HealthState(StrEnum):
    """Health of a host, derived from the results of its tasks."""

    HEALTHY = 'healthy'
    QUARANTINED = 'quarantined'
    PROBATION = 'probation'


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Health of one host and the results behind it.

    Parameters
    ----------
    status : HealthState
        Decides whether the host gets new tasks.
    failed_jobs : tuple of str
        Jobs that failed on the host since its last success, oldest first;
        at most the latest `MIN_CONSECUTIVE_FAILURES`.
    confirmed_jobs : tuple of str
        Those of ``failed_jobs`` that later completed on another host.
    quarantine_ms : int
        Length of the latest quarantine; 0 if there was none.
    quarantine_ends_at : int
        End of the latest quarantine, in ms.
    successes : int
        Tasks that succeeded during the current probation.
    """

    status: HealthState = HealthState.HEALTHY
    failed_jobs: tuple[str, ...] = ()
    confirmed_jobs: tuple[str, ...] = ()
    quarantine_ms: int = 0
    quarantine_ends_at: int = 0
    successes: int = 0


@dataclass(frozen=True, slots=True)
class JobFailures:
    """Hosts where one job failed.

    Parameters
    ----------
    failed_on : tuple of str
        All hosts where it failed, in order of the failures.
    healthy_hosts : tuple of str
        Those that had fewer than `MIN_SUSPECT_FAILURES` failures of other
        jobs at that time.
    """

    failed_on: tuple[str, ...] = ()
    healthy_hosts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of a host's health, for logs.

    Parameters
    ----------
    host : str
        Name of the host.
    status : HealthState
        The new status.
    reason : str
        Results that caused the change.
    """

    host: str
    status: HealthState
    reason: str = field(default='')


class HostHealth:
    """Tracks task results per host and quarantines hosts that fail.

    Parameters
    ----------
    host_count : int
        Number of hosts in the shard, which limits how many of them can be
        in quarantine at once.

    Examples
    --------
    >>> health = HostHealth(host_count=24)
    >>> for job in ('a', 'b'):
    ...     _ = health.record_result('h1', job, False, 0)
    ...     changes = health.record_result('h2', job, True, 0)
    >>> changes[0].status.value
    'quarantined'
    >>> health.get_task_limit('h1', 0)
    0
    """

    def __init__(self, host_count: int = 0) -> None:
        self._host_count = host_count
        self._records: dict[str, HostRecord] = {}
        self._job_failures: dict[str, JobFailures] = {}

    def set_host_count(self, host_count: int) -> None:
        """Set the number of hosts in the shard."""
        self._host_count = host_count

    def record_result(
        self, host: str, job_id: str, succeeded: bool, now: int
    ) -> tuple[HealthChange, ...]:
        """Record how a task of a job ended on a host.

        Callers pass only ends that the worker reported. Lost leases,
        refusals and cancellations do not show whether the host can run
        tasks.

        Returns
        -------
        tuple of HealthChange
            Hosts whose health changed; they may differ from ``host``.
        """
        if succeeded:
            return self._record_success(host, job_id, now)
        return self._record_failure(host, job_id, now)

    def get_state(self, host: str, now: int) -> HealthState:
        """Return the health of a host at ``now``, in ms."""
        record = self._get_record(host)
        if (
            record.status is HealthState.QUARANTINED
            and now >= record.quarantine_ends_at
        ):
            return HealthState.PROBATION
        return record.status

    def get_task_limit(self, host: str, now: int) -> int | None:
        """Return how many tasks may run on a host at once.

        None means no limit; 0 is returned in quarantine and
        `MAX_PROBATION_TASKS` in probation.
        """
        status = self.get_state(host, now)
        if status is HealthState.HEALTHY:
            return None
        return 0 if status is HealthState.QUARANTINED else MAX_PROBATION_TASKS

    def find_next_change(self, now: int) -> int | None:
        """Return when the next quarantine ends, in ms; None if none does."""
        return min(
            (
                record.quarantine_ends_at
                for record in self._records.values()
                if record.status is HealthState.QUARANTINED
                and record.quarantine_ends_at > now
            ),
            default=None,
        )

    def is_job_at_fault(self, job_id: str) -> bool:
        """Return whether a job has failed on enough healthy hosts."""
        failures = self._job_failures.get(job_id, JobFailures())
        return len(failures.healthy_hosts) >= MIN_HOSTS_FOR_JOB_FAULT

    def list_quarantined(self, now: int) -> tuple[str, ...]:
        """Return the names of the quarantined hosts, sorted."""
        return tuple(
            sorted(
                host
                for host in self._records
                if self.get_state(host, now) is HealthState.QUARANTINED
            )
        )

    def remove_host_results(self, host: str) -> None:
        """Discard the results of a host, for example after its replacement."""
        self._records.pop(host, None)

    def remove_job_results(self, job_id: str) -> None:
        """Discard the failures of a job that has ended."""
        self._job_failures.pop(job_id, None)

    def count_tracked_jobs(self) -> int:
        """Return the number of jobs whose failures are kept."""
        return len(self._job_failures)

    def _get_record(self, host: str) -> HostRecord:
        return self._records.get(host, HostRecord())

    def _record_success(
        self, host: str, job_id: str, now: int
    ) -> tuple[HealthChange, ...]:
        changes: list[HealthChange] = []
        failures = self._job_failures.pop(job_id, JobFailures())
        for other in failures.failed_on:
            if other != host:
                changes.extend(
                    self._count_confirmed_failure(other, job_id, now)
                )
        record = self._get_record(host)
        if self.get_state(host, now) is not HealthState.PROBATION:
            # A success shows that the host can run tasks, so earlier
            # failures no longer count. The success of a task that started
            # before a quarantine does not end the quarantine.
            self._records[host] = replace(
                record, failed_jobs=(), confirmed_jobs=()
            )
            return tuple(changes)
        successes = record.successes + 1
        if successes < MIN_PROBATION_SUCCESSES:
            self._records[host] = replace(
                record, status=HealthState.PROBATION, successes=successes
            )
            return tuple(changes)
        # A quarantine lasts twice this value, so a host that fails again
        # after its probation is quarantined for as long as the last time.
        self._records[host] = HostRecord(
            quarantine_ms=record.quarantine_ms // 2
        )
        reason = f'{successes} tasks succeeded in probation'
        changes.append(HealthChange(host, HealthState.HEALTHY, reason))
        return tuple(changes)

    def _record_failure(
        self, host: str, job_id: str, now: int
    ) -> tuple[HealthChange, ...]:
        status = self.get_state(host, now)
        if status is HealthState.PROBATION and not self.is_job_at_fault(
            job_id
        ):
            return self._quarantine(
                host, now, f'job {job_id} failed in probation'
            )
        if status is not HealthState.HEALTHY:
            return ()
        record = self._get_record(host)
        failures = _add_failure(
            self._job_failures.pop(job_id, JobFailures()), host, record, job_id
        )
        self._store_failures(job_id, failures)
        if job_id not in record.failed_jobs:
            failed = (*record.failed_jobs, job_id)[-MIN_CONSECUTIVE_FAILURES:]
            self._records[host] = replace(record, failed_jobs=failed)
        if self.is_job_at_fault(job_id):
            self._discount_failures(job_id, failures.failed_on)
            return ()
        if len(self._get_record(host).failed_jobs) < MIN_CONSECUTIVE_FAILURES:
            return ()
        reason = f'{MIN_CONSECUTIVE_FAILURES} jobs failed in a row'
        return self._quarantine(host, now, reason)

    def _count_confirmed_failure(
        self, host: str, job_id: str, now: int
    ) -> tuple[HealthChange, ...]:
        """Count a failure of a job that has completed on another host."""
        record = self._get_record(host)
        if record.status is not HealthState.HEALTHY:
            return ()
        if job_id not in record.failed_jobs or job_id in record.confirmed_jobs:
            return ()
        record = replace(
            record, confirmed_jobs=(*record.confirmed_jobs, job_id)
        )
        self._records[host] = record
        if len(record.confirmed_jobs) < MIN_CONFIRMED_FAILURES:
            return ()
        reason = (
            f'{len(record.confirmed_jobs)} jobs failed here and completed '
            f'elsewhere'
        )
        return self._quarantine(host, now, reason)

    def _discount_failures(self, job_id: str, hosts: tuple[str, ...]) -> None:
        """Remove the failures of a faulty job from the records of hosts."""
        for host in hosts:
            record = self._get_record(host)
            failed = tuple(job for job in record.failed_jobs if job != job_id)
            self._records[host] = replace(record, failed_jobs=failed)

    def _quarantine(
        self, host: str, now: int, reason: str
    ) -> tuple[HealthChange, ...]:
        others = [
            other for other in self.list_quarantined(now) if other != host
        ]
        if len(others) >= self._compute_max_quarantined():
            return ()
        record = self._get_record(host)
        duration = max(INITIAL_QUARANTINE_MS, record.quarantine_ms * 2)
        duration = min(duration, MAX_QUARANTINE_MS)
        self._records[host] = HostRecord(
            HealthState.QUARANTINED,
            quarantine_ms=duration,
            quarantine_ends_at=now + duration,
        )
        return (HealthChange(host, HealthState.QUARANTINED, reason),)

    def _compute_max_quarantined(self) -> int:
        return max(1, int(self._host_count * MAX_QUARANTINED_SHARE))

    def _store_failures(self, job_id: str, failures: JobFailures) -> None:
        self._job_failures[job_id] = failures
        if len(self._job_failures) > MAX_TRACKED_JOBS:
            del self._job_failures[next(iter(self._job_failures))]


def _add_failure(
    failures: JobFailures, host: str, record: HostRecord, job_id: str
) -> JobFailures:
    if host in failures.failed_on:
        return failures
    failures = replace(failures, failed_on=(*failures.failed_on, host))
    others = [job for job in record.failed_jobs if job != job_id]
    if len(others) >= MIN_SUSPECT_FAILURES:
        return failures
    return replace(failures, healthy_hosts=(*failures.healthy_hosts, host))
