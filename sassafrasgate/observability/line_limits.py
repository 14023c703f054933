"""Limits how many log lines of one kind are written."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WINDOW_MS = 1_000
# More than an entry host logs of ordinary callers in an outage.
MAX_LINES = 200


class LineLimiter:
    """Limits the lines of each kind in a second.

    Parameters
    ----------
    now_ms : callable
        Returns a monotonic time.
    max_lines : int
        Maximum number of lines of one kind in a second.

    Examples
    --------
    >>> limiter = LineLimiter(lambda: 0, max_lines=1)
    >>> limiter.count('request-failed'), limiter.count('request-failed')
    (0, None)
    """

    def __init__(
        self, now_ms: Callable[[], int], max_lines: int = MAX_LINES
    ) -> None:
        self._now_ms = now_ms
        self._max_lines = max_lines
        self._window = 0
        self._lines: Counter[str] = Counter()
        self._omitted: Counter[str] = Counter()

    def count(self, kind: str) -> int | None:
        """Return None if a line is to be omitted.

        Otherwise, return how many lines of its kind were omitted since the
        last one that was written.
        """
        window = self._now_ms() // WINDOW_MS
        if window != self._window:
            self._window = window
            self._lines.clear()
        self._lines[kind] += 1
        if self._lines[kind] > self._max_lines:
            self._omitted[kind] += 1
            return None
        return self._omitted.pop(kind, 0)
