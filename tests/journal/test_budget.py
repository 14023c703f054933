"""Guards the store's rate against a process that calls too often."""

from anyio import create_task_group
from anyio import fail_after
from anyio import move_on_after
from anyio import sleep
import pytest

from sassafrasgate.journal.budget import CallKind
from sassafrasgate.journal.budget import CallPriority
from sassafrasgate.journal.budget import change_rate
from sassafrasgate.journal.budget import find_wait_s
from sassafrasgate.journal.budget import refill_bucket
from sassafrasgate.journal.budget import StoreBudget
from sassafrasgate.journal.budget import TokenBucket

# Too slow to gain a token while a test runs; the burst is one token.
SLOW = 0.001


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def test_bucket_gains_its_rate_up_to_the_burst():
    empty = TokenBucket(rate=100.0, tokens=0.0, updated_at=50.0)
    assert refill_bucket(empty, 50.1).tokens == pytest.approx(10.0)
    assert refill_bucket(empty, 9_999.0).tokens == empty.burst == 25.0
    assert refill_bucket(empty, 49.0).tokens == 0.0
    assert find_wait_s(empty) == pytest.approx(0.01)


def test_new_rate_grants_no_tokens_at_once():
    full = TokenBucket(rate=100.0, tokens=25.0, updated_at=50.0)
    assert change_rate(full, 200.0, 50.0).tokens == 25.0
    assert change_rate(full, 20.0, 50.0).tokens == 5.0


@pytest.mark.parametrize('rates', [(0, 1), (1, -2)])
def test_share_that_grants_nothing_is_refused(rates):
    with pytest.raises(ValueError, match='above 0'):
        StoreBudget(*rates)


async def test_waiting_calls_get_tokens_by_priority_then_arrival():
    budget = StoreBudget(SLOW, SLOW)
    granted = []

    async def call(name, priority):
        await budget.acquire(CallKind.WRITE, priority)
        granted.append(name)

    async with create_task_group() as owner:
        owner.start_soon(budget.run)
        await budget.acquire(CallKind.WRITE, CallPriority.LOW)
        async with create_task_group() as tasks:
            for name, priority in [
                ('trim', CallPriority.LOW),
                ('append 1', CallPriority.NORMAL),
                ('renewal', CallPriority.HIGH),
                ('append 2', CallPriority.NORMAL),
            ]:
                tasks.start_soon(call, name, priority)
            await sleep(0.05)
            assert granted == []
            # Reads have a bucket of their own.
            await budget.acquire(CallKind.READ, CallPriority.LOW)
            # One token at a time, so that the order shows.
            await budget.set_share(20, SLOW)
        owner.cancel_scope.cancel()
    assert granted == ['renewal', 'append 1', 'append 2', 'trim']


async def test_cancelled_call_uses_no_token():
    budget = StoreBudget(SLOW, SLOW)
    async with create_task_group() as owner:
        owner.start_soon(budget.run)
        await budget.acquire(CallKind.WRITE, CallPriority.HIGH)
        for _ in range(50):
            with move_on_after(0.001):
                await budget.acquire(CallKind.WRITE, CallPriority.HIGH)
        await budget.set_share(100, SLOW)
        # Fifty lost tokens would take half a second at this rate; the
        # level tells without a bound on the clock.
        with fail_after(30):
            await budget.acquire(CallKind.WRITE, CallPriority.LOW)
        await sleep(0.05)
        assert await budget.read_level(CallKind.WRITE) > 0
        owner.cancel_scope.cancel()


async def test_level_falls_as_calls_are_made():
    budget = StoreBudget(SLOW, SLOW)
    async with create_task_group() as owner:
        owner.start_soon(budget.run)
        assert await budget.read_level(CallKind.WRITE) == 1.0
        await budget.acquire(CallKind.WRITE, CallPriority.HIGH)
        assert await budget.read_level(CallKind.WRITE) < 0.1
        owner.cancel_scope.cancel()
