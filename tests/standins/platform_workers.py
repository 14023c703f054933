"""Stand-in for one worker of the users' platform.

Each worker is a process of its own, which
`tests.standins.worker_processes` starts.
"""

from __future__ import annotations

from json import loads
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import web
import anyio

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import split_step_task_id
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import Step
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.identities import RunKey
from tests.dispatch.violations import RuleViolation
from tests.standins.recorded_workers import END_KIND_NAMES
from tests.standins.recorded_workers import RecordedCluster
from tests.standins.store import read_clock_ms

if TYPE_CHECKING:
    from tests.standins.recorded_workers import RecordedWorker

ADVANCE_INTERVAL_S = 0.005
REGISTRATION_INTERVAL_S = 0.5
CAPACITY = Resources(8_000, 16_000)
# Time for which a run on a hanging worker makes no progress.
HANG_MS = 60_000
REFUSAL_REASONS = {
    StartRefusal.STALE_EPOCH: 'fence',
    StartRefusal.OLD_RUN: 'old',
    StartRefusal.DEADLINE_PASSED: 'late',
}


class WorkerProgram:
    """HTTP API of one worker.

    Parameters
    ----------
    worker : RecordedWorker
        The worker.
    address : str
        IP number and port.
    store_address : str
        IP number and port of the stand-in for the store.
    """

    def __init__(
        self, worker: RecordedWorker, address: str, store_address: str
    ) -> None:
        self._worker = worker
        self._cluster = RecordedCluster(worker)
        self._address = address
        self._store_address = store_address
        self._run_ended = anyio.Event()
        self._draining = False
        # Since when the store has shown the worker as draining.
        self._draining_since_ms: int | None = None
        self._hanging = False

    async def advance(self) -> None:
        """Advance the worker periodically, until cancelled."""
        while True:
            number = self._worker.last_end_number
            try:
                self._cluster.advance()
            except RuleViolation as error:
                self._record_violation(error)
            if self._worker.last_end_number != number:
                self._run_ended.set()
                self._run_ended = anyio.Event()
            await anyio.sleep(ADVANCE_INTERVAL_S)

    def _record_violation(self, error: RuleViolation) -> None:
        worker = self._worker
        worker.write('violation', worker.read_time_ms(), text=str(error))

    async def register(self) -> None:
        """Write the worker's entry to the store, until cancelled."""
        async with ClientSession() as session:
            number = 0
            while True:
                number += 1
                await self._write_entry(session, number)
                await anyio.sleep(REGISTRATION_INTERVAL_S)

    async def _write_entry(self, session: ClientSession, number: int) -> None:
        draining = self._draining
        if not draining:
            self._draining_since_ms = None
        entry = {
            'service': 'pool',
            'address': self._address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if draining else 'ready',
            'coldLeftMs': 0,
            'capacity': {'cpu': CAPACITY.millicores, 'memMb': 16_000},
            'labels': ['a', 'r1'],
            'born': self._worker.incarnation_ms,
            'sequence': number,
        }
        try:
            async with session.post(
                f'http://{self._store_address}/control/put',
                json={'key': f'servers/{self._worker.name}', 'value': entry},
            ) as response:
                await response.read()
                if (
                    draining
                    and response.status == 200
                    and self._draining_since_ms is None
                ):
                    self._draining_since_ms = read_clock_ms()
        except ClientError:
            # The store may be suspended by a fault; the next registration
            # writes the entry again.
            return

    def build(self) -> web.Application:
        """Return the HTTP application."""

        def route(handle: Any) -> Any:
            async def serve(request: web.Request) -> web.Response:
                expected = request.headers.get('Expected-Instance')
                if expected != self._worker.name:
                    return web.Response(status=421)
                return await handle(loads(await request.read()))

            return serve

        application = web.Application()
        application.add_routes(
            [
                web.post('/api/hold', route(self._handle_hold)),
                web.post('/api/run-start', route(self._handle_start)),
                web.post('/api/run-stop', route(self._handle_stop)),
                web.post('/control/fault', self._set_fault),
            ]
        )
        return application

    async def _handle_hold(self, body: dict[str, Any]) -> web.Response:
        worker = self._worker
        report = worker.hold(
            worker.read_time_ms(),
            body['fencingToken'],
            body.get('ackCursor', 0),
            body.get('deadlineMs', 0),
        )
        if isinstance(report, StartRefusal):
            return _make_refusal(worker.clock(worker.read_time_ms()), report)
        if body.get('waitMs') and not report.ended:
            with anyio.move_on_after(body['waitMs'] / 1000):
                await self._run_ended.wait()
        report = worker.report(worker.read_time_ms())
        return web.json_response(
            {
                'clockMs': report.clock_ms,
                'born': report.incarnation_ms,
                'running': [
                    [run.task, run.run, '', run.percent]
                    for run in report.running
                ],
                'ended': [
                    [
                        end.number,
                        end.task,
                        end.run,
                        END_KIND_NAMES[end.how],
                        '',
                    ]
                    for end in report.ended
                ],
            }
        )

    async def _handle_start(self, body: dict[str, Any]) -> web.Response:
        worker = self._worker
        job_id, _, _, _ = split_step_task_id(body['task'])
        worker.rules.workflows.setdefault(job_id, _read_workflow(body['spec']))
        command = StartRun(
            worker.name,
            RunKey(body['task'], body['run']),
            body['spec'],
            '',
            '',
            worker.incarnation_ms,
        )
        try:
            reply = worker.start(
                worker.read_time_ms(),
                body['fencingToken'],
                command,
                body['deadlineMs'],
            )
        except RuleViolation as error:
            self._record_violation(error)
            return web.Response(status=400)
        if reply.refusal is not None:
            return _make_refusal(reply.clock_ms, reply.refusal)
        if self._hanging:
            worker.runs[command.run.task, command.run.run].left_ms += HANG_MS
        if self._draining_since_ms is not None:
            worker.write(
                'start-while-leaving',
                worker.read_time_ms(),
                task=body['task'],
                leaving_since_ms=self._draining_since_ms,
            )
        return web.json_response({'clockMs': reply.clock_ms})

    async def _handle_stop(self, body: dict[str, Any]) -> web.Response:
        worker = self._worker
        command = StopRun(worker.name, RunKey(body['task'], body['run']))
        reply = worker.stop(
            worker.read_time_ms(), body['fencingToken'], command
        )
        if reply.refusal is not None:
            return _make_refusal(reply.clock_ms, reply.refusal)
        return web.json_response({'clockMs': reply.clock_ms})

    async def _set_fault(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        kind = body['kind']
        if kind == 'restart':
            self._worker.restart(self._worker.read_time_ms())
        if kind == 'fail':
            self._worker.failure_rate = body['share']
        if kind == 'drain':
            self._draining = body['on']
        if kind == 'hang':
            self._hanging = body['on']
        return web.json_response({})

    async def serve(self) -> None:
        """Serve until cancelled."""
        await listen(self.build(), self._address)
        print(f'serving {self._worker.name}', flush=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.advance)
            tasks.start_soon(self.register)


def _read_workflow(payload: str) -> Workflow:
    """Return the workflow that a payload describes."""
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


def _make_refusal(clock_ms: int, refusal: StartRefusal) -> web.Response:
    return web.json_response(
        {'clockMs': clock_ms, 'reason': REFUSAL_REASONS.get(refusal, 'old')},
        status=409,
    )


async def listen(application: web.Application, address: str) -> None:
    """Begin to serve an application at an address."""
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    host, _, port = address.rpartition(':')
    await web.TCPSite(runner, host, int(port)).start()
