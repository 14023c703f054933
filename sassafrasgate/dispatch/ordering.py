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

# How a job that completes as soon as possible serves its caller.
IN_TIME = 0
LATE = 1
WORTHLESS = 2

Rank = tuple[int, int, int, int]


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
    usefulness = classify_step(state, entry, key, slack)
    if usefulness == IN_TIME:
        return (IN_TIME, slack, priority, 0)
    return (usefulness, priority, compute_due_time(entry, key), 0)


def rank_step_by_work(state: DispatchState, key: StepKey) -> Rank:
    """Return the sort key of a step for a pool that lacks capacity.

    By slack alone, everything becomes a little late when more is offered
    than can be done. Here a higher priority comes first, and within it the
    step with less work, so that as many as possible are in time. Steps with
    about the same work are ordered by slack.
    """
    entry = state.jobs[key.job_id]
    slack = compute_slack(entry, key, state.now)
    priority = state.find_queue_of(entry).priority
    usefulness = classify_step(state, entry, key, slack)
    if usefulness != IN_TIME:
        return (usefulness, priority, compute_due_time(entry, key), 0)
    step = entry.workflow.steps[key.step]
    work = (
        len(state.steps[key].pending_tasks)
        * step.demand.millicores
        * step.estimate_ms
    )
    # The number of bits puts amounts within a factor of two together.
    return (IN_TIME, priority, work.bit_length(), slack)


def classify_step(
    state: DispatchState, entry: JobEntry, key: StepKey, slack: int
) -> int:
    """Return `IN_TIME`, `LATE` or `WORTHLESS` for a step that starts now."""
    critical_path_ms = entry.critical_paths_ms[key.step]
    if slack >= -LATENESS_TOLERANCE * critical_path_ms:
        return IN_TIME
    if state.now + critical_path_ms <= entry.value_ends_at:
        return LATE
    return WORTHLESS
