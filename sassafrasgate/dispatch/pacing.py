"""Pace of best-effort tasks beside latency-critical tasks.

Best-effort tasks reserve no processor time, but they slow down
latency-critical tasks on the same worker. Their pace, in percent of full
speed, is controlled by the measured tail latency of those tasks.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import PaceRun
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.events import PaceAnswered
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

FULL_PACE_PERCENT = 100
UNKNOWN_PACE_PERCENT = -1
# Pace of a best-effort task that starts beside a latency-critical task.
INITIAL_PACE_PERCENT = 25
PACE_STEP_PERCENT = 25
# Tail latency, as a fraction of its target, from which best-effort tasks are
# stopped, and up to which their pace may be raised. The latency follows a
# change of the pace within seconds.
STOP_LATENCY_SHARE = 0.8
RAISE_LATENCY_SHARE = 0.6
RAISE_INTERVAL_MS = 1_500
# An older latency says nothing about the current pace.
MAX_LATENCY_AGE_MS = 2_500
# An unanswered call is repeated after this time.
PACE_RETRY_MS = 500


def choose_initial_pace(state: DispatchState, worker: str, fills: bool) -> int:
    """Return the initial pace of a run, in percent."""
    if fills and worker in state.latency_critical_runs:
        return INITIAL_PACE_PERCENT
    return FULL_PACE_PERCENT


def adjust_paces(state: DispatchState) -> Actions:
    """Adjust the pace of best-effort tasks beside latency-critical tasks."""
    for worker in state.latency_critical_runs:
        runs = state.list_runs_on(worker)
        best_effort = [run for run in runs if run.fills and not run.stopping]
        if not best_effort:
            continue
        pace = _choose_pace(state, runs, best_effort)
        if pace is not None:
            yield from _set_pace(state, worker, best_effort, pace)
    yield from _restore_paces(state)
    yield from _send_paces(state)


def _choose_pace(
    state: DispatchState, runs: list[RunEntry], best_effort: list[RunEntry]
) -> int | None:
    """Return the new pace of a worker's best-effort tasks; None to keep it."""
    latency_critical = [run for run in runs if run.target_ms]
    fresh = [
        run
        for run in latency_critical
        if state.now - run.load_at <= MAX_LATENCY_AGE_MS
    ]
    latency_share = max(
        (run.load / run.target_ms for run in fresh), default=0.0
    )
    pace = min(run.pace for run in best_effort)
    if latency_share >= STOP_LATENCY_SHARE:
        return 0
    changed_at = max(run.paced_at for run in best_effort)
    measured = [run for run in fresh if run.load_at > changed_at]
    if latency_share > RAISE_LATENCY_SHARE or len(measured) < len(
        latency_critical
    ):
        return None
    if state.now - changed_at < RAISE_INTERVAL_MS:
        return None
    return min(FULL_PACE_PERCENT, pace + PACE_STEP_PERCENT)


def _set_pace(
    state: DispatchState, worker: str, best_effort: list[RunEntry], pace: int
) -> Actions:
    changed = [run for run in best_effort if run.pace != pace]
    for run in changed:
        state.update_run(run.place, pace=pace, paced_at=state.now)
        state.paced_runs.add(run.place)
    if changed:
        yield LogEvent(
            'pace',
            '',
            (
                ('worker', worker),
                ('percent', pace),
                ('runs', len(changed)),
                (
                    'tail_latencies_ms',
                    ','.join(
                        f'{run.load}/{run.target_ms}'
                        for run in state.list_runs_on(worker)
                        if run.target_ms
                    ),
                ),
            ),
        )


def _restore_paces(state: DispatchState) -> Actions:
    """Set full pace where no latency-critical task is left."""
    for place in state.paced_runs:
        run = state.runs.get(place)
        if run is None or run.worker in state.latency_critical_runs:
            continue
        if run.pace != FULL_PACE_PERCENT:
            yield from _set_pace(state, run.worker, [run], FULL_PACE_PERCENT)


def _send_paces(state: DispatchState) -> Actions:
    """Send paces that the worker has not confirmed."""
    for place in list(state.paced_runs):
        run = state.runs.get(place)
        if run is None or run.stopping:
            state.paced_runs.discard(place)
            continue
        if run.pace == run.confirmed_pace:
            if run.pace == FULL_PACE_PERCENT:
                state.paced_runs.discard(place)
            continue
        if run.phase is not RunPhase.PRESENT:
            continue
        if state.now - run.pace_sent_at < PACE_RETRY_MS:
            continue
        state.update_run(place, pace_sent_at=state.now)
        yield PaceRun(run.worker, run.key, run.pace)


@EVENT_HANDLERS.register(PaceAnswered)
def handle_pace_reply(state: DispatchState, event: PaceAnswered) -> Actions:
    """Record the pace that a worker has applied."""
    run = state.find_run(event.worker, event.run)
    if run is not None:
        state.update_run(
            run.place, confirmed_pace=event.percent, pace_sent_at=0
        )
    yield from ()
