"""How long runs that other owners have started may be present on a worker.

A new owner can't reach every worker. On one that does not reply, runs of each
owner that may still act, and runs of each lease that was granted before, may
go on. The wait for them is computed here only. Times pass between owners as
durations, since the clocks of their hosts differ; a successor counts them
from its own takeover, which is later.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.leases import compute_takeover_expiry
from sassafrasgate.dispatch.leases import MAX_CLOCK_DRIFT

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.shards.ownership import OwnerTerm


@dataclass(frozen=True, slots=True)
class Release:
    """What the owner that handed the shard over knew of workers' leases.

    Parameters
    ----------
    epoch : int
        Epoch of that owner.
    owner : str
        Process name and incarnation of that owner.
    lapse_ms : int
        Time, in ms, until the leases that it has granted have expired.
    waits_ms : tuple of (str, int), or None
        Workers that have never replied to it, and the time in ms until the
        leases of owners before it have expired there. None if an earlier
        release of the program wrote the record, which names no workers.
    """

    epoch: int
    owner: str
    lapse_ms: int
    waits_ms: tuple[tuple[str, int], ...] | None


@dataclass(frozen=True, slots=True)
class LeaseBound:
    """Until when runs of other owners may be present on a worker.

    Parameters
    ----------
    expires_at : int
        Owner's clock, in ms, from which no such run is present.
    grantor : str
        Owner whose leases may last for longest.
    """

    expires_at: int
    grantor: str


def compute_lease_bound(
    now: int,
    terms: Iterable[OwnerTerm],
    release: Release | None,
    wait_ms: int | None,
) -> LeaseBound:
    """Return until when leases of other owners last on a worker.

    A worker that has replied to the owner which released the shard obeys no
    owner before that one.

    Parameters
    ----------
    now : int
        Owner's clock, in ms, at the takeover.
    terms : iterable of OwnerTerm
        Owners that may still act.
    release : Release or None
        What the latest owner stated when it handed the shard over; None if
        it did not.
    wait_ms : int or None
        The wait in ms that the release names for the worker, 0 if it names
        others only; None if it names no workers.
    """
    bounds = [bound_term(term, now) for term in terms]
    if release is None:
        # Without other owners only leases of this process itself are left.
        own = LeaseBound(compute_takeover_expiry(now, 0, 0), '')
        return max(bounds, key=_get_expiry, default=own)
    lapse = LeaseBound(now + release.lapse_ms, release.owner)
    if wait_ms is not None:
        earlier = max(bounds, key=_get_expiry, default=lapse)
        bounds = [LeaseBound(now + _stretch(wait_ms), earlier.grantor)]
    return max((*bounds, lapse), key=_get_expiry)


def bound_term(term: OwnerTerm, now: int) -> LeaseBound:
    """Return until when leases of an owner last that was replaced now."""
    expires_at = compute_takeover_expiry(now, term.ttl_ms, term.grace_ms)
    return LeaseBound(expires_at, term.owner)


def shorten_lease_bound(bound: LeaseBound, now: int) -> LeaseBound:
    """Return the bound once every other owner's process has ended.

    They grant no further leases, so only those granted until now remain.
    """
    expires_at = min(bound.expires_at, compute_takeover_expiry(now, 0, 0))
    return LeaseBound(expires_at, bound.grantor)


def list_remaining_waits(
    bounds: dict[str, LeaseBound], now: int
) -> tuple[tuple[str, int], ...]:
    """Return the workers that have not replied, and their waits in ms."""
    return tuple(
        (worker, max(0, bound.expires_at - now))
        for worker, bound in bounds.items()
    )


def _stretch(wait_ms: int) -> int:
    """Return a wait on a clock that may run faster than the one before."""
    return ceil(wait_ms * (1 + MAX_CLOCK_DRIFT))


def _get_expiry(bound: LeaseBound) -> int:
    return bound.expires_at
