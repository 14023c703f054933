"""Stand-in for the users' platform's workers and its advice service.

All workers live in one process and check the rules of a day together, as
`tests.dispatch.simulation` has them, in real time. Run ``python -m
tests.standins.platform_workers --help``.
"""

from __future__ import annotations

from argparse import ArgumentParser
from json import loads
from typing import Any

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import web
import anyio

from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import split_step_task_id
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.state import RunKey
from tests.dispatch.simulation import RuleViolation
from tests.dispatch.simulation import SimCluster
from tests.dispatch.simulation import SimWorker
from tests.standins.store import read_clock_ms

STEP_S = 0.005
BEAT_S = 0.5
CAPACITY = Resources(8_000, 16_000)
GOOD_SHARE = 0.6
HOWS = {
    EndKind.FINISHED: 'done',
    EndKind.FAILED: 'failed',
    EndKind.STOPPED: 'stopped',
    EndKind.LAPSED: 'lapsed',
    EndKind.PEER_ENDED: 'broken',
    EndKind.INCOMPLETE_GANG: 'alone',
}
REASONS = {
    StartRefusal.STALE_EPOCH: 'fence',
    StartRefusal.OLD_RUN: 'old',
    StartRefusal.DEADLINE_PASSED: 'late',
}


class WorkersProgram:
    """The workers' calls over `SimCluster`, in real time.

    Parameters
    ----------
    addresses : dict of str to str
        Where each worker serves, by its id.
    public : dict of str to str
        The address that each worker registers, which may be a proxy's.
    store : str
        IP number and port of the store.
    """

    def __init__(
        self, addresses: dict[str, str], public: dict[str, str], store: str
    ) -> None:
        self._addresses = addresses
        self._public = public
        self._store = store
        self._world = SimCluster(seed=1, workers=0)
        self._began = read_clock_ms()
        self._news: dict[str, anyio.Event] = {}
        self._leaving: set[str] = set()
        self._hanging: set[str] = set()
        self._violations: list[str] = []
        for name in addresses:
            worker = SimWorker(
                name, self._world.rules, self._world.random, CAPACITY
            )
            self._world.workers[name] = worker
            self._news[name] = anyio.Event()

    def _now(self) -> int:
        return read_clock_ms() - self._began

    async def advance(self) -> None:
        """Let runs end at their times, until cancelled."""
        while True:
            numbers = {
                name: worker.last_end_number
                for name, worker in self._world.workers.items()
            }
            try:
                self._world.run(self._now())
            except RuleViolation as error:
                self._violations.append(str(error))
            for name, number in numbers.items():
                if self._world.workers[name].last_end_number != number:
                    self._news[name].set()
                    self._news[name] = anyio.Event()
            await anyio.sleep(STEP_S)

    async def register(self) -> None:
        """Keep the workers' entries in the store, until cancelled."""
        async with ClientSession() as session:
            number = 0
            while True:
                number += 1
                for name in self._addresses:
                    await self._write_entry(session, name, number)
                await anyio.sleep(BEAT_S)

    async def _write_entry(
        self, session: ClientSession, name: str, number: int
    ) -> None:
        worker = self._world.workers[name]
        entry = {
            'service': 'pool',
            'address': self._public[name],
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if name in self._leaving else 'ready',
            'coldLeftMs': 0,
            'capacity': {'cpu': CAPACITY.millicores, 'memMb': 16_000},
            'labels': ['a', 'r1'],
            'born': worker.incarnation_ms,
            'sequence': number,
        }
        try:
            async with session.post(
                f'http://{self._store}/control/put',
                json={'key': f'servers/{name}', 'value': entry},
            ) as response:
                await response.read()
        except ClientError:
            # The store is paused or busy; the next beat comes soon.
            return

    def build_worker(self, name: str) -> web.Application:
        """Return the HTTP application of one worker."""

        def route(handle: Any) -> Any:
            async def serve(request: web.Request) -> web.Response:
                if request.headers.get('Expected-Instance') != name:
                    return web.Response(status=421)
                worker = self._world.workers[name]
                body = loads(await request.read())
                return await handle(worker, body)

            return serve

        application = web.Application()
        application.add_routes(
            [
                web.post('/api/hold', route(self._hold)),
                web.post('/api/run-start', route(self._start)),
                web.post('/api/run-stop', route(self._stop)),
            ]
        )
        return application

    async def _hold(
        self, worker: SimWorker, body: dict[str, Any]
    ) -> web.Response:
        acknowledged = body.get('ackCursor', 0)
        report = worker.hold(
            self._now(),
            body['fencingToken'],
            acknowledged,
            body.get('deadlineMs', 0),
        )
        if isinstance(report, StartRefusal):
            return _refuse(worker.clock(self._now()), report)
        if body.get('waitMs') and not report.ended:
            with anyio.move_on_after(body['waitMs'] / 1000):
                await self._news[worker.name].wait()
        report = worker.report(self._now())
        return web.json_response(
            {
                'clockMs': report.clock_ms,
                'born': report.incarnation_ms,
                'running': [
                    [run.task, run.run, '', run.percent]
                    for run in report.running
                ],
                'ended': [
                    [end.number, end.task, end.run, HOWS[end.how], '']
                    for end in report.ended
                ],
            }
        )

    async def _start(
        self, worker: SimWorker, body: dict[str, Any]
    ) -> web.Response:
        job_id, _, _, _ = split_step_task_id(body['task'])
        self._world.rules.workflows.setdefault(
            job_id, _read_workflow(body['spec'])
        )
        command = StartRun(
            worker.name,
            RunKey(body['task'], body['run']),
            body['spec'],
            '',
            '',
            worker.incarnation_ms,
        )
        try:
            answer = worker.start(
                self._now(), body['fencingToken'], command, body['deadlineMs']
            )
        except RuleViolation as error:
            self._violations.append(str(error))
            return web.Response(status=400)
        if worker.name in self._hanging:
            worker.runs[command.run.task, command.run.run].ends_at += 60_000
        if answer.refusal is not None:
            return _refuse(answer.clock_ms, answer.refusal)
        return web.json_response({'clockMs': answer.clock_ms})

    async def _stop(
        self, worker: SimWorker, body: dict[str, Any]
    ) -> web.Response:
        command = StopRun(worker.name, RunKey(body['task'], body['run']))
        answer = worker.stop(self._now(), body['fencingToken'], command)
        if answer.refusal is not None:
            return _refuse(answer.clock_ms, answer.refusal)
        return web.json_response({'clockMs': answer.clock_ms})

    def build_control(self) -> web.Application:
        """Return the application for advice, faults and what was seen."""
        application = web.Application()
        application.add_routes(
            [
                web.post('/api/advise', self._advise),
                web.post('/control/fault', self._change),
                web.get('/control/record', self._show),
            ]
        )
        return application

    async def _advise(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        job_id = body['step'].split('.', 1)[0]
        await anyio.sleep(0.02)
        names = rank_names(job_id, self._addresses)
        admitted = names[: max(3, int(GOOD_SHARE * len(names)))]
        good = [
            [worker, f'ticket-{worker}']
            for worker in body['workers']
            if worker in admitted
        ]
        return web.json_response({'good': good, 'validMs': 2000})

    async def _change(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        worker = self._world.workers[body['worker']]
        kind = body['kind']
        if kind == 'restart':
            worker.restart(self._now())
        if kind == 'fail':
            worker.failure_rate = body['share']
        for name, names in (
            ('drain', self._leaving),
            ('hang', self._hanging),
        ):
            if kind == name:
                (names.add if body['on'] else names.discard)(worker.name)
        return web.json_response({})

    async def _show(self, request: web.Request) -> web.Response:
        rules = self._world.rules
        return web.json_response(
            {
                'violations': self._violations,
                'finished': sorted(rules.finished),
                'started': sorted(rules.started),
                'running': sum(
                    len(worker.runs) for worker in self._world.workers.values()
                ),
            }
        )

    async def serve(self, control: str) -> None:
        """Serve until cancelled."""
        for name, address in self._addresses.items():
            await _listen(self.build_worker(name), address)
        await _listen(self.build_control(), control)
        print(f'serving {control}', flush=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.advance)
            tasks.start_soon(self.register)


def _read_workflow(payload: str) -> Workflow:
    """Return the workflow that a caller has described in its payload."""
    steps = tuple(
        Step(
            row['count'],
            Resources(row['cpu'], row['memMb']),
            row['estimateMs'],
            tuple(row.get('after', ())),
            gang=row.get('gang', False),
        )
        for row in loads(payload)
    )
    return Workflow(payload, steps)


def _refuse(clock_ms: int, refusal: StartRefusal) -> web.Response:
    return web.json_response(
        {'clockMs': clock_ms, 'reason': REASONS.get(refusal, 'old')},
        status=409,
    )


async def _listen(application: web.Application, address: str) -> None:
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()


if __name__ == '__main__':
    parser = ArgumentParser()
    parser.add_argument('--control', required=True)
    parser.add_argument('--store', required=True)
    parser.add_argument(
        '--worker',
        action='append',
        required=True,
        help='ID=ADDRESS=PUBLIC, where PUBLIC is the address it registers',
    )
    arguments = parser.parse_args()
    rows = [worker.split('=') for worker in arguments.worker]
    program = WorkersProgram(
        {row[0]: row[1] for row in rows},
        {row[0]: row[2] for row in rows},
        arguments.store,
    )
    anyio.run(program.serve, arguments.control)
