"""Serves the stand-ins over HTTP and injects faults into their calls."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from signal import SIGINT
from signal import SIGTERM
from socket import AF_INET
from socket import IPPROTO_TCP
from socket import SHUT_RDWR
from socket import SO_REUSEADDR
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from typing import Any
from typing import TYPE_CHECKING
from weakref import WeakSet
from weakref import WeakValueDictionary

from anyio import create_task_group
from anyio import Event
from anyio import open_signal_receiver
from anyio import sleep
from anyio import sleep_forever
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.config import Sockets
from msgspec import convert
from msgspec import ValidationError
from msgspec.json import decode
from msgspec.json import encode
from starlette.responses import Response

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    from collections.abc import Sequence

    from starlette.requests import Request
    from starlette.types import ASGIApp
    from starlette.types import Receive
    from starlette.types import Scope
    from starlette.types import Send

Peer = tuple[str, int]

JSON = 'application/json'
CONTROL_PREFIX = '/control/'


def make_json_response(value: Any, status: int = 200) -> Response:
    """Return a response with ``value`` as msgspec encodes it."""
    return Response(encode(value), status, media_type=JSON)


async def read_json(request: Request, kind: type[Any]) -> Any:
    """Return the body of a request as a value of ``kind``."""
    return decode(await request.body(), type=kind)


def split_address(address: str) -> Peer:
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


class _ListeningSocket(socket):
    """Keeps track of accepted connections so that faults can close them."""

    def __init__(self) -> None:
        # asyncio turns off Nagle's algorithm only for sockets whose protocol
        # is stated. The algorithm would delay each response by 40 ms, until a
        # delayed acknowledgement, since hypercorn sends head and body
        # separately.
        super().__init__(AF_INET, SOCK_STREAM, IPPROTO_TCP)
        self.accepted: WeakValueDictionary[Peer, socket] = (
            WeakValueDictionary()
        )

    def accept(self) -> tuple[socket, Any]:
        connection, peer = super().accept()
        self.accepted[peer] = connection
        return connection, peer


class Listener(Config):
    """The listening socket of one stand-in.

    Parameters
    ----------
    address : str
        IP number and port; port 0 lets the system choose.
    """

    def __init__(self, address: str) -> None:
        super().__init__()
        self._socket = _ListeningSocket()
        self._socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._socket.bind(split_address(address))
        self._socket.listen(self.backlog)
        self.graceful_timeout = 0.2
        self.keep_alive_timeout = 120
        self.loglevel = 'ERROR'
        host, port = self._socket.getsockname()
        self.address = f'{host}:{port}'

    def create_sockets(self) -> Sockets:
        """Return the socket that is already bound."""
        self._socket.setblocking(False)
        return Sockets([], [self._socket], [])

    def find_connection(self, peer: Peer) -> socket | None:
        """Return the open connection from a peer."""
        return self._socket.accepted.get(peer)


def _abort(connection: socket) -> None:
    """Close a connection without a response."""
    # The peer may have closed the connection already.
    with suppress(OSError):
        connection.shutdown(SHUT_RDWR)


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults between callers and a stand-in.

    Parameters
    ----------
    down : bool
        Close every connection that carries a call, including waiting ones.
    frozen : bool
        Delay calls until the fault ends. They are performed then, even if
        the caller has closed the connection.
    silent : bool
        Send no responses. Connections that are used during the fault get no
        responses afterwards either; connections opened later work.
    delay_ms : int
        Time in ms before a call is performed.
    lose_replies : int
        Number of the next writes that are performed without a response.
    lose_path : str
        Text that a path contains if `lose_replies` applies to its calls, so
        that a test can select a start among frequent syncs.
    """

    down: bool = False
    frozen: bool = False
    silent: bool = False
    delay_ms: int = 0
    lose_replies: int = 0
    lose_path: str = ''


class FaultMiddleware:
    """ASGI middleware that applies `Faults`, except to control paths.

    Parameters
    ----------
    application : ASGIApp
        The API that the middleware wraps.
    listener : Listener
        The listener that accepts the connections of the API.
    count_call : callable
        Called with the scope of each call on arrival, also if a fault
        prevents the call.
    """

    def __init__(
        self,
        application: ASGIApp,
        listener: Listener,
        count_call: Callable[[Scope], None],
    ) -> None:
        self._application = application
        self._listener = listener
        self._count_call = count_call
        self._faults = Faults()
        self._faults_changed = Event()
        self._call_connections: WeakSet[socket] = WeakSet()
        self._silent_connections: WeakSet[socket] = WeakSet()

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Set the given faults; the others keep their values.

        Raises
        ------
        ValidationError
            If a value has the wrong type.
        """
        known = {
            name: value
            for name, value in changes.items()
            if name in Faults.__dataclass_fields__
        }
        self._faults = convert(
            {
                name: known.get(name, getattr(self._faults, name))
                for name in Faults.__dataclass_fields__
            },
            Faults,
        )
        if self._faults.down:
            self.abort_connections()
        if changes.get('silence_connections'):
            self._silent_connections.update(self._call_connections)
        self._faults_changed.set()
        self._faults_changed = Event()

    def abort_connections(self) -> None:
        """Close every connection that has carried a call."""
        for connection in self._call_connections:
            _abort(connection)

    def _loses_reply(self, scope: Scope) -> bool:
        return (
            self._faults.lose_replies > 0
            and scope['method'] != 'GET'
            and self._faults.lose_path in scope['path']
        )

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one call under the current faults."""
        if scope['type'] != 'http' or scope['path'].startswith(CONTROL_PREFIX):
            await self._application(scope, receive, send)
            return
        self._count_call(scope)
        connection = self._listener.find_connection(tuple(scope['client']))
        if connection is None:
            return
        self._call_connections.add(connection)
        if self._faults.silent:
            self._silent_connections.add(connection)
        if connection in self._silent_connections:
            await sleep_forever()
        if self._faults.delay_ms:
            await sleep(self._faults.delay_ms / 1000)
        while self._faults.frozen:
            await self._faults_changed.wait()
        if self._faults.down:
            _abort(connection)
            return
        if self._loses_reply(scope):
            self._faults = replace(
                self._faults, lose_replies=self._faults.lose_replies - 1
            )
            await self._application(scope, receive, _discard_response)
            _abort(connection)
            return
        await self._application(scope, receive, send)


async def _discard_response(message: Any) -> None:
    """Replace ``send`` for a call whose response a fault discards."""


def make_bad_request_response(error: ValidationError) -> Response:
    """Return the response to a body that does not match its type."""
    return make_json_response({'reason': str(error)}, 400)


async def serve_applications(
    applications: Sequence[tuple[ASGIApp, Listener]],
    background: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Serve until the process gets SIGTERM or SIGINT.

    Prints one line ``serving IP:PORT`` for each listener once it is bound.
    """
    stopping = Event()

    async def watch_signals() -> None:
        with open_signal_receiver(SIGTERM, SIGINT) as signals:
            async for _ in signals:
                stopping.set()
                return

    async def serve_all() -> None:
        async with create_task_group() as servers:
            for application, listener in applications:
                servers.start_soon(
                    partial(
                        serve,
                        application,  # type: ignore[arg-type]
                        listener,
                        shutdown_trigger=stopping.wait,
                    )
                )
                print(f'serving {listener.address}', flush=True)
        tasks.cancel_scope.cancel()

    async with create_task_group() as tasks:
        tasks.start_soon(watch_signals)
        tasks.start_soon(background)
        tasks.start_soon(serve_all)
