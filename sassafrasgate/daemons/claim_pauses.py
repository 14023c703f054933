"""Pauses of claims, by which an owner may act on while the store is down.

After the end of its lease an owner acts only while each host that its journal
names as a witness has agreed not to claim the shard. A witness that takes over
therefore knows that the owner before it grants no further leases.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.workflows import PauseClaims
from sassafrasgate.shards.ownership import compute_pause_end

if TYPE_CHECKING:
    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.daemons.election import OwnerElection
    from sassafrasgate.daemons.leases import Member

# A pause outlasts several attempts to renew it.
CLAIM_PAUSE_MS = 1_000
REQUEST_TIMEOUT_S = 0.25


def name_process(member: Member) -> str:
    """Return how the journal names a process."""
    return f'{member.name}/{member.incarnation}'


class ClaimPause:
    """The pause of this process's claims.

    Parameters
    ----------
    election : OwnerElection
        Knows the owner and the state of the lease.
    """

    def __init__(self, election: OwnerElection) -> None:
        self._election = election
        self._ends_at = 0
        self._is_claiming = False
        # Owners as of this revision of the owner key, or of an earlier one,
        # have been replaced by this process.
        self._replaced_revision = 0

    @property
    def is_active(self) -> bool:
        """Whether this process may not take the shard over."""
        return now_ms() < self._ends_at

    def begin_claim(self) -> None:
        """Refuse pauses: a claim is sent, and may take effect later."""
        self._is_claiming = True

    def end_claim(self) -> None:
        """Accept pauses again, unless the claim has succeeded."""
        self._is_claiming = False

    def record_takeover(self, revision: int) -> None:
        """Refuse pauses for owners that this process replaces.

        Parameters
        ----------
        revision : int
            Revision of the replaced owner key; 0 if there was none.
        """
        owner = self._election.owner
        known = owner[1] if owner is not None else 0
        self._replaced_revision = max(self._replaced_revision, revision, known)

    def begin(self, message: PauseClaims, is_owner: bool) -> bool:
        """Pause the claims for an owner; return whether that is possible.

        A host that the store serves would rather take over, and one that
        knows another owner must not support this one.

        Parameters
        ----------
        is_owner : bool
            Whether this process runs a dispatcher itself.
        """
        owner = self._election.owner
        if is_owner or self._is_claiming or owner is None:
            return False
        if owner[0].incarnation != message.incarnation:
            return False
        if owner[1] <= self._replaced_revision or self._is_served():
            return False
        self._ends_at = max(self._ends_at, now_ms() + message.pause_ms)
        return True

    def _is_served(self) -> bool:
        """Return whether the store has renewed the lease just before."""
        lease = self._election.lease
        return lease is None or not lease.is_renewal_late(now_ms())


async def request_pauses(
    directory: Directory, own: Member, witnesses: frozenset[str]
) -> int:
    """Ask all witnesses to pause their claims.

    One is asked before the others, since it refuses if only this owner's own
    calls to the store are late.

    Returns
    -------
    int
        Steady clock in ms until which none of them claims the shard; 0 if
        one of them is out of reach, or refuses.
    """
    members = {
        name_process(member): member for member in directory.members.values()
    }
    if not witnesses <= members.keys():
        return 0
    message = PauseClaims(own.incarnation, CLAIM_PAUSE_MS)
    sent_at = now_ms()
    paused: set[str] = set()

    async def request_pause(witness: str) -> None:
        link = directory.find_link(members[witness].link_address)
        reply = await link.request(message, REQUEST_TIMEOUT_S)
        if isinstance(reply, Acknowledged):
            paused.add(witness)

    in_order = sorted(witnesses)
    for witness in in_order[:1]:
        await request_pause(witness)
    if paused:
        async with anyio.create_task_group() as group:
            for witness in in_order[1:]:
                group.start_soon(request_pause, witness)
    if paused != witnesses:
        return 0
    return compute_pause_end(sent_at, CLAIM_PAUSE_MS)
