"""Stand-in for the platform's workers; tasks run only as timers.

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
from tests.standins.serving import FaultGate
from tests.standins.serving import Listener
from tests.standins.serving import read_json
from tests.standins.serving import reply_invalid
from tests.standins.serving import reply_json
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
    """HTTP routes over one `Worker`."""

    def __init__(self, capacity: Resources, listener: Listener) -> None:
        self._worker = Worker(capacity)
        self._calls: Counter[str] = Counter()
        self.listener = listener
        self.gate = FaultGate(
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
                exception_handlers={ValidationError: _reply_bad_body},
            ),
            listener,
            lambda scope: self._calls.update([_name_call(scope)]),
        )

    async def run_tasks(self) -> None:
        """End tasks when they are due."""
        while True:
            wait_ms = self._worker.find_wait_ms()
            news = self._worker.news
            with move_on_after(None if wait_ms is None else wait_ms / 1000):
                await news.wait()

    async def sync(self, request: Request) -> Response:
        """Answer a sync, at once when there is news."""
        body = await read_json(request, SyncRequest)
        worker = self._worker
        if not worker.raise_fence(body.shard, body.epoch):
            return reply_json(worker.build_sync_reply(body), 409)
        worker.sync(body)
        incarnation = worker.incarnation
        leaving = worker.faults.leaving

        def has_news() -> bool:
            reply = worker.build_sync_reply(body)
            return (
                not reply.accepted
                or bool(reply.ended)
                or reply.incarnation != incarnation
                or reply.leaving != leaving
            )

        await self._wait_until(has_news, body.wait_ms)
        reply = worker.build_sync_reply(body)
        return reply_json(reply, 200 if reply.accepted else 409)

    async def start(self, request: Request) -> Response:
        """Answer a start, once the task has ended if the caller waits."""
        body = await read_json(request, StartRequest)
        worker = self._worker
        reply = worker.start(body)
        if reply.status is StartStatus.STARTED and body.wait_ms:
            reply = await self._wait_for_end(body, reply)
        return reply_json(reply, STATUS_CODES[reply.status])

    async def _wait_for_end(
        self, body: StartRequest, reply: StartReply
    ) -> StartReply:
        def is_over() -> bool:
            answer = self._worker.find_start(body.task)
            return answer is None or answer.status is not StartStatus.STARTED

        await self._wait_until(is_over, body.wait_ms)
        return self._worker.find_start(body.task) or reply

    async def _wait_until(
        self, condition: Callable[[], bool], wait_ms: int
    ) -> None:
        until = monotonic() + wait_ms / 1000
        while (remaining := until - monotonic()) > 0:
            news = self._worker.news
            if condition():
                return
            with move_on_after(remaining):
                await news.wait()

    async def read_output(self, request: Request) -> Response:
        """Answer with an ended task's output."""
        output = self._worker.find_output(request.path_params['task'])
        if output is None:
            return Response(status_code=404)
        return Response(output, media_type='application/octet-stream')

    async def command(self, request: Request) -> Response:
        """Answer a stop, throttle or checkpoint."""
        order = await read_json(request, TaskCommand)
        name = request.path_params['command']
        if name not in ('stop', 'throttle', 'checkpoint'):
            return Response(status_code=404)
        task = request.path_params['task']
        reason = self._worker.command(name, task, order)
        return reply_json(
            self._worker.build_command_reply(reason), 409 if reason else 200
        )

    async def show_record(self, request: Request) -> Response:
        """Answer with what the worker has seen."""
        return reply_json(self._worker.build_record())

    async def show_counts(self, request: Request) -> Response:
        """Answer with the number of calls of each kind."""
        return reply_json(self._calls)

    async def change_faults(self, request: Request) -> Response:
        """Set faults."""
        changes = await read_json(request, dict[str, object])
        self._worker.change_faults(changes)
        if changes.get('restart'):
            self._worker.restart()
            self.gate.drop_callers()
        self.gate.change(changes)
        return Response(status_code=204)


def _name_call(scope: Scope) -> str:
    """Return the kind of a call: sync, tasks, output, stop and so on."""
    name: str = scope['path'].rpartition('/')[2]
    return name


def _reply_bad_body(request: Request, error: Exception) -> Response:
    assert isinstance(error, ValidationError)
    return reply_invalid(error)


async def run_workers(programs: list[WorkerProgram]) -> None:
    """Serve several workers from one process."""

    async def run_all_tasks() -> None:
        async with create_task_group() as tasks:
            for program in programs:
                tasks.start_soon(program.run_tasks)

    await serve_applications(
        [(program.gate, program.listener) for program in programs],
        run_all_tasks,
    )


def run_program() -> None:
    """Read the arguments and serve."""
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
