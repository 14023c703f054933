"""Check of the records that workers write about their runs.

Events have a ``kind``, the time ``at_ms`` on the clock that all processes
share, the ``worker`` and its incarnation ``born``. The kinds are:

``born``
    A worker has started, with the ``pid`` of its process.
``killed``
    The soak is about to kill a worker's process; written by the soak.
``start``
    A run has started: ``task``, ``run``, ``epoch`` and the job's ``spec``.
``end``
    A run has ended: ``task``, ``run``, ``how`` and the ``number`` of the end.
``ack``
    An owner has acknowledged the ends up to the number ``cursor``.
``lapse``
    The worker's lease has expired.
``violation``
    The worker has seen a violation itself: ``text``.
``start-while-leaving``
    A run has started although the worker leaves: ``task`` and
    ``leaving_since_ms``.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from json import loads
from math import inf
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.core.workflows import split_step_task_id
from tests.soak.tenants import find_starts_over_cap

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class Run:
    """One run of a task on a worker.

    Parameters
    ----------
    number : int
        Number of the run among those of its task.
    ended_ms : float
        When it ended; infinite while it is present.
    how : str
        Kind of its end; empty while it is present or when its worker died.
    end_number : int
        Number of its end in the worker's list of ends.
    acknowledged_ms : float
        When its end was acknowledged; infinite if it never was.
    """

    task: str
    number: int
    worker: str
    epoch: int
    spec: str
    started_ms: float
    ended_ms: float = inf
    how: str = ''
    end_number: int = 0
    acknowledged_ms: float = inf


@dataclass(slots=True)
class Incarnation:
    """One incarnation of a worker.

    Parameters
    ----------
    died_ms : float
        When it lost its state; infinite while it is up.
    lapses_ms : list of float
        When its lease expired.
    """

    worker: str
    pid: int
    died_ms: float = inf
    runs: list[Run] = field(default_factory=list)
    lapses_ms: list[float] = field(default_factory=list)

    def find_run(self, task: str, number: int) -> Run | None:
        """Return the run that is present."""
        for run in self.runs:
            if (run.task, run.number) == (task, number) and not run.how:
                return run
        return None

    def die(self, at_ms: float) -> None:
        """Lose the state; runs that are present end."""
        if self.died_ms < inf:
            return
        self.died_ms = at_ms
        for run in self.runs:
            run.ended_ms = min(run.ended_ms, at_ms)

    def keeps_end(self, run: Run) -> bool:
        """Whether an end counts because an owner has acknowledged it.

        An end does not count if the lease expired before it was
        acknowledged: the owner may count the run as lost from then on.
        """
        if run.acknowledged_ms == inf:
            return False
        return not any(
            run.ended_ms <= lapse_ms <= run.acknowledged_ms
            for lapse_ms in self.lapses_ms
        )


class History:
    """What has happened on all workers.

    Parameters
    ----------
    events : iterable of dict
        The events of all workers and of the soak.
    """

    def __init__(self, events: Iterable[dict[str, Any]]) -> None:
        self.incarnations: dict[tuple[str, int], Incarnation] = {}
        self.starts_while_leaving: list[dict[str, Any]] = []
        self.violations: list[str] = []
        self._current: dict[str, Incarnation] = {}
        for event in sorted(events, key=lambda event: event['at_ms']):
            _EVENTS.find(event['kind'])(self, event)

    def list_runs(self) -> list[Run]:
        """Return all runs in order of their starts."""
        runs = [
            run
            for incarnation in self.incarnations.values()
            for run in incarnation.runs
        ]
        return sorted(runs, key=lambda run: run.started_ms)

    def begin_incarnation(self, event: dict[str, Any]) -> None:
        """Replace the current incarnation of a worker."""
        worker, pid = event['worker'], event['pid']
        previous = self._current.get(worker)
        if previous is not None:
            if previous.pid != pid and previous.died_ms == inf:
                self.violations.append(f'{worker} has ended unexpectedly')
            previous.die(event['at_ms'])
        incarnation = Incarnation(worker, pid)
        self._current[worker] = incarnation
        self.incarnations[worker, event['born']] = incarnation

    def find_current(self, worker: str) -> Incarnation | None:
        """Return the newest incarnation of a worker."""
        return self._current.get(worker)

    def find_incarnation(self, event: dict[str, Any]) -> Incarnation:
        """Return the incarnation that has written an event."""
        return self.incarnations[event['worker'], event['born']]


_EVENTS: Registry[str, Callable[[History, dict[str, Any]], None]] = Registry(
    'event kind'
)


@_EVENTS.register('born')
def _apply_birth(history: History, event: dict[str, Any]) -> None:
    history.begin_incarnation(event)


@_EVENTS.register('killed')
def _apply_kill(history: History, event: dict[str, Any]) -> None:
    incarnation = history.find_current(event['worker'])
    if incarnation is not None and incarnation.pid == event['pid']:
        incarnation.die(event['at_ms'])


@_EVENTS.register('start')
def _apply_start(history: History, event: dict[str, Any]) -> None:
    incarnation = history.find_incarnation(event)
    run = Run(
        event['task'],
        event['run'],
        event['worker'],
        event['epoch'],
        event['spec'],
        event['at_ms'],
    )
    # A process may write a line between the record of its kill and its end.
    run.ended_ms = incarnation.died_ms
    incarnation.runs.append(run)


@_EVENTS.register('end')
def _apply_end(history: History, event: dict[str, Any]) -> None:
    run = history.find_incarnation(event).find_run(event['task'], event['run'])
    if run is None:
        history.violations.append(f'{event["task"]} ended without a start')
        return
    run.ended_ms = min(run.ended_ms, event['at_ms'])
    run.how = event['how']
    run.end_number = event['number']


@_EVENTS.register('ack')
def _apply_acknowledgement(history: History, event: dict[str, Any]) -> None:
    for run in history.find_incarnation(event).runs:
        if run.how and run.end_number <= event['cursor']:
            run.acknowledged_ms = min(run.acknowledged_ms, event['at_ms'])


@_EVENTS.register('lapse')
def _apply_lapse(history: History, event: dict[str, Any]) -> None:
    history.find_incarnation(event).lapses_ms.append(event['at_ms'])


@_EVENTS.register('violation')
def _apply_violation(history: History, event: dict[str, Any]) -> None:
    history.violations.append(event['text'])


@_EVENTS.register('start-while-leaving')
def _apply_leaving_start(history: History, event: dict[str, Any]) -> None:
    history.starts_while_leaving.append(event)


def find_violations(history: History) -> list[str]:
    """Return the rules that starts have violated, with the evidence."""
    violations = list(history.violations)
    runs = history.list_runs()
    runs_by_task: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_task.setdefault(run.task, []).append(run)
    kept_ends = {
        id(run)
        for incarnation in history.incarnations.values()
        for run in incarnation.runs
        if run.how == 'done' and incarnation.keeps_end(run)
    }
    deaths_ms = {
        id(run): incarnation.died_ms
        for incarnation in history.incarnations.values()
        for run in incarnation.runs
    }
    done_ms = find_done_times(runs)
    for run in runs:
        others = [
            other for other in runs_by_task[run.task] if other is not run
        ]
        violations += _find_overlap(run, others)
        violations += _find_kept_end(run, others, kept_ends)
        violations += _find_excess_attempt(run, others, deaths_ms)
        violations += _find_unfinished_steps(run, done_ms)
    return violations


def find_done_times(runs: list[Run]) -> dict[str, float]:
    """Return when each task was done first.

    The members of a gang end together, so that the end of one stands for
    all, also if the worker of another one has died with its records.
    """
    done_ms: dict[str, float] = {}
    for run in runs:
        if run.how != 'done':
            continue
        for task in _list_members(run):
            done_ms[task] = min(done_ms.get(task, inf), run.ended_ms)
    return done_ms


def _list_members(run: Run) -> list[str]:
    """Return the tasks that are done when a run is done."""
    _, _, number, _ = split_step_task_id(run.task)
    step = loads(run.spec)[number] if run.spec else {}
    if not step.get('gang'):
        return [run.task]
    prefix = run.task.rpartition('.')[0]
    return [f'{prefix}.{index}' for index in range(step['count'])]


def _find_overlap(run: Run, others: list[Run]) -> list[str]:
    present = [
        other
        for other in others
        if other.started_ms <= run.started_ms < other.ended_ms
        and (other.started_ms, id(other)) < (run.started_ms, id(run))
    ]
    if not present:
        return []
    workers = [other.worker for other in present]
    details = '; '.join(_describe(other) for other in present)
    return [
        f'{run.task} started on {run.worker} while present on {workers} '
        f'({_describe(run)}; {details})'
    ]


def _find_kept_end(
    run: Run, others: list[Run], kept_ends: set[int]
) -> list[str]:
    return [
        f'{run.task} started after its end was acknowledged or before an end '
        f'that was acknowledged later ({_describe(run)}; {_describe(other)})'
        for other in others
        if id(other) in kept_ends and other.ended_ms < run.started_ms
    ]


def _find_excess_attempt(
    run: Run, others: list[Run], deaths_ms: dict[int, float]
) -> list[str]:
    """Return a start after the last attempt.

    A failure that was not acknowledged is lost with its worker.
    """
    failures = sum(
        other.how == 'failed'
        and other.ended_ms < run.started_ms
        and (
            other.acknowledged_ms < inf
            or deaths_ms[id(other)] > run.started_ms
        )
        for other in others
    )
    if failures < MAX_ATTEMPTS:
        return []
    return [f'{run.task} started after its last attempt ({_describe(run)})']


def _find_unfinished_steps(run: Run, done_ms: dict[str, float]) -> list[str]:
    job_id, occurrence, number, _ = split_step_task_id(run.task)
    steps = loads(run.spec)
    earlier_tasks = [
        f'{job_id}.{occurrence}.{earlier}.{index}'
        for earlier in steps[number].get('after', ())
        for index in range(steps[earlier]['count'])
    ]
    return [
        f'{run.task} started before {task} was done'
        for task in earlier_tasks
        if done_ms.get(task, inf) > run.started_ms
    ]


def _describe(run: Run) -> str:
    end = f'{run.how or "lost"} at {run.ended_ms:.0f}'
    if run.how and run.acknowledged_ms < inf:
        end += f', acknowledged at {run.acknowledged_ms:.0f}'
    return (
        f'run {run.number} of epoch {run.epoch // 1_000_000} on {run.worker} '
        f'from {run.started_ms:.0f}, {end}'
    )


def summarize(history: History) -> dict[str, Any]:
    """Return the counts and violations that tests ask for."""
    runs = history.list_runs()
    return {
        'violations': find_violations(history),
        'starts_while_leaving': history.starts_while_leaving,
        'starts_over_cap': find_starts_over_cap(runs),
        'finished': sorted(find_done_times(runs)),
        'started': sorted({run.task for run in runs}),
        'starts': len(runs),
        'failures': sum(run.how == 'failed' for run in runs),
        'running': sum(run.ended_ms == inf for run in runs),
    }
