"""Deadlines of workers' leases, bounds of their expiry, and fencing tokens."""

from __future__ import annotations

from math import ceil

# A longer lease lets runs survive longer network partitions. A shorter lease
# lets the tasks of a lost worker start elsewhere sooner.
WORKER_LEASE_MS = 4_500
# A worker's monotonic clock may run slow by up to this fraction.
MAX_CLOCK_DRIFT = 0.02
# Allowance for late timers of the owner and the worker.
LEASE_EXPIRY_MARGIN_MS = 300
# Number of incarnations of one worker that get distinct fencing tokens within
# one epoch.
RESTARTS_PER_EPOCH = 1_000_000
# Offset between the first restart counts of two consecutive watches of one
# worker. It must exceed the number of restarts counted during one watch.
RESTARTS_PER_WATCH = 1_000


def compute_worker_lease_expiry(sent_at: int, reading_age_ms: int) -> int:
    """Return the owner's clock, in ms, when a lease has certainly expired.

    Parameters
    ----------
    sent_at : int
        Owner's clock, in ms, when the lease was sent to the worker.
    reading_age_ms : int
        Age of the reading of the worker's clock from which the deadline of
        the lease was computed.
    """
    slow_ms = MAX_CLOCK_DRIFT * (reading_age_ms + WORKER_LEASE_MS)
    return sent_at + WORKER_LEASE_MS + ceil(slow_ms) + LEASE_EXPIRY_MARGIN_MS


def compute_worker_lease_deadline(clock_ms: int, reading_age_ms: int) -> int:
    """Return the deadline, on the worker's clock, of a lease that begins now.

    Parameters
    ----------
    clock_ms : int
        Latest reading of the worker's clock, in ms.
    reading_age_ms : int
        Time since that reading arrived, in ms.
    """
    return clock_ms + reading_age_ms + WORKER_LEASE_MS


def compute_takeover_expiry(now: int, ttl_ms: int, grace_ms: int) -> int:
    """Return when every lease granted by previous owners has expired.

    A previous owner may have granted its last lease at the end of its own
    lease and outage grace period, on a clock that may also run slow.

    Parameters
    ----------
    now : int
        Owner's clock, in ms, at the takeover.
    ttl_ms : int
        Duration of the previous owner's own lease.
    grace_ms : int
        Time for which the previous owner may act after its lease during an
        outage of the store.
    """
    longest = ttl_ms + grace_ms + WORKER_LEASE_MS
    return (
        now
        + ceil(longest * (1 + MAX_CLOCK_DRIFT))
        + 2 * LEASE_EXPIRY_MARGIN_MS
    )


def make_fencing_token(epoch: int, restarts: int) -> int:
    """Return the fencing token for calls to one incarnation of a worker.

    After a restart, a worker obeys any owner. A call from before the restart
    that is carried out late would start a run that the owner counts as lost,
    or acknowledge ended runs that the owner has not seen. The higher token
    of the new incarnation makes the worker refuse such a call.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    restarts : int
        Number of restarts of the worker that the owner has observed.
    """
    return epoch * RESTARTS_PER_EPOCH + min(restarts, RESTARTS_PER_EPOCH - 1)
