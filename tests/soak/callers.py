"""Callers that hand jobs in, look at them, and remember what they heard."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from json import dumps
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import anyio

from tests.soak.cells import HOST
from tests.soak.cells import QUEUES

if TYPE_CHECKING:
    from random import Random

    from tests.soak.cells import Cell

DEADLINE_S = 3.0
TRIES = 5
LOOK_S = 0.7
REFUSED = frozenset({429, 503})
FINAL = frozenset({'completed', 'failed', 'cancelled'})
CANCEL_SHARE = 0.08
TWICE_SHARE = 0.15


@dataclass(slots=True)
class Job:
    """One job, as its caller knows it.

    Parameters
    ----------
    unknown : bool
        Whether a try got no answer, so that the job may be accepted.
    states : list of str
        All answers to looks, in order.
    faults : list of str
        Answers that break a promise.
    """

    job_id: str
    queue: str
    steps: list[dict[str, object]]
    accepted: bool = False
    unknown: bool = False
    cancelled: bool = False
    states: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)

    @property
    def refused(self) -> bool:
        """Whether every try was told that the job never runs."""
        return not self.accepted and not self.unknown

    @property
    def is_over(self) -> bool:
        """Whether a final state was shown."""
        return bool(self.states) and self.states[-1] in FINAL

    def list_tasks(self) -> list[str]:
        """Return the ids of all tasks."""
        return [
            f'{self.job_id}.0.{number}.{index}'
            for number, step in enumerate(self.steps)
            for index in range(int(str(step['count'])))
        ]

    def note_state(self, state: str) -> None:
        """Take the answer to a look."""
        last = self.states[-1] if self.states else ''
        if last in FINAL and state != last:
            self.faults.append(f'{self.job_id}: {state} after {last}')
        self.states.append(state)


class Callers:
    """All callers of a soak.

    Parameters
    ----------
    cell : Cell
        Where the entry hosts are.
    random : Random
        Decides on jobs, hosts and cancellations.
    """

    def __init__(self, cell: Cell, random: Random) -> None:
        self._cell = cell
        self._random = random
        self._session = ClientSession(
            timeout=ClientTimeout(total=DEADLINE_S), headers={'Host': HOST}
        )
        self.jobs: list[Job] = []

    async def close(self) -> None:
        """Close the callers' connections."""
        await self._session.close()

    async def hand_in(self, per_s: float, seconds: float) -> None:
        """Hand jobs in for some time, then return."""
        async with anyio.create_task_group() as group:
            with anyio.move_on_after(seconds):
                while True:
                    group.start_soon(self._serve_job, self._make_job())
                    await anyio.sleep(self._random.expovariate(per_s))

    def _make_job(self) -> Job:
        random = self._random
        steps: list[dict[str, object]] = []
        for number in range(random.choice((1, 1, 1, 2))):
            step: dict[str, object] = {
                'count': random.randint(1, 4),
                'cpu': random.choice((500, 1500, 3000)),
                'memMb': 500,
                'estimateMs': random.choice((200, 600, 1200)),
            }
            if number:
                step['after'] = [number - 1]
            if random.random() < 0.25:
                step['gang'] = True
            steps.append(step)
        job = Job(
            f'{random.getrandbits(64):016x}', random.choice(QUEUES), steps
        )
        self.jobs.append(job)
        return job

    async def _serve_job(self, job: Job) -> None:
        await self._submit(job)
        if not job.accepted:
            return
        if self._random.random() < TWICE_SHARE:
            await anyio.sleep(self._random.uniform(0, 3))
            await self._submit(job)
        if self._random.random() < CANCEL_SHARE:
            await self._cancel(job)

    async def _submit(self, job: Job) -> None:
        body = dumps({'spec': dumps(job.steps), 'steps': job.steps})
        for _ in range(TRIES):
            status, _ = await self._call('POST', job, body)
            if status == 200:
                job.accepted = True
                return
            if status not in REFUSED:
                job.unknown = True
            await anyio.sleep(self._random.uniform(0.1, 0.6))

    async def _cancel(self, job: Job) -> None:
        for _ in range(TRIES):
            status, state = await self._call('DELETE', job)
            if status == 200:
                job.cancelled = state == 'cancelled'
                return
            if status == 410:
                job.faults.append(f'{job.job_id}: 410 to a cancellation')
                return
            await anyio.sleep(0.3)

    async def look(self, job: Job) -> None:
        """Ask for a job's state once, at any host."""
        status, state = await self._call('GET', job)
        if status == 200:
            job.note_state(state)
        if status == 410 and job.accepted:
            job.faults.append(f'{job.job_id}: 410 though it was accepted')

    async def watch(self) -> None:
        """Look at open jobs now and then, until cancelled."""
        while True:
            await anyio.sleep(LOOK_S)
            await self.look_at_open()

    async def look_at_open(self) -> int:
        """Look at every open job; return how many are left."""
        left = [job for job in self.jobs if job.accepted and not job.is_over]
        async with anyio.create_task_group() as group:
            for job in left:
                group.start_soon(self.look, job)
        return sum(1 for job in left if not job.is_over)

    async def _call(
        self, method: str, job: Job, body: str | None = None
    ) -> tuple[int, str]:
        """Make one call; the status is 0 when there was no answer."""
        entry = self._random.choice(list(self._cell.entries.values()))
        url = f'http://{entry.caller_proxy.address}/{job.queue}/{job.job_id}'
        try:
            async with self._session.request(
                method, url, data=body
            ) as response:
                found = await response.json(content_type=None)
                state = found.get('state', '') if found else ''
                return response.status, str(state)
        except (ClientError, TimeoutError, ValueError):
            return 0, ''
