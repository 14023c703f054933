"""Tests that no response of a peer fills the memory of a process.

The peers send far more than any limit. The bounds are those of the largest
limit with its copy, so that they hold for all clients.
"""

import tracemalloc

from anyio import fail_after
import pytest

from sassafrasgate.adapters.store import Store
from sassafrasgate.adapters.workers import WorkerClient
from sassafrasgate.core.errors import AdviceUnavailableError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.errors import WorkerOutputError
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.tasks import SyncRequest
from sassafrasgate.core.workflows import HoldRequest
from sassafrasgate.core.workflows import RunRequest
from sassafrasgate.platform.advice import AdviceClient
from sassafrasgate.platform.store import PlatformStore
from sassafrasgate.platform.workers import PlatformWorkerClient
from tests.standins.hostile_peers import run_hostile_peer
from tests.standins.hostile_peers import SENT_BYTES

pytestmark = pytest.mark.anyio

MEMORY_BOUND_BYTES = 24 * 1024 * 1024
# Longer than the slowest call may take on a busy machine, shorter than a hang.
HANG_S = 30.0
START = RunRequest('j.0.0.0', 3, 'payload', 9_000, 4_000)
HOLD = HoldRequest(1, 0, 0, 0, 0)
CUT_OFF = [
    'announced-gigabytes',
    'chunks-without-end',
    'body-until-close',
]
OTHERS = [
    'header-line-without-end',
    'headers-without-end',
    'interim-responses-without-end',
    'gzip-bomb',
    'drip',
]
CALLS = {
    'store-get': (
        lambda address, **options: PlatformStore(
            f'http://{address}', **options
        ),
        lambda client: client.get('a'),
        b'{"key":"a","value":"","revision":1}',
        StoreUnavailableError,
    ),
    'store-list': (
        lambda address, **options: PlatformStore(
            f'http://{address}', **options
        ),
        lambda client: client.read_prefix('a'),
        b'{"items":[],"truncated":false,"currentRev":1}',
        StoreUnavailableError,
    ),
    'store-watch': (
        lambda address, **options: PlatformStore(
            f'http://{address}', **options
        ),
        lambda client: client.watch('a', 1, 0.1),
        b'{"events":[],"currentRev":1}',
        StoreUnavailableError,
    ),
    'store-write': (
        lambda address, **options: PlatformStore(
            f'http://{address}', **options
        ),
        lambda client: client.create('a', b''),
        b'{"revision":1}',
        StoreUnavailableError,
    ),
    'worker-hold': (
        lambda address, **options: PlatformWorkerClient(
            'w', address, 1.0, **options
        ),
        lambda client: client.hold(HOLD),
        b'{"clockMs":1,"running":[],"ended":[]}',
        WorkerUnavailableError,
    ),
    'worker-start': (
        lambda address, **options: PlatformWorkerClient(
            'w', address, 1.0, **options
        ),
        lambda client: client.start(START),
        b'{"clockMs":1}',
        WorkerUnavailableError,
    ),
    'advice': (
        AdviceClient,
        lambda client: client.request_advice('j.0.0', ('w',), 1.0),
        b'{"good":[],"validMs":1}',
        AdviceUnavailableError,
    ),
    'own-store-list': (
        lambda address, **options: Store(f'http://{address}', **options),
        lambda client: client.read_prefix('a'),
        b'{"revision":1,"items":[],"more":false}',
        StoreUnavailableError,
    ),
    'own-worker-sync': (
        lambda address, **options: WorkerClient(
            f'http://{address}', timeout_s=1.0, **options
        ),
        lambda client: client.sync(SyncRequest('s', 1, 0)),
        b'{"accepted":true,"incarnation":"i","clock":1}',
        WorkerUnavailableError,
    ),
    'own-worker-output': (
        lambda address, **options: WorkerClient(
            f'http://{address}', timeout_s=1.0, **options
        ),
        lambda client: client.fetch_output('t'),
        b'{}',
        (WorkerUnavailableError, WorkerOutputError),
    ),
}


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def traced_memory():
    tracemalloc.start()
    yield tracemalloc
    tracemalloc.stop()


def find_cause(error):
    """Return the name of the error that a client's error was raised from."""
    return type(error.__cause__).__name__


async def call_twice(call, response, memory):
    """Return the error of the first call; check the memory and the second."""
    open_client, make_call, body, kind = CALLS[call]
    async with (
        run_hostile_peer(response, body) as peer,
        open_client(peer.address) as client,
    ):
        memory.reset_peak()
        held_bytes, _ = memory.get_traced_memory()
        with fail_after(HANG_S):
            with pytest.raises(kind) as failure:
                await make_call(client)
            _, peak_bytes = memory.get_traced_memory()
            assert peak_bytes - held_bytes < MEMORY_BOUND_BYTES
            await make_call(client)
            return failure.value, peer


@pytest.mark.parametrize('call', CALLS)
@pytest.mark.parametrize('response', CUT_OFF)
async def test_body_without_end_is_cut_off(call, response, traced_memory):
    # Guards against a process that runs out of memory while it reads one
    # response: the length of a body was not limited.
    error, peer = await call_twice(call, response, traced_memory)

    assert find_cause(error) == 'ResponseCutOffError'
    assert peer.sent_bytes < MEMORY_BOUND_BYTES
    assert getattr(error, 'sent', True)
    # The connection is closed, so that nothing more arrives.
    with fail_after(HANG_S):
        await peer.closed_by_client.wait()


@pytest.mark.parametrize('response', OTHERS)
async def test_other_response_without_end_ends_the_call(
    response, traced_memory
):
    # Guards against heads and compressed bodies without a bound, which the
    # HTTP library and its settings limit, and against a call without end.
    error, _ = await call_twice('store-get', response, traced_memory)

    assert getattr(error, 'sent', True)


@pytest.mark.parametrize('call', CALLS)
async def test_small_chunks_without_end_take_no_more_memory(
    call, traced_memory
):
    # Guards against pieces of a byte that are kept one by one, which takes
    # many times their size. On a slow machine the time limit comes first.
    error, peer = await call_twice(
        call, 'small-chunks-without-end', traced_memory
    )

    assert find_cause(error) in ('ResponseCutOffError', 'ResponseTimeoutError')
    assert getattr(error, 'sent', True)
    assert peer.sent_bytes < SENT_BYTES
    with fail_after(HANG_S):
        await peer.closed_by_client.wait()


async def test_idle_connection_buffers_nothing(traced_memory):
    # Guards against a peer that goes on sending on a connection without a
    # call, whose responses were kept for the next one.
    open_client, make_call, body, _ = CALLS['store-get']
    async with (
        run_hostile_peer('', body) as peer,
        open_client(peer.address) as client,
    ):
        await make_call(client)
        traced_memory.reset_peak()
        held_bytes, _ = traced_memory.get_traced_memory()
        with fail_after(HANG_S):
            await peer.send_unrequested()
            _, peak_bytes = traced_memory.get_traced_memory()
            assert peak_bytes - held_bytes < MEMORY_BOUND_BYTES
            await make_call(client)


@pytest.mark.parametrize(
    'page',
    [
        b'{"items":[],"truncated":true,"currentRev":1}',
        b'{"items":[{"key":"a","revision":1}],'
        b'"truncated":true,"currentRev":1}',
    ],
)
async def test_list_without_end_is_given_up(page):
    # Guards against a list whose pages never end: the same page was read
    # again and again, and its items were kept.
    async with (
        run_hostile_peer('', page) as peer,
        PlatformStore(f'http://{peer.address}') as client,
    ):
        with fail_after(HANG_S), pytest.raises(StoreUnavailableError):
            await client.read_prefix('a')
