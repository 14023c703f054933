"""Limits of what callers may send, as configured by the operators."""

from __future__ import annotations

from dataclasses import dataclass

# A job's record has to fit into one value of the store, in Base64.
MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384
HEADER_TIMEOUT_MS = 30_000
# Longer than the idle timeout of common load balancers, so that the balancer
# closes idle connections first and sends no request on a closing one.
IDLE_TIMEOUT_MS = 75_000


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of the connections and requests of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size of the head and of the body of a request.
    header_timeout_ms : int
        Time limit from the first byte of a head to its end.
    idle_timeout_ms : int
        Time for which a connection may stay open without a request.
    """

    max_header_bytes: int = MAX_HEADER_BYTES
    max_body_bytes: int = MAX_BODY_BYTES
    header_timeout_ms: int = HEADER_TIMEOUT_MS
    idle_timeout_ms: int = IDLE_TIMEOUT_MS


DEFAULT_LIMITS = CallerLimits()
