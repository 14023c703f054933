"""Start of a run on the worker that was chosen for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.entries import JobEntry
from sassafrasgate.dispatch.entries import RunEntry
from sassafrasgate.dispatch.entries import StepAdvice
from sassafrasgate.dispatch.entries import WorkerEntry
from sassafrasgate.dispatch.identities import make_task_id
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.ordering import compute_slack
from sassafrasgate.dispatch.pacing import choose_initial_pace
from sassafrasgate.dispatch.plans import estimate_run_ms

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources
    from sassafrasgate.core.workflows import Step
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState


def start_run(
    state: DispatchState,
    key: StepKey,
    step: Step,
    job: JobEntry,
    worker: WorkerEntry,
    index: int,
    number: int,
    demand: Resources,
) -> Actions:
    """Reserve capacity for a run and request its start.

    Parameters
    ----------
    index : int
        Index of the task within its step.
    number : int
        Number of the run.
    demand : Resources
        Capacity to reserve on the worker.
    """
    name = worker.registration.worker
    run = RunKey(make_task_id(key, index), number)
    task = state.update_task(run.task, next_run=number + 1)
    entry = state.steps[key]
    state.update_step(key, pending_tasks=entry.pending_tasks.remove(index))
    if not state.steps[key].pending_tasks:
        state.waiting_steps.pop(key, None)
    state.started_tasks += 1
    state.add_run(
        RunEntry(
            run,
            key,
            index,
            name,
            worker.incarnation_ms,
            demand,
            started_at=state.now,
            expected_ms=estimate_run_ms(step, worker),
            target_ms=step.target_ms,
            fills=step.fills,
            pace=choose_initial_pace(state, name, step.fills),
            paced_at=state.now,
            epoch=state.epoch,
            tenant=job.tenant,
            pool=state.find_pool_of(job),
            charged=step.demand,
        )
    )
    advice = state.advice.get(key, StepAdvice())
    ticket = advice.tickets.get(name)
    checkpoint = entry.checkpoint if step.gang else task.checkpoint
    yield LogEvent(
        'start',
        run.task,
        (
            ('run', number),
            ('worker', name),
            ('free', state.free_resources[name].millicores),
            ('slack_ms', compute_slack(job, key, state.now)),
            ('waited_ms', state.now - entry.ready_at),
            ('ticket_ms', ticket.expires_at - state.now if ticket else 0),
            ('checkpoint', bool(checkpoint)),
            (
                'entries_age_ms',
                state.now - state.registrations_confirmed_at,
            ),
        ),
    )
    yield StartRun(
        name,
        run,
        job.workflow.payload,
        checkpoint,
        ticket.ticket if ticket else '',
        worker.incarnation_ms,
    )
