"""The main task of an entry host: runs the dispatcher or finds its owner."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.daemons.claim_pauses import ClaimPause
from sassafrasgate.daemons.claim_pauses import name_process
from sassafrasgate.daemons.dispatcher import DispatcherTask
from sassafrasgate.daemons.dispatcher import refuse_not_owner
from sassafrasgate.daemons.election import FIND_OWNER_TIMEOUT_S
from sassafrasgate.daemons.entry_messages import ENTRY_MESSAGES
from sassafrasgate.daemons.entry_messages import ENTRY_REQUESTS
from sassafrasgate.daemons.entry_messages import OwnerEnded
from sassafrasgate.daemons.entry_messages import RelayRequested
from sassafrasgate.daemons.entry_messages import ShardOffered
from sassafrasgate.daemons.failed_requests import FailedRequests
from sassafrasgate.daemons.messages import ClaimDue
from sassafrasgate.daemons.messages import OwnershipLost
from sassafrasgate.daemons.owner_probes import SHARD
from sassafrasgate.daemons.relays import execute_relayed_call
from sassafrasgate.dispatch.events import WitnessesChanged
from sassafrasgate.journal.loading import LoadedJournal
from sassafrasgate.journal.records import decode_records
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.logs import log_event
from sassafrasgate.observability.metrics import OWNED_SHARDS
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import Refused

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.daemons.dispatcher import DispatcherServices
    from sassafrasgate.daemons.election import OwnerElection
    from sassafrasgate.daemons.leases import Member
    from sassafrasgate.protocol.links import IncomingRequest
    from sassafrasgate.protocol.workflows import PauseClaims
    from sassafrasgate.protocol.workflows import RequestFailed

    SendReply = Callable[[Any], Awaitable[None]]

CLAIM_INTERVAL_S = 0.1
# The owner sends a heartbeat every 500 ms, and a successor takes over within
# 1.2 s of an owner's loss. A host that receives no heartbeat from an owner
# for longer is cut off itself.
OWNER_LOST_MS = 1_500
# The effect of a request that was sent to a lost owner is unknown. After this
# time without a heartbeat, requests are held back; they can still be refused.
OWNER_SUSPECT_MS = 700
# Hosts that have to agree before an owner acts after its lease. Another one
# takes over only if these are lost, and waits longer for workers that are.
MAX_WITNESSES = 5
# Callers of the lost owner wait while the other hosts are told why.
REPORT_TIMEOUT_S = 0.3


class EntryTask:
    """Owns an entry host's view of the cell and, as owner, its dispatcher.

    Parameters
    ----------
    member : Member
        Member entry of this process.
    services : DispatcherServices
        Passed on to the dispatcher.
    directory : Directory
        Updated by this task alone.
    election : OwnerElection
        Claims the shard and hands it over.
    inbox : MemoryObjectReceiveStream
        Delivers the messages of `ENTRY_MESSAGES`.
    advice_sender : MemoryObjectSendStream
        The advice task's inbox.
    send_to_self : callable
        Sends a message to this task's inbox.
    """

    def __init__(
        self,
        member: Member,
        services: DispatcherServices,
        directory: Directory,
        election: OwnerElection,
        inbox: MemoryObjectReceiveStream[Any],
        advice_sender: MemoryObjectSendStream[Any],
        send_to_self: Callable[[Any], Awaitable[None]],
    ) -> None:
        self.member = member
        self.services = services
        self.directory = directory
        self.election = election
        self.advice_sender = advice_sender
        self.send_to_self = send_to_self
        self.table = RoutingTable()
        self.dispatcher: DispatcherTask | None = None
        self.is_stopping = False
        self.has_table = anyio.Event()
        self._inbox = inbox
        self._is_querying_owner = False
        self.claim_pause = ClaimPause(election)
        self._peers: tuple[str, ...] = ()
        self._witnesses: tuple[str, ...] | None = None
        self._failures = FailureRecorder(services.logger, services.metrics)
        self._failed_requests = FailedRequests()

    @property
    def version(self) -> int:
        """Version of the routing table in force."""
        return self.table.version

    def check_readiness(self) -> Refusal | None:
        """Return a refusal if requests cannot be served now, else None."""
        if not self.version:
            return self.make_no_table_refusal()
        silent_ms = self.election.silent_ms
        if self.dispatcher is None and silent_ms > OWNER_LOST_MS:
            return Refusal(
                RefusalKind.NOT_READY,
                f'entry host {self.member.name!r} has received nothing from '
                f'the owner for {silent_ms} ms',
                'use another entry host, or send the request again after a '
                'second',
            )
        return None

    def make_no_table_refusal(self) -> Refusal:
        """Return the refusal for the time before the first routing table."""
        return Refusal(
            RefusalKind.NOT_READY,
            f'entry host {self.member.name!r} has no routing table yet',
            'use another entry host',
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                message = await self._receive()
                try:
                    await self.handle(message, group)
                except Exception as error:
                    self._failures.record(
                        'entry-message',
                        error,
                        (('message', type(message).__name__),),
                    )

    async def _receive(self) -> Any:
        with anyio.move_on_after(CLAIM_INTERVAL_S):
            return await self._inbox.receive()
        return ClaimDue()

    async def handle(self, message: Any, group: TaskGroup) -> None:
        """Handle one message, then claim the shard if that is due."""
        ENTRY_MESSAGES.find(type(message))(self, message, group)
        if self.election.probe.is_due():
            self.start_unit(group, self.probe_owner)
        await self._claim(group)

    def start_unit(
        self, group: TaskGroup, function: Callable[..., Any], *arguments: Any
    ) -> None:
        """Run a function in the background; its errors end only itself."""
        group.start_soon(self._run_unit, function, *arguments)

    async def _run_unit(
        self, function: Callable[..., Any], *arguments: Any
    ) -> None:
        try:
            await function(*arguments)
        except Exception as error:
            self._failures.record(function.__name__, error)

    def notify_dispatcher(self, event: Any) -> None:
        """Send an event to the dispatcher if this process runs one."""
        if self.dispatcher is not None:
            self.dispatcher.notify(event)

    def update_peers(self) -> None:
        """Tell the dispatcher which entry hosts are alive."""
        others = sorted(
            name for name in self.directory.members if name != self.member.name
        )
        peers = (self.member.name, *others)
        if self.dispatcher is None:
            return
        if peers != self._peers:
            self._peers = peers
            self.dispatcher.update_peers(peers)
        witnesses = tuple(
            map(name_process, self.election.list_successors(MAX_WITNESSES))
        )
        if witnesses != self._witnesses:
            self._witnesses = witnesses
            self.notify_dispatcher(WitnessesChanged(witnesses))

    def check_other_owner(self) -> None:
        """End the dispatcher if another process owns the shard."""
        other = self.election.find_other_owner()
        if other:
            self.notify_dispatcher(OwnershipLost(f'{other!r} owns the shard'))

    async def _claim(self, group: TaskGroup) -> None:
        """Claim the shard if it has no owner, and start the dispatcher.

        The dispatcher is also started if the owner key already names this
        process. Hosts with a better rank claim before this one.
        """
        if self.is_stopping or not self.version:
            return
        election = self.election
        if not election.has_fresh_lease():
            self._check_ownership(group)
            return
        owner = election.owner
        if self.dispatcher is None and self.claim_pause.is_active:
            return
        if self.dispatcher is not None:
            if owner is None:
                # The store has dropped the key although its lease is valid.
                await election.write_key()
            return
        if owner is not None and election.is_self(owner[0]):
            self._start_dispatcher(group, 0)
            return
        revision = election.find_claimable_revision()
        if revision is None:
            return
        self.claim_pause.begin_claim()
        try:
            if await election.write_key(revision):
                self._start_dispatcher(group, 0)
        finally:
            self.claim_pause.end_claim()

    def _check_ownership(self, group: TaskGroup) -> None:
        """Ask other hosts whether the shard has another owner.

        An owner that is cut off from the store continues during its outage
        grace, while its callers wait for records that it cannot write.
        """
        if self.dispatcher is None or self._is_querying_owner:
            return
        self._is_querying_owner = True
        self.start_unit(group, self._query_other_owner)

    async def _query_other_owner(self) -> None:
        try:
            await self.election.request_owner_from_peers()
            await anyio.sleep(FIND_OWNER_TIMEOUT_S)
        finally:
            self._is_querying_owner = False
        self.check_other_owner()

    def _start_dispatcher(
        self,
        group: TaskGroup,
        revision: int,
        handed_over_journal: LoadedJournal | None = None,
    ) -> None:
        lease = self.election.lease
        if lease is None:
            return
        self.claim_pause.record_takeover(revision)
        self.election.begin_takeover(revision)
        self._peers = ()
        self._witnesses = None
        dispatcher = DispatcherTask(
            SHARD,
            self.table,
            lease,
            self.services,
            handed_over_journal,
            self.report_failed_request,
        )
        self.dispatcher = dispatcher
        self.services.metrics.set_gauge(OWNED_SHARDS, 1)
        self.update_peers()
        group.start_soon(self._run_dispatcher, dispatcher)

    async def _run_dispatcher(self, dispatcher: DispatcherTask) -> None:
        reason = await dispatcher.run(self.election.delete_key)
        if reason:
            await self.election.delete_key()
        if self.dispatcher is dispatcher:
            self.dispatcher = None
            self.election.forget_own_entry()
        self.services.metrics.set_gauge(OWNED_SHARDS, 0)
        self.log('released', (('reason', reason),))

    async def take_over_shard(
        self, message: ShardOffered, group: TaskGroup
    ) -> None:
        """Take the shard over from an owner that is stopping."""
        offer = message.offer
        if (
            self.is_stopping
            or self.dispatcher is not None
            or self.claim_pause.is_active
            or not self.version
            or not self.election.has_fresh_lease()
        ):
            await message.reply(self._make_offer_refusal())
            return
        try:
            records = decode_records(offer.records)
        except MessageError as error:
            self.log('offer-refused', (('reason', str(error)),))
            await message.reply(self._make_offer_refusal())
            return
        handed_over_journal = LoadedJournal(
            records,
            offer.next_sequence,
            offer.slot_revision,
            offer.snapshot_sequence,
            offer.snapshot_chunks,
            offer.snapshot_revision,
        )
        self._start_dispatcher(
            group, offer.owner_revision, handed_over_journal
        )
        dispatcher = self.dispatcher
        if not await self.election.write_key(offer.owner_revision):
            await self.election.read_key()
        if dispatcher is None:
            await message.reply(self._make_offer_refusal())
            return
        await dispatcher.taken_over.wait()
        reply: Any = Acknowledged()
        if self.dispatcher is not dispatcher:
            reply = self._make_offer_refusal()
        await message.reply(reply)

    def _make_offer_refusal(self) -> Refusal:
        return Refusal(
            RefusalKind.NOT_READY,
            f'entry host {self.member.name!r} cannot take the shard over',
            'offer it to another entry host',
        )

    async def probe_owner(self) -> None:
        """Check whether the owner's process has ended."""
        evidence = await self.election.probe.run()
        if evidence is not None:
            await self.send_to_self(OwnerEnded(evidence))

    def pause_claims(self, message: PauseClaims) -> Acknowledged | Refusal:
        """Agree not to claim the shard for a time, or refuse."""
        if self.claim_pause.begin(message, self.dispatcher is not None):
            return Acknowledged()
        return Refusal(
            RefusalKind.NOT_READY,
            f'entry host {self.member.name!r} may claim the shard',
            'step down at the end of the lease',
        )

    async def relay_call(self, message: RelayRequested) -> None:
        """Make a store call for another host that cannot reach the store."""
        await message.reply(
            await execute_relayed_call(self.services.relay_store, message.call)
        )

    def record_failed_request(self, failed: RequestFailed) -> None:
        """Pass a request that has ended an ownership on no more."""
        self._failed_requests.record(failed)

    async def report_failed_request(self, failed: RequestFailed) -> None:
        """Tell all entry hosts of a request that has ended the ownership.

        One of them is the successor. It has not begun to serve, because the
        owner key is deleted later.
        """
        self.record_failed_request(failed)
        with anyio.move_on_after(REPORT_TIMEOUT_S):
            await self.directory.request_from_members(
                failed, REPORT_TIMEOUT_S, self.member.name
            )

    async def request_once(self, message: Any, timeout_s: float) -> Any:
        """Send a request to the owner, which may be this process, once."""
        refusal = self._failed_requests.find_refusal(message)
        if refusal is not None:
            return refusal
        dispatcher = self.dispatcher
        if dispatcher is not None:
            return await dispatcher.request(message, timeout_s)
        if self.election.silent_ms > OWNER_SUSPECT_MS:
            return Refusal(
                RefusalKind.NOT_READY,
                'no message from the owner has arrived recently',
                'send the request again after a second',
            )
        return await self.election.send_request(message, timeout_s)

    async def refresh_owner(self) -> None:
        """Ask other entry hosts for the owner if the store is out of reach.

        With a valid lease this process learns the owner from the store.
        """
        if self.dispatcher is None and not self.election.has_fresh_lease():
            await self.election.request_owner_from_peers()

    async def handle_request(self, request: IncomingRequest) -> None:
        """Handle one request of the inner protocol."""
        message = request.message

        async def send_reply(reply: Any) -> None:
            if isinstance(reply, Refusal):
                reply = Refused(
                    reply.kind,
                    reply.reason,
                    reply.remedy,
                    reply.retry_after_ms,
                )
            await self.services.reply(
                OutgoingReply(request.client, request.request_id, reply)
            )

        if type(message) in ENTRY_REQUESTS:
            await ENTRY_REQUESTS.find(type(message))(self, message, send_reply)
            return
        refusal = self._failed_requests.find_refusal(message)
        if refusal is not None:
            # A host that has not learned of the failure has passed it on.
            await send_reply(refusal)
            return
        if self.dispatcher is not None:
            await self.dispatcher.handle_request(request)
            return
        await send_reply(refuse_not_owner(SHARD))

    def log(self, kind: str, fields: tuple[tuple[str, object], ...]) -> None:
        """Log an event of this process."""
        log_event(self.services.logger, kind, fields)
