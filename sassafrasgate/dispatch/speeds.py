"""Speeds of runs, as far as their reports can tell.

Reports list progress in whole percents, every two seconds in quiet times. One
percent of a task of five minutes takes three seconds, so that two reports
without progress, or with one percent between them, say little about it.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# Minimum time between two reports from which a rate is computed, and the time
# without progress after which a run may count as stalled.
RATE_WINDOW_MS = 500
STALL_MS = 800
# Rates of windows with less progress are uncertain by more than half.
MIN_GAIN_PERCENT = 2
# A run counts as stalled if it has made no progress for as long as this
# progress takes at the lowest speed that it may have. That of a run which has
# not made any is its expected speed; estimates are too low by a factor of up
# to five.
STALL_PERCENT = 5
# Assumed for a task without an estimate.
DEFAULT_ESTIMATE_MS = 60_000


@dataclass(frozen=True, slots=True)
class SpeedReading:
    """What the reports of a run say about its speed.

    Parameters
    ----------
    base_percent, base_at : int
        Progress in percent, and owner's clock in ms, at the beginning of the
        current window; 0 before the first report.
    gained, window_ms : int
        Progress in percent within the latest window, and its length; 0 before
        the first one.
    measured_at : int
        Owner's clock, in ms, at the end of the latest window.
    grew_at : int
        Owner's clock, in ms, when a report last showed progress.
    proven_rate : float
        Lowest rate, in percent per second, that the run may have had in a
        window with enough progress; 0 before the first such window.
    """

    base_percent: int = 0
    base_at: int = 0
    gained: int = 0
    window_ms: int = 0
    measured_at: int = 0
    grew_at: int = 0
    proven_rate: float = 0.0

    @property
    def is_measured(self) -> bool:
        """Whether there has been a window."""
        return self.window_ms > 0

    @property
    def rate(self) -> float:
        """Rate in the latest window, in percent per second."""
        return self.gained * 1000 / self.window_ms

    @property
    def highest_rate(self) -> float:
        """Highest rate, in percent per second, that is not ruled out.

        Progress is rounded down, so up to one percent more may have been made
        in the window. With more progress than that the rate is used as it is.
        """
        if self.gained >= MIN_GAIN_PERCENT:
            return self.rate
        return (self.gained + 1) * 1000 / self.window_ms

    @property
    def still_ms(self) -> int:
        """Time without progress until the latest report, in ms."""
        return self.measured_at - self.grew_at

    def find_work_ms(self) -> int:
        """Return how long all the work takes at this speed; 0 if unknown."""
        if self.gained >= MIN_GAIN_PERCENT:
            return int(100_000 / self.rate)
        if self.proven_rate:
            return int(100_000 / self.proven_rate)
        return 0

    def find_stall_ms(self, expected_ms: int) -> int:
        """Return after what time without progress the run is stalled.

        Parameters
        ----------
        expected_ms : int
            Expected duration of the run; 0 if there is no estimate.
        """
        percent_ms = (expected_ms or DEFAULT_ESTIMATE_MS) / 100
        if self.proven_rate:
            percent_ms = 1000 / self.proven_rate
        return max(STALL_MS, int(STALL_PERCENT * percent_ms))


NO_READING = SpeedReading()


def update_speed(
    speed: SpeedReading, last_percent: int, percent: int, received_at: int
) -> SpeedReading:
    """Return what is known of a run's speed after a report.

    Parameters
    ----------
    last_percent : int
        Progress in the report before.
    percent : int
        Progress in this report.
    received_at : int
        Owner's clock, in ms, when the report arrived.
    """
    gained = percent - speed.base_percent
    if not speed.base_at or gained < 0:
        return SpeedReading(percent, received_at, grew_at=received_at)
    grew_at = received_at if percent > last_percent else speed.grew_at
    window_ms = received_at - speed.base_at
    if window_ms < (RATE_WINDOW_MS if gained else STALL_MS):
        return replace(speed, grew_at=grew_at)
    if gained < MIN_GAIN_PERCENT:
        return replace(
            speed,
            gained=gained,
            window_ms=window_ms,
            measured_at=received_at,
            grew_at=grew_at,
        )
    return SpeedReading(
        percent,
        received_at,
        gained,
        window_ms,
        received_at,
        grew_at,
        (gained - 1) * 1000 / window_ms,
    )
