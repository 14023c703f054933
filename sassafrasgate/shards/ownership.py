"""Rules for owning a shard, also exercised by the models."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from sys import maxsize

OWNER_TTL_MS = 3_000
OUTAGE_GRACE_MS = 120_000
# The steady clocks of two hosts may differ by up to this fraction.
MAX_HOST_CLOCK_DRIFT = 0.02
# Share of the lease's duration without a renewal from which on the store
# counts as not responding. Renewals are three times as frequent as needed.
LATE_RENEWAL_SHARE = 0.5


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
    claims_paused_until : int
        Until when the owner may continue at most, because other hosts have
        agreed not to claim its shard; without limit where a successor always
        waits for the whole grace.
    """

    renewed_at: int
    store_failing_since: int = 0
    checked_at: int = 0
    ttl_ms: int = OWNER_TTL_MS
    grace_ms: int = OUTAGE_GRACE_MS
    claims_paused_until: int = maxsize

    def is_renewal_late(self, now: int) -> bool:
        """Return whether the store has not renewed the lease for a while."""
        return now >= self.renewed_at + self.ttl_ms * LATE_RENEWAL_SHARE


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
    witnesses : tuple of str
        Process names and incarnations of the hosts without whose agreement
        it does not act after its lease; empty if it needs none.
    """

    owner: str
    epoch: int
    ttl_ms: int
    grace_ms: int
    witnesses: tuple[str, ...] = ()


def limit_grace(term: OwnerTerm, successor: str) -> OwnerTerm:
    """Return an earlier owner's term as its successor knows it.

    A witness takes over only after all pauses to which it has agreed, and
    agrees to none for an owner that it has replaced.

    Parameters
    ----------
    successor : str
        Process name and incarnation of the owner that has taken over.
    """
    if successor not in term.witnesses:
        return term
    return replace(term, grace_ms=0)


def compute_pause_end(sent_at: int, pause_ms: int) -> int:
    """Return until when an owner may rely on a pause of another's claims.

    Parameters
    ----------
    sent_at : int
        Owner's clock, in ms, when the pause was requested. It begins later.
    pause_ms : int
        Duration of the pause, in ms of the other host's clock.
    """
    return sent_at + int(pause_ms * (1 - MAX_HOST_CLOCK_DRIFT))


def may_send_commands(
    lease: OwnerLease,
    now: int,
    ttl_ms: int = OWNER_TTL_MS,
    grace_ms: int = OUTAGE_GRACE_MS,
) -> bool:
    """Return whether an owner may send a command to a worker.

    During its lease it may. After the lease it may only if the store has
    been failing since before the lease ended, the owner itself was not
    paused, and neither the grace period for outages nor the agreed pause of
    others' claims has ended. Another process may still reach the store and
    take over, so a successor that has agreed to no pause waits for the end of
    the same grace period before it considers the leases on an unresponsive
    host expired.
    """
    if now < lease.renewed_at + ttl_ms:
        return True
    if now >= lease.checked_at + ttl_ms:
        return False
    if now >= lease.renewed_at + ttl_ms + grace_ms:
        return False
    if now >= lease.claims_paused_until:
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
