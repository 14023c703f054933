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

FULL_PACE = 100
UNKNOWN_PACE = -1
# Of a filling task that starts beside one that serves.
FIRST_PACE = 25
PACE_STEP = 25
# Share of its target from which a tail latency stops the filling tasks, and
# up to which they may work more. Their effect changes within seconds.
STRAINED_SHARE = 0.8
CALM_SHARE = 0.6
RAISE_MS = 1_500
# A latency that is older says nothing about the present pace.
FRESH_MS = 2_500
# A call without an answer is made again after this time.
REPEAT_MS = 500


def choose_first_pace(state: DispatchState, worker: str, fills: bool) -> int:
    """Return the pace, in percent, at which a run is to begin."""
    if fills and worker in state.serving:
        return FIRST_PACE
    return FULL_PACE


def adjust_paces(state: DispatchState) -> Actions:
    """Change the pace of filling tasks where others serve beside them."""
    for worker in state.serving:
        runs = state.list_runs_on(worker)
        fillers = [run for run in runs if run.fills and not run.stopping]
        if not fillers:
            continue
        pace = _choose_pace(state, runs, fillers)
        if pace is not None:
            yield from _set_pace(state, worker, fillers, pace)
    yield from _restore_paces(state)
    yield from _send_paces(state)


def _choose_pace(
    state: DispatchState, runs: list[RunEntry], fillers: list[RunEntry]
) -> int | None:
    """Return the new pace of a worker's filling tasks; None to keep it."""
    serving = [run for run in runs if run.target_ms]
    fresh = [run for run in serving if state.now - run.load_at <= FRESH_MS]
    strain = max((run.load / run.target_ms for run in fresh), default=0.0)
    pace = min(run.pace for run in fillers)
    if strain >= STRAINED_SHARE:
        return 0
    changed_at = max(run.paced_at for run in fillers)
    measured = [run for run in fresh if run.load_at > changed_at]
    if strain > CALM_SHARE or len(measured) < len(serving):
        return None
    if state.now - changed_at < RAISE_MS:
        return None
    return min(FULL_PACE, pace + PACE_STEP)


def _set_pace(
    state: DispatchState, worker: str, fillers: list[RunEntry], pace: int
) -> Actions:
    changed = [run for run in fillers if run.pace != pace]
    for run in changed:
        state.update_run(run.key, pace=pace, paced_at=state.now)
        state.paced.add(run.key)
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
    for key in state.paced:
        run = state.runs.get(key)
        if run is None or run.worker in state.serving:
            continue
        if run.pace != FULL_PACE:
            yield from _set_pace(state, run.worker, [run], FULL_PACE)


def _send_paces(state: DispatchState) -> Actions:
    """Send what a worker has not confirmed yet."""
    for key in list(state.paced):
        run = state.runs.get(key)
        if run is None or run.stopping:
            state.paced.discard(key)
            continue
        if run.pace == run.confirmed_pace:
            if run.pace == FULL_PACE:
                state.paced.discard(key)
            continue
        if run.phase is not RunPhase.PRESENT:
            continue
        if state.now - run.pace_sent_at < REPEAT_MS:
            continue
        state.update_run(key, pace_sent_at=state.now)
        yield PaceRun(run.worker, key, run.pace)


@EVENT_HANDLERS.register(PaceAnswered)
def note_pace(state: DispatchState, event: PaceAnswered) -> Actions:
    """Note the pace that a worker has put in force."""
    if event.run in state.runs:
        state.update_run(
            event.run, confirmed_pace=event.percent, pace_sent_at=0
        )
    yield from ()
