"""Bounds of the HTTP front end, and the count of open requests."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

KIB = 1024

# A record batch of the journal holds at most 512 KiB, so an accepted job,
# payload included, has to stay well below it.
MAX_PAYLOAD_BYTES = 256 * KIB
# Base64 takes 4/3 of the payload; the rest is for the other fields.
MAX_JOB_BODY_BYTES = 384 * KIB
# Quick requests are not journaled, so only memory bounds their payload.
MAX_REQUEST_BODY_BYTES = 8 * 1024 * KIB
# 9,900 hosts take about 300 bytes each in JSON.
MAX_CONFIGURATION_BYTES = 8 * 1024 * KIB

MAX_OPEN_CALLERS = 1000
MAX_OPEN_PER_TEAM = 400
MAX_OPEN_OPERATORS = 32

# Bodies are held until their requests end; without this bound, many large
# ones could exhaust a small entry host's memory.
MAX_OPEN_BODY_BYTES = 64 * 1024 * KIB

MAX_WAIT_S = 60.0
# Below the drain time of a stop, which therefore interrupts no quick request.
MAX_QUICK_DEADLINE_S = 7.0
ANSWER_TIMEOUT_S = 10.0
ANSWER_MARGIN_S = 0.5
BODY_TIMEOUT_S = 30.0
SEND_TIMEOUT_S = 300.0
DEFAULT_QUICK_DEADLINE_S = 5.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one process; sizes in bytes, times in seconds.

    Parameters
    ----------
    max_open_callers, max_open_operators : int
        Most open requests of each group in this process.
    max_open_per_team : int
        Most open submissions and quick requests of one team.
    max_open_body_bytes : int
        Most bytes of bodies of all open requests together.
    max_payload : int
        Longest payload of a journaled job.
    max_job_body, max_request_body, max_configuration_body : int
        Longest bodies of ``POST /v1/jobs``, ``POST /v1/requests`` and
        ``PUT /v1/configuration``.
    max_wait_s : float
        Longest ``wait`` for the end of a job.
    max_quick_deadline_s : float
        Longest deadline of a quick request.
    answer_timeout_s : float
        How long to wait for an answer that needs no waiting for a job.
    answer_margin_s : float
        Added to a caller's wait, so that the shard's answer comes before
        the front end gives up.
    body_timeout_s, send_timeout_s : float
        How long a caller may take to send a body and to read a response.
    """

    max_open_callers: int = MAX_OPEN_CALLERS
    max_open_operators: int = MAX_OPEN_OPERATORS
    max_open_per_team: int = MAX_OPEN_PER_TEAM
    max_open_body_bytes: int = MAX_OPEN_BODY_BYTES
    max_payload: int = MAX_PAYLOAD_BYTES
    max_job_body: int = MAX_JOB_BODY_BYTES
    max_request_body: int = MAX_REQUEST_BODY_BYTES
    max_configuration_body: int = MAX_CONFIGURATION_BYTES
    max_wait_s: float = MAX_WAIT_S
    max_quick_deadline_s: float = MAX_QUICK_DEADLINE_S
    answer_timeout_s: float = ANSWER_TIMEOUT_S
    answer_margin_s: float = ANSWER_MARGIN_S
    body_timeout_s: float = BODY_TIMEOUT_S
    send_timeout_s: float = SEND_TIMEOUT_S


class OpenRequests:
    """Counts open requests, or their bytes, by key against a bound.

    Parameters
    ----------
    bound : int
        Most requests or bytes of one key.

    Examples
    --------
    >>> requests = OpenRequests(1)
    >>> requests.enter('orders'), requests.enter('orders')
    (True, False)
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._open: Counter[str] = Counter()

    def enter(self, key: str, amount: int = 1) -> bool:
        """Count ``amount`` more, unless that takes ``key`` over its bound."""
        if self.count(key) + amount > self._bound:
            return False
        self._open[key] += amount
        return True

    def leave(self, key: str, amount: int = 1) -> None:
        """Count ``amount`` less."""
        self._open[key] -= amount
        # Keys come from callers, so a key without requests is dropped.
        if not self._open[key]:
            del self._open[key]

    def count(self, key: str) -> int:
        """Return what is open for a key."""
        return self._open.get(key, 0)
