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
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.leases import compute_worker_lease_deadline
from sassafrasgate.dispatch.leases import compute_worker_lease_expiry
from sassafrasgate.dispatch.leases import make_fencing_token
from sassafrasgate.dispatch.state import RunKey
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.ownership import may_send

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream
    from anyio.streams.memory import MemoryObjectSendStream

    from sassafrasgate.core.workflows import RunReply
    from sassafrasgate.shards.ownership import OwnerLease

# A reachable worker replies within a few milliseconds. A call without a reply
# within this time is repeated on a new connection.
CALL_TIMEOUT_S = 0.3
START_TRIES = 4
STOP_TRIES = 3
RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.5
# Longest time without a poll while reported ends are not durable yet. A poll
# would return the same ends again at once.
UNCONFIRMED_WAIT_S = 1.0

Command = Callable[['WorkerTask', Any], Coroutine[Any, Any, None]]

COMMANDS: Registry[type[Any], Command] = Registry('worker command')


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
    events : MemoryObjectSendStream
        The dispatcher's inbox.
    lease : OwnerLease
        The owner's lease when the task starts.
    wait_ms : int
        Time in ms for which the worker may hold a poll while no run ends.
    lives : int
        Number of restarts of the worker that are counted already.
    """

    def __init__(
        self,
        worker: str,
        epoch: int,
        client: Any,
        inbox: MemoryObjectReceiveStream[Any],
        events: MemoryObjectSendStream[Any],
        lease: OwnerLease,
        wait_ms: int,
        lives: int = 0,
    ) -> None:
        self.worker = worker
        self.epoch = epoch
        self._client = client
        self._inbox = inbox
        self._events = events
        self._lease = lease
        self._wait_ms = wait_ms
        self._reading: ClockReading | None = None
        self._born_ms = 0
        self._lives = lives
        self._lapse_at = 0
        self._seen = 0
        self._acknowledged = 0
        self._restarted = False
        # Runs whose start has got no reply yet and which no report contains.
        self._unconfirmed: set[RunKey] = set()
        self._news = anyio.Event()

    async def run(self) -> None:
        """Handle commands until the inbox closes or polling has to stop."""
        async with self._client, anyio.create_task_group() as tasks:
            tasks.start_soon(self._look_forever)
            async for command in self._inbox:
                if isinstance(command, OwnerLeaseChanged):
                    self._lease = command.lease
                    continue
                if isinstance(command, StopPolling):
                    break
                if isinstance(command, ChangeHoldWait):
                    self._wait_ms = command.wait_ms
                    continue
                if isinstance(command, AcknowledgeEnds):
                    self._note_acknowledged(command)
                    continue
                handle = COMMANDS.find(type(command))
                tasks.start_soon(handle, self, command)
            tasks.cancel_scope.cancel()

    def may_send(self) -> bool:
        """Tell whether this owner may still send commands to the worker."""
        lease = self._lease
        return may_send(lease, now_ms(), lease.ttl_ms, lease.grace_ms)

    @property
    def _fence(self) -> int:
        return make_fencing_token(self.epoch, self._lives)

    def _note_acknowledged(self, command: AcknowledgeEnds) -> None:
        if command.incarnation_ms != self._born_ms:
            return
        self._acknowledged = max(self._acknowledged, command.number)
        if self._acknowledged >= self._seen:
            self._news.set()

    async def _look_forever(self) -> None:
        delay_s = RETRY_MIN_S
        silent = True
        while True:
            if self.may_send() and await self._look(silent):
                delay_s = RETRY_MIN_S
                silent = False
                await self._wait_for_records()
                continue
            silent = True
            await anyio.sleep(uniform(0, delay_s))
            delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def _wait_for_records(self) -> None:
        """Wait until the reported ends are durable.

        Until then a poll would only return the same ends again.
        """
        if self._acknowledged >= self._seen:
            return
        self._news = anyio.Event()
        with anyio.move_on_after(UNCONFIRMED_WAIT_S):
            await self._news.wait()

    async def _look(self, silent: bool) -> bool:
        """Make one hold call and tell whether the worker answered.

        Calls to a worker that does not respond renew no leases: a call that
        is carried out late would keep its runs alive for longer than the
        owner assumes. They acknowledge no ends either: the worker may have
        restarted, and would discard ends of its new incarnation that have
        not been received.
        """
        request = HoldRequest(self._fence)
        if not silent and self._reading is not None:
            request = HoldRequest(
                self._fence,
                self._acknowledged,
                self._grant(),
                self._choose_wait(),
            )
        try:
            report = await self._client.hold(request)
        except WorkerUnavailableError as error:
            await self._events.send(
                WorkerSilent(self.worker, self._lapse_at, str(error))
            )
            return False
        if not isinstance(report, WorkerReport):
            await self._refuse_look(report)
            return False
        received_at = now_ms()
        known_ms = self._born_ms
        self._restarted = bool(known_ms) and report.incarnation_ms != known_ms
        if report.incarnation_ms != known_ms:
            self._lives += 1 if known_ms else 0
            self._born_ms = report.incarnation_ms
            self._seen = 0
            self._acknowledged = 0
        self._reading = ClockReading(report.clock_ms, received_at)
        self._seen = max(
            self._seen, max((end.number for end in report.ended), default=0)
        )
        self._unconfirmed.difference_update(
            RunKey(running.task, running.run) for running in report.running
        )
        self._unconfirmed.difference_update(
            RunKey(ended.task, ended.run) for ended in report.ended
        )
        await self._events.send(
            WorkerReported(self.worker, report, received_at, self._lapse_at)
        )
        return True

    def _choose_wait(self) -> int:
        """Return how long the next poll may wait for changes, in ms.

        The first poll after a restart does not wait: it shows which starts
        have reached the new incarnation.
        """
        if self._restarted or self._acknowledged < self._seen:
            return 0
        return self._wait_ms

    async def _refuse_look(self, refusal: StartRefusal) -> None:
        if refusal is StartRefusal.STALE_EPOCH:
            await self._events.send(EpochRefused(self.worker))
            return
        await self._events.send(
            WorkerSilent(self.worker, self._lapse_at, f'refused: {refusal}')
        )

    def _grant(self) -> int:
        """Return a new lease deadline on the worker's clock.

        The owner's time at which this lease has certainly expired is kept
        for the next report.
        """
        assert self._reading is not None
        now = now_ms()
        age_ms = now - self._reading.received_at
        self._lapse_at = max(
            self._lapse_at, compute_worker_lease_expiry(now, age_ms)
        )
        return compute_worker_lease_deadline(self._reading.clock, age_ms)

    async def start_run(self, command: StartRun) -> None:
        """Start a run; repeat the call until a reply or a report of the run.

        A call that is repeated after a report of the run's end might start
        the run again on a worker that has restarted since.
        """
        self._unconfirmed.add(command.run)
        await self._try_start(command)
        self._unconfirmed.discard(command.run)

    async def _try_start(self, command: StartRun) -> None:
        for number in range(1, START_TRIES + 1):
            if command.run not in self._unconfirmed:
                return
            reason = self._find_obstacle(command.incarnation_ms)
            if reason:
                await self._report_unsent(command, number, reason)
                return
            fence = self._fence
            try:
                answer: RunReply = await self._client.start(
                    RunRequest(
                        command.run.task,
                        command.run.run,
                        command.payload,
                        self._grant(),
                        fence,
                        command.checkpoint,
                        command.ticket,
                    )
                )
            except WorkerUnavailableError as error:
                if not error.sent and number == 1:
                    await self._report_unsent(command, number, str(error))
                    return
                await self._events.send(
                    RunUnanswered(
                        self.worker, command.run, number == START_TRIES
                    )
                )
                continue
            if self._is_outdated(answer, fence):
                answer = replace(
                    answer, refusal=StartRefusal.OTHER_INCARNATION
                )
            await self._events.send(
                RunAnswered(self.worker, command.run, answer)
            )
            return

    def _is_outdated(self, answer: RunReply, fence: int) -> bool:
        """Tell whether a call was refused because the worker had restarted.

        A later call of this owner, with a higher fencing token, has then
        reached the new incarnation first.
        """
        stale = answer.refusal is StartRefusal.STALE_EPOCH
        return stale and fence < self._fence

    async def _report_unsent(
        self, command: StartRun, number: int, reason: str
    ) -> None:
        if number == 1:
            await self._events.send(
                RunNotSent(self.worker, command.run, reason)
            )
            return
        await self._events.send(RunUnanswered(self.worker, command.run, True))

    def _find_obstacle(self, born_ms: int) -> str:
        if not self.may_send():
            return 'the owner lease has lapsed'
        if self._reading is None:
            return 'the worker has not answered yet'
        if self._born_ms != born_ms:
            return 'the worker has restarted'
        return ''

    async def stop_run(self, command: StopRun) -> None:
        """Stop a run; the dispatcher repeats the command if it gets no event.

        The call itself is repeated when the worker does not answer.
        """
        for _ in range(STOP_TRIES):
            if not self.may_send():
                return
            fence = self._fence
            try:
                answer: RunReply = await self._client.stop(
                    command.run.task, command.run.run, fence
                )
            except WorkerUnavailableError:
                continue
            if self._is_outdated(answer, fence):
                continue
            if answer.refusal is StartRefusal.STALE_EPOCH:
                await self._events.send(EpochRefused(self.worker))
                return
            if answer.refusal is None:
                await self._events.send(
                    StopAnswered(self.worker, command.run, answer.clock_ms)
                )
            return

    async def pace_run(self, command: PaceRun) -> None:
        """Set a run's pace.

        The dispatcher repeats the command if no `PaceAnswered` follows.
        """
        if not self.may_send():
            return
        fence = self._fence
        try:
            answer: RunReply = await self._client.pace(
                command.run.task, command.run.run, command.percent, fence
            )
        except WorkerUnavailableError:
            # The next poll reports whether the worker responds.
            return
        if answer.refusal is None:
            await self._events.send(
                PaceAnswered(self.worker, command.run, command.percent)
            )


@COMMANDS.register(StartRun)
async def _start_run(task: WorkerTask, command: StartRun) -> None:
    await task.start_run(command)


@COMMANDS.register(PaceRun)
async def _pace_run(task: WorkerTask, command: PaceRun) -> None:
    await task.pace_run(command)


@COMMANDS.register(StopRun)
async def _stop_run(task: WorkerTask, command: StopRun) -> None:
    await task.stop_run(command)
