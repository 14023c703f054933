"""Tests the budget of the bodies that a process reads at the same time."""

import tracemalloc

from anyio import create_task_group
from anyio import move_on_after
from anyio import sleep
from anyio.lowlevel import checkpoint
import pytest

from sassafrasgate.adapters.response_limits import ResponseBudget
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.platform.store import PlatformStore
from sassafrasgate.platform.workers import PlatformWorkerClient
from tests.adapters.test_response_limits import CALLS
from tests.adapters.test_response_limits import HOLD
from tests.standins.hostile_peers import run_hostile_peer

pytestmark = pytest.mark.anyio

KIB = 1024


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@pytest.fixture
def traced_memory():
    tracemalloc.start()
    yield tracemalloc
    tracemalloc.stop()


async def test_reservations_beyond_the_budget_wait_in_order():
    # Guards against bodies that together exceed the budget, and against a
    # large one that smaller ones overtake for good.
    budget = ResponseBudget(10)
    granted = []

    async def reserve(size):
        await budget.reserve(size)
        granted.append(size)

    async with create_task_group() as group:
        await budget.reserve(6)
        for size in (7, 4):
            group.start_soon(reserve, size)
            await sleep(0)
        assert granted == []
        budget.release(6)
        await checkpoint()
        assert granted == [7]
        budget.release(7)
    assert granted == [7, 4]
    assert budget.reserved_bytes == 4


async def test_body_above_the_budget_is_read_alone():
    # Guards against a valid body that waits for ever under a small budget.
    budget = ResponseBudget(10)
    await budget.reserve(50)
    assert budget.reserved_bytes == 50


async def test_ended_call_leaves_no_reservation():
    # Guards against a budget that is used up by calls that have ended.
    budget = ResponseBudget(10)

    async def read():
        await budget.reserve(8)
        try:
            await sleep(0)
        finally:
            budget.release(8)

    await budget.reserve(8)
    with move_on_after(0.01):
        await budget.reserve(8)
    async with create_task_group() as group:
        group.start_soon(read)
        await sleep(0)
        budget.release(8)
        # Granted, but ended before its task has run.
        group.cancel_scope.cancel()
    assert budget.reserved_bytes == 0


@pytest.mark.parametrize('call', CALLS)
async def test_cut_off_response_is_recorded_and_leaves_no_reservation(call):
    # Guards against a cut-off that operators can't see, and against a budget
    # that such responses use up.
    recorded = []
    budget = ResponseBudget(
        handle_cut_off=lambda reason, error: recorded.append(reason)
    )
    open_client, make_call, body, kind = CALLS[call]
    async with (
        run_hostile_peer('chunks-without-end', body) as peer,
        open_client(peer.address, budget=budget) as client,
    ):
        with pytest.raises(kind):
            await make_call(client)
    assert recorded == ['size']
    assert budget.reserved_bytes == 0


async def test_largest_value_and_page_are_read():
    # Guards against a limit that meets a value of 1 MiB, or a page of 500
    # items that ends with one.
    value = b'A' * (4 * 349_528)
    small = b'{"key":"%b","value":"%b","revision":1}' % (
        b'k' * 200,
        b'A' * 2_796,
    )
    large = b'{"key":"%b","value":"%b","revision":1}' % (b'k' * 200, value)
    page = b'{"items":[%b],"truncated":false,"currentRev":1}' % b','.join(
        (*[small] * 499, large)
    )
    for body, call in (
        (large, lambda store: store.get('k')),
        (page, lambda store: store.read_prefix('k')),
    ):
        async with (
            run_hostile_peer('', body) as peer,
            PlatformStore(f'http://{peer.address}', timeout_s=30) as store,
        ):
            assert await call(store)


async def test_largest_report_is_read():
    # Guards against a limit that meets a worker with hundreds of runs whose
    # ends are not acknowledged.
    checkpoint_text = b'c' * 4_096
    running = b','.join(
        [b'["%b",1,"%b",50,1]' % (b't' * 256, checkpoint_text)] * 350
    )
    ended = b','.join(
        [b'[1,"%b",1,"done","%b"]' % (b't' * 256, checkpoint_text)] * 500
    )
    body = b'{"clockMs":1,"running":[%b],"ended":[%b]}' % (running, ended)
    async with (
        run_hostile_peer('', body) as peer,
        PlatformWorkerClient('w', peer.address, 30.0) as worker,
    ):
        report = await worker.hold(HOLD)
    assert len(report.running) == 350


@pytest.mark.parametrize('row', [b'["",1,"",1]', b'[1,"",1,"done",""]'])
async def test_report_of_small_rows_is_not_kept(row, traced_memory):
    # Guards against a report within its limit whose decoded rows take so many
    # times its size that they end the process: 124 MiB for 8 MiB.
    rows = b','.join([row] * (4_000_000 // (len(row) + 1)))
    name = b'ended' if b'done' in row else b'running'
    other = b'running' if b'done' in row else b'ended'
    body = b'{"clockMs":1,"%b":[%b],"%b":[]}' % (name, rows, other)
    async with (
        run_hostile_peer('', body) as peer,
        PlatformWorkerClient('w', peer.address, 30.0) as worker,
    ):
        traced_memory.reset_peak()
        held_bytes, _ = traced_memory.get_traced_memory()
        with pytest.raises(WorkerUnavailableError):
            await worker.hold(HOLD)
        _, peak_bytes = traced_memory.get_traced_memory()
    assert peak_bytes - held_bytes < 64 * KIB * KIB
