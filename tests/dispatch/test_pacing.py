"""Tests of the pace of best-effort tasks beside latency-critical tasks."""

import pytest

from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.actions import PaceRun
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import PaceAnswered
from sassafrasgate.dispatch.pacing import FULL_PACE_PERCENT
from sassafrasgate.dispatch.pacing import INITIAL_PACE_PERCENT
from sassafrasgate.dispatch.pacing import PACE_RETRY_MS
from sassafrasgate.dispatch.pacing import RAISE_INTERVAL_MS
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

LATENCY_CRITICAL_JOB = '5c0e7a21d94b36f8'
BEST_EFFORT_JOB = '6c0e7a21d94b36f8'
TARGET_MS = 100
LOW_LATENCY_MS = 20
HIGH_LATENCY_MS = 95


def start_latency_critical(driver, tasks=1):
    step = make_step(
        tasks, 1_000, long_running=True, target_ms=TARGET_MS, may_miss=1
    )
    return driver.confirm(driver.submit(LATENCY_CRITICAL_JOB, step))


def start_best_effort(driver, tasks=1):
    demand = Resources(8_000, 100)
    step = make_step(tasks, 60_000, fills=True, demand=demand)
    return driver.confirm(driver.submit(BEST_EFFORT_JOB, step))


def confirm_paces(driver, paces):
    """Let workers confirm paces."""
    for action in paces:
        driver.feed(PaceAnswered(action.worker, action.run, action.percent))


@pytest.fixture
def shared():
    """Return a driver whose only worker has a task of either kind."""
    driver = Driver(workers=1)
    start_latency_critical(driver)
    start_best_effort(driver)
    driver.report('w0', load=LOW_LATENCY_MS)
    confirm_paces(driver, select_actions(driver.wait(PACE_RETRY_MS), PaceRun))
    return driver


def report_latency(driver, load, wait_ms=PACE_RETRY_MS):
    driver.now += wait_ms
    driver.report('w0', load=load)
    paces = select_actions(driver.wait(PACE_RETRY_MS), PaceRun)
    confirm_paces(driver, paces)
    return [action.percent for action in paces]


def test_best_effort_tasks_reserve_no_processor_time():
    # Guards against best-effort tasks that wait for capacity that they do not
    # need.
    driver = Driver(workers=1)
    start_latency_critical(driver)

    assert len(start_best_effort(driver, tasks=3)) == 3


def test_best_effort_tasks_avoid_workers_with_latency_critical_tasks():
    # Guards against a slowdown of latency-critical tasks while another worker
    # has none.
    driver = Driver(workers=2)
    (latency_critical,) = start_latency_critical(driver)

    assert {start.worker for start in start_best_effort(driver, tasks=3)} != {
        latency_critical.worker
    }


def test_best_effort_tasks_begin_slowly_beside_latency_critical_ones():
    # Guards against full load before a latency has been measured.
    driver = Driver(workers=1)
    start_latency_critical(driver)
    start_best_effort(driver)

    (action,) = select_actions(driver.wait(100), PaceRun)
    assert action.percent == INITIAL_PACE_PERCENT


def test_a_latency_near_its_target_stops_best_effort_tasks(shared):
    # Guards against a latency target that is missed for seconds because of
    # best-effort tasks.
    assert report_latency(shared, HIGH_LATENCY_MS) == [0]
    assert report_latency(shared, HIGH_LATENCY_MS) == []


def test_the_pace_rises_again_step_by_step(shared):
    # Guards against best-effort tasks that stay stopped.
    report_latency(shared, HIGH_LATENCY_MS)

    paces = [
        report_latency(shared, LOW_LATENCY_MS, RAISE_INTERVAL_MS)
        for _ in range(5)
    ]

    assert paces == [[25], [50], [75], [FULL_PACE_PERCENT], []]


def test_a_pace_is_not_raised_on_an_old_latency(shared):
    # Guards against a pace that is raised because of a latency measured before
    # the last change of the pace.
    report_latency(shared, HIGH_LATENCY_MS)

    assert not select_actions(shared.wait(RAISE_INTERVAL_MS), PaceRun)


def test_a_pace_without_a_reply_is_sent_again():
    # Guards against a lost call that leaves a best-effort task at full speed.
    driver = Driver(workers=1)
    start_latency_critical(driver)
    start_best_effort(driver)
    assert select_actions(driver.wait(100), PaceRun)

    assert not select_actions(driver.wait(100), PaceRun)
    assert select_actions(driver.wait(PACE_RETRY_MS), PaceRun)


def test_a_worker_without_best_effort_tasks_gets_no_pace():
    # Guards against unnecessary calls.
    driver = Driver(workers=1)
    start_latency_critical(driver)
    driver.report('w0', load=HIGH_LATENCY_MS)

    assert not select_actions(driver.wait(PACE_RETRY_MS), PaceRun)


def test_no_pace_is_sent_before_a_start_is_confirmed():
    # Guards against a pace call for a run that the worker does not have yet.
    driver = Driver(workers=1)
    start_latency_critical(driver)
    step = make_step(1, 60_000, fills=True)
    actions = driver.submit(BEST_EFFORT_JOB, step)

    assert select_actions(actions, StartRun)
    assert not select_actions(driver.wait(100), PaceRun)


def test_best_effort_tasks_at_full_pace_can_be_stopped_again(shared):
    # Guards against a new pace that is never sent because the best-effort task
    # has worked at full pace before.
    for _ in range(4):
        report_latency(shared, LOW_LATENCY_MS, RAISE_INTERVAL_MS)

    assert report_latency(shared, HIGH_LATENCY_MS) == [0]
