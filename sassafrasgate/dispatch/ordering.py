"""The order in which waiting steps get room."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.dispatch.state import JobEntry
    from sassafrasgate.dispatch.state import StepKey

# Estimates are rough: work that misses its objective by less than this share
# of what is left to do may still make it.
TOLERANCE = 0.25

Rank = tuple[int, int, int]


def find_slack(entry: JobEntry, step: int, now: int) -> int:
    """Return how long a step may still wait to meet the objective, in ms.

    Negative when the job is expected to be late.
    """
    return entry.due_at - entry.tails[step] - now


def rank_step(state: DispatchState, key: StepKey) -> Rank:
    """Return a step's place in the order; the lowest goes first.

    Work that can still meet its objective goes first, by priority and then
    by the time that it may still wait. Late work earns the same at any time
    until it earns nothing; it goes by priority and age.
    """
    entry = state.jobs[key.job_id]
    slack = find_slack(entry, key.step, state.now)
    priority = state.find_terms(entry).priority
    if slack >= -TOLERANCE * entry.tails[key.step]:
        return (0, slack, priority)
    if state.now + entry.tails[key.step] <= entry.late_at:
        return (1, priority, entry.due_at)
    return (2, priority, entry.due_at)
