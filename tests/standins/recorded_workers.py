"""A simulated worker in real time that records what happens to its runs."""

from __future__ import annotations

from os import getpid
from time import time_ns
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import StartRefusal
from tests.dispatch.simulation import Rules
from tests.dispatch.simulation import SimCluster
from tests.dispatch.simulation import SimWorker
from tests.standins.gangs import GangOutcome
from tests.standins.worker_records import read_shared_clock_ms

if TYPE_CHECKING:
    from random import Random

    from sassafrasgate.core.resources import Resources
    from sassafrasgate.core.workflows import RunReply
    from sassafrasgate.core.workflows import WorkerReport
    from sassafrasgate.dispatch.actions import StartRun
    from tests.dispatch.simulation import SimRun
    from tests.standins.gangs import GangDirectory
    from tests.standins.worker_records import RecordFile

# A worker shortens longer leases to this length.
HOLD_MAX_MS = 6_000
FIRST_CLOCK_MS = 1_000
END_KIND_NAMES = {
    EndKind.FINISHED: 'done',
    EndKind.FAILED: 'failed',
    EndKind.STOPPED: 'stopped',
    EndKind.LAPSED: 'lapsed',
    EndKind.PEER_ENDED: 'broken',
    EndKind.INCOMPLETE_GANG: 'alone',
}


class UncheckedRules(Rules):
    """Rules of a single worker.

    One worker does not know the runs of the others. `tests.soak.histories`
    checks the records of all of them.
    """

    def check_start(self, task: str, worker: str) -> None:
        """Accept any start."""

    def check_due(self, task: str, now: int) -> None:
        """Accept any time; the workers have a clock of their own."""


class RecordedWorker(SimWorker):
    """A worker that records its starts, ends, acknowledgements and lapses.

    Parameters
    ----------
    name : str
        Id of the worker.
    random : Random
        Source for the durations and failures of the runs.
    capacity : Resources
        Resources of the worker.
    record : RecordFile
        Receives the events.
    gangs : GangDirectory
        Members of gangs on all workers.
    """

    def __init__(
        self,
        name: str,
        random: Random,
        capacity: Resources,
        record: RecordFile,
        gangs: GangDirectory,
    ) -> None:
        self._record = record
        self._gangs = gangs
        self._now = 0
        self._began_ms = read_shared_clock_ms()
        self._born_ms = time_ns() // 1_000_000
        self._ended_gangs: dict[tuple[str, int], GangOutcome] = {}
        super().__init__(name, UncheckedRules(), random, capacity)

    def read_time_ms(self) -> int:
        """Return the time since the process has started."""
        return int(read_shared_clock_ms() - self._began_ms)

    def write(self, kind: str, at_ms: float, **fields: Any) -> None:
        """Record an event at a time since the start of the process."""
        self._record.append(
            kind,
            self._began_ms + at_ms,
            worker=self.name,
            born=self.incarnation_ms,
            **fields,
        )

    def restart(self, now: int) -> None:
        """Lose the whole state and begin a new incarnation."""
        for run in list(getattr(self, 'runs', {}).values()):
            self._gangs.discard(run.task, run.run)
        super().restart(now)
        self.incarnation_ms = self._born_ms + now
        self._has_lapsed = True
        self._acknowledged = 0
        self._ended_gangs.clear()
        self.write('born', now, pid=getpid())

    def advance(self, now: int) -> bool:
        """End runs that are due; return whether any has ended."""
        self._now = now
        if not self._has_lapsed and self.clock(now) >= self.deadline:
            self._has_lapsed = True
            self.write('lapse', self._find_lapse_time())
        return super().advance(now)

    def _find_lapse_time(self) -> float:
        since_ms = (self.deadline - FIRST_CLOCK_MS) / self.clock_rate
        return self.restarted_at + since_ms

    def _end(self, run: SimRun, how: EndKind, checkpoint: str = '') -> None:
        at_ms = float(self._now)
        if how is EndKind.LAPSED:
            at_ms = min(at_ms, self._find_lapse_time())
        if run.gang_size:
            with self._gangs.lock():
                outcome = self._gangs.find_outcome(run.task, run.run)
                self._gangs.discard(run.task, run.run)
            if outcome is not None:
                how = _find_member_end(run, outcome)
                at_ms = outcome.at_ms - self._began_ms
        super()._end(run, how, checkpoint)
        self.write(
            'end',
            at_ms,
            task=run.task,
            run=run.run,
            how=END_KIND_NAMES[how],
            number=self.last_end_number,
        )

    def hold(
        self, now: int, epoch: int, acknowledged: int, deadline: int
    ) -> WorkerReport | StartRefusal:
        """Carry out a hold call."""
        deadline = self._limit_deadline(now, deadline)
        result = super().hold(now, epoch, acknowledged, deadline)
        if isinstance(result, StartRefusal):
            return result
        self._has_lapsed = self.clock(now) >= self.deadline
        cursor = min(acknowledged, self.last_end_number)
        if cursor > self._acknowledged:
            self._acknowledged = cursor
            self.write('ack', now, cursor=cursor)
        return result

    def start(
        self, now: int, epoch: int, command: StartRun, deadline: int
    ) -> RunReply:
        """Carry out a start call."""
        self.advance(now)
        key = (command.run.task, command.run.run)
        known = key in self.runs
        deadline = self._limit_deadline(now, deadline)
        reply = super().start(now, epoch, command, deadline)
        if reply.refusal is not None:
            return reply
        self._has_lapsed = self.clock(now) >= self.deadline
        if known:
            return reply
        if self.runs[key].gang_size:
            with self._gangs.lock():
                self._gangs.add(*key, self.incarnation_ms)
        self.write(
            'start',
            now,
            task=command.run.task,
            run=command.run.run,
            spec=command.payload,
            epoch=epoch,
        )
        return reply

    def _limit_deadline(self, now: int, deadline: int) -> int:
        return min(deadline, self.clock(now) + HOLD_MAX_MS)

    def advance_gangs(self) -> None:
        """Decide the outcome of gangs whose member here is due."""
        now = self.read_time_ms()
        for key, run in list(self.runs.items()):
            if not run.gang_size:
                continue
            if now >= run.ends_at and self.clock(now) < self.deadline:
                failed_task = run.task if run.fails else ''
                outcome = GangOutcome(failed_task, self._began_ms + now)
                self._gangs.end(*key, run.gang_size, outcome)
            found = self._gangs.find_outcome(*key)
            if found is not None:
                self._ended_gangs[key] = found
                run.end_by(now)

    def find_gang_outcome(self, run: SimRun) -> GangOutcome | None:
        """Return the outcome of a run's gang, as far as it is known."""
        return self._ended_gangs.get((run.task, run.run))


def _find_member_end(run: SimRun, outcome: GangOutcome) -> EndKind:
    if not outcome.failed_task:
        return EndKind.FINISHED
    if outcome.failed_task == run.task:
        return EndKind.FAILED
    return EndKind.PEER_ENDED


class RecordedCluster(SimCluster):
    """The one worker of a process; other processes have the others.

    Parameters
    ----------
    worker : RecordedWorker
        The worker.
    """

    def __init__(self, worker: RecordedWorker) -> None:
        super().__init__(seed=1, workers=0)
        self.worker = worker
        self.workers[worker.name] = worker

    def advance(self) -> None:
        """Advance the worker to the present."""
        self.worker.advance_gangs()
        self.run(self.worker.read_time_ms())

    def _is_progressing(self, worker: SimWorker, run: SimRun) -> bool:
        if not run.gang_size:
            return True
        return self.worker.find_gang_outcome(run) is not None

    def _finish(self, worker: SimWorker, run: SimRun) -> None:
        outcome = self.worker.find_gang_outcome(run)
        if outcome is not None:
            worker.finish(run, _find_member_end(run, outcome))
            return
        how = EndKind.FAILED if run.fails else EndKind.FINISHED
        worker.finish(run, how)
