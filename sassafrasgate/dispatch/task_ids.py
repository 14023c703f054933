"""Ids of tasks, as workers report them."""

from __future__ import annotations

from sassafrasgate.core.workflows import make_step_task_id
from sassafrasgate.core.workflows import split_step_task_id
from sassafrasgate.dispatch.identities import StepKey


def parse_task_id(task: str) -> tuple[StepKey, int] | None:
    """Return the step and the index that a task id names.

    Returns
    -------
    tuple of (StepKey, int) or None
        None if the text is not the id that `make_task_id` returns for them.
    """
    try:
        parts = split_step_task_id(task)
    except ValueError:
        return None
    if make_step_task_id(*parts) != task or min(parts[1:]) < 0:
        return None
    job_id, occurrence, step, index = parts
    return StepKey(job_id, occurrence, step), index
