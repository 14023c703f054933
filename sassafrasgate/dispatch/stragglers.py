"""Detection of slow workers by the progress of their runs.

Estimates are too rough to judge a single run, so a run is compared with other
runs of its step if there are any. A run without any progress needs no
comparison. The members of a gang advance together, so their progress says
nothing about a single worker. Neither does that of a best-effort task, which
only gets processor time that other tasks leave.
"""

from __future__ import annotations

from dataclasses import replace
from statistics import median
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.entries import SlowPeriod
from sassafrasgate.dispatch.stops import stop_run
from sassafrasgate.dispatch.stops import stop_step_runs

if TYPE_CHECKING:
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

# Minimum time between two reports from which a rate is computed, and the time
# without progress after which a run counts as stalled. One percent of the
# longest usual task takes a sixth of the latter.
RATE_WINDOW_MS = 500
STALL_MS = 800
# Older rates are ignored.
MAX_RATE_AGE_MS = 2_500
# A worker below this fraction of the usual speed is slow.
SLOW_SHARE = 0.35
# Interval between two checks of all workers; rates change no faster.
CHECK_INTERVAL_MS = 400
# A worker is only judged if it has runs of this many steps, or a run that can
# be compared with runs on other workers.
MIN_STEPS = 2
INITIAL_PAUSE_MS = 2_500
MAX_PAUSE_MS = 10_000
# A run is moved if it needs more than this multiple of the time on another
# worker, plus the margin, to finish where it is.
MOVE_FACTOR = 1.5
MOVE_MARGIN_MS = 500
# Time to stop a run and start it on another worker.
MOVE_COST_MS = 1_000
# A run is moved once, without any comparison, if it has run for longer than
# its estimate plus the margin, and would still need more than this multiple
# of its estimate plus the cost of a move. Estimates are too low by a factor
# of up to five.
OVERDUE_FACTOR = 6
OVERDUE_MARGIN_MS = 2_000


def measure_progress(
    run: RunEntry, percent: int, received_at: int
) -> dict[str, Any]:
    """Return the fields of a run that change with a report of its progress.

    Parameters
    ----------
    percent : int
        Reported progress.
    received_at : int
        Owner's clock, in ms, when the report arrived.
    """
    changes: dict[str, Any] = {'percent': percent, 'percent_at': received_at}
    base = {'base_percent': percent, 'base_at': received_at}
    if not run.base_at:
        return changes | base
    window_ms = received_at - run.base_at
    gained = percent - run.base_percent
    if window_ms < (RATE_WINDOW_MS if gained else STALL_MS):
        return changes
    rate = {'rate': gained * 1000 / window_ms, 'rate_at': received_at}
    return changes | base | rate


def record_finished_run(state: DispatchState, run: RunEntry) -> None:
    """Record the rate of a finished run, to compare other runs with it."""
    ran_ms = max(1, state.now - run.started_at)
    state.step_rates[run.step] = 100_000 / ran_ms
    state.last_finish_at[run.worker] = state.now


def handle_stragglers(state: DispatchState) -> Actions:
    """Pause slow workers, and move runs that would end sooner elsewhere."""
    if state.now < state.stragglers_checked_at + CHECK_INTERVAL_MS:
        return
    state.stragglers_checked_at = state.now
    for worker in list(state.runs_by_worker):
        share = _compute_speed_share(state, worker)
        if share is None or share >= SLOW_SHARE:
            continue
        period = state.slow_workers.get(worker)
        if period is None or state.now >= period.ends_at:
            yield _pause_worker(state, worker, share, period)
        yield from _move_runs(state, worker)
    for run in list(state.runs.values()):
        if _is_overdue(state, run):
            yield from _move_overdue_run(state, run)
    for worker, period in list(state.slow_workers.items()):
        # The period is kept after its end so that the next one can be twice
        # as long.
        if state.now >= period.ends_at + period.duration_ms:
            del state.slow_workers[worker]


def is_paused_as_slow(state: DispatchState, worker: str) -> bool:
    """Return whether a worker gets no new runs because it is slow."""
    period = state.slow_workers.get(worker)
    return period is not None and state.now < period.ends_at


def _pause_worker(
    state: DispatchState, worker: str, share: float, period: SlowPeriod | None
) -> LogEvent:
    pause_ms = INITIAL_PAUSE_MS
    if period is not None:
        pause_ms = min(2 * period.duration_ms, MAX_PAUSE_MS)
    state.slow_workers[worker] = SlowPeriod(
        share, state.now + pause_ms, pause_ms
    )
    return LogEvent(
        'worker-slow',
        '',
        (
            ('worker', worker),
            ('share', round(share, 2)),
            ('runs', len(state.runs_by_worker.get(worker, ()))),
            ('pause_ms', pause_ms),
        ),
    )


def _compute_speed_share(state: DispatchState, worker: str) -> float | None:
    """Return a worker's fraction of the usual speed, or None if unknown."""
    shares: dict[StepKey, list[float]] = {}
    compared = 0
    stalled = 0
    for run in state.list_runs_on(worker):
        if not _is_comparable(state, run):
            continue
        usual = _find_usual_rate(state, run)
        compared += usual is not None
        stalled += run.rate == 0
        nominal = 100_000 / max(1, run.expected_ms)
        shares.setdefault(run.step, []).append(run.rate / (usual or nominal))
    if not shares:
        return None
    values = [value for found in shares.values() for value in found]
    if stalled == len(values):
        return 0.0
    if compared or len(shares) >= MIN_STEPS:
        return median(values)
    return None


def _is_comparable(state: DispatchState, run: RunEntry) -> bool:
    if run.phase is not RunPhase.PRESENT or run.stopping or run.fills:
        return False
    if run.rate < 0 or not _has_fresh_rate(state, run):
        return False
    if run.step not in state.steps:
        return False
    step = state.find_step(run.step)
    return not step.gang and not step.long_running


def _has_fresh_rate(state: DispatchState, run: RunEntry) -> bool:
    """Return whether a run's rate tells how it advances now.

    That of a run on a worker that does not respond is not known.
    """
    worker = state.workers.get(run.worker)
    if worker is None or worker.silent_since:
        return False
    return state.now - run.rate_at <= MAX_RATE_AGE_MS


def _find_usual_rate(state: DispatchState, run: RunEntry) -> float | None:
    """Return the usual rate of a step's tasks, or None if unknown.

    It is the median rate on other workers, or else the rate of the run of
    the step that finished last.
    """
    others = [
        other.rate
        for other in state.list_runs_of(run.step)
        if other.worker != run.worker
        and other.rate > 0
        and state.now - other.rate_at <= MAX_RATE_AGE_MS
    ]
    if others:
        return median(others)
    return state.step_rates.get(run.step)


def _move_runs(state: DispatchState, worker: str) -> Actions:
    for run in state.list_runs_on(worker):
        if run.stopping or run.phase is not RunPhase.PRESENT or run.fills:
            continue
        if run.step not in state.steps or run.rate < 0:
            continue
        step = state.find_step(run.step)
        if step.long_running or not _would_end_sooner_elsewhere(run, step):
            continue
        reason = f'worker {worker} is slow'
        if step.gang:
            yield from stop_step_runs(state, run.step, reason)
        else:
            yield from stop_run(state, run, reason)


def _is_overdue(state: DispatchState, run: RunEntry) -> bool:
    if state.now - run.started_at < run.expected_ms + OVERDUE_MARGIN_MS:
        return False
    if run.fills or not _has_fresh_rate(state, run):
        return False
    if run.stopping or run.phase is not RunPhase.PRESENT or run.rate < 0:
        return False
    if run.step not in state.steps or state.find_step(run.step).long_running:
        return False
    left_ms = (100 - run.percent) * 1000 / max(run.rate, 0.01)
    return left_ms > OVERDUE_FACTOR * (run.expected_ms + MOVE_COST_MS)


def _move_overdue_run(state: DispatchState, run: RunEntry) -> Actions:
    """Stop an overdue run, or its gang, so that it starts elsewhere.

    Its workers are paused unless a run has finished there in the meantime. A
    task or gang is moved once only: if the next run is as slow, the estimate
    is wrong.
    """
    gang = state.find_step(run.step).gang
    if gang:
        moved = state.steps[run.step].moved
        state.update_step(run.step, moved=True)
    else:
        task = state.find_task(run.key.task)
        moved = task.moved
        state.tasks[run.key.task] = replace(task, moved=True)
    if moved:
        return
    runs = state.list_runs_of(run.step) if gang else (run,)
    for worker in sorted({entry.worker for entry in runs}):
        finished_at = state.last_finish_at.get(worker, 0)
        if finished_at <= run.started_at and not is_paused_as_slow(
            state, worker
        ):
            yield _pause_worker(
                state, worker, 0.0, state.slow_workers.get(worker)
            )
    reason = f'it takes far longer than the expected {run.expected_ms} ms'
    for entry in runs:
        yield from stop_run(state, entry, reason)


def _would_end_sooner_elsewhere(run: RunEntry, step: Step) -> bool:
    left = 100 - run.percent
    stay_ms = left * 1000 / max(run.rate, 0.01)
    share = left / 100 if step.checkpointing else 1.0
    move_ms = run.expected_ms * share + MOVE_COST_MS
    return stay_ms > MOVE_FACTOR * move_ms + MOVE_MARGIN_MS
