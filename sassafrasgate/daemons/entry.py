"""The task of an entry host: owns or finds the dispatcher."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import encode

from sassafrasgate.core.errors import NoAnswer
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.core.items import Item
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.daemons.advisers import AdviceWanted
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.directory import make_owner_key
from sassafrasgate.daemons.dispatcher import DispatcherTask
from sassafrasgate.daemons.dispatcher import refuse_not_owner
from sassafrasgate.daemons.leases import LeaseChanged
from sassafrasgate.daemons.leases import LeaseLost
from sassafrasgate.daemons.relays import make_relayed_call
from sassafrasgate.daemons.replies import ReplyTable
from sassafrasgate.daemons.replies import wait_for_answer
from sassafrasgate.daemons.scheduler import ClaimDue
from sassafrasgate.daemons.scheduler import StopProcess
from sassafrasgate.daemons.shards import LeaseUpdated
from sassafrasgate.daemons.shards import ShardAbandoned
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.journal.budget import CallPriority
from sassafrasgate.journal.chain import LoadedJournal
from sassafrasgate.journal.records import decode_records
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_facts
from sassafrasgate.observability.metrics import CONFIGURATION_VERSION
from sassafrasgate.observability.metrics import OWNED_SHARDS
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.relays import RelayAnswer
from sassafrasgate.protocol.relays import RelayCall
from sassafrasgate.protocol.workflows import CancelWorkflow
from sassafrasgate.protocol.workflows import CountPending
from sassafrasgate.protocol.workflows import FindOwner
from sassafrasgate.protocol.workflows import HandOver
from sassafrasgate.protocol.workflows import OwnerFound
from sassafrasgate.protocol.workflows import QueryWorkflow
from sassafrasgate.protocol.workflows import SeekAdvice
from sassafrasgate.protocol.workflows import SubmitWorkflow

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Workflow
    from sassafrasgate.daemons.directory import Directory
    from sassafrasgate.daemons.dispatcher import DispatcherServices
    from sassafrasgate.daemons.leases import Member
    from sassafrasgate.protocol.links import IncomingRequest
    from sassafrasgate.shards.ownership import OwnerLease

SHARD = 'cell'
CLAIM_INTERVAL_S = 0.1
# How much later each host of lower rank claims a shard without an owner.
CLAIM_STEP_MS = 120
# An owner that has not answered by then may be gone; its successor may be
# known meanwhile, and every request can be repeated.
TRY_S = 0.7
RETRY_S = 0.05
PROBE_S = 0.3
FIND_S = 0.2
# Time for a successor to write its takeover record in a slow store.
OFFER_S = 1.5
MOST_OFFERS = 2
# Time for the answer of a host that may have gone; crossing zones and back
# takes about 8 ms.
GREETING_S = 0.15
# Hosts that are asked to call the store, one after the other.
MOST_RELAYS = 2
# Refusals of a process that has done nothing with the request.
RETRIED_REFUSALS = frozenset(
    {RefusalKind.NOT_OWNER, RefusalKind.NOT_READY, RefusalKind.STOPPING}
)


@dataclass(frozen=True, slots=True)
class LinkClosed:
    """The other end of a link has closed its connection."""

    address: str


@dataclass(frozen=True, slots=True)
class ProcessEnded:
    """Nothing listens any more where a process served its links."""

    incarnation: str


@dataclass(frozen=True, slots=True)
class ShardOffered:
    """The owner hands the shard over to this process.

    Parameters
    ----------
    answer : callable
        Gets `Acknowledged` once this process has taken the shard over, else
        a `Refusal`.
    """

    offer: HandOver
    answer: Callable[[Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CallRelayed:
    """Another entry host can't reach the store."""

    call: RelayCall
    answer: Callable[[Any], Awaitable[None]]


class EntryTask:
    """Owns what an entry host knows of the others, and its dispatcher.

    Parameters
    ----------
    member : Member
        This process.
    services : DispatcherServices
        For the dispatcher.
    directory : Directory
        Fed by this task.
    inbox : MemoryObjectReceiveStream
        Control, lease and table messages, `StopProcess`.
    advisers : MemoryObjectSendStream
        The advice task's inbox.
    tell_self : callable
        Puts a message into this task's inbox.
    """

    def __init__(
        self,
        member: Member,
        services: DispatcherServices,
        directory: Directory,
        inbox: MemoryObjectReceiveStream[Any],
        advisers: MemoryObjectSendStream[Any],
        tell_self: Callable[[Any], Awaitable[None]],
    ) -> None:
        self._member = member
        self._services = services
        self._directory = directory
        self._inbox = inbox
        self._advisers = advisers
        self._tell_self = tell_self
        self._table = RoutingTable()
        self._lease_id = ''
        self._lease: OwnerLease | None = None
        self._dispatcher: DispatcherTask | None = None
        self._orphaned_at = 0
        self._ended = ''
        self._finding = False
        self._stopping = False
        self._peers: tuple[str, ...] = ()
        # The key of the owner that this process takes the shard over from.
        self._replaced_revision = 0

    @property
    def version(self) -> int:
        """Version of the routing table in force."""
        return self._table.version

    def is_ready(self) -> Refusal | None:
        """Return None when the process may serve, else the reason."""
        if self._stopping:
            return Refusal(
                RefusalKind.STOPPING,
                f'entry host {self._member.name!r} is stopping',
                'use another entry host',
            )
        if not self._table.version:
            return self._refuse_unready()
        return None

    def configuration(self) -> RoutingTable:
        """Return the routing table in force, whose version routes show."""
        return self._table

    def _refuse_unready(self) -> Refusal:
        return Refusal(
            RefusalKind.NOT_READY,
            f'entry host {self._member.name!r} has no routing table yet',
            'use another entry host',
        )

    def is_owner(self) -> bool:
        """Tell whether this process owns or takes over the shard."""
        return self._dispatcher is not None

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._handle(await self._receive(), group)

    async def _receive(self) -> Any:
        with anyio.move_on_after(CLAIM_INTERVAL_S):
            return await self._inbox.receive()
        return ClaimDue()

    async def _handle(self, message: Any, group: TaskGroup) -> None:
        if isinstance(message, ControlListed | ControlChanged):
            self._note_control(message)
        if isinstance(message, LeaseChanged):
            self._note_lease(message)
        if isinstance(message, LeaseLost):
            self._lose_lease()
        if isinstance(message, TableChanged):
            self._note_table(message)
        if isinstance(message, StopProcess):
            self._stop()
        if isinstance(message, LinkClosed):
            self._check_owner(message, group)
        if isinstance(message, ProcessEnded):
            self._ended = message.incarnation
        if isinstance(message, CallRelayed):
            group.start_soon(self._relay_call, message)
        if isinstance(message, ShardOffered):
            group.start_soon(self._take_shard, message, group)
        await self._claim(group)

    def _note_control(self, message: Any) -> None:
        self._directory.note(message)
        owner = self._directory.owners.get(SHARD)
        if owner is not None and not self._is_me(owner[0]):
            # The link shows when the owner's process ends.
            self._directory.find_link(owner[0].link_address)
        if self._dispatcher is None:
            return
        self._check_successor()
        self._tell_peers()

    def _tell_peers(self) -> None:
        others = sorted(
            name
            for name in self._directory.members
            if name != self._member.name
        )
        peers = (self._member.name, *others)
        if self._dispatcher is not None and peers != self._peers:
            self._peers = peers
            self._dispatcher.note_peers(peers)

    def _is_me(self, member: Member) -> bool:
        return member.incarnation == self._member.incarnation

    def _note_lease(self, message: LeaseChanged) -> None:
        known = self._lease
        failing = bool(message.lease.store_failing_since)
        if known is None or bool(known.store_failing_since) != failing:
            self._log(
                'store-lost' if failing else 'store-reached',
                (('lease', message.lease_id),),
            )
        self._lease_id = message.lease_id
        self._lease = message.lease
        if self._dispatcher is not None:
            self._dispatcher.events.send_nowait(LeaseUpdated(message.lease))

    def _lose_lease(self) -> None:
        self._log('lease-lost', (('lease', self._lease_id),))
        self._lease_id = ''
        if self._dispatcher is not None:
            self._dispatcher.events.send_nowait(
                ShardAbandoned('the store lease has expired')
            )

    def _note_table(self, message: TableChanged) -> None:
        if message.table.version <= self._table.version:
            return
        self._table = message.table
        self._services.metrics.set_gauge(CONFIGURATION_VERSION, self.version)
        self._log(
            'table',
            (
                ('version', self.version),
                ('queues', len(self._table.queues)),
                ('pools', len(self._table.pools)),
            ),
        )
        if self._dispatcher is not None:
            self._dispatcher.events.send_nowait(message)

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        self._log('stop', (('owner', self.is_owner()),))
        if self._dispatcher is not None:
            self._dispatcher.request_stop()

    def _check_owner(self, message: LinkClosed, group: TaskGroup) -> None:
        """Find out whether the owner's process has ended."""
        owner = self._directory.owners.get(SHARD)
        if owner is None or owner[0].link_address != message.address:
            return
        group.start_soon(self._probe_process, owner[0])

    async def _probe_process(self, member: Member) -> None:
        host, _, port = member.link_address.rpartition(':')
        try:
            with anyio.fail_after(PROBE_S):
                stream = await anyio.connect_tcp(host, int(port))
                await stream.aclose()
        except (OSError, TimeoutError) as error:
            # Silence proves nothing; the owner's lease will lapse.
            if not isinstance(error.__cause__, ConnectionRefusedError):
                return
            self._log('owner-ended', (('owner', member.name),))
            await self._tell_self(ProcessEnded(member.incarnation))

    async def _claim(self, group: TaskGroup) -> None:
        """Claim the shard when it has no owner, the best host first."""
        if self._stopping or not self._table.version:
            return
        if not self._has_fresh_lease():
            self._check_ownership(group)
            return
        owner = self._directory.owners.get(SHARD)
        if self._dispatcher is not None:
            if owner is None:
                # The store has dropped the key while its lease goes on.
                await self._write_owner_key()
            return
        if owner is not None and self._is_me(owner[0]):
            self._start_dispatcher(group)
            return
        if owner is not None and not self._has_ended(owner[0]):
            self._orphaned_at = 0
            return
        self._orphaned_at = self._orphaned_at or now_ms()
        delay_ms = self._find_rank() * CLAIM_STEP_MS
        if now_ms() - self._orphaned_at < delay_ms:
            return
        if await self._write_owner_key(owner[1] if owner else 0):
            self._start_dispatcher(group)

    def _has_ended(self, member: Member) -> bool:
        """Tell whether an owner's process is known to have ended.

        The platform starts a process only after its predecessor ended.
        """
        return (
            member.incarnation == self._ended
            or member.name == self._member.name
        )

    def _check_ownership(self, group: TaskGroup) -> None:
        """Learn from other hosts whether the shard has another owner.

        An owner that is cut off from the store goes on for its grace, and
        its callers wait for records that it can't write.
        """
        if self._dispatcher is None or self._finding:
            return
        self._finding = True
        group.start_soon(self._find_successor)

    async def _find_successor(self) -> None:
        await self._ask_others_for_owner()
        await anyio.sleep(FIND_S)
        self._finding = False
        self._check_successor()

    def _check_successor(self) -> None:
        owner = self._directory.owners.get(SHARD)
        if self._dispatcher is None or owner is None:
            return
        if owner[1] <= self._replaced_revision:
            # The own key is still being written in place of this one.
            return
        if not self._is_me(owner[0]):
            self._dispatcher.events.send_nowait(
                ShardAbandoned(f'{owner[0].name!r} owns the shard')
            )

    def _has_fresh_lease(self) -> bool:
        """Tell whether the store has renewed the lease, without any grace."""
        lease = self._lease
        if lease is None or not self._lease_id:
            return False
        return now_ms() < lease.renewed_at + lease.ttl_ms

    def _find_rank(self) -> int:
        """Return this host's place; hosts with more processor come first."""
        members = self._directory.members
        ranked = sorted(
            rank_names(SHARD, members),
            key=lambda name: -members[name].weight,
        )
        if self._member.name not in ranked:
            return len(ranked)
        return ranked.index(self._member.name)

    async def _write_owner_key(self, revision: int = 0) -> bool:
        """Name this process the owner, in place of one that has ended."""
        key, value = make_owner_key(SHARD), encode(self._member)
        store, lease = self._services.store, self._lease_id
        if not revision:
            return await self._note_owner_key(
                store.create(key, value, lease, CallPriority.HIGH)
            )
        return await self._note_owner_key(
            store.swap(key, value, revision, lease, CallPriority.HIGH)
        )

    async def _note_owner_key(self, write: Awaitable[int]) -> bool:
        try:
            revision = await write
        except StoreConflictError:
            await self._read_owner_key()
            return False
        except StoreError:
            # The watch shows the key if the write took effect after all.
            return False
        self._directory.owners[SHARD] = (self._member, revision)
        return True

    async def _read_owner_key(self) -> None:
        """Learn who holds the key, which may be this process itself."""
        try:
            item = await self._services.store.get(make_owner_key(SHARD))
        except StoreError:
            return
        if item is not None:
            self._directory.note(ControlChanged((item,)))

    def has_ended(self, owner: str) -> bool:
        """Tell whether a process is known to have ended.

        The platform starts a process only after its predecessor of the same
        name has ended.

        Parameters
        ----------
        owner : str
            Its name and incarnation, separated by a slash.
        """
        name, _, incarnation = owner.rpartition('/')
        if name == self._member.name:
            return incarnation != self._member.incarnation
        member = self._directory.members.get(name)
        return member is not None and member.incarnation != incarnation

    def _start_dispatcher(
        self, group: TaskGroup, inherited: LoadedJournal | None = None
    ) -> None:
        lease = self._lease
        if lease is None:
            return
        self._orphaned_at = 0
        self._peers = ()
        dispatcher = DispatcherTask(
            SHARD, self._table, lease, self._services, inherited
        )
        self._dispatcher = dispatcher
        self._services.metrics.set_gauge(OWNED_SHARDS, 1)
        self._tell_peers()
        group.start_soon(self._run_dispatcher, dispatcher)

    async def _take_shard(
        self, message: ShardOffered, group: TaskGroup
    ) -> None:
        """Take the shard over from an owner that stops."""
        offer = message.offer
        if (
            self._stopping
            or self._dispatcher is not None
            or not self._table.version
            or not self._has_fresh_lease()
        ):
            await message.answer(self._refuse_unready())
            return
        inherited = LoadedJournal(
            decode_records(offer.records),
            offer.next_sequence,
            offer.slot_revision,
            offer.snapshot_sequence,
            offer.snapshot_chunks,
            offer.snapshot_revision,
        )
        self._replaced_revision = offer.owner_revision
        self._start_dispatcher(group, inherited)
        dispatcher = self._dispatcher
        if not await self._write_owner_key(offer.owner_revision):
            await self._read_owner_key()
        if dispatcher is None:
            await message.answer(self._refuse_unready())
            return
        await dispatcher.taken_over.wait()
        answer: Any = Acknowledged()
        if self._dispatcher is not dispatcher:
            answer = self._refuse_unready()
        await message.answer(answer)

    async def hand_over(self, message: HandOver) -> bool:
        """Offer the shard to the other entry hosts, the best one first.

        Where hosts have the same processors, the one that has started last
        is best: in restarts one after the other it is the last to stop.
        """
        owner = self._directory.owners.get(SHARD)
        if owner is None or not self._is_me(owner[0]):
            return False
        offer = replace(message, owner_revision=owner[1])
        members = [
            member
            for member in self._directory.members.values()
            if not self._is_me(member)
        ]
        members.sort(key=lambda m: (m.weight, m.started_ms), reverse=True)
        offers = 0
        for member in members:
            if offers == MOST_OFFERS:
                break
            link = self._directory.find_link(member.link_address)
            greeting = await link.ask(FindOwner(SHARD), GREETING_S)
            if not isinstance(greeting, OwnerFound):
                # An offer to a host that has just gone would wait until the
                # host is back, and nobody serves meanwhile.
                continue
            offers += 1
            answer = await link.ask(offer, OFFER_S)
            self._log(
                'hand-over',
                (
                    ('to', member.name),
                    ('taken', isinstance(answer, Acknowledged)),
                    ('reason', getattr(answer, 'reason', '')),
                ),
            )
            if isinstance(answer, Acknowledged):
                return True
            if isinstance(answer, NoAnswer):
                # It may have taken the shard; the journal decides.
                return False
        return False

    async def _run_dispatcher(self, dispatcher: DispatcherTask) -> None:
        reason = await dispatcher.run(self._delete_owner_key)
        if reason:
            await self._delete_owner_key()
        if self._dispatcher is dispatcher:
            self._dispatcher = None
            self._forget_ownership()
        self._services.metrics.set_gauge(OWNED_SHARDS, 0)
        self._log('released', (('reason', reason),))

    def _forget_ownership(self) -> None:
        """Claim anew before the next takeover.

        The own view of the owner may be from before a cut, while another
        process serves the shard.
        """
        owner = self._directory.owners.get(SHARD)
        if owner is not None and self._is_me(owner[0]):
            del self._directory.owners[SHARD]

    async def _delete_owner_key(self) -> None:
        """Let another process claim the shard; only if the key is ours."""
        owner = self._directory.owners.get(SHARD)
        if owner is None or not self._is_me(owner[0]):
            return
        try:
            await self._services.store.delete(
                make_owner_key(SHARD), owner[1], CallPriority.HIGH
            )
        except StoreError:
            # The key goes with the lease.
            return
        if self._directory.owners.get(SHARD) == owner:
            del self._directory.owners[SHARD]

    def _log(self, kind: str, facts: tuple[tuple[str, object], ...]) -> None:
        log_facts(self._services.logger, kind, facts)

    def find_queue(self, host: str, path: str) -> Queue | Refusal:
        """Return the queue of a request by its host and path."""
        if not self._table.version:
            return self._refuse_unready()
        queue = self._table.find_queue(host, path)
        if queue is None:
            return Refusal(
                RefusalKind.NOT_FOUND,
                f'no queue serves {path!r} of host {host!r} in version '
                f'{self.version!r} of the routing table',
                'use the host and prefix of a queue',
            )
        return queue

    async def submit(
        self, queue: Queue, job_id: str, workflow: Workflow, timeout_s: float
    ) -> Any:
        """Have the owner accept a workflow."""
        return await self._ask_owner(
            SubmitWorkflow(job_id, queue.name, self.version, workflow),
            timeout_s,
        )

    async def query(self, job_id: str, timeout_s: float) -> Any:
        """Return a workflow's state as its owner knows it."""
        return await self._ask_owner(QueryWorkflow(job_id), timeout_s)

    async def cancel(self, job_id: str, timeout_s: float) -> Any:
        """Have the owner end a workflow."""
        return await self._ask_owner(CancelWorkflow(job_id), timeout_s)

    async def count(self, queue: Queue, timeout_s: float) -> Any:
        """Return how many workflows of a queue have not begun."""
        return await self._ask_owner(CountPending(queue.name), timeout_s)

    async def _ask_owner(self, message: Any, timeout_s: float) -> Any:
        """Ask until an answer or the deadline; requests can be repeated.

        Returns
        -------
        object
            The answer; a `Refusal` when the request certainly has no
            effect; `NoAnswer` when that is not known.
        """
        deadline = now_ms() + int(timeout_s * 1000)
        unknown: NoAnswer | None = None
        while True:
            left_s = (deadline - now_ms()) / 1000
            answer = await self._ask_once(message, min(left_s, TRY_S))
            if isinstance(answer, Refused):
                answer = Refusal(answer.refusal, answer.reason, answer.remedy)
            if isinstance(answer, NoAnswer):
                unknown = answer
            elif (
                not isinstance(answer, Refusal)
                or answer.kind not in RETRIED_REFUSALS
            ):
                return answer
            if now_ms() + RETRY_S * 1000 >= deadline:
                return unknown or answer
            await self._find_owner()
            await anyio.sleep(RETRY_S)

    async def _find_owner(self) -> None:
        """Learn from other entry hosts who the owner is.

        A host that is cut off from the store would otherwise go on asking
        the owner that it knew.
        """
        if self._dispatcher is not None or self._has_fresh_lease():
            return
        await self._ask_others_for_owner()

    async def _ask_others_for_owner(self) -> None:
        others = [
            member
            for member in self._directory.members.values()
            if not self._is_me(member)
        ]
        async with anyio.create_task_group() as group:
            for member in others:
                group.start_soon(self._ask_for_owner, member)

    async def _ask_for_owner(self, member: Member) -> None:
        link = self._directory.find_link(member.link_address)
        answer = await link.ask(FindOwner(SHARD), FIND_S)
        if not isinstance(answer, OwnerFound) or not answer.member:
            return
        known = self._directory.owners.get(SHARD)
        if known is not None and known[1] >= answer.revision:
            return
        key = make_owner_key(SHARD)
        item = Item(key, answer.member, answer.revision)
        self._directory.note(ControlChanged((item,)))
        self._log(
            'owner-found',
            (('told_by', member.name), ('revision', answer.revision)),
        )

    def _describe_owner(self) -> OwnerFound:
        """Tell another host who the owner is, if the store can be reached."""
        owner = self._directory.owners.get(SHARD)
        if owner is None or not self._has_fresh_lease():
            return OwnerFound(SHARD, b'', 0)
        return OwnerFound(SHARD, encode(owner[0]), owner[1])

    async def _relay_call(self, message: CallRelayed) -> None:
        await message.answer(
            await make_relayed_call(self._services.relay_store, message.call)
        )

    async def ask_relay(
        self, call: RelayCall, timeout_s: float
    ) -> RelayAnswer | None:
        """Have another entry host call the store.

        Returns
        -------
        RelayAnswer or None
            None when none of the hosts that were asked has reached it.
        """
        names = rank_names(self._member.name, self._directory.members)
        best: RelayAnswer | None = None
        for name in [n for n in names if n != self._member.name][:MOST_RELAYS]:
            member = self._directory.members.get(name)
            if member is None:
                # It has gone while another host was asked.
                continue
            link = self._directory.find_link(member.link_address)
            answer = await link.ask(call, timeout_s)
            if not isinstance(answer, RelayAnswer):
                continue
            if answer.failure != 'unavailable':
                return answer
            best = answer
        return best

    async def _ask_once(self, message: Any, timeout_s: float) -> Any:
        dispatcher = self._dispatcher
        if dispatcher is not None:
            return await dispatcher.ask(message, timeout_s)
        return await self._directory.ask_owner(SHARD, message, timeout_s)

    async def take_request(self, request: IncomingRequest) -> None:
        """Route one request of the inner protocol."""
        message = request.message

        async def reply(answer: Any) -> None:
            if isinstance(answer, Refusal):
                answer = Refused(answer.kind, answer.reason, answer.remedy)
            await self._services.reply(
                OutgoingReply(request.client, request.request, answer)
            )

        if isinstance(message, RelayCall):
            await self._tell_self(CallRelayed(message, reply))
            return
        if isinstance(message, HandOver):
            await self._tell_self(ShardOffered(message, reply))
            return
        if isinstance(message, FindOwner):
            await reply(self._describe_owner())
            return
        if isinstance(message, SeekAdvice):
            await self._advisers.send(AdviceWanted(message, reply))
            return
        if self._dispatcher is not None:
            await self._dispatcher.take_request(request)
            return
        await reply(refuse_not_owner(SHARD))

    async def ask_lane(self, name: str, question: SeekAdvice) -> Any:
        """Have an entry host, or this one, call the advice service."""
        timeout_s = question.timeout_ms / 1000
        if name != self._member.name:
            member = self._directory.members.get(name)
            if member is None:
                return NoAnswer(f'entry host {name!r} is gone')
            link = self._directory.find_link(member.link_address)
            return await link.ask(question, timeout_s)
        return await self._ask_own_adviser(question, timeout_s)

    async def _ask_own_adviser(
        self, question: SeekAdvice, timeout_s: float
    ) -> Any:
        answers = ReplyTable(self._services.reply)

        def add(caller: MemoryObjectSendStream[Any]) -> int:
            token = answers.add_caller(caller)

            async def answer(message: Any) -> None:
                await answers.send(token, message)

            self._advisers.send_nowait(AdviceWanted(question, answer))
            return token

        return await wait_for_answer(add, answers.forget, timeout_s)


def _may_repeat(answer: Any) -> bool:
    """Tell whether a process that answered so has done nothing."""
    return isinstance(answer, Refusal) and answer.kind in RETRIED_REFUSALS
