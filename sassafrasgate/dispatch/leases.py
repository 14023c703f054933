"""Lengths of workers' leases, and when they have certainly lapsed."""

from __future__ import annotations

from math import ceil

# A longer lease lets runs survive longer cuts; a shorter one lets the tasks
# of a worker that is gone start elsewhere sooner.
WORKER_LEASE_MS = 4_500
# A worker's steady clock may be this much slow.
MAX_CLOCK_DRIFT = 0.02
# Allowance for timers on both sides.
LEASE_EXPIRY_MARGIN_MS = 300
# Lives of one worker that one owner can tell apart by the fence.
RESTARTS_PER_EPOCH = 1_000_000
# Restarts that may be counted before the owner gets in touch anew.
RESTARTS_PER_WATCH = 1_000


def compute_worker_lease_expiry(sent_at: int, reading_age_ms: int) -> int:
    """Return the owner's clock at which a grant has certainly lapsed.

    Parameters
    ----------
    sent_at : int
        Owner's clock when the grant was sent.
    reading_age_ms : int
        Age of the worker's clock reading that its deadline is based on.
    """
    slow_ms = MAX_CLOCK_DRIFT * (reading_age_ms + WORKER_LEASE_MS)
    return sent_at + WORKER_LEASE_MS + ceil(slow_ms) + LEASE_EXPIRY_MARGIN_MS


def compute_worker_lease_deadline(clock_ms: int, reading_age_ms: int) -> int:
    """Return the worker-clock deadline of a lease that begins now."""
    return clock_ms + reading_age_ms + WORKER_LEASE_MS


def compute_takeover_expiry(now: int, ttl_ms: int, grace_ms: int) -> int:
    """Return when everything granted by an earlier owner has lapsed.

    The earlier owner may have sent its last grant at the end of its lease
    and its outage grace, on a clock that may be slow too.
    """
    longest = ttl_ms + grace_ms + WORKER_LEASE_MS
    return (
        now
        + ceil(longest * (1 + MAX_CLOCK_DRIFT))
        + 2 * LEASE_EXPIRY_MARGIN_MS
    )


def make_fencing_token(epoch: int, restarts: int) -> int:
    """Return the fencing value for commands to one life of a worker.

    A worker that starts again under its id obeys any owner. A call from
    before the restart that is carried out late would start a run there that
    counts as lost, or acknowledge ends that nobody has seen; the higher
    value for the new life keeps it out.

    Parameters
    ----------
    epoch : int
        Of the owner.
    restarts : int
        Restarts of the worker that the owner has noticed.
    """
    return epoch * RESTARTS_PER_EPOCH + min(restarts, RESTARTS_PER_EPOCH - 1)
