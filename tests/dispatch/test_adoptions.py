"""Tests of runs that a previous owner has started."""

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import StopFailed
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.stops import STOP_RETRY_MS
from sassafrasgate.protocol.workflows import SubmitWorkflow
from sassafrasgate.shards.events import RequestReceived
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

JOB = '00000000000000aa'
RUN = RunKey(f'{JOB}.0.0.0', 1)
START_IN_MS = 3_000
TICKS_UNTIL_START = START_IN_MS // 100 + 1


def submit_scheduled(driver, step):
    """Submit a job that starts later."""
    wall_ms = WALL_MS + driver.now
    workflow = Workflow('payload', (step,), start_at_ms=wall_ms + START_IN_MS)
    message = SubmitWorkflow(JOB, 'q', 1, workflow)
    return driver.feed(RequestReceived(1, message, wall_ms))


def wait_for_start(driver):
    """Let each worker report every 100 ms; return all actions."""
    actions = []
    for _ in range(TICKS_UNTIL_START):
        actions += driver.wait(100)
        for worker in driver.running:
            actions += driver.report(worker)
    return actions


@pytest.mark.parametrize('tasks', [1, 2])
@pytest.mark.parametrize('gang', [False, True])
def test_a_run_from_an_owner_whose_clock_is_ahead_is_not_joined_by_another(
    tasks, gang
):
    # Guards against a second run of a task: its run was of an unknown task
    # when the worker reported it, and its occurrence opened afterwards.
    driver = Driver(workers=3)
    submit_scheduled(driver, make_step(tasks, 500, gang=gang))
    driver.running['w0'][RUN] = 0
    actions = list(driver.report('w0'))
    assert [stop.run for stop in select_actions(actions, StopRun)] == [RUN]
    driver.feed(StopFailed('w0', RUN, StartRefusal.UNHEALTHY))

    actions = wait_for_start(driver)

    started = [start.run.task for start in select_actions(actions, StartRun)]
    assert RUN.task not in started
    assert RUN in [stop.run for stop in select_actions(actions, StopRun)]
    actions = list(driver.report('w0', ended=((RUN, EndKind.STOPPED),)))
    for run in [start.run for start in select_actions(actions, StopRun)]:
        actions += driver.report('w0', ended=((run, EndKind.STOPPED),))
    actions += driver.wait(100)
    starts = select_actions(actions, StartRun)
    assert [s.run for s in starts if s.run.task == RUN.task] == [
        RunKey(RUN.task, 2)
    ]


def test_a_run_that_ended_before_its_occurrence_opened_does_not_block_it():
    # Guards against a task that never runs.
    driver = Driver(workers=1)
    submit_scheduled(driver, make_step(1, 500))
    driver.running['w0'][RUN] = 0
    driver.report('w0')
    driver.running['w0'].pop(RUN)
    driver.now += STOP_RETRY_MS
    driver.report('w0')

    starts = select_actions(wait_for_start(driver), StartRun)

    assert [start.run.task for start in starts] == [RUN.task]
