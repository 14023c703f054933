"""In-memory simulation of a shard, its workers and its journal, with faults.

Time is simulated, messages wait until a test delivers, loses or duplicates
them, and workers record which tasks they started.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.identifiers import make_job_id
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import EndedTask
from sassafrasgate.core.tasks import RunningTask
from sassafrasgate.core.tasks import StartReply
from sassafrasgate.core.tasks import StartRequest
from sassafrasgate.core.tasks import StartStatus
from sassafrasgate.core.tasks import SyncReply
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.journal.records import Takeover
from sassafrasgate.protocol.messages import Cancel
from sassafrasgate.protocol.messages import Submit
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import ReleaseTask
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import SendToShard
from sassafrasgate.shards.actions import StartTask
from sassafrasgate.shards.actions import StepDown
from sassafrasgate.shards.actions import StopTask
from sassafrasgate.shards.attempts import ClockReading
from sassafrasgate.shards.attempts import compute_task_lease_deadline
from sassafrasgate.shards.attempts import START_WINDOW_MS
from sassafrasgate.shards.events import ConfigurationChanged
from sassafrasgate.shards.events import HostSilent
from sassafrasgate.shards.events import HostSynced
from sassafrasgate.shards.events import RecordsDurable
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.events import StartAnswered
from sassafrasgate.shards.events import StartNotSent
from sassafrasgate.shards.events import StartUnanswered
from sassafrasgate.shards.events import Ticked
from sassafrasgate.shards.recovery import begin_ownership
from sassafrasgate.shards.recovery import replay_records
from sassafrasgate.shards.state import ShardState
from sassafrasgate.shards.transfers import resume_transfers
from sassafrasgate.shards.transitions import decide

CAPACITY = Resources(2000, 2000, 0, 2, 2)
DEMAND = Resources(1000, 1000, 0, 1, 1)
GRACE_MS = 5_000
TTL_MS = 3_000


@dataclass
class SimulatedTask:
    """A task that runs, or has run, on a simulated worker."""

    request: StartRequest
    started_at: int
    lease_clock: int
    ended: EndedTask | None = None


@dataclass
class SimulatedWorker:
    """A worker that follows the rules of the workers' API."""

    name: str
    rate: float
    shard: str
    incarnation: int = 1
    started_at: int = 0
    highest_epoch: int = 0
    tasks: dict[str, SimulatedTask] = field(default_factory=dict)
    refused_tasks: set[str] = field(default_factory=set)
    started: list[str] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)

    def read_clock(self, now: int) -> int:
        return int((now - self.started_at) * self.rate)

    def expire_leases(self, now: int) -> None:
        clock = self.read_clock(now)
        for task in self.tasks.values():
            if task.ended is None and clock >= task.lease_clock:
                self.end(task.request.task, TaskOutcome.LAPSED)

    def end(self, name: str, outcome: TaskOutcome) -> None:
        self.tasks[name].ended = EndedTask(name, outcome)
        if outcome is TaskOutcome.FINISHED:
            self.finished.append(name)

    def list_running(self) -> list[SimulatedTask]:
        return [task for task in self.tasks.values() if task.ended is None]

    def start(self, request: StartRequest, now: int) -> StartReply:
        self.expire_leases(now)
        clock = self.read_clock(now)
        incarnation = str(self.incarnation)
        known = self.tasks.get(request.task)
        if known is not None:
            status = StartStatus.ENDED if known.ended else StartStatus.STARTED
            return StartReply(status, incarnation, clock, '', known.ended)
        if (
            request.task in self.refused_tasks
            or request.epoch < self.highest_epoch
            or request.incarnation != incarnation
            or clock >= min(request.start_before_clock, request.lease_clock)
        ):
            self.refused_tasks.add(request.task)
            return StartReply(
                StartStatus.REFUSED, incarnation, clock, 'refused'
            )
        self.highest_epoch = request.epoch
        self.tasks[request.task] = SimulatedTask(
            request, now, request.lease_clock
        )
        self.started.append(request.task)
        return StartReply(StartStatus.STARTED, incarnation, clock)

    def sync(
        self,
        epoch: int,
        lease_clock: int,
        incarnation: str,
        release: tuple[str, ...],
        now: int,
    ) -> SyncReply:
        self.expire_leases(now)
        clock = self.read_clock(now)
        own_incarnation = str(self.incarnation)
        if epoch < self.highest_epoch:
            return SyncReply(False, own_incarnation, clock, self.highest_epoch)
        self.highest_epoch = epoch
        for name in release:
            if name in self.tasks and self.tasks[name].ended:
                # The id stays refused, so that a delayed start cannot run.
                del self.tasks[name]
                self.refused_tasks.add(name)
        for task in self.list_running():
            if incarnation == own_incarnation and task.request.renewable:
                task.lease_clock = max(task.lease_clock, lease_clock)
        return SyncReply(
            True,
            own_incarnation,
            clock,
            self.highest_epoch,
            False,
            tuple(
                RunningTask(
                    task.request.task,
                    self.shard,
                    task.request.epoch,
                    task.request.resources,
                    task.lease_clock,
                )
                for task in self.list_running()
            ),
            tuple(task.ended for task in self.tasks.values() if task.ended),
        )

    def restart(self, now: int) -> None:
        self.incarnation += 1
        self.started_at = now
        self.highest_epoch = 0
        self.tasks.clear()
        self.refused_tasks.clear()


@dataclass
class SimulatedOwner:
    """One owner's state, and what its host tasks keep for each worker."""

    state: ShardState
    readings: dict[str, ClockReading] = field(default_factory=dict)
    incarnations: dict[str, str] = field(default_factory=dict)
    releases: dict[str, set[str]] = field(default_factory=dict)
    unwritten_records: list[Any] = field(default_factory=list)
    may_act_until: int = 2**62


class SimulatedShard:
    """A shard with its workers, driven by the calls of a test.

    Parameters
    ----------
    rates : tuple of float
        Clock rate of each worker relative to the owner's clock.
    name : str
        Shard name.
    prefix : str
        Prefix of the worker names.
    """

    def __init__(
        self,
        rates: tuple[float, ...] = (1.0, 0.99),
        name: str = 'north',
        prefix: str = 'h',
    ) -> None:
        self.name = name
        self.now = 1_000_000
        self.outbox: list[Any] = []
        self.workers = {
            f'{prefix}{number}': SimulatedWorker(
                f'{prefix}{number}', rate, name, started_at=self.now
            )
            for number, rate in enumerate(rates)
        }
        self.journal: list[Any] = []
        self.starts: list[StartRequest] = []
        self.replies: list[Any] = []
        self.decisions: list[LogDecision] = []
        self.accepted: set[str] = set()
        self.partitioned_hosts: set[str] = set()
        self.specs: dict[str, JobSpec] = {}
        self.configuration = self._make_configuration()
        self.owner = self._make_owner(0)
        self.previous_owner: SimulatedOwner | None = None

    def _make_configuration(self) -> Configuration:
        hosts = tuple(
            Host(name, f'http://{name}', 'r1', 'd1', CAPACITY)
            for name in self.workers
        )
        shards = (Shard(self.name, 'd1', ('r1',)),)
        return Configuration(1, '', 'c', hosts, shards, (Team('t'),))

    def _make_owner(self, epoch: int) -> SimulatedOwner:
        state = ShardState(self.name, f'owner-{epoch + 1}')
        state.wall_ms = self.now
        decide(state, ConfigurationChanged(self.configuration), self.now)
        replay_records(state, self.journal)
        for entry in list(state.jobs.values()):
            state.update_job(entry.job_id, durable=True)
        takeover = Takeover(epoch + 1, state.owner, GRACE_MS, TTL_MS)
        self.journal.append(takeover)
        replay_records(state, (takeover,))
        begin_ownership(state, self.now)
        resume_transfers(state)
        return SimulatedOwner(state)

    def take_over(self, written: int) -> None:
        """Replace the owner.

        The previous owner may go on for its grace period, as in a store
        outage that affects only this owner.

        Parameters
        ----------
        written : int
            Number of the previous owner's pending records that became
            durable, oldest first.
        """
        previous = self.owner
        self.journal.extend(previous.unwritten_records[:written])
        previous.unwritten_records.clear()
        previous.may_act_until = self.now + GRACE_MS
        self.previous_owner = previous
        self.owner = self._make_owner(previous.state.epoch)

    def feed(self, event: Any) -> None:
        """Pass an event to the owner and carry out its actions."""
        if isinstance(event, ConfigurationChanged):
            self.configuration = event.configuration
        owner = self.owner
        for action in decide(owner.state, event, self.now):
            self._carry_out(owner, action)

    def _carry_out(self, owner: SimulatedOwner, action: Any) -> None:
        if isinstance(action, AppendRecord):
            owner.unwritten_records.append(action.record)
        if isinstance(action, StartTask):
            self._send_start(owner, action)
        if isinstance(action, StopTask):
            self._stop(owner, action)
        if isinstance(action, ReleaseTask):
            owner.releases.setdefault(action.host, set()).add(action.task)
        if isinstance(action, SendToShard):
            self.outbox.append(action.message)
        if isinstance(action, LogDecision):
            self.decisions.append(action)
        if isinstance(action, Reply):
            self.replies.append((action.reply_to, action.message))
            self._note_view(action.message)
        assert not isinstance(action, StepDown), action

    def _note_view(self, view: Any) -> None:
        if getattr(view, 'kind', '') != 'job-view':
            return
        if self.specs[view.job_id].job_class is JobClass.QUICK:
            return
        if view.state not in ('not-run', 'unknown'):
            self.accepted.add(view.job_id)

    def _send_start(self, owner: SimulatedOwner, action: StartTask) -> None:
        reading = owner.readings[action.host]
        if owner.incarnations[action.host] != action.incarnation:
            self.feed(StartNotSent(action.host, action.task, 'restarted'))
            return
        clock = reading.clock + self.now - reading.received_at
        lease_clock = compute_task_lease_deadline(reading)
        if action.lease_ms:
            lease_clock = min(lease_clock, clock + action.lease_ms)
        self.starts.append(
            StartRequest(
                action.task,
                action.host,
                owner.state.epoch,
                action.incarnation,
                min(clock + START_WINDOW_MS, lease_clock),
                lease_clock,
                action.demand,
                renewable=not action.lease_ms,
            )
        )

    def _stop(self, owner: SimulatedOwner, action: StopTask) -> None:
        worker = self.workers[action.host]
        worker.expire_leases(self.now)
        task = worker.tasks.get(action.task)
        if (
            owner.state.epoch < worker.highest_epoch
            or task is None
            or task.ended
        ):
            return
        worker.end(action.task, TaskOutcome.STOPPED)

    def deliver_start(self, number: int, lose_reply: bool) -> None:
        """Deliver one of the pending starts, with or without its reply."""
        request = self.starts.pop(number % len(self.starts))
        host = request.shard
        if (
            host in self.partitioned_hosts
            and request.epoch == self.owner.state.epoch
        ):
            # The start stays pending and the owner gets no reply.
            self.starts.append(request)
            self.delay_start(-1)
            return
        worker = self.workers[host]
        reply = worker.start(replace(request, shard=self.name), self.now)
        if request.epoch != self.owner.state.epoch:
            return
        if lose_reply:
            self.feed(
                StartUnanswered(host, request.task, request.start_before_clock)
            )
            return
        self.feed(StartAnswered(host, request.task, reply, self.now))

    def delay_start(self, number: int) -> None:
        """Report a start as unanswered while it stays pending."""
        request = self.starts[number % len(self.starts)]
        if request.epoch == self.owner.state.epoch:
            self.feed(
                StartUnanswered(
                    request.shard, request.task, request.start_before_clock
                )
            )

    def duplicate_start(self, number: int) -> None:
        """Add a second copy of a pending start."""
        self.starts.append(self.starts[number % len(self.starts)])

    def sync(self, host: str, lose_reply: bool = False) -> None:
        """Make one sync call from the owner to a worker."""
        if host in self.partitioned_hosts:
            self.feed(HostSilent(host))
            return
        reply = self._call_sync(self.owner, host, lose_reply)
        if reply is None:
            self.feed(HostSilent(host))
            return
        self.feed(HostSynced(host, reply, self.now))

    def sync_previous_owner(self, host: str) -> None:
        """Let the previous owner renew leases within its grace period."""
        previous = self.previous_owner
        if previous is None or self.now >= previous.may_act_until:
            return
        if host in previous.readings:
            self._call_sync(previous, host, False)

    def _call_sync(
        self, owner: SimulatedOwner, host: str, lose_reply: bool
    ) -> SyncReply | None:
        reading = owner.readings.get(host)
        release = tuple(owner.releases.get(host, ()))
        reply = self.workers[host].sync(
            owner.state.epoch,
            compute_task_lease_deadline(reading) if reading else 0,
            owner.incarnations.get(host, ''),
            release,
            self.now,
        )
        if lose_reply:
            return None
        if owner is self.previous_owner and not reply.accepted:
            owner.may_act_until = 0
            return None
        owner.readings[host] = ClockReading(reply.clock, self.now)
        owner.incarnations[host] = reply.incarnation
        owner.releases[host] = owner.releases.get(host, set()) - set(release)
        return reply

    def commit(self, count: int) -> None:
        """Make the oldest unwritten records of the owner durable."""
        records = tuple(self.owner.unwritten_records[:count])
        del self.owner.unwritten_records[:count]
        self.journal.extend(records)
        if records:
            self.feed(RecordsDurable(records, self.now))

    def advance(self, elapsed_ms: int) -> None:
        """Advance the time of the owner and all workers."""
        self.now += elapsed_ms
        for worker in self.workers.values():
            worker.expire_leases(self.now)
        self.feed(Ticked(self.now))

    def submit(self, key: str, **fields: Any) -> str:
        """Submit a job and return its id."""
        fields.setdefault('demand', DEMAND)
        spec = JobSpec('t', key, **fields)
        job_id = make_job_id('t', key)
        self.specs.setdefault(job_id, spec)
        message = Submit(self.name, job_id, self.specs[job_id], 0.0)
        self.feed(RequestReceived(1, message, self.now))
        return job_id

    def cancel(self, job_id: str) -> None:
        """Ask the owner to cancel a job."""
        self.feed(RequestReceived(2, Cancel(self.name, job_id), self.now))

    def end_task(self, host: str, number: int, outcome: TaskOutcome) -> None:
        """End one of a worker's running tasks."""
        running = self.workers[host].list_running()
        if running:
            name = running[number % len(running)].request.task
            self.workers[host].end(name, outcome)

    def run_to_completion(self) -> None:
        """Remove all faults and finish every task that can finish."""
        self.partitioned_hosts.clear()
        for _ in range(60):
            while self.starts:
                self.deliver_start(0, False)
            for host in self.workers:
                self.sync(host)
            self.commit(len(self.owner.unwritten_records))
            for host, worker in self.workers.items():
                for _ in worker.list_running():
                    self.end_task(host, 0, TaskOutcome.FINISHED)
            self.advance(1_000)

    def check_capacity(self) -> None:
        """Check that no worker runs more than its capacity allows."""
        for worker in self.workers.values():
            total = NO_RESOURCES
            for task in worker.list_running():
                total = total + task.request.resources
            assert total.fits_in(CAPACITY), (worker.name, total)

    def check_no_concurrent_runs(self) -> None:
        """Check that no task index of a job runs on two workers at once."""
        places: dict[str, str] = {}
        for worker in self.workers.values():
            for task in worker.list_running():
                place = task.request.task.rpartition('.')[0]
                if '~' in place:
                    # Each attempt of a quick request has its own index.
                    place = place.partition('~')[0]
                assert place not in places, (place, worker.name, places)
                places[place] = worker.name

    def check_at_most_once(self) -> None:
        """Check that non-idempotent jobs have started at most once."""
        counts: dict[str, int] = {}
        for worker in self.workers.values():
            for name in worker.started:
                job_id = name.split('.')[0]
                counts[job_id] = counts.get(job_id, 0) + 1
        for job_id, spec in self.specs.items():
            if not spec.idempotent and spec.job_class is not JobClass.GANG:
                assert counts.get(job_id, 0) <= 1, (job_id, counts)

    def check_not_run(self) -> None:
        """Check that jobs reported as not run have never started."""
        for worker in self.workers.values():
            for name in worker.started:
                entry = self.owner.state.jobs.get(name.split('.')[0])
                assert entry is None or entry.state != 'not-run', entry
