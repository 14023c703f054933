"""The election of the entry host that owns the shard.

A host becomes the owner by a claim, when there is none, or by a planned
hand-over.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import encode

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.core.items import Item
from sassafrasgate.daemons.directory import make_owner_key
from sassafrasgate.daemons.owner_probes import OwnerProbe
from sassafrasgate.daemons.owner_probes import REACHABILITY_TIMEOUT_S
from sassafrasgate.daemons.owner_probes import SHARD
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_event
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.workflows import FindOwner
from sassafrasgate.protocol.workflows import OwnerFound

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from logbook import Logger

    from sassafrasgate.core.stores import KeyStore
    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.daemons.leases import LeaseChanged
    from sassafrasgate.daemons.leases import Member
    from sassafrasgate.protocol.workflows import HandOver
    from sassafrasgate.shards.ownership import OwnerLease

# Additional delay, for each place in the ranking, before a host claims a shard
# without an owner.
CLAIM_RANK_DELAY_MS = 120
FIND_OWNER_TIMEOUT_S = 0.2
# Long enough for a successor to write its takeover record to a slow store.
OFFER_TIMEOUT_S = 1.5
MAX_OFFERS = 2


class OwnerElection:
    """Claims the shard for an entry host, and finds or replaces its owner.

    Parameters
    ----------
    member : Member
        Member entry of this process.
    store : KeyStore
        Store client for the owner key.
    directory : Directory
        Updated by the entry task with control events.
    logger : Logger
        Logger for changes of the lease and of the owner.

    Attributes
    ----------
    probe : OwnerProbe
        Finds out whether the owner's process has ended.
    """

    def __init__(
        self,
        member: Member,
        store: KeyStore,
        directory: Directory,
        logger: Logger,
    ) -> None:
        self._member = member
        self._store = store
        self._directory = directory
        self._logger = logger
        self._lease_id = ''
        self._ownerless_since = 0
        self.probe = OwnerProbe(member, directory, logger)
        # Revision of the owner key that this process is replacing.
        self._replaced_revision = 0
        self.lease: OwnerLease | None = None

    @property
    def owner(self) -> tuple[Member, int] | None:
        """The last known owner and the revision of its key, or None."""
        return self._directory.owners.get(SHARD)

    @property
    def silent_ms(self) -> int:
        """Time in ms since the last message from the owner arrived.

        It is 0 while no other process is known to own the shard.
        """
        owner = self.owner
        if owner is None or self.is_self(owner[0]):
            return 0
        return self._directory.find_link(owner[0].link_address).silent_ms

    def is_self(self, member: Member) -> bool:
        """Return whether a member is this process."""
        return member.incarnation == self._member.incarnation

    def update_lease(self, message: LeaseChanged) -> None:
        """Store a new lease state; log when the store fails or recovers."""
        known = self.lease
        failing = bool(message.lease.store_failing_since)
        if known is None or bool(known.store_failing_since) != failing:
            self._log(
                'store-lost' if failing else 'store-reached',
                (('lease', message.lease_id),),
            )
        self._lease_id = message.lease_id
        self.lease = message.lease

    def handle_lease_loss(self) -> None:
        """Drop the lease after its expiry."""
        self._log('lease-lost', (('lease', self._lease_id),))
        self._lease_id = ''

    def has_fresh_lease(self) -> bool:
        """Return whether the lease is valid without the outage grace."""
        lease = self.lease
        if lease is None or not self._lease_id:
            return False
        return now_ms() < lease.renewed_at + lease.ttl_ms

    def find_claimable_revision(self) -> int | None:
        """Return the key revision that a claim is to replace.

        The host with the best rank claims first.

        Returns
        -------
        int or None
            None if no claim is due; 0 if there is no owner key to replace.
        """
        owner = self.owner
        if owner is not None and not self._is_ended(*owner):
            self._ownerless_since = 0
            return None
        self._ownerless_since = self._ownerless_since or now_ms()
        delay_ms = self._compute_rank() * CLAIM_RANK_DELAY_MS
        if now_ms() - self._ownerless_since < delay_ms:
            return None
        return owner[1] if owner else 0

    def _is_ended(self, member: Member, revision: int) -> bool:
        """Return whether an owner's process is known to have ended.

        An owner of this process's own name is a previous incarnation: the
        platform starts a process only after the previous one has ended.

        Parameters
        ----------
        member : Member
            The owner.
        revision : int
            Revision of the owner key.
        """
        if member.name == self._member.name:
            return True
        if self._is_replaced(member.name, member.incarnation, revision):
            return True
        return self.probe.has_ended(member, revision)

    def _is_replaced(self, name: str, incarnation: str, revision: int) -> bool:
        """Return whether a process has been started again.

        Parameters
        ----------
        name, incarnation : str
            The process.
        revision : int
            Revision of a key that was written after the process had written
            its member key. Members that are known as of an earlier revision
            may precede the process.
        """
        member = self._directory.members.get(name)
        return (
            member is not None
            and member.incarnation != incarnation
            and self._directory.revision >= revision
        )

    def _compute_rank(self) -> int:
        """Return this host's rank; 0 is the best rank."""
        ranked = self._rank_hosts()
        if self._member.name not in ranked:
            return len(ranked)
        return ranked.index(self._member.name)

    def _rank_hosts(self) -> list[str]:
        """Return the names of all hosts, those that claim first at the front.

        Hosts with more processor capacity rank before others.
        """
        members = self._directory.members
        return sorted(
            rank_names(SHARD, members),
            key=lambda name: -members[name].weight,
        )

    def list_successors(self, most: int) -> list[Member]:
        """Return the other hosts that claim the shard first."""
        members = self._directory.members
        others = [
            name for name in self._rank_hosts() if name != self._member.name
        ]
        return [members[name] for name in others[:most]]

    def has_ended(self, owner: str) -> bool:
        """Return whether a previous owner's process is known to have ended.

        The platform starts a process only after the previous one of the same
        name has ended. A refused connection is no evidence here: workers
        would get tasks whose leases a living owner still renews.

        Parameters
        ----------
        owner : str
            Process name and incarnation, separated by a slash. It has owned
            the shard before this process.
        """
        name, _, incarnation = owner.rpartition('/')
        if name == self._member.name:
            return incarnation != self._member.incarnation
        current = self.owner
        if current is None or not self.is_self(current[0]):
            return False
        return self._is_replaced(name, incarnation, current[1])

    def begin_takeover(self, revision: int) -> None:
        """Record the revision of the owner key that is to be replaced."""
        self._ownerless_since = 0
        self._replaced_revision = revision

    def find_other_owner(self) -> str:
        """Return the name of another process that owns the shard, or ''."""
        owner = self.owner
        if owner is None or self.is_self(owner[0]):
            return ''
        if owner[1] <= self._replaced_revision:
            # This process is still replacing this key by its own.
            return ''
        return owner[0].name

    async def write_key(self, revision: int = 0) -> bool:
        """Write this process into the owner key.

        Parameters
        ----------
        revision : int
            Revision of the key to replace; 0 to create the key.

        Returns
        -------
        bool
            Whether the write is known to have succeeded.
        """
        key, value = make_owner_key(SHARD), encode(self._member)
        if not revision:
            return await self._complete_key_write(
                self._store.create(
                    key, value, self._lease_id, CallPriority.HIGH
                )
            )
        return await self._complete_key_write(
            self._store.swap(
                key, value, revision, self._lease_id, CallPriority.HIGH
            )
        )

    async def _complete_key_write(self, write: Awaitable[int]) -> bool:
        try:
            revision = await write
        except StoreConflictError:
            await self.read_key()
            return False
        except StoreError as error:
            # If the write took effect, the watch delivers the key.
            self._log('claim-failed', (('reason', str(error)),))
            return False
        self._directory.owners[SHARD] = (self._member, revision)
        return True

    async def read_key(self) -> None:
        """Read the owner from the store; it may be this process."""
        try:
            item = await self._store.get(make_owner_key(SHARD))
        except StoreError as error:
            self._log('claim-failed', (('reason', str(error)),))
            return
        if item is not None:
            self._directory.apply_owner_item(item)

    async def delete_key(self) -> None:
        """Delete the owner key if it names this process.

        Another process can then claim the shard.
        """
        owner = self.owner
        if owner is None or not self.is_self(owner[0]):
            return
        try:
            await self._store.delete(
                make_owner_key(SHARD), owner[1], CallPriority.HIGH
            )
        except StoreError as error:
            # The store deletes the key when the lease expires.
            self._log('release-failed', (('reason', str(error)),))
            return
        if self.owner == owner:
            self.forget_own_entry()

    def forget_own_entry(self) -> None:
        """Discard the entry that names this process as the owner.

        The next takeover then needs a new claim. The entry may be outdated
        after a network partition, while another process owns the shard.
        """
        owner = self.owner
        if owner is not None and self.is_self(owner[0]):
            del self._directory.owners[SHARD]

    async def hand_over(self, message: HandOver) -> bool:
        """Offer the shard to other entry hosts until one has taken it over.

        Hosts with more processor capacity come first. Among equal hosts the
        one that started last comes first, because a rolling restart stops it
        last.

        Returns
        -------
        bool
            Whether a host has taken the shard over.
        """
        owner = self.owner
        if owner is None or not self.is_self(owner[0]):
            return False
        offer = replace(message, owner_revision=owner[1])
        members = sorted(
            self._list_others(),
            key=lambda member: (member.weight, member.started_ms),
            reverse=True,
        )
        offers = 0
        for member in members:
            if offers == MAX_OFFERS:
                break
            link = self._directory.find_link(member.link_address)
            probe_reply = await link.request(
                FindOwner(SHARD), REACHABILITY_TIMEOUT_S
            )
            if not isinstance(probe_reply, OwnerFound):
                # An offer to a host that is down would wait until the host
                # is back, and the shard would have no owner meanwhile.
                continue
            offers += 1
            reply = await link.request(offer, OFFER_TIMEOUT_S)
            self._log(
                'hand-over',
                (
                    ('to', member.name),
                    ('taken', isinstance(reply, Acknowledged)),
                    ('reason', getattr(reply, 'reason', '')),
                ),
            )
            if isinstance(reply, Acknowledged):
                return True
            if isinstance(reply, NoReply):
                # The host may have taken the shard over. The journal's epoch
                # decides who owns it.
                return False
        return False

    def _list_others(self) -> list[Member]:
        return [
            member
            for member in self._directory.members.values()
            if not self.is_self(member)
        ]

    async def request_owner_from_peers(self) -> None:
        """Ask the other entry hosts which host owns the shard.

        A host that is cut off from the store gets no updates of the owner
        key. Its last known owner may be cut off as well, and continue only
        during its outage grace.
        """
        async with anyio.create_task_group() as group:
            for member in self._list_others():
                group.start_soon(self._request_owner, member)

    async def _request_owner(self, member: Member) -> None:
        link = self._directory.find_link(member.link_address)
        reply = await link.request(FindOwner(SHARD), FIND_OWNER_TIMEOUT_S)
        if not isinstance(reply, OwnerFound) or not reply.member:
            return
        known = self.owner
        if known is not None and known[1] >= reply.revision:
            return
        item = Item(make_owner_key(SHARD), reply.member, reply.revision)
        self._directory.apply_owner_item(item)
        self._log(
            'owner-found',
            (('reported_by', member.name), ('revision', reply.revision)),
        )

    def describe_owner(self, question: FindOwner) -> OwnerFound:
        """Return the owner for a host that asks.

        The reply names no owner if this host's own lease is not valid, since
        its view may then be outdated.
        """
        connected = self.probe.is_connected(question.incarnation)
        owner = self.owner
        if owner is None or not self.has_fresh_lease():
            return OwnerFound(SHARD, b'', 0, connected)
        return OwnerFound(SHARD, encode(owner[0]), owner[1], connected)

    def _log(self, kind: str, fields: tuple[tuple[str, object], ...]) -> None:
        log_event(self._logger, kind, fields)

    async def send_request(self, message: Any, timeout_s: float) -> Any:
        """Send a message to the owner; see `Directory.send_request`."""
        return await self._directory.send_request(SHARD, message, timeout_s)
