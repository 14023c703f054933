"""A burst fills the pool beside a best-effort task: each owner hangs."""

from __future__ import annotations

import asyncio
from os import sysconf
from pathlib import Path
from random import Random
import sys

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from aiohttp import ClientError
from stand_in_3 import Cell
from stand_in_3 import EntryHost
from stand_in_3 import has_trouble

HERE = Path(__file__).resolve().parent
SECONDS = 16.0
BURST_FROM_S = 6.0
# The site's bursts: at most 2.5 times the traffic, for up to 7 s.
BURST_S = 6.3
BURST_FACTOR = 2.5
JOBS_PER_S = 3.0
FINISH_S = 14.0
WATCHED_S = 6.0
HUNG_SHARE = 0.8
# One in five jobs is best-effort and long. It and most others give no
# estimate; the pages omit a field whose value is 0.
PATTERN = ('plain', 'bare', 'fills', 'bare', 'bare')


def make_body(kind: str) -> dict[str, object]:
    """Return a job of two tasks that take 4 s each, best-effort ones 20 s."""
    work_ms = 20_000 if kind == 'fills' else 4_000
    step: dict[str, object] = {
        'count': 2,
        'cpu': 4000,
        'memMb': 1024,
        'estimateMs': work_ms,
    }
    if kind != 'plain':
        del step['estimateMs']
    if kind == 'fills':
        step['fills'] = True
    return {'spec': f'{{"ms":{work_ms}}}', 'steps': [step]}


async def play(cell: Cell) -> list[str]:
    """Play the case and return how the rule was broken."""
    record = cell.record
    random = Random(3)
    began = record.now()
    number = 0
    async with asyncio.TaskGroup() as group:
        while record.now() - began < SECONDS:
            number += 1
            kind = PATTERN[number % len(PATTERN)]
            job = f'{number:016x}'
            group.create_task(cell.submit(job, make_body(kind), cell.entries))
            rate = JOBS_PER_S
            passed = record.now() - began - BURST_FROM_S
            if has_trouble() and 0 <= passed < BURST_S:
                rate *= BURST_FACTOR
            await asyncio.sleep(random.uniform(0.5, 1.5) / rate)
    traffic_end = cell.last_send
    await asyncio.sleep(max(0.0, traffic_end + FINISH_S - record.now()))
    broken = await ask_for_all(cell)
    return broken + await find_hung(cell)


async def find_hung(cell: Cell) -> list[str]:
    """Return the processes that keep the processor and answer nothing."""
    record = cell.record
    before = [read_processor_s(entry) for entry in cell.entries]
    began = record.now()
    answers = await asyncio.gather(
        *(is_answering(cell, entry) for entry in cell.entries)
    )
    await asyncio.sleep(max(0.0, began + WATCHED_S - record.now()))
    passed = record.now() - began
    broken = []
    for entry, used_s, answered in zip(
        cell.entries, before, answers, strict=True
    ):
        share = (read_processor_s(entry) - used_s) / passed
        record.add(
            f'{entry.name}: answers its ready address: {answered}; '
            f'{share:.0%} of a processor for {passed:.1f} s'
        )
        if not answered and share > HUNG_SHARE:
            broken.append(
                f'Fault: {entry.name} does not hand back the processor '
                f'({share:.0%} for {passed:.1f} s) and answers nothing'
            )
    return broken


def read_processor_s(entry: EntryHost) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f'/proc/{entry.process.pid}/stat').read_text()
    used = fields.rpartition(')')[2].split()[11:13]
    return sum(map(int, used)) / sysconf('SC_CLK_TCK')


async def is_answering(cell: Cell, entry: EntryHost) -> bool:
    """Return whether a process answers a probe within some seconds."""
    until = cell.record.now() + WATCHED_S
    while cell.record.now() < until:
        try:
            async with cell.session.get(
                f'http://{entry.ready}/api/readyz'
            ) as response:
                await response.read()
                return True
        except (ClientError, TimeoutError):
            await asyncio.sleep(0.1)
    return False


async def ask_for_all(cell: Cell) -> list[str]:
    """Ask each host for each accepted job; return those without an answer."""
    unanswered = set(cell.accepted)
    for entry in cell.entries:
        jobs = sorted(cell.accepted)
        answers = await asyncio.gather(
            *(cell.call('GET', entry, job) for job in jobs)
        )
        states = [found.get('state', status) for status, found in answers]
        counts = {state: states.count(state) for state in set(states)}
        cell.record.add(f'all accepted jobs at {entry.name}: {counts}')
        unanswered -= {
            job
            for job, (status, _) in zip(jobs, answers, strict=True)
            if status == 200
        }
    if not unanswered:
        return []
    return [
        f'LOST: {len(unanswered)} of {len(cell.accepted)} accepted jobs get '
        'no answer from any host'
    ]


async def main() -> int:
    """Play the case; return its exit status."""
    cell = Cell(entries=4, workers=6, tenants=('north', 'south'))
    try:
        await cell.start()
        broken = await play(cell)
        for text in broken:
            cell.record.add(text)
    finally:
        await cell.stop(HERE / 'record.txt')
    print('\n'.join(broken) or 'held')
    return 1 if broken else 0


if __name__ == '__main__':
    try:
        sys.exit(asyncio.run(main()))
    except (OSError, TimeoutError, StopIteration) as error:
        print(f'cannot run: {error!r}')
        sys.exit(2)
