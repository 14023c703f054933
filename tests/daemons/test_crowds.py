"""Tests that clients which keep no limit don't end the process of a host.

The bounds are the memory and descriptors that the settings of each test give
to the machine. The tests check no times and no share of served requests.
"""

from functools import partial
from itertools import chain
from itertools import repeat

import pytest

from tests.crowds import CrowdedHost
from tests.crowds import make_head
from tests.crowds import make_job
from tests.crowds import make_request
from tests.crowds import send_crowd
from tests.processes import Processes

pytestmark = pytest.mark.anyio

MEMORY_MB = 110
# For tests of memory, more than the crowd needs; for those of descriptors,
# less.
MANY_DESCRIPTORS = 1_024
FEW_DESCRIPTORS = 300
MANY_CLIENTS = 320
FEW_CLIENTS = 4
LEGAL_BODY_BYTES = 262_144
PIECE = bytes(65_536)
# 30 MiB from each client.
PIECES = 480
REQUESTS_AHEAD = 20_000
BODIES_AHEAD = 60


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def start_host(tmp_path):
    with Processes(tmp_path) as processes:
        yield partial(CrowdedHost, processes, tmp_path, MEMORY_MB)


async def check_crowd(host, pieces_of):
    """Check that the process outlives a crowd within its machine's bounds."""
    status = await send_crowd(host, pieces_of)

    assert host.process.alive
    peak_mb = host.read_peak_mb()
    print(f'peak {peak_mb:.0f} MB, {host.most_descriptors} descriptors')
    assert peak_mb < MEMORY_MB
    assert host.most_descriptors < host.max_descriptors
    assert status == 200


async def test_announced_bodies_far_over_the_limit(start_host):
    """Guards against reading a body whose size was known to be too large."""
    host = start_host(MANY_DESCRIPTORS)

    def send(number):
        length = f'Content-Length: {len(PIECE) * PIECES}'
        head = make_head('POST', number, length)
        return chain([head], repeat(PIECE, PIECES))

    await check_crowd(host, [partial(send, n) for n in range(FEW_CLIENTS)])


async def test_chunked_bodies_without_end(start_host):
    """Guards against bodies that grow until the memory is used up."""
    host = start_host(MANY_DESCRIPTORS)
    chunk = f'{len(PIECE):x}\r\n'.encode() + PIECE + b'\r\n'

    def send(number):
        head = make_head('POST', number, 'Transfer-Encoding: chunked')
        return chain([head], repeat(chunk, PIECES))

    await check_crowd(host, [partial(send, n) for n in range(FEW_CLIENTS)])


async def test_requests_sent_ahead_with_unread_responses(start_host):
    """Guards against responses that wait in memory for their reader."""
    host = start_host(MANY_DESCRIPTORS)

    def send(number):
        return repeat(make_head('GET', number) * 100, REQUESTS_AHEAD // 100)

    await check_crowd(host, [partial(send, n) for n in range(FEW_CLIENTS)])


async def test_bodies_sent_ahead_with_unread_responses(start_host):
    """Guards against reading requests ahead of the one that is served."""
    host = start_host(MANY_DESCRIPTORS)
    body = make_job(200_000)

    def send(client):
        for number in range(BODIES_AHEAD):
            yield make_request(client * BODIES_AHEAD + number, body)

    await check_crowd(host, [partial(send, n) for n in range(FEW_CLIENTS)])


async def test_many_requests_ahead_on_many_connections(start_host):
    """Guards against buffers that are small for one connection only."""
    host = start_host(MANY_DESCRIPTORS)

    def send(number):
        return [make_head('GET', number) * 4_000]

    await check_crowd(host, [partial(send, n) for n in range(MANY_CLIENTS)])


async def test_many_whole_bodies_at_once(start_host):
    """Guards against holding all bodies of legal size at the same time."""
    host = start_host(MANY_DESCRIPTORS)
    body = make_job(LEGAL_BODY_BYTES)

    def send(number):
        return [make_request(number, body)]

    await check_crowd(host, [partial(send, n) for n in range(MANY_CLIENTS)])


async def test_many_bodies_piece_by_piece(start_host):
    """Guards against bodies of legal size that grow side by side."""
    host = start_host(MANY_DESCRIPTORS)
    body = make_job(LEGAL_BODY_BYTES)

    def send(number):
        request = make_request(number, body)
        return [request[i : i + 8_192] for i in range(0, len(request), 8_192)]

    await check_crowd(host, [partial(send, n) for n in range(MANY_CLIENTS)])


async def test_many_bodies_one_byte_short(start_host):
    """Guards against bodies that are held for as long as the client likes."""
    host = start_host(MANY_DESCRIPTORS)
    body = make_job(LEGAL_BODY_BYTES)

    def send(number):
        return [make_request(number, body)[:-1]]

    await check_crowd(host, [partial(send, n) for n in range(MANY_CLIENTS)])


async def test_heads_without_end(start_host):
    """Guards against descriptors that unfinished heads use up."""
    host = start_host(FEW_DESCRIPTORS)
    head = make_head('GET', 1)[:-2]

    def send():
        return chain([head], repeat(b'X-Header: value\r\n' * 10, 60))

    await check_crowd(host, [send] * MANY_CLIENTS)


async def test_connections_that_send_nothing(start_host):
    """Guards against descriptors that silent connections use up."""
    host = start_host(FEW_DESCRIPTORS)

    await check_crowd(host, [lambda: ()] * MANY_CLIENTS)
