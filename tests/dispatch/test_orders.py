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
RUN = RunKey(f'{JOB}.0.0.0', 1)
END = EndedRun(1, *RUN, EndKind.FINISHED, '')
SERVICE_JOB = '00000000000000bb'
# Longer than any pause between two calls for one order.
PERIOD_MS = 1_100
# Messages that only change the worker's task, which sends no call for them.
# `WatchWorker` gives a new task their current values.
LOCAL_UPDATES = {AllowStarts, ChangeHoldWait, OwnerLeaseChanged}


def observe(driver):
    """Let a report arrive and time pass; return the actions."""
    actions = list(driver.report('w0'))
    for _ in range(PERIOD_MS // 100):
        actions += driver.wait(100)
    return actions


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
        What a later owner learns it from.
    end : callable
        Lets the condition occur that ends the repetition.
    repeated_as : type or None
        Action that settles the order; None if it is ``kind``.
    observe : callable
        Returns the actions of a period in which the order is repeated.
    give : callable or None
        Brings the order about on worker ``w0``, and returns the actions.
    """

    kind: type[Any]
    repeated_by: str
    ends_when: str
    learned_from: str
    end: Callable[[Driver], None]
    repeated_as: type[Any] | None = None
    observe: Callable[[Driver], list[Any]] = observe
    give: Callable[[Driver], list[Any]] | None = None


ORDERS: Registry[str, Order] = Registry('order')


def order(name, row):
    """Register a row with the decorated function, which gives the order."""

    def add(give):
        ORDERS.register(name)(replace(row, give=give))
        return give

    return add


def end_all_runs(driver):
    ended = [(run, EndKind.STOPPED) for run in driver.running['w0']]
    driver.report('w0', ended=ended)


def end_jobs(driver):
    driver.cancel(JOB)
    driver.cancel(SERVICE_JOB)
    end_all_runs(driver)


def settle_start(driver):
    """The worker replies to the stop, so that the start has no effect."""
    driver.feed(RunUnanswered('w0', RUN, True))
    driver.feed(StopAnswered('w0', RUN, driver.now))
    driver.now += 10
    driver.confirm(driver.report('w0'))


def list_end(driver):
    """Let a report arrive that lists an end again; return the actions."""
    driver.now += PERIOD_MS
    report = WorkerReport(driver.now, INCARNATION_MS, (), (END,))
    return driver.feed(
        WorkerReported('w0', report, driver.now, driver.now + 5_000)
    )


def start_service(driver):
    step = make_step(1, 1_000, long_running=True)
    (start,) = driver.confirm(driver.submit(JOB, step))
    driver.report('w0')
    return start.run


@order(
    'stop of a known run',
    Order(
        StopRun,
        'the owner, from its pending stops',
        'the run is gone: not listed any more, the incarnation of the worker '
        'has ended, or every lease there has expired',
        "the worker's list of runs",
        end_all_runs,
    ),
)
def stop_known_run(driver):
    start_service(driver)
    return driver.cancel(JOB)


@order(
    'stop of an unknown run',
    Order(
        StopRun,
        'the owner, from its pending stops',
        'as for a known run',
        "the worker's list of runs",
        end_all_runs,
    ),
)
def stop_unknown_run(driver):
    driver.running['w0'][RUN] = 0
    return driver.report('w0')


@order(
    'start',
    Order(
        StartRun,
        "the worker's task, up to four times; then the owner stops the run, "
        'and starts another one',
        'a reply, a report of the run, or the reply to its stop',
        "the worker's list of runs; the task is queued once it cannot run",
        settle_start,
        repeated_as=StopRun,
    ),
)
def start_task(driver):
    return driver.submit(JOB, make_step(1, 900_000))


@order(
    'pace',
    Order(
        PaceRun,
        'the owner, until the worker has confirmed the pace',
        'the confirmation, or the run is gone',
        "the worker's list of runs; any pace may be in force there",
        end_jobs,
    ),
)
def slow_best_effort_run(driver):
    service = make_step(1, 1_000, long_running=True, target_ms=100, may_miss=1)
    driver.confirm(driver.submit(SERVICE_JOB, service))
    step = make_step(1, 900_000, fills=True)
    driver.confirm(driver.submit(JOB, step))
    return observe(driver)


@order(
    'acknowledgement',
    Order(
        AcknowledgeEnds,
        "the worker's task with each poll; the owner, when a worker lists an "
        'acknowledged end again',
        'the worker does not list the end any more',
        "the worker's list of ends",
        end_all_runs,
        observe=list_end,
    ),
)
def acknowledge_end(driver):
    """The acknowledgement is lost with the task for the old address."""
    (start,) = driver.confirm(driver.submit(JOB, make_step(1, 500)))
    actions = list(driver.finish(start))
    entry = driver.state.workers['w0'].registration
    driver.feed(WorkerRegistered(replace(entry, address='10.0.1.9:1')))
    return actions


def test_each_order_to_a_worker_is_in_the_table():
    # Guards against a new order that is sent once and that nobody repeats.
    kinds = {ORDERS.find(name).kind for name in ORDERS}
    assert kinds | LOCAL_UPDATES == {*COMMAND_HANDLERS, *UPDATE_HANDLERS}


def give_and_lose(driver, row):
    """Give an order, and lose its call."""
    actions = list(row.give(driver))
    assert select_actions(actions, row.kind)
    for start in select_actions(actions, StartRun):
        if row.kind is StartRun:
            driver.feed(RunUnanswered(start.worker, start.run, True))


@pytest.mark.parametrize('name', list(ORDERS))
def test_a_lost_order_is_repeated_until_it_has_ended(name):
    # Guards against an order that has no effect because its call was lost.
    row = ORDERS.find(name)
    repeated = row.repeated_as or row.kind
    driver = Driver(workers=1)
    give_and_lose(driver, row)

    assert select_actions(row.observe(driver), repeated)
    assert select_actions(row.observe(driver), repeated)
    row.end(driver)
    observe(driver)
    assert not select_actions(observe(driver), repeated)


@pytest.mark.parametrize('snapshot', [True, False])
@pytest.mark.parametrize('successors', [1, 2])
@pytest.mark.parametrize('name', [n for n in ORDERS if n != 'start'])
def test_later_owners_repeat_an_order_that_was_lost(
    name, successors, snapshot
):
    # Guards against an order that only the owner which gave it knows of.
    row = ORDERS.find(name)
    driver = Driver(workers=1)
    give_and_lose(driver, row)
    for _ in range(successors):
        driver.replace_owner(snapshot)

    assert select_actions(row.observe(driver), row.kind)
    assert select_actions(row.observe(driver), row.kind)


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
