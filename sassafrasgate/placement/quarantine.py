"""Quarantine of hosts where jobs fail that other hosts complete."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum

# A host is quarantined after this many jobs failed on it and then completed
# on another host, without a success on the first host in between.
CONFIRMED_FAILURES = 2
# Failures of this many distinct jobs in a row quarantine a host without
# confirmation, since jobs that may not be retried never complete elsewhere.
FAILURES_IN_A_ROW = 6
# A job that failed on this many healthy hosts is considered faulty itself. A
# host where SUSPECT_FAILURES other jobs have failed since its last success
# does not count as healthy here: two hosts that fail every task would
# otherwise make each job that runs on both look faulty.
HOSTS_FOR_JOB_FAULT = 2
SUSPECT_FAILURES = 2

FIRST_DELAY_MS = 30_000
MAX_DELAY_MS = 3_600_000
PROBATION_TASKS = 2
PROBATION_SUCCESSES = 3

MAX_QUARANTINED_SHARE = 0.1
# Jobs whose failures are kept; those that failed least recently are evicted
# first.
MAX_JOBS = 20_000


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
    failed : tuple of str
        Jobs that failed on the host since its last success, oldest first.
    confirmed : tuple of str
        Those of ``failed`` that later completed on another host.
    delay_ms : int
        Length of the latest quarantine; 0 if there was none.
    until : int
        End of the latest quarantine, in ms.
    successes : int
        Tasks that succeeded during the current probation.
    """

    status: HealthState = HealthState.HEALTHY
    failed: tuple[str, ...] = ()
    confirmed: tuple[str, ...] = ()
    delay_ms: int = 0
    until: int = 0
    successes: int = 0


@dataclass(frozen=True, slots=True)
class JobResults:
    """Hosts where one job failed.

    Parameters
    ----------
    failed_on : tuple of str
        All hosts where it failed, in order of the failures.
    healthy : tuple of str
        Those without `SUSPECT_FAILURES` failures of other jobs at that time.
    """

    failed_on: tuple[str, ...] = ()
    healthy: tuple[str, ...] = ()


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
    hosts : int
        Number of hosts in the shard, which limits how many of them can be
        in quarantine at once.

    Examples
    --------
    >>> health = HostHealth(hosts=24)
    >>> for job in ('a', 'b'):
    ...     _ = health.record_result('h1', job, False, 0)
    ...     changes = health.record_result('h2', job, True, 0)
    >>> changes[0].status.value
    'quarantined'
    >>> health.get_task_limit('h1', 0)
    0
    """

    def __init__(self, hosts: int = 0) -> None:
        self._hosts = hosts
        self._records: dict[str, HostRecord] = {}
        self._jobs: dict[str, JobResults] = {}

    def set_host_count(self, hosts: int) -> None:
        """Set the number of hosts in the shard."""
        self._hosts = hosts

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
            return self._note_success(host, job_id, now)
        return self._note_failure(host, job_id, now)

    def get_state(self, host: str, now: int) -> HealthState:
        """Return the health of a host at ``now``, in ms."""
        record = self._find(host)
        if record.status is HealthState.QUARANTINED and now >= record.until:
            return HealthState.PROBATION
        return record.status

    def get_task_limit(self, host: str, now: int) -> int | None:
        """Return how many tasks may run on a host at once.

        None means no limit; 0 is returned in quarantine and
        `PROBATION_TASKS` in probation.
        """
        status = self.get_state(host, now)
        if status is HealthState.HEALTHY:
            return None
        return 0 if status is HealthState.QUARANTINED else PROBATION_TASKS

    def find_next_change(self, now: int) -> int | None:
        """Return when the next quarantine ends, in ms; None if none does."""
        return min(
            (
                record.until
                for record in self._records.values()
                if record.status is HealthState.QUARANTINED
                and record.until > now
            ),
            default=None,
        )

    def is_job_at_fault(self, job_id: str) -> bool:
        """Tell whether a job failed on `HOSTS_FOR_JOB_FAULT` healthy hosts."""
        results = self._jobs.get(job_id, JobResults())
        return len(results.healthy) >= HOSTS_FOR_JOB_FAULT

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
        self._jobs.pop(job_id, None)

    def count_jobs(self) -> int:
        """Return the number of jobs whose failures are kept."""
        return len(self._jobs)

    def _find(self, host: str) -> HostRecord:
        return self._records.get(host, HostRecord())

    def _note_success(
        self, host: str, job_id: str, now: int
    ) -> tuple[HealthChange, ...]:
        changes: list[HealthChange] = []
        results = self._jobs.pop(job_id, JobResults())
        for other in results.failed_on:
            if other != host:
                changes.extend(self._confirm(other, job_id, now))
        record = self._find(host)
        if self.get_state(host, now) is not HealthState.PROBATION:
            # A success shows that the host can run tasks, so earlier
            # failures no longer count. The success of a task that started
            # before a quarantine does not end the quarantine.
            self._records[host] = replace(record, failed=(), confirmed=())
            return tuple(changes)
        successes = record.successes + 1
        if successes < PROBATION_SUCCESSES:
            self._records[host] = replace(
                record, status=HealthState.PROBATION, successes=successes
            )
            return tuple(changes)
        # A quarantine lasts twice this value, so a host that fails again
        # after its probation is quarantined for as long as the last time.
        self._records[host] = HostRecord(delay_ms=record.delay_ms // 2)
        reason = f'{successes} tasks succeeded in probation'
        changes.append(HealthChange(host, HealthState.HEALTHY, reason))
        return tuple(changes)

    def _note_failure(
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
        record = self._find(host)
        results = _add_failure(
            self._jobs.pop(job_id, JobResults()), host, record, job_id
        )
        self._remember(job_id, results)
        if job_id not in record.failed:
            failed = (*record.failed, job_id)[-FAILURES_IN_A_ROW:]
            self._records[host] = replace(record, failed=failed)
        if self.is_job_at_fault(job_id):
            self._absolve(job_id, results.failed_on)
            return ()
        if len(self._find(host).failed) < FAILURES_IN_A_ROW:
            return ()
        reason = f'{FAILURES_IN_A_ROW} jobs failed in a row'
        return self._quarantine(host, now, reason)

    def _confirm(
        self, host: str, job_id: str, now: int
    ) -> tuple[HealthChange, ...]:
        """Count a failure of a job that has completed on another host."""
        record = self._find(host)
        if record.status is not HealthState.HEALTHY:
            return ()
        if job_id not in record.failed or job_id in record.confirmed:
            return ()
        record = replace(record, confirmed=(*record.confirmed, job_id))
        self._records[host] = record
        if len(record.confirmed) < CONFIRMED_FAILURES:
            return ()
        reason = (
            f'{len(record.confirmed)} jobs failed here and completed elsewhere'
        )
        return self._quarantine(host, now, reason)

    def _absolve(self, job_id: str, hosts: tuple[str, ...]) -> None:
        """Remove the failures of a faulty job from the records of hosts."""
        for host in hosts:
            record = self._find(host)
            failed = tuple(job for job in record.failed if job != job_id)
            self._records[host] = replace(record, failed=failed)

    def _quarantine(
        self, host: str, now: int, reason: str
    ) -> tuple[HealthChange, ...]:
        others = [
            other for other in self.list_quarantined(now) if other != host
        ]
        if len(others) >= self._find_cap():
            return ()
        record = self._find(host)
        delay = max(FIRST_DELAY_MS, record.delay_ms * 2)
        delay = min(delay, MAX_DELAY_MS)
        self._records[host] = HostRecord(
            HealthState.QUARANTINED, delay_ms=delay, until=now + delay
        )
        return (HealthChange(host, HealthState.QUARANTINED, reason),)

    def _find_cap(self) -> int:
        return max(1, int(self._hosts * MAX_QUARANTINED_SHARE))

    def _remember(self, job_id: str, results: JobResults) -> None:
        self._jobs[job_id] = results
        if len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]


def _add_failure(
    results: JobResults, host: str, record: HostRecord, job_id: str
) -> JobResults:
    if host in results.failed_on:
        return results
    results = replace(results, failed_on=(*results.failed_on, host))
    others = [job for job in record.failed if job != job_id]
    if len(others) >= SUSPECT_FAILURES:
        return results
    return replace(results, healthy=(*results.healthy, host))
