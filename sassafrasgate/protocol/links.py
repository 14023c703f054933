"""Links between processes over pyzmq, each socket owned by one task.

Both ends send heartbeats, because one end can lose track of a connection
without either being told. A client whose peer has been silent for
`SILENCE_S` closes its socket and opens a new one, which gets a new port.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import anyio
from anyio.streams.memory import MemoryObjectSendStream
import zmq
import zmq.asyncio
from zmq.utils.monitor import recv_monitor_message

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import NoReply
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.protocol.codec import decode_envelope
from sassafrasgate.protocol.codec import encode_envelope
from sassafrasgate.protocol.codec import Envelope
from sassafrasgate.protocol.messages import Heartbeat

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.streams.memory import MemoryObjectReceiveStream

HEARTBEAT_S = 0.5
SILENCE_S = 2.0
MAX_QUEUED_CALLS = 4096
HIGH_WATER_MARK = 4096
# The identity of the connection and one frame.
REQUEST_PARTS = 2


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request from another process.

    Parameters
    ----------
    client : bytes
        Identity of the connection.
    request_id : int
        Id that the reply must carry; 0 when no reply is expected.
    timeout_ms : int
        How long the client waits for the reply, in milliseconds.
    """

    client: bytes
    request_id: int
    timeout_ms: int
    message: Any


@dataclass(frozen=True, slots=True)
class OutgoingReply:
    """An answer for a connected client."""

    client: bytes
    request_id: int
    message: Any


@dataclass(frozen=True, slots=True)
class LinkCounts:
    """What a link has counted since it was made."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_answers: int = 0
    bad_frames: int = 0
    reopened: int = 0


@dataclass(frozen=True, slots=True)
class _Call:
    message: Any
    timeout_ms: int
    reply_to: MemoryObjectSendStream[Any] | None
    attempt: int


class Link:
    """The client end of a link to one process.

    Parameters
    ----------
    address : str
        IP number and port of the server end.
    make_heartbeat : callable
        Returns the `Heartbeat` to send, with what this process knows.
    handle_heartbeat : callable
        Called with each `Heartbeat` of the peer.
    handle_disconnect : callable, optional
        Called with the address when the peer's end has closed the
        connection, as when its process has ended.

    Examples
    --------
    Run it in a task group, then ask from other tasks::

        tasks.start_soon(link.run)
        answer = await link.request(Query('north', job_id), timeout_s=2)
    """

    def __init__(
        self,
        address: str,
        make_heartbeat: Callable[[], Heartbeat],
        handle_heartbeat: Callable[[Heartbeat], None],
        handle_disconnect: Callable[[str], None] | None = None,
    ) -> None:
        self.address = address
        self._make_heartbeat = make_heartbeat
        self._handle_heartbeat = handle_heartbeat
        self._handle_disconnect = handle_disconnect
        self._calls, self._inbox = _make_call_stream()
        self._open: dict[int, MemoryObjectSendStream[Any]] = {}
        self._next_request = 1
        self._heard_at = 0
        self._last_heard_at = now_ms()
        self._sent_at = 0
        self._counts = _Counter()

    @property
    def counts(self) -> LinkCounts:
        """What the link has counted."""
        return self._counts.freeze()

    @property
    def is_alive(self) -> bool:
        """Whether the peer has been heard within `SILENCE_S`."""
        return now_ms() - self._heard_at < SILENCE_S * 1000

    @property
    def silent_ms(self) -> int:
        """Time since the peer was heard, or since the link was made."""
        return now_ms() - self._last_heard_at

    async def request(
        self, message: Any, timeout_s: float, attempt: int = 1
    ) -> Any:
        """Send a request and return its answer.

        Returns
        -------
        object
            A registered message, or `NoReply` when none came in time.
        """
        reply_to, answers = anyio.create_memory_object_stream[Any](1)
        call = _Call(message, int(timeout_s * 1000), reply_to, attempt)
        with answers:
            try:
                self._calls.send_nowait(call)
            except anyio.WouldBlock:
                return NoReply(f'the link to {self.address} is full')
            with anyio.move_on_after(timeout_s):
                return await answers.receive()
        return NoReply(
            f'{self.address} did not answer within {timeout_s:.1f} s'
        )

    def send(self, message: Any) -> bool:
        """Send a message without an answer; False when the link is full."""
        try:
            self._calls.send_nowait(_Call(message, 0, None, 1))
        except anyio.WouldBlock:
            return False
        return True

    async def run(self) -> None:
        """Own the socket until cancelled."""
        context = zmq.asyncio.Context.instance()
        while True:
            socket = context.socket(zmq.DEALER)
            socket.set(zmq.LINGER, 0)
            socket.set(zmq.SNDHWM, HIGH_WATER_MARK)
            monitor = socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
            socket.connect(f'tcp://{self.address}')
            self._heard_at = now_ms()
            try:
                await self._serve_socket(socket, monitor)
            finally:
                socket.disable_monitor()
                monitor.close()
                socket.close()
            self._counts.reopened += 1
            self._fail_open_requests(f'the link to {self.address} went silent')

    async def _serve_socket(
        self, socket: zmq.asyncio.Socket, monitor: Any
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_connection, monitor)
            tasks.start_soon(self._send_calls, socket)
            tasks.start_soon(self._receive_answers, socket)
            while self.is_alive:
                if now_ms() - self._sent_at >= HEARTBEAT_S * 1000:
                    # A full queue sends something soon anyway.
                    self.send(self._make_heartbeat())
                await anyio.sleep(HEARTBEAT_S / 2)
            tasks.cancel_scope.cancel()

    async def _watch_connection(self, monitor: Any) -> None:
        """Fail open requests as soon as the connection is closed.

        zmq opens a new one by itself.
        """
        while True:
            await recv_monitor_message(monitor)
            self._fail_open_requests(f'{self.address} closed the connection')
            if self._handle_disconnect is not None:
                self._handle_disconnect(self.address)

    async def _send_calls(self, socket: zmq.asyncio.Socket) -> None:
        async for call in self._inbox:
            request = 0
            if call.reply_to is not None:
                request = self._next_request
                self._next_request += 1
                self._open[request] = call.reply_to
            frame = encode_envelope(
                Envelope(
                    request,
                    False,
                    call.attempt,
                    call.timeout_ms,
                    call.message,
                )
            )
            self._sent_at = now_ms()
            self._counts.note_sent(frame)
            await socket.send(frame)

    async def _receive_answers(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            frame = await socket.recv()
            self._heard_at = self._last_heard_at = now_ms()
            envelope = _read_frame(frame, self._counts, self._handle_heartbeat)
            if envelope is not None:
                self._deliver(envelope)

    def _deliver(self, envelope: Envelope) -> None:
        reply_to = self._open.pop(envelope.request, None)
        if reply_to is None:
            self._counts.dropped_answers += 1
            return
        try:
            reply_to.send_nowait(envelope.body)
        except (anyio.BrokenResourceError, anyio.WouldBlock):
            self._counts.dropped_answers += 1
        reply_to.close()

    def _fail_open_requests(self, reason: str) -> None:
        """Answer open requests, whose answers can't arrive any more."""
        for reply_to in self._open.values():
            try:
                reply_to.send_nowait(NoReply(reason))
            except (anyio.BrokenResourceError, anyio.WouldBlock):
                continue
            finally:
                reply_to.close()
        self._open.clear()


class LinkServer:
    """The server end of all links to this process.

    Parameters
    ----------
    address : str
        IP number and port to bind.
    handle : callable
        Awaited with each `IncomingRequest`; must not block for long.
    make_heartbeat, handle_heartbeat : callable
        As for `Link`.
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[IncomingRequest], Awaitable[None]],
        make_heartbeat: Callable[[], Heartbeat],
        handle_heartbeat: Callable[[Heartbeat], None],
    ) -> None:
        self.address = address
        self._handle = handle
        self._make_heartbeat = make_heartbeat
        self._handle_heartbeat = handle_heartbeat
        self._replies, self._outbox = _make_reply_stream()
        self._clients: dict[bytes, int] = {}
        self._counts = _Counter()

    @property
    def counts(self) -> LinkCounts:
        """What the server end has counted."""
        return self._counts.freeze()

    async def reply(self, reply: OutgoingReply) -> None:
        """Queue an answer; it is dropped when its client is gone."""
        await self._replies.send(reply)

    async def run(self) -> None:
        """Own the socket until cancelled."""
        context = zmq.asyncio.Context.instance()
        socket = context.socket(zmq.ROUTER)
        socket.set(zmq.LINGER, 200)
        socket.set(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.bind(f'tcp://{self.address}')
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_replies, socket)
                tasks.start_soon(self._send_heartbeats)
                await self._receive_requests(socket)
        finally:
            socket.close()

    async def _receive_requests(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            parts = await socket.recv_multipart()
            if len(parts) != REQUEST_PARTS:
                self._counts.bad_frames += 1
                continue
            client, frame = parts
            self._clients[client] = now_ms()
            envelope = _read_frame(frame, self._counts, self._handle_heartbeat)
            if envelope is None:
                continue
            await self._handle(
                IncomingRequest(
                    client,
                    envelope.request,
                    envelope.timeout_ms,
                    envelope.body,
                )
            )

    async def _send_replies(self, socket: zmq.asyncio.Socket) -> None:
        async for reply in self._outbox:
            frame = encode_envelope(
                Envelope(reply.request_id, True, 1, 0, reply.message)
            )
            self._counts.note_sent(frame)
            await socket.send_multipart([reply.client, frame])

    async def _send_heartbeats(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_S)
            oldest = now_ms() - SILENCE_S * 2000
            for client, heard_at in list(self._clients.items()):
                if heard_at < oldest:
                    del self._clients[client]
                    continue
                await self._replies.send(
                    OutgoingReply(client, 0, self._make_heartbeat())
                )


class _Counter:
    def __init__(self) -> None:
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_answers = 0
        self.bad_frames = 0
        self.reopened = 0

    def note_sent(self, frame: bytes) -> None:
        self.sent_messages += 1
        self.sent_bytes += len(frame)

    def note_received(self, frame: bytes) -> None:
        self.received_messages += 1
        self.received_bytes += len(frame)

    def freeze(self) -> LinkCounts:
        return LinkCounts(**vars(self))


def _read_frame(
    frame: bytes,
    counts: _Counter,
    handle_heartbeat: Callable[[Heartbeat], None],
) -> Envelope | None:
    """Count a frame and return its envelope, unless it is a heartbeat."""
    counts.note_received(frame)
    try:
        envelope = decode_envelope(frame)
    except MessageError:
        counts.bad_frames += 1
        return None
    if isinstance(envelope.body, Heartbeat):
        handle_heartbeat(envelope.body)
        return None
    return envelope


def _make_call_stream() -> tuple[
    MemoryObjectSendStream[_Call], MemoryObjectReceiveStream[_Call]
]:
    return anyio.create_memory_object_stream[_Call](MAX_QUEUED_CALLS)


def _make_reply_stream() -> tuple[
    MemoryObjectSendStream[OutgoingReply],
    MemoryObjectReceiveStream[OutgoingReply],
]:
    return anyio.create_memory_object_stream[OutgoingReply](MAX_QUEUED_CALLS)
