"""A connection of the HTTP server, which bounds what it reads ahead.

hypercorn's HTTP/1.1 protocol parses the requests and runs the application.
Its server buffers up to 400 KiB for each connection, and reads and waits
without limits; this module takes its place.
"""

from __future__ import annotations

import asyncio
from asyncio import Event
from asyncio import TaskGroup
from asyncio import Transport
from fcntl import ioctl
from sys import byteorder
from termios import TIOCOUTQ
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

from anyio import CancelScope
from hypercorn.events import Closed
from hypercorn.events import RawData
from hypercorn.events import Updated
from hypercorn.typing import ConnectionState as RequestState
from hypercorn.utils import parse_socket_addr

from sassafrasgate.http.admission import BODY_COPIES
from sassafrasgate.http.admission import ConnectionState
from sassafrasgate.http.limits import KIB
from sassafrasgate.http.refusals import CloseReason
from sassafrasgate.http.refusals import REFUSALS
from sassafrasgate.http.requests import Http1Protocol
from sassafrasgate.http.requests import RequestTasks
from sassafrasgate.http.requests import UnsupportedProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hypercorn.config import Config
    from hypercorn.events import Event as ProtocolEvent
    from hypercorn.typing import WorkerContext

    from sassafrasgate.core.caller_limits import CallerLimits
    from sassafrasgate.http.guards import ConnectionGuard

# Key of the connection in the state of an ASGI scope.
CONNECTION_KEY = 'connection'
READ_BYTES = 16 * KIB
INTEGER_BYTES = 4
# A connection with this many unparsed bytes is not read until the request
# before them has been served.
READ_AHEAD_BYTES = 16 * KIB
WRITE_BUFFER_BYTES = 16 * KIB
# What a refused client may still send before its connection is reset.
MAX_DISCARDED_BYTES = 8 * 1024 * KIB
# Limit of heads, chunk headers and trailers in the parser.
MAX_INCOMPLETE_BYTES = 64 * KIB
# The kernel is asked how much a client has not read after it was sent this
# much.
UNCHECKED_BYTES = 8 * KIB

TIMEOUT_REASONS = {
    ConnectionState.IDLE: CloseReason.IDLE,
    ConnectionState.HEAD: CloseReason.HEAD_TIMEOUT,
    ConnectionState.BODY: CloseReason.BODY_TIMEOUT,
    ConnectionState.UNREAD: CloseReason.UNREAD_RESPONSE,
    ConnectionState.CLOSING: CloseReason.LATE_CLOSE,
}
IDLE_STATES = frozenset(
    {ConnectionState.IDLE, ConnectionState.HEAD, ConnectionState.CLOSING}
)
# States in which no part of a request can have run and no response has begun.
REFUSABLE_STATES = frozenset({ConnectionState.HEAD, ConnectionState.BODY})

# One buffer serves all connections: its content is copied within the callback
# that follows each read.
_read_buffer = memoryview(bytearray(READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """One connection: its socket, its parser and what they hold.

    Parameters
    ----------
    app : ASGI application
        Application that handles the requests.
    config : Config
        Configuration of hypercorn.
    context : WorkerContext
        Tells whether the server stops.
    guard : ConnectionGuard
        Counts what the connection holds and decides how long it stays open.
    get_limits : callable
        Returns the limits in force.
    start : callable
        Runs the connection as a task of its own.
    kernel_bytes : int
        Size of the kernel's receive buffer.
    """

    def __init__(
        self,
        app: Any,
        config: Config,
        context: WorkerContext,
        guard: ConnectionGuard,
        get_limits: Callable[[], CallerLimits],
        start: Callable[[Connection], None],
        kernel_bytes: int,
    ) -> None:
        self.get_limits = get_limits
        self._start = start
        self._kernel_bytes = kernel_bytes
        self.usage = guard.add(self)
        self._app = app
        self._config = config
        self._context = context
        self._guard = guard
        self._transport: Transport
        self._protocol: Http1Protocol
        self._reading = CancelScope()
        self._unparsed = bytearray()
        self._arrived = Event()
        self._writable = Event()
        self._writable.set()
        self._lost = Event()
        self._at_eof = False
        self._paused_bytes = 0
        self._unread_bytes = 0
        self._unchecked_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._discarded_bytes = 0

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve requests."""
        self._transport = cast('Transport', transport)
        self._transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
        self._guard.enter(self.usage, ConnectionState.IDLE)
        self._start(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Keep what has arrived for the parser."""
        usage = self.usage
        if usage.state is ConnectionState.CLOSING:
            self._discard(nbytes)
            return
        if usage.state is ConnectionState.IDLE:
            self._guard.enter(usage, ConnectionState.HEAD)
        self._unparsed += _read_buffer[:nbytes]
        self._arrived.set()
        if len(self._unparsed) >= READ_AHEAD_BYTES and not self._paused_bytes:
            self._transport.pause_reading()
            self._paused_bytes = self._kernel_bytes
            usage.is_paused = True
        self._guard.hold(usage, nbytes + self._paused_bytes)

    def eof_received(self) -> bool:
        """Serve what has arrived; the client may still read."""
        self._at_eof = True
        self._arrived.set()
        return self.usage.state is not ConnectionState.CLOSING

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop reading and writing; a request that is served continues."""
        self._lost.set()
        self._writable.set()
        self._guard.disconnect(self.usage)
        self._reading.cancel()

    def pause_writing(self) -> None:
        """Wait for the client to read the response."""
        self._writable.clear()
        if self.usage.state is not ConnectionState.CLOSING:
            self._guard.enter(self.usage, ConnectionState.UNREAD)
            self._count_unread()

    def resume_writing(self) -> None:
        """Continue to write the response."""
        self._writable.set()
        if self.usage.state is ConnectionState.UNREAD:
            self._guard.enter(self.usage, ConnectionState.SERVED)
            self._count_unread()

    # Reading and parsing.

    async def run(self) -> None:
        """Serve the requests of the connection until it is closed."""
        try:
            async with TaskGroup() as group:
                self._protocol = self._make_protocol(group)
                with self._reading:
                    await self._read_requests()
                await self._protocol.handle(Closed())
            self._close()
            # The connection counts until its socket is closed.
            await self._lost.wait()
        finally:
            self._transport.close()

    def _make_protocol(self, group: TaskGroup) -> Http1Protocol:
        socket = self._transport.get_extra_info('socket')
        peer = self._transport.get_extra_info('peername')
        own = self._transport.get_extra_info('sockname')
        return Http1Protocol(
            cast('Any', self._app),
            self._config,
            cast('Any', self._context),
            cast('Any', RequestTasks(group)),
            RequestState({CONNECTION_KEY: self}),
            False,
            parse_socket_addr(socket.family, peer) if peer else None,
            parse_socket_addr(socket.family, own),
            self._handle_event,
        )

    async def _read_requests(self) -> None:
        while data := await self._take_data():
            try:
                await self._protocol.handle(RawData(data))
            except UnsupportedProtocolError:
                self._close()
                return
            max_bytes = self.get_limits().max_header_bytes
            if (
                self.usage.state is ConnectionState.HEAD
                and self._head_bytes > max_bytes
            ):
                self.refuse(CloseReason.HEAD_TOO_LARGE)

    async def _take_data(self) -> bytes:
        """Return what has arrived; empty at the end of the stream."""
        while not self._unparsed and not self._at_eof:
            self._arrived.clear()
            await self._arrived.wait()
        data = bytes(self._unparsed)
        self._unparsed.clear()
        self._resume_reading()
        if self.usage.state is ConnectionState.HEAD:
            self._head_bytes += len(data)
        elif self.usage.state is ConnectionState.BODY:
            self.usage.body_bytes += len(data)
            self._body_bytes += len(data) * BODY_COPIES
            self._guard.hold(self.usage, len(data) * (BODY_COPIES - 1))
        else:
            self._guard.hold(self.usage, -len(data))
        return data

    def _resume_reading(self) -> None:
        if not self._paused_bytes:
            return
        self._transport.resume_reading()
        self._guard.hold(self.usage, -self._paused_bytes)
        self._paused_bytes = 0
        self.usage.is_paused = False

    # Events of hypercorn's protocol.

    async def _handle_event(self, event: ProtocolEvent) -> None:
        if isinstance(event, RawData):
            await self._write(event.data)
        elif isinstance(event, Closed):
            self._close()
        elif isinstance(event, Updated):
            self._change_request(event.idle)

    async def _write(self, data: bytes) -> None:
        is_closing = self._transport.is_closing()
        if is_closing or self.usage.state is ConnectionState.CLOSING:
            return
        self._transport.write(data)
        self._unchecked_bytes += len(data)
        await self._writable.wait()

    def _change_request(self, is_finished: bool) -> None:
        if self.usage.state is ConnectionState.CLOSING:
            return
        if not is_finished:
            self._guard.hold(self.usage, -self._head_bytes)
            self._head_bytes = 0
            self._guard.enter(self.usage, ConnectionState.SERVED)
            return
        ahead = len(self._protocol.connection.trailing_data[0])
        state = ConnectionState.IDLE
        if ahead or self._unparsed:
            state = ConnectionState.HEAD
        self._guard.enter(self.usage, state)
        self._head_bytes = ahead
        self._guard.hold(self.usage, ahead)

    # The body of a request, if it is received before the request is served.

    def begin_body(self) -> None:
        """Take note that the rest of the request is a body."""
        if self.usage.state is ConnectionState.SERVED:
            self.usage.body_bytes = 0
            self._guard.enter(self.usage, ConnectionState.BODY)

    def end_body(self) -> bool:
        """Return whether the request, which is complete, may be served."""
        if self.usage.state is not ConnectionState.BODY:
            return False
        self._guard.enter(self.usage, ConnectionState.SERVED)
        return True

    def release_body(self) -> None:
        """Count the body as held no longer."""
        self._guard.hold(self.usage, -self._body_bytes)
        self._body_bytes = 0

    def check_unread(self) -> None:
        """Count what the client has not read, if it was sent much."""
        if self._unchecked_bytes >= UNCHECKED_BYTES:
            self._count_unread()

    def _count_unread(self) -> None:
        buffered = self._transport.get_write_buffer_size()
        unread_bytes = buffered + self._read_unsent_bytes()
        self._guard.hold(self.usage, unread_bytes - self._unread_bytes)
        self._unread_bytes = unread_bytes
        if not unread_bytes:
            self._unchecked_bytes = 0

    def _read_unsent_bytes(self) -> int:
        """Return the bytes that the kernel holds until the client reads."""
        size = bytearray(INTEGER_BYTES)
        try:
            ioctl(self._transport.get_extra_info('socket'), TIOCOUTQ, size)
        except (OSError, ValueError):
            # The socket is closed, or the system does not tell.
            return 0
        return int.from_bytes(size, byteorder)

    # Closing.

    def refuse(self, reason: CloseReason) -> None:
        """Close the connection, with a response if that can be true."""
        state = self.usage.state
        is_closing = state is ConnectionState.CLOSING
        if self._transport.is_closing() and not is_closing:
            return
        self._guard.count(reason)
        if state in REFUSABLE_STATES:
            self._transport.write(REFUSALS[reason].render())
            self._close()
            return
        self._guard.disconnect(self.usage)
        # A transport with unread output would stay open until it is read.
        if (
            state is ConnectionState.IDLE
            and not self._transport.get_write_buffer_size()
        ):
            self._transport.close()
        else:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if it has no request."""
        if self.usage.state in IDLE_STATES:
            self._transport.close()

    def _close(self) -> None:
        """Close the connection once its client has read the response.

        Closing a socket with unread data resets the connection, and the
        client may then lose the response. What arrives is therefore
        discarded until the client closes its end.
        """
        is_closing = self._transport.is_closing()
        if is_closing or self.usage.state is ConnectionState.CLOSING:
            return
        self._reading.cancel()
        self._resume_reading()
        self._guard.hold(self.usage, -len(self._unparsed) - self._head_bytes)
        self._unparsed.clear()
        self._head_bytes = 0
        self._guard.enter(self.usage, ConnectionState.CLOSING)
        if self._at_eof or self._context.terminated.is_set():
            # It counts as open until the client has read what was written.
            self._transport.close()
            return
        self._transport.write_eof()

    def _discard(self, nbytes: int) -> None:
        self._discarded_bytes += nbytes
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._transport.abort()
