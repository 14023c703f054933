"""The task that holds this process's lease in the store."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from random import uniform
from sys import maxsize
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import encode

from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLeaseLostError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.inputs import Amount
from sassafrasgate.core.inputs import Natural
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.shards.ownership import OUTAGE_GRACE_MS
from sassafrasgate.shards.ownership import OWNER_TTL_MS
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.core.stores import KeyStore

RENEWALS_PER_TTL = 3
RETRY_DELAY_S = 0.25


@dataclass(frozen=True, slots=True)
class Member:
    """A live process; the value of its member key.

    Parameters
    ----------
    name : str
        Process name from the settings.
    incarnation : str
        Id of this run of the process; each start makes a new one.
    role : str
        'frontend', 'scheduler' or 'entry'.
    link_address : str
        Address on which the process serves the inner protocol.
    failure_domain : str
        Failure domain of the process's host.
    weight : float
        Processor capacity of the entry host. The owner is chosen among
        hosts with a higher value first.
    started_ms : int
        Start time of the process, in Unix ms.
    """

    name: str
    incarnation: str
    role: str
    link_address: str
    failure_domain: str
    weight: Amount = 0.0
    started_ms: Natural = 0


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The lease was granted or renewed, or a renewal got no reply."""

    lease_id: str
    lease: OwnerLease


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The store has reported that the lease has expired."""

    lease_id: str


def make_member_key(name: str) -> str:
    """Return the store key that holds a process's `Member`."""
    return f'control/members/{name}'


class LeaseTask:
    """Owns the lease and the member key.

    Parameters
    ----------
    store : KeyStore
        Store client that only this task uses, with a timeout well below the
        lease's length.
    member : Member
        Member entry of this process.
    listener : MemoryObjectSendStream
        Receives `LeaseChanged` and `LeaseLost`.
    ttl_ms : int
        Length of the lease, in ms.
    grace_ms : int
        Outage grace, in ms: how long the process may act on its lease after
        the lease's end while the store does not respond.
    claims_paused_until : int
        Initial value of this field of the lease: 0 if the process acts after
        its lease only with the agreement of other hosts.
    """

    def __init__(
        self,
        store: KeyStore,
        member: Member,
        listener: MemoryObjectSendStream[Any],
        ttl_ms: int = OWNER_TTL_MS,
        grace_ms: int = OUTAGE_GRACE_MS,
        claims_paused_until: int = maxsize,
    ) -> None:
        self._store = store
        self._member = member
        self._listener = listener
        self._ttl_ms = ttl_ms
        self._grace_ms = grace_ms
        self._claims_paused_until = claims_paused_until

    async def run(self) -> None:
        """Hold a lease until cancelled; obtain a new one after each loss."""
        while True:
            lease_id, sent_at = await self._grant()
            await self._write_member_key(lease_id)
            await self._renew_until_lost(lease_id, sent_at)
            await self._listener.send(LeaseLost(lease_id))

    async def _grant(self) -> tuple[str, int]:
        while True:
            sent_at = now_ms()
            try:
                return await self._store.grant_lease(
                    self._ttl_ms / 1000
                ), sent_at
            except StoreError:
                await anyio.sleep(uniform(RETRY_DELAY_S / 2, RETRY_DELAY_S))

    async def _write_member_key(self, lease_id: str) -> None:
        """Write the member key, replacing that of an earlier incarnation."""
        key = make_member_key(self._member.name)
        value = encode(self._member)
        while True:
            try:
                item = await self._store.get(key)
                if item is None:
                    await self._store.create(
                        key, value, lease_id, CallPriority.HIGH
                    )
                    return
                await self._store.swap(
                    key, value, item.revision, lease_id, CallPriority.HIGH
                )
                return
            except StoreConflictError:
                continue
            except StoreLeaseLostError:
                return
            except StoreUnavailableError:
                await anyio.sleep(uniform(RETRY_DELAY_S / 2, RETRY_DELAY_S))

    async def _renew_until_lost(self, lease_id: str, sent_at: int) -> None:
        """Renew the lease until the store reports that it has expired."""
        lease = self._make_lease(sent_at)
        await self._listener.send(LeaseChanged(lease_id, lease))
        interval_s = self._ttl_ms / 1000 / RENEWALS_PER_TTL
        while True:
            await anyio.sleep(
                RETRY_DELAY_S if lease.store_failing_since else interval_s
            )
            sent_at = now_ms()
            try:
                if not await self._store.renew_lease(lease_id):
                    return
                lease = self._make_lease(sent_at)
            except StoreError:
                lease = apply_failed_renewal(lease, sent_at, now_ms())
            await self._listener.send(LeaseChanged(lease_id, lease))

    def _make_lease(self, sent_at: int) -> OwnerLease:
        now = now_ms()
        return OwnerLease(
            sent_at,
            0,
            now,
            self._ttl_ms,
            self._grace_ms,
            self._claims_paused_until,
        )


def apply_failed_renewal(
    lease: OwnerLease, sent_at: int, now: int
) -> OwnerLease:
    """Return the lease after a renewal that got no reply.

    A process that was paused for longer than the lease's length cannot know
    what the store did in the meantime, so it loses the outage grace.

    Parameters
    ----------
    lease : OwnerLease
        The lease before the renewal.
    sent_at : int
        Steady clock in ms when the renewal was sent.
    now : int
        Steady clock in ms.
    """
    paused = sent_at >= lease.checked_at + lease.ttl_ms
    failing_since = lease.store_failing_since or sent_at
    if paused:
        # A store failure that begins after the lease's end gives no grace.
        failing_since = max(now, lease.renewed_at + lease.ttl_ms)
    return replace(lease, store_failing_since=failing_since, checked_at=now)
