"""Stand-in for the platform's workers, which simulates tasks by timers.

Run ``python -m tests.standins.worker --address 127.0.0.1:PORT`` for one
worker, or with repeated ``--worker name=127.0.0.1:PORT`` for several.
"""

from __future__ import annotations

from argparse import ArgumentParser
from collections import Counter
from time import monotonic
from typing import TYPE_CHECKING

from anyio import create_task_group
from anyio import move_on_after
from anyio import run
from msgspec import ValidationError
from starlette.applications import Starlette
from starlette.responses import Response
from starlette.routing import Route

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import StartRequest
from sassafrasgate.core.tasks import StartStatus
from sassafrasgate.core.tasks import SyncRequest
from sassafrasgate.core.tasks import TaskCommand
from tests.standins.serving import FaultMiddleware
from tests.standins.serving import Listener
from tests.standins.serving import make_bad_request_response
from tests.standins.serving import make_json_response
from tests.standins.serving import read_json
from tests.standins.serving import serve_applications
from tests.standins.simulation import Worker

if TYPE_CHECKING:
    from collections.abc import Callable

    from starlette.requests import Request
    from starlette.types import Scope

    from sassafrasgate.core.tasks import StartReply

STATUS_CODES = {
    StartStatus.STARTED: 201,
    StartStatus.ENDED: 200,
    StartStatus.REFUSED: 409,
}


class WorkerProgram:
    """HTTP API over one `Worker`."""

    def __init__(self, capacity: Resources, listener: Listener) -> None:
        self._worker = Worker(capacity)
        self._calls: Counter[str] = Counter()
        self.listener = listener
        self.middleware = FaultMiddleware(
            Starlette(
                routes=[
                    Route('/v1/sync', self.sync, methods=['POST']),
                    Route('/v1/tasks', self.start, methods=['POST']),
                    Route('/v1/tasks/{task}/output', self.read_output),
                    Route(
                        '/v1/tasks/{task}/{command}',
                        self.command,
                        methods=['POST'],
                    ),
                    Route('/control/record', self.show_record),
                    Route('/control/counts', self.show_counts),
                    Route(
                        '/control/faults',
                        self.change_faults,
                        methods=['POST'],
                    ),
                ],
                exception_handlers={ValidationError: _handle_bad_body},
            ),
            listener,
            lambda scope: self._calls.update([_classify_call(scope)]),
        )

    async def run_tasks(self) -> None:
        """End tasks when their run time or lease ends, until cancelled."""
        while True:
            wait_ms = self._worker.compute_wait_ms()
            changed = self._worker.changed
            with move_on_after(None if wait_ms is None else wait_ms / 1000):
                await changed.wait()

    async def sync(self, request: Request) -> Response:
        """Handle a sync, a long poll that responds at the next change."""
        body = await read_json(request, SyncRequest)
        worker = self._worker
        if not worker.accept_epoch(body.shard, body.epoch):
            return make_json_response(worker.build_sync_reply(body), 409)
        worker.sync(body)
        incarnation = worker.incarnation
        leaving = worker.faults.leaving

        def has_changes() -> bool:
            reply = worker.build_sync_reply(body)
            return (
                not reply.accepted
                or bool(reply.ended)
                or reply.incarnation != incarnation
                or reply.leaving != leaving
            )

        await self._wait_until(has_changes, body.wait_ms)
        reply = worker.build_sync_reply(body)
        return make_json_response(reply, 200 if reply.accepted else 409)

    async def start(self, request: Request) -> Response:
        """Handle a start; if the caller waits, respond when the task ends."""
        body = await read_json(request, StartRequest)
        worker = self._worker
        reply = worker.start(body)
        if reply.status is StartStatus.STARTED and body.wait_ms:
            reply = await self._wait_for_end(body, reply)
        return make_json_response(reply, STATUS_CODES[reply.status])

    async def _wait_for_end(
        self, body: StartRequest, reply: StartReply
    ) -> StartReply:
        def has_ended() -> bool:
            current = self._worker.find_start(body.task)
            return current is None or current.status is not StartStatus.STARTED

        await self._wait_until(has_ended, body.wait_ms)
        return self._worker.find_start(body.task) or reply

    async def _wait_until(
        self, condition: Callable[[], bool], wait_ms: int
    ) -> None:
        until = monotonic() + wait_ms / 1000
        while (remaining := until - monotonic()) > 0:
            changed = self._worker.changed
            if condition():
                return
            with move_on_after(remaining):
                await changed.wait()

    async def read_output(self, request: Request) -> Response:
        """Return an ended task's output."""
        output = self._worker.find_output(request.path_params['task'])
        if output is None:
            return Response(status_code=404)
        return Response(output, media_type='application/octet-stream')

    async def command(self, request: Request) -> Response:
        """Handle a command: stop, throttle or checkpoint."""
        command = await read_json(request, TaskCommand)
        name = request.path_params['command']
        if name not in ('stop', 'throttle', 'checkpoint'):
            return Response(status_code=404)
        task = request.path_params['task']
        reason = self._worker.command(name, task, command)
        return make_json_response(
            self._worker.build_command_reply(reason), 409 if reason else 200
        )

    async def show_record(self, request: Request) -> Response:
        """Return the record of the worker."""
        return make_json_response(self._worker.build_record())

    async def show_counts(self, request: Request) -> Response:
        """Return the number of calls of each kind."""
        return make_json_response(self._calls)

    async def change_faults(self, request: Request) -> Response:
        """Set faults of the worker and of its connections."""
        changes = await read_json(request, dict[str, object])
        self._worker.change_faults(changes)
        if changes.get('restart'):
            self._worker.restart()
            self.middleware.abort_connections()
        self.middleware.change_faults(changes)
        return Response(status_code=204)


def _classify_call(scope: Scope) -> str:
    """Return the kind of a call, such as sync, tasks, output or stop."""
    name: str = scope['path'].rpartition('/')[2]
    return name


def _handle_bad_body(request: Request, error: Exception) -> Response:
    assert isinstance(error, ValidationError)
    return make_bad_request_response(error)


async def run_workers(programs: list[WorkerProgram]) -> None:
    """Serve several workers from one process."""

    async def run_all_tasks() -> None:
        async with create_task_group() as tasks:
            for program in programs:
                tasks.start_soon(program.run_tasks)

    await serve_applications(
        [(program.middleware, program.listener) for program in programs],
        run_all_tasks,
    )


def run_program() -> None:
    """Parse the arguments and serve."""
    parser = ArgumentParser()
    parser.add_argument('--address')
    parser.add_argument('--worker', action='append', default=[])
    parser.add_argument('--millicores', type=int, default=16_000)
    parser.add_argument('--memory-mb', type=int, default=32_768)
    parser.add_argument('--accelerators', type=int, default=0)
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--connections', type=int, default=64)
    arguments = parser.parse_args()
    addresses = [named.partition('=')[2] for named in arguments.worker]
    if arguments.address:
        addresses.append(arguments.address)
    capacity = Resources(
        arguments.millicores,
        arguments.memory_mb,
        arguments.accelerators,
        arguments.slots,
        arguments.connections,
    )
    programs = [
        WorkerProgram(capacity, Listener(address)) for address in addresses
    ]
    run(run_workers, programs)


if __name__ == '__main__':
    run_program()
