"""Tests that no peer or stranger ends a process over the port of its links.

The server end runs in a process of its own, whose peak of resident memory is
compared with the one before.
"""

from contextlib import contextmanager
from contextlib import ExitStack
from contextlib import suppress
from itertools import count
from pathlib import Path
from random import Random
import re
from socket import create_server

import anyio
import pytest

from sassafrasgate.core.errors import NoReply
from sassafrasgate.protocol.codec import encode_envelope
from sassafrasgate.protocol.codec import Envelope
from sassafrasgate.protocol.links import Link
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import ConfigurationReply
from sassafrasgate.protocol.messages import Heartbeat
from sassafrasgate.protocol.messages import Status
from sassafrasgate.protocol.relays import RelayCall
from tests.processes import find_free_address
from tests.standins.hostile_peers import connect_to_link
from tests.standins.hostile_peers import make_frame_head

KIB = 1024
MIB = 1024 * KIB
# One largest message and what the process needs to receive it.
MEMORY_BOUND_BYTES = 96 * MIB
SENT_BYTES = 256 * MIB
PIECE = bytes(MIB)
LARGE_REPLY_BYTES = MIB
LARGE_FRAME_BYTES = 8 * MIB
STRANGERS = 40
HANG_S = 30.0
REPLY_S = 10.0

_names = count()


def ignore(heartbeat):
    """Ignore the heartbeats of the server."""


@pytest.fixture
def server(processes):
    address = find_free_address()
    process = processes.start(
        f'links-{next(_names)}', 'tests.standins.link_server', address
    )
    process.wait_for_log('serving')
    process.address = address
    send_request(address)
    return process


def send_request(address, message=None):
    """Return the reply to an ordinary request on a new link."""

    async def request():
        link = Link(address, lambda: Heartbeat('test'), ignore)
        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            reply = await link.request(message or Status(), REPLY_S)
            group.cancel_scope.cancel()
        return reply

    return anyio.run(request)


def read_peak_bytes(pid):
    status = Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', status)[1]) * KIB


@contextmanager
def check_server(server):
    """Check that the server is alive, bounded and serves others after it."""
    peak_bytes = read_peak_bytes(server.pid)
    # The server may close a connection at any time.
    with suppress(OSError):
        yield
    assert server.alive
    assert read_peak_bytes(server.pid) - peak_bytes < MEMORY_BOUND_BYTES
    assert send_request(server.address) == Acknowledged()
    assert server.alive


@pytest.mark.parametrize('bytes_of_frame', [2**33, 2**62, 2**64 - 1])
def test_frame_of_gigabytes_is_not_received(server, bytes_of_frame):
    # Guards against a peer that fills the memory with one announced frame.
    with check_server(server), connect_to_link(server.address) as peer:
        peer.sendall(make_frame_head(bytes_of_frame))
        for _ in range(SENT_BYTES // len(PIECE)):
            peer.sendall(PIECE)


def test_parts_without_end_are_not_kept(server):
    # Guards against a message whose parts never end, each of a legal size.
    with check_server(server), connect_to_link(server.address) as peer:
        for _ in range(SENT_BYTES // len(PIECE)):
            peer.sendall(make_frame_head(len(PIECE), more=True) + PIECE)


def test_bytes_of_a_stranger_are_dropped(server):
    # Guards against a process that ends because of another protocol's bytes.
    random = Random(1)
    with check_server(server):
        for number in range(STRANGERS):
            with (
                suppress(OSError),
                connect_to_link(server.address, number % 2 > 0) as peer,
            ):
                for _ in range(16):
                    peer.sendall(random.randbytes(64 * KIB))


def test_frames_that_are_never_valid_are_dropped(server):
    # Guards against a peer whose frames are kept though none can be decoded.
    with check_server(server), connect_to_link(server.address) as peer:
        for _ in range(SENT_BYTES // len(PIECE)):
            peer.sendall(make_frame_head(len(PIECE)) + PIECE)


def test_requests_wait_outside_a_busy_server(server):
    # Guards against a queue of large requests in a process that is busy.
    request = encode_envelope(
        Envelope(1, False, 1, 1000, ConfigurationReply(1, PIECE))
    )
    with check_server(server), connect_to_link(server.address) as peer:
        for _ in range(SENT_BYTES // len(PIECE)):
            peer.sendall(make_frame_head(len(request)) + request)


def test_frames_that_stop_short_of_their_end_are_bounded(server):
    # Guards against strangers that together fill the memory, each with a
    # frame of legal size that never ends.
    with check_server(server), ExitStack() as peers:
        for _ in range(SENT_BYTES // LARGE_FRAME_BYTES):
            peer = peers.enter_context(connect_to_link(server.address))
            peer.sendall(make_frame_head(LARGE_FRAME_BYTES))
            peer.sendall(bytes(LARGE_FRAME_BYTES - 1))


def test_replies_that_a_peer_does_not_read_are_bounded(server):
    # Guards against a peer that asks for large replies and reads none.
    requests = SENT_BYTES // LARGE_REPLY_BYTES
    request = encode_envelope(
        Envelope(1, False, 1, 1000, RelayCall('get', (LARGE_REPLY_BYTES,)))
    )
    with check_server(server), connect_to_link(server.address) as peer:
        for _ in range(requests):
            peer.sendall(make_frame_head(len(request)) + request)
        server.wait_for_log(f'relay call {requests}\n')
        # The replies have been passed on once this one has arrived.
        send_request(server.address)


def test_largest_reply_is_delivered(server):
    # Guards against a limit that meets the messages of the system itself.
    reply = send_request(
        server.address, RelayCall('get', (LARGE_FRAME_BYTES,))
    )

    assert len(reply.result) == LARGE_FRAME_BYTES


def test_requests_that_a_peer_does_not_read_are_bounded():
    # Guards against an entry host that keeps all requests for an owner that
    # accepts connections and reads nothing.
    host, _, port = find_free_address().rpartition(':')

    async def request():
        replies = []

        async def request_one():
            replies.append(await link.request(RelayCall('get', (PIECE,)), 0.2))

        async with anyio.create_task_group() as group:
            group.start_soon(link.run)
            async with anyio.create_task_group() as requests:
                for _ in range(SENT_BYTES // len(PIECE)):
                    requests.start_soon(request_one)
            # Once the link has been opened again, nothing waits any longer.
            with anyio.fail_after(HANG_S):
                while not link.counts.reopened:
                    await anyio.sleep(0.1)
            late_reply = await link.request(RelayCall('get', (PIECE,)), 0.2)
            group.cancel_scope.cancel()
        return replies, late_reply

    with create_server((host, int(port))):
        link = Link(f'{host}:{port}', lambda: Heartbeat('test'), ignore)
        replies, late_reply = anyio.run(request)

    assert all(isinstance(reply, NoReply) for reply in replies)
    assert 'is full' not in late_reply.reason
    assert sum('is full' in reply.reason for reply in replies) > len(
        replies
    ) - MEMORY_BOUND_BYTES // len(PIECE)
