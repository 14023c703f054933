"""Tests of runs on workers that become slow or stall."""

from itertools import pairwise

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.speeds import RATE_WINDOW_MS
from sassafrasgate.dispatch.speeds import STALL_MS
from sassafrasgate.dispatch.stragglers import INITIAL_PAUSE_MS
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


def start_jobs(driver, jobs, **fields):
    """Start a job of one task for each id; return the starts."""
    step = make_step(1, 4_000, **fields)
    return [driver.confirm(driver.submit(job, step))[0] for job in jobs]


def list_jobs(count, first=0):
    return [f'{number:016x}' for number in range(first, first + count)]


def finish_elsewhere(driver, estimate_ms, ran_ms):
    """Let a job finish, which tells how accurate estimates are."""
    step = make_step(1, estimate_ms, label='fast')
    (start,) = driver.confirm(driver.submit('00000000000000ee', step))
    driver.wait(ran_ms)
    driver.finish(start)


def test_several_jobs_on_a_slow_worker_move():
    # Guards against runs that stay on a slow worker because no other run of
    # their steps can be compared with them.
    driver = Driver(workers=3, labels={'w2': ('fast',)})
    finish_elsewhere(driver, 2_000, 2_000)
    starts = start_jobs(driver, list_jobs(3))
    (worker,) = {start.worker for start in starts}
    stops = select_actions(advance(driver, 1_000, {worker: 4}), StopRun)
    assert {stop.run for stop in stops} == {start.run for start in starts}
    assert worker in driver.state.slow_workers


def test_estimates_that_are_wrong_everywhere_move_nothing():
    # Guards against a worker that counts as slow because its jobs, like those
    # of other workers, take several times their estimates.
    driver = Driver(workers=3, labels={'w2': ('fast',)})
    finish_elsewhere(driver, 400, 2_000)
    starts = start_jobs(driver, list_jobs(3))
    (worker,) = {start.worker for start in starts}
    actions = advance(driver, 1_000, {worker: 5})
    assert not select_actions(actions, StopRun)
    assert not driver.state.slow_workers


def test_one_job_does_not_pause_a_worker_but_a_second_one_does():
    # Guards against workers that get no new runs because of a job whose tasks
    # make no progress anywhere, and against jobs that go to a stalled worker
    # one after the other.
    labels = {'w0': ('few', 'one'), 'w1': ('few',)}
    driver = Driver(workers=3, labels=labels)
    first, second = list_jobs(2)
    (start,) = start_jobs(driver, [first], label='few')
    assert start.worker == 'w0'
    stops = select_actions(advance(driver, STALL_MS, {}), StopRun)
    assert [stop.run for stop in stops] == [start.run]
    assert not driver.state.slow_workers
    ended = ((start.run, EndKind.STOPPED),)
    (again,) = driver.confirm(driver.report('w0', ended=ended))
    assert again.worker == 'w1'
    start_jobs(driver, [second], label='one')
    advance(driver, STALL_MS, {'w1': 30})
    assert set(driver.state.slow_workers) == {'w0'}


def test_a_task_moves_further_apart_each_time():
    # Guards against a task that is moved so often that no run of it lasts
    # long enough to finish.
    driver = Driver(workers=2)
    (start,) = start_jobs(driver, [JOB])
    ran_ms = []
    for _ in range(4):
        began = driver.now
        driver.running[start.worker][start.run] = 20
        for _ in range(120):
            driver.now += 500
            actions = driver.report(start.worker)
            actions += driver.wait(1)
            if select_actions(actions, StopRun):
                break
        else:
            break
        ran_ms.append(driver.now - began)
        ended = ((start.run, EndKind.STOPPED),)
        (start,) = driver.confirm(driver.report(start.worker, ended=ended))
    for earlier, later in pairwise(ran_ms):
        assert later >= 2 * earlier


def test_nothing_moves_without_another_worker():
    # Guards against work that is lost because a task starts again on the
    # only worker that it may use.
    driver = Driver(workers=1)
    start_jobs(driver, list_jobs(2))
    assert not select_actions(advance(driver, STALL_MS, {}), StopRun)


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
