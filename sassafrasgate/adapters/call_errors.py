"""Errors of calls to which no complete response was received."""

from __future__ import annotations

from enum import StrEnum

from sassafrasgate.core.errors import SassafrasgateError


class NoResponseError(SassafrasgateError):
    """An HTTP call received no complete response.

    Parameters
    ----------
    message : str
        What failed.
    sent : bool
        False when no connection was established, so that the call had no
        effect.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ResponseTimeoutError(NoResponseError):
    """A response did not arrive within the call's time limit."""


class CutOffReason(StrEnum):
    """Why the rest of a response was not read; a label of a metric."""

    ANNOUNCED_SIZE = 'announced-size'
    SIZE = 'size'
    MALFORMED = 'malformed'


class ResponseCutOffError(NoResponseError):
    """A response was not read to its end; the call may have had an effect.

    Parameters
    ----------
    reason : CutOffReason
        Why it was cut off.
    message : str
        The call, and what was exceeded.
    """

    def __init__(self, reason: CutOffReason, message: str) -> None:
        super().__init__(message, sent=True)
        self.reason = reason
