"""Tests of the state that a successor restores from a snapshot."""

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.recovery import list_snapshot_records
from sassafrasgate.dispatch.recovery import replay_records
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.journal.workflows import RunEnded
from sassafrasgate.journal.workflows import WorkflowAccepted
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import QUEUE

JOB = '00000000000000aa'


def make_state(*steps):
    state = DispatchState('cell', 'first')
    workflow = Workflow('payload', steps)
    replay_records(state, (WorkflowAccepted(JOB, QUEUE, workflow, 0),))
    return state


def end(task, run, how, number=1):
    return RunEnded(f'{JOB}.{task}', run, how, '', 'w1', 1, number, 0)


def restore(state):
    successor = DispatchState('cell', 'second')
    replay_records(successor, list_snapshot_records(state))
    return successor


def test_an_end_that_a_worker_lists_again_is_counted_once():
    """A run that is counted twice would use up the attempts of its task."""
    state = make_state(make_step(2))
    failed = end('0.0.0', 1, EndKind.FAILED)
    replay_records(state, (failed,))
    successor = restore(state)
    replay_records(successor, (failed, failed))
    assert successor.tasks[f'{JOB}.0.0.0'].failures == 1
    assert not successor.jobs[JOB].has_ended


def test_a_failed_run_of_a_gang_is_counted_once():
    state = make_state(make_step(2, gang=True))
    failed = end('0.0.1', 1, EndKind.FAILED)
    replay_records(state, (failed,))
    successor = restore(state)
    replay_records(successor, (failed,))
    (step,) = successor.steps.values()
    assert step.gang_failures == 1


def test_progress_of_several_steps_is_restored():
    """A finished step must neither run again nor block the next one."""
    state = make_state(make_step(1), make_step(2, after=(0,)))
    replay_records(
        state,
        (
            end('0.0.0', 1, EndKind.FINISHED),
            end('0.1.1', 1, EndKind.STOPPED, 2),
        ),
    )
    successor = restore(state)
    assert successor.steps.keys() == state.steps.keys()
    for key, entry in state.steps.items():
        found = successor.steps[key]
        assert (found.pending_tasks, found.open_tasks, found.ready) == (
            entry.pending_tasks,
            entry.open_tasks,
            entry.ready,
        )
    assert successor.tasks[f'{JOB}.0.1.1'].next_run == 2


def test_a_later_step_that_is_reported_first_does_not_keep_its_job_open():
    # Found by the soak test (seed 31): a successor learned of the ends of both
    # steps from two workers, of the later step first, and the job stayed
    # queued.
    state = make_state(make_step(1), make_step(2, after=(0,)))
    replay_records(
        state,
        (
            end('0.1.0', 1, EndKind.FINISHED),
            end('0.1.1', 1, EndKind.FINISHED, 2),
            end('0.0.0', 1, EndKind.FINISHED, 3),
        ),
    )
    assert state.jobs[JOB].state is WorkflowState.COMPLETED
    assert not state.waiting_steps
    assert restore(state).jobs[JOB].state is WorkflowState.COMPLETED


def test_a_step_after_one_that_was_reported_early_still_runs():
    state = make_state(
        make_step(1), make_step(1, after=(0,)), make_step(1, after=(1,))
    )
    replay_records(
        state,
        (
            end('0.1.0', 1, EndKind.FINISHED),
            end('0.0.0', 1, EndKind.FINISHED, 2),
        ),
    )
    assert [key.step for key in state.waiting_steps] == [2]
    assert not state.jobs[JOB].has_ended
