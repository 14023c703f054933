"""Rules for owning a shard, also exercised by the models."""

from __future__ import annotations

from dataclasses import dataclass

OWNER_TTL_MS = 3_000
OUTAGE_GRACE_MS = 120_000


@dataclass(frozen=True, slots=True)
class OwnerLease:
    """An owner's store lease.

    Times are readings of the owner's clock in ms, which counts suspended
    time; 0 stands for none.

    Parameters
    ----------
    renewed_at : int
        When the last successful renewal was *sent*.
    store_failing_since : int
        When calls to the store began to get no reply; 0 while the store
        responds.
    checked_at : int
        When the owner last ran its periodic check; an old value shows that
        the process was paused.
    ttl_ms : int
        Duration of the lease.
    grace_ms : int
        How long the owner may continue after the end of the lease while the
        store is down.
    """

    renewed_at: int
    store_failing_since: int = 0
    checked_at: int = 0
    ttl_ms: int = OWNER_TTL_MS
    grace_ms: int = OUTAGE_GRACE_MS


@dataclass(frozen=True, slots=True)
class OwnerTerm:
    """An owner that may still act, because nothing shows that it can't.

    Parameters
    ----------
    owner : str
        Process name and incarnation, separated by a slash.
    epoch : int
        Epoch of its takeover.
    ttl_ms, grace_ms : int
        Duration of its lease, and the time for which it may act after its
        lease during an outage of the store.
    """

    owner: str
    epoch: int
    ttl_ms: int
    grace_ms: int


def may_send_commands(
    lease: OwnerLease,
    now: int,
    ttl_ms: int = OWNER_TTL_MS,
    grace_ms: int = OUTAGE_GRACE_MS,
) -> bool:
    """Return whether an owner may send a command to a worker.

    During its lease it may. After the lease it may only if the store has
    been failing since before the lease ended, the owner itself was not
    paused, and the grace period for outages has not ended. Another process
    may still reach the store and take over, so a successor waits for the
    end of the same grace period before it considers the leases on an
    unresponsive host expired.
    """
    if now < lease.renewed_at + ttl_ms:
        return True
    if now >= lease.checked_at + ttl_ms:
        return False
    if now >= lease.renewed_at + ttl_ms + grace_ms:
        return False
    return 0 < lease.store_failing_since < lease.renewed_at + ttl_ms


def accepts_placements(
    epoch_acknowledged: bool, leaving: bool, drained: bool, quarantined: bool
) -> bool:
    """Return whether a host may get new tasks.

    Parameters
    ----------
    epoch_acknowledged : bool
        Whether the worker has acknowledged this owner's epoch and still
        replies; from then on it refuses commands of previous owners.
    leaving : bool
        Whether the host is about to leave the platform.
    drained : bool
        Whether an operator has drained the host.
    quarantined : bool
        Whether the host may not get tasks because of earlier failures.
    """
    return epoch_acknowledged and not (leaving or drained or quarantined)
