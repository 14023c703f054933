"""How late an owner handles its events, and what its time is spent on.

A saturated owner looks like a silent one to workers, callers and other hosts.
These figures tell the two apart in its logs and metrics.
"""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from sassafrasgate.observability.logs import log_event
from sassafrasgate.observability.metrics import DECISION_SECONDS
from sassafrasgate.observability.metrics import EVENT_DELAY
from sassafrasgate.observability.metrics import INBOX_EVENTS
from sassafrasgate.observability.metrics import PASS_SECONDS
from sassafrasgate.observability.metrics import PASS_STEPS

if TYPE_CHECKING:
    from logbook import Logger

    from sassafrasgate.observability.metrics import Metrics
    from sassafrasgate.shards.events import Ticked

REPORT_INTERVAL_MS = 1_000
# Intervals in which no event was later than this are not logged.
REPORTED_DELAY_MS = 100
# Kinds of events that a log line names, those with the most time first.
REPORTED_KINDS = 4
# A decision that holds the event loop for longer is logged at once: its owner
# may lose the lease before the end of the interval.
LONG_DECISION_S = 0.25


class OwnerLoad:
    """Collects the figures of one interval, and publishes them at its end.

    Parameters
    ----------
    logger : Logger
        Logger for intervals with late events.
    metrics : Metrics
        Metrics of the process.
    """

    def __init__(self, logger: Logger, metrics: Metrics) -> None:
        self._logger = logger
        self._metrics = metrics
        self._began_at = 0
        self._reset(0)

    def _reset(self, now: int) -> None:
        self._began_at = now
        self._delay_ms = 0
        self._loop_delay_ms = 0
        self._passes = 0
        self._longest_pass_s = 0.0
        self._most_steps = 0
        self._longest_decision_s = 0.0
        self._longest_kind = ''
        self._seconds_by_kind: dict[str, float] = {}

    def record_decision(self, kind: str, seconds: float) -> None:
        """Add a decision, for which nothing else of the process could run."""
        self._metrics.observe(DECISION_SECONDS, seconds, kind)
        if seconds > self._longest_decision_s:
            self._longest_decision_s = seconds
            self._longest_kind = kind
        if seconds >= LONG_DECISION_S:
            log_event(
                self._logger,
                'decision-long',
                (('kind', kind), ('took_ms', round(seconds * 1000))),
            )

    def record_event(self, kind: str, seconds: float) -> None:
        """Add the time that was spent on an event of a kind."""
        spent = self._seconds_by_kind.get(kind, 0.0)
        self._seconds_by_kind[kind] = spent + seconds

    def record_pass(self, seconds: float, steps: int) -> None:
        """Add a scheduling pass over a number of waiting steps."""
        self._passes += 1
        self._longest_pass_s = max(self._longest_pass_s, seconds)
        self._most_steps = max(self._most_steps, steps)
        self._metrics.observe(PASS_SECONDS, seconds)
        self._metrics.set_gauge(PASS_STEPS, steps)

    def record_tick(self, tick: Ticked, now: int, waiting: int) -> None:
        """Add the delay of a tick, and publish a complete interval.

        Parameters
        ----------
        now : int
            Owner's clock, in ms, when the tick is handled.
        waiting : int
            Number of events in the inbox.
        """
        self._began_at = self._began_at or now
        delay_ms = max(0, now - tick.due_at)
        self._delay_ms = max(self._delay_ms, delay_ms)
        self._loop_delay_ms = max(
            self._loop_delay_ms, tick.fired_at - tick.due_at
        )
        self._metrics.set_gauge(EVENT_DELAY, delay_ms / 1000)
        self._metrics.set_gauge(INBOX_EVENTS, waiting)
        if now - self._began_at >= REPORT_INTERVAL_MS:
            self._report(now, waiting)
            self._reset(now)

    def _report(self, now: int, waiting: int) -> None:
        if self._delay_ms < REPORTED_DELAY_MS:
            return
        kinds = ','.join(
            f'{kind}:{round(seconds * 1000)}'
            for kind, seconds in nlargest(
                REPORTED_KINDS,
                self._seconds_by_kind.items(),
                key=lambda item: item[1],
            )
        )
        log_event(
            self._logger,
            'owner-late',
            (
                ('delay_ms', self._delay_ms),
                ('loop_delay_ms', self._loop_delay_ms),
                ('waiting_events', waiting),
                ('interval_ms', now - self._began_at),
                (
                    'handling_ms',
                    round(sum(self._seconds_by_kind.values()) * 1000),
                ),
                ('most_ms', kinds),
                (
                    'longest_decision_ms',
                    f'{self._longest_kind}:'
                    f'{round(self._longest_decision_s * 1000)}',
                ),
                ('passes', self._passes),
                ('longest_pass_ms', round(self._longest_pass_s * 1000)),
                ('steps', self._most_steps),
            ),
        )
