"""The task that makes the dispatcher's calls to one worker.

It owns the worker's client and the last reading of the worker's clock. One
long poll, the hold call, renews the lease, acknowledges ends and returns
changes. Starts, stops and paces are separate calls.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import replace
from random import uniform
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.workflows import HoldRequest
from sassafrasgate.core.workflows import RunRequest
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.daemons.messages import OwnerLeaseChanged
from sassafrasgate.daemons.messages import StopPolling
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import AllowStarts
from sassafrasgate.dispatch.actions import ChangeHoldWait
from sassafrasgate.dispatch.actions import PaceRun
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import EpochRefused
from sassafrasgate.dispatch.events import PaceAnswered
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import RunNotSent
from sassafrasgate.dispatch.events import RunUnanswered
from sassafrasgate.dispatch.events import StopAnswered
from sassafrasgate.dispatch.events import StopFailed
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.leases import compute_worker_lease_deadline
from sassafrasgate.dispatch.leases import compute_worker_lease_expiry
from sassafrasgate.dispatch.leases import make_fencing_token
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.ownership import may_send_commands

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream

    from sassafrasgate.core.workflows import RunReply
    from sassafrasgate.daemons.inboxes import EventSender
    from sassafrasgate.observability.failures import FailureRecorder
    from sassafrasgate.shards.ownership import OwnerLease

# A reachable worker replies within a few milliseconds. A call without a reply
# within this time is repeated on a new connection.
CALL_TIMEOUT_S = 0.3
MAX_START_ATTEMPTS = 4
MAX_STOP_ATTEMPTS = 3
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
# Longest time without a poll while reported ends are not durable yet. A poll
# would return the same ends again at once.
MAX_DURABILITY_WAIT_S = 1.0

CommandHandler = Callable[['WorkerTask', Any], Coroutine[Any, Any, None]]
UpdateHandler = Callable[['WorkerTask', Any], None]

# Handlers of commands that need calls to the worker; each runs as a task.
COMMAND_HANDLERS: Registry[type[Any], CommandHandler] = Registry(
    'worker command'
)
# Handlers of commands that only change the state of the task.
UPDATE_HANDLERS: Registry[type[Any], UpdateHandler] = Registry('worker update')


class WorkerTask:
    """Owns the client of one worker.

    Parameters
    ----------
    worker : str
        Id of the worker.
    epoch : int
        Epoch of the owner that this task acts for.
    client : object
        Client with methods ``hold``, ``start``, ``stop`` and ``pace``. It is
        an asynchronous context manager that closes its connections.
    inbox : MemoryObjectReceiveStream
        Delivers commands: actions of `sassafrasgate.dispatch.actions`,
        `OwnerLeaseChanged` and `StopPolling`.
    events : EventSender
        The dispatcher's inbox.
    lease : OwnerLease
        The owner's lease when the task starts.
    failures : FailureRecorder
        Records unexpected errors.
    wait_ms : int
        Time in ms for which the worker may hold a poll while no run ends.
    restarts : int
        Number of restarts of the worker that are counted already.
    takes_starts : bool
        Whether runs may start on the worker, as its entry says.
    """

    def __init__(
        self,
        worker: str,
        epoch: int,
        client: Any,
        inbox: MemoryObjectReceiveStream[Any],
        events: EventSender,
        lease: OwnerLease,
        failures: FailureRecorder,
        wait_ms: int,
        restarts: int = 0,
        takes_starts: bool = True,
    ) -> None:
        self.worker = worker
        self.epoch = epoch
        self._client = client
        self._inbox = inbox
        self._events = events
        self._lease = lease
        self._failures = failures
        self._wait_ms = wait_ms
        self._clock_reading: ClockReading | None = None
        self._incarnation_ms = 0
        # Incarnation that has obeyed this owner while its lease was valid.
        self._fenced_incarnation_ms = 0
        self._restarts = restarts
        self._takes_starts = takes_starts
        self._leases_expire_at = 0
        self._last_reported_end = 0
        self._last_acknowledged_end = 0
        self._restarted = False
        # Runs whose start has got no reply yet and which no report contains.
        self._unconfirmed_starts: set[RunKey] = set()
        self._ends_acknowledged = anyio.Event()

    async def run(self) -> None:
        """Handle commands until the inbox closes or polling has to stop."""
        async with self._client, anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_poll_loop)
            async for command in self._inbox:
                if isinstance(command, StopPolling):
                    break
                if type(command) in UPDATE_HANDLERS:
                    UPDATE_HANDLERS.find(type(command))(self, command)
                    continue
                handle = COMMAND_HANDLERS.find(type(command))
                tasks.start_soon(self._run_command, handle, command)
            tasks.cancel_scope.cancel()

    async def _run_command(self, handle: CommandHandler, command: Any) -> None:
        """Run a command; an unexpected error ends only this command.

        The worker may have carried out a start whose call has failed. The
        dispatcher repeats stops and paces that get no answer.
        """
        try:
            await handle(self, command)
        except Exception as error:
            self._failures.record(
                'worker-command',
                error,
                (
                    ('worker', self.worker),
                    ('command', type(command).__name__),
                ),
            )
            if isinstance(command, StopRun):
                await self._events.send(
                    StopFailed(self.worker, command.run, reason=repr(error))
                )
            if isinstance(command, StartRun):
                self._unconfirmed_starts.discard(command.run)
                await self._events.send(
                    RunUnanswered(self.worker, command.run, True)
                )

    def may_send(self) -> bool:
        """Return whether this owner may still send commands to the worker."""
        lease = self._lease
        return may_send_commands(lease, now_ms(), lease.ttl_ms, lease.grace_ms)

    def _has_valid_lease(self) -> bool:
        """Return whether no other process can own the shard yet."""
        return now_ms() < self._lease.renewed_at + self._lease.ttl_ms

    @property
    def _fencing_token(self) -> int:
        return make_fencing_token(self.epoch, self._restarts)

    def update_lease(self, command: OwnerLeaseChanged) -> None:
        """Use a changed lease of the owner for further calls."""
        self._lease = command.lease

    def change_hold_wait(self, command: ChangeHoldWait) -> None:
        """Change the time for which the worker may hold a poll."""
        self._wait_ms = command.wait_ms

    def allow_starts(self, command: AllowStarts) -> None:
        """Send start calls from now on, or no more of them."""
        self._takes_starts = command.allowed

    def record_acknowledged(self, command: AcknowledgeEnds) -> None:
        """Acknowledge ends of the current incarnation in the next poll."""
        if command.incarnation_ms != self._incarnation_ms:
            return
        self._last_acknowledged_end = max(
            self._last_acknowledged_end, command.number
        )
        if self._last_acknowledged_end >= self._last_reported_end:
            self._ends_acknowledged.set()

    async def _run_poll_loop(self) -> None:
        delay_s = MIN_RETRY_DELAY_S
        was_silent = True
        while True:
            if self.may_send() and await self._try_poll(was_silent):
                delay_s = MIN_RETRY_DELAY_S
                was_silent = False
                await self._wait_for_durable_ends()
                continue
            was_silent = True
            await anyio.sleep(uniform(0, delay_s))
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _wait_for_durable_ends(self) -> None:
        """Wait until the reported ends are durable.

        Until then a poll would only return the same ends again.
        """
        if self._last_acknowledged_end >= self._last_reported_end:
            return
        self._ends_acknowledged = anyio.Event()
        with anyio.move_on_after(MAX_DURABILITY_WAIT_S):
            await self._ends_acknowledged.wait()

    async def _try_poll(self, was_silent: bool) -> bool:
        """Poll; after an unexpected error the worker counts as silent."""
        try:
            return await self._poll(was_silent)
        except Exception as error:
            self._failures.record(
                'worker-poll', error, (('worker', self.worker),)
            )
            await self._events.send(
                WorkerSilent(self.worker, self._leases_expire_at, repr(error))
            )
            return False

    async def _poll(self, was_silent: bool) -> bool:
        """Make one hold call and return whether the worker replied.

        Calls to a worker that does not respond renew no leases: a call that
        is carried out late would keep its runs alive for longer than the
        owner assumes. They acknowledge no ends either: the worker may have
        restarted, and would discard ends of its new incarnation that have
        not been received.
        """
        request = HoldRequest(self._fencing_token)
        had_valid_lease = self._has_valid_lease()
        if not was_silent and self._clock_reading is not None:
            request = HoldRequest(
                self._fencing_token,
                self._last_acknowledged_end,
                self._grant_lease(),
                self._choose_poll_wait(),
                self._incarnation_ms,
            )
        try:
            report = await self._client.hold(request)
        except WorkerUnavailableError as error:
            await self._events.send(
                WorkerSilent(self.worker, self._leases_expire_at, str(error))
            )
            return False
        if not isinstance(report, WorkerReport):
            await self._handle_poll_refusal(report)
            return False
        received_at = now_ms()
        previous_ms = self._incarnation_ms
        self._restarted = (
            bool(previous_ms) and report.incarnation_ms != previous_ms
        )
        if report.incarnation_ms != previous_ms:
            self._restarts += 1 if previous_ms else 0
            self._incarnation_ms = report.incarnation_ms
            self._last_reported_end = 0
            self._last_acknowledged_end = 0
        if had_valid_lease and self._has_valid_lease():
            self._fenced_incarnation_ms = report.incarnation_ms
        self._clock_reading = ClockReading(report.clock_ms, received_at)
        self._last_reported_end = max(
            self._last_reported_end,
            max((end.number for end in report.ended), default=0),
        )
        self._unconfirmed_starts.difference_update(
            RunKey(running.task, running.run) for running in report.running
        )
        self._unconfirmed_starts.difference_update(
            RunKey(ended.task, ended.run) for ended in report.ended
        )
        await self._events.send(
            WorkerReported(
                self.worker, report, received_at, self._leases_expire_at
            )
        )
        return True

    def _choose_poll_wait(self) -> int:
        """Return how long the next poll may wait for changes, in ms.

        The first poll after a restart does not wait: it shows which starts
        have reached the new incarnation.
        """
        if (
            self._restarted
            or self._last_acknowledged_end < self._last_reported_end
        ):
            return 0
        return self._wait_ms

    async def _handle_poll_refusal(self, refusal: StartRefusal) -> None:
        if refusal is StartRefusal.STALE_EPOCH:
            await self._events.send(EpochRefused(self.worker))
            return
        await self._events.send(
            WorkerSilent(
                self.worker, self._leases_expire_at, f'refused: {refusal}'
            )
        )

    def _grant_lease(self) -> int:
        """Return a new lease deadline on the worker's clock.

        The owner's time at which this lease has certainly expired is kept
        for the next report.
        """
        assert self._clock_reading is not None
        now = now_ms()
        age_ms = now - self._clock_reading.received_at
        self._leases_expire_at = max(
            self._leases_expire_at, compute_worker_lease_expiry(now, age_ms)
        )
        return compute_worker_lease_deadline(self._clock_reading.clock, age_ms)

    async def start_run(self, command: StartRun) -> None:
        """Start a run; repeat the call until a reply or a report of the run.

        A call that is repeated after a report of the run's end might start
        the run again on a worker that has restarted since. Each call is
        checked when it is sent, since the worker's entry may have changed
        after the decision.
        """
        self._unconfirmed_starts.add(command.run)
        await self._send_start(command)
        self._unconfirmed_starts.discard(command.run)

    async def _send_start(self, command: StartRun) -> None:
        for number in range(1, MAX_START_ATTEMPTS + 1):
            if command.run not in self._unconfirmed_starts:
                return
            reason = self._find_start_obstacle(command.incarnation_ms)
            if reason:
                await self._report_unsent(command, number, reason)
                return
            fencing_token = self._fencing_token
            incarnation_ms = self._incarnation_ms
            try:
                reply: RunReply = await self._client.start(
                    RunRequest(
                        command.run.task,
                        command.run.run,
                        command.payload,
                        self._grant_lease(),
                        fencing_token,
                        command.checkpoint,
                        command.ticket,
                        incarnation_ms,
                    )
                )
            except WorkerUnavailableError as error:
                if not error.sent and number == 1:
                    await self._report_unsent(command, number, str(error))
                    return
                await self._events.send(
                    RunUnanswered(
                        self.worker, command.run, number == MAX_START_ATTEMPTS
                    )
                )
                continue
            if self._was_overtaken_by_restart(reply, fencing_token):
                reply = replace(reply, refusal=StartRefusal.OTHER_INCARNATION)
            await self._events.send(
                RunAnswered(self.worker, command.run, reply, incarnation_ms)
            )
            return

    def _was_overtaken_by_restart(
        self, reply: RunReply, fencing_token: int
    ) -> bool:
        """Return whether a call was refused because the worker had restarted.

        A later call of this owner, with a higher fencing token, has then
        reached the new incarnation first.
        """
        stale = reply.refusal is StartRefusal.STALE_EPOCH
        return stale and fencing_token < self._fencing_token

    async def _report_unsent(
        self, command: StartRun, number: int, reason: str
    ) -> None:
        if number == 1:
            await self._events.send(
                RunNotSent(self.worker, command.run, reason)
            )
            return
        await self._events.send(RunUnanswered(self.worker, command.run, True))

    def _find_start_obstacle(self, incarnation_ms: int) -> str:
        if not self.may_send():
            return 'the owner lease has expired'
        if not self._takes_starts:
            return 'the worker is leaving or has no entry'
        if self._clock_reading is None:
            return 'the worker has not replied yet'
        if self._incarnation_ms != incarnation_ms:
            return 'the worker has restarted'
        if (
            not self._has_valid_lease()
            and self._fenced_incarnation_ms != incarnation_ms
        ):
            # A successor may have fenced off the previous incarnation, and
            # this one obeys any owner.
            return 'the worker has restarted during an outage of the store'
        return ''

    async def stop_run(self, command: StopRun) -> None:
        """Stop a run; the dispatcher repeats the command until it is gone.

        The call itself is repeated when the worker does not reply.
        """
        failure = StopFailed(self.worker, command.run, reason='no reply')
        for _ in range(MAX_STOP_ATTEMPTS):
            if not self.may_send():
                failure = replace(
                    failure, reason='the owner lease has expired'
                )
                break
            fencing_token = self._fencing_token
            try:
                reply: RunReply = await self._client.stop(
                    command.run.task, command.run.run, fencing_token
                )
            except WorkerUnavailableError:
                continue
            if self._was_overtaken_by_restart(reply, fencing_token):
                continue
            if reply.refusal is StartRefusal.STALE_EPOCH:
                await self._events.send(EpochRefused(self.worker))
                return
            if reply.refusal is None:
                await self._events.send(
                    StopAnswered(self.worker, command.run, reply.clock_ms)
                )
                return
            failure = replace(failure, refusal=reply.refusal)
            break
        await self._events.send(failure)

    async def pace_run(self, command: PaceRun) -> None:
        """Set a run's pace.

        The dispatcher repeats the command if no `PaceAnswered` follows.
        """
        if not self.may_send():
            return
        fencing_token = self._fencing_token
        try:
            reply: RunReply = await self._client.pace(
                command.run.task,
                command.run.run,
                command.percent,
                fencing_token,
            )
        except WorkerUnavailableError:
            # The next poll reports whether the worker responds.
            return
        if reply.refusal is None:
            await self._events.send(
                PaceAnswered(self.worker, command.run, command.percent)
            )


@COMMAND_HANDLERS.register(StartRun)
async def _start_run(task: WorkerTask, command: StartRun) -> None:
    await task.start_run(command)


@COMMAND_HANDLERS.register(PaceRun)
async def _pace_run(task: WorkerTask, command: PaceRun) -> None:
    await task.pace_run(command)


@COMMAND_HANDLERS.register(StopRun)
async def _stop_run(task: WorkerTask, command: StopRun) -> None:
    await task.stop_run(command)


@UPDATE_HANDLERS.register(OwnerLeaseChanged)
def _update_lease(task: WorkerTask, command: OwnerLeaseChanged) -> None:
    task.update_lease(command)


@UPDATE_HANDLERS.register(ChangeHoldWait)
def _change_hold_wait(task: WorkerTask, command: ChangeHoldWait) -> None:
    task.change_hold_wait(command)


@UPDATE_HANDLERS.register(AllowStarts)
def _allow_starts(task: WorkerTask, command: AllowStarts) -> None:
    task.allow_starts(command)


@UPDATE_HANDLERS.register(AcknowledgeEnds)
def _record_acknowledged(task: WorkerTask, command: AcknowledgeEnds) -> None:
    task.record_acknowledged(command)
