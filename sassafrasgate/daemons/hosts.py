"""The task that makes one shard's calls to one worker.

It owns the worker's client, the last reading of the worker's clock, and the
list of ended tasks to release. One long poll, the sync call, renews leases
and returns changes.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from random import uniform
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import WorkerUnavailableError
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.tasks import StartRequest
from sassafrasgate.core.tasks import SyncReply
from sassafrasgate.core.tasks import SyncRequest
from sassafrasgate.daemons.messages import OwnerLeaseChanged
from sassafrasgate.daemons.messages import StopPolling
from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.shards.actions import AllowStarts
from sassafrasgate.shards.actions import FetchOutput
from sassafrasgate.shards.actions import LimitTask
from sassafrasgate.shards.actions import ReleaseTask
from sassafrasgate.shards.actions import StartTask
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.actions import StoreOutput
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.attempts import compute_task_lease_deadline
from sassafrasgate.shards.attempts import START_WINDOW_MS
from sassafrasgate.shards.events import HostSilent
from sassafrasgate.shards.events import HostSynced
from sassafrasgate.shards.events import OutputFetched
from sassafrasgate.shards.events import OutputStored
from sassafrasgate.shards.events import StartAnswered
from sassafrasgate.shards.events import StartNotSent
from sassafrasgate.shards.events import StartUnanswered
from sassafrasgate.shards.ownership import may_send_commands
from sassafrasgate.shards.ownership import OwnerLease

if TYPE_CHECKING:
    from anyio.streams.memory import MemoryObjectReceiveStream

    from sassafrasgate.adapters.store import Store
    from sassafrasgate.adapters.workers import WorkerClient
    from sassafrasgate.daemons.inboxes import EventSender
    from sassafrasgate.observability.failures import FailureRecorder

SYNC_WAIT_MS = 2_000
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
MAX_START_ATTEMPTS = 2
OUTPUT_CHUNK_BYTES = 512 * 1024

CommandHandler = Callable[['HostTask', Any], Coroutine[Any, Any, None]]

COMMAND_HANDLERS: Registry[type[Any], CommandHandler] = Registry(
    'host command'
)


class HostTask:
    """Owns the client of one worker.

    Parameters
    ----------
    host : str
        Name of the host on which the worker runs.
    shard : str
        Name of the shard that this task acts for.
    epoch : int
        Epoch of the shard's owner, which every call carries.
    client : WorkerClient
        Client of the worker.
    store : Store
        Store client to which large outputs are written.
    inbox : MemoryObjectReceiveStream
        Delivers commands: host actions of `sassafrasgate.shards.actions`,
        `OwnerLeaseChanged` and `StopPolling`.
    events : EventSender
        The shard task's inbox.
    lease : OwnerLease
        The owner's lease when the task starts.
    failures : FailureRecorder
        Records unexpected errors.
    """

    def __init__(
        self,
        host: str,
        shard: str,
        epoch: int,
        client: WorkerClient,
        store: Store,
        inbox: MemoryObjectReceiveStream[Any],
        events: EventSender,
        lease: OwnerLease,
        failures: FailureRecorder,
    ) -> None:
        self.host = host
        self.shard = shard
        self.epoch = epoch
        self._client = client
        self._store = store
        self._inbox = inbox
        self._events = events
        self._lease = lease
        self._failures = failures
        self._takes_starts = True
        self._clock_reading: ClockReading | None = None
        self._incarnation = ''
        self._known_ended: set[str] = set()
        self._pending_releases: set[str] = set()

    async def run(self) -> None:
        """Handle commands until the inbox closes; then finish open calls."""
        async with self._client, anyio.create_task_group() as tasks:
            sync_scope = anyio.CancelScope()
            tasks.start_soon(self._run_sync_loop, sync_scope)
            async for command in self._inbox:
                if isinstance(command, OwnerLeaseChanged):
                    self._lease = command.lease
                    continue
                if isinstance(command, StopPolling):
                    sync_scope.cancel()
                    continue
                if isinstance(command, AllowStarts):
                    self._takes_starts = command.allowed
                    continue
                handle = COMMAND_HANDLERS.find(type(command))
                tasks.start_soon(self._run_command, handle, command)
            sync_scope.cancel()

    async def _run_command(self, handle: CommandHandler, command: Any) -> None:
        """Run a command; an unexpected error ends only this command.

        The worker may have carried out a start whose call has failed.
        """
        try:
            await handle(self, command)
        except Exception as error:
            self._failures.record(
                'worker-command',
                error,
                (('host', self.host), ('command', type(command).__name__)),
            )
            if isinstance(command, StartTask):
                await self._report_failed_start(command)

    async def _report_failed_start(self, command: StartTask) -> None:
        if self._clock_reading is None:
            await self._events.send(
                StartNotSent(
                    self.host, command.task, 'the worker has not replied yet'
                )
            )
            return
        # Not earlier than the limit that was sent.
        before_clock = self._make_start_request(command).start_before_clock
        await self._events.send(
            StartUnanswered(self.host, command.task, before_clock)
        )

    def may_send(self) -> bool:
        """Return whether this owner may still send commands to the worker."""
        lease = self._lease
        return may_send_commands(lease, now_ms(), lease.ttl_ms, lease.grace_ms)

    async def _run_sync_loop(self, scope: anyio.CancelScope) -> None:
        with scope:
            delay_s = MIN_RETRY_DELAY_S
            while True:
                if self.may_send() and await self._try_sync():
                    delay_s = MIN_RETRY_DELAY_S
                    continue
                await anyio.sleep(uniform(0, delay_s))
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)

    async def _try_sync(self) -> bool:
        """Sync; after an unexpected error the host counts as silent."""
        try:
            return await self._sync()
        except Exception as error:
            self._failures.record('worker-poll', error, (('host', self.host),))
            await self._events.send(HostSilent(self.host))
            return False

    async def _sync(self) -> bool:
        """Make one sync call and return whether the worker replied."""
        reading = self._clock_reading
        release = tuple(self._pending_releases)
        request = SyncRequest(
            self.shard,
            self.epoch,
            compute_task_lease_deadline(reading) if reading else 0,
            release,
            # No work is placed on the host before the first reply, so that
            # one must not be held back.
            SYNC_WAIT_MS if reading else 0,
            tuple(self._known_ended),
            self._incarnation,
        )
        try:
            reply = await self._client.sync(request)
        except WorkerUnavailableError:
            await self._events.send(HostSilent(self.host))
            return False
        received_at = now_ms()
        self._pending_releases.difference_update(release)
        # An ended task stays known until the worker has forgotten it.
        # Otherwise every second sync would report it again at once.
        self._known_ended.update(task.task for task in reply.ended)
        self._known_ended.difference_update(release)
        if reply.incarnation != self._incarnation:
            self._known_ended = {task.task for task in reply.ended}
        # The event is sent before the reading is used: the shard must know
        # a reading by the time that a lease is granted on it.
        await self._events.send(HostSynced(self.host, reply, received_at))
        self._update_reading(reply, received_at)
        return True

    def _update_reading(self, reply: SyncReply, received_at: int) -> None:
        self._incarnation = reply.incarnation
        self._clock_reading = ClockReading(reply.clock, received_at)

    async def start_task(self, command: StartTask) -> None:
        """Start a task; repeat the call once if it gets no reply.

        Each call is checked when it is sent, since the host may have begun
        to leave after the decision.
        """
        reason = self._find_start_obstacle(command)
        if reason:
            await self._events.send(
                StartNotSent(self.host, command.task, reason)
            )
            return
        request = self._make_start_request(command)
        for _ in range(MAX_START_ATTEMPTS):
            try:
                reply = await self._client.start(request)
            except WorkerUnavailableError as error:
                if not error.sent:
                    await self._events.send(
                        StartNotSent(self.host, command.task, str(error))
                    )
                    return
                await self._events.send(
                    StartUnanswered(
                        self.host, command.task, request.start_before_clock
                    )
                )
                if self._find_start_obstacle(command):
                    # A call may have taken effect; a later sync shows it.
                    return
                continue
            await self._events.send(
                StartAnswered(self.host, command.task, reply, now_ms())
            )
            return

    def _make_start_request(self, command: StartTask) -> StartRequest:
        assert self._clock_reading is not None
        clock = (
            self._clock_reading.clock
            + now_ms()
            - self._clock_reading.received_at
        )
        # No lease may end later than the shard assumes from this reading.
        lease_clock = compute_task_lease_deadline(self._clock_reading)
        if command.lease_ms:
            lease_clock = min(lease_clock, clock + command.lease_ms)
        return StartRequest(
            command.task,
            self.shard,
            self.epoch,
            command.incarnation,
            min(clock + START_WINDOW_MS, lease_clock),
            lease_clock,
            command.demand,
            command.payload,
            command.wait_ms,
            # The first lease of a quick request limits its run time.
            renewable=not command.lease_ms,
        )

    def _find_start_obstacle(self, command: StartTask) -> str:
        if not self.may_send():
            return 'the owner lease has expired'
        if not self._takes_starts:
            return 'the platform lists the host as leaving'
        if self._clock_reading is None:
            return 'the worker has not replied yet'
        if self._incarnation != command.incarnation:
            return 'the worker has restarted'
        return ''

    async def stop_task(self, command: StopTask) -> None:
        """Ask the worker to stop a task; a later sync reports its end."""
        if not self.may_send():
            return
        try:
            await self._client.stop(command.task, self.epoch, self.shard)
        except WorkerUnavailableError:
            # The shard repeats the stop until the task has ended.
            return

    async def limit_task(self, command: LimitTask) -> None:
        """Throttle or checkpoint a task."""
        if not self.may_send():
            return
        try:
            if command.measure == 'checkpoint':
                await self._client.checkpoint(
                    command.task, self.epoch, self.shard
                )
                return
            await self._client.throttle(
                command.task, self.epoch, self.shard, command.millicores
            )
        except WorkerUnavailableError:
            return

    def release_task(self, command: ReleaseTask) -> None:
        """Release an ended task with the next sync."""
        self._pending_releases.add(command.task)

    async def fetch_output(self, command: FetchOutput) -> None:
        """Fetch the complete large output of a quick request."""
        try:
            data = await self._client.fetch_output(
                command.task, command.size, command.digest
            )
        except SassafrasgateError:
            return
        await self._events.send(
            OutputFetched(command.task, data, command.digest)
        )

    async def store_output(self, command: StoreOutput) -> None:
        """Copy a large output into the store in chunks."""
        try:
            data = await self._client.fetch_output(
                command.task, command.size, command.digest
            )
            chunks = await self._write_chunks(command.job_id, data)
        except SassafrasgateError:
            chunks = 0
            # The next sync then reports the end again, and the shard repeats
            # this command.
            self._known_ended.discard(command.task)
        await self._events.send(
            OutputStored(command.task, chunks, command.size, command.digest)
        )

    async def _write_chunks(self, job_id: str, data: bytes) -> int:
        count = -(-len(data) // OUTPUT_CHUNK_BYTES)
        for number in range(count):
            begin = number * OUTPUT_CHUNK_BYTES
            part = data[begin : begin + OUTPUT_CHUNK_BYTES]
            await self._write_chunk(make_output_key(job_id, number), part)
        return count

    async def _write_chunk(self, key: str, part: bytes) -> None:
        try:
            await self._store.create(key, part)
        except StoreConflictError:
            item = await self._store.get(key)
            if item is None or item.value == part:
                return
            await self._store.swap(key, part, item.revision)


def make_output_key(job_id: str, number: int) -> str:
    """Return the store key of one chunk of a job's output."""
    return f'output/{job_id}/{number:04d}'


@COMMAND_HANDLERS.register(StartTask)
async def _start_task(task: HostTask, command: StartTask) -> None:
    await task.start_task(command)


@COMMAND_HANDLERS.register(StopTask)
async def _stop_task(task: HostTask, command: StopTask) -> None:
    await task.stop_task(command)


@COMMAND_HANDLERS.register(LimitTask)
async def _limit_task(task: HostTask, command: LimitTask) -> None:
    await task.limit_task(command)


@COMMAND_HANDLERS.register(ReleaseTask)
async def _release_task(task: HostTask, command: ReleaseTask) -> None:
    task.release_task(command)


@COMMAND_HANDLERS.register(FetchOutput)
async def _fetch_output(task: HostTask, command: FetchOutput) -> None:
    await task.fetch_output(command)


@COMMAND_HANDLERS.register(StoreOutput)
async def _store_output(task: HostTask, command: StoreOutput) -> None:
    await task.store_output(command)
