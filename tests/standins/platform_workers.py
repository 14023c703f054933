"""Stand-in for the workers and the advice service of the users' platform.

All workers run in one process, where `tests.dispatch.simulation` checks in
real time that no start violates the rules. For the options, run ``python -m
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
from sassafrasgate.dispatch.identities import RunKey
from tests.dispatch.simulation import SimCluster
from tests.dispatch.simulation import SimWorker
from tests.dispatch.violations import RuleViolation
from tests.standins.store import read_clock_ms

ADVANCE_INTERVAL_S = 0.005
REGISTRATION_INTERVAL_S = 0.5
CAPACITY = Resources(8_000, 16_000)
ADVISED_SHARE = 0.6
END_KIND_NAMES = {
    EndKind.FINISHED: 'done',
    EndKind.FAILED: 'failed',
    EndKind.STOPPED: 'stopped',
    EndKind.LAPSED: 'lapsed',
    EndKind.PEER_ENDED: 'broken',
    EndKind.INCOMPLETE_GANG: 'alone',
}
REFUSAL_REASONS = {
    StartRefusal.STALE_EPOCH: 'fence',
    StartRefusal.OLD_RUN: 'old',
    StartRefusal.DEADLINE_PASSED: 'late',
}


class WorkersProgram:
    """HTTP API of the workers over a `SimCluster` that runs in real time.

    Parameters
    ----------
    addresses : dict of str to str
        IP number and port that each worker listens on, by its id.
    registered_addresses : dict of str to str
        Address that each worker registers, by its id; may be a proxy's.
    store_address : str
        IP number and port of the stand-in for the store.
    """

    def __init__(
        self,
        addresses: dict[str, str],
        registered_addresses: dict[str, str],
        store_address: str,
    ) -> None:
        self._addresses = addresses
        self._registered_addresses = registered_addresses
        self._store_address = store_address
        self._cluster = SimCluster(seed=1, workers=0)
        self._started_at_ms = read_clock_ms()
        self._run_ended: dict[str, anyio.Event] = {}
        self._draining: set[str] = set()
        # Since when the store has shown a worker as draining, by its id.
        self._draining_since_ms: dict[str, int] = {}
        self._starts_while_leaving: list[dict[str, Any]] = []
        self._hanging: set[str] = set()
        self._violations: list[str] = []
        for name in addresses:
            worker = SimWorker(
                name, self._cluster.rules, self._cluster.random, CAPACITY
            )
            self._cluster.workers[name] = worker
            self._run_ended[name] = anyio.Event()

    def _read_time_ms(self) -> int:
        return read_clock_ms() - self._started_at_ms

    async def advance(self) -> None:
        """Advance the simulated workers periodically, until cancelled."""
        while True:
            numbers = {
                name: worker.last_end_number
                for name, worker in self._cluster.workers.items()
            }
            try:
                self._cluster.run(self._read_time_ms())
            except RuleViolation as error:
                self._violations.append(str(error))
            for name, number in numbers.items():
                if self._cluster.workers[name].last_end_number != number:
                    self._run_ended[name].set()
                    self._run_ended[name] = anyio.Event()
            await anyio.sleep(ADVANCE_INTERVAL_S)

    async def register(self) -> None:
        """Write the workers' entries to the store, until cancelled."""
        async with ClientSession() as session:
            number = 0
            while True:
                number += 1
                for name in self._addresses:
                    await self._write_entry(session, name, number)
                await anyio.sleep(REGISTRATION_INTERVAL_S)

    async def _write_entry(
        self, session: ClientSession, name: str, number: int
    ) -> None:
        worker = self._cluster.workers[name]
        draining = name in self._draining
        if not draining:
            self._draining_since_ms.pop(name, None)
        entry = {
            'service': 'pool',
            'address': self._registered_addresses[name],
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if draining else 'ready',
            'coldLeftMs': 0,
            'capacity': {'cpu': CAPACITY.millicores, 'memMb': 16_000},
            'labels': ['a', 'r1'],
            'born': worker.incarnation_ms,
            'sequence': number,
        }
        try:
            async with session.post(
                f'http://{self._store_address}/control/put',
                json={'key': f'servers/{name}', 'value': entry},
            ) as response:
                await response.read()
                if draining and response.status == 200:
                    self._draining_since_ms.setdefault(name, read_clock_ms())
        except ClientError:
            # The store may be suspended by a fault; the next registration
            # writes the entry again.
            return

    def build_worker(self, name: str) -> web.Application:
        """Return the HTTP application of one worker."""

        def route(handle: Any) -> Any:
            async def serve(request: web.Request) -> web.Response:
                if request.headers.get('Expected-Instance') != name:
                    return web.Response(status=421)
                worker = self._cluster.workers[name]
                body = loads(await request.read())
                return await handle(worker, body)

            return serve

        application = web.Application()
        application.add_routes(
            [
                web.post('/api/hold', route(self._handle_hold)),
                web.post('/api/run-start', route(self._handle_start)),
                web.post('/api/run-stop', route(self._handle_stop)),
            ]
        )
        return application

    async def _handle_hold(
        self, worker: SimWorker, body: dict[str, Any]
    ) -> web.Response:
        acknowledged = body.get('ackCursor', 0)
        report = worker.hold(
            self._read_time_ms(),
            body['fencingToken'],
            acknowledged,
            body.get('deadlineMs', 0),
        )
        if isinstance(report, StartRefusal):
            return _make_refusal(worker.clock(self._read_time_ms()), report)
        if body.get('waitMs') and not report.ended:
            with anyio.move_on_after(body['waitMs'] / 1000):
                await self._run_ended[worker.name].wait()
        report = worker.report(self._read_time_ms())
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

    async def _handle_start(
        self, worker: SimWorker, body: dict[str, Any]
    ) -> web.Response:
        job_id, _, _, _ = split_step_task_id(body['task'])
        self._cluster.rules.workflows.setdefault(
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
            reply = worker.start(
                self._read_time_ms(),
                body['fencingToken'],
                command,
                body['deadlineMs'],
            )
        except RuleViolation as error:
            self._violations.append(str(error))
            return web.Response(status=400)
        if worker.name in self._hanging:
            worker.runs[command.run.task, command.run.run].ends_at += 60_000
        if reply.refusal is not None:
            return _make_refusal(reply.clock_ms, reply.refusal)
        if worker.name in self._draining_since_ms:
            self._starts_while_leaving.append(
                {
                    'task': body['task'],
                    'worker': worker.name,
                    'at_ms': read_clock_ms(),
                    'leaving_since_ms': self._draining_since_ms[worker.name],
                }
            )
        return web.json_response({'clockMs': reply.clock_ms})

    async def _handle_stop(
        self, worker: SimWorker, body: dict[str, Any]
    ) -> web.Response:
        command = StopRun(worker.name, RunKey(body['task'], body['run']))
        reply = worker.stop(
            self._read_time_ms(), body['fencingToken'], command
        )
        if reply.refusal is not None:
            return _make_refusal(reply.clock_ms, reply.refusal)
        return web.json_response({'clockMs': reply.clock_ms})

    def build_control(self) -> web.Application:
        """Return the HTTP application for advice, faults and the record."""
        application = web.Application()
        application.add_routes(
            [
                web.post('/api/advise', self._handle_advice),
                web.post('/control/fault', self._set_fault),
                web.get('/control/record', self._show_record),
            ]
        )
        return application

    async def _handle_advice(self, request: web.Request) -> web.Response:
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

    async def _set_fault(self, request: web.Request) -> web.Response:
        body = loads(await request.read())
        worker = self._cluster.workers[body['worker']]
        kind = body['kind']
        if kind == 'restart':
            worker.restart(self._read_time_ms())
        if kind == 'fail':
            worker.failure_rate = body['share']
        for name, names in (
            ('drain', self._draining),
            ('hang', self._hanging),
        ):
            if kind == name:
                (names.add if body['on'] else names.discard)(worker.name)
        return web.json_response({})

    async def _show_record(self, request: web.Request) -> web.Response:
        rules = self._cluster.rules
        return web.json_response(
            {
                'violations': self._violations,
                'starts_while_leaving': self._starts_while_leaving,
                'finished': sorted(rules.finished),
                'started': sorted(rules.started),
                'starts': rules.starts,
                'failures': sum(rules.failures.values()),
                'running': sum(
                    len(worker.runs)
                    for worker in self._cluster.workers.values()
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
