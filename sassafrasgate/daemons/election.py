"""The election of the entry host that owns the shard.

A host becomes the owner by a claim, when there is none, or by a planned
hand-over.
"""

from __future__ import annotations

from dataclasses import replace
from random import sample
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import encode

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.core.items import Item
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.directory import decode_member
from sassafrasgate.daemons.directory import make_owner_key
from sassafrasgate.daemons.directory import MEMBER_PREFIX
from sassafrasgate.daemons.owner_ends import EndEvidence
from sassafrasgate.daemons.owner_ends import OwnerEndRecord
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
    from sassafrasgate.daemons.control import ControlChanged
    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.daemons.leases import LeaseChanged
    from sassafrasgate.daemons.leases import Member
    from sassafrasgate.protocol.workflows import HandOver
    from sassafrasgate.shards.ownership import OwnerLease

SHARD = 'cell'
# Additional delay, for each place in the ranking, before a host claims a shard
# without an owner.
CLAIM_RANK_DELAY_MS = 120
PROBE_TIMEOUT_S = 0.3
FIND_OWNER_TIMEOUT_S = 0.2
# Long enough for a successor to write its takeover record to a slow store.
OFFER_TIMEOUT_S = 1.5
MAX_OFFERS = 2
# Time limit for the reply of a host that may be down. A round trip between
# zones takes about 8 ms.
REACHABILITY_TIMEOUT_S = 0.15
# Hosts that are asked whether the owner is connected to them, and how long the
# others may take once one has replied.
MAX_WITNESSES = 5
WITNESS_GRACE_S = 0.04
# Two heartbeats; a connection that is silent for longer shows no living
# process.
MAX_HEARTBEAT_AGE_MS = 1_000


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
        self._owner_end = OwnerEndRecord()
        self._is_probing = False
        # Kind, revision of the owner key and result of the last probe that
        # was logged.
        self._logged_probe: tuple[str, int, bool] = ('', 0, False)
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

    def record_end(self, evidence: EndEvidence) -> None:
        """Record evidence that the owner's process has ended."""
        self._owner_end.record_end(evidence)

    def record_members(self, message: ControlListed | ControlChanged) -> None:
        """Record the processes that have written their member keys.

        A list of all keys may contain those of processes that have ended and
        whose leases have not expired.
        """
        if isinstance(message, ControlListed):
            return
        for item in message.items:
            member = decode_member(item)
            if item.key.startswith(MEMBER_PREFIX) and member is not None:
                self._owner_end.record_sign(member.incarnation)

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
        link = self._directory.find_link(member.link_address)
        if link.unconnected_ms == 0:
            return False
        return self._owner_end.has_ended(member, revision, link.received_at)

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
        """Return this host's rank; 0 is the best rank.

        Hosts with more processor capacity rank before others.
        """
        members = self._directory.members
        ranked = sorted(
            rank_names(SHARD, members),
            key=lambda name: -members[name].weight,
        )
        if self._member.name not in ranked:
            return len(ranked)
        return ranked.index(self._member.name)

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
        connected = self._is_connected(question.incarnation)
        owner = self.owner
        if owner is None or not self.has_fresh_lease():
            return OwnerFound(SHARD, b'', 0, connected)
        return OwnerFound(SHARD, encode(owner[0]), owner[1], connected)

    def _is_connected(self, incarnation: str) -> bool:
        """Return whether this host has a connection to a process."""
        if incarnation == self._member.incarnation:
            return True
        owner = self.owner
        if owner is None or owner[0].incarnation != incarnation:
            return False
        link = self._directory.find_link(owner[0].link_address)
        return (
            link.unconnected_ms == 0 and link.silent_ms < MAX_HEARTBEAT_AGE_MS
        )

    def is_probe_due(self) -> bool:
        """Return whether the owner has been out of reach and not probed."""
        owner = self.owner
        if self._is_probing or owner is None or self.is_self(owner[0]):
            return False
        link = self._directory.find_link(owner[0].link_address)
        return self._owner_end.is_probe_due(link.unconnected_ms)

    async def probe_owner(self) -> EndEvidence | None:
        """Check whether the owner's process has ended.

        A connection that gets no response shows nothing; the owner's lease
        has to expire first. A refused one counts if another host, which this
        one reaches and which knows the same owner, has no connection to the
        owner either.

        Returns
        -------
        EndEvidence or None
            None if nothing shows that the process has ended.
        """
        owner = self.owner
        if self._is_probing or owner is None or self.is_self(owner[0]):
            return None
        self._is_probing = True
        try:
            return await self._probe(*owner)
        finally:
            self._is_probing = False

    async def _probe(
        self, member: Member, revision: int
    ) -> EndEvidence | None:
        self._owner_end.begin_probe()
        evidence = EndEvidence(
            member.name, member.incarnation, revision, now_ms()
        )
        if not await _is_connection_refused(member.link_address):
            return None
        witnesses = [
            other for other in self._list_others() if other.name != member.name
        ]
        replies = await self._ask_witnesses(witnesses, member.incarnation)
        connected = [name for name, reply in replies if reply.connected]
        agreeing = [
            name for name, reply in replies if reply.revision == revision
        ]
        confirmed = not connected and (bool(agreeing) or not witnesses)
        evidence = replace(evidence, witnesses=tuple(agreeing))
        self._log_probe(evidence, confirmed, connected)
        return evidence if confirmed else None

    def _log_probe(
        self, evidence: EndEvidence, confirmed: bool, connected: list[str]
    ) -> None:
        """Log a refused probe unless it repeats the last result."""
        kind = 'owner-ended' if confirmed else 'owner-refuses'
        result = (kind, evidence.revision, bool(connected))
        if result == self._logged_probe:
            return
        self._logged_probe = result
        self._log(
            kind,
            (
                ('owner', evidence.owner),
                ('incarnation', evidence.incarnation),
                ('revision', evidence.revision),
                ('witnesses', ','.join(evidence.witnesses)),
                ('connected', ','.join(connected)),
            ),
        )

    async def _ask_witnesses(
        self, members: list[Member], incarnation: str
    ) -> list[tuple[str, OwnerFound]]:
        """Ask some hosts whether they have a connection to the owner.

        Returns
        -------
        list of (str, OwnerFound)
            Name and reply of each host that has replied in time. Hosts that
            are down are not waited for once another one has replied.
        """
        asked = sample(members, min(MAX_WITNESSES, len(members)))
        replies: list[tuple[str, OwnerFound]] = []

        async def ask(member: Member, first_reply: anyio.Event) -> None:
            link = self._directory.find_link(member.link_address)
            reply = await link.request(
                FindOwner(SHARD, incarnation), REACHABILITY_TIMEOUT_S
            )
            if isinstance(reply, OwnerFound):
                replies.append((member.name, reply))
                first_reply.set()

        async def end_after_first_reply(
            first_reply: anyio.Event, scope: anyio.CancelScope
        ) -> None:
            await first_reply.wait()
            await anyio.sleep(WITNESS_GRACE_S)
            scope.cancel()

        async with anyio.create_task_group() as group:
            first_reply = anyio.Event()
            group.start_soon(
                end_after_first_reply, first_reply, group.cancel_scope
            )
            async with anyio.create_task_group() as questions:
                for member in asked:
                    questions.start_soon(ask, member, first_reply)
            group.cancel_scope.cancel()
        return replies

    def _log(self, kind: str, fields: tuple[tuple[str, object], ...]) -> None:
        log_event(self._logger, kind, fields)

    async def send_request(self, message: Any, timeout_s: float) -> Any:
        """Send a message to the owner; see `Directory.send_request`."""
        return await self._directory.send_request(SHARD, message, timeout_s)


async def _is_connection_refused(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
            await stream.aclose()
    except (OSError, TimeoutError) as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    return False
