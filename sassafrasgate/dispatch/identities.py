"""What identifies steps, tasks, runs and ends of runs."""

from __future__ import annotations

from typing import NamedTuple

from sassafrasgate.core.workflows import make_step_task_id


class StepKey(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class RunKey(NamedTuple):
    """Names a run of a task on one worker.

    Each owner numbers the runs of a task from the lowest number that it does
    not know to be used, so two owners may give one number on two workers.
    """

    task: str
    run: int


class RunPlace(NamedTuple):
    """Identifies a run that may be present on a worker."""

    worker: str
    key: RunKey


class RunIdentity(NamedTuple):
    """Identifies a run that has ended among all runs of its task.

    Parameters
    ----------
    run : int
        Number of the run.
    worker : str
        Worker that has reported the end; empty if only the number is known,
        from a snapshot of an earlier release.
    born_ms : int
        Start of the worker's incarnation, in Unix ms.
    """

    run: int
    worker: str = ''
    born_ms: int = 0


class GangRun(NamedTuple):
    """Identifies a run of a gang.

    Parameters
    ----------
    run : int
        Number of the run, which all members have.
    epoch : int
        Epoch of the owner that started it, if that owner has recorded an
        end; otherwise 0.
    """

    run: int
    epoch: int = 0


class EndNumber(NamedTuple):
    """Identifies an end in the list of a worker's incarnation."""

    worker: str
    born_ms: int
    number: int


class ShareKey(NamedTuple):
    """Key of what a tenant has of a pool."""

    pool: str
    tenant: str


def make_task_id(key: StepKey, index: int) -> str:
    """Return the id of one task of a step."""
    return make_step_task_id(key.job_id, key.occurrence, key.step, index)
