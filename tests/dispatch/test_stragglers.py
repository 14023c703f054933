"""Guards runs on workers that turn slow or stand still."""

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.stragglers import INITIAL_PAUSE_MS
from sassafrasgate.dispatch.stragglers import RATE_WINDOW_MS
from sassafrasgate.dispatch.stragglers import STALL_MS
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import pick
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'


def advance(driver, window_ms, gains):
    """Report progress of all runs twice; ``gains`` are by worker."""
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


def test_runs_that_stand_still_move_to_another_worker():
    driver = Driver(workers=3)
    starts = start_spread(driver, 4)
    workers = {start.worker for start in starts}
    still = starts[0].worker
    gains = {worker: 25 for worker in workers - {still}}
    stops = pick(advance(driver, STALL_MS, gains), StopRun)
    assert {stop.worker for stop in stops} == {still}
    assert len(stops) == 2


def test_a_worker_that_is_slower_than_others_gets_nothing_for_a_while():
    driver = Driver(workers=2)
    start_spread(driver, 4)
    advance(driver, RATE_WINDOW_MS, {'w0': 2, 'w1': 30})
    fast = driver.confirm(driver.submit('00000000000000bb', make_step(2)))
    assert {start.worker for start in fast} == {'w1'}
    driver.wait(2 * INITIAL_PAUSE_MS + RATE_WINDOW_MS)
    later = driver.submit('00000000000000cc', make_step(8))
    assert {start.worker for start in driver.confirm(later)} == {'w0', 'w1'}


def test_a_wrong_estimate_alone_moves_nothing():
    # All tasks of the step take ten times what its caller has estimated.
    driver = Driver(workers=2)
    start_spread(driver, 4)
    actions = advance(driver, RATE_WINDOW_MS, {'w0': 1, 'w1': 1})
    assert not pick(actions, StopRun)
    assert not driver.state.slow_workers


def test_members_of_a_gang_say_nothing_about_their_worker():
    # A gang stands still on all its workers when one of them does.
    driver = Driver(workers=2)
    start_spread(driver, 4, gang=True)
    actions = advance(driver, STALL_MS, {})
    assert not pick(actions, StopRun)
    assert not driver.state.slow_workers


def run_slowly(driver, starts, percent_a_s, seconds):
    """Let runs advance by a little in each report; return all actions."""
    actions = []
    for _ in range(seconds):
        driver.now += 1_000
        for start in starts:
            runs = driver.running[start.worker]
            if start.run in runs:
                runs[start.run] += percent_a_s
        for worker in driver.running:
            actions.extend(driver.report(worker))
        actions.extend(driver.wait(1))
    return actions


def test_a_lone_run_that_takes_for_ever_moves_once():
    # Found by the soak (seed 19): the last runs of a cell stood still for
    # 45 s, because there was nothing to compare them with.
    driver = Driver(workers=2)
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 1_000)))
    stops = pick(run_slowly(driver, [start], 1, 5), StopRun)
    assert {stop.run for stop in stops} == {start.run}
    (again,) = driver.confirm(
        driver.report(start.worker, ended=((start.run, EndKind.STOPPED),))
    )
    assert again.worker != start.worker
    assert not pick(run_slowly(driver, [again], 1, 20), StopRun)


def test_a_gang_that_takes_for_ever_moves_once():
    # Its members say nothing about one worker, but the gang has to go on.
    driver = Driver(workers=4)
    step = make_step(2, 1_000, gang=True, max_per_worker=1)
    starts = driver.confirm(driver.submit(JOB, step))
    workers = {start.worker for start in starts}
    stops = pick(run_slowly(driver, starts, 0, 5), StopRun)
    assert {stop.run for stop in stops} == {start.run for start in starts}
    actions = []
    for start in starts:
        ended = ((start.run, EndKind.STOPPED),)
        actions.extend(driver.report(start.worker, ended=ended))
    again = driver.confirm(actions)
    assert not workers & {start.worker for start in again}
    assert not pick(run_slowly(driver, again, 0, 20), StopRun)


def test_a_run_of_a_task_that_is_longer_than_estimated_is_left_alone():
    # Some jobs take up to five times their estimates; work would be lost.
    driver = Driver(workers=2)
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 1_000)))
    assert not pick(run_slowly(driver, [start], 20, 4), StopRun)
