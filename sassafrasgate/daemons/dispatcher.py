"""The task that owns the dispatcher's state, journal and worker tasks."""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import replace
from math import inf
from time import perf_counter
from typing import Any
from typing import TYPE_CHECKING

import anyio
from anyio.lowlevel import checkpoint
from logbook import Logger

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import ShardLostError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.workflows import Advice
from sassafrasgate.daemons.dispatcher_actions import DISPATCHER_ACTION_HANDLERS
from sassafrasgate.daemons.failed_requests import describe_failed_request
from sassafrasgate.daemons.inboxes import InboxTable
from sassafrasgate.daemons.inboxes import make_task_inbox
from sassafrasgate.daemons.inboxes import OwnerInbox
from sassafrasgate.daemons.journals import JournalTask
from sassafrasgate.daemons.journals import run_journal
from sassafrasgate.daemons.journals import SnapshotEnded
from sassafrasgate.daemons.journals import WithdrawJob
from sassafrasgate.daemons.journals import WriteRecord
from sassafrasgate.daemons.journals import WriteSnapshot
from sassafrasgate.daemons.messages import ClaimsPaused
from sassafrasgate.daemons.messages import LeaseUpdated
from sassafrasgate.daemons.messages import OwnerLeaseChanged
from sassafrasgate.daemons.messages import OwnershipLost
from sassafrasgate.daemons.messages import StopPolling
from sassafrasgate.daemons.owner_loads import OwnerLoad
from sassafrasgate.daemons.replies import ReplyTable
from sassafrasgate.daemons.replies import wait_for_reply
from sassafrasgate.daemons.snapshots import SnapshotSchedule
from sassafrasgate.daemons.starters import TaskStarter
from sassafrasgate.daemons.takeovers import take_over_shard
from sassafrasgate.daemons.workers import WorkerTask
from sassafrasgate.dispatch.events import AdviceAnswered
from sassafrasgate.dispatch.events import AdviceFailed
from sassafrasgate.dispatch.events import JournalStalled
from sassafrasgate.dispatch.events import LeaseConfirmed
from sassafrasgate.dispatch.events import OwnersEnded
from sassafrasgate.dispatch.events import PassDue
from sassafrasgate.dispatch.events import PeersChanged
from sassafrasgate.dispatch.events import TableChanged
from sassafrasgate.dispatch.events import WitnessesChanged
from sassafrasgate.dispatch.hold_waits import NORMAL_HOLD_WAIT_MS
from sassafrasgate.dispatch.leases import compute_worker_lease_expiry
from sassafrasgate.dispatch.recovery import describe_release
from sassafrasgate.dispatch.recovery import list_prior_terms
from sassafrasgate.dispatch.recovery import list_snapshot_records
from sassafrasgate.dispatch.registrations import watch_recorded_workers
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.dispatch.transitions import decide
from sassafrasgate.journal.records import encode_records
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.clocks import wall_ms
from sassafrasgate.observability.failures import FailureRecorder
from sassafrasgate.observability.logs import log_event
from sassafrasgate.observability.metrics import APPEND_SECONDS
from sassafrasgate.observability.metrics import CAPPED_TENANTS
from sassafrasgate.observability.metrics import DECISIONS
from sassafrasgate.observability.metrics import Metrics
from sassafrasgate.observability.metrics import REFUSALS
from sassafrasgate.protocol.links import OutgoingReply
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.protocol.workflows import AdviceGiven
from sassafrasgate.protocol.workflows import HandOver
from sassafrasgate.protocol.workflows import RequestFailed
from sassafrasgate.protocol.workflows import SeekAdvice
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import StopRequested
from sassafrasgate.shards.events import Ticked
from sassafrasgate.shards.events import WithdrawalAnswered
from sassafrasgate.shards.ownership import may_send_commands
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.core.routing import RoutingTable
    from sassafrasgate.dispatch.actions import AskAdvice
    from sassafrasgate.dispatch.actions import ChangeHoldWait
    from sassafrasgate.dispatch.actions import LogEvent
    from sassafrasgate.dispatch.actions import WatchWorker
    from sassafrasgate.journal.loading import LoadedJournal
    from sassafrasgate.journal.ring_buffer import Journal
    from sassafrasgate.protocol.links import IncomingRequest

ReportFailedRequest = Callable[[RequestFailed], Awaitable[None]]
RequestPauses = Callable[[frozenset[str]], Awaitable[int]]

TICK_INTERVAL_S = 0.1
# Records are collected into shared entries, because each store call is
# charged for. The delay is short, because a quick job has only 0.6 s beyond
# its own work.
JOURNAL_BATCH_DELAY_S = 0.02
# Journal entries that are written concurrently. With several in flight, a
# record waits for at most one slow store call.
JOURNAL_MAX_IN_FLIGHT = 4
# A scheduling pass over many waiting steps takes milliseconds. The pause
# before the next one is this multiple of its duration, for events.
PASS_PAUSE_FACTOR = 2.0
# Events that are handled between two checks for a due scheduling pass.
MAX_BATCH_EVENTS = 64
ADVICE_MARGIN_MS = 400
# Writes that have been failing for this time are treated as a store outage.
OUTAGE_THRESHOLD_MS = 150
# A store call that takes longer than this is treated as failing, too.
SLOW_APPEND_THRESHOLD_MS = 1_500


@dataclass(frozen=True, slots=True)
class DispatcherServices:
    """The functions and clients that a process provides to its dispatcher.

    Parameters
    ----------
    owner : str
        Process name and incarnation, separated by a slash.
    name : str
        Process name; the dispatcher chooses the host of an advice call by
        this name.
    store : object
        Store client for the journal.
    relay_store : object
        Store client for calls that this host makes on behalf of others.
    reply : callable
        Queues an `OutgoingReply` on the link server.
    open_worker : callable
        Returns a client for the worker with a given id and address.
    request_advice : callable
        Sends a `SeekAdvice` to the entry host of a given name; returns its
        `AdviceGiven`, or another object if the call has failed.
    follow_workers : callable
        Watches the workers' registrations and sends changes to a listener.
    has_ended : callable
        Returns whether a process, given by name and incarnation, is known to
        have ended.
    hand_over : callable
        Offers a `HandOver` to possible successors; returns whether one of
        them has taken the shard over.
    logger : Logger
        Logger for decisions.
    metrics : Metrics
        Metrics of the process.
    manages_overload : bool
        As in `DispatchState`.
    request_pauses : callable or None
        Asks processes, given by name and incarnation, not to claim the shard;
        returns the steady clock in ms until which none of them does, 0 if one
        has not agreed. None if the owner needs no agreement.
    """

    owner: str
    name: str
    store: Any
    relay_store: Any
    reply: Callable[[OutgoingReply], Awaitable[None]]
    open_worker: Callable[[str, str], Any]
    request_advice: Callable[[str, SeekAdvice], Awaitable[Any]]
    follow_workers: Callable[[Any], Coroutine[Any, Any, None]]
    has_ended: Callable[[str], bool]
    hand_over: Callable[[HandOver], Awaitable[bool]]
    logger: Logger
    metrics: Metrics
    manages_overload: bool = False
    request_pauses: RequestPauses | None = None


class DispatcherTask:
    """Owns a shard of workflows from takeover to release.

    Parameters
    ----------
    shard : str
        Name of the shard, under which its journal is stored.
    table : RoutingTable
        Routing table that was in force when the shard was claimed.
    lease : OwnerLease
        The process's lease when the shard was claimed.
    services : DispatcherServices
        Functions and clients of the process.
    handed_over_journal : LoadedJournal, optional
        State that the previous owner has handed over. Without it the
        journal is read from the store.
    report_failed_request : callable, optional
        Awaited with the `RequestFailed` of a request that has ended the
        ownership by an unexpected error.
    """

    def __init__(
        self,
        shard: str,
        table: RoutingTable,
        lease: OwnerLease,
        services: DispatcherServices,
        handed_over_journal: LoadedJournal | None = None,
        report_failed_request: ReportFailedRequest | None = None,
    ) -> None:
        self.shard = shard
        self.services = services
        self.state = DispatchState(
            shard, services.owner, manages_overload=services.manages_overload
        )
        self.events = self._inbox = OwnerInbox()
        self._table = table
        self._lease = lease
        self._handed_over_journal = handed_over_journal
        self._report_failed_request = report_failed_request
        self._failed_request: RequestFailed | None = None
        self._replies = ReplyTable(services.reply)
        self._workers = InboxTable()
        self._journal_sender, self._journal_inbox = make_task_inbox(inf)
        self._snapshots = SnapshotSchedule()
        self._unwritten_since: deque[int] = deque()
        self._stalled_since = 0
        self._failing_since = 0
        self._next_pass = 0.0
        self._loss_reason = ''
        self._group: TaskGroup | None = None
        self._claims_paused_until = 0
        self._is_requesting_pauses = False
        self._worker_starter: TaskStarter | None = None
        self._failures = FailureRecorder(services.logger, services.metrics)
        self._load = OwnerLoad(services.logger, services.metrics)
        # Events of this process that found the inbox full.
        self._overflow: deque[Any] = deque()
        self.taken_over = anyio.Event()

    async def run(self, release: Callable[[], Awaitable[None]]) -> str:
        """Take the shard over and serve it until the ownership ends.

        Parameters
        ----------
        release : callable
            Awaited in a planned stop once every record is durable. It
            releases the shard for a successor.

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
            self._failures.record('ownership', error, self._describe_failure())
            self._loss_reason = f'unexpected error: {error!r}'
        self.taken_over.set()
        # The other hosts are told before the caller, or the successor, can
        # repeat the request.
        if self._failed_request is not None and self._report_failed_request:
            await self._report_failed_request(self._failed_request)
        await self._end_requests()
        return self._loss_reason

    def _describe_failure(self) -> tuple[tuple[str, object], ...]:
        """Return the fields of the log line for an unexpected error."""
        fields: tuple[tuple[str, object], ...] = (('shard', self.shard),)
        failed = self._failed_request
        if failed is not None:
            fields += (
                ('request', failed.request_kind),
                ('subject', failed.subject),
            )
        return fields

    async def _run(self, release: Callable[[], Awaitable[None]]) -> str:
        journal = await self._take_over()
        self.taken_over.set()
        if journal is None:
            await self._end_requests()
            return self._loss_reason
        async with anyio.create_task_group() as group:
            self._group = group
            self._worker_starter = TaskStarter(group)
            group.start_soon(self._worker_starter.run)
            writer = JournalTask(
                journal,
                self._journal_inbox,
                self.events,
                self._observe_append,
                JOURNAL_BATCH_DELAY_S,
                JOURNAL_MAX_IN_FLIGHT,
            )
            group.start_soon(self._run_journal, writer)
            group.start_soon(self._tick)
            group.start_soon(self.services.follow_workers, self.events)
            await self._execute_actions(watch_recorded_workers(self.state))
            await self._serve()
            if not self._loss_reason:
                await self._hand_over(journal, release)
            await self._end_requests()
            group.cancel_scope.cancel()
        return self._loss_reason

    async def _take_over(self) -> Journal | None:
        """Take the shard over; return None if the ownership is lost."""
        await self._process_event(TableChanged(self._table))
        try:
            takeover = await take_over_shard(
                self.state,
                self.services.store,
                self._read_newest_lease,
                self._record_failed_append,
                self._handed_over_journal,
            )
        except ShardLostError as error:
            self._loss_reason = str(error)
            return None
        await self._update_lease(self._lease)
        journal = takeover.journal
        self._snapshots = SnapshotSchedule(journal.uncovered_entries)
        self._request_snapshot()
        self.log(takeover.event)
        return journal

    def _read_newest_lease(self) -> OwnerLease:
        """Return the newest lease in the inbox, and keep all other events.

        It is called during the takeover, before events are handled.
        """
        kept = []
        while True:
            try:
                event = self._inbox.receive_nowait()
            except anyio.WouldBlock:
                break
            if isinstance(event, LeaseUpdated):
                self._lease = event.lease
            else:
                kept.append(event)
        for event in kept:
            self.events.send_nowait(event)
        return self._lease

    async def _run_journal(self, writer: JournalTask) -> None:
        reason = await run_journal(writer)
        if reason:
            await self.events.send(OwnershipLost(reason))

    async def _tick(self) -> None:
        while True:
            due_at = now_ms() + int(TICK_INTERVAL_S * 1000)
            await anyio.sleep(TICK_INTERVAL_S)
            await self.events.send(Ticked(wall_ms(), now_ms(), due_at))

    async def _serve(self) -> None:
        """Handle events and run a scheduling pass whenever one is due.

        Queued events are handled in batches of up to `MAX_BATCH_EVENTS`, so
        that a steady stream of events does not delay a due pass.
        """
        while not self._loss_reason and not self._is_drained():
            event = await self._receive()
            if event is not None:
                await self._process_event(event)
            while self._overflow and not self._loss_reason:
                await self._process_event(self._overflow.popleft())
            for _ in range(MAX_BATCH_EVENTS):
                if self._loss_reason:
                    return
                try:
                    event = self._inbox.receive_nowait()
                except anyio.WouldBlock:
                    break
                await self._process_event(event)
            if self._compute_pass_delay() == 0:
                await self._run_pass()
                # The lease is renewed, and calls are sent, between the parts
                # of a pass.
                await checkpoint()

    async def _run_pass(self) -> None:
        steps = len(self.state.waiting_steps)
        began = perf_counter()
        await self._process_event(PassDue())
        ended = perf_counter()
        self._load.record_pass(ended - began, steps)
        self._next_pass = ended
        if not self.state.has_open_work:
            self._next_pass += (ended - began) * PASS_PAUSE_FACTOR

    async def _receive(self) -> Any:
        """Return the next event, or None once a scheduling pass is due."""
        delay_s = self._compute_pass_delay()
        if delay_s == inf:
            return await self._inbox.receive()
        with anyio.move_on_after(delay_s):
            return await self._inbox.receive()
        return None

    def _compute_pass_delay(self) -> float:
        """Return the seconds until the next scheduling pass is due."""
        if not self.state.is_pass_due or not self._may_act():
            return inf
        return max(0.0, self._next_pass - perf_counter())

    async def _process_event(self, event: Any) -> None:
        """Make the decisions on an event and carry out their actions."""
        if await self._handle_internal_event(event):
            return
        if isinstance(event, RequestReceived):
            await self._process_request(event)
            return
        await self._decide_event(event)

    async def _process_request(self, event: RequestReceived) -> None:
        self._replies.record_handled(event.reply_to)
        try:
            await self._decide_event(event)
        except Exception:
            self._failed_request = describe_failed_request(event.message)
            raise

    async def _decide_event(self, event: Any) -> None:
        started = perf_counter()
        actions = decide(self.state, event, now_ms(), wall_ms())
        kind = type(event).__name__
        self._load.record_decision(kind, perf_counter() - started)
        await self._execute_actions(actions)
        self._load.record_event(kind, perf_counter() - started)

    async def _execute_actions(self, actions: Any) -> None:
        for action in actions:
            await DISPATCHER_ACTION_HANDLERS.find(type(action))(self, action)

    async def _handle_internal_event(self, event: Any) -> bool:
        """Handle events that need no decision.

        Returns
        -------
        bool
            Whether the event has been handled completely. Otherwise it is
            also passed to the decisions.
        """
        if isinstance(event, RequestReceived) and not self._may_act():
            await self.send_reply(event.reply_to, self._make_loss_refusal())
            return True
        if isinstance(event, LeaseUpdated):
            await self._update_lease(self._extend_lease(event.lease))
            return True
        if isinstance(event, ClaimsPaused):
            await self._update_pause(event.until)
            return True
        if isinstance(event, WitnessesChanged):
            # A host that has not been asked may soon be a witness.
            await self._update_pause(0)
        if isinstance(event, OwnershipLost):
            self._loss_reason = event.reason
            return True
        if isinstance(event, SnapshotEnded):
            self._snapshots.mark_written()
            self._request_snapshot()
            return True
        if isinstance(event, RecordsDurable):
            for _ in event.records:
                self._unwritten_since.popleft()
            self._snapshots.count_entry()
            self._request_snapshot()
        if isinstance(event, WithdrawalAnswered):
            for _ in range(event.records):
                self._unwritten_since.pop()
        if isinstance(event, Ticked):
            self._load.record_tick(event, now_ms(), self._inbox.waiting)
            self.services.metrics.set_gauge(
                CAPPED_TENANTS, len(self.state.capped_tenants)
            )
            self._request_pauses_if_due()
            await self._update_stall()
            await self._check_previous_owners()
        if isinstance(event, StopRequested):
            # Run ends that workers report from now on are left to the
            # successor.
            self._stop_workers()
        return False

    async def _update_lease(self, lease: OwnerLease) -> None:
        self._lease = lease
        self._workers.send_to_all(OwnerLeaseChanged(lease))
        await self._process_event(
            LeaseConfirmed(lease.renewed_at + lease.ttl_ms)
        )

    async def _update_pause(self, until: int) -> None:
        self._claims_paused_until = until
        await self._update_lease(self._extend_lease(self._lease))

    def _extend_lease(self, lease: OwnerLease) -> OwnerLease:
        """Return a lease with the latest pause of other hosts' claims."""
        if self.services.request_pauses is None:
            return lease
        return replace(lease, claims_paused_until=self._claims_paused_until)

    def _request_pauses_if_due(self) -> None:
        """Ask other hosts not to claim the shard if the lease runs out."""
        request = self.services.request_pauses
        if request is None or self._is_requesting_pauses:
            return
        if self._group is None or not self._lease.is_renewal_late(now_ms()):
            return
        self._is_requesting_pauses = True
        self._group.start_soon(self._request_pauses, request)

    async def _request_pauses(self, request: RequestPauses) -> None:
        witnesses = self.state.needed_witnesses
        try:
            until = await request(witnesses)
        except Exception as error:
            self._failures.record('pause-request', error)
            return
        finally:
            self._is_requesting_pauses = False
        if until and self.state.needed_witnesses <= witnesses:
            self.notify(ClaimsPaused(until))

    def _record_failed_append(self) -> None:
        self._failing_since = self._failing_since or now_ms()

    async def _update_stall(self) -> None:
        stalled = self._failing_since
        if stalled and now_ms() - stalled < OUTAGE_THRESHOLD_MS:
            stalled = 0
        oldest = self._unwritten_since[0] if self._unwritten_since else 0
        if oldest and oldest + SLOW_APPEND_THRESHOLD_MS < now_ms():
            stalled = stalled or oldest
        if stalled == self._stalled_since:
            return
        self._stalled_since = stalled
        await self._process_event(JournalStalled(stalled))

    async def _check_previous_owners(self) -> None:
        if (
            not self.state.unreconciled_workers
            or self.state.previous_owners_ended
        ):
            return
        terms = list_prior_terms(self.state)
        if all(self.services.has_ended(term.owner) for term in terms):
            await self._process_event(OwnersEnded())

    def _may_act(self) -> bool:
        """Return whether the lease or its outage grace still allows to act."""
        lease = self._lease
        return may_send_commands(lease, now_ms(), lease.ttl_ms, lease.grace_ms)

    def _make_loss_refusal(self) -> Refused:
        return Refused(
            RefusalKind.NOT_OWNER,
            f'the lease of this owner of shard {self.shard!r} has expired',
            'send the request to the new owner',
        )

    def _request_snapshot(self) -> None:
        if self._snapshots.request_if_due():
            self._journal_sender.send_nowait(
                WriteSnapshot(tuple(list_snapshot_records(self.state)))
            )

    def _is_drained(self) -> bool:
        return self.state.stopping and not self._unwritten_since

    async def _hand_over(
        self, journal: Journal, release: Callable[[], Awaitable[None]]
    ) -> None:
        """Hand the shard over to a successor, or release it.

        Every record is durable at this point and no new calls are made to
        workers, but workers may still carry out calls that were sent
        earlier.
        """
        released = describe_release(
            self.state, compute_worker_lease_expiry(0, NORMAL_HOLD_WAIT_MS)
        )
        try:
            position = await journal.export_position()
        except (StoreError, ShardLostError):
            # The process that claims the shard reads the journal.
            await release()
            return
        message = HandOver(
            self.shard,
            encode_records((*list_snapshot_records(self.state), released)),
            position.next_sequence,
            position.slot_revision,
            position.snapshot_sequence,
            position.snapshot_chunks,
            position.snapshot_revision,
        )
        if await self.services.hand_over(message):
            return
        self.append_record(released)
        while self._unwritten_since and not self._loss_reason:
            await self._process_event(await self._inbox.receive())
        if not self._loss_reason:
            await release()

    def _stop_workers(self) -> None:
        self._workers.send_to_all(StopPolling())
        self._workers.clear()

    async def _end_requests(self) -> None:
        """Reply to all open requests; the callers can send them again."""
        await self._replies.end_requests(
            Refused(
                RefusalKind.STOPPING,
                f'shard {self.shard!r} moves to another process',
                'send the request again',
            )
        )

    async def handle_request(self, request: IncomingRequest) -> None:
        """Queue a request that the link server has received."""
        token = self._replies.add_request(request)
        if not self._try_queue_request(
            token, request.message, request.timeout_ms
        ):
            await self.send_reply(token, self._make_overload_refusal())

    async def request(self, message: Any, timeout_s: float) -> Any:
        """Queue a request of this process and return its reply."""

        def add(caller: MemoryObjectSendStream[Any]) -> int:
            token = self._replies.add_local_request(caller)
            self._try_queue_request(token, message, int(timeout_s * 1000))
            return token

        return await wait_for_reply(add, self._replies.discard, timeout_s)

    def _try_queue_request(
        self, token: int, message: Any, timeout_ms: int
    ) -> bool:
        expires_at = now_ms() + timeout_ms if timeout_ms else 0
        try:
            self.events.send_nowait(
                RequestReceived(token, message, wall_ms(), expires_at)
            )
        except anyio.WouldBlock:
            return False
        return True

    def _make_overload_refusal(self) -> Refused:
        return Refused(
            RefusalKind.OVERLOADED,
            f'shard {self.shard!r} has too many waiting requests',
            'send the request again after a second',
        )

    async def send_reply(self, token: int, message: Any) -> None:
        """Reply to the request with this token; each token is used once."""
        await self._replies.send(token, message)

    def notify(self, event: Any) -> None:
        """Queue an event of this process; it is not lost by a full inbox."""
        try:
            self.events.send_nowait(event)
        except anyio.WouldBlock:
            self._overflow.append(event)

    def request_stop(self) -> None:
        """Request a planned release of the shard."""
        self.notify(StopRequested())

    def update_peers(self, names: tuple[str, ...]) -> None:
        """Update which entry hosts can call the advice service."""
        self.notify(PeersChanged(names))

    def append_record(self, record: Any) -> None:
        """Send a record to the journal task."""
        self._unwritten_since.append(now_ms())
        self._journal_sender.send_nowait(WriteRecord(record))

    def withdraw_records(self, job_id: str) -> None:
        """Ask the journal task to drop a job's unwritten records."""
        self._journal_sender.send_nowait(WithdrawJob(job_id))

    def step_down(self, reason: str) -> None:
        """End the task without sending anything further."""
        self._loss_reason = reason

    def watch_worker(self, action: WatchWorker) -> None:
        """Start a worker's task, replacing the one for an older address."""
        worker = action.registration.worker
        if self._worker_starter is None:
            return
        task = WorkerTask(
            worker,
            self.state.epoch,
            self.services.open_worker(worker, action.registration.address),
            self._workers.open(worker),
            self.events,
            self._lease,
            self._failures,
            self.state.hold_wait_ms or NORMAL_HOLD_WAIT_MS,
            action.restarts,
            not action.registration.leaving,
        )
        self._worker_starter.start_soon(task.run)

    def change_hold_wait(self, action: ChangeHoldWait) -> None:
        """Pass a new long-poll wait on to all worker tasks."""
        self._workers.send_to_all(action)

    def forget_worker(self, worker: str) -> None:
        """End a worker's task."""
        self._workers.close(worker)

    def command_worker(self, worker: str, command: Any) -> bool:
        """Send a command to a worker's task; return False if it has none."""
        return self._workers.send(worker, command)

    def request_advice(self, action: AskAdvice) -> None:
        """Have an entry host call the advice service, in the background."""
        if self._group is not None:
            self._group.start_soon(self._request_advice, action)

    async def _request_advice(self, action: AskAdvice) -> None:
        step = f'{action.step.job_id}.{action.step.occurrence}'
        request = SeekAdvice(
            f'{step}.{action.step.step}',
            action.workers,
            action.expected_ms + ADVICE_MARGIN_MS,
        )
        try:
            reply = await self.services.request_advice(
                action.entry_host, request
            )
        except Exception as error:
            self._failures.record(
                'advice-request', error, (('step', request.step),)
            )
            reply = error
        if isinstance(reply, AdviceGiven):
            await self.events.send(
                AdviceAnswered(
                    action.step,
                    action.entry_host,
                    action.workers,
                    Advice(reply.tickets, reply.valid_ms),
                    now_ms(),
                )
            )
            return
        reason = getattr(reply, 'reason', repr(reply))
        await self.events.send(
            AdviceFailed(
                action.step, action.entry_host, action.workers, reason
            )
        )

    def _observe_append(self, seconds: float) -> None:
        self._failing_since = 0
        self.services.metrics.observe(APPEND_SECONDS, seconds)

    def log(self, action: LogEvent) -> None:
        """Log a decision and count it."""
        self.services.metrics.count(DECISIONS, action.kind)
        if action.kind == 'refuse':
            cause = str(dict(action.fields).get('cause', ''))
            self.services.metrics.count(REFUSALS, cause)
        log_event(
            self.services.logger,
            action.kind,
            (
                ('job', action.job),
                *action.fields,
                ('epoch', self.state.epoch),
            ),
        )


def refuse_not_owner(shard: str) -> Refusal:
    """Return the refusal of a request for a shard not owned here."""
    return Refusal(
        RefusalKind.NOT_OWNER,
        f'this process does not own shard {shard!r}',
        'send the request to the owner',
    )
