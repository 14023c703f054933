"""Rules for owning a shard; the model checker drives these too."""

from __future__ import annotations

from dataclasses import dataclass

OWNER_TTL_MS = 3_000
OUTAGE_GRACE_MS = 120_000


@dataclass(frozen=True, slots=True)
class OwnerLease:
    """An owner's store lease, on the owner's suspend-counting clock.

    Parameters
    ----------
    renewed_at : int
        When the last successful renewal was *sent*, in ms.
    store_failing_since : int
        When calls to the store began to fail without an answer; 0 while
        it answers.
    checked_at : int
        When the owner last ran its own check, to notice a pause.
    ttl_ms, grace_ms : int
        Length of the lease, and how long the owner may go on past it while
        the store is down.
    """

    renewed_at: int
    store_failing_since: int = 0
    checked_at: int = 0
    ttl_ms: int = OWNER_TTL_MS
    grace_ms: int = OUTAGE_GRACE_MS


def may_send(
    lease: OwnerLease,
    now: int,
    ttl_ms: int = OWNER_TTL_MS,
    grace_ms: int = OUTAGE_GRACE_MS,
) -> bool:
    """Tell whether an owner may send a command to a worker.

    Within its lease it may. Past it, it may only while the store has been
    failing since before the lease ended, the owner itself was not paused,
    and the outage grace has not run out. Another process may still reach
    the store, so a successor waits out the same grace before it gives up
    the leases on a host that does not answer it.
    """
    if now < lease.renewed_at + ttl_ms:
        return True
    if now >= lease.checked_at + ttl_ms:
        return False
    if now >= lease.renewed_at + ttl_ms + grace_ms:
        return False
    return 0 < lease.store_failing_since < lease.renewed_at + ttl_ms


def may_place(
    fence_answered: bool, leaving: bool, drained: bool, quarantined: bool
) -> bool:
    """Tell whether a host may get new work."""
    return fence_answered and not (leaving or drained or quarantined)
