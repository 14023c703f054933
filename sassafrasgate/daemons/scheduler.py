"""The main task of a scheduler: claims shards and routes requests to them."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio
from msgspec.json import encode

from sassafrasgate.configuration.versions import encode_configuration
from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.identifiers import rank_names
from sassafrasgate.daemons.configurations import ConfigurationStatus
from sassafrasgate.daemons.control import ControlChanged
from sassafrasgate.daemons.control import ControlListed
from sassafrasgate.daemons.directory import Directory
from sassafrasgate.daemons.directory import make_owner_key
from sassafrasgate.daemons.host_lists import LeavingHostsChanged
from sassafrasgate.daemons.leases import LeaseChanged
from sassafrasgate.daemons.leases import LeaseLost
from sassafrasgate.daemons.leases import Member
from sassafrasgate.daemons.messages import ClaimDue
from sassafrasgate.daemons.messages import LeaseUpdated
from sassafrasgate.daemons.messages import OwnershipLost
from sassafrasgate.daemons.messages import StopProcess
from sassafrasgate.daemons.shards import ShardServices
from sassafrasgate.daemons.shards import ShardTask
from sassafrasgate.journal.rate_limits import CallPriority
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.metrics import CONFIGURATION_VERSION
from sassafrasgate.observability.metrics import OWNED_SHARDS
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import ConfigurationReply
from sassafrasgate.protocol.messages import FetchConfiguration
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.messages import Status
from sassafrasgate.protocol.messages import StatusReply
from sassafrasgate.shards.events import ConfigurationChanged
from sassafrasgate.shards.events import HostListed
from sassafrasgate.shards.events import SummaryReceived

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectReceiveStream

    from sassafrasgate.protocol.links import IncomingRequest
    from sassafrasgate.protocol.messages import Summary
    from sassafrasgate.shards.ownership import OwnerLease

CLAIM_INTERVAL_S = 0.25
CLAIM_RANK_DELAY_MS = 500
REBALANCE_INTERVAL_MS = 3_000
REBALANCE_SETTLE_MS = 4_000


class SchedulerTask:
    """Owns the set of shards that this process serves.

    Parameters
    ----------
    member : Member
        Member entry of this process.
    services : ShardServices
        Passed on to the shard tasks.
    directory : Directory
        Updated by this task alone.
    inbox : MemoryObjectReceiveStream
        Delivers `ControlListed`, `ControlChanged`, `LeaseChanged`,
        `LeaseLost`, `ConfigurationStatus`, `LeavingHostsChanged` and
        `StopProcess`.
    drain_ms : int
        Time limit of a planned stop, in ms.
    """

    def __init__(
        self,
        member: Member,
        services: ShardServices,
        directory: Directory,
        inbox: MemoryObjectReceiveStream[Any],
        drain_ms: int,
    ) -> None:
        self._member = member
        self._services = services
        self._directory = directory
        self._inbox = inbox
        self._shards: dict[str, ShardTask] = {}
        self._releasing: set[str] = set()
        self._configuration = Configuration()
        self._is_current = False
        self._lease_id = ''
        self._lease: OwnerLease | None = None
        self._ownerless_since: dict[str, int] = {}
        self._members_changed_at = 0
        self._rebalanced_at = 0
        self._leaving: frozenset[str] = frozenset()
        self._stopping = False
        self._drain_ms = drain_ms
        self._stop_deadline_ms = 0
        self._summaries: dict[str, Summary] = {}

    def check_readiness(self) -> Refusal | None:
        """Return None if the process may serve requests, else a refusal."""
        if self._is_current and self._lease_id and not self._stopping:
            return None
        return Refusal(
            RefusalKind.NOT_READY,
            f'scheduler {self._member.name!r} has no lease, is stopping, or '
            'does not hold the newest configuration',
            'wait; if it lasts, check the store and the peers of its settings',
        )

    def check_operator_access(self) -> Refusal | None:
        """Return None if operators may be served, else a refusal."""
        return self.check_readiness()

    def get_configuration(self) -> Configuration:
        """Return the configuration in force in this process."""
        return self._configuration

    def update_summary(self, summary: Summary) -> None:
        """Store a shard's newest summary for the next heartbeats."""
        self._summaries[summary.shard] = summary

    def list_summaries(self) -> tuple[Summary, ...]:
        """Return the summaries of the shards that this process serves."""
        return tuple(
            summary
            for shard, summary in self._summaries.items()
            if shard in self._shards
        )

    def receive_summaries(self, summaries: tuple[Summary, ...]) -> None:
        """Pass the shard summaries of a peer's heartbeat to all shards."""
        for task in self._shards.values():
            for summary in summaries:
                if summary.shard != task.shard:
                    task.send_or_drop(SummaryReceived(summary))

    @property
    def version(self) -> int:
        """Configuration version in force."""
        return self._configuration.version

    async def run(self) -> None:
        """Serve until a planned stop has released every shard."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._claim_periodically)
            while not self._has_stopped():
                message = await self._receive()
                await self._handle(message, group)
            group.cancel_scope.cancel()

    def _has_stopped(self) -> bool:
        if not self._stopping:
            return False
        return not self._shards or now_ms() >= self._stop_deadline_ms

    async def _receive(self) -> Any:
        with anyio.move_on_after(CLAIM_INTERVAL_S):
            return await self._inbox.receive()
        return ClaimDue()

    async def _claim_periodically(self) -> None:
        """Check for shards to claim, even while messages arrive steadily."""
        while True:
            await anyio.sleep(CLAIM_INTERVAL_S)
            await self._claim_shards()

    async def _handle(self, message: Any, group: TaskGroup) -> None:
        if isinstance(message, ControlListed | ControlChanged):
            self._handle_control_event(message)
        if isinstance(message, LeaseChanged):
            self._update_lease(message)
        if isinstance(message, LeaseLost):
            self._handle_lease_loss()
        if isinstance(message, ConfigurationStatus):
            await self._update_configuration(message)
        if isinstance(message, LeavingHostsChanged):
            await self._update_leaving_hosts(message)
        if isinstance(message, StopProcess):
            self._stop()
        self._start_claimed(group)

    def _handle_control_event(self, message: Any) -> None:
        before = {member.name for member in self._directory.list_schedulers()}
        self._directory.apply_control_event(message)
        after = {member.name for member in self._directory.list_schedulers()}
        if before != after:
            self._members_changed_at = now_ms()
        for shard in list(self._shards):
            owner = self._directory.owners.get(shard)
            if shard in self._releasing:
                # The owner is expected to change. The task still finishes
                # open quick requests.
                continue
            if owner is not None and not self._is_self(owner[0]):
                self._end_ownership(shard, f'{owner[0].name!r} owns the shard')

    def _is_self(self, member: Member) -> bool:
        return member.incarnation == self._member.incarnation

    def _update_lease(self, message: LeaseChanged) -> None:
        self._lease_id = message.lease_id
        self._lease = message.lease
        for task in self._shards.values():
            task.events.send_nowait(LeaseUpdated(message.lease))

    def _handle_lease_loss(self) -> None:
        self._lease_id = ''
        for shard in list(self._shards):
            self._end_ownership(shard, 'the store lease has expired')

    def _end_ownership(self, shard: str, reason: str) -> None:
        self._shards[shard].events.send_nowait(OwnershipLost(reason))

    async def _update_configuration(self, status: ConfigurationStatus) -> None:
        self._is_current = status.is_current
        self._configuration = status.configuration
        self._services.metrics.set_gauge(CONFIGURATION_VERSION, self.version)
        for task in list(self._shards.values()):
            await task.events.send(ConfigurationChanged(self._configuration))

    async def _update_leaving_hosts(
        self, message: LeavingHostsChanged
    ) -> None:
        self._leaving = message.leaving
        for task in list(self._shards.values()):
            await task.events.send(HostListed(self._leaving))

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        self._stop_deadline_ms = now_ms() + self._drain_ms
        for shard in list(self._shards):
            self._release(shard)

    def _release(self, shard: str) -> None:
        if shard in self._releasing:
            return
        self._releasing.add(shard)
        self._shards[shard].request_stop()

    async def _claim_shards(self) -> None:
        """Claim shards without an owner.

        For each place of its rank a process waits `CLAIM_RANK_DELAY_MS`
        longer, so that the best ranked process claims first.
        """
        if self.check_readiness() is not None:
            return
        names = {shard.name for shard in self._configuration.shards}
        for shard in sorted(names):
            owner = self._directory.owners.get(shard)
            if owner is not None or shard in self._shards:
                self._ownerless_since.pop(shard, None)
                continue
            ownerless_since = self._ownerless_since.setdefault(shard, now_ms())
            delay_ms = self._compute_rank(shard) * CLAIM_RANK_DELAY_MS
            if now_ms() - ownerless_since >= delay_ms:
                await self._claim(shard)
        self._rebalance()

    def _compute_rank(self, shard: str) -> int:
        """Return this process's rank for a shard; 0 is the best rank."""
        ranked = self._rank_members(shard)
        if self._member.name not in ranked:
            return len(ranked)
        return ranked.index(self._member.name)

    def _rank_members(self, shard: str) -> list[str]:
        domain = next(
            entry.failure_domain
            for entry in self._configuration.shards
            if entry.name == shard
        )
        members = self._directory.list_schedulers()
        local = [m.name for m in members if m.failure_domain == domain]
        others = [m.name for m in members if m.failure_domain != domain]
        return rank_names(shard, local) + rank_names(shard, others)

    async def _claim(self, shard: str) -> None:
        key = make_owner_key(shard)
        try:
            revision = await self._services.store.create(
                key, encode(self._member), self._lease_id, CallPriority.HIGH
            )
        except StoreConflictError:
            return
        except StoreError:
            # If the write took effect, the watch delivers the key.
            return
        self._directory.owners[shard] = (self._member, revision)

    def _start_claimed(self, group: TaskGroup) -> None:
        """Start a task for each shard whose owner key names this process."""
        if self._lease is None or self._stopping:
            return
        for shard, (owner, _) in list(self._directory.owners.items()):
            if shard in self._shards or not self._is_self(owner):
                continue
            if not self._has_shard(shard):
                continue
            task = ShardTask(
                shard, self._configuration, self._lease, self._services
            )
            self._shards[shard] = task
            task.events.send_nowait(HostListed(self._leaving))
            group.start_soon(self._run_shard, shard, task)
        self._services.metrics.set_gauge(OWNED_SHARDS, len(self._shards))

    def _has_shard(self, shard: str) -> bool:
        return any(s.name == shard for s in self._configuration.shards)

    async def _run_shard(self, shard: str, task: ShardTask) -> None:
        async def release() -> None:
            await self._delete_owner_key(shard)

        reason = await task.run(release)
        if reason:
            self._services.logger.warning(
                'lost ownership of shard {!r}: {}', shard, reason
            )
            await self._delete_owner_key(shard)
        del self._shards[shard]
        self._releasing.discard(shard)

    async def _delete_owner_key(self, shard: str) -> None:
        """Delete a shard's owner key if it names this process.

        Another process can then claim the shard.
        """
        owner = self._directory.owners.get(shard)
        if owner is None or not self._is_self(owner[0]):
            return
        try:
            await self._services.store.delete(
                make_owner_key(shard), owner[1], CallPriority.HIGH
            )
        except StoreError:
            # The store deletes the key when the lease expires.
            return
        if self._directory.owners.get(shard) == owner:
            del self._directory.owners[shard]

    def _rebalance(self) -> None:
        """Release one shard for a better ranked process, if one is due.

        A shard is released only while this process has more than its even
        share, and not while the set of schedulers is changing.
        """
        now = now_ms()
        if now - self._members_changed_at < REBALANCE_SETTLE_MS:
            return
        if now - self._rebalanced_at < REBALANCE_INTERVAL_MS:
            return
        members = len(self._directory.list_schedulers())
        even_share = -(-len(self._configuration.shards) // max(1, members))
        for shard in sorted(self._shards):
            best = self._rank_members(shard)[:1]
            if best == [self._member.name] or len(self._shards) <= even_share:
                continue
            self._rebalanced_at = now
            self._release(shard)
            return

    async def handle_request(self, request: IncomingRequest) -> None:
        """Handle one request of the inner protocol."""
        message = request.message
        if isinstance(message, FetchConfiguration):
            await self._reply(
                request,
                ConfigurationReply(
                    self.version, encode_configuration(self._configuration)
                ),
            )
            return
        if isinstance(message, Status):
            await self._reply(request, self._describe_status())
            return
        shard = getattr(message, 'shard', '')
        task = self._shards.get(shard)
        if task is not None:
            await task.handle_request(request)
            return
        await self._reply(
            request,
            Refused(
                RefusalKind.NOT_OWNER,
                f'this process does not own shard {shard!r}',
                'send the request to the owner',
            ),
        )

    async def _reply(self, request: IncomingRequest, message: Any) -> None:
        await self._services.reply(
            OutgoingReply(request.client, request.request_id, message)
        )

    def _describe_status(self) -> StatusReply:
        shards = {
            name: task.state.epoch for name, task in self._shards.items()
        }
        jobs = sum(len(task.state.jobs) for task in self._shards.values())
        store_up = (
            self._lease is not None and not self._lease.store_failing_since
        )
        return StatusReply(
            self._member.name, self.version, shards, jobs, store_up
        )
