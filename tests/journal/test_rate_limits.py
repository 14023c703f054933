"""Guards the store's rate against a process that calls too often."""

from contextlib import asynccontextmanager

from anyio import create_memory_object_stream
from anyio import create_task_group
from anyio import fail_after
from anyio import sleep
import pytest

from sassafrasgate.journal.rate_limits import AcquireCall
from sassafrasgate.journal.rate_limits import CallKind
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.journal.rate_limits import change_rate
from sassafrasgate.journal.rate_limits import find_wait_s
from sassafrasgate.journal.rate_limits import RateLimiterState
from sassafrasgate.journal.rate_limits import refill_bucket
from sassafrasgate.journal.rate_limits import StoreRateLimiter
from sassafrasgate.journal.rate_limits import TokenBucket

# Too slow to gain a token while a test runs; the burst is one token.
SLOW = 0.001
HANG_S = 30


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@asynccontextmanager
async def run_budget():
    """Yield a running budget; a call that never gets its token fails."""
    budget = StoreRateLimiter(SLOW, SLOW)
    with fail_after(HANG_S):
        async with create_task_group() as owner:
            owner.start_soon(budget.run)
            yield budget
            owner.cancel_scope.cancel()


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
        StoreRateLimiter(*rates)


async def test_waiting_calls_get_tokens_by_priority_then_arrival():
    granted = []

    async def call(name, priority):
        await budget.acquire(CallKind.WRITE, priority)
        granted.append(name)

    async with run_budget() as budget:
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
            await budget.set_rates(20, SLOW)
    assert granted == ['renewal', 'append 1', 'append 2', 'trim']


async def test_cancelled_calls_use_no_token():
    # Otherwise a burst of cancellations would hold up lease renewals.
    state = RateLimiterState({CallKind.WRITE: 1.0}, now=0.0)
    answers = []
    for _ in range(50):
        reply, answer = create_memory_object_stream[None](1)
        state.add(AcquireCall(CallKind.WRITE, CallPriority.NORMAL, reply))
        answers.append(answer)
    for answer in answers[:-1]:
        answer.close()
    assert state.grant(now=0.0) is None
    answers[-1].receive_nowait()
    answers[-1].close()


async def test_level_falls_as_calls_are_made():
    async with run_budget() as budget:
        assert await budget.read_level(CallKind.WRITE) == 1.0
        await budget.acquire(CallKind.WRITE, CallPriority.HIGH)
        assert await budget.read_level(CallKind.WRITE) < 0.1
