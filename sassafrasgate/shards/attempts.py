"""Rules for leases and attempts; the model checker drives these too."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import ceil

from sassafrasgate.shards.ownership import OWNER_TTL_MS

LEASE_MS = 10_000
START_WINDOW_MS = 5_000
DRIFT = 0.01
LAPSE_MARGIN_MS = 250


class AttemptFate(StrEnum):
    """What is known of an attempt that no longer runs as planned."""

    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    FAILED = 'failed'
    LAPSED = 'lapsed'
    OPEN = 'open'


class NextStep(StrEnum):
    """What may follow an attempt."""

    RETRY = 'retry'
    END_FAILED = 'end-failed'
    END_UNKNOWN = 'end-unknown'
    WAIT = 'wait'


@dataclass(frozen=True, slots=True)
class ClockReading:
    """A worker's clock with the owner's time when it arrived, in ms."""

    clock: int
    received_at: int


def grant_until(reading: ClockReading, lease_ms: int = LEASE_MS) -> int:
    """Return the worker-clock deadline of a lease granted on a reading."""
    return reading.clock + lease_ms


def find_lapse_time(
    lease_clock: int,
    reading: ClockReading,
    drift: float = DRIFT,
    margin_ms: int = LAPSE_MARGIN_MS,
) -> int:
    """Return the owner's time from which a lease has certainly lapsed.

    The worker's clock stood at ``reading.clock`` or later when the reading
    arrived, and runs at most ``drift`` slower than the owner's.

    Parameters
    ----------
    lease_clock : int
        The longest deadline that was *sent* for the task, on the worker's
        clock; a renewal without a reply may have taken effect.
    reading : ClockReading
        A reading of the same incarnation.
    drift : float
        Bound on the relative rate of the two clocks.
    margin_ms : int
        Allowance for the worker's timer.
    """
    remaining = max(0, lease_clock - reading.clock)
    return reading.received_at + ceil(remaining * (1 + drift)) + margin_ms


def find_takeover_lapse(
    takeover_at: int,
    grace_ms: int,
    lease_ms: int = LEASE_MS,
    ttl_ms: int = OWNER_TTL_MS,
    drift: float = DRIFT,
    margin_ms: int = LAPSE_MARGIN_MS,
) -> int:
    """Return when leases granted by earlier owners have surely lapsed.

    The previous owner times its store lease and its grace by its own
    clock, which may be slow too, so the drift bound applies to all three
    durations and not only to the task lease.

    Parameters
    ----------
    takeover_at : int
        The new owner's time when its takeover record was known to be in
        the journal, in ms.
    grace_ms : int
        How long past its lease the previous owner may have renewed tasks
        during a store outage; from its own takeover record.
    lease_ms : int
        Longest lease that a start or renewal grants.
    ttl_ms : int
        Duration of the previous owner's store lease.
    drift : float
        Bound on the relative rate of any two clocks.
    margin_ms : int
        Allowance for the worker's timer.
    """
    longest = ceil((ttl_ms + grace_ms + lease_ms) * (1 + drift))
    return takeover_at + longest + margin_ms


def choose_next_step(
    idempotent: bool, fate: AttemptFate, attempt: int, max_attempts: int
) -> NextStep:
    """Tell what may follow an attempt without running work twice.

    Parameters
    ----------
    idempotent : bool
        Whether the job may run again after an attempt that started.
    fate : AttemptFate
        What is certain about the attempt.
    attempt, max_attempts : int
        Number of this attempt, from 1, and the most that may fail.
    """
    if fate is AttemptFate.OPEN:
        return NextStep.WAIT
    if fate in (AttemptFate.REFUSED, AttemptFate.NOT_SENT):
        return NextStep.RETRY
    if not idempotent:
        if fate is AttemptFate.FAILED:
            return NextStep.END_FAILED
        return NextStep.END_UNKNOWN
    if fate is AttemptFate.FAILED and attempt >= max_attempts:
        return NextStep.END_FAILED
    return NextStep.RETRY
