"""Moves of runs away from workers on which they advance too slowly.

A move loses the work of a task that keeps no checkpoints, and the reason for
it may be wrong. Each task is therefore moved further apart each time, so that
it finishes on workers that are sound, whatever its estimate says.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.entries import MoveHistory
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.stops import stop_run

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

# A run may be moved after this multiple of the time that the task's last run
# had lasted when it was moved.
MOVE_SPACING_FACTOR = 2
# A run is moved if it needs more than this multiple of the time on another
# worker, plus the margin, to finish where it is.
MOVE_FACTOR = 1.5
MOVE_MARGIN_MS = 500
# Time to stop a run and start it on another worker.
MOVE_COST_MS = 1_000


def is_paused_as_slow(state: DispatchState, worker: str) -> bool:
    """Return whether a worker gets no new runs because it is slow."""
    period = state.slow_workers.get(worker)
    return period is not None and state.now < period.ends_at


def find_history(state: DispatchState, run: RunEntry) -> MoveHistory:
    """Return the earlier moves of a run's task, or of its gang."""
    if state.find_step(run.step).gang:
        return state.steps[run.step].moves
    return state.find_task(run.key.task).moves


def find_expected_ms(state: DispatchState, run: RunEntry) -> int:
    """Return how long a run should take; 0 if there is no estimate.

    What earlier runs of the task have shown goes before its estimate.
    """
    return max(run.expected_ms, find_history(state, run).shown_ms)


def can_be_judged(state: DispatchState, run: RunEntry) -> bool:
    """Return whether a run's progress may be a reason to move it.

    A best-effort task only gets processor time that other tasks leave.
    """
    return (
        run.phase is RunPhase.PRESENT
        and not run.stopping
        and not run.fills
        and run.speed.is_measured
        and run.step in state.steps
        and not state.find_step(run.step).long_running
    )


def move_run(
    state: DispatchState,
    run: RunEntry,
    elsewhere_ms: float,
    is_compared: bool,
    reason: str,
) -> Actions:
    """Stop a run, or its gang, if it would end sooner on another worker.

    Parameters
    ----------
    elsewhere_ms : float
        Expected duration of a whole run on another worker.
    is_compared : bool
        Whether other runs, or its own earlier progress, show that it is too
        slow. Its estimate alone moves each task only once.
    reason : str
        Why the run is too slow, for the log.
    """
    history = find_history(state, run)
    if not is_compared and history.count:
        return
    ran_ms = state.now - run.started_at
    if ran_ms < MOVE_SPACING_FACTOR * history.ran_ms:
        return
    if not _ends_sooner_elsewhere(state, run, elsewhere_ms):
        return
    if not _has_other_worker(state, run):
        return
    gang = state.find_step(run.step).gang
    runs = state.list_runs_of(run.step) if gang else [run]
    moves = MoveHistory(
        history.count + 1,
        ran_ms,
        run.speed.find_work_ms() or history.shown_ms,
        history.workers | {entry.worker for entry in runs},
    )
    if gang:
        state.update_step(run.step, moves=moves)
    else:
        state.tasks[run.key.task] = replace(
            state.find_task(run.key.task), moves=moves
        )
    yield LogEvent(
        'move',
        run.key.task,
        (
            ('run', run.key.run),
            ('worker', run.worker),
            ('moves', moves.count),
            ('ran_ms', ran_ms),
            ('percent', run.percent),
            ('still_ms', run.speed.still_ms),
            ('expected_ms', run.expected_ms),
            ('shown_ms', moves.shown_ms),
            ('elsewhere_ms', int(elsewhere_ms)),
            ('compared', is_compared),
        ),
    )
    for entry in runs:
        yield from stop_run(state, entry, reason)


def _ends_sooner_elsewhere(
    state: DispatchState, run: RunEntry, elsewhere_ms: float
) -> bool:
    left = 100 - run.percent
    stay_ms = left * 1000 / run.speed.highest_rate
    share = left / 100 if state.find_step(run.step).checkpointing else 1.0
    move_ms = elsewhere_ms * share + MOVE_COST_MS
    return stay_ms > MOVE_FACTOR * move_ms + MOVE_MARGIN_MS


def _has_other_worker(state: DispatchState, run: RunEntry) -> bool:
    """Return whether a worker is known on which the next run may start."""
    step = state.find_step(run.step)
    pool = state.find_queue_of(state.jobs[run.step.job_id]).pool
    return any(
        name != run.worker
        and entry.takes_starts
        and not entry.silent_since
        and not is_paused_as_slow(state, name)
        and entry.registration.pool == pool
        and (not step.label or step.label in entry.registration.labels)
        for name, entry in state.workers.items()
    )
