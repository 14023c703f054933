"""Requests that have ended an ownership, and are not passed on for a while.

An unexpected error in a decision ends the ownership, because the state may be
inconsistent. A request that is repeated, by an entry host or by its caller,
would most likely end that of the successor as well, and so on.
"""

from __future__ import annotations

from typing import Any

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.protocol.workflows import RequestFailed

# A request of this kind about this job may end one ownership in this time.
FAILED_REQUEST_TTL_MS = 60_000
# Other failed requests may still be repeated; the oldest are forgotten.
MAX_FAILED_REQUESTS = 1_000


def describe_failed_request(message: Any) -> RequestFailed:
    """Return what identifies a request and its repetitions.

    Parameters
    ----------
    message : object
        A request about a job, or about a queue.
    """
    subject = getattr(message, 'job_id', '') or getattr(message, 'queue', '')
    return RequestFailed(message.kind, subject)


class FailedRequests:
    """The failed requests that this process knows of."""

    def __init__(self) -> None:
        # Steady clock in ms when the request may be passed on again, with the
        # oldest entry first.
        self._ends_at: dict[RequestFailed, int] = {}

    def record(self, failed: RequestFailed) -> None:
        """Refuse a request and its repetitions from now on."""
        self._ends_at.pop(failed, None)
        self._ends_at[failed] = now_ms() + FAILED_REQUEST_TTL_MS
        if len(self._ends_at) > MAX_FAILED_REQUESTS:
            del self._ends_at[next(iter(self._ends_at))]

    def find_refusal(self, message: Any) -> Refusal | None:
        """Return the refusal of a request, or None if it may be passed on."""
        if not self._ends_at:
            return None
        failed = describe_failed_request(message)
        left_ms = self._ends_at.get(failed, 0) - now_ms()
        if left_ms <= 0:
            self._ends_at.pop(failed, None)
            return None
        return Refusal(
            RefusalKind.FAILED,
            f'an earlier {failed.request_kind!r} for {failed.subject!r} has '
            'ended the ownership of the shard by an unexpected error',
            "report the unexpected-error line of the entry hosts' logs, and "
            'send the request again after the time in Retry-After',
            left_ms,
        )
