"""Evidence about workers, from the ends of the runs that they report."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import EndKind

if TYPE_CHECKING:
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.dispatch.state import RunEntry

# A task fails by its own fault in up to 5% of its runs, so two tasks that
# fail in a row on one worker are more likely the worker's fault.
SUSPECT_FAILURE_COUNT = 2
INITIAL_PAUSE_MS = 1_500
MAX_PAUSE_MS = 8_000
# After a pause one run at a time shows whether the worker has recovered.
MAX_PROBATION_RUNS = 1
# Most workers of a pool, as a share, that may be set aside at once.
MAX_PAUSED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class WorkerHealth:
    """What the ends on one worker say about it.

    Parameters
    ----------
    failures : int
        Failed runs since the last one that finished.
    pause_ms : int
        Length of the latest pause; 0 when there was none since.
    paused_until : int
        Owner's clock until which the worker gets no new run.
    """

    failures: int = 0
    pause_ms: int = 0
    paused_until: int = 0


HEALTHY = WorkerHealth()


def record_run_end(
    state: DispatchState, run: RunEntry, how: EndKind
) -> WorkerHealth | None:
    """Count the end of a run; return the health if it has changed."""
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
    """Return how many more runs a worker may get; None for no limit."""
    health = state.health.get(worker)
    if health is None or health.failures < SUSPECT_FAILURE_COUNT:
        return None
    if state.now < health.paused_until:
        return 0
    if state.now >= health.paused_until + health.pause_ms:
        # Without new evidence, as for a gang that needs several places
        # there, a worker is not set aside for ever.
        return None
    present = len(state.runs_by_worker.get(worker, ()))
    return max(0, MAX_PROBATION_RUNS - present)
