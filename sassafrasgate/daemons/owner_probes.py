"""Probes of the owner's process, with other entry hosts as witnesses."""

from __future__ import annotations

from dataclasses import replace
from random import sample
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.directory import decode_member
from sassafrasgate.daemons.directory import MEMBER_PREFIX
from sassafrasgate.daemons.owner_ends import EndEvidence
from sassafrasgate.daemons.owner_ends import OwnerEndRecord
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_event
from sassafrasgate.protocol.workflows import FindOwner
from sassafrasgate.protocol.workflows import OwnerFound

if TYPE_CHECKING:
    from logbook import Logger

    from sassafrasgate.daemons.control import ControlListed
    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.daemons.leases import Member

SHARD = 'cell'
PROBE_TIMEOUT_S = 0.3
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


class OwnerProbe:
    """Finds out whether the owner's process has ended.

    Parameters
    ----------
    member : Member
        Member entry of this process.
    directory : Directory
        Updated by the entry task with control events.
    logger : Logger
        Logger for the results of probes.
    """

    def __init__(
        self, member: Member, directory: Directory, logger: Logger
    ) -> None:
        self._member = member
        self._directory = directory
        self._logger = logger
        self._record = OwnerEndRecord()
        self._is_running = False
        # Kind, revision of the owner key and result of the last probe that
        # was logged.
        self._logged_result: tuple[str, int, bool] = ('', 0, False)

    def record_end(self, evidence: EndEvidence) -> None:
        """Record evidence that the owner's process has ended."""
        self._record.record_end(evidence)

    def record_members(self, message: ControlListed | ControlChanged) -> None:
        """Record the processes that have written their member keys.

        A list of all keys may contain those of processes that have ended and
        whose leases have not expired.
        """
        if not isinstance(message, ControlChanged):
            return
        for item in message.items:
            member = decode_member(item)
            if item.key.startswith(MEMBER_PREFIX) and member is not None:
                self._record.record_sign(member.incarnation)

    def has_ended(self, owner: Member, revision: int) -> bool:
        """Return whether there is evidence of the owner's end.

        Parameters
        ----------
        owner : Member
            The owner.
        revision : int
            Revision of the owner key.
        """
        link = self._directory.find_link(owner.link_address)
        if link.unconnected_ms == 0:
            return False
        return self._record.has_ended(owner, revision, link.received_at)

    def is_connected(self, incarnation: str) -> bool:
        """Return whether this host has a connection to the owner's process.

        Parameters
        ----------
        incarnation : str
            The process in question. The result is False if it is not the
            owner in this host's view, and True for this process itself.
        """
        if incarnation == self._member.incarnation:
            return True
        owner = self._find_owner()
        if owner is None or owner[0].incarnation != incarnation:
            return False
        link = self._directory.find_link(owner[0].link_address)
        return (
            link.unconnected_ms == 0 and link.silent_ms < MAX_HEARTBEAT_AGE_MS
        )

    def is_due(self) -> bool:
        """Return whether the owner is out of reach and to be probed."""
        owner = self._find_owner()
        if self._is_running or owner is None:
            return False
        link = self._directory.find_link(owner[0].link_address)
        return self._record.is_probe_due(link.unconnected_ms)

    async def run(self) -> EndEvidence | None:
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
        owner = self._find_owner()
        if self._is_running or owner is None:
            return None
        self._is_running = True
        try:
            return await self._probe(*owner)
        finally:
            self._is_running = False

    def _find_owner(self) -> tuple[Member, int] | None:
        """Return the owner, unless it is this process."""
        owner = self._directory.owners.get(SHARD)
        if owner is None or owner[0].incarnation == self._member.incarnation:
            return None
        return owner

    async def _probe(self, owner: Member, revision: int) -> EndEvidence | None:
        self._record.begin_probe()
        evidence = EndEvidence(
            owner.name, owner.incarnation, revision, now_ms()
        )
        if not await _is_connection_refused(owner.link_address):
            return None
        others = [
            member
            for name, member in self._directory.members.items()
            if name not in (owner.name, self._member.name)
        ]
        replies = await self._ask(others, owner.incarnation)
        connected = [name for name, reply in replies if reply.connected]
        witnesses = [
            name for name, reply in replies if reply.revision == revision
        ]
        confirmed = not connected and (bool(witnesses) or not others)
        evidence = replace(evidence, witnesses=tuple(witnesses))
        self._log_result(evidence, confirmed, connected)
        return evidence if confirmed else None

    async def _ask(
        self, members: list[Member], incarnation: str
    ) -> list[tuple[str, OwnerFound]]:
        """Ask some hosts whether they have a connection to the owner.

        Returns
        -------
        list of (str, OwnerFound)
            Name and reply of each host that has replied in time. Hosts that
            are down are not waited for once another one has replied.
        """
        replies: list[tuple[str, OwnerFound]] = []
        first_reply = anyio.Event()

        async def ask_one(member: Member) -> None:
            link = self._directory.find_link(member.link_address)
            reply = await link.request(
                FindOwner(SHARD, incarnation), REACHABILITY_TIMEOUT_S
            )
            if isinstance(reply, OwnerFound):
                replies.append((member.name, reply))
                first_reply.set()

        async def end_soon_after_first_reply(scope: anyio.CancelScope) -> None:
            await first_reply.wait()
            await anyio.sleep(WITNESS_GRACE_S)
            scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(end_soon_after_first_reply, group.cancel_scope)
            async with anyio.create_task_group() as questions:
                for member in sample(
                    members, min(MAX_WITNESSES, len(members))
                ):
                    questions.start_soon(ask_one, member)
            group.cancel_scope.cancel()
        return replies

    def _log_result(
        self, evidence: EndEvidence, confirmed: bool, connected: list[str]
    ) -> None:
        """Log a refused probe unless it repeats the last result."""
        kind = 'owner-ended' if confirmed else 'owner-refuses'
        result = (kind, evidence.revision, bool(connected))
        if result == self._logged_result:
            return
        self._logged_result = result
        log_event(
            self._logger,
            kind,
            (
                ('owner', evidence.owner),
                ('incarnation', evidence.incarnation),
                ('revision', evidence.revision),
                ('witnesses', ','.join(evidence.witnesses)),
                ('connected', ','.join(connected)),
            ),
        )


async def _is_connection_refused(address: str) -> bool:
    """Return whether a connection to an address is refused."""
    host, _, port = address.rpartition(':')
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, int(port))
            await stream.aclose()
    except (OSError, TimeoutError) as error:
        return isinstance(error.__cause__, ConnectionRefusedError)
    return False
