"""Limits of the HTTP interface and a limiter of usage by key."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

KIB = 1024

# A record batch of the journal holds at most 512 KiB, so an accepted job,
# including its payload, has to be well below that size.
MAX_PAYLOAD_BYTES = 256 * KIB
# Base64 takes 4/3 of the payload size; the rest is for the other fields.
MAX_JOB_BODY_BYTES = 384 * KIB
# Quick requests are not journaled, so only memory limits their payload.
MAX_REQUEST_BODY_BYTES = 8 * 1024 * KIB
# Enough for 9,900 hosts, which take about 300 bytes each in JSON.
MAX_CONFIGURATION_BODY_BYTES = 8 * 1024 * KIB

MAX_OPEN_CALLER_REQUESTS = 1000
MAX_OPEN_REQUESTS_PER_TEAM = 400
MAX_OPEN_OPERATOR_REQUESTS = 32

# Bodies stay in memory until their requests end; without this limit, many
# large ones could exhaust the memory of a small entry host.
MAX_OPEN_BODY_BYTES = 64 * 1024 * KIB

MAX_WAIT_S = 60.0
# Below the drain time of a stop, so that a stop interrupts no quick request.
MAX_QUICK_DEADLINE_S = 7.0
REPLY_TIMEOUT_S = 10.0
REPLY_MARGIN_S = 0.5
BODY_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 300.0
DEFAULT_QUICK_DEADLINE_S = 5.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one process.

    Parameters
    ----------
    max_open_caller_requests, max_open_operator_requests : int
        Maximum number of open requests of each group in this process.
    max_open_requests_per_team : int
        Maximum number of open submissions and quick requests of one team.
    max_open_body_bytes : int
        Maximum size of the bodies of all open requests together.
    max_payload_bytes : int
        Maximum size of the payload of a journaled job.
    max_job_body_bytes : int
        Maximum size of the body of ``POST /v1/jobs``.
    max_request_body_bytes : int
        Maximum size of the body of ``POST /v1/requests``.
    max_configuration_body_bytes : int
        Maximum size of the body of ``PUT /v1/configuration``.
    max_wait_s : float
        Maximum ``wait`` for the end of a job, in seconds.
    max_quick_deadline_s : float
        Maximum deadline of a quick request, in seconds.
    reply_timeout_s : float
        Time limit for a shard's reply that does not wait for the end of a
        job, in seconds.
    reply_margin_s : float
        Added to the time limit of a request to a shard, in seconds, so that
        the shard's reply arrives before the limit.
    body_timeout_s, send_timeout_s : float
        Time limits for receiving a body and for sending a response, in
        seconds.
    """

    max_open_caller_requests: int = MAX_OPEN_CALLER_REQUESTS
    max_open_operator_requests: int = MAX_OPEN_OPERATOR_REQUESTS
    max_open_requests_per_team: int = MAX_OPEN_REQUESTS_PER_TEAM
    max_open_body_bytes: int = MAX_OPEN_BODY_BYTES
    max_payload_bytes: int = MAX_PAYLOAD_BYTES
    max_job_body_bytes: int = MAX_JOB_BODY_BYTES
    max_request_body_bytes: int = MAX_REQUEST_BODY_BYTES
    max_configuration_body_bytes: int = MAX_CONFIGURATION_BODY_BYTES
    max_wait_s: float = MAX_WAIT_S
    max_quick_deadline_s: float = MAX_QUICK_DEADLINE_S
    reply_timeout_s: float = REPLY_TIMEOUT_S
    reply_margin_s: float = REPLY_MARGIN_S
    body_timeout_s: float = BODY_TIMEOUT_S
    send_timeout_s: float = SEND_TIMEOUT_S


class UsageLimiter:
    """Limits the usage of a resource, such as open requests, by key.

    Parameters
    ----------
    limit : int
        Maximum usage of one key, in requests or bytes.

    Examples
    --------
    >>> limiter = UsageLimiter(1)
    >>> limiter.acquire('orders'), limiter.acquire('orders')
    (True, False)
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._usage: Counter[str] = Counter()

    def acquire(self, key: str, amount: int = 1) -> bool:
        """Increase a key's usage; return False if the limit forbids it."""
        if self.get_usage(key) + amount > self._limit:
            return False
        self._usage[key] += amount
        return True

    def release(self, key: str, amount: int = 1) -> None:
        """Decrease a key's usage."""
        self._usage[key] -= amount
        # Callers choose the keys, so unused keys are removed; otherwise the
        # counter would grow without limit.
        if not self._usage[key]:
            del self._usage[key]

    def get_usage(self, key: str) -> int:
        """Return the usage of a key."""
        return self._usage.get(key, 0)
