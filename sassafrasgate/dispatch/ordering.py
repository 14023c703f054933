"""The order in which waiting steps get room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.dispatch.state import JobEntry
    from sassafrasgate.dispatch.state import StepKey

# Estimates are rough: work that misses its objective by less than this share
# of what is left to do may still make it.
LATENESS_TOLERANCE = 0.25

Rank = tuple[int, int, int]


def compute_due_time(entry: JobEntry, key: StepKey) -> int:
    """Return the owner's clock by which an occurrence should complete."""
    return entry.due_at + key.occurrence * entry.workflow.interval_ms


def compute_slack(entry: JobEntry, key: StepKey, now: int) -> int:
    """Return how long a step may still wait to meet the objective, in ms.

    Negative when the job is expected to be late. A long-running task serves
    its users from its start on and has no time to wait.
    """
    if entry.workflow.steps[key.step].long_running:
        return 0
    return (
        compute_due_time(entry, key) - entry.critical_paths_ms[key.step] - now
    )


def rank_step(state: DispatchState, key: StepKey) -> Rank:
    """Return a step's place in the order; the lowest goes first.

    Work that can still meet its objective goes first, by priority and then
    by the time that it may still wait. Late work earns the same at any time
    until it earns nothing; it goes by priority and age.
    """
    entry = state.jobs[key.job_id]
    slack = compute_slack(entry, key, state.now)
    priority = state.find_queue_of(entry).priority
    if slack >= -LATENESS_TOLERANCE * entry.critical_paths_ms[key.step]:
        return (0, slack, priority)
    if state.now + entry.critical_paths_ms[key.step] <= entry.value_ends_at:
        return (1, priority, compute_due_time(entry, key))
    return (2, priority, compute_due_time(entry, key))
