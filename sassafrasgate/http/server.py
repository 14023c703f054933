"""HTTP server that runs an ASGI application with hypercorn's protocol."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import Task
from asyncio import wait
from logging import getLogger
from socket import IPPROTO_TCP
from socket import SO_RCVBUF
from socket import SOL_SOCKET
from socket import TCP_NODELAY
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

from anyio import CancelScope
from anyio import create_task_group
from anyio import get_cancelled_exc_class
from anyio import TASK_STATUS_IGNORED
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from logbook import Logger

from sassafrasgate.core.caller_limits import DEFAULT_LIMITS
from sassafrasgate.http.admission import compute_budget
from sassafrasgate.http.connections import Connection
from sassafrasgate.http.connections import MAX_INCOMPLETE_BYTES
from sassafrasgate.http.guards import ConnectionGuard
from sassafrasgate.http.listeners import open_listener
from sassafrasgate.http.refusals import CloseReason
from sassafrasgate.observability.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

    from anyio import Event
    from anyio.abc import TaskStatus
    from starlette.types import ASGIApp

    from sassafrasgate.core.caller_limits import CallerLimits

DRAIN_TIMEOUT_S = 20.0
# After this number of requests, by default 1,000, hypercorn closes a
# connection without notice, and a request that a load balancer then sends on
# it is lost.
MAX_KEEP_ALIVE_REQUESTS = 10**9
# Connections that are accepted before the event loop continues.
ACCEPT_BATCH = 64
# Pause after an error of the machine, such as a lack of descriptors.
ACCEPT_RETRY_S = 0.1
DEFAULT_MEMORY_MB = 512
DEFAULT_DESCRIPTORS = 4_096


def make_default_guard() -> ConnectionGuard:
    """Return a guard for a process whose settings name no machine."""
    return ConnectionGuard(
        compute_budget(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS),
        Logger('sassafrasgate.http'),
        Metrics(),
    )


async def serve_http(
    application: ASGIApp,
    address: str,
    shutdown_event: Event,
    drain_s: float = DRAIN_TIMEOUT_S,
    *,
    listener: socket | None = None,
    guard: ConnectionGuard | None = None,
    get_limits: Callable[[], CallerLimits] = lambda: DEFAULT_LIMITS,
    task_status: TaskStatus[str] = TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown_event`` is set.

    It then closes the listening socket and idle connections, and waits for
    open requests. The calling process should report that it is not ready a
    few seconds before, so that the load balancer has stopped sending requests
    by then.

    Parameters
    ----------
    application : ASGI application
        Application that handles the requests.
    address : str
        IP number and port; with port 0 the system chooses a free port.
    shutdown_event : Event
        Starts the shutdown when it is set.
    drain_s : float
        Time limit for open requests after the shutdown starts, in seconds.
    listener : socket, optional
        Socket that listens on the address already; the server closes it.
    guard : ConnectionGuard, optional
        Guard of all connections of the process, which the caller runs.
    get_limits : callable, optional
        Returns the limits of callers in force.
    task_status : TaskStatus
        For ``TaskGroup.start``; receives the bound address once connections
        are accepted.

    Raises
    ------
    AddressError
        If the address is not an IP number with a port, or is in use.
    """
    if listener is None:
        listener = open_listener(address)
    host, port = listener.getsockname()[:2]
    bound_address = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
    async with create_task_group() as group:
        if guard is None:
            guard = make_default_guard()
            group.start_soon(guard.run)
        server = HttpServer(application, listener, guard, get_limits)
        task_status.started(bound_address)
        try:
            await shutdown_event.wait()
        except get_cancelled_exc_class():
            # On cancellation, do not wait for open requests.
            drain_s = 0
            raise
        finally:
            with CancelScope(shield=True):
                await server.stop(drain_s)
        group.cancel_scope.cancel()


class HttpServer:
    """Accepts connections and runs each as a task of its own.

    Parameters
    ----------
    application : ASGI application
        Application that handles the requests.
    listener : socket
        Socket that listens; the server closes it.
    guard : ConnectionGuard
        Decides which connections may stay open.
    get_limits : callable
        Returns the limits of callers in force.
    """

    def __init__(
        self,
        application: ASGIApp,
        listener: socket,
        guard: ConnectionGuard,
        get_limits: Callable[[], CallerLimits],
    ) -> None:
        # hypercorn's ASGI types declare each event; starlette's are plain
        # mappings, so a cast is needed.
        self._application = cast('Any', application)
        self._listener = listener
        self._guard = guard
        self._get_limits = get_limits
        self._config = _make_config()
        self._context = WorkerContext(None)
        self._tasks: dict[Task[None], Connection] = {}
        self._opening: dict[Task[Any], Connection] = {}
        self._kernel_bytes = listener.getsockopt(SOL_SOCKET, SO_RCVBUF)
        self._loop = get_running_loop()
        listener.setblocking(False)
        self._loop.add_reader(listener, self._accept)

    def _accept(self) -> None:
        """Accept the connections that wait, as far as there is room."""
        for _ in range(ACCEPT_BATCH):
            try:
                accepted, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # The machine lacks descriptors or memory for another one.
                self._guard.count(CloseReason.ACCEPT_FAILED)
                self._loop.remove_reader(self._listener)
                self._loop.call_later(ACCEPT_RETRY_S, self._resume)
                return
            if self._guard.make_room():
                self._open(accepted)
            else:
                accepted.close()

    def _resume(self) -> None:
        if not self._context.terminated.is_set():
            self._loop.add_reader(self._listener, self._accept)

    def _open(self, accepted: socket) -> None:
        accepted.setblocking(False)
        # asyncio does so only for sockets whose protocol number is set.
        accepted.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        connection = Connection(
            self._application,
            self._config,
            self._context,
            self._guard,
            self._get_limits,
            self._start,
            self._kernel_bytes,
        )
        opening = self._loop.create_task(
            self._loop.connect_accepted_socket(lambda: connection, accepted)
        )
        self._opening[opening] = connection
        opening.add_done_callback(self._finish_opening)

    def _finish_opening(self, opening: Task[Any]) -> None:
        connection = self._opening.pop(opening)
        if opening.cancelled() or opening.exception() is not None:
            self._guard.remove(connection)

    def _start(self, connection: Connection) -> None:
        task = create_task(connection.run())
        self._tasks[task] = connection
        task.add_done_callback(self._remove)

    def _remove(self, task: Task[None]) -> None:
        self._guard.remove(self._tasks.pop(task))
        if not task.cancelled() and (error := task.exception()) is not None:
            self._guard.record_failure(error)

    async def stop(self, drain_s: float) -> None:
        """Close the listening socket and wait for open requests."""
        await self._context.terminated.set()
        self._loop.remove_reader(self._listener)
        self._listener.close()
        await gather(*self._opening, return_exceptions=True)
        for connection in tuple(self._tasks.values()):
            connection.close_if_idle()
        if not self._tasks:
            return
        _, late = await wait(self._tasks, timeout=drain_s)
        for task in late:
            task.cancel()
        await gather(*late, return_exceptions=True)


def _make_config() -> Config:
    config = Config()
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.include_server_header = False
    config.errorlog = getLogger('hypercorn.error')
    config.h11_max_incomplete_size = MAX_INCOMPLETE_BYTES
    return config
