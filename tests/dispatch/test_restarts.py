"""Tests of tasks on a worker that restarts under the same id."""

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import RunAnswered
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '5c0e7a21d94b36f8'
NEXT_INCARNATION_MS = 9


def start_one():
    """Return a driver and the unanswered start of its only task."""
    driver = Driver(workers=2)
    (start,) = select_actions(driver.submit(JOB, make_step(1, 500)), StartRun)
    driver.now += 10
    return driver, start


def restart(driver, start, lists=False):
    """Let the worker report twice from a new incarnation."""
    driver.running[start.worker] = {start.run: 0} if lists else {}
    driver.ends[start.worker] = 0
    first = driver.report(start.worker, incarnation_ms=NEXT_INCARNATION_MS)
    driver.now += 10
    return first, driver.report(
        start.worker, incarnation_ms=NEXT_INCARNATION_MS
    )


def test_a_start_that_may_reach_the_new_incarnation_is_not_repeated():
    # Guards against a second run of a task whose first start call was in
    # flight while the worker restarted.
    driver, start = start_one()

    first, second = restart(driver, start)

    assert not select_actions(first, StartRun)
    (again,) = select_actions(second, StartRun)
    assert again.run.task == start.run.task


def test_a_run_that_the_new_incarnation_lists_continues():
    # Guards against stopping or repeating a run that the new incarnation has
    # started.
    driver, start = start_one()

    first, second = restart(driver, start, lists=True)
    third = driver.report(
        start.worker,
        ended=((start.run, EndKind.FINISHED),),
        incarnation_ms=NEXT_INCARNATION_MS,
    )

    assert not select_actions(first + second + third, StartRun)
    assert driver.state.jobs[JOB].has_ended


def test_a_run_that_the_previous_incarnation_listed_restarts_at_once():
    # Guards against waiting for a run that is certainly gone.
    driver, start = start_one()
    driver.running[start.worker] = {start.run: 0}
    driver.report(start.worker)
    driver.now += 10

    first, _ = restart(driver, start)

    assert select_actions(first, StartRun)


def test_a_worker_that_refuses_a_start_as_invalid_is_avoided():
    # Guards against a start call every few milliseconds to such a worker.
    driver, start = start_one()

    reply = driver.make_reply(StartRefusal.INVALID)
    actions = driver.feed(RunAnswered(start.worker, start.run, reply))

    assert all(
        a.worker != start.worker for a in select_actions(actions, StartRun)
    )
