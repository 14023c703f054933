"""The task that keeps this process's lease in the store."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from random import uniform
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import encode

from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLeaseLostError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.shards.ownership import OUTAGE_GRACE_MS
from sassafrasgate.shards.ownership import OWNER_TTL_MS
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.core.stores import KeyStore

RENEWALS_PER_TTL = 3
RETRY_S = 0.25


@dataclass(frozen=True, slots=True)
class Member:
    """A live process, as its member key describes it.

    Parameters
    ----------
    name : str
        Process name of the settings.
    incarnation : str
        New with each start of the process.
    role : str
        'frontend', 'scheduler' or 'entry'.
    link_address : str
        Where a scheduler serves the inner protocol.
    failure_domain : str
        Where its entry host stands.
    weight : float
        Processors of its entry host; owners are chosen where there is more.
    started_ms : int
        Unix ms of the process's start.
    """

    name: str
    incarnation: str
    role: str
    link_address: str
    failure_domain: str
    weight: float = 0.0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The process's lease was granted, renewed, or met a silent store."""

    lease_id: str
    lease: OwnerLease


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The store says that the lease has expired."""

    lease_id: str


def make_member_key(name: str) -> str:
    """Return the key under which a process announces itself."""
    return f'control/members/{name}'


class LeaseTask:
    """Owns the lease and the member key.

    Parameters
    ----------
    store : KeyStore
        A client of its own, with a timeout well below the lease.
    member : Member
        This process.
    listener : MemoryObjectSendStream
        Gets `LeaseChanged` and `LeaseLost`.
    ttl_ms, grace_ms : int
        Length of the lease and outage grace, in milliseconds.
    """

    def __init__(
        self,
        store: KeyStore,
        member: Member,
        listener: MemoryObjectSendStream[Any],
        ttl_ms: int = OWNER_TTL_MS,
        grace_ms: int = OUTAGE_GRACE_MS,
    ) -> None:
        self._store = store
        self._member = member
        self._listener = listener
        self._ttl_ms = ttl_ms
        self._grace_ms = grace_ms

    async def run(self) -> None:
        """Hold a lease until cancelled, a new one after each loss."""
        while True:
            lease_id, sent_at = await self._grant()
            await self._announce(lease_id)
            await self._keep(lease_id, sent_at)
            await self._listener.send(LeaseLost(lease_id))

    async def _grant(self) -> tuple[str, int]:
        while True:
            sent_at = now_ms()
            try:
                return await self._store.grant_lease(
                    self._ttl_ms / 1000
                ), sent_at
            except StoreError:
                await anyio.sleep(uniform(RETRY_S / 2, RETRY_S))

    async def _announce(self, lease_id: str) -> None:
        """Write the member key, over that of an earlier incarnation."""
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
                await anyio.sleep(uniform(RETRY_S / 2, RETRY_S))

    async def _keep(self, lease_id: str, sent_at: int) -> None:
        """Renew the lease until the store says that it is gone."""
        lease = self._make_lease(sent_at)
        await self._listener.send(LeaseChanged(lease_id, lease))
        interval_s = self._ttl_ms / 1000 / RENEWALS_PER_TTL
        while True:
            await anyio.sleep(
                RETRY_S if lease.store_failing_since else interval_s
            )
            sent_at = now_ms()
            try:
                if not await self._store.renew_lease(lease_id):
                    return
                lease = self._make_lease(sent_at)
            except StoreError:
                lease = note_failed_renewal(lease, sent_at, now_ms())
            await self._listener.send(LeaseChanged(lease_id, lease))

    def _make_lease(self, sent_at: int) -> OwnerLease:
        now = now_ms()
        return OwnerLease(sent_at, 0, now, self._ttl_ms, self._grace_ms)


def note_failed_renewal(
    lease: OwnerLease, sent_at: int, now: int
) -> OwnerLease:
    """Return the lease after a renewal without an answer.

    A process that was paused for longer than the lease does not know what
    the store did meanwhile, so the outage grace is no longer its own.
    """
    paused = sent_at >= lease.checked_at + lease.ttl_ms
    failing_since = lease.store_failing_since or sent_at
    if paused:
        # A failure that began after the lease's end gives no grace.
        failing_since = max(now, lease.renewed_at + lease.ttl_ms)
    return replace(lease, store_failing_since=failing_since, checked_at=now)
