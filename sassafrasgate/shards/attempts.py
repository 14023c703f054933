"""Rules for task leases and retries, also exercised by the models."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from sassafrasgate.shards.ownership import OWNER_TTL_MS

LEASE_MS = 10_000
START_WINDOW_MS = 5_000
MAX_CLOCK_DRIFT = 0.01
LEASE_EXPIRY_MARGIN_MS = 250


class AttemptStatus(StrEnum):
    """What the owner knows for certain about an attempt that went wrong.

    A refused attempt never started on the worker, and one that was not sent
    never left the owner. A failed attempt ran. The lease of a lapsed one has
    expired, so it may have run but no longer does. An undetermined one may
    still run.
    """

    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    FAILED = 'failed'
    LAPSED = 'lapsed'
    UNDETERMINED = 'open'


class RetryDecision(StrEnum):
    """What follows an attempt that went wrong."""

    RETRY = 'retry'
    END_FAILED = 'end-failed'
    END_UNKNOWN = 'end-unknown'
    WAIT = 'wait'


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of a worker's clock and the owner's time of its arrival.

    Parameters
    ----------
    clock : int
        The worker's clock in ms.
    received_at : int
        The owner's clock in ms when the reading arrived.
    """

    clock: int
    received_at: int


def compute_task_lease_deadline(
    reading: ClockReading, lease_ms: int = LEASE_MS
) -> int:
    """Return a new lease's deadline on the clock of the worker."""
    return reading.clock + lease_ms


def compute_task_lease_expiry(
    lease_clock: int,
    reading: ClockReading,
    drift: float = MAX_CLOCK_DRIFT,
    margin_ms: int = LEASE_EXPIRY_MARGIN_MS,
) -> int:
    """Return the owner's time from which a lease has certainly expired.

    The worker's clock showed ``reading.clock`` or later when the reading
    arrived, and runs slower than the owner's by at most the fraction
    ``drift``.

    Parameters
    ----------
    lease_clock : int
        The latest deadline that was *sent* for the task, on the worker's
        clock; a renewal without a reply may have taken effect.
    reading : ClockReading
        A clock reading of the same incarnation of the worker.
    drift : float
        Bound on the relative rate difference of the two clocks.
    margin_ms : int
        Allowance for the resolution of the worker's timer, in ms.
    """
    remaining = max(0, lease_clock - reading.clock)
    return reading.received_at + ceil(remaining * (1 + drift)) + margin_ms


def compute_takeover_lease_expiry(
    takeover_at: int,
    grace_ms: int,
    lease_ms: int = LEASE_MS,
    ttl_ms: int = OWNER_TTL_MS,
    drift: float = MAX_CLOCK_DRIFT,
    margin_ms: int = LEASE_EXPIRY_MARGIN_MS,
) -> int:
    """Return when the leases of previous owners have certainly expired.

    The previous owner measures its store lease and its grace period by its
    own clock, which may be slow too, so the drift bound applies to these two
    durations as well as to the task lease.

    Parameters
    ----------
    takeover_at : int
        The new owner's time when its takeover record was known to be in
        the journal, in ms.
    grace_ms : int
        How long after the end of its store lease the previous owner may
        have renewed task leases during a store outage, in ms; taken from
        its own takeover record.
    lease_ms : int
        Longest lease that a start or renewal grants, in ms.
    ttl_ms : int
        Duration of the previous owner's store lease, in ms.
    drift : float
        Bound on the relative rate difference of any two clocks.
    margin_ms : int
        Allowance for the resolution of the worker's timer, in ms.
    """
    longest = ceil((ttl_ms + grace_ms + lease_ms) * (1 + drift))
    return takeover_at + longest + margin_ms


def decide_retry(
    idempotent: bool, status: AttemptStatus, failures: int, max_failures: int
) -> RetryDecision:
    """Decide on a retry so that no non-idempotent job runs twice.

    Parameters
    ----------
    idempotent : bool
        Whether the job may run again after an attempt that started.
    status : AttemptStatus
        What is certain about the attempt.
    failures : int
        Number of failed attempts, this one included.
    max_failures : int
        Number of failed attempts after which the job fails.
    """
    if status is AttemptStatus.UNDETERMINED:
        return RetryDecision.WAIT
    if status in (AttemptStatus.REFUSED, AttemptStatus.NOT_SENT):
        return RetryDecision.RETRY
    if not idempotent:
        if status is AttemptStatus.FAILED:
            return RetryDecision.END_FAILED
        return RetryDecision.END_UNKNOWN
    if status is AttemptStatus.FAILED and failures >= max_failures:
        return RetryDecision.END_FAILED
    return RetryDecision.RETRY
