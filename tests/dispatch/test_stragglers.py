"""Tests of runs on workers that become slow or stall."""

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.stragglers import INITIAL_PAUSE_MS
from sassafrasgate.dispatch.stragglers import RATE_WINDOW_MS
from sassafrasgate.dispatch.stragglers import STALL_MS
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'


def advance(driver, window_ms, gains):
    """Report the progress of all runs twice; ``gains`` is by worker."""
    for worker in driver.running:
        driver.report(worker)
    driver.now += window_ms
    for worker, runs in driver.running.items():
        for run in runs:
            runs[run] += gains.get(worker, 0)
        driver.report(worker)
    return driver.wait(1)


def start_spread(driver, tasks, **fields):
    step = make_step(tasks, 4_000, max_per_worker=2, **fields)
    return driver.confirm(driver.submit(JOB, step))


def test_stalled_runs_move_to_another_worker():
    driver = Driver(workers=3)
    starts = start_spread(driver, 4)
    workers = {start.worker for start in starts}
    stalled = starts[0].worker
    gains = {worker: 25 for worker in workers - {stalled}}
    stops = select_actions(advance(driver, STALL_MS, gains), StopRun)
    assert {stop.worker for stop in stops} == {stalled}
    assert len(stops) == 2


def test_a_worker_slower_than_others_gets_no_new_runs_for_a_while():
    driver = Driver(workers=2)
    start_spread(driver, 4)
    advance(driver, RATE_WINDOW_MS, {'w0': 2, 'w1': 30})
    fast = driver.confirm(driver.submit('00000000000000bb', make_step(2)))
    assert {start.worker for start in fast} == {'w1'}
    driver.wait(2 * INITIAL_PAUSE_MS + RATE_WINDOW_MS)
    later = driver.submit('00000000000000cc', make_step(8))
    assert {start.worker for start in driver.confirm(later)} == {'w0', 'w1'}


def test_a_wrong_estimate_alone_moves_nothing():
    # All tasks of the step take ten times as long as estimated.
    driver = Driver(workers=2)
    start_spread(driver, 4)
    actions = advance(driver, RATE_WINDOW_MS, {'w0': 1, 'w1': 1})
    assert not select_actions(actions, StopRun)
    assert not driver.state.slow_workers


def test_progress_of_gang_members_does_not_mark_a_worker_as_slow():
    # If one worker stalls, the gang makes no progress on any of its workers.
    driver = Driver(workers=2)
    start_spread(driver, 4, gang=True)
    actions = advance(driver, STALL_MS, {})
    assert not select_actions(actions, StopRun)
    assert not driver.state.slow_workers


def run_slowly(driver, starts, percent_per_s, seconds):
    """Let runs advance by a few percent per second; return all actions."""
    actions = []
    for _ in range(seconds):
        driver.now += 1_000
        for start in starts:
            runs = driver.running[start.worker]
            if start.run in runs:
                runs[start.run] += percent_per_s
        for worker in driver.running:
            actions.extend(driver.report(worker))
        actions.extend(driver.wait(1))
    return actions


def test_an_overdue_run_moves_once():
    # Found by the soak test (seed 19): the last runs of a cell made no
    # progress for 45 s and were not moved, because there were no other runs
    # to compare them with.
    driver = Driver(workers=2)
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 1_000)))
    stops = select_actions(run_slowly(driver, [start], 1, 5), StopRun)
    assert {stop.run for stop in stops} == {start.run}
    (again,) = driver.confirm(
        driver.report(start.worker, ended=((start.run, EndKind.STOPPED),))
    )
    assert again.worker != start.worker
    assert not select_actions(run_slowly(driver, [again], 1, 20), StopRun)


def test_an_overdue_gang_moves_once():
    # The progress of its members says nothing about a single worker, but the
    # gang still has to be moved.
    driver = Driver(workers=4)
    step = make_step(2, 1_000, gang=True, max_per_worker=1)
    starts = driver.confirm(driver.submit(JOB, step))
    workers = {start.worker for start in starts}
    stops = select_actions(run_slowly(driver, starts, 0, 5), StopRun)
    assert {stop.run for stop in stops} == {start.run for start in starts}
    actions = []
    for start in starts:
        ended = ((start.run, EndKind.STOPPED),)
        actions.extend(driver.report(start.worker, ended=ended))
    again = driver.confirm(actions)
    assert not workers & {start.worker for start in again}
    assert not select_actions(run_slowly(driver, again, 0, 20), StopRun)


def test_a_run_of_a_task_that_is_longer_than_estimated_is_not_moved():
    # Some jobs take up to five times as long as estimated. Moving their runs
    # would lose work.
    driver = Driver(workers=2)
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 1_000)))
    assert not select_actions(run_slowly(driver, [start], 20, 4), StopRun)


@pytest.mark.parametrize('gang', [False, True])
def test_a_run_on_a_silent_worker_is_not_judged_by_an_old_rate(gang):
    # Guards against work that is given up because its worker was silent for a
    # while: the run made little progress before and much of it since.
    driver = Driver(workers=2)
    step = make_step(2 if gang else 1, 1_000, gang=gang, max_per_worker=1)
    starts = driver.confirm(driver.submit(JOB, step))
    silent = starts[0].worker
    actions = advance(driver, RATE_WINDOW_MS, {silent: 1})
    for _ in range(7):
        actions += driver.feed(WorkerSilent(silent, driver.now + 5_000))
        actions += driver.wait(500)
    for start in starts:
        driver.running[start.worker][start.run] = 90
        actions += driver.report(start.worker)
    actions += driver.wait(500)
    assert not select_actions(actions, StopRun)
