"""State of one simulated worker: epochs, leases, tasks and a record."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from secrets import token_hex
from time import CLOCK_BOOTTIME
from time import clock_gettime_ns
from time import time_ns
from typing import Any

from anyio import Event
from msgspec import convert
from msgspec import DecodeError
from msgspec import ValidationError
from msgspec.json import decode
from xxhash import xxh3_128_hexdigest

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.tasks import CommandReply
from sassafrasgate.core.tasks import EndedTask
from sassafrasgate.core.tasks import RunningTask
from sassafrasgate.core.tasks import StartReply
from sassafrasgate.core.tasks import StartRequest
from sassafrasgate.core.tasks import StartStatus
from sassafrasgate.core.tasks import SyncReply
from sassafrasgate.core.tasks import SyncRequest
from sassafrasgate.core.tasks import TaskCommand
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.core.tasks import TaskUsage

MAX_INLINE_BYTES = 16 * 1024
MAX_START_RESULTS = 2_000
LOST_OUTCOME = 'lost'


@dataclass(frozen=True, slots=True)
class TaskPlan:
    """The behaviour of a simulated task, as its payload describes it.

    Parameters
    ----------
    run_ms : int
        Run time in ms.
    output : str
        Start of the output.
    output_bytes : int
        Minimum length of the output. The output is padded with a digest of
        the payload, so that outputs of different tasks differ.
    fail : bool
        Whether the task fails at the end of its run time.
    usage_factor : float
        Ratio of the resources that the task uses to those it reserved.
    """

    run_ms: int = 50
    output: str = ''
    output_bytes: int = 0
    fail: bool = False
    usage_factor: float = 1.0


def read_plan(payload: bytes) -> tuple[TaskPlan, bytes]:
    """Return the plan and the output of a payload."""
    try:
        raw = decode(payload)
        if not isinstance(raw, dict) or not raw:
            return TaskPlan(), payload
        if not raw.keys() <= TaskPlan.__dataclass_fields__.keys():
            return TaskPlan(), payload
        plan = convert(raw, TaskPlan)
    except (DecodeError, ValidationError):
        return TaskPlan(), payload
    output = plan.output.encode()
    missing = max(0, plan.output_bytes - len(output))
    filler = xxh3_128_hexdigest(payload).encode()
    return plan, output + (filler * (missing // 32 + 1))[:missing]


@dataclass(frozen=True, slots=True)
class TaskRecord:
    """One start on this worker, which tests of faults count.

    Times are wall-clock times in ms; ``ended_ms`` is 0 while the task runs.
    The outcome is a `TaskOutcome`, or ``lost`` if the worker restarted.
    """

    task: str
    shard: str
    epoch: int
    incarnation: str
    resources: Resources
    started_ms: int
    ended_ms: int = 0
    outcome: str = ''
    checkpoints: int = 0


@dataclass(frozen=True, slots=True)
class Overload:
    """A time at which the reserved resources exceeded the capacity."""

    at_ms: int
    reserved: Resources


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """The tasks and refusals of a worker over all its incarnations."""

    incarnation: str
    capacity: Resources
    peak: Resources
    overloads: tuple[Overload, ...]
    tasks: tuple[TaskRecord, ...]
    refusals: dict[str, int]


@dataclass(frozen=True, slots=True)
class WorkerFaults:
    """Faults of a simulated worker.

    Parameters
    ----------
    fail_all : bool
        Whether every task that starts fails at once.
    leaving : bool
        Whether the worker reports that it is leaving and refuses starts.
    enforce_room : bool
        Whether the worker refuses starts that exceed its free capacity.
    usage_factor : float
        Factor on the resource usage of all tasks.
    usage_lag_ms : int
        Age of usage reports in ms.
    """

    fail_all: bool = False
    leaving: bool = False
    enforce_room: bool = False
    usage_factor: float = 1.0
    usage_lag_ms: int = 0


@dataclass(slots=True)
class _Task:
    request: StartRequest
    plan: TaskPlan
    output: bytes
    record_index: int
    started_clock: int
    end_clock: int
    lease_clock: int
    fails: bool
    cpu_limit: int | None = None


@dataclass(frozen=True, slots=True)
class _StartResult:
    """The result of a start, kept so that repeats of it get the same reply."""

    start_before_clock: int
    refusal: str = ''
    ended: EndedTask | None = None


@dataclass(frozen=True, slots=True)
class _UnreleasedTask:
    shard: str
    ended: EndedTask
    output: bytes
    start_before_clock: int


@dataclass(slots=True)
class Worker:
    """One simulated worker.

    Every public method first advances the state to the current time, so that
    leases that expired while the process was suspended take effect before
    the call.
    """

    capacity: Resources
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    changed: Event = field(default_factory=Event)
    incarnation: str = ''
    _base_ms: int = 0
    _wall_base_ms: int = 0
    _epochs: dict[str, int] = field(default_factory=dict)
    _running: dict[str, _Task] = field(default_factory=dict)
    _ended: dict[str, _UnreleasedTask] = field(default_factory=dict)
    _start_results: dict[str, _StartResult] = field(default_factory=dict)
    _usage_factors: list[tuple[int, float]] = field(default_factory=list)
    _records: list[TaskRecord] = field(default_factory=list)
    _overloads: list[Overload] = field(default_factory=list)
    _refusals: Counter[str] = field(default_factory=Counter)
    _reserved: Resources = NO_RESOURCES
    _peak: Resources = NO_RESOURCES

    def __post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Begin a new incarnation without tasks, which accepts any epoch."""
        if self.incarnation:
            now = self.advance()
            for task in self._running.values():
                self._record_end(task, LOST_OUTCOME, now)
        self.incarnation = token_hex(8)
        self._base_ms = clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000
        self._wall_base_ms = time_ns() // 1_000_000
        self._epochs.clear()
        self._running.clear()
        self._ended.clear()
        self._start_results.clear()
        self._usage_factors = [(0, self.faults.usage_factor)]
        self._reserved = NO_RESOURCES
        self._notify_change()

    def _read_clock(self) -> int:
        return clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000 - self._base_ms

    def advance(self) -> int:
        """End the tasks that are due; return the clock in ms."""
        now = self._read_clock()
        for name, task in list(self._running.items()):
            if now >= task.lease_clock:
                # If the lease expired while the process was suspended, the
                # task ended at the deadline: it did nothing afterwards.
                self._end(name, TaskOutcome.LAPSED, task.lease_clock)
            elif now >= task.end_clock:
                self._end(
                    name,
                    TaskOutcome.FAILED if task.fails else TaskOutcome.FINISHED,
                    now,
                )
        return now

    def compute_wait_ms(self) -> int | None:
        """Return the time in ms until the next task ends, None for no task."""
        now = self.advance()
        due = [
            min(task.lease_clock, task.end_clock)
            for task in self._running.values()
        ]
        return min(due) - now if due else None

    def change_faults(self, changes: dict[str, Any]) -> None:
        """Set the given faults; the others keep their values."""
        now = self.advance()
        names = WorkerFaults.__dataclass_fields__
        known = {name: getattr(self.faults, name) for name in names}
        known.update({k: v for k, v in changes.items() if k in names})
        self.faults = convert(known, WorkerFaults)
        self._usage_factors.append((now, self.faults.usage_factor))
        self._notify_change()

    def start(self, request: StartRequest) -> StartReply:
        """Start a task, or repeat the reply to an earlier start of its id."""
        now = self.advance()
        if (reply := self._find_start_reply(request.task)) is not None:
            return replace(reply, clock=now)
        if reason := self._find_refusal(request, now):
            self._refusals[reason] += 1
            self._keep_start_result(
                request.task, _StartResult(request.start_before_clock, reason)
            )
            return self._refuse(reason, now)
        self._epochs[request.shard] = request.epoch
        plan, output = read_plan(request.payload)
        fails = plan.fail or self.faults.fail_all
        run_ms = 0 if self.faults.fail_all else plan.run_ms
        self._running[request.task] = _Task(
            request,
            plan,
            output,
            len(self._records),
            now,
            now + max(1, run_ms),
            request.lease_clock,
            fails,
        )
        self._records.append(
            TaskRecord(
                request.task,
                request.shard,
                request.epoch,
                self.incarnation,
                request.resources,
                self._wall_base_ms + now,
            )
        )
        self._reserve(request.resources, now)
        self._notify_change()
        return StartReply(StartStatus.STARTED, self.incarnation, now)

    def find_start(self, task: str) -> StartReply | None:
        """Return the current reply to an earlier start, None if unknown."""
        now = self.advance()
        reply = self._find_start_reply(task)
        return None if reply is None else replace(reply, clock=now)

    def _find_start_reply(self, task: str) -> StartReply | None:
        if task in self._running:
            return StartReply(StartStatus.STARTED, self.incarnation, 0)
        if task in self._ended:
            return StartReply(
                StartStatus.ENDED,
                self.incarnation,
                0,
                ended=self._ended[task].ended,
            )
        if (result := self._start_results.get(task)) is None:
            return None
        if result.ended is not None:
            return StartReply(
                StartStatus.ENDED, self.incarnation, 0, ended=result.ended
            )
        return self._refuse(result.refusal, 0)

    def _refuse(self, reason: str, now: int) -> StartReply:
        return StartReply(
            StartStatus.REFUSED, self.incarnation, now, reason=reason
        )

    def _find_refusal(self, request: StartRequest, now: int) -> str:
        if request.incarnation != self.incarnation:
            return 'other incarnation'
        if request.epoch < self._epochs.get(request.shard, 0):
            return 'stale epoch'
        if now >= min(request.start_before_clock, request.lease_clock):
            return 'deadline passed'
        if self.faults.leaving:
            return 'leaving'
        wanted = self._reserved + request.resources
        if self.faults.enforce_room and not wanted.fits_in(self.capacity):
            return 'no room'
        return ''

    def _keep_start_result(self, task: str, result: _StartResult) -> None:
        """Keep a result while a duplicate of the start could be accepted.

        Duplicates that arrive after ``start_before_clock`` are refused for
        their deadline, so that older results can be dropped.
        """
        self._start_results[task] = result
        if len(self._start_results) <= MAX_START_RESULTS:
            return
        now = self._read_clock()
        self._start_results = {
            name: kept
            for name, kept in self._start_results.items()
            if kept.start_before_clock > now
        }

    def accept_epoch(self, shard: str, epoch: int) -> bool:
        """Return whether an epoch is current; store it if it is higher."""
        self.advance()
        if epoch < self._epochs.get(shard, 0):
            return False
        if epoch > self._epochs.get(shard, 0):
            self._epochs[shard] = epoch
            self._notify_change()
        return True

    def sync(self, request: SyncRequest) -> None:
        """Renew the leases of the shard's tasks and release ended ones."""
        self.advance()
        if request.incarnation in ('', self.incarnation):
            for task in self._running.values():
                if task.request.shard != request.shard:
                    continue
                if task.request.renewable:
                    # Calls may arrive out of order; the owner relies on the
                    # latest deadline that it has sent.
                    task.lease_clock = max(
                        task.lease_clock, request.lease_clock
                    )
        for name in request.release:
            ended = self._ended.get(name)
            if ended is None or ended.shard != request.shard:
                continue
            del self._ended[name]
            short = replace(ended.ended, output=b'')
            self._keep_start_result(
                name, _StartResult(ended.start_before_clock, ended=short)
            )

    def build_sync_reply(self, request: SyncRequest) -> SyncReply:
        """Return the reply to a sync from the current state."""
        now = self.advance()
        epoch = self._epochs.get(request.shard, 0)
        leaving = self.faults.leaving
        if request.epoch < epoch:
            return SyncReply(False, self.incarnation, now, epoch, leaving)
        known = set(request.known)
        tasks = [
            task
            for task in self._running.values()
            if task.request.shard == request.shard
        ]
        return SyncReply(
            True,
            self.incarnation,
            now,
            epoch,
            leaving,
            tuple(
                RunningTask(
                    task.request.task,
                    task.request.shard,
                    task.request.epoch,
                    task.request.resources,
                    task.lease_clock,
                )
                for task in tasks
            ),
            tuple(
                ended.ended
                for name, ended in self._ended.items()
                if ended.shard == request.shard and name not in known
            ),
            tuple(self._report_usage(tasks, now)),
        )

    def _report_usage(self, tasks: list[_Task], now: int) -> list[TaskUsage]:
        lag = self.faults.usage_lag_ms
        seen_at = now - lag
        factor = next(
            (
                factor
                for since, factor in reversed(self._usage_factors)
                if since <= seen_at
            ),
            self._usage_factors[0][1],
        )
        reports = []
        for task in tasks:
            if task.started_clock > seen_at:
                continue
            scale = factor * task.plan.usage_factor
            cpu = int(task.request.resources.millicores * scale)
            if task.cpu_limit is not None:
                cpu = min(cpu, task.cpu_limit)
            memory = int(task.request.resources.memory_mb * scale)
            reports.append(TaskUsage(task.request.task, cpu, memory, lag))
        return reports

    def find_output(self, task: str) -> bytes | None:
        """Return an ended task's output until it is released."""
        self.advance()
        ended = self._ended.get(task)
        return None if ended is None else ended.output

    def command(self, name: str, task: str, request: TaskCommand) -> str:
        """Carry out a command; return the reason of a refusal, or ''."""
        if not self.accept_epoch(request.shard, request.epoch):
            return 'stale epoch'
        running = self._running.get(task)
        if running is None or running.request.shard != request.shard:
            return 'not running'
        if name == 'stop':
            self._end(task, TaskOutcome.STOPPED, self._read_clock())
        elif name == 'throttle':
            running.cpu_limit = request.millicores
        else:
            record = self._records[running.record_index]
            self._records[running.record_index] = replace(
                record, checkpoints=record.checkpoints + 1
            )
        return ''

    def build_command_reply(self, reason: str) -> CommandReply:
        """Return the reply to a command."""
        now = self.advance()
        return CommandReply(not reason, self.incarnation, now, reason)

    def build_record(self) -> WorkerRecord:
        """Return the record of the worker, which tests of faults evaluate."""
        self.advance()
        return WorkerRecord(
            self.incarnation,
            self.capacity,
            self._peak,
            tuple(self._overloads),
            tuple(self._records),
            dict(self._refusals),
        )

    def _reserve(self, resources: Resources, now: int) -> None:
        self._reserved = self._reserved + resources
        self._peak = self._peak.take_maximum(self._reserved)
        if not self._reserved.fits_in(self.capacity):
            self._overloads.append(
                Overload(self._wall_base_ms + now, self._reserved)
            )

    def _end(self, name: str, outcome: TaskOutcome, clock: int) -> None:
        task = self._running.pop(name)
        self._reserved = self._reserved - task.request.resources
        finished = outcome is TaskOutcome.FINISHED
        output = task.output if finished else b''
        failed = outcome is TaskOutcome.FAILED
        ended = EndedTask(
            name,
            outcome,
            'the simulated task failed' if failed else '',
            len(output),
            xxh3_128_hexdigest(output),
            output if len(output) <= MAX_INLINE_BYTES else b'',
        )
        self._ended[name] = _UnreleasedTask(
            task.request.shard,
            ended,
            output,
            task.request.start_before_clock,
        )
        self._record_end(task, outcome, clock)
        self._notify_change()

    def _record_end(self, task: _Task, outcome: str, clock: int) -> None:
        self._records[task.record_index] = replace(
            self._records[task.record_index],
            ended_ms=self._wall_base_ms + clock,
            outcome=outcome,
        )

    def _notify_change(self) -> None:
        self.changed.set()
        self.changed = Event()
