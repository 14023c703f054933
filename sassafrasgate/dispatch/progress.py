"""Progress of jobs, their steps and tasks, from acceptance to the end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.entries import StepEntry
from sassafrasgate.dispatch.identities import GangRun
from sassafrasgate.dispatch.identities import make_task_id
from sassafrasgate.dispatch.identities import RunIdentity
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.index_sets import IndexSet

if TYPE_CHECKING:
    from sassafrasgate.core.routing import Queue
    from sassafrasgate.core.workflows import Workflow
    from sassafrasgate.dispatch.entries import JobEntry
    from sassafrasgate.dispatch.identities import EndNumber
    from sassafrasgate.dispatch.state import DispatchState
    from sassafrasgate.journal.workflows import RunEnded

# A job earns nothing if it takes more than this multiple of its objective.
VALUE_LIMIT_FACTOR = 3
# The critical path of an objective includes, for each step, one call to the
# advice service about this many workers.
ADVISED_WORKERS = 30
# A decision opens at most this many occurrences of a job.
MAX_OPENED_OCCURRENCES = 200


def compute_critical_paths(
    workflow: Workflow, advice_ms: int
) -> tuple[int, ...]:
    """Return the critical path from the start of each step, in ms.

    Parameters
    ----------
    advice_ms : int
        Duration of a call to the advice service, added for each step.
    """
    count = len(workflow.steps)
    paths_ms = [0] * count
    for number in reversed(range(count)):
        following = [
            paths_ms[later]
            for later in range(number + 1, count)
            if number in workflow.steps[later].after
        ]
        estimate = workflow.steps[number].estimate_ms
        paths_ms[number] = advice_ms + estimate + max(following, default=0)
    return tuple(paths_ms)


def compute_advice_ms(queue: Queue) -> int:
    """Return the time that the objective grants for a call, in ms."""
    if queue.advice is None:
        return 0
    return int(queue.advice.decide_ms + queue.advice.each_ms * ADVISED_WORKERS)


def compute_objective_ms(queue: Queue, path_ms: int) -> int:
    """Return the time in which a job should complete, in ms.

    Parameters
    ----------
    path_ms : int
        Critical path of the job, in ms.
    """
    return int(queue.stretch * path_ms) + queue.target_latency_ms


def open_job(state: DispatchState, entry: JobEntry) -> None:
    """Set the objective of a new job and open its first occurrence."""
    paths_ms = compute_critical_paths(
        entry.workflow, compute_advice_ms(entry.queue)
    )
    objective = compute_objective_ms(entry.queue, max(paths_ms))
    accepted = convert_to_owner_clock(state, entry.accepted_at_ms)
    start = accepted
    if entry.workflow.start_at_ms:
        start = max(
            start, convert_to_owner_clock(state, entry.workflow.start_at_ms)
        )
    state.update_job(
        entry.job_id,
        critical_paths_ms=paths_ms,
        due_at=start + objective,
        value_ends_at=start + VALUE_LIMIT_FACTOR * objective,
    )
    open_due_occurrences(state, entry.job_id)


def convert_to_owner_clock(state: DispatchState, wall_ms: int) -> int:
    """Convert Unix time in ms to the owner's clock."""
    return state.now + wall_ms - state.wall_ms


def find_occurrence_start(entry: JobEntry, occurrence: int) -> int:
    """Return the Unix time, in ms, from which an occurrence may start.

    It is 0 for the first occurrence of a job without a start time.
    """
    workflow = entry.workflow
    if not workflow.start_at_ms and occurrence == 0:
        return 0
    return workflow.start_at_ms + occurrence * workflow.interval_ms


def open_due_occurrences(state: DispatchState, job_id: str) -> None:
    """Open the occurrences of a job whose start time has passed.

    One decision opens `MAX_OPENED_OCCURRENCES`; further ones follow at each
    tick.
    """
    entry = state.jobs[job_id]
    until = min(
        entry.due_occurrences + MAX_OPENED_OCCURRENCES,
        entry.workflow.occurrences,
    )
    for occurrence in range(entry.due_occurrences, until):
        if state.jobs[job_id].has_ended:
            return
        if find_occurrence_start(entry, occurrence) > state.wall_ms:
            return
        open_occurrences_until(state, job_id, occurrence)
        state.update_job(job_id, due_occurrences=occurrence + 1)
        for step in range(len(entry.workflow.steps)):
            mark_ready_if_unblocked(state, StepKey(job_id, occurrence, step))


def open_occurrences_until(
    state: DispatchState, job_id: str, occurrence: int
) -> None:
    """Add the steps of a job's occurrences up to the given one.

    A record about a later occurrence shows that an owner has opened it. Its
    tasks still start only when it is due by the clock of this owner.
    """
    entry = state.jobs[job_id]
    if entry.has_ended or occurrence >= entry.workflow.occurrences:
        return
    for number in range(entry.occurrences, occurrence + 1):
        for index, step in enumerate(entry.workflow.steps):
            key = StepKey(job_id, number, index)
            state.steps[key] = StepEntry(
                key, IndexSet.make_range(step.tasks), step.tasks
            )
    added = max(0, occurrence + 1 - entry.occurrences)
    state.update_job(
        job_id,
        occurrences=entry.occurrences + added,
        open_steps=entry.open_steps + added * len(entry.workflow.steps),
    )


def mark_ready_if_unblocked(state: DispatchState, key: StepKey) -> None:
    """Mark a step ready if it is due and its predecessors have finished.

    A new owner may learn that a step has finished before it learns the same
    of the step's predecessors. Such a step is closed here.
    """
    step = state.find_step(key)
    entry = state.steps[key]
    if entry.ready or entry.closed:
        return
    if key.occurrence >= state.jobs[key.job_id].due_occurrences:
        return
    for number in step.after:
        if state.steps[key._replace(step=number)].open_tasks:
            return
    state.update_step(key, ready=True, ready_at=state.now)
    queue_step(state, key)
    advance_job(state, key)


def queue_step(state: DispatchState, key: StepKey) -> None:
    """Add a step to the waiting steps if it needs runs."""
    entry = state.steps.get(key)
    if entry is None or not entry.ready or not entry.pending_tasks:
        return
    state.waiting_steps[key] = None
    state.needs_pass = True


def apply_run_end(
    state: DispatchState, record: RunEnded, key: StepKey, index: int
) -> None:
    """Apply the end of a run to its task, step and job.

    The end of a task that the job does not have is ignored.
    """
    job = state.jobs[key.job_id]
    if key not in state.steps or index >= state.find_step(key).tasks:
        return
    task = state.find_task(record.task)
    ended = RunIdentity(record.run, record.worker, record.born_ms)
    if ended in task.ended_runs:
        return
    if (
        RunIdentity(record.run) in task.ended_runs
        and record.how is not EndKind.FINISHED
    ):
        # An earlier release has recorded the end of a run with this number,
        # most likely of this one. Only a success must not be missed.
        return
    state.update_task(
        record.task,
        ended_runs=(*task.ended_runs, ended),
        next_run=max(task.next_run, record.run + 1),
        checkpoint=record.checkpoint or task.checkpoint,
        failed_on=(*task.failed_on, record.worker)
        if record.how is EndKind.FAILED
        else task.failed_on,
    )
    if state.find_step(key).gang and record.checkpoint:
        state.update_step(key, checkpoint=record.checkpoint)
    if job.has_ended:
        return
    if record.how is EndKind.FINISHED:
        _apply_finished(state, key, index)
    if record.how is EndKind.FAILED:
        _apply_failed(state, key, record)


def _apply_finished(state: DispatchState, key: StepKey, index: int) -> None:
    step = state.find_step(key)
    if step.long_running or not state.steps[key].open_tasks:
        return
    # All members of a gang finish together, so the end of one counts for all.
    indexes = range(step.tasks) if step.gang else (index,)
    for number in indexes:
        finish_task(state, key, number)
    advance_job(state, key)


def finish_task(state: DispatchState, key: StepKey, index: int) -> None:
    """Mark a task as finished."""
    task = make_task_id(key, index)
    if state.find_task(task).finished:
        return
    state.update_task(task, finished=True)
    entry = state.steps[key]
    state.update_step(
        key,
        open_tasks=entry.open_tasks - 1,
        pending_tasks=entry.pending_tasks.remove(index),
    )


def advance_job(state: DispatchState, key: StepKey) -> None:
    """Close a step that has finished, and unblock its successors.

    The job completes with the last step of its last occurrence.
    """
    entry = state.steps[key]
    if entry.open_tasks or not entry.ready:
        return
    state.waiting_steps.pop(key, None)
    job = state.update_job(
        key.job_id, open_steps=state.jobs[key.job_id].open_steps - 1
    )
    state.update_step(key, ready=False, closed=True)
    for number in range(key.step + 1, len(job.workflow.steps)):
        mark_ready_if_unblocked(state, key._replace(step=number))
    if job.open_steps or job.occurrences < job.workflow.occurrences:
        return
    end_job(state, key.job_id, WorkflowState.COMPLETED)


def _apply_failed(
    state: DispatchState, key: StepKey, record: RunEnded
) -> None:
    job = state.jobs[key.job_id]
    step = state.find_step(key)
    task = state.update_task(
        record.task, failures=state.find_task(record.task).failures + 1
    )
    failures = task.failures
    if step.gang:
        entry = state.steps[key]
        gang_run = GangRun(record.run, record.epoch)
        if _is_counted(entry.failed_gang_runs, gang_run, state.epoch):
            return
        failures = entry.gang_failures + 1
        state.update_step(
            key,
            gang_failures=failures,
            failed_gang_runs=(*entry.failed_gang_runs, gang_run),
        )
    if step.long_running:
        return
    max_attempts = record.max_attempts
    if not max_attempts:
        max_attempts = state.find_queue_of(job).max_attempts
    if failures >= max_attempts:
        end_job(state, key.job_id, WorkflowState.FAILED)


def _is_counted(
    failed: tuple[GangRun, ...], gang_run: GangRun, epoch: int
) -> bool:
    """Return whether the failure of a gang's run has been counted.

    Several members of one run may fail.

    Parameters
    ----------
    failed : tuple of GangRun
        Runs that have been counted.
    gang_run : GangRun
        Run of the member that has failed.
    epoch : int
        Epoch of the owner that records the failure. A run of an unknown
        epoch is not one of its own.
    """
    if gang_run.epoch:
        return gang_run in failed
    return any(
        other.run == gang_run.run and other.epoch != epoch for other in failed
    )


def end_job(state: DispatchState, job_id: str, outcome: WorkflowState) -> None:
    """Put a job into a final state.

    The calling function has to stop the remaining runs.
    """
    entry = state.update_job(
        job_id,
        state=outcome,
        ended_at_ms=state.wall_ms,
        ended_known_at=state.now,
    )
    state.ended_jobs[job_id] = None
    for key in state.list_steps_of(entry):
        state.waiting_steps.pop(key, None)
        state.advice.pop(key, None)
        state.gang_looks.pop(key, None)


def record_ending_run(
    state: DispatchState, job_id: str, end: EndNumber
) -> None:
    """Record the end of a run if it has ended a job."""
    entry = state.jobs[job_id]
    if entry.has_ended and entry.ended_by is None:
        state.update_job(job_id, ended_by=end)


def requeue_task(state: DispatchState, key: StepKey, index: int) -> None:
    """Queue a task that has no run for a new run."""
    job = state.jobs.get(key.job_id)
    entry = state.steps.get(key)
    if job is None or job.has_ended or entry is None:
        return
    if state.find_task(make_task_id(key, index)).finished:
        return
    state.update_step(key, pending_tasks=entry.pending_tasks.add(index))
    queue_step(state, key)


def forget_step(state: DispatchState, key: StepKey) -> None:
    """Remove a step without runs, and the entries of its tasks."""
    for index in range(state.find_step(key).tasks):
        state.tasks.pop(make_task_id(key, index), None)
    del state.steps[key]
    state.waiting_steps.pop(key, None)
    state.advice.pop(key, None)
    state.step_rates.pop(key, None)


def forget_job(state: DispatchState, job_id: str) -> None:
    """Remove a job that was never accepted, so none of its tasks has run."""
    for key in list(state.list_steps_of(state.jobs[job_id])):
        forget_step(state, key)
    del state.jobs[job_id]
    state.ended_jobs.pop(job_id, None)
