"""Peers that send more than their protocol allows, or never end.

Each response is a registered generator of the bytes that follow a request.
What is without end is cut at `SENT_BYTES`, after which the connection stays
open: far more than any limit, and little enough for a test machine.
"""

from __future__ import annotations

from asyncio import Event
from asyncio import start_server
from contextlib import asynccontextmanager
from contextlib import suppress
from itertools import repeat
from socket import create_connection
from socket import socket
from typing import TYPE_CHECKING
from zlib import compressobj

from sassafrasgate.core.registries import Registry
from tests.processes import find_free_address

if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Iterator

SENT_BYTES = 96 * 1024 * 1024
PIECE = b' ' * 65_536
PIECES = SENT_BYTES // len(PIECE)
UNREQUESTED_PIECES = 200
# A window of 32 KiB with a gzip head.
GZIP_WINDOW_BITS = 31
HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
INTERIM_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
EMPTY_RESPONSE = b'HTTP/1.1 204 No Content\r\n\r\n'

RESPONSES: Registry[str, Callable[[bytes], Iterator[bytes]]] = Registry(
    'hostile response'
)


def make_response(body: bytes) -> bytes:
    """Return a valid response with a JSON body."""
    return HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body


@RESPONSES.register('announced-gigabytes')
def _announce_gigabytes(body: bytes) -> Iterator[bytes]:
    yield HEAD + b'Content-Length: 8589934592\r\n\r\n'
    yield from repeat(PIECE, PIECES)


@RESPONSES.register('chunks-without-end')
def _send_chunks(body: bytes) -> Iterator[bytes]:
    yield CHUNKED_HEAD
    yield from repeat(b'%x\r\n%b\r\n' % (len(PIECE), PIECE), PIECES)


@RESPONSES.register('small-chunks-without-end')
def _send_small_chunks(body: bytes) -> Iterator[bytes]:
    yield CHUNKED_HEAD
    yield from repeat(b'1\r\n \r\n' * 10_000, PIECES // 8)


@RESPONSES.register('body-until-close')
def _send_until_close(body: bytes) -> Iterator[bytes]:
    yield HEAD + b'Connection: close\r\n\r\n'
    yield from repeat(PIECE, PIECES)


@RESPONSES.register('header-line-without-end')
def _send_header_line(body: bytes) -> Iterator[bytes]:
    yield HEAD + b'X-Padding: '
    yield from repeat(b'x' * len(PIECE), PIECES)


@RESPONSES.register('headers-without-end')
def _send_headers(body: bytes) -> Iterator[bytes]:
    yield HEAD
    yield from repeat(b'X-Padding: 0123456789\r\n' * 2_000, PIECES)


@RESPONSES.register('interim-responses-without-end')
def _send_interim_responses(body: bytes) -> Iterator[bytes]:
    yield from repeat(INTERIM_RESPONSE * 2_000, PIECES)


@RESPONSES.register('gzip-bomb')
def _send_gzip_bomb(body: bytes) -> Iterator[bytes]:
    compressor = compressobj(wbits=GZIP_WINDOW_BITS)
    parts = [compressor.compress(PIECE) for _ in range(PIECES)]
    bomb = b''.join((*parts, compressor.flush()))
    yield (
        HEAD
        + b'Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n' % len(bomb)
        + bomb
    )


@RESPONSES.register('drip')
def _drip(body: bytes) -> Iterator[bytes]:
    yield HEAD + b'Content-Length: 100\r\n\r\n' + b' ' * 10


class HostilePeer:
    """HTTP server that sends one kind of response until it is told to stop.

    Parameters
    ----------
    response : str
        Registered name of the response to the first request; empty if that
        request, too, gets a valid response.
    body : bytes
        Body of the valid responses to all later requests.
    """

    def __init__(self, response: str, body: bytes) -> None:
        self._response = response
        self._body = body
        self.address = find_free_address()
        self.sent_bytes = 0
        self.closed_by_client = Event()
        self._writer: StreamWriter | None = None

    async def serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Serve the requests of one connection."""
        self._writer = writer
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                await self._respond(writer)
        except (OSError, EOFError):
            self.closed_by_client.set()
        finally:
            writer.close()

    async def _respond(self, writer: StreamWriter) -> None:
        name, self._response = self._response, ''
        if not name:
            writer.write(make_response(self._body))
            return
        for piece in RESPONSES.find(name)(self._body):
            await self._send(writer, piece)

    async def _send(self, writer: StreamWriter, piece: bytes) -> None:
        writer.write(piece)
        await writer.drain()
        self.sent_bytes += len(piece)

    async def send_unrequested(self) -> None:
        """Send responses without end on the connection that is open."""
        assert self._writer is not None
        with suppress(OSError):
            for _ in range(UNREQUESTED_PIECES):
                await self._send(self._writer, EMPTY_RESPONSE * 2_000)


@asynccontextmanager
async def run_hostile_peer(
    response: str, body: bytes = b'{}'
) -> AsyncIterator[HostilePeer]:
    """Serve a `HostilePeer` on its address while the context is open."""
    peer = HostilePeer(response, body)
    host, _, port = peer.address.rpartition(':')
    server = await start_server(peer.serve, host, int(port))
    try:
        yield peer
    finally:
        server.close()


# The start of a ZMTP 3.0 connection without security, then the READY command
# of a DEALER socket.
GREETING = b'\xff' + bytes(8) + b'\x7f\x03\x00NULL' + bytes(16) + bytes(1 + 31)
READY = b'\x04\x1c\x05READY\x0bSocket-Type\x00\x00\x00\x06DEALER'
MORE_FLAG = 0x01
LONG_FLAG = 0x02


def make_frame_head(size: int, more: bool = False) -> bytes:
    """Return the head of a message frame of ``size`` bytes."""
    return bytes([LONG_FLAG | (MORE_FLAG * more)]) + size.to_bytes(8)


def connect_to_link(address: str, handshake: bool = True) -> socket:
    """Return a connection to the server end of links."""
    host, _, port = address.rpartition(':')
    connection = create_connection((host, int(port)), timeout=10)
    if handshake:
        connection.sendall(GREETING + READY)
        # A message before the other side's READY would break the protocol.
        received = b''
        while b'Socket-Type' not in received:
            received += connection.recv(4096)
    return connection
