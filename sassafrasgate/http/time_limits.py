"""Time limits of connections, registered by the state that they limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.http.admission import ConnectionState

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.core.caller_limits import CallerLimits
    from sassafrasgate.http.admission import ConnectionUsage

# A client that keeps a limit by its own clock must not meet it here.
MARGIN_MS = 2_000
# Added to the time in which a body arrives at the lowest rate.
BODY_TIMEOUT_MS = 15_000
MIN_BODY_BYTES_PER_S = 4_096
# Time in which a client has to read something of a response.
UNREAD_TIMEOUT_MS = 60_000
# Time for which what a refused client still sends is discarded, so that it
# can read the refusal.
CLOSING_TIMEOUT_MS = 2_000

TIME_LIMITS: Registry[
    ConnectionState, Callable[[ConnectionUsage, CallerLimits], float]
] = Registry('time limit')


def is_overdue(
    usage: ConnectionUsage, limits: CallerLimits, now_ms: int
) -> bool:
    """Return whether a connection has been in its state for too long.

    Parameters
    ----------
    now_ms : int
        Service time.
    """
    if usage.state not in TIME_LIMITS:
        return False
    limit_ms = TIME_LIMITS.find(usage.state)(usage, limits)
    return now_ms - usage.since_ms > limit_ms


@TIME_LIMITS.register(ConnectionState.IDLE)
def compute_idle_limit(usage: ConnectionUsage, limits: CallerLimits) -> float:
    """Return how long a connection may have no request."""
    return limits.idle_timeout_ms + MARGIN_MS


@TIME_LIMITS.register(ConnectionState.HEAD)
def compute_head_limit(usage: ConnectionUsage, limits: CallerLimits) -> float:
    """Return how long a head may take."""
    return limits.header_timeout_ms + MARGIN_MS


@TIME_LIMITS.register(ConnectionState.BODY)
def compute_body_limit(usage: ConnectionUsage, limits: CallerLimits) -> float:
    """Return how long the body may take that has arrived so far."""
    return BODY_TIMEOUT_MS + usage.body_bytes * 1000 / MIN_BODY_BYTES_PER_S


@TIME_LIMITS.register(ConnectionState.UNREAD)
def compute_unread_limit(
    usage: ConnectionUsage, limits: CallerLimits
) -> float:
    """Return how long a client may read nothing of a response."""
    return UNREAD_TIMEOUT_MS


@TIME_LIMITS.register(ConnectionState.CLOSING)
def compute_closing_limit(
    usage: ConnectionUsage, limits: CallerLimits
) -> float:
    """Return how long a refused client may keep its connection open."""
    return CLOSING_TIMEOUT_MS
