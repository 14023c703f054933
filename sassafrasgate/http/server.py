"""Serving of an ASGI application with hypercorn."""

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

DRAIN_S = 20.0
# Longer than the idle time of usual load balancers, so that the balancer
# closes idle connections first and never sends into a closing one.
KEEP_ALIVE_S = 75.0
# hypercorn closes a connection after so many requests, 1,000 by default,
# without announcing it, and a request that a balancer sends on it is lost.
KEEP_ALIVE_REQUESTS = 10**9


async def serve_http(
    application: ASGIApp,
    address: str,
    shutdown_event: Event,
    drain_s: float = DRAIN_S,
    *,
    listener: socket | None = None,
    task_status: TaskStatus[str] = TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until ``shutdown_event`` is set.

    Then it closes the listening socket and idle connections, and lets open
    requests end. The caller reports itself as not ready a few seconds
    before, so that the load balancer has stopped sending by then.

    Parameters
    ----------
    application : ASGI application
        What to serve.
    address : str
        IP number and port; port 0 lets the system choose one.
    shutdown_event : Event
        Starts the stop.
    drain_s : float
        How long open requests may take to end, in seconds.
    listener : socket, optional
        Listens on the address already; it is closed with the server.
    task_status : TaskStatus
        For ``TaskGroup.start``: gets the bound address once connections
        are accepted.

    Raises
    ------
    AddressError
        When the address is not an IP number with a port, or is in use.
    """
    if listener is None:
        listener = open_listener(address)
    host, port = listener.getsockname()[:2]
    bound = f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
    config = Config()
    # hypercorn takes over the descriptor and closes it.
    config.bind = [f'fd://{listener.detach()}']
    config.backlog = BACKLOG
    config.graceful_timeout = drain_s
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = KEEP_ALIVE_REQUESTS
    config.include_server_header = False
    config.errorlog = getLogger('hypercorn.error')
    stop = Event()
    async with create_task_group() as group:
        group.start_soon(_run_hypercorn, application, config, stop)
        task_status.started(bound)
        try:
            await shutdown_event.wait()
        except get_cancelled_exc_class():
            # A cancelled caller does not wait for open requests.
            config.graceful_timeout = 0
            raise
        finally:
            stop.set()


async def _run_hypercorn(
    application: ASGIApp, config: Config, stop: Event
) -> None:
    # hypercorn's own ASGI types name every event; starlette's are plain.
    framework = cast('Any', application)
    # A cancellation in the middle of hypercorn's stop ends in an
    # InvalidStateError, so it is told to stop instead.
    with CancelScope(shield=True):
        await serve(framework, config, shutdown_trigger=stop.wait)
