"""Guards tasks that serve users from those that fill beside them."""

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
from tests.dispatch.drivers import pick
from tests.dispatch.simulation import make_step

SERVING_JOB = '5c0e7a21d94b36f8'
FILLING_JOB = '6c0e7a21d94b36f8'
TARGET_MS = 100
CALM_MS = 20
STRAINED_MS = 95


def serve(driver, tasks=1):
    step = make_step(
        tasks, 1_000, long_running=True, target_ms=TARGET_MS, may_miss=1
    )
    return driver.confirm(driver.submit(SERVING_JOB, step))


def fill(driver, tasks=1):
    demand = Resources(8_000, 100)
    step = make_step(tasks, 60_000, fills=True, demand=demand)
    return driver.confirm(driver.submit(FILLING_JOB, step))


def settle(driver, paces):
    """Let workers put paces in force."""
    for action in paces:
        driver.feed(PaceAnswered(action.worker, action.run, action.percent))


@pytest.fixture
def shared():
    """Return a driver whose only worker serves and fills."""
    driver = Driver(workers=1)
    serve(driver)
    fill(driver)
    driver.report('w0', load=CALM_MS)
    settle(driver, pick(driver.wait(PACE_RETRY_MS), PaceRun))
    return driver


def look(driver, load, wait_ms=PACE_RETRY_MS):
    driver.now += wait_ms
    driver.report('w0', load=load)
    paces = pick(driver.wait(PACE_RETRY_MS), PaceRun)
    settle(driver, paces)
    return [action.percent for action in paces]


def test_filling_takes_no_reserved_processor_time():
    # Guards against filling tasks that wait for room they do not need.
    driver = Driver(workers=1)
    serve(driver)

    assert len(fill(driver, tasks=3)) == 3


def test_filling_avoids_workers_that_serve():
    # Guards against harm where another worker has nothing to disturb.
    driver = Driver(workers=2)
    (serving,) = serve(driver)

    assert {start.worker for start in fill(driver, tasks=3)} != {
        serving.worker
    }


def test_filling_begins_slowly_beside_a_serving_task():
    # Guards against a full load before any latency has been measured.
    driver = Driver(workers=1)
    serve(driver)
    fill(driver)

    (action,) = pick(driver.wait(100), PaceRun)
    assert action.percent == INITIAL_PACE_PERCENT


def test_a_strained_target_stops_the_filling_tasks(shared):
    # Guards against a target that is missed for seconds because of them.
    assert look(shared, STRAINED_MS) == [0]
    assert look(shared, STRAINED_MS) == []


def test_filling_tasks_speed_up_again_step_by_step(shared):
    # Guards against filling tasks that stand still for good.
    look(shared, STRAINED_MS)

    paces = [look(shared, CALM_MS, RAISE_INTERVAL_MS) for _ in range(5)]

    assert paces == [[25], [50], [75], [FULL_PACE_PERCENT], []]


def test_a_pace_is_not_raised_on_an_old_latency(shared):
    # Guards against raising by what was measured before the last change.
    look(shared, STRAINED_MS)

    assert not pick(shared.wait(RAISE_INTERVAL_MS), PaceRun)


def test_a_pace_without_an_answer_is_sent_again():
    # Guards against a lost call that leaves a filling task at full speed.
    driver = Driver(workers=1)
    serve(driver)
    fill(driver)
    assert pick(driver.wait(100), PaceRun)

    assert not pick(driver.wait(100), PaceRun)
    assert pick(driver.wait(PACE_RETRY_MS), PaceRun)


def test_a_worker_without_fills_gets_no_pace():
    # Guards against calls that nothing needs.
    driver = Driver(workers=1)
    serve(driver)
    driver.report('w0', load=STRAINED_MS)

    assert not pick(driver.wait(PACE_RETRY_MS), PaceRun)


def test_starts_of_filling_tasks_are_still_starts():
    # Guards against a pace call for a run that the worker does not have.
    driver = Driver(workers=1)
    serve(driver)
    step = make_step(1, 60_000, fills=True)
    actions = driver.submit(FILLING_JOB, step)

    assert pick(actions, StartRun)
    assert not pick(driver.wait(100), PaceRun)


def test_filling_tasks_at_full_pace_can_be_stopped_again(shared):
    # Guards against a decision that is never sent, once a filling task has
    # worked at full pace.
    for _ in range(4):
        look(shared, CALM_MS, RAISE_INTERVAL_MS)

    assert look(shared, STRAINED_MS) == [0]
