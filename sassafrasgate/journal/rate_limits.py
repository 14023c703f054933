"""Rate limits for a process's calls to the platform's store.

The store supports a limited rate of calls, of which each process has a share.
"""

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

# Size of a burst, in seconds of the rate. It is small because all processes
# share the store, and their bursts can coincide.
BURST_S = 0.25


class CallKind(StrEnum):
    """Kinds of calls; each has its own rate."""

    READ = 'read'
    WRITE = 'write'


class CallPriority(IntEnum):
    """Order in which waiting calls get tokens, lowest number first."""

    HIGH = 0
    NORMAL = 1
    LOW = 2


@dataclass(frozen=True, slots=True)
class TokenBucket:
    """State of the token bucket for one kind of call.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    tokens : float
        Number of tokens at ``updated_at``.
    updated_at : float
        Time in seconds, on any monotonic clock.
    """

    rate: float
    tokens: float
    updated_at: float

    @property
    def burst(self) -> float:
        """Maximum number of tokens that the bucket holds; at least one."""
        return max(1.0, self.rate * BURST_S)


def fill_bucket(rate: float, now: float) -> TokenBucket:
    """Return a full bucket."""
    empty = TokenBucket(rate, 0.0, now)
    return replace(empty, tokens=empty.burst)


def refill_bucket(bucket: TokenBucket, now: float) -> TokenBucket:
    """Return the bucket as of ``now``."""
    gained = max(0.0, now - bucket.updated_at) * bucket.rate
    tokens = min(bucket.burst, bucket.tokens + gained)
    return replace(bucket, tokens=tokens, updated_at=now)


def change_rate(bucket: TokenBucket, rate: float, now: float) -> TokenBucket:
    """Return the bucket with another rate, without granting extra tokens."""
    changed = replace(refill_bucket(bucket, now), rate=rate)
    return refill_bucket(changed, now)


def compute_wait_s(bucket: TokenBucket) -> float:
    """Return the time until the bucket holds one token, in seconds."""
    return max(0.0, (1.0 - bucket.tokens) / bucket.rate)


@dataclass(frozen=True, slots=True)
class AcquireToken:
    """Request for a token; the reply is sent when the token is granted."""

    kind: CallKind
    priority: int
    reply_to: MemoryObjectSendStream[None]


@dataclass(frozen=True, slots=True)
class _SetRates:
    rates: dict[CallKind, float]


@dataclass(frozen=True, slots=True)
class _ReadFillLevel:
    kind: CallKind
    reply_to: MemoryObjectSendStream[float]


class RateLimiterState:
    """Token buckets and waiting calls, owned by `StoreRateLimiter.run`."""

    def __init__(self, rates: dict[CallKind, float], now: float) -> None:
        self.buckets = {
            kind: fill_bucket(rate, now) for kind, rate in rates.items()
        }
        self.waiting: dict[CallKind, list[tuple[int, int, AcquireToken]]] = {
            kind: [] for kind in rates
        }
        self._sequence = count()

    def add(self, call: AcquireToken) -> None:
        """Queue a call behind waiting calls of the same priority."""
        entry = (call.priority, next(self._sequence), call)
        heappush(self.waiting[call.kind], entry)

    def grant(self, now: float) -> float | None:
        """Grant waiting calls as far as tokens allow.

        Returns
        -------
        float or None
            Seconds until the next token for a waiting call; None when no
            call waits.
        """
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
            if _send_reply(call.reply_to, None):
                bucket = replace(bucket, tokens=bucket.tokens - 1.0)
        self.buckets[kind] = bucket
        return compute_wait_s(bucket) if waiting else None


def _send_reply(reply_to: MemoryObjectSendStream[Any], value: Any) -> bool:
    """Send a reply; False when the caller was cancelled meanwhile."""
    try:
        reply_to.send_nowait(value)
    except BrokenResourceError:
        return False
    finally:
        reply_to.close()
    return True


_HANDLERS: Registry[type[Any], Callable[[RateLimiterState, Any], None]] = (
    Registry('rate limiter message')
)


@_HANDLERS.register(AcquireToken)
def _queue_call(state: RateLimiterState, message: AcquireToken) -> None:
    state.add(message)


@_HANDLERS.register(_SetRates)
def _change_rates(state: RateLimiterState, message: _SetRates) -> None:
    now = current_time()
    for kind, rate in message.rates.items():
        state.buckets[kind] = change_rate(state.buckets[kind], rate, now)


@_HANDLERS.register(_ReadFillLevel)
def _send_fill_level(state: RateLimiterState, message: _ReadFillLevel) -> None:
    bucket = refill_bucket(state.buckets[message.kind], current_time())
    level = 0.0 if state.waiting[message.kind] else bucket.tokens
    _send_reply(message.reply_to, level / bucket.burst)


class StoreRateLimiter:
    """Limits the rates of reads and writes; owned by one task.

    Waiting calls get tokens in the order of their priority, then of their
    arrival. A cancelled call uses no token.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        This process's share of the store's rates, in calls per second.
        Must be positive.

    Raises
    ------
    ValueError
        When a rate is not positive.

    Examples
    --------
    >>> limiter = StoreRateLimiter(writes_per_s=40, reads_per_s=200)
    >>> tasks.start_soon(limiter.run)
    >>> store = Store('http://127.0.0.1:2400', rate_limiter=limiter)
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self._rates = _check_rates(writes_per_s, reads_per_s)
        self._send, self._inbox = create_memory_object_stream[
            AcquireToken | _SetRates | _ReadFillLevel
        ]()

    async def run(self) -> None:
        """Own the buckets and grant calls until cancelled.

        Calls wait until this task runs, and fail after it has ended.
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
        reply_to, replies = create_memory_object_stream[None](1)
        with replies:
            await self._send.send(
                AcquireToken(CallKind(kind), priority, reply_to)
            )
            await replies.receive()

    async def set_rates(self, writes_per_s: float, reads_per_s: float) -> None:
        """Change the rates, in calls per second.

        Raises
        ------
        ValueError
            When a rate is not positive.
        """
        rates = _check_rates(writes_per_s, reads_per_s)
        await self._send.send(_SetRates(rates))

    async def read_fill_level(self, kind: str) -> float:
        """Return the fill level of the bucket of ``kind``, from 0 to 1.

        The level is 0 while calls wait. At a low level, a journal can batch
        more records into its next append.
        """
        reply_to, replies = create_memory_object_stream[float](1)
        with replies:
            await self._send.send(_ReadFillLevel(CallKind(kind), reply_to))
            return await replies.receive()


def _check_rates(
    writes_per_s: float, reads_per_s: float
) -> dict[CallKind, float]:
    rates = {CallKind.WRITE: writes_per_s, CallKind.READ: reads_per_s}
    for kind, rate in rates.items():
        if rate <= 0:
            raise ValueError(
                f'rate of {rate!r} {kind.value}s per second is not positive; '
                'set a rate above 0'
            )
    return rates
