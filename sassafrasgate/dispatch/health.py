"""Pauses of workers on which runs fail repeatedly."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import EndKind

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.state import DispatchState

# Up to 5% of the runs fail because of their task, so two consecutive failures
# on one worker are more likely caused by the worker.
SUSPECT_FAILURE_COUNT = 2
INITIAL_PAUSE_MS = 1_500
MAX_PAUSE_MS = 8_000
# After a pause, a worker gets one run at a time until a run has finished, to
# find out whether it has recovered.
MAX_PROBATION_RUNS = 1
# No further worker is paused once this share of all workers is paused.
MAX_PAUSED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class WorkerHealth:
    """Recent failures of runs on a worker, and the pause that follows.

    Parameters
    ----------
    failures : int
        Number of runs that have failed since a run last finished.
    pause_ms : int
        Length of the latest pause; 0 if the worker has not been paused since
        a run last finished.
    paused_until : int
        Owner's clock, in ms, until which the worker gets no new runs.
    """

    failures: int = 0
    pause_ms: int = 0
    paused_until: int = 0


HEALTHY = WorkerHealth()


def record_run_end(
    state: DispatchState, run: RunEntry, how: EndKind
) -> WorkerHealth | None:
    """Update a worker's health after the end of a run.

    Returns
    -------
    WorkerHealth or None
        The new health, or None if it has not changed.
    """
    health = state.health.get(run.worker, HEALTHY)
    if how is EndKind.FINISHED:
        if health == HEALTHY:
            return None
        state.health.pop(run.worker)
        return HEALTHY
    if how is not EndKind.FAILED:
        return None
    health = replace(health, failures=health.failures + 1)
    if health.failures >= SUSPECT_FAILURE_COUNT and _may_pause(
        state, run.worker
    ):
        pause_ms = min(
            max(INITIAL_PAUSE_MS, 2 * health.pause_ms), MAX_PAUSE_MS
        )
        health = replace(
            health, pause_ms=pause_ms, paused_until=state.now + pause_ms
        )
    state.health[run.worker] = health
    return health


def _may_pause(state: DispatchState, worker: str) -> bool:
    others = sum(
        1
        for name, health in state.health.items()
        if health.paused_until > state.now and name != worker
    )
    return others < MAX_PAUSED_SHARE * len(state.workers)


def find_run_allowance(state: DispatchState, worker: str) -> int | None:
    """Return how many more runs a worker may get, or None for no limit."""
    health = state.health.get(worker)
    if health is None or health.failures < SUSPECT_FAILURE_COUNT:
        return None
    if state.now < health.paused_until:
        return 0
    if state.now >= health.paused_until + health.pause_ms:
        # The probation lasts as long as the pause before it, even if no run
        # has ended. Otherwise a gang that needs several slots on the worker
        # could never start there.
        return None
    present = len(state.runs_by_worker.get(worker, ()))
    return max(0, MAX_PROBATION_RUNS - present)
