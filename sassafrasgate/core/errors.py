"""Typed errors and sentinel values with a reason.

Decisions return a `Refusal`; adapters and settings raise a
`SassafrasgateError`. Every message names the remedy.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RefusalKind(StrEnum):
    """Why a request was refused; part of the public API."""

    INVALID = 'invalid'
    FITS_NOWHERE = 'fits-nowhere'
    NO_ROOM = 'no-room'
    QUOTA = 'quota'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    NOT_OWNER = 'not-owner'
    NOT_READY = 'not-ready'
    NOT_FOUND = 'not-found'
    STORE_UNAVAILABLE = 'store-unavailable'
    CONFLICT = 'conflict'
    STOPPING = 'stopping'


@dataclass(frozen=True, slots=True)
class Refusal:
    """A sentinel returned in place of a result.

    Parameters
    ----------
    kind : RefusalKind
        The reason in a form that programs can test.
    reason : str
        What was wrong, with the bad value.
    remedy : str
        What the reader can do about it.
    """

    kind: RefusalKind
    reason: str
    remedy: str


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """A sentinel: a request got no answer, so its effect is not known.

    Parameters
    ----------
    reason : str
        Why there is no answer, such as a link that went silent.
    """

    reason: str


class SassafrasgateError(Exception):
    """Base of all errors that this library raises."""


class DuplicateNameError(SassafrasgateError):
    """A registry key was used twice."""

    def __init__(self, noun: str, name: str) -> None:
        super().__init__(
            f'{noun} {name!r} is registered twice; rename one of them'
        )


class UnknownNameError(SassafrasgateError):
    """A name is in no registry."""

    def __init__(self, noun: str, name: str, known: tuple[str, ...]) -> None:
        super().__init__(
            f'unknown {noun} {name!r}; use one of {", ".join(known)}'
        )
        self.name = name


class MessageError(SassafrasgateError):
    """A frame from another process can't be decoded."""


class StoreError(SassafrasgateError):
    """A call to the platform's store did not succeed."""


class StoreUnavailableError(StoreError):
    """The store gave no answer, so the effect of a write is not known.

    Parameters
    ----------
    message : str
        What failed, with the remedy.
    sent : bool
        False when no connection was made, so that the call certainly had
        no effect.
    """

    def __init__(self, message: str, sent: bool = True) -> None:
        super().__init__(message)
        self.sent = sent


class StoreConflictError(StoreError):
    """A compare-and-swap found another revision than the expected one."""


class StoreLeaseLostError(StoreError):
    """A write names a lease that has expired; it had no effect."""


class StoreLogTrimmedError(StoreError):
    """A watch starts before the store's change log; list the prefix anew."""


class WorkerUnavailableError(SassafrasgateError):
    """A worker gave no answer, so the effect of a command is not known.

    Parameters
    ----------
    message : str
        What failed, with the remedy.
    sent : bool
        False when no connection was made, so that the command certainly
        had no effect.
    """

    def __init__(self, message: str, sent: bool = True) -> None:
        super().__init__(message)
        self.sent = sent


class AdviceUnavailableError(SassafrasgateError):
    """The advice service gave no usable answer."""


class WorkerOutputError(SassafrasgateError):
    """A task's output is gone from its worker or damaged."""


class ShardLostError(SassafrasgateError):
    """Another process has taken over a shard's journal."""
