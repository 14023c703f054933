"""Runs a soak: real processes, random faults, and checks of the promises.

``python -m tests.soak.run --seed 7 --seconds 60`` prints an account and ends
with status 1 when a promise was broken. Logs stay in the given directory.
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

if TYPE_CHECKING:
    from tests.soak.callers import Job
    from tests.soak.cells import Cell

SETTLE_S = 40.0
LOOK_S = 0.5
# Faults begin at this pace, so that several overlap.
FAULT_GAP_S = 1.0


@dataclass(frozen=True, slots=True)
class Account:
    """What a soak has seen.

    Parameters
    ----------
    broken : tuple of str
        Promises that were broken, with the evidence.
    """

    jobs: int
    accepted: int
    refused: int
    completed: int
    failed: int
    cancelled: int
    faults: tuple[str, ...]
    broken: tuple[str, ...]


async def run_soak(
    directory: Path,
    seed: int,
    seconds: float,
    entries: int = 3,
    workers: int = 5,
    per_s: float = 4.0,
    kinds: tuple[str, ...] = (),
    program: str = PROGRAM,
) -> Account:
    """Run a cell under faults for some time, then let it settle.

    Parameters
    ----------
    directory : Path
        Gets settings and logs.
    seed : int
        Decides on jobs and faults; times depend on the machine as well.
    seconds : float
        How long jobs are handed in and faults begin.
    entries, workers : int
        Size of the cell.
    per_s : float
        Jobs a second.
    kinds : tuple of str
        Faults to draw from; all by default.
    program : str
        Module that the entry hosts run.
    """
    random = Random(seed)
    injected: list[str] = []
    async with open_cell(directory, entries, workers, program) as cell:
        callers = Callers(cell, Random(seed))
        async with anyio.create_task_group() as group:
            group.start_soon(cell.watch)
            group.start_soon(callers.watch)
            async with anyio.create_task_group() as work:
                work.start_soon(callers.hand_in, per_s, seconds)
                work.start_soon(
                    _inject, cell, random, seconds, kinds, injected
                )
            broken = await _settle(cell, callers)
            group.cancel_scope.cancel()
        broken += await _check(cell, callers)
        await callers.close()
    return _make_account(callers.jobs, injected, broken)


async def _inject(
    cell: Cell,
    random: Random,
    seconds: float,
    kinds: tuple[str, ...],
    injected: list[str],
) -> None:
    """Begin faults at random moments; they may overlap."""
    names = sorted(kinds or FAULTS)
    began = anyio.current_time()
    async with anyio.create_task_group() as group:
        while anyio.current_time() - began < seconds:
            await anyio.sleep(random.expovariate(1 / FAULT_GAP_S))
            name = random.choice(names)
            at = anyio.current_time() - began
            injected.append(f'{at:.1f} s {name}')
            group.start_soon(FAULTS.find(name), cell, Random(random.random()))


async def _settle(cell: Cell, callers: Callers) -> list[str]:
    """Wait until every accepted job has ended."""
    until = anyio.current_time() + SETTLE_S
    while await callers.look_at_open():
        if anyio.current_time() > until:
            return [
                f'{job.job_id} has not ended: {job.states[-1:]}'
                for job in callers.jobs
                if job.accepted and not job.is_over
            ]
        await anyio.sleep(LOOK_S)
    return []


async def _check(cell: Cell, callers: Callers) -> list[str]:
    """Return the promises that were broken."""
    record = await cell.read_record()
    started = {task.split('.', 1)[0] for task in record['started']}
    finished = set(record['finished'])
    broken = [*record['violations'], *cell.exits]
    for job in callers.jobs:
        broken.extend(job.faults)
        if job.refused and job.job_id in started:
            broken.append(f'{job.job_id} was refused and has started')
        if job.states[-1:] == ['completed']:
            broken.extend(
                f'{task} has not finished though its job has completed'
                for task in job.list_tasks()
                if task not in finished
            )
        if job.cancelled and job.states[-1:] not in ([], ['cancelled']):
            broken.append(f'{job.job_id} was cancelled: {job.states[-1]}')
    return broken


def _make_account(
    jobs: list[Job], injected: list[str], broken: list[str]
) -> Account:
    ends = [job.states[-1] for job in jobs if job.is_over]
    return Account(
        len(jobs),
        sum(job.accepted for job in jobs),
        sum(job.refused for job in jobs),
        ends.count('completed'),
        ends.count('failed'),
        ends.count('cancelled'),
        tuple(injected),
        tuple(broken),
    )


def print_account(seed: int, account: Account, directory: Path) -> None:
    """Print what a soak has seen."""
    print(
        f'seed {seed}: {account.jobs} jobs, {account.accepted} accepted, '
        f'{account.refused} refused; {account.completed} completed, '
        f'{account.failed} failed, {account.cancelled} cancelled; '
        f'{len(account.faults)} faults; {len(account.broken)} broken',
        flush=True,
    )
    for line in account.broken:
        print(f'  broken: {line}')
    if account.broken:
        print(f'  faults: {"; ".join(account.faults)}')
        print(f'  logs: {directory}')


def main(arguments_given: list[str] | None = None) -> int:
    """Read the arguments, run the seeds, and return the exit status."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--entries', type=int, default=3)
    parser.add_argument('--workers', type=int, default=5)
    parser.add_argument('--per-s', type=float, default=4.0)
    parser.add_argument(
        '--fault',
        action='append',
        default=[],
        choices=sorted(FAULTS),
        help='a fault to draw from; may be given again; all by default',
    )
    parser.add_argument('--directory', type=Path)
    arguments = parser.parse_args(arguments_given)
    root = arguments.directory or Path(mkdtemp(prefix='soak-'))
    status = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        directory = root / f'seed-{seed}'
        directory.mkdir(parents=True, exist_ok=True)
        account = anyio.run(
            run_soak,
            directory,
            seed,
            arguments.seconds,
            arguments.entries,
            arguments.workers,
            arguments.per_s,
            tuple(arguments.fault),
        )
        print_account(seed, account, directory)
        status = 1 if account.broken else status
    return status


if __name__ == '__main__':
    sys.exit(main())
