"""A process's share of the calls that the platform's store can bear."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import IntEnum
from enum import StrEnum
from heapq import heappop
from heapq import heappush
from itertools import count
from typing import Any
from typing import TYPE_CHECKING

from anyio import BrokenResourceError
from anyio import create_memory_object_stream
from anyio import current_time
from anyio import move_on_after
from anyio.streams.memory import MemoryObjectSendStream

from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

# How many seconds' worth of calls may be made at once after a quiet time.
# The store's rate is shared, so bursts of all processes can coincide.
BURST_S = 0.25


class CallKind(StrEnum):
    """Kinds of calls with a rate of their own."""

    READ = 'read'
    WRITE = 'write'


class CallPriority(IntEnum):
    """Order in which waiting calls get tokens, lowest number first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """Tokens for one kind of call.

    Parameters
    ----------
    rate : float
        Tokens per second.
    tokens : float
        Tokens at ``updated_at``.
    updated_at : float
        Time in seconds, on any clock that does not go back.
    """

    rate: float
    tokens: float
    updated_at: float

    @property
    def burst(self) -> float:
        """The most tokens that can gather; at least one call."""
        return max(1.0, self.rate * BURST_S)


def fill_bucket(rate: float, now: float) -> TokenBucket:
    """Return a bucket that holds a whole burst."""
    empty = TokenBucket(rate, 0.0, now)
    return replace(empty, tokens=empty.burst)


def refill_bucket(bucket: TokenBucket, now: float) -> TokenBucket:
    """Return the bucket as of ``now``."""
    gained = max(0.0, now - bucket.updated_at) * bucket.rate
    tokens = min(bucket.burst, bucket.tokens + gained)
    return replace(bucket, tokens=tokens, updated_at=now)


def change_rate(bucket: TokenBucket, rate: float, now: float) -> TokenBucket:
    """Return the bucket with another rate; it gains no tokens by that."""
    changed = replace(refill_bucket(bucket, now), rate=rate)
    return refill_bucket(changed, now)


def find_wait_s(bucket: TokenBucket) -> float:
    """Return the time until the bucket holds a whole token, in seconds."""
    return max(0.0, (1.0 - bucket.tokens) / bucket.rate)


@dataclass(frozen=True, slots=True)
class AcquireCall:
    """A call that waits for a token; its reply is sent once it has one."""

    kind: CallKind
    priority: int
    reply: MemoryObjectSendStream[None]


@dataclass(frozen=True, slots=True)
class _SetShare:
    rates: dict[CallKind, float]


@dataclass(frozen=True, slots=True)
class _ReadLevel:
    kind: CallKind
    reply: MemoryObjectSendStream[float]


class RateLimiterState:
    """Token buckets and waiting calls, owned by `StoreRateLimiter.run`."""

    def __init__(self, rates: dict[CallKind, float], now: float) -> None:
        self.buckets = {
            kind: fill_bucket(rate, now) for kind, rate in rates.items()
        }
        self.waiting: dict[CallKind, list[tuple[int, int, AcquireCall]]] = {
            kind: [] for kind in rates
        }
        self._numbers = count()

    def add(self, call: AcquireCall) -> None:
        """Queue a call behind those of its priority."""
        entry = (call.priority, next(self._numbers), call)
        heappush(self.waiting[call.kind], entry)

    def grant(self, now: float) -> float | None:
        """Grant what the tokens allow; returns when to come back, in s."""
        waits = [
            wait_s
            for kind in self.buckets
            if (wait_s := self._grant_kind(kind, now)) is not None
        ]
        return min(waits, default=None)

    def _grant_kind(self, kind: CallKind, now: float) -> float | None:
        bucket = refill_bucket(self.buckets[kind], now)
        waiting = self.waiting[kind]
        while waiting and bucket.tokens >= 1.0:
            _, _, call = heappop(waiting)
            if _send_reply(call.reply, None):
                bucket = replace(bucket, tokens=bucket.tokens - 1.0)
        self.buckets[kind] = bucket
        return find_wait_s(bucket) if waiting else None


def _send_reply(reply: MemoryObjectSendStream[Any], value: Any) -> bool:
    """Send to a caller; False when it was cancelled meanwhile."""
    try:
        reply.send_nowait(value)
    except BrokenResourceError:
        return False
    finally:
        reply.close()
    return True


_HANDLERS: Registry[type[Any], Callable[[RateLimiterState, Any], None]] = (
    Registry('budget message')
)


@_HANDLERS.register(AcquireCall)
def _queue_call(state: RateLimiterState, message: AcquireCall) -> None:
    state.add(message)


@_HANDLERS.register(_SetShare)
def _change_rates(state: RateLimiterState, message: _SetShare) -> None:
    now = current_time()
    for kind, rate in message.rates.items():
        state.buckets[kind] = change_rate(state.buckets[kind], rate, now)


@_HANDLERS.register(_ReadLevel)
def _tell_level(state: RateLimiterState, message: _ReadLevel) -> None:
    bucket = refill_bucket(state.buckets[message.kind], current_time())
    level = 0.0 if state.waiting[message.kind] else bucket.tokens
    _send_reply(message.reply, level / bucket.burst)


class StoreRateLimiter:
    """Token buckets for reads and writes, owned by one task.

    Waiting calls get tokens in the order of their priority, then of their
    arrival. A cancelled call uses no token.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        This process's share of the store, in calls per second, above 0.

    Raises
    ------
    ValueError
        When a share is not positive.

    Examples
    --------
    >>> budget = StoreRateLimiter(writes_per_s=40, reads_per_s=200)
    >>> tasks.start_soon(budget.run)
    >>> store = Store('http://127.0.0.1:2400', rate_limiter=budget)
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self._rates = _check_rates(writes_per_s, reads_per_s)
        self._send, self._inbox = create_memory_object_stream[
            AcquireCall | _SetShare | _ReadLevel
        ]()

    async def run(self) -> None:
        """Own the buckets and grant calls until cancelled.

        Calls wait until this runs, and fail after it ended.
        """
        state = RateLimiterState(self._rates, current_time())
        with self._inbox:
            while True:
                with move_on_after(state.grant(current_time())):
                    message = await self._inbox.receive()
                    _HANDLERS.find(type(message))(state, message)

    async def acquire(self, kind: str, priority: int) -> None:
        """Wait until a call of ``kind`` may be made.

        Parameters
        ----------
        kind : str
            A `CallKind`.
        priority : int
            A `CallPriority`.

        Raises
        ------
        ValueError
            When ``kind`` is not a `CallKind`.
        anyio.BrokenResourceError
            When the task that owns the buckets has ended.
        """
        reply, answer = create_memory_object_stream[None](1)
        with answer:
            await self._send.send(AcquireCall(CallKind(kind), priority, reply))
            await answer.receive()

    async def set_rates(self, writes_per_s: float, reads_per_s: float) -> None:
        """Change the share, in calls per second.

        Raises
        ------
        ValueError
            When a share is not positive.
        """
        rates = _check_rates(writes_per_s, reads_per_s)
        await self._send.send(_SetShare(rates))

    async def read_level(self, kind: str) -> float:
        """Return how full the bucket of ``kind`` is, from 0 to 1.

        It is 0 while calls wait. A journal that sees a low level can
        gather more records before its next append.
        """
        reply, answer = create_memory_object_stream[float](1)
        with answer:
            await self._send.send(_ReadLevel(CallKind(kind), reply))
            return await answer.receive()


def _check_rates(
    writes_per_s: float, reads_per_s: float
) -> dict[CallKind, float]:
    rates = {CallKind.WRITE: writes_per_s, CallKind.READ: reads_per_s}
    for kind, rate in rates.items():
        if rate <= 0:
            raise ValueError(
                f'share of {rate!r} {kind.value}s/s is not positive; set a '
                'share above 0'
            )
    return rates
