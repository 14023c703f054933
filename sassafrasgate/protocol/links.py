"""Links between processes over pyzmq, each socket owned by one task.

Both ends send heartbeats, because one end can lose a connection without
either end being notified. A client that has received nothing for
`PEER_TIMEOUT_S` closes its socket and opens a new one on another port.
"""

from __future__ import annotations

from collections import deque
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
from sassafrasgate.core.streams import receive_batches
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.protocol.codec import decode_envelope
from sassafrasgate.protocol.codec import encode_envelope
from sassafrasgate.protocol.codec import Envelope
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.messages import OutcomeUnknown
from sassafrasgate.protocol.reply_windows import ReplyWindow

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

    from anyio.streams.memory import MemoryObjectReceiveStream

HEARTBEAT_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 2.0
MAX_QUEUED_MESSAGES = 4096
MIB = 1024 * 1024
# Far above a submission and a value of the store. The state of a shard whose
# planned stop would exceed it is read from the journal instead.
MAX_MESSAGE_BYTES = 32 * MIB
# Frames that wait for a peer that does not read. The rest stays with the
# callers, which get no reply.
MAX_QUEUED_BYTES = 16 * MIB
# Messages between a socket and the thread of zmq. They bound what a process
# that is busy has received, and what waits for a peer that does not read.
HIGH_WATER_MARK = 64
# A reply to a client whose queue is full would be dropped.
REPLY_HIGH_WATER_MARK = 4096
# Limit for the replies of more than `LARGE_REPLY_BYTES` that one client gets
# in a window; the others are too small to matter. A client that takes a shard
# over reads the journal through one host within it.
MAX_LARGE_REPLIES_BYTES = 2 * MAX_MESSAGE_BYTES
LARGE_REPLIES_WINDOW_MS = 30_000
LARGE_REPLY_BYTES = MIB // 16
# A connection that has not shown by then that it speaks the protocol is
# closed.
HANDSHAKE_TIMEOUT_MS = 5_000
# A request consists of the identity of the connection and one frame.
REQUEST_PARTS = 2


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request from another process.

    Parameters
    ----------
    client : bytes
        Identity of the connection, assigned by zmq.
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
    """A reply for a connected client."""

    client: bytes
    request_id: int
    message: Any


@dataclass(frozen=True, slots=True)
class _OutgoingReplyFrame:
    client: bytes
    frame: bytes


@dataclass(frozen=True, slots=True)
class LinkCounts:
    """Counters of a link since it was created."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_answers: int = 0
    bad_frames: int = 0
    reopened: int = 0
    too_large: int = 0
    queue_full: int = 0


@dataclass(frozen=True, slots=True)
class _OutgoingFrame:
    frame: bytes
    request_id: int = 0
    reply_to: MemoryObjectSendStream[Any] | None = None

    @property
    def is_abandoned(self) -> bool:
        """Whether nobody waits for the reply any more."""
        if self.reply_to is None:
            return False
        return not self.reply_to.statistics().open_receive_streams


class Link:
    """The client end of a link to one process.

    Parameters
    ----------
    address : str
        IP number and port of the server end.
    make_heartbeat : callable
        Returns the `Heartbeat` of this process to send.
    handle_heartbeat : callable
        Called with each `Heartbeat` of the peer.
    handle_disconnect : callable, optional
        Called with the address when the peer has closed the connection, for
        example because its process has ended.

    Examples
    --------
    Run it in a task group, then send requests from other tasks::

        tasks.start_soon(link.run)
        reply = await link.request(Query('north', job_id), timeout_s=2)
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
        self._messages, self._inbox = _make_message_stream()
        self._queued_bytes = 0
        self._open_requests: dict[int, MemoryObjectSendStream[Any]] = {}
        self._next_request_id = 1
        self._alive_at = 0
        self._received_at = now_ms()
        self._unconnected_since = now_ms()
        self._sent_at = 0
        self._counts = _LinkCounter()

    @property
    def counts(self) -> LinkCounts:
        """Counters of the link."""
        return self._counts.freeze()

    @property
    def is_alive(self) -> bool:
        """Whether data was received within `PEER_TIMEOUT_S`.

        Opening a socket counts as receiving data.
        """
        return now_ms() - self._alive_at < PEER_TIMEOUT_S * 1000

    @property
    def received_at(self) -> int:
        """Steady clock in ms when data arrived, or the link was created."""
        return self._received_at

    @property
    def silent_ms(self) -> int:
        """Milliseconds since data was received, or the link was created."""
        return now_ms() - self._received_at

    @property
    def unconnected_ms(self) -> int:
        """Milliseconds without a connection; 0 while there is one."""
        if not self._unconnected_since:
            return 0
        return now_ms() - self._unconnected_since

    async def request(
        self, message: Any, timeout_s: float, attempt: int = 1
    ) -> Any:
        """Send a request and return its reply.

        Returns
        -------
        object
            A registered message, or `NoReply` when none arrived in time.
        """
        reply_to, replies = anyio.create_memory_object_stream[Any](1)
        with replies:
            failure = self._enqueue(
                message, int(timeout_s * 1000), reply_to, attempt
            )
            if failure is not None:
                return failure
            with anyio.move_on_after(timeout_s):
                return await replies.receive()
        return NoReply(
            f'{self.address} did not reply within {timeout_s:.1f} s'
        )

    def send(self, message: Any) -> bool:
        """Queue a one-way message; return whether it was queued."""
        return self._enqueue(message, 0, None, 1) is None

    def _enqueue(
        self,
        message: Any,
        timeout_ms: int,
        reply_to: MemoryObjectSendStream[Any] | None,
        attempt: int,
    ) -> NoReply | None:
        """Queue a message; return why it was not queued.

        A message is encoded here, so that its size is known while it waits.
        """
        request_id = self._next_request_id if reply_to else 0
        try:
            frame = encode_envelope(
                Envelope(request_id, False, attempt, timeout_ms, message)
            )
        except (OverflowError, TypeError, ValueError) as error:
            self._counts.bad_frames += 1
            return NoReply(f'cannot encode a {message.kind!r}: {error}')
        if len(frame) > MAX_MESSAGE_BYTES:
            self._counts.too_large += 1
            return NoReply(
                f'a {message.kind!r} of {len(frame)} bytes exceeds the limit '
                f'of {MAX_MESSAGE_BYTES}'
            )
        if not self._queue_frame(_OutgoingFrame(frame, request_id, reply_to)):
            self._counts.queue_full += 1
            return NoReply(
                f'the send queue of the link to {self.address} is full'
            )
        self._next_request_id += 1
        return None

    def _queue_frame(self, outgoing: _OutgoingFrame) -> bool:
        size = len(outgoing.frame)
        if self._queued_bytes and self._queued_bytes + size > MAX_QUEUED_BYTES:
            return False
        try:
            self._messages.send_nowait(outgoing)
        except anyio.WouldBlock:
            return False
        self._queued_bytes += size
        return True

    async def run(self) -> None:
        """Own the socket until cancelled."""
        context = zmq.asyncio.Context.instance()
        while True:
            socket = context.socket(zmq.DEALER)
            socket.set(zmq.LINGER, 0)
            socket.set(zmq.SNDHWM, HIGH_WATER_MARK)
            socket.set(zmq.RCVHWM, HIGH_WATER_MARK)
            socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
            monitor = socket.get_monitor_socket(
                zmq.EVENT_DISCONNECTED | zmq.EVENT_HANDSHAKE_SUCCEEDED
            )
            socket.connect(f'tcp://{self.address}')
            self._alive_at = now_ms()
            try:
                await self._serve_socket(socket, monitor)
            finally:
                socket.disable_monitor()
                monitor.close()
                socket.close()
            self._counts.reopened += 1
            self._unconnected_since = self._unconnected_since or now_ms()
            self._fail_open_requests(
                f'the link to {self.address} timed out: no data received'
            )

    async def _serve_socket(
        self, socket: zmq.asyncio.Socket, monitor: Any
    ) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_connection, monitor)
            tasks.start_soon(self._send_messages, socket)
            tasks.start_soon(self._receive_replies, socket)
            while self.is_alive:
                if now_ms() - self._sent_at >= HEARTBEAT_INTERVAL_S * 1000:
                    # With a full queue, its messages show that this end is
                    # alive.
                    self.send(self._make_heartbeat())
                await anyio.sleep(HEARTBEAT_INTERVAL_S / 2)
            tasks.cancel_scope.cancel()

    async def _watch_connection(self, monitor: Any) -> None:
        """Fail open requests as soon as the connection is closed.

        zmq reconnects automatically.
        """
        while True:
            event = await recv_monitor_message(monitor)
            if event['event'] == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                self._unconnected_since = 0
                continue
            self._unconnected_since = now_ms()
            self._fail_open_requests(f'{self.address} closed the connection')
            if self._handle_disconnect is not None:
                self._handle_disconnect(self.address)

    async def _send_messages(self, socket: zmq.asyncio.Socket) -> None:
        async for batch in receive_batches(self._inbox):
            waiting = deque(batch)
            try:
                while waiting:
                    await self._send_frame(socket, waiting.popleft())
            finally:
                # The socket was closed before it took the others.
                self._fail_waiting(waiting)

    def _fail_waiting(self, waiting: Iterable[_OutgoingFrame]) -> None:
        for outgoing in waiting:
            self._queued_bytes -= len(outgoing.frame)
            if outgoing.reply_to is not None:
                _complete_request(
                    outgoing.reply_to,
                    NoReply(f'{self.address} has read nothing for too long'),
                )

    async def _send_frame(
        self, socket: zmq.asyncio.Socket, outgoing: _OutgoingFrame
    ) -> None:
        self._queued_bytes -= len(outgoing.frame)
        if outgoing.is_abandoned:
            return
        if outgoing.reply_to is not None:
            self._open_requests[outgoing.request_id] = outgoing.reply_to
        self._sent_at = now_ms()
        self._counts.record_sent(outgoing.frame)
        await socket.send(outgoing.frame)

    async def _receive_replies(self, socket: zmq.asyncio.Socket) -> None:
        while True:
            frame = await socket.recv()
            self._alive_at = self._received_at = now_ms()
            envelope = _read_frame(frame, self._counts, self._handle_heartbeat)
            if envelope is not None:
                self._deliver_reply(envelope)

    def _deliver_reply(self, envelope: Envelope) -> None:
        reply_to = self._open_requests.pop(envelope.request, None)
        if reply_to is None:
            self._counts.dropped_answers += 1
            return
        reply = envelope.body
        if isinstance(reply, OutcomeUnknown):
            reply = reply.to_no_reply()
        if not _complete_request(reply_to, reply):
            self._counts.dropped_answers += 1

    def _fail_open_requests(self, reason: str) -> None:
        """Complete open requests, whose replies can no longer arrive."""
        for reply_to in self._open_requests.values():
            _complete_request(reply_to, NoReply(reason))
        self._open_requests.clear()


class LinkServer:
    """The server end of all links to this process.

    Parameters
    ----------
    address : str
        IP number and port to bind.
    handle : callable
        Awaited with each `IncomingRequest`. It must return quickly, because
        the server receives nothing meanwhile.
    make_heartbeat : callable
        Returns the heartbeat that the server sends.
    handle_heartbeat : callable
        Receives each heartbeat that has arrived.
    handle_error : callable
        Receives each unexpected error. The message that has caused it gets
        no reply, so that its effect is unknown to its sender.
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[IncomingRequest], Awaitable[None]],
        make_heartbeat: Callable[[], Heartbeat],
        handle_heartbeat: Callable[[Heartbeat], None],
        handle_error: Callable[[Exception], None],
    ) -> None:
        self.address = address
        self._handle = handle
        self._make_heartbeat = make_heartbeat
        self._handle_heartbeat = handle_heartbeat
        self._handle_error = handle_error
        self._replies, self._outbox = _make_reply_stream()
        self._clients: dict[bytes, int] = {}
        self._large_replies = ReplyWindow(
            MAX_LARGE_REPLIES_BYTES, LARGE_REPLIES_WINDOW_MS
        )
        self._counts = _LinkCounter()

    @property
    def counts(self) -> LinkCounts:
        """Counters of all links to this server."""
        return self._counts.freeze()

    async def reply(self, reply: OutgoingReply) -> None:
        """Queue a reply; it is dropped if its client has disconnected.

        The caller goes on at once unless the queue is full. An owner that
        waited for the event loop with each reply could send only one in each
        iteration, of which a busy process makes few. A reply is encoded here,
        so that large ones count while they wait.
        """
        try:
            frame = encode_envelope(
                Envelope(reply.request_id, True, 1, 0, reply.message)
            )
        except Exception as error:
            self._handle_error(error)
            return
        if not self._may_send(reply.client, len(frame)):
            return
        outgoing = _OutgoingReplyFrame(reply.client, frame)
        try:
            self._replies.send_nowait(outgoing)
        except anyio.WouldBlock:
            await self._replies.send(outgoing)

    async def run(self) -> None:
        """Own the socket until cancelled."""
        context = zmq.asyncio.Context.instance()
        socket = context.socket(zmq.ROUTER)
        socket.set(zmq.LINGER, 200)
        socket.set(zmq.SNDHWM, REPLY_HIGH_WATER_MARK)
        socket.set(zmq.RCVHWM, HIGH_WATER_MARK)
        socket.set(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.set(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
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
            try:
                await self._handle_frame(client, frame)
            except Exception as error:
                self._handle_error(error)

    async def _handle_frame(self, client: bytes, frame: bytes) -> None:
        envelope = _read_frame(frame, self._counts, self._handle_heartbeat)
        if envelope is None:
            return
        await self._handle(
            IncomingRequest(
                client,
                envelope.request,
                envelope.timeout_ms,
                envelope.body,
            )
        )

    async def _send_replies(self, socket: zmq.asyncio.Socket) -> None:
        async for batch in receive_batches(self._outbox):
            for outgoing in batch:
                self._counts.record_sent(outgoing.frame)
                # Large frames are handed over, not copied.
                await socket.send_multipart(
                    [outgoing.client, outgoing.frame], copy=False
                )

    def _may_send(self, client: bytes, size: int) -> bool:
        """Return whether a reply may wait for its client to read it."""
        if size > MAX_MESSAGE_BYTES:
            self._counts.too_large += 1
            return False
        if size <= LARGE_REPLY_BYTES:
            return True
        # A client that has sent nothing for a while is gone, and what it holds
        # is no longer counted.
        is_known = client in self._clients
        if not is_known or not self._large_replies.add(client, size, now_ms()):
            self._counts.queue_full += 1
            return False
        return True

    async def _send_heartbeats(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL_S)
            oldest = now_ms() - PEER_TIMEOUT_S * 2000
            for client, received_at in list(self._clients.items()):
                if received_at < oldest:
                    del self._clients[client]
                    self._large_replies.forget(client)
                    continue
                await self.reply(
                    OutgoingReply(client, 0, self._make_heartbeat())
                )


class _LinkCounter:
    """Mutable counters of a link."""

    def __init__(self) -> None:
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0
        self.received_bytes = 0
        self.dropped_answers = 0
        self.bad_frames = 0
        self.reopened = 0
        self.too_large = 0
        self.queue_full = 0

    def record_sent(self, frame: bytes) -> None:
        self.sent_messages += 1
        self.sent_bytes += len(frame)

    def record_received(self, frame: bytes) -> None:
        self.received_messages += 1
        self.received_bytes += len(frame)

    def freeze(self) -> LinkCounts:
        return LinkCounts(**vars(self))


def _complete_request(
    reply_to: MemoryObjectSendStream[Any], reply: Any
) -> bool:
    """Pass a reply on; return False if its caller no longer waits."""
    try:
        reply_to.send_nowait(reply)
    except (anyio.BrokenResourceError, anyio.WouldBlock):
        return False
    finally:
        reply_to.close()
    return True


def _read_frame(
    frame: bytes,
    counts: _LinkCounter,
    handle_heartbeat: Callable[[Heartbeat], None],
) -> Envelope | None:
    """Return the envelope of a frame; None for a heartbeat or bad frame."""
    counts.record_received(frame)
    try:
        envelope = decode_envelope(frame)
    except MessageError:
        counts.bad_frames += 1
        return None
    if isinstance(envelope.body, Heartbeat):
        handle_heartbeat(envelope.body)
        return None
    return envelope


def _make_message_stream() -> tuple[
    MemoryObjectSendStream[_OutgoingFrame],
    MemoryObjectReceiveStream[_OutgoingFrame],
]:
    return anyio.create_memory_object_stream[_OutgoingFrame](
        MAX_QUEUED_MESSAGES
    )


def _make_reply_stream() -> tuple[
    MemoryObjectSendStream[_OutgoingReplyFrame],
    MemoryObjectReceiveStream[_OutgoingReplyFrame],
]:
    return anyio.create_memory_object_stream[_OutgoingReplyFrame](
        MAX_QUEUED_MESSAGES
    )
