"""Tests of workers' reports that name tasks which no job has."""

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.dispatch.events import WorkersListed
from sassafrasgate.dispatch.events import WorkerUnregistered
from sassafrasgate.dispatch.identities import RunKey
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'
ODD_TASKS = (
    'a',
    '',
    f'{JOB}.0.0',
    f'{JOB}.0.0.x',
    f'{JOB}.0.0.-1',
    f'{JOB}.0.0.7',
    f'{JOB}.0.0.0_1',
    f'{JOB}.0.0. 1',
    f'{JOB}.0.9.0',
    f'{JOB}.99999999999.0.0',
    '00000000000000bb.0.0.0',
)


@pytest.mark.parametrize('how', [EndKind.FINISHED, EndKind.FAILED])
@pytest.mark.parametrize('task', ODD_TASKS)
def test_end_of_an_unknown_task_is_only_acknowledged(task, how):
    # Guards against an error in the decisions, which each successor meets
    # again, and against an end that is counted for another task.
    driver = Driver()
    starts = driver.confirm(driver.submit(JOB, make_step(2, 500)))
    actions = driver.report('w0', ended=((RunKey(task, 1), how),))

    assert select_actions(actions, AcknowledgeEnds)
    for start in starts:
        driver.finish(start)
    assert driver.state.jobs[JOB].state == 'completed'


@pytest.mark.parametrize('task', ODD_TASKS)
def test_unknown_running_task_is_stopped(task):
    # Guards against starts of a task that no caller has submitted.
    driver = Driver()
    driver.confirm(driver.submit(JOB, make_step(2, 500)))
    driver.running['w0'][RunKey(task, 1)] = 0
    actions = driver.report('w0')

    stopped = [action.run for action in select_actions(actions, StopRun)]
    assert RunKey(task, 1) in stopped
    driver.running['w0'].pop(RunKey(task, 1))
    later = [*driver.report('w0'), *driver.wait(1_000)]
    assert task not in [a.run.task for a in select_actions(later, StartRun)]


@pytest.mark.parametrize('listed', [False, True])
def test_unreadable_entry_does_not_restart_running_work(listed):
    # Guards against runs that start again elsewhere because another program
    # has overwritten their worker's entry.
    driver = Driver()
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 9_000)))
    entry = driver.state.workers[start.worker].registration
    event = WorkersListed(()) if listed else WorkerUnregistered(start.worker)
    actions = list(driver.feed(event))
    for number in range(16):
        driver.running[start.worker][start.run] = number * 6
        actions += driver.wait(500)
        actions += driver.report(start.worker)
    driver.feed(WorkerRegistered(entry))
    actions += driver.finish(start)

    assert not select_actions(actions, StartRun)
    assert not select_actions(actions, StopRun)
    kinds = [event.kind for event in select_actions(actions, LogEvent)]
    assert 'lose' not in kinds
    assert driver.state.jobs[JOB].state == 'completed'
