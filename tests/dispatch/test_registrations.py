"""Tests of changes to a worker's entry in the store."""

from dataclasses import replace

import pytest

from sassafrasgate.core.workflows import EndedRun
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import AllowStarts
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.actions import WatchWorker
from sassafrasgate.dispatch.events import RegistrationsConfirmed
from sassafrasgate.dispatch.events import StopAnswered
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.events import WorkersListed
from sassafrasgate.dispatch.events import WorkerUnregistered
from sassafrasgate.dispatch.leases import make_fencing_token
from sassafrasgate.dispatch.leases import RESTARTS_PER_WATCH
from sassafrasgate.dispatch.transitions import decide
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import INCARNATION_MS
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import WALL_MS

JOB = '00000000000000aa'


def test_a_worker_at_a_new_address_gets_higher_fencing_tokens():
    # Found by a random run (seed 5275): the worker had obeyed a call for its
    # second incarnation. After its entry changed, calls began with the token
    # of the first incarnation again. The owner took the refusal as a sign of a
    # newer owner and stepped down.
    driver = Driver(workers=1)
    entry = driver.state.workers['w0'].registration
    watches = select_actions(driver.actions, WatchWorker)
    for number in range(3):
        moved = replace(entry, address=f'10.0.1.{number}:1')
        actions = driver.feed(WorkerRegistered(moved))
        watches.extend(select_actions(actions, WatchWorker))

    fencing_tokens = [
        make_fencing_token(1, watch.restarts) for watch in watches
    ]
    assert fencing_tokens == sorted(set(fencing_tokens))
    assert fencing_tokens[1] > make_fencing_token(1, RESTARTS_PER_WATCH - 1)
    assert fencing_tokens[-1] < make_fencing_token(2, 0)


def test_leases_granted_at_the_previous_address_are_waited_for():
    # Guards against a second run of a task while the lease of the first run is
    # still valid.
    driver = Driver(workers=1)
    entry = driver.state.workers['w0'].registration
    before = driver.state.workers['w0'].leases_expire_at
    driver.now += 1_000
    driver.feed(WorkerRegistered(replace(entry, address='10.0.1.9:1')))
    after = driver.state.workers['w0'].leases_expire_at
    assert after > max(before, driver.now)


def move(driver, worker='w0'):
    """Change a worker's address; return the actions."""
    entry = driver.state.workers[worker].registration
    return driver.feed(WorkerRegistered(replace(entry, address='10.0.1.9:1')))


def test_ends_are_acknowledged_again_at_a_new_address():
    # Guards against ends that the worker lists for as long as the owner lives:
    # the task for the new address doesn't know what was acknowledged.
    driver = Driver(workers=1)
    driver.confirm(driver.submit(JOB, make_step(1, 500)))
    (start,) = select_actions(driver.actions, StartRun)
    driver.finish(start)
    move(driver)
    driver.now += 10
    end = EndedRun(1, *start.run, EndKind.FINISHED, '')
    report = WorkerReport(driver.now, INCARNATION_MS, (), (end,))

    actions = driver.feed(
        WorkerReported('w0', report, driver.now, driver.now + 5_000)
    )

    assert select_actions(actions, AcknowledgeEnds) == [
        AcknowledgeEnds('w0', INCARNATION_MS, 1)
    ]


def test_an_end_is_not_acknowledged_before_its_record_is_durable():
    # Guards against a task that starts again after its end was acknowledged.
    driver = Driver(workers=1)
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 500)))
    end = EndedRun(1, *start.run, EndKind.FINISHED, '')
    report = WorkerReport(driver.now, INCARNATION_MS, (), (end,))
    event = WorkerReported('w0', report, driver.now, driver.now + 5_000)
    actions = []
    for _ in range(2):
        actions += decide(
            driver.state, event, driver.now, WALL_MS + driver.now
        )

    assert not select_actions(actions, AcknowledgeEnds)


@pytest.mark.parametrize('arrived', [False, True])
def test_an_unanswered_start_is_settled_at_a_new_address(arrived):
    # Guards against a task that never runs: its start call was cut short when
    # the task for the new address replaced the one that made the call.
    driver = Driver(workers=1)
    (start,) = select_actions(driver.submit(JOB, make_step(1, 500)), StartRun)
    actions = list(move(driver))
    if arrived:
        driver.running['w0'][start.run] = 0
    driver.now += 10
    actions += driver.report('w0')
    (stop,) = select_actions(actions, StopRun)
    driver.feed(StopAnswered('w0', stop.run, driver.now))
    driver.now += 10
    ended = ((start.run, EndKind.STOPPED),) if arrived else ()
    actions = list(driver.report('w0', ended=ended))

    assert stop.run == start.run
    (again,) = select_actions(actions, StartRun)
    assert again.run.task == start.run.task


def test_starts_are_forbidden_once_a_worker_is_leaving_or_has_no_entry():
    # Guards against starts that were decided before the entry changed.
    driver = Driver(workers=1)
    entry = driver.state.workers['w0'].registration
    leaving = replace(entry, leaving=True)
    expected = (
        (WorkerRegistered(leaving), [False]),
        (WorkerRegistered(replace(leaving, remaining_ms=9)), []),
        (WorkerRegistered(entry), [True]),
        (WorkerUnregistered('w0'), [False]),
        (WorkersListed((leaving,)), []),
        (WorkersListed((entry,)), [True]),
        (WorkersListed(()), [False]),
    )
    for event, allowed in expected:
        actions = select_actions(driver.feed(event), AllowStarts)
        assert [action.allowed for action in actions] == allowed, event


def test_age_of_entries_includes_the_wait_in_the_inbox():
    # Guards against a log that calls the entries up to date while their
    # changes wait behind other events.
    driver = Driver()
    received_at = driver.now
    driver.now += 900
    driver.feed(RegistrationsConfirmed(received_at))
    driver.now += 100
    actions = driver.submit('00000000000000aa', make_step(1, 9_000))
    lines = select_actions(actions, LogEvent)
    ages = [dict(line.fields).get('entries_age_ms') for line in lines]
    assert 1_000 in ages
