"""Order in which waiting steps are considered for placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

# Estimates are rough. Work that is expected to miss its objective by less than
# this fraction of its critical path may still meet it.
LATENESS_TOLERANCE = 0.25

Rank = tuple[int, int, int]


def compute_due_time(entry: JobEntry, key: StepKey) -> int:
    """Return the owner's clock, in ms, when an occurrence should complete."""
    return entry.due_at + key.occurrence * entry.workflow.interval_ms


def compute_slack(entry: JobEntry, key: StepKey, now: int) -> int:
    """Return how long a step can wait and still meet its objective, in ms.

    The slack is negative if the job is expected to be late. It is 0 for a
    long-running step, which should start at once because it serves users
    from its start.
    """
    if entry.workflow.steps[key.step].long_running:
        return 0
    return (
        compute_due_time(entry, key) - entry.critical_paths_ms[key.step] - now
    )


def rank_step(state: DispatchState, key: StepKey) -> Rank:
    """Return the sort key of a step; the lowest is placed first.

    Steps that can still meet their objective come first, ordered by slack
    and then by priority. Late steps follow, ordered by priority and due
    time: their value no longer changes until it drops to zero. Steps whose
    job earns nothing any more come last.
    """
    entry = state.jobs[key.job_id]
    slack = compute_slack(entry, key, state.now)
    priority = state.find_queue_of(entry).priority
    if slack >= -LATENESS_TOLERANCE * entry.critical_paths_ms[key.step]:
        return (0, slack, priority)
    if state.now + entry.critical_paths_ms[key.step] <= entry.value_ends_at:
        return (1, priority, compute_due_time(entry, key))
    return (2, priority, compute_due_time(entry, key))
