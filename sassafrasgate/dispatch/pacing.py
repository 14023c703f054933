"""Tasks that fill what others leave, beside tasks that serve users.

Filling tasks take no reserved processor time, but they slow down what serves
beside them. They work at a pace that follows the measured tail latency.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import PaceRun
from sassafrasgate.dispatch.events import PaceAnswered
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.state import RunPhase

if TYPE_CHECKING:
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.dispatch.state import RunEntry

FULL_PACE_PERCENT = 100
UNKNOWN_PACE_PERCENT = -1
# Of a filling task that starts beside one that serves.
INITIAL_PACE_PERCENT = 25
PACE_STEP_PERCENT = 25
# Share of its target from which a tail latency stops the filling tasks, and
# up to which they may work more. Their effect changes within seconds.
STOP_LATENCY_SHARE = 0.8
RAISE_LATENCY_SHARE = 0.6
RAISE_INTERVAL_MS = 1_500
# A latency that is older says nothing about the present pace.
MAX_LATENCY_AGE_MS = 2_500
# A call without an answer is made again after this time.
PACE_RETRY_MS = 500


def choose_initial_pace(state: DispatchState, worker: str, fills: bool) -> int:
    """Return the pace, in percent, at which a run is to begin."""
    if fills and worker in state.latency_critical_runs:
        return INITIAL_PACE_PERCENT
    return FULL_PACE_PERCENT


def adjust_paces(state: DispatchState) -> Actions:
    """Change the pace of filling tasks where others serve beside them."""
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
    """Return the new pace of a worker's filling tasks; None to keep it."""
    latency_critical = [run for run in runs if run.target_ms]
    fresh = [
        run
        for run in latency_critical
        if state.now - run.load_at <= MAX_LATENCY_AGE_MS
    ]
    strain = max((run.load / run.target_ms for run in fresh), default=0.0)
    pace = min(run.pace for run in best_effort)
    if strain >= STOP_LATENCY_SHARE:
        return 0
    changed_at = max(run.paced_at for run in best_effort)
    measured = [run for run in fresh if run.load_at > changed_at]
    if strain > RAISE_LATENCY_SHARE or len(measured) < len(latency_critical):
        return None
    if state.now - changed_at < RAISE_INTERVAL_MS:
        return None
    return min(FULL_PACE_PERCENT, pace + PACE_STEP_PERCENT)


def _set_pace(
    state: DispatchState, worker: str, best_effort: list[RunEntry], pace: int
) -> Actions:
    changed = [run for run in best_effort if run.pace != pace]
    for run in changed:
        state.update_run(run.key, pace=pace, paced_at=state.now)
        state.paced_runs.add(run.key)
    if changed:
        yield LogEvent(
            'pace',
            '',
            (
                ('worker', worker),
                ('percent', pace),
                ('runs', len(changed)),
                (
                    'tails_ms',
                    ','.join(
                        f'{run.load}/{run.target_ms}'
                        for run in state.list_runs_on(worker)
                        if run.target_ms
                    ),
                ),
            ),
        )


def _restore_paces(state: DispatchState) -> Actions:
    """Let filling tasks work at full pace where nothing serves any more."""
    for key in state.paced_runs:
        run = state.runs.get(key)
        if run is None or run.worker in state.latency_critical_runs:
            continue
        if run.pace != FULL_PACE_PERCENT:
            yield from _set_pace(state, run.worker, [run], FULL_PACE_PERCENT)


def _send_paces(state: DispatchState) -> Actions:
    """Send what a worker has not confirmed yet."""
    for key in list(state.paced_runs):
        run = state.runs.get(key)
        if run is None or run.stopping:
            state.paced_runs.discard(key)
            continue
        if run.pace == run.confirmed_pace:
            if run.pace == FULL_PACE_PERCENT:
                state.paced_runs.discard(key)
            continue
        if run.phase is not RunPhase.PRESENT:
            continue
        if state.now - run.pace_sent_at < PACE_RETRY_MS:
            continue
        state.update_run(key, pace_sent_at=state.now)
        yield PaceRun(run.worker, key, run.pace)


@EVENT_HANDLERS.register(PaceAnswered)
def handle_pace_reply(state: DispatchState, event: PaceAnswered) -> Actions:
    """Note the pace that a worker has put in force."""
    if event.run in state.runs:
        state.update_run(
            event.run, confirmed_pace=event.percent, pace_sent_at=0
        )
    yield from ()
