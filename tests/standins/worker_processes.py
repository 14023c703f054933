"""Processes of the workers and the advice service of the users' platform.

The program forks one process per worker and starts a worker that has been
killed again, under the same id and address. Its modules are already imported,
so that a worker is back within milliseconds. For the options, run ``python -m
tests.standins.worker_processes --help``.
"""

from __future__ import annotations

from argparse import ArgumentParser
from json import loads
from os import _exit
from os import fork
from os import getpid
from os import getppid
from os import kill
from os import wait
from pathlib import Path
from random import Random
from signal import SIG_DFL
from signal import SIGKILL
from signal import signal
from signal import SIGTERM
import sys
from time import sleep
from traceback import print_exc
from typing import TYPE_CHECKING

from aiohttp import web
import anyio

from sassafrasgate.core.identifiers import rank_names
from tests.standins.gangs import GangDirectory
from tests.standins.platform_workers import CAPACITY
from tests.standins.platform_workers import listen
from tests.standins.platform_workers import WorkerProgram
from tests.standins.recorded_workers import RecordedWorker
from tests.standins.worker_records import RecordFile
from tests.standins.worker_records import SUFFIX

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import FrameType

ADVISED_SHARE = 0.6
ADVICE_NAME = 'advice'
RESTART_DELAYS_S = (0.0, 0.0, 0.05, 0.3, 1.0)
PARENT_CHECK_INTERVAL_S = 0.5


class Supervisor:
    """Parent of the processes.

    Parameters
    ----------
    addresses : dict of str to str
        IP number and port of each worker, by its id.
    store_address, advice_address : str
        IP number and port of the stand-in for the store, and of the advice
        service.
    directory : Path
        Directory for the records of the workers.
    seed : int
        Seed for the delays before restarts and for the runs.
    """

    def __init__(
        self,
        addresses: dict[str, str],
        store_address: str,
        advice_address: str,
        directory: Path,
        seed: int,
    ) -> None:
        self._addresses = addresses
        self._store_address = store_address
        self._advice_address = advice_address
        self._directory = directory
        self._random = Random(seed)
        self._names: dict[int, str] = {}
        self._pid = getpid()

    def run(self) -> None:
        """Start the processes, and each one again when it has ended."""
        self._directory.mkdir(parents=True, exist_ok=True)
        signal(SIGTERM, self._stop)
        for name in (ADVICE_NAME, *self._addresses):
            self._start(name)
        while True:
            pid, _ = wait()
            sleep(self._random.choice(RESTART_DELAYS_S))
            self._start(self._names.pop(pid))

    def _stop(self, number: int, frame: FrameType | None) -> None:
        for pid in self._names:
            kill(pid, SIGKILL)
        sys.exit()

    def _start(self, name: str) -> None:
        seed = self._random.getrandbits(32)
        pid = fork()
        if pid:
            self._names[pid] = name
            return
        signal(SIGTERM, SIG_DFL)
        try:
            anyio.run(self._run_child, name, seed)
        except BaseException:
            print_exc()
        _exit(1)

    async def _run_child(self, name: str, seed: int) -> None:
        serve: Callable[[], Awaitable[None]] = self._serve_advice
        if name != ADVICE_NAME:
            serve = self._make_worker(name, seed).serve
        async with anyio.create_task_group() as group:
            group.start_soon(serve)
            while getppid() == self._pid:
                await anyio.sleep(PARENT_CHECK_INTERVAL_S)
            group.cancel_scope.cancel()

    def _make_worker(self, name: str, seed: int) -> WorkerProgram:
        worker = RecordedWorker(
            name,
            Random(seed),
            CAPACITY,
            RecordFile(self._directory / f'{name}{SUFFIX}'),
            GangDirectory(self._directory / 'gangs', name),
        )
        return WorkerProgram(
            worker, self._addresses[name], self._store_address
        )

    async def _serve_advice(self) -> None:
        application = web.Application()
        application.add_routes([web.post('/api/advise', self._give_advice)])
        await listen(application, self._advice_address)
        print(f'serving {ADVICE_NAME}', flush=True)
        await anyio.sleep_forever()

    async def _give_advice(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        job_id = body['step'].split('.', 1)[0]
        await anyio.sleep(0.02)
        names = rank_names(job_id, self._addresses)
        admitted = names[: max(3, int(ADVISED_SHARE * len(names)))]
        good = [
            [worker, f'ticket-{worker}']
            for worker in body['workers']
            if worker in admitted
        ]
        return web.json_response({'good': good, 'validMs': 2000})


if __name__ == '__main__':
    parser = ArgumentParser()
    parser.add_argument('--advice', required=True)
    parser.add_argument('--store', required=True)
    parser.add_argument('--directory', type=Path, required=True)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument(
        '--worker', action='append', required=True, help='ID=ADDRESS'
    )
    arguments = parser.parse_args()
    Supervisor(
        dict(worker.split('=') for worker in arguments.worker),
        arguments.store,
        arguments.advice,
        arguments.directory,
        arguments.seed,
    ).run()
