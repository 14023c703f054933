"""The task that owns one shard's state, journal and host tasks."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from time import perf_counter
from typing import Any
from typing import TYPE_CHECKING

import anyio
from logbook import Logger

from sassafrasgate.adapters.schemes import open_worker
from sassafrasgate.adapters.store import Store
from sassafrasgate.adapters.workers import WorkerClient
from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.jobs import JobState
from sassafrasgate.daemons.hosts import HostTask
from sassafrasgate.daemons.inboxes import InboxTable
from sassafrasgate.daemons.inboxes import make_task_inbox
from sassafrasgate.daemons.inboxes import OwnerInbox
from sassafrasgate.daemons.journals import JournalTask
from sassafrasgate.daemons.journals import run_journal
from sassafrasgate.daemons.journals import SnapshotEnded
from sassafrasgate.daemons.journals import WithdrawJob
from sassafrasgate.daemons.journals import WriteRecord
from sassafrasgate.daemons.journals import WriteSnapshot
from sassafrasgate.daemons.messages import LeaseUpdated
from sassafrasgate.daemons.messages import OwnerLeaseChanged
from sassafrasgate.daemons.messages import OwnershipLost
from sassafrasgate.daemons.messages import StopPolling
from sassafrasgate.daemons.replies import ReplyTable
from sassafrasgate.daemons.shard_actions import SHARD_ACTION_HANDLERS
from sassafrasgate.daemons.snapshots import SnapshotSchedule
from sassafrasgate.journal.takeovers import JournalOpener
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.clocks import wall_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.logs import Decision
from sassafrasgate.observability.logs import log_decision
from sassafrasgate.observability.metrics import APPEND_SECONDS
from sassafrasgate.observability.metrics import ATTEMPTS
from sassafrasgate.observability.metrics import DECISION_SECONDS
from sassafrasgate.observability.metrics import DECISIONS
from sassafrasgate.observability.metrics import JOBS
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.observability.metrics import QUEUE_LENGTH
from sassafrasgate.observability.metrics import STARTS
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import SendToShard
from sassafrasgate.shards.events import ConfigurationChanged
from sassafrasgate.shards.events import PeerAnswered
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import StartAnswered
from sassafrasgate.shards.events import StartUnanswered
from sassafrasgate.shards.events import StopRequested
from sassafrasgate.shards.events import Ticked
from sassafrasgate.shards.ownership import may_send_commands
from sassafrasgate.shards.ownership import OwnerLease
from sassafrasgate.shards.recovery import begin_ownership
from sassafrasgate.shards.recovery import list_snapshot_records
from sassafrasgate.shards.recovery import replay_records
from sassafrasgate.shards.state import ShardState
from sassafrasgate.shards.transfers import resume_transfers
from sassafrasgate.shards.transitions import decide

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from sassafrasgate.core.cells import Configuration
    from sassafrasgate.journal.ring_buffer import Journal
    from sassafrasgate.protocol.links import IncomingRequest

TICK_INTERVAL_S = 0.2
PEER_TIMEOUT_S = 2.0
JOB_COUNT_INTERVAL_MS = 5_000
# Kinds of decisions whose reason begins with the status of the attempt.
ATTEMPT_END_KINDS = frozenset({'end', 'retry'})


@dataclass(frozen=True, slots=True)
class ShardServices:
    """The functions and clients that a process provides to its shard tasks.

    Parameters
    ----------
    owner : str
        Process name and incarnation, separated by a slash.
    store : Store
        Store client for the journal and for outputs.
    reply : callable
        Queues an `OutgoingReply` on the link server.
    send_request : callable
        Sends a message to the owner of another shard; returns its reply, a
        `Refusal` or `NoReply`.
    publish : callable
        Publishes a shard's `Summary` to other processes.
    logger : Logger
        Logger for decisions.
    metrics : Metrics
        Metrics of the process.
    open_worker : callable
        Returns a client of a worker, from its URL.
    """

    owner: str
    store: Store
    reply: Callable[[OutgoingReply], Awaitable[None]]
    send_request: Callable[[str, Any, float], Awaitable[Any]]
    publish: Callable[[Any], None]
    logger: Logger
    metrics: Metrics
    open_worker: Callable[[str], WorkerClient] = open_worker


class ShardTask:
    """Owns one shard from takeover to release.

    Parameters
    ----------
    shard : str
        Name of the shard.
    configuration : Configuration
        Configuration that was in force when the shard was claimed.
    lease : OwnerLease
        The process's lease when the shard was claimed.
    services : ShardServices
        Functions and clients of the process.
    """

    def __init__(
        self,
        shard: str,
        configuration: Configuration,
        lease: OwnerLease,
        services: ShardServices,
    ) -> None:
        self.shard = shard
        self.services = services
        self.state = ShardState(shard, services.owner)
        self.events = self._inbox = OwnerInbox()
        self._configuration = configuration
        self._lease = lease
        self._replies = ReplyTable(services.reply)
        self._host_tasks = InboxTable()
        self._journal_sender, self._journal_inbox = make_task_inbox(inf)
        self._snapshots = SnapshotSchedule()
        self._unwritten_records = 0
        self._job_counts_updated_at = 0
        self._loss_reason = ''
        self._group: TaskGroup | None = None
        self._failures = FailureRecorder(services.logger, services.metrics)

    async def run(self, release: Callable[[], Awaitable[None]]) -> str:
        """Take the shard over and serve it until the ownership ends.

        Parameters
        ----------
        release : callable
            Awaited in a planned stop once every record is durable and
            nothing new is started. It releases the shard for a successor,
            while this task still replies to open quick requests.

        Returns
        -------
        str
            The reason why the ownership was lost; empty after a planned
            stop.
        """
        try:
            return await self._run(release)
        except Exception as error:
            # The state may be inconsistent. Nothing is decided from it any
            # more, and a successor builds its own from the journal.
            self._failures.record('ownership', error, (('shard', self.shard),))
            self._loss_reason = f'unexpected error: {error!r}'
        await self._reply_to_open_requests()
        return self._loss_reason

    async def _run(self, release: Callable[[], Awaitable[None]]) -> str:
        journal = await self._take_over()
        if journal is None:
            return self._loss_reason
        async with anyio.create_task_group() as group:
            self._group = group
            writer = JournalTask(
                journal,
                self._journal_inbox,
                self.events,
                self._observe_append,
            )
            group.start_soon(self._run_journal, writer)
            group.start_soon(self._tick)
            self._update_host_tasks()
            await self._serve()
            if not self._loss_reason:
                await self._hand_over(release)
            await self._reply_to_open_requests()
            group.cancel_scope.cancel()
        return self._loss_reason

    async def _take_over(self) -> Journal | None:
        """Read the journal and append the takeover record."""
        # Replaying the records needs the wall-clock time for the dates of
        # ends and for deadlines.
        self.state.wall_ms = wall_ms()
        await self._process_event(ConfigurationChanged(self._configuration))
        opener = JournalOpener(
            self.services.store,
            self.shard,
            self.services.owner,
            lambda: self._lease,
        )
        try:
            opened = await opener.open(await opener.load())
        except ShardLostError as error:
            self._loss_reason = str(error)
            return None
        records = opened.loaded.records
        replay_records(self.state, records)
        for entry in list(self.state.jobs.values()):
            self.state.update_job(entry.job_id, durable=True)
        self._snapshots = SnapshotSchedule(opened.journal.uncovered_entries)
        replay_records(self.state, (opened.takeover,))
        begin_ownership(self.state, now_ms())
        self._request_snapshot()
        resume_transfers(self.state)
        self.log(
            LogDecision(
                'takeover',
                '',
                reason=f'{len(self.state.jobs)} jobs, '
                f'{len(records)} records, '
                f'{opened.conflicts} conflicts',
            )
        )
        return opened.journal

    async def _run_journal(self, writer: JournalTask) -> None:
        reason = await run_journal(writer)
        if reason:
            await self.events.send(OwnershipLost(reason))

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(TICK_INTERVAL_S)
            await self.events.send(Ticked(wall_ms(), now_ms()))

    async def _serve(self) -> None:
        while not self._loss_reason and not self._is_drained():
            await self._process_event(await self._inbox.receive())

    async def _hand_over(self, release: Callable[[], Awaitable[None]]) -> None:
        """Release the shard, then finish the open quick requests.

        Quick requests are not in the journal, so a successor cannot finish
        them.
        """
        self._host_tasks.send_to_all(StopPolling())
        quick = {
            token
            for request in self.state.quick_requests.values()
            for token in request.reply_to
        }
        await self._replies.end_requests(
            self._make_stop_refusal(), frozenset(quick)
        )
        await release()
        while self._has_quick_callers() and not self._loss_reason:
            await self._process_event(await self._inbox.receive())

    async def _reply_to_open_requests(self) -> None:
        """Reply to all open requests, so that the callers can repeat them.

        Submissions and queries are idempotent by job id. The state of a
        quick request is reported as unknown, because it may still run on
        the host to which it was sent.
        """
        for quick in list(self.state.quick_requests.values()):
            view = JobView(
                quick.job_id,
                JobState.UNKNOWN,
                'the shard has moved to another process',
                quick.attempt,
                (quick.host,),
                self.shard,
                self.state.epoch,
            )
            for token in quick.reply_to:
                await self.send_reply(token, view)
        await self._replies.end_requests(self._make_stop_refusal())

    def _has_quick_callers(self) -> bool:
        return any(
            quick.reply_to for quick in self.state.quick_requests.values()
        )

    def _make_stop_refusal(self) -> Refused:
        return Refused(
            RefusalKind.STOPPING,
            f'shard {self.shard!r} moves to another process',
            'send the request again',
        )

    async def _process_event(self, event: Any) -> None:
        """Make the decisions on an event and carry out their actions."""
        event = await self._handle_internal_event(event)
        if event is None:
            return
        if isinstance(event, RequestReceived):
            self._replies.record_handled(event.reply_to)
        started = perf_counter()
        actions = decide(self.state, event, now_ms())
        self.services.metrics.observe(
            DECISION_SECONDS, perf_counter() - started, type(event).__name__
        )
        for action in actions:
            await SHARD_ACTION_HANDLERS.find(type(action))(self, action)
        if isinstance(event, ConfigurationChanged):
            self._update_host_tasks()
        self._update_metrics(event)

    async def _handle_internal_event(self, event: Any) -> Any:
        """Handle events that need no decision.

        Returns
        -------
        object
            The event if it also has to be passed to the decisions, else
            None.
        """
        if isinstance(event, RequestReceived) and not self._may_reply():
            await self.send_reply(event.reply_to, self._make_loss_refusal())
            return None
        if isinstance(event, RecordsDurable):
            self._record_durable(event)
        if isinstance(event, SnapshotEnded):
            self._record_snapshot()
            return None
        if isinstance(event, LeaseUpdated):
            self._lease = event.lease
            self._host_tasks.send_to_all(OwnerLeaseChanged(event.lease))
            return None
        if isinstance(event, OwnershipLost):
            self._loss_reason = event.reason
            return None
        return event

    def _may_reply(self) -> bool:
        """Return whether the lease or its outage grace still allows replies.

        A process that was paused for longer than its lease must not refuse a
        job that its successor has accepted.
        """
        lease = self._lease
        return may_send_commands(lease, now_ms(), lease.ttl_ms, lease.grace_ms)

    def _make_loss_refusal(self) -> Refused:
        return Refused(
            RefusalKind.NOT_OWNER,
            f'the lease of this owner of shard {self.shard!r} has expired',
            'send the request to the new owner',
        )

    def _record_durable(self, event: RecordsDurable) -> None:
        self._unwritten_records -= len(event.records)
        self._snapshots.count_entry()
        self._request_snapshot()

    def _request_snapshot(self) -> None:
        """Request a snapshot once enough entries are not covered by one."""
        if not self._snapshots.request_if_due():
            return
        self._journal_sender.send_nowait(
            WriteSnapshot(tuple(list_snapshot_records(self.state)))
        )

    def _record_snapshot(self) -> None:
        self._snapshots.mark_written()
        self._request_snapshot()

    def _is_drained(self) -> bool:
        return self.state.stopping and self._unwritten_records <= 0

    def _update_metrics(self, event: Any) -> None:
        metrics = self.services.metrics
        if isinstance(event, StartAnswered):
            metrics.count(STARTS, event.reply.status)
        if isinstance(event, StartUnanswered):
            metrics.count(STARTS, 'unanswered')
        if isinstance(event, Ticked):
            metrics.set_gauge(QUEUE_LENGTH, len(self.state.queue), self.shard)
            self._update_job_counts()

    def _update_job_counts(self) -> None:
        """Update the job counts by state.

        This is done seldom, since it visits every job.
        """
        if now_ms() < self._job_counts_updated_at + JOB_COUNT_INTERVAL_MS:
            return
        self._job_counts_updated_at = now_ms()
        counts = Counter(entry.state for entry in self.state.jobs.values())
        for state in JobState:
            self.services.metrics.set_gauge(
                JOBS, counts[state], self.shard, state
            )

    def _update_host_tasks(self) -> None:
        """Start tasks for new hosts and end those of removed hosts."""
        if self._group is None:
            return
        for name in self.state.hosts:
            if name not in self._host_tasks:
                self._start_host_task(name, self._group)
        for name in list(self._host_tasks):
            if name not in self.state.hosts:
                self._host_tasks.close(name)

    def _start_host_task(self, name: str, group: TaskGroup) -> None:
        task = HostTask(
            name,
            self.shard,
            self.state.epoch,
            self.services.open_worker(self.state.index.hosts[name].url),
            self.services.store,
            self._host_tasks.open(name),
            self.events,
            self._lease,
            self._failures,
        )
        group.start_soon(task.run)

    async def handle_request(self, request: IncomingRequest) -> None:
        """Queue a request that the link server has received."""
        token = self._replies.add_request(request)
        try:
            self.events.send_nowait(
                RequestReceived(token, request.message, wall_ms())
            )
        except anyio.WouldBlock:
            await self.send_reply(
                token,
                Refused(
                    RefusalKind.OVERLOADED,
                    f'shard {self.shard!r} has too many waiting requests',
                    'send the request again after a second',
                ),
            )

    def send_or_drop(self, event: Any) -> None:
        """Queue an event, or drop it if the inbox is full."""
        try:
            self.events.send_nowait(event)
        except anyio.WouldBlock:
            return

    async def send_reply(self, token: int, message: Any) -> None:
        """Reply to the request with this token; each token is used once."""
        await self._replies.send(token, message)

    def request_stop(self) -> None:
        """Request a planned release of the shard."""
        self.events.send_nowait(StopRequested())

    def append_record(self, record: Any) -> None:
        """Send a record to the journal task."""
        self._unwritten_records += 1
        self._journal_sender.send_nowait(WriteRecord(record))

    def withdraw_records(self, job_id: str) -> None:
        """Ask the journal task to drop a job's unwritten records."""
        self._journal_sender.send_nowait(WithdrawJob(job_id))

    def command_host(self, host: str, command: Any) -> bool:
        """Send a command to a host's task; return False if it has none."""
        return self._host_tasks.send(host, command)

    def send_to_shard(self, action: SendToShard) -> None:
        """Send a message to another shard's owner in the background."""
        if self._group is not None:
            self._group.start_soon(self._send_to_shard, action)

    async def _send_to_shard(self, action: SendToShard) -> None:
        reply = await self.services.send_request(
            action.shard, action.message, PEER_TIMEOUT_S
        )
        if isinstance(reply, NoReply | Refusal):
            reply = None
        await self.events.send(PeerAnswered(action.message, reply))

    def step_down(self, reason: str) -> None:
        """End the task without sending anything further."""
        self._loss_reason = reason

    def _observe_append(self, seconds: float) -> None:
        self.services.metrics.observe(APPEND_SECONDS, seconds)

    def log(self, action: LogDecision) -> None:
        """Log a decision and count it."""
        self.services.metrics.count(DECISIONS, action.kind)
        if action.kind in ATTEMPT_END_KINDS:
            status = action.reason.partition(':')[0].partition(' ')[0]
            self.services.metrics.count(ATTEMPTS, status)
        log_decision(
            self.services.logger,
            Decision(
                action.kind,
                action.job,
                action.attempt,
                action.host,
                action.reason,
                action.candidates,
                self.shard,
                self.state.epoch,
                self.state.configuration.version,
            ),
        )
