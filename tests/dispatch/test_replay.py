"""Tests that a new owner applies each record, whatever its clock says."""

from dataclasses import replace

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.recovery import begin_ownership
from sassafrasgate.dispatch.recovery import list_snapshot_records
from sassafrasgate.dispatch.recovery import replay_records
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.journal.records import Takeover
from sassafrasgate.journal.workflows import RunEnded
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.journal.workflows import WorkflowClosed
from sassafrasgate.shards.events import Ticked
from tests.dispatch.drivers import decide_all
from tests.dispatch.drivers import Driver
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import QUEUE
from tests.dispatch.simulation import TABLE
from tests.dispatch.simulation import WALL_MS

JOB = '00000000000000aa'
START_AT_MS = WALL_MS + 10_000
INTERVAL_MS = 4_000
SERIES = Workflow('payload', (make_step(2),), 2, START_AT_MS, INTERVAL_MS)


def replay(records, wall_ms, owner='second'):
    """Return the state of an owner whose time of day is ``wall_ms``."""
    state = DispatchState('cell', owner)
    state.now, state.wall_ms = 1_000, wall_ms
    replay_records(state, records)
    return state


def end(occurrence, index):
    return RunEnded(
        f'{JOB}.{occurrence}.0.{index}',
        1,
        EndKind.FINISHED,
        '',
        'w1',
        7,
        index + 1,
        START_AT_MS,
    )


def list_records(by_snapshot):
    records = [
        WorkflowAccepted(JOB, QUEUE, SERIES, WALL_MS),
        *(end(occurrence, index) for occurrence in (0, 1) for index in (0, 1)),
    ]
    if not by_snapshot:
        return records
    first = replay(records[:1], START_AT_MS + INTERVAL_MS, 'first')
    replay_records(first, records[1:4])
    return [*list_snapshot_records(first), records[4]]


@pytest.mark.parametrize('by_snapshot', [False, True])
@pytest.mark.parametrize('behind_ms', [1, 1_000, 60_000])
def test_end_of_an_occurrence_that_is_not_due_here_is_applied(
    by_snapshot, behind_ms
):
    # Guards against finished tasks of a scheduled job that start again, since
    # the new owner's time of day is behind that of the previous owner.
    state = replay(list_records(by_snapshot), START_AT_MS - behind_ms)
    finished = {name for name, task in state.tasks.items() if task.finished}
    assert len(finished) == 4
    assert not state.waiting_steps


def test_tasks_of_an_occurrence_that_is_not_due_here_do_not_start():
    # Guards against a record of a later occurrence that starts its other
    # tasks before their time.
    records = [WorkflowAccepted(JOB, QUEUE, SERIES, WALL_MS), end(1, 0)]
    state = replay(records, START_AT_MS - 1)
    assert not state.waiting_steps
    decide_all(state, Ticked(0), 2_000, START_AT_MS)
    assert [key.occurrence for key in state.waiting_steps] == [0]
    decide_all(state, Ticked(0), 6_000, START_AT_MS + INTERVAL_MS)
    assert [key.occurrence for key in state.waiting_steps] == [0, 1]
    assert state.find_task(f'{JOB}.1.0.0').finished


def test_finished_series_completes_once_it_is_due_here():
    # Guards against a job whose ends are all recorded and that stays open.
    state = replay(list_records(False), START_AT_MS - 1)
    decide_all(state, Ticked(0), 9_000, START_AT_MS + INTERVAL_MS)
    assert state.jobs[JOB].state is WorkflowState.COMPLETED


@pytest.mark.parametrize('ahead_ms', [0, 200_000, 86_400_000])
def test_ended_job_is_kept_by_an_owner_whose_time_of_day_is_ahead(ahead_ms):
    # Guards against a job that is forgotten as soon as another host takes
    # over: its caller gets 410, and a repeated submission runs it again.
    closed = WorkflowClosed(JOB, QUEUE, WorkflowState.COMPLETED, WALL_MS)
    wall_ms = WALL_MS + ahead_ms
    state = replay((closed, Takeover(2, 'second')), wall_ms)
    begin_ownership(state)
    decide_all(state, Ticked(0), 121_000, wall_ms + 120_000)
    assert JOB in state.jobs
    decide_all(state, Ticked(0), 152_000, wall_ms + 151_000)
    assert JOB not in state.jobs


def test_ended_job_is_kept_when_the_time_of_day_steps_forward():
    # Guards against the same on one host whose clock is set.
    state = replay((WorkflowAccepted(JOB, QUEUE, SERIES, WALL_MS),), WALL_MS)
    replay_records(
        state, (WorkflowClosed(JOB, QUEUE, WorkflowState.CANCELLED, WALL_MS),)
    )
    begin_ownership(state)
    decide_all(state, Ticked(0), 2_000, WALL_MS + 3_600_000)
    assert JOB in state.jobs


def test_time_for_which_an_ended_job_is_kept_passes_through_takeovers():
    # Guards against ended jobs that are kept for ever, since each new owner
    # begins to count anew.
    records = [WorkflowClosed(JOB, QUEUE, WorkflowState.COMPLETED, WALL_MS)]
    for number in range(2, 5):
        owner = f'owner-{number}'
        takeover = Takeover(number, owner)
        state = replay((*records, takeover), WALL_MS, owner)
        begin_ownership(state)
        decide_all(state, Ticked(0), 61_000, WALL_MS)
        records = list(list_snapshot_records(state))
    assert JOB not in state.jobs


@pytest.mark.parametrize('change', [1, -1])
def test_outcome_of_a_job_does_not_depend_on_the_readers_table(change):
    # Guards against a job that was shown as failed and is queued for the next
    # owner, or the reverse, since that owner has a newer routing table.
    driver = Driver()
    (start,) = driver.confirm(driver.submit(JOB, make_step(1)))
    for _ in range(QUEUE.max_attempts + min(change, 0)):
        driver.now += 600
        failed = ((start.run, EndKind.FAILED),)
        starts = driver.confirm(driver.report(start.worker, ended=failed))
        start = starts[0] if starts else start
    outcome = driver.state.jobs[JOB].state
    limit = QUEUE.max_attempts + change
    queues = tuple(
        replace(queue, max_attempts=limit) for queue in TABLE.queues
    )
    state = DispatchState('cell', 'b/2')
    state.now, state.wall_ms = driver.now, WALL_MS + driver.now
    state.routing_table = replace(TABLE, version=2, queues=queues)
    replay_records(state, (*driver.journal, Takeover(2, 'b/2')))
    assert (state.jobs[JOB].state is WorkflowState.FAILED) is (
        outcome is WorkflowState.FAILED
    )
