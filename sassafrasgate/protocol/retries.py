"""Retry budgets and backoff, so that a fault does not multiply the load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

RETRY_RATIO = 0.2
RETRY_BURST = 10.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Limits retries to a ratio of first attempts, plus a burst.

    Parameters
    ----------
    ratio : float
        Number of retries that each first attempt adds to the budget.
    burst : float
        Maximum number of retries that the budget can hold.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, burst=1)
    >>> budget.may_retry(), budget.may_retry()
    (True, False)
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST
    ) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_first_attempt(self) -> None:
        """Add the retries that a first attempt earns to the budget."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def may_retry(self) -> bool:
        """Take one retry from the budget; False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def choose_backoff_s(attempt: int, random: Random) -> float:
    """Return the delay before the next attempt, in seconds.

    The delay grows exponentially and has full jitter.

    Parameters
    ----------
    attempt : int
        Number of the attempt that failed, from 1.
    random : Random
        Random source of the jitter.
    """
    max_delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempt - 1))
    return random.uniform(0, max_delay_s)
