"""Tests of tasks on a worker that restarts under the same id."""

from dataclasses import replace

import pytest

from sassafrasgate.core.workers import Registration
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import WorkersListed
from tests.dispatch.drivers import CAPACITY
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import INCARNATION_MS
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


def register_lives(driver, lives):
    """Let workers' entries name a life each; return the actions."""
    entries = [entry.registration for entry in driver.state.workers.values()]
    return driver.feed(
        WorkersListed(
            tuple(
                replace(entry, incarnation_ms=life, labels=labels)
                for entry, (life, labels) in zip(entries, lives, strict=True)
            )
        )
    )


def test_a_task_waits_for_the_entry_of_its_workers_new_life():
    # Guards against a task that starts on a worker without the label that it
    # requires: the worker has started again as another kind, and its entry
    # still describes its previous life.
    driver = Driver(workers=1)
    register_lives(driver, [(INCARNATION_MS, ('a', 'r1'))])
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 500, label='a')))
    driver.report(start.worker)
    driver.now += 10

    first, second = restart(driver, start)
    assert not select_actions(first + second, StartRun)
    other_kind = register_lives(driver, [(NEXT_INCARNATION_MS, ('b', 'r1'))])
    assert not select_actions(other_kind, StartRun)
    same_kind = register_lives(driver, [(NEXT_INCARNATION_MS, ('a', 'r1'))])
    assert select_actions(same_kind, StartRun)


def test_a_task_waits_for_the_report_of_its_workers_new_life():
    # Guards against the same where the entry is known before the restart: the
    # previous life may have run out of room for the task.
    driver = Driver(workers=1)
    register_lives(driver, [(NEXT_INCARNATION_MS, ('a', 'r1'))])
    waiting = driver.submit(JOB, make_step(1, 500, label='a'))
    assert not select_actions(waiting, StartRun)
    driver.now += 10

    actions = driver.report('w0', incarnation_ms=NEXT_INCARNATION_MS)

    assert select_actions(actions, StartRun)


@pytest.mark.parametrize('lives', [(0, 0), (0, 7), (7, 0)])
def test_a_worker_that_names_no_life_takes_tasks(lives):
    # Guards against a worker that never gets work because it names no life.
    described, reported = lives
    driver = Driver(workers=0)
    entry = Registration(
        'w0', 'p', '10.0.0.0:1', 'd1', CAPACITY, incarnation_ms=described
    )
    driver.running['w0'] = {}
    driver.feed(WorkersListed((entry,)))
    driver.report('w0', incarnation_ms=reported)

    assert select_actions(driver.submit(JOB, make_step(1, 500)), StartRun)


def test_a_worker_that_refuses_a_start_as_invalid_is_avoided():
    # Guards against a start call every few milliseconds to such a worker.
    driver, start = start_one()

    reply = driver.make_reply(StartRefusal.INVALID)
    actions = driver.feed(RunAnswered(start.worker, start.run, reply))

    assert all(
        a.worker != start.worker for a in select_actions(actions, StartRun)
    )
