"""Submits jobs as callers do and checks them against workers' records."""

from __future__ import annotations

from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from json import dumps
from random import Random
import re
from time import monotonic
from time import sleep
from typing import Any
from typing import TYPE_CHECKING

from httpx import Client
from httpx import HTTPError
from httpx import Limits

from tests.processes import wait_until
from tests.standins.simulation import TaskRecord

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from concurrent.futures import Future

    from httpx import Response

    from tests.processes import WorkerStandIn

MAX_CONCURRENT_CALLS = 16
SUBMIT_ATTEMPTS = 200
BACKOFF_S = 0.1
VIEW_WAIT_S = 2
# The records of two workers are each rounded to whole milliseconds.
ROUNDING_MS = 2
END_STATES = frozenset(
    {'finished', 'failed', 'cancelled', 'unknown', 'not-run'}
)
LOST_OUTCOMES = frozenset({'lost', 'lapsed'})


def make_job(key: str, run_ms: int = 50, **fields: Any) -> dict[str, Any]:
    """Return the body of a job whose output names its key."""
    payload = dumps({'run_ms': run_ms, 'output': f'output of {key}'})
    return {'team': 'orders', 'key': key, 'payload': payload, **fields}


def make_jobs(
    count: int, seed: int, run_ms: tuple[int, int], prefix: str = 'job'
) -> list[dict[str, Any]]:
    """Return jobs of random run times, half of them non-idempotent."""
    random = Random(seed)
    return [
        make_job(
            f'{prefix}-{number}',
            random.randint(*run_ms),
            idempotent=number % 2 == 0,
        )
        for number in range(count)
    ]


class Load:
    """Callers that submit each job until it is accepted or not run.

    Parameters
    ----------
    urls : tuple of str
        Base URLs of front ends; each further attempt uses the next one.
    jobs : list of dict
        Bodies as for ``POST /v1/jobs``.
    """

    def __init__(
        self, urls: tuple[str, ...], jobs: list[dict[str, Any]]
    ) -> None:
        self._urls = urls
        self.jobs = {job['key']: job for job in jobs}
        self.accepted: dict[str, str] = {}
        self.not_run: dict[str, str] = {}
        self.states: dict[str, str] = {}
        self._client = Client(
            timeout=30.0,
            trust_env=False,
            limits=Limits(max_keepalive_connections=MAX_CONCURRENT_CALLS),
        )
        self._pool = ThreadPoolExecutor(MAX_CONCURRENT_CALLS)
        self._futures: list[Future[None]] = []

    def start(self) -> Load:
        """Start to submit the jobs in background threads."""
        self._futures = [
            self._pool.submit(self._submit, number, job)
            for number, job in enumerate(self.jobs.values())
        ]
        return self

    def wait_for_accepted(self, count: int) -> None:
        """Block until ``count`` jobs are accepted."""
        wait_until(
            lambda: len(self.accepted) >= count, f'accepting {count} jobs'
        )

    def finish(self, timeout_s: float = 60.0) -> None:
        """Wait for the end of every job and store its state."""
        for future in self._futures:
            future.result()
        deadline_s = monotonic() + timeout_s
        list(
            self._pool.map(
                lambda item: self._poll_until_ended(*item, deadline_s),
                enumerate(self.accepted.items()),
            )
        )
        self._pool.shutdown()
        self._client.close()

    def _submit(self, number: int, job: dict[str, Any]) -> None:
        key = job['key']
        for attempt in range(SUBMIT_ATTEMPTS):
            url = self._urls[(number + attempt) % len(self._urls)]
            try:
                response = self._client.post(f'{url}/v1/jobs', json=job)
            except HTTPError:
                sleep(BACKOFF_S)
                continue
            view = response.json()
            if response.status_code in (200, 202):
                self.accepted[key] = view['job_id']
                return
            if view.get('state') == 'not-run':
                self.not_run[key] = view['job_id']
                return
            if response.status_code < 500 and response.status_code != 429:
                raise AssertionError(response.text)
            sleep(BACKOFF_S)
        raise AssertionError(f'every attempt to submit job {key!r} failed')

    def _poll_until_ended(
        self, number: int, item: tuple[str, str], deadline_s: float
    ) -> Any:
        key, job_id = item
        attempt = 0
        while monotonic() < deadline_s:
            url = self._urls[(number + attempt) % len(self._urls)]
            attempt += 1
            try:
                response = self._client.get(
                    f'{url}/v1/jobs/{job_id}', params={'wait': VIEW_WAIT_S}
                )
            except HTTPError:
                sleep(BACKOFF_S)
                continue
            self.states[key] = response.json().get('state', response.text)
            if response.status_code != 200:
                sleep(BACKOFF_S)
                continue
            if self.states[key] in END_STATES:
                return


@dataclass(frozen=True, slots=True)
class HostedTask:
    """A task start in the record of a host."""

    host: str
    record: TaskRecord

    @property
    def job_id(self) -> str:
        """The job that the task belongs to."""
        return self.record.task.rsplit('.', 2)[0]


def read_tasks(workers: Mapping[str, WorkerStandIn]) -> list[HostedTask]:
    """Return the starts that the workers have recorded."""
    return [
        HostedTask(host, record)
        for host, worker in workers.items()
        for record in worker.read_record().tasks
    ]


def find_overloads(workers: Mapping[str, WorkerStandIn]) -> list[str]:
    """Return the hosts that exceeded their capacity, with the times."""
    faults = []
    for host, worker in workers.items():
        record = worker.read_record()
        faults += [
            f'{host} overloaded: {overload}' for overload in record.overloads
        ]
        if not record.peak.fits_in(record.capacity):
            faults.append(f'{host}: peak {record.peak}')
    return faults


def find_overlaps(tasks: Iterable[HostedTask]) -> list[str]:
    """Return pairs of starts of one task that ran at the same time."""
    starts_by_task: dict[str, list[HostedTask]] = defaultdict(list)
    for task in tasks:
        starts_by_task[task.record.task.rpartition('.')[0]].append(task)
    faults = []
    for starts in starts_by_task.values():
        starts.sort(key=lambda start: start.record.started_ms)
        for first, second in zip(starts, starts[1:], strict=False):
            ended = first.record.ended_ms
            if not ended or ended - ROUNDING_MS > second.record.started_ms:
                faults.append(f'{first} overlaps {second}')
    return faults


def find_logged_jobs(log: str, kind: str, host: str) -> frozenset[str]:
    """Return the jobs that log lines of a kind name together with a host."""
    lines = [line for line in log.splitlines() if f' kind={kind} ' in line]
    found = (
        re.search(r' job=(\S+)', line)
        for line in lines
        if re.search(rf' host=(\S+,)?{host}[ ,]', line)
    )
    return frozenset(match.group(1) for match in found if match)


def find_faults(
    load: Load,
    workers: Mapping[str, WorkerStandIn],
    repeats: bool = False,
    possibly_started: frozenset[str] = frozenset(),
) -> list[str]:
    """Return inconsistencies between a load and the workers' records.

    Parameters
    ----------
    load : Load
        The load, after `Load.finish`.
    workers : mapping
        Workers by host, whose records are taken as correct.
    repeats : bool
        Whether idempotent jobs may have started more than once, as after
        a fault of a worker.
    possibly_started : frozenset of str
        Ids of jobs for which no owner can know whether they have started:
        the owner that had placed them ended, and so did the worker's memory.
    """
    tasks = read_tasks(workers)
    starts: dict[str, list[HostedTask]] = defaultdict(list)
    for task in tasks:
        starts[task.job_id].append(task)
    faults = find_overloads(workers) + find_overlaps(tasks)
    missing = load.jobs.keys() - load.accepted.keys() - load.not_run.keys()
    faults += [f'{key}: neither accepted nor not run' for key in missing]
    for key, job_id in load.not_run.items():
        if starts[job_id]:
            faults.append(f'{key}: "not run", but {starts[job_id]}')
    for key, job_id in load.accepted.items():
        found = starts[job_id]
        fault = _find_fault(
            load.jobs[key],
            load.states.get(key, 'no view'),
            found,
            repeats,
            job_id in possibly_started and not found,
        )
        if fault:
            faults.append(f'{key} ({job_id}): {fault}; {found}')
    return faults


def _find_fault(
    job: dict[str, Any],
    state: str,
    starts: list[HostedTask],
    repeats: bool,
    possibly_started: bool,
) -> str:
    idempotent = job.get('idempotent', True)
    width = job.get('tasks', 1)
    outcomes = [start.record.outcome for start in starts]
    if len(starts) > width and not (idempotent and repeats):
        return f'{len(starts)} starts for {width} tasks'
    if state == 'finished':
        incomplete = outcomes.count('finished') < width
        return 'finished, but not all its tasks' if incomplete else ''
    if state == 'unknown':
        lost = possibly_started or LOST_OUTCOMES.intersection(outcomes)
        if lost and not idempotent:
            return ''
        return 'unknown, but no attempt was lost'
    return '' if state == 'cancelled' else f'ended as {state}'


class QuickCalls:
    """A caller that sends quick requests one by one until it is stopped.

    Parameters
    ----------
    url : callable
        Returns the base URL of the front end for the next request.
    run_ms : int
        Run time of each task in ms.
    **fields
        Further fields of each request.
    """

    def __init__(
        self, url: Callable[[], str], run_ms: int = 10, **fields: Any
    ) -> None:
        self._url = url
        self._run_ms = run_ms
        self._fields = {'deadline_s': 5, **fields}
        self.latencies_s: list[float] = []
        self._stopping = False
        self._client = Client(timeout=20.0, trust_env=False)
        self._pool = ThreadPoolExecutor(1)
        self.responses: list[tuple[float, str]] = []
        self._future = self._pool.submit(self._run)

    def _run(self) -> None:
        number = 0
        while not self._stopping:
            number += 1
            key = f'quick-{id(self)}-{number}'
            sent_at = monotonic()
            output = self.call(key)
            good = output == f'output of {key}'
            if good:
                self.latencies_s.append(monotonic() - sent_at)
            self.responses.append((sent_at, '' if good else output))
            sleep(0.02)

    def call(self, key: str) -> str:
        """Return the body of the response, or the error if there is none."""
        job = make_job(key, self._run_ms, **self._fields)
        try:
            response: Response = self._client.post(
                f'{self._url()}/v1/requests', json=job
            )
        except HTTPError as error:
            return repr(error)
        return response.text

    def stop(self) -> list[tuple[float, str]]:
        """Stop; return each request's send time and fault, '' for none."""
        self._stopping = True
        self._future.result()
        self._pool.shutdown()
        self._client.close()
        return self.responses
