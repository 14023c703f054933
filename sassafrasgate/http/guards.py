"""Carries out the decisions about connections."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from anyio import sleep

from sassafrasgate.http.admission import AdmissionControl
from sassafrasgate.http.admission import ConnectionState
from sassafrasgate.http.admission import ServiceClock
from sassafrasgate.http.connections import TIMEOUT_REASONS
from sassafrasgate.http.refusals import CloseReason
from sassafrasgate.http.time_limits import is_overdue
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.logs import log_event
from sassafrasgate.observability.metrics import CLOSED_CONNECTIONS
from sassafrasgate.observability.metrics import CONNECTION_BYTES
from sassafrasgate.observability.metrics import OPEN_CONNECTIONS

if TYPE_CHECKING:
    from logbook import Logger

    from sassafrasgate.http.admission import AdmissionBudget
    from sassafrasgate.http.admission import ConnectionUsage
    from sassafrasgate.http.connections import Connection
    from sassafrasgate.observability.metrics import Metrics

SWEEP_INTERVAL_S = 1.0
MAX_CLOCK_STEP_MS = 2_000
# Reasons for which ordinary connections are closed, too.
UNLOGGED_REASONS = frozenset({CloseReason.IDLE, CloseReason.LATE_CLOSE})


class ConnectionGuard:
    """Keeps the connections of a process within its budget and time limits.

    Parameters
    ----------
    budget : AdmissionBudget
        What all connections of the process may use.
    logger : Logger
        Logger of the process.
    metrics : Metrics
        Metrics of the process.
    publishes : bool
        Whether its gauges are those of the process.
    """

    def __init__(
        self,
        budget: AdmissionBudget,
        logger: Logger,
        metrics: Metrics,
        publishes: bool = True,
    ) -> None:
        self._publishes = publishes
        self._clock = ServiceClock(now_ms, MAX_CLOCK_STEP_MS)
        self._control = AdmissionControl(budget, self._clock)
        self._connections: dict[ConnectionUsage, Connection] = {}
        self._closed: Counter[CloseReason] = Counter()
        self._logger = logger
        self._metrics = metrics
        self._failures = FailureRecorder(logger, metrics)

    def make_room(self) -> bool:
        """Return whether a connection may be accepted.

        Others are closed for it if need be.
        """
        victims = self._control.make_room()
        if victims is None:
            self.count(CloseReason.NOT_ACCEPTED)
            return False
        self._refuse(victims)
        return True

    def add(self, connection: Connection) -> ConnectionUsage:
        """Count a new connection and return what it uses."""
        usage = self._control.open()
        self._connections[usage] = connection
        return usage

    def hold(self, usage: ConnectionUsage, amount: int) -> None:
        """Change what a connection holds; close others if it is too much."""
        control = self._control
        control.hold(usage, amount)
        if amount > 0 and control.is_over_budget:
            self._refuse(control.find_excess())

    def enter(self, usage: ConnectionUsage, state: ConnectionState) -> None:
        """Change what a connection waits for."""
        self._control.enter(usage, state)

    def disconnect(self, usage: ConnectionUsage) -> None:
        """Take note that a connection has no socket any longer."""
        self._control.disconnect(usage)
        usage.state = ConnectionState.SERVED
        usage.is_paused = False

    def remove(self, connection: Connection) -> None:
        """Stop counting a connection whose task has ended."""
        del self._connections[connection.usage]
        self._control.close(connection.usage)

    def count(self, reason: CloseReason) -> None:
        """Count a connection that the server closes."""
        self._closed[reason] += 1
        self._metrics.count(CLOSED_CONNECTIONS, reason)

    def record_failure(self, error: BaseException) -> None:
        """Log an unexpected error that has ended a connection's task."""
        self._failures.record('connection', error)

    async def run(self) -> None:
        """Apply the time limits periodically, until cancelled."""
        while True:
            await sleep(SWEEP_INTERVAL_S)
            try:
                self.sweep()
            except Exception as error:
                self._failures.record('connection-sweep', error)

    def sweep(self) -> None:
        """Close connections that are overdue, and report."""
        now = self._clock.read()
        for usage, connection in tuple(self._connections.items()):
            try:
                connection.check_unread()
                if is_overdue(usage, connection.get_limits(), now):
                    connection.refuse(TIMEOUT_REASONS[usage.state])
            except Exception as error:
                # The time limits of the other connections still hold.
                self._failures.record('connection-sweep', error)
        self._publish()
        counts = tuple(
            (reason.replace('-', '_'), count)
            for reason, count in self._closed.items()
            if reason not in UNLOGGED_REASONS
        )
        self._closed.clear()
        if not counts:
            return
        log_event(
            self._logger,
            'connections-closed',
            (
                ('open', self._control.connections),
                ('bytes', self._control.used_bytes),
                *counts,
            ),
        )

    def _publish(self) -> None:
        if not self._publishes:
            return
        self._metrics.set_gauge(OPEN_CONNECTIONS, self._control.connections)
        self._metrics.set_gauge(CONNECTION_BYTES, self._control.used_bytes)

    def _refuse(self, victims: list[ConnectionUsage]) -> None:
        for usage in victims:
            self._connections[usage].refuse(CloseReason.OVERLOADED)
