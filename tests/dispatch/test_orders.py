"""Table of the orders to workers: who repeats each, and until when.

A call to a worker may be refused, lost or cut short. An order that nobody
repeats then has no effect for as long as the owner lives, such as the stop of
a cancelled task. Each row of the table is played: the order is lost, the owner
repeats it, a successor gives it again, and it ends.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

import pytest

from sassafrasgate.core.registries import Registry
from sassafrasgate.core.workflows import EndedRun
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.daemons.messages import OwnerLeaseChanged
from sassafrasgate.daemons.workers import COMMAND_HANDLERS
from sassafrasgate.daemons.workers import UPDATE_HANDLERS
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import AllowStarts
from sassafrasgate.dispatch.actions import ChangeHoldWait
from sassafrasgate.dispatch.actions import PaceRun
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.actions import WatchWorker
from sassafrasgate.dispatch.events import RunUnanswered
from sassafrasgate.dispatch.events import StopAnswered
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.shards.events import StopRequested
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import INCARNATION_MS
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '00000000000000aa'
SERVICE_JOB = '00000000000000bb'
# Longer than any pause between two calls for one order.
PERIOD_MS = 1_100
# Messages that only change the worker's task, which sends no call for them.
# `WatchWorker` gives a new task their current values.
LOCAL_UPDATES = {AllowStarts, ChangeHoldWait, OwnerLeaseChanged}


@dataclass(frozen=True)
class Order:
    """A row of the table.

    Parameters
    ----------
    kind : type
        Action that gives the order.
    repeated_by : str
        Who repeats it.
    ends_when : str
        What ends the repetition.
    learned_from : str
        How an owner after the next one learns of it.
    give : callable
        Brings the order about on worker ``w0``, and loses its call.
    end : callable
        Lets the condition occur that ends the repetition.
    repeated_as : type
        Action that settles the order; by default the same as ``kind``.
    """

    kind: type[Any]
    repeated_by: str
    ends_when: str
    learned_from: str
    give: Callable[[Driver], list[Any]]
    end: Callable[[Driver], None]
    repeated_as: type[Any] | None = None


ORDERS: Registry[str, Order] = Registry('order')


def observe(driver):
    """Let a report arrive and time pass; return the actions."""
    actions = list(driver.report('w0'))
    for _ in range(PERIOD_MS // 100):
        actions += driver.wait(100)
    return actions


def start_service(driver):
    step = make_step(1, 1_000, long_running=True)
    (start,) = driver.confirm(driver.submit(JOB, step))
    driver.report('w0')
    return start.run


def stop_known_run(driver):
    start_service(driver)
    return driver.cancel(JOB)


def stop_unknown_run(driver):
    driver.running['w0'][RunKey(f'{JOB}.0.0.0', 1)] = 0
    return driver.report('w0')


def end_all_runs(driver):
    ended = [(run, EndKind.STOPPED) for run in driver.running['w0']]
    driver.report('w0', ended=ended)


def lose_start(driver):
    return driver.submit(JOB, make_step(1, 900_000))


def settle_start(driver):
    """The worker replies to the stop, so that the start has no effect."""
    driver.feed(RunUnanswered('w0', RunKey(f'{JOB}.0.0.0', 1), True))
    driver.feed(StopAnswered('w0', RunKey(f'{JOB}.0.0.0', 1), driver.now))
    driver.now += 10
    driver.confirm(driver.report('w0'))


def slow_best_effort_run(driver):
    service = make_step(1, 1_000, long_running=True, target_ms=100, may_miss=1)
    driver.confirm(driver.submit(SERVICE_JOB, service))
    step = make_step(1, 900_000, fills=True)
    driver.confirm(driver.submit(JOB, step))
    return observe(driver)


def end_job(driver):
    driver.cancel(JOB)
    driver.cancel(SERVICE_JOB)
    end_all_runs(driver)


def acknowledge_end(driver):
    """The worker lists an end again, as its task at a new address sees it."""
    run = RunKey(f'{JOB}.0.0.0', 1)
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 500)))
    assert start.run == run
    actions = list(driver.finish(start))
    entry = driver.state.workers['w0'].registration
    driver.feed(WorkerRegistered(replace(entry, address='10.0.1.9:1')))
    driver.listed = (EndedRun(1, *run, EndKind.FINISHED, ''),)
    return actions


def drop_ends(driver):
    driver.listed = ()


def report_again(driver):
    """Let a report arrive that lists ends again; return the actions."""
    driver.now += PERIOD_MS
    report = WorkerReport(driver.now, INCARNATION_MS, (), driver.listed)
    return driver.feed(
        WorkerReported('w0', report, driver.now, driver.now + 5_000)
    )


OBSERVE = {'acknowledgement': report_again}

ORDERS.register('stop of a known run')(
    Order(
        StopRun,
        'the owner, from its pending stops',
        'the run is gone: not listed any more, the life of the worker has '
        'ended, or every lease there has expired',
        "the worker's list of runs",
        stop_known_run,
        end_all_runs,
    )
)
ORDERS.register('stop of an unknown run')(
    Order(
        StopRun,
        'the owner, from its pending stops',
        'as for a known run',
        "the worker's list of runs",
        stop_unknown_run,
        end_all_runs,
    )
)
ORDERS.register('start')(
    Order(
        StartRun,
        "the worker's task, up to four times; then the owner stops the run, "
        'and starts another one',
        'a reply, a report of the run, or the reply to its stop',
        "the worker's list of runs; the task is queued once it cannot run",
        lose_start,
        settle_start,
        StopRun,
    )
)
ORDERS.register('pace')(
    Order(
        PaceRun,
        'the owner, until the worker has confirmed the pace',
        'the confirmation, or the run is gone',
        "the worker's list of runs; any pace may be in force there",
        slow_best_effort_run,
        end_job,
    )
)
ORDERS.register('acknowledgement')(
    Order(
        AcknowledgeEnds,
        "the worker's task with each poll; the owner, when a worker lists an "
        'acknowledged end again',
        'the worker does not list the end any more',
        "the worker's list of ends",
        acknowledge_end,
        drop_ends,
    )
)


def test_each_order_to_a_worker_is_in_the_table():
    # Guards against a new order that is sent once and that nobody repeats.
    kinds = {ORDERS.find(name).kind for name in ORDERS}
    assert kinds | LOCAL_UPDATES == {*COMMAND_HANDLERS, *UPDATE_HANDLERS}


def lose(driver, order, actions):
    """Lose the calls for an order, and tell the owner what it learns."""
    assert select_actions(actions, order.kind)
    if order.kind is StartRun:
        for start in select_actions(actions, StartRun):
            driver.feed(RunUnanswered(start.worker, start.run, True))


@pytest.mark.parametrize('name', list(ORDERS))
def test_a_lost_order_is_repeated_until_it_has_ended(name):
    order = ORDERS.find(name)
    observe_order = OBSERVE.get(name, observe)
    repeated = order.repeated_as or order.kind
    driver = Driver(workers=1)
    lose(driver, order, list(order.give(driver)))

    assert select_actions(observe_order(driver), repeated)
    assert select_actions(observe_order(driver), repeated)
    order.end(driver)
    observe_order(driver)
    assert not select_actions(observe_order(driver), repeated)


@pytest.mark.parametrize('snapshot', [True, False])
@pytest.mark.parametrize('successors', [1, 2])
@pytest.mark.parametrize('name', [n for n in ORDERS if n != 'start'])
def test_later_owners_repeat_an_order_that_was_lost(
    name, successors, snapshot
):
    # Guards against an order that only the owner which gave it knows of.
    order = ORDERS.find(name)
    observe_order = OBSERVE.get(name, observe)
    driver = Driver(workers=1)
    lose(driver, order, list(order.give(driver)))
    for _ in range(successors):
        driver.replace_owner(snapshot)

    assert select_actions(observe_order(driver), order.kind)
    assert select_actions(observe_order(driver), order.kind)


@pytest.mark.parametrize('snapshot', [True, False])
def test_a_task_whose_start_was_lost_starts_under_a_later_owner(snapshot):
    # Guards against a task that never runs because its start call was lost
    # together with the owner that made it.
    driver = Driver(workers=1)
    driver.submit(JOB, make_step(1, 900_000))
    driver.replace_owner(snapshot)

    (start,) = select_actions(observe(driver), StartRun)

    assert start.run.task == f'{JOB}.0.0.0'


@pytest.mark.parametrize('snapshot', [True, False])
def test_a_cancellation_during_a_planned_stop_reaches_the_successor(snapshot):
    # Guards against a task that runs on because its job was cancelled by an
    # owner that no longer calls workers.
    driver = Driver(workers=1)
    run = start_service(driver)
    driver.feed(StopRequested())
    driver.cancel(JOB)
    driver.replace_owner(snapshot)

    for _ in range(2):
        stops = select_actions(observe(driver), StopRun)
        assert {stop.run for stop in stops} == {run}


def test_a_new_address_gets_the_current_values_of_local_updates():
    # Guards against a worker's task that assumes an earlier state.
    driver = Driver(workers=1)
    entry = driver.state.workers['w0'].registration
    moved = replace(entry, address='10.0.1.9:1', leaving=True)

    (watch,) = select_actions(
        driver.feed(WorkerRegistered(moved)), WatchWorker
    )

    assert watch.registration.leaving
