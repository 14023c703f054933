"""Tests that a run which has to be stopped is stopped in the end.

A task of a cancelled job ran on for as long as its owner did, because its
only stop call had been refused. The members of that family differ in how the
owner changes, how the calls fail, and what the step is like.
"""

import pytest

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import StopAnswered
from sassafrasgate.dispatch.events import StopFailed
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import RunPlace
from sassafrasgate.dispatch.stops import STOP_RETRY_MS
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'
OTHER_JOB = '00000000000000bb'
TICK_MS = 100
NEXT_INCARNATION_MS = 9


def keep_owner(driver):
    """The owner that stopped the run stays."""


def hand_over(driver):
    """A planned stop: the successor gets a snapshot."""
    driver.replace_owner()


def kill(driver):
    """The owner is killed: the successor reads the journal."""
    driver.replace_owner(snapshot=False)


def kill_and_report_late(driver):
    """The successor forgets the job's steps before the worker reports."""
    driver.replace_owner(snapshot=False)
    driver.wait(TICK_MS)


def hand_over_twice(driver):
    """The successor is replaced before its first repeated call."""
    driver.replace_owner()
    driver.report('w0')
    driver.replace_owner()


def kill_after_snapshot(driver):
    """A successor that has read a snapshot is killed."""
    driver.replace_owner()
    driver.report('w0')
    driver.replace_owner(snapshot=False)


OWNER_CHANGES = (
    keep_owner,
    hand_over,
    kill,
    kill_and_report_late,
    hand_over_twice,
    kill_after_snapshot,
)
FAILURES = {
    # The worker's task ends with the call in flight.
    'unknown': None,
    'lost': StopFailed('w0', RunKey('', 0), reason='no reply'),
    'unhealthy': StopFailed('w0', RunKey('', 0), StartRefusal.UNHEALTHY),
    'invalid': StopFailed('w0', RunKey('', 0), StartRefusal.INVALID),
    'misdirected': StopFailed(
        'w0', RunKey('', 0), StartRefusal.OTHER_INCARNATION
    ),
}
STEPS = {
    'batch': make_step(1, 900_000),
    'service': make_step(1, 1_000, long_running=True),
    'latency-critical': make_step(
        1, 1_000, long_running=True, target_ms=100, may_miss=1
    ),
    'gang': make_step(2, 900_000, gang=True),
    'best-effort': make_step(1, 900_000, fills=True),
    'speculative': make_step(1, 900_000, speculative=True),
}


def fail_stops(driver, actions, failure):
    """Let the stop calls among the actions fail; return them."""
    stops = select_actions(actions, StopRun)
    for stop in stops:
        if failure is not None:
            event = StopFailed(
                stop.worker, stop.run, failure.refusal, failure.reason
            )
            actions.extend(driver.feed(event))
    return stops


def run_unhealthy(driver, failure, period_ms):
    """Let a worker report while its stop calls fail; return the calls."""
    stops = []
    for _ in range(period_ms // TICK_MS):
        actions = list(driver.wait(TICK_MS)) + list(driver.report('w0'))
        stops.extend(fail_stops(driver, actions, failure))
    return stops


@pytest.mark.parametrize('kind', STEPS)
@pytest.mark.parametrize('change', OWNER_CHANGES)
@pytest.mark.parametrize('outcome', FAILURES)
def test_a_task_of_a_cancelled_job_ends_although_its_stops_fail(
    kind, change, outcome
):
    # Guards against a cancelled task that runs on because nobody repeats the
    # stop call that its worker refused.
    failure = FAILURES[outcome]
    driver = Driver(workers=1)
    starts = driver.confirm(driver.submit(JOB, STEPS[kind]))
    driver.report('w0')
    fail_stops(driver, list(driver.cancel(JOB)), failure)
    change(driver)
    fail_stops(driver, list(driver.report('w0')), failure)
    run_unhealthy(driver, failure, 4_000)

    driver.now += STOP_RETRY_MS
    actions = list(driver.wait(TICK_MS))
    answered = set()
    while pending := [
        stop
        for stop in select_actions(actions, StopRun)
        if stop.run not in answered
    ]:
        answered.add(pending[0].run)
        actions += driver.feed(StopAnswered('w0', pending[0].run, driver.now))

    assert answered == {start.run for start in starts}


@pytest.mark.parametrize('runs', [1, 8])
@pytest.mark.parametrize('change', OWNER_CHANGES)
def test_a_worker_that_refuses_stops_gets_one_call_a_second(change, runs):
    # Guards against a load of stop calls on a worker that is not healthy.
    driver = Driver(workers=1)
    step = make_step(1, 1_000, long_running=True)
    for number in range(runs):
        driver.confirm(driver.submit(f'{number:016x}', step))
    driver.report('w0')
    for number in range(runs):
        driver.cancel(f'{number:016x}')
    change(driver)
    driver.report('w0')
    refusal = FAILURES['unhealthy']

    stops = run_unhealthy(driver, refusal, 10_000)

    assert 9 <= len(stops) <= 10
    assert len({stop.run for stop in stops}) == runs


def test_stops_of_several_runs_follow_each_other_once_the_worker_replies():
    # Guards against a second for each run after the worker has recovered.
    driver = Driver(workers=1)
    step = make_step(6, 1_000, long_running=True)
    starts = driver.confirm(driver.submit(JOB, step))
    driver.report('w0')
    driver.cancel(JOB)
    driver.replace_owner()
    driver.report('w0')

    driver.now += STOP_RETRY_MS
    (stop,) = select_actions(driver.wait(0), StopRun)
    stopped = [stop.run]
    while stops := select_actions(
        driver.feed(StopAnswered('w0', stopped[-1], driver.now)), StopRun
    ):
        stopped.append(stops[0].run)

    assert sorted(stopped) == sorted(start.run for start in starts)


def test_a_stop_that_one_worker_refuses_does_not_delay_another_worker():
    # Guards against one queue of repeated calls for all workers.
    driver = Driver(workers=2)
    for worker in ('w0', 'w1'):
        driver.running[worker][RunKey(f'{OTHER_JOB}.0.0.{worker[1]}', 1)] = 0
        driver.report(worker)
    driver.now += STOP_RETRY_MS

    stops = select_actions(driver.wait(0), StopRun)

    assert sorted(stop.worker for stop in stops) == ['w0', 'w1']


def test_a_refused_stop_does_not_delay_starts_on_the_worker():
    # Guards against a worker that gets no work because one of its runs can't
    # be stopped.
    driver = Driver(workers=1)
    driver.confirm(driver.submit(JOB, make_step(1, 1_000, long_running=True)))
    driver.report('w0')
    refusal = FAILURES['unhealthy']
    fail_stops(driver, list(driver.cancel(JOB)), refusal)
    run_unhealthy(driver, refusal, 3_000)

    actions = driver.submit(OTHER_JOB, make_step(7, 500))

    assert len(select_actions(actions, StartRun)) == 7
    assert not select_actions(
        driver.submit('00000000000000cc', make_step(1, 500)), StartRun
    )


def let_end(driver, run):
    """The worker lists the end of the run."""
    return driver.report('w0', ended=((run, EndKind.STOPPED),))


def leave_out(driver, run):
    """The worker lists the run neither as present nor as ended."""
    driver.running['w0'].pop(run)
    return driver.report('w0')


def restart_worker(driver, run):
    """The worker begins a new life."""
    driver.running['w0'].pop(run)
    driver.ends['w0'] = 0
    return driver.report('w0', incarnation_ms=NEXT_INCARNATION_MS)


def let_leases_expire(driver, run):
    """The worker is silent until every lease has expired."""
    driver.feed(WorkerSilent('w0', driver.now + 5_000))
    driver.wait(5_001)
    driver.running['w0'].pop(run)
    return driver.report('w0')


@pytest.mark.parametrize(
    'end', [let_end, leave_out, restart_worker, let_leases_expire]
)
def test_a_worker_takes_starts_again_once_an_unknown_run_is_gone(end):
    # Guards against a worker that stays out of use, and against stop calls
    # for a run that is gone.
    driver = Driver(workers=1)
    run = RunKey(f'{OTHER_JOB}.0.0.0', 1)
    driver.running['w0'][run] = 0
    driver.report('w0')
    waiting = driver.submit(JOB, make_step(1, 500))
    assert not select_actions(waiting, StartRun)
    driver.now += 10

    actions = list(end(driver, run))
    actions += driver.wait(STOP_RETRY_MS)

    assert len(select_actions(actions, StartRun)) == 1
    assert not select_actions(actions, StopRun)
    assert RunPlace('w0', run) not in driver.state.pending_stops


def test_a_stop_without_effect_is_in_the_log():
    # Guards against a refused stop that no log line shows.
    driver = Driver(workers=1)
    run = RunKey(f'{OTHER_JOB}.0.0.0', 1)
    driver.running['w0'][run] = 0
    driver.report('w0')

    actions = driver.feed(StopFailed('w0', run, StartRefusal.UNHEALTHY))

    (line,) = select_actions(actions, LogEvent)
    assert line.kind == 'stop-failed'
    assert dict(line.fields) == {
        'run': 1,
        'worker': 'w0',
        'known': False,
        'calls': 1,
        'reason': 'unhealthy',
    }
