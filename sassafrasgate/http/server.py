"""HTTP server that runs an ASGI application with hypercorn."""

from __future__ import annotations

from logging import getLogger
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

from anyio import CancelScope
from anyio import create_task_group
from anyio import Event
from anyio import get_cancelled_exc_class
from anyio import TASK_STATUS_IGNORED
from hypercorn.asyncio import serve
from hypercorn.config import Config

from sassafrasgate.http.listeners import BACKLOG
from sassafrasgate.http.listeners import open_listener

if TYPE_CHECKING:
    from socket import socket

    from anyio.abc import TaskStatus
    from starlette.types import ASGIApp

DRAIN_TIMEOUT_S = 20.0
# Longer than the idle timeout of common load balancers, so that the balancer
# closes idle connections first and sends no request on a closing one.
KEEP_ALIVE_TIMEOUT_S = 75.0
# After this number of requests, by default 1,000, hypercorn closes a
# connection without notice, and a request that a load balancer then sends on
# it is lost.
MAX_KEEP_ALIVE_REQUESTS = 10**9


async def serve_http(
    application: ASGIApp,
    address: str,
    shutdown_event: Event,
    drain_s: float = DRAIN_TIMEOUT_S,
    *,
    listener: socket | None = None,
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
    config = Config()
    # hypercorn takes ownership of the file descriptor and closes it.
    config.bind = [f'fd://{listener.detach()}']
    config.backlog = BACKLOG
    config.graceful_timeout = drain_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.include_server_header = False
    config.errorlog = getLogger('hypercorn.error')
    stop = Event()
    async with create_task_group() as group:
        group.start_soon(_run_hypercorn, application, config, stop)
        task_status.started(bound_address)
        try:
            await shutdown_event.wait()
        except get_cancelled_exc_class():
            # On cancellation, do not wait for open requests.
            config.graceful_timeout = 0
            raise
        finally:
            stop.set()


async def _run_hypercorn(
    application: ASGIApp, config: Config, stop: Event
) -> None:
    # hypercorn's ASGI types declare each event; starlette's are plain
    # mappings, so a cast is needed.
    asgi_app = cast('Any', application)
    # Cancelling hypercorn during its shutdown raises InvalidStateError, so it
    # is shielded and stopped by its shutdown trigger instead.
    with CancelScope(shield=True):
        await serve(asgi_app, config, shutdown_trigger=stop.wait)
