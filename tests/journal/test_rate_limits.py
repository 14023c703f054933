"""Tests the rate limiter that keeps a process from overloading the store."""

from contextlib import asynccontextmanager

from anyio import create_memory_object_stream
from anyio import create_task_group
from anyio import fail_after
from anyio import sleep
import pytest

from sassafrasgate.journal.rate_limits import AcquireToken
from sassafrasgate.journal.rate_limits import CallKind
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.journal.rate_limits import change_rate
from sassafrasgate.journal.rate_limits import compute_wait_s
from sassafrasgate.journal.rate_limits import RateLimiterState
from sassafrasgate.journal.rate_limits import refill_bucket
from sassafrasgate.journal.rate_limits import StoreRateLimiter
from sassafrasgate.journal.rate_limits import TokenBucket

# Calls per second. No token is added while a test runs, and the burst is one
# token.
SLOW_RATE = 0.001
HANG_TIMEOUT_S = 30


@pytest.fixture
def anyio_backend():
    return 'asyncio'


@asynccontextmanager
async def run_limiter():
    """Yield a running limiter; fail if a call never gets its token."""
    limiter = StoreRateLimiter(SLOW_RATE, SLOW_RATE)
    with fail_after(HANG_TIMEOUT_S):
        async with create_task_group() as owner:
            owner.start_soon(limiter.run)
            yield limiter
            owner.cancel_scope.cancel()


def test_bucket_refills_at_its_rate_up_to_the_burst():
    empty = TokenBucket(rate=100.0, tokens=0.0, updated_at=50.0)
    assert refill_bucket(empty, 50.1).tokens == pytest.approx(10.0)
    assert refill_bucket(empty, 9_999.0).tokens == empty.burst == 25.0
    assert refill_bucket(empty, 49.0).tokens == 0.0
    assert compute_wait_s(empty) == pytest.approx(0.01)


def test_rate_change_grants_no_tokens():
    full = TokenBucket(rate=100.0, tokens=25.0, updated_at=50.0)
    assert change_rate(full, 200.0, 50.0).tokens == 25.0
    assert change_rate(full, 20.0, 50.0).tokens == 5.0


@pytest.mark.parametrize('rates', [(0, 1), (1, -2)])
def test_rate_that_is_not_positive_is_rejected(rates):
    with pytest.raises(ValueError, match='above 0'):
        StoreRateLimiter(*rates)


async def test_waiting_calls_get_tokens_by_priority_then_arrival():
    granted = []

    async def call(name, priority):
        await limiter.acquire(CallKind.WRITE, priority)
        granted.append(name)

    async with run_limiter() as limiter:
        await limiter.acquire(CallKind.WRITE, CallPriority.LOW)
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
            # Reads have their own bucket.
            await limiter.acquire(CallKind.READ, CallPriority.LOW)
            # Grants one token at a time, so that the order is visible.
            await limiter.set_rates(20, SLOW_RATE)
    assert granted == ['renewal', 'append 1', 'append 2', 'trim']


async def test_cancelled_calls_use_no_token():
    # Guards against a burst of cancelled calls that uses up the tokens and
    # delays lease renewals.
    state = RateLimiterState({CallKind.WRITE: 1.0}, now=0.0)
    reply_streams = []
    for _ in range(50):
        reply_to, replies = create_memory_object_stream[None](1)
        state.add(AcquireToken(CallKind.WRITE, CallPriority.NORMAL, reply_to))
        reply_streams.append(replies)
    for replies in reply_streams[:-1]:
        replies.close()
    assert state.grant(now=0.0) is None
    reply_streams[-1].receive_nowait()
    reply_streams[-1].close()


async def test_fill_level_falls_as_calls_are_made():
    async with run_limiter() as limiter:
        assert await limiter.read_fill_level(CallKind.WRITE) == 1.0
        await limiter.acquire(CallKind.WRITE, CallPriority.HIGH)
        assert await limiter.read_fill_level(CallKind.WRITE) < 0.1
