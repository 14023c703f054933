"""Bounds on retries, so that a fault does not multiply the load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

RETRY_SHARE = 0.2
RETRY_BURST = 10.0
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 1.0


class RetryBudget:
    """Allows retries up to a share of first tries, plus a burst.

    Parameters
    ----------
    share : float
        Retries that each first try earns.
    burst : float
        Most retries that can be saved up.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1)
    >>> budget.may_retry(), budget.may_retry()
    (True, False)
    """

    def __init__(
        self, share: float = RETRY_SHARE, burst: float = RETRY_BURST
    ) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def note_first_try(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def may_retry(self) -> bool:
        """Spend one retry if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def choose_backoff_s(attempt: int, random: Random) -> float:
    """Return a wait with full jitter before try number ``attempt`` + 1.

    Parameters
    ----------
    attempt : int
        Number of the try that failed, from 1.
    random : Random
        Source of the jitter.
    """
    longest = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempt - 1))
    return random.uniform(0, longest)
