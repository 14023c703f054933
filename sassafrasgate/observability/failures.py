"""Unexpected errors and unusable input, as log lines and counts."""

from __future__ import annotations

from dataclasses import dataclass
from os.path import basename
from traceback import extract_tb
from typing import TYPE_CHECKING

from logbook import Logger

from sassafrasgate.observability.logs import log_event
from sassafrasgate.observability.metrics import CUT_OFF_RESPONSES
from sassafrasgate.observability.metrics import INVALID_INPUTS
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.observability.metrics import UNEXPECTED_ERRORS

if TYPE_CHECKING:
    from sassafrasgate.core.errors import InvalidEntryError

MAX_TRACE_FRAMES = 5
MAX_ERROR_LENGTH = 400


@dataclass(frozen=True, slots=True)
class FailureRecorder:
    """Logs and counts errors that end one unit of work of a task.

    A task that serves many workers, calls or messages records an unexpected
    error of one of them and goes on with the others.

    Parameters
    ----------
    logger : Logger
        Logger of the process.
    metrics : Metrics
        Metrics of the process.
    """

    logger: Logger
    metrics: Metrics

    def record(
        self,
        unit: str,
        error: BaseException,
        fields: tuple[tuple[str, object], ...] = (),
    ) -> None:
        """Record an unexpected error.

        Parameters
        ----------
        unit : str
            Kind of the unit of work that the error has ended, for example
            ``worker-poll``.
        error : BaseException
            The error. Of a group of errors, the first one is logged.
        fields : tuple of (str, object)
            Further fields of the log line.
        """
        cause = _find_first(error)
        self.metrics.count(UNEXPECTED_ERRORS, unit)
        log_event(
            self.logger,
            'unexpected-error',
            (
                ('unit', unit),
                *fields,
                ('error', repr(cause)[:MAX_ERROR_LENGTH]),
                ('trace', _format_trace(cause)),
            ),
        )

    def record_cut_off(self, reason: str, error: Exception) -> None:
        """Record a response that was not read to its end.

        Parameters
        ----------
        reason : str
            Kind of the limit that it has exceeded.
        error : Exception
            Names the call and the limit.
        """
        self.metrics.count(CUT_OFF_RESPONSES, reason)
        log_event(
            self.logger,
            'response-cut-off',
            (('reason', reason), ('error', str(error)[:MAX_ERROR_LENGTH])),
        )


class InvalidEntryLog:
    """Logs each key with an unusable value once, and counts every one.

    The values are listed again and again, and their writers may repeat them.

    Parameters
    ----------
    failures : FailureRecorder
        Logger and metrics of the process.
    prefix : str
        Prefix of the keys, as the label of the counter.
    """

    def __init__(self, failures: FailureRecorder, prefix: str) -> None:
        self.failures = failures
        self._prefix = prefix
        self._reasons: dict[str, str] = {}

    def record(self, error: InvalidEntryError) -> None:
        """Count an unusable value, and log it unless that was done."""
        self.failures.metrics.count(INVALID_INPUTS, self._prefix)
        if self._reasons.get(error.key) == error.reason:
            return
        self._reasons[error.key] = error.reason
        log_event(
            self.failures.logger,
            'invalid-entry',
            (
                ('key', error.key),
                ('revision', error.revision),
                ('reason', error.reason),
            ),
        )

    def forget(self, key: str) -> None:
        """Forget a key that has been deleted or has a usable value."""
        self._reasons.pop(key, None)

    def forget_all_but(self, keys: set[str]) -> None:
        """Forget all keys that are not in a complete list."""
        for key in self._reasons.keys() - keys:
            del self._reasons[key]


def _find_first(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _format_trace(error: BaseException) -> str:
    frames = extract_tb(error.__traceback__)[-MAX_TRACE_FRAMES:]
    return ' '.join(
        f'{basename(frame.filename)}:{frame.lineno}:{frame.name}'
        for frame in frames
    )
