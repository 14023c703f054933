"""The task of an entry host: owns or finds the dispatcher."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import encode

from sassafrasgate.core.errors import NoAnswer
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.daemons.advisers import AdviceWanted
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.directory import make_owner_key
from sassafrasgate.daemons.dispatcher import DispatcherTask
from sassafrasgate.daemons.dispatcher import refuse_not_owner
from sassafrasgate.daemons.leases import LeaseChanged
from sassafrasgate.daemons.leases import LeaseLost
from sassafrasgate.daemons.replies import ReplyTable
from sassafrasgate.daemons.replies import wait_for_answer
from sassafrasgate.daemons.scheduler import ClaimDue
from sassafrasgate.daemons.scheduler import StopProcess
from sassafrasgate.daemons.shards import LeaseUpdated
from sassafrasgate.daemons.shards import ShardAbandoned
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.journal.budget import CallPriority
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.logs import log_facts
from sassafrasgate.observability.metrics import CONFIGURATION_VERSION
from sassafrasgate.observability.metrics import OWNED_SHARDS
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import CancelWorkflow
from sassafrasgate.protocol.workflows import CountPending
from sassafrasgate.protocol.workflows import QueryWorkflow
from sassafrasgate.protocol.workflows import SeekAdvice
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.ownership import may_send

if TYPE_CHECKING:
    from collections.abc import Awaitable

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
# Refusals of a process that has done nothing with the request.
RETRIED_REFUSALS = frozenset(
    {RefusalKind.NOT_OWNER, RefusalKind.NOT_READY, RefusalKind.STOPPING}
)


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
    """

    def __init__(
        self,
        member: Member,
        services: DispatcherServices,
        directory: Directory,
        inbox: MemoryObjectReceiveStream[Any],
        advisers: MemoryObjectSendStream[Any],
    ) -> None:
        self._member = member
        self._services = services
        self._directory = directory
        self._inbox = inbox
        self._advisers = advisers
        self._table = RoutingTable()
        self._lease_id = ''
        self._lease: OwnerLease | None = None
        self._dispatcher: DispatcherTask | None = None
        self._orphaned_at = 0
        self._stopping = False
        self._peers: tuple[str, ...] = ()

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
        await self._claim(group)

    def _note_control(self, message: Any) -> None:
        self._directory.note(message)
        dispatcher = self._dispatcher
        if dispatcher is None:
            return
        owner = self._directory.owners.get(SHARD)
        if owner is not None and not self._is_me(owner[0]):
            dispatcher.events.send_nowait(
                ShardAbandoned(f'{owner[0].name!r} owns the shard')
            )
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

    async def _claim(self, group: TaskGroup) -> None:
        """Claim the shard when it has no owner, the best host first."""
        if self._stopping or not self._lease_id or not self._table.version:
            return
        owner = self._directory.owners.get(SHARD)
        if self._dispatcher is not None:
            if owner is None:
                # The store has dropped the key while its lease goes on.
                await self._write_owner_key()
            return
        if owner is not None and self._is_predecessor(owner[0]):
            # The platform starts a process only after its predecessor ended.
            if not await self._replace_owner_key(owner[1]):
                return
        elif owner is not None and not self._is_me(owner[0]):
            self._orphaned_at = 0
            return
        elif owner is None:
            self._orphaned_at = self._orphaned_at or now_ms()
            delay_ms = self._find_rank() * CLAIM_STEP_MS
            if now_ms() - self._orphaned_at < delay_ms:
                return
            if not await self._write_owner_key():
                return
        self._start_dispatcher(group)

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

    async def _write_owner_key(self) -> bool:
        return await self._note_owner_key(
            self._services.store.create(
                make_owner_key(SHARD),
                encode(self._member),
                self._lease_id,
                CallPriority.HIGH,
            )
        )

    async def _replace_owner_key(self, revision: int) -> bool:
        return await self._note_owner_key(
            self._services.store.swap(
                make_owner_key(SHARD),
                encode(self._member),
                revision,
                self._lease_id,
                CallPriority.HIGH,
            )
        )

    async def _note_owner_key(self, write: Awaitable[int]) -> bool:
        try:
            revision = await write
        except StoreError:
            # The watch shows the key if the write took effect after all.
            return False
        self._directory.owners[SHARD] = (self._member, revision)
        return True

    def _is_predecessor(self, member: Member) -> bool:
        return member.name == self._member.name and not self._is_me(member)

    def _start_dispatcher(self, group: TaskGroup) -> None:
        lease = self._lease
        if lease is None or not may_send(
            lease, now_ms(), lease.ttl_ms, lease.grace_ms
        ):
            return
        self._orphaned_at = 0
        self._peers = ()
        dispatcher = DispatcherTask(SHARD, self._table, lease, self._services)
        self._dispatcher = dispatcher
        self._services.metrics.set_gauge(OWNED_SHARDS, 1)
        self._tell_peers()
        group.start_soon(self._run_dispatcher, dispatcher)

    async def _run_dispatcher(self, dispatcher: DispatcherTask) -> None:
        reason = await dispatcher.run(self._delete_owner_key)
        if reason:
            await self._delete_owner_key()
        if self._dispatcher is dispatcher:
            self._dispatcher = None
        self._services.metrics.set_gauge(OWNED_SHARDS, 0)
        self._log('released', (('reason', reason),))

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
            await anyio.sleep(RETRY_S)

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
