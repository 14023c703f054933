"""The age of what a process knows from the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_event

if TYPE_CHECKING:
    from logbook import Logger


class ViewFreshness:
    """Records when the store last confirmed a view, and logs failures.

    Parameters
    ----------
    prefix : str
        Prefix of the keys, or name of the list, that is known.
    logger : Logger
        Logger for the beginning and the end of failures.
    """

    def __init__(self, prefix: str, logger: Logger) -> None:
        self.prefix = prefix
        self._logger = logger
        self._confirmed_at = now_ms()
        self._failing = False

    @property
    def confirmed_at(self) -> int:
        """Clock reading in ms when the store last confirmed the view."""
        return self._confirmed_at

    @property
    def age_ms(self) -> int:
        """Time in ms since the store last confirmed the view."""
        return now_ms() - self._confirmed_at

    def confirm(self) -> None:
        """Record that the view is that of the store."""
        if self._failing:
            self._log('watch-restored', (('age_ms', self.age_ms),))
        self._failing = False
        self._confirmed_at = now_ms()

    def record_failure(self, reason: str) -> None:
        """Record that the store has not confirmed the view in time."""
        if not self._failing:
            self._log(
                'watch-lost', (('age_ms', self.age_ms), ('reason', reason))
            )
        self._failing = True

    def _log(self, kind: str, fields: tuple[tuple[str, object], ...]) -> None:
        log_event(self._logger, kind, (('prefix', self.prefix), *fields))
