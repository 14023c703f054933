"""Soak test of real processes under random faults.

``python -m tests.soak.run --seed 7 --seconds 60`` prints a report and ends
with status 1 when a guarantee was violated. Logs stay in the directory that
``--directory`` names.
"""

from __future__ import annotations

from argparse import ArgumentParser
from dataclasses import dataclass
from pathlib import Path
from random import Random
import sys
from tempfile import mkdtemp
from typing import TYPE_CHECKING

import anyio

from tests.soak.callers import Callers
from tests.soak.cells import open_cell
from tests.soak.cells import PROGRAM
from tests.soak.faults import FAULTS
from tests.soak.leaving import find_late_starts
from tests.soak.leaving import InjectedFault
import tests.soak.pair_faults  # noqa: F401
from tests.standins.store import read_clock_ms

if TYPE_CHECKING:
    from tests.soak.callers import Job
    from tests.soak.cells import Cell

SETTLE_TIMEOUT_S = 40.0
# Several attempts of a long task may follow each other.
LONG_SETTLE_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.5
# Short enough for several faults to overlap.
MEAN_FAULT_INTERVAL_S = 1.0
ENTRIES = 4
WORKERS = 6
MAX_SHIFT_S = 300.0
LONG_SHARE = 0.15


@dataclass(frozen=True, slots=True)
class SoakReport:
    """The jobs, faults and guarantee violations of a soak test.

    Parameters
    ----------
    jobs, accepted, refused, completed, failed, cancelled : int
        Number of jobs, in total and by their end.
    faults : tuple of str
        Injected faults with their times.
    violations : tuple of str
        Guarantees that were violated, with the evidence.
    """

    jobs: int
    accepted: int
    refused: int
    completed: int
    failed: int
    cancelled: int
    faults: tuple[str, ...]
    violations: tuple[str, ...]


async def run_soak(
    directory: Path,
    seed: int,
    seconds: float,
    entries: int = ENTRIES,
    workers: int = WORKERS,
    per_s: float = 4.0,
    fault_names: tuple[str, ...] = (),
    program: str = PROGRAM,
    long_share: float = 0.0,
    has_tenants: bool = False,
) -> SoakReport:
    """Run a cell under faults, then wait until its jobs have ended.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    seed : int
        Seed for jobs and faults; times depend on the machine as well.
    seconds : float
        Time during which jobs are submitted and faults are injected.
    entries, workers : int
        Number of entry hosts and of workers.
    per_s : float
        Mean number of jobs per second.
    fault_names : tuple of str
        Names of the faults to draw from; all by default.
    program : str
        Module that the processes of the entry hosts run.
    long_share : float
        Share of steps with long tasks.
    has_tenants : bool
        Whether callers are tenants with caps.
    """
    random = Random(seed)
    injected: list[str] = []
    ended_faults: list[InjectedFault] = []
    async with open_cell(
        directory,
        entries,
        workers,
        program,
        seed=seed,
        max_shift_s=MAX_SHIFT_S,
        has_tenants=has_tenants,
    ) as cell:
        callers = Callers(cell, Random(seed), long_share)
        async with anyio.create_task_group() as group:
            group.start_soon(cell.restart_ended_processes)
            group.start_soon(callers.poll_until_cancelled)
            async with anyio.create_task_group() as work:
                work.start_soon(callers.submit_jobs, per_s, seconds)
                work.start_soon(
                    _inject_faults,
                    cell,
                    random,
                    seconds,
                    fault_names,
                    injected,
                    ended_faults,
                )
            settle_s = (
                LONG_SETTLE_TIMEOUT_S if long_share else SETTLE_TIMEOUT_S
            )
            violations = await _wait_until_jobs_end(callers, settle_s)
            group.cancel_scope.cancel()
        violations += await _check_guarantees(cell, callers, ended_faults)
        await callers.close()
    return _make_report(callers.jobs, injected, violations)


async def _inject_faults(
    cell: Cell,
    random: Random,
    seconds: float,
    fault_names: tuple[str, ...],
    injected: list[str],
    ended_faults: list[InjectedFault],
) -> None:
    """Inject faults at random times; they may overlap."""

    async def inject(name: str, fault_random: Random) -> None:
        began_ms = read_clock_ms()
        await FAULTS.find(name)(cell, fault_random)
        ended_faults.append(InjectedFault(name, began_ms, read_clock_ms()))

    names = sorted(fault_names or FAULTS)
    started_at_s = anyio.current_time()
    async with anyio.create_task_group() as group:
        while anyio.current_time() - started_at_s < seconds:
            await anyio.sleep(random.expovariate(1 / MEAN_FAULT_INTERVAL_S))
            name = random.choice(names)
            injected_at_s = anyio.current_time() - started_at_s
            injected.append(f'{injected_at_s:.1f} s {name}')
            group.start_soon(inject, name, Random(random.random()))


async def _wait_until_jobs_end(
    callers: Callers, timeout_s: float
) -> list[str]:
    """Wait until every accepted job has ended; return those that have not."""
    until = anyio.current_time() + timeout_s
    while await callers.poll_open_jobs():
        if anyio.current_time() > until:
            return [
                f'{job.job_id} has not ended: {job.states[-1:]}'
                for job in callers.jobs
                if job.accepted and not job.has_ended
            ]
        await anyio.sleep(POLL_INTERVAL_S)
    return []


async def _check_guarantees(
    cell: Cell, callers: Callers, faults: list[InjectedFault]
) -> list[str]:
    """Return the guarantees that were violated, with the evidence."""
    record = await cell.read_record()
    started = {task.split('.', 1)[0] for task in record['started']}
    finished = set(record['finished'])
    violations = [*record['violations'], *cell.unexpected_exits]
    violations += find_late_starts(record['starts_while_leaving'], faults)
    if cell.has_tenants:
        violations += record['starts_over_cap']
    for job in callers.jobs:
        violations.extend(job.violations)
        if job.refused and job.job_id in started:
            violations.append(f'{job.job_id} was refused but has started')
        if job.start_at_ms and job.job_id in started:
            violations.append(f'{job.job_id} has started before it was due')
        if job.states[-1:] == ['completed']:
            violations.extend(
                f'{task} has not finished, but its job has completed'
                for task in job.list_tasks()
                if task not in finished
            )
        if job.cancelled and job.states[-1:] not in ([], ['cancelled']):
            violations.append(
                f'{job.job_id} was cancelled, but is {job.states[-1]}'
            )
    return violations


def _make_report(
    jobs: list[Job], injected: list[str], violations: list[str]
) -> SoakReport:
    ends = [job.states[-1] for job in jobs if job.has_ended]
    return SoakReport(
        len(jobs),
        sum(job.accepted for job in jobs),
        sum(job.refused for job in jobs),
        ends.count('completed'),
        ends.count('failed'),
        ends.count('cancelled'),
        tuple(injected),
        tuple(violations),
    )


def print_report(seed: int, report: SoakReport, directory: Path) -> None:
    """Print the report of a soak test."""
    print(
        f'seed {seed}: {report.jobs} jobs, {report.accepted} accepted, '
        f'{report.refused} refused; {report.completed} completed, '
        f'{report.failed} failed, {report.cancelled} cancelled; '
        f'{len(report.faults)} faults; {len(report.violations)} violations',
        flush=True,
    )
    for line in report.violations:
        print(f'  violation: {line}')
    if report.violations:
        print(f'  faults: {"; ".join(report.faults)}')
        print(f'  logs: {directory}')


def main(argv: list[str] | None = None) -> int:
    """Parse the arguments, run the seeds and return the exit status."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--entries', type=int, default=ENTRIES)
    parser.add_argument('--workers', type=int, default=WORKERS)
    parser.add_argument('--per-s', type=float, default=4.0)
    parser.add_argument('--long-share', type=float, default=LONG_SHARE)
    parser.add_argument(
        '--fault',
        action='append',
        default=[],
        choices=sorted(FAULTS),
        help='a fault to draw from; repeatable; all by default',
    )
    parser.add_argument(
        '--tenants', action='store_true', help='callers are capped tenants'
    )
    parser.add_argument('--directory', type=Path)
    arguments = parser.parse_args(argv)
    root = arguments.directory or Path(mkdtemp(prefix='soak-'))
    status = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        directory = root / f'seed-{seed}'
        directory.mkdir(parents=True, exist_ok=True)
        report = anyio.run(
            run_soak,
            directory,
            seed,
            arguments.seconds,
            arguments.entries,
            arguments.workers,
            arguments.per_s,
            tuple(arguments.fault),
            PROGRAM,
            arguments.long_share,
            arguments.tenants,
        )
        print_report(seed, report, directory)
        status = 1 if report.violations else status
    return status


if __name__ == '__main__':
    sys.exit(main())
