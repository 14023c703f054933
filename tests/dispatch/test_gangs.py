"""Tests of gangs: renewal of tickets, and refused members."""

from dataclasses import replace

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.routing import AdviceTiming
from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.workflows import Advice
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.dispatch import gangs
from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import AdviceAnswered
from sassafrasgate.dispatch.events import PeersChanged
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import TableChanged
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import ADVISED
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import QUEUE
from tests.dispatch.simulation import TABLE

JOB = '00000000000000aa'
GANG_JOB = '00000000000000ab'
BIG = Resources(7_000, 1_000)
VALID_MS = 1_500
SLOW_ADVICE = replace(ADVISED, advice=AdviceTiming(700.0, 10.0, VALID_MS))


def make_driver(workers):
    driver = Driver(workers=workers, peers=3)
    table = RoutingTable(2, (QUEUE, SLOW_ADVICE), TABLE.pools)
    driver.feed(TableChanged(table))
    return driver


def deliver_advice(driver, call, admitted=None):
    """Let the advice service reply to a call after the expected time."""
    driver.now += call.expected_ms
    admitted_workers = (
        call.workers
        if admitted is None
        else [worker for worker in call.workers if worker in admitted]
    )
    tickets = tuple(
        (worker, f'{worker}@{driver.now}') for worker in admitted_workers
    )
    return driver.feed(
        AdviceAnswered(
            call.step,
            call.entry_host,
            call.workers,
            Advice(tickets, VALID_MS),
            driver.now,
        )
    )


def occupy(driver, worker_count):
    """Occupy some workers with single tasks; return their starts."""
    step = make_step(worker_count, 60_000, demand=BIG, max_per_worker=1)
    return driver.confirm(driver.submit('00000000000000bb', step))


def test_tickets_that_expire_before_the_reply_are_renewed_with_it():
    # If only expired tickets were renewed, others would expire during the call
    # and the tickets of the gang would never all be valid at the same time.
    driver = make_driver(3)
    (busy,) = occupy(driver, 1)
    gang = make_step(3, 4_000, demand=BIG, gang=True)
    (call,) = select_actions(
        driver.submit(JOB, gang, queue='advised'), AskAdvice
    )
    deliver_advice(driver, call)
    driver.wait(VALID_MS - 400)
    tickets = driver.state.advice[call.step].tickets
    tickets['w0'] = replace(tickets['w0'], expires_at=driver.now)
    (renewal,) = select_actions(driver.finish(busy), AskAdvice)
    assert set(renewal.workers) == {'w0', 'w1', 'w2'}
    starts = select_actions(deliver_advice(driver, renewal), StartRun)
    assert len(starts) == 3
    assert {start.run.run for start in starts} == {1}


def test_a_refused_member_ends_the_launch_and_the_gang_starts_again_whole():
    driver = Driver(workers=2)
    gang = make_step(2, 4_000, demand=BIG, gang=True)
    first, second = select_actions(driver.submit(JOB, gang), StartRun)
    driver.confirm([first])
    refused = RunReply(driver.now, StartRefusal.UNHEALTHY)
    stops = driver.feed(RunAnswered(second.worker, second.run, refused))
    assert [stop.run for stop in select_actions(stops, StopRun)] == [first.run]
    assert not select_actions(stops, StartRun)
    driver.now += 1_000
    again = select_actions(
        driver.report(first.worker, ended=((first.run, EndKind.STOPPED),)),
        StartRun,
    )
    assert {start.run.run for start in again} == {2}
    assert len(again) == 2


def test_waiting_gang_is_not_looked_at_again_in_each_pass(monkeypatch):
    # Guards against passes whose cost grows with the gangs that wait, the
    # workers and the runs, although nothing has changed for a gang.
    looks = []
    find = gangs._find_earliest_start

    def find_and_count(*arguments):
        looks.append(arguments)
        return find(*arguments)

    monkeypatch.setattr(gangs, '_find_earliest_start', find_and_count)
    driver = Driver(workers=2)
    driver.confirm(driver.submit(JOB, make_step(16, 5_000)))
    driver.submit(GANG_JOB, make_step(16, 5_000, gang=True))
    assert len(looks) == 1
    for _ in range(gangs.LOOK_INTERVAL_MS - 1):
        driver.now += 1
        driver.state.needs_pass = True
        driver.feed(PeersChanged(driver.peers))

    assert len(looks) == 1


def test_gang_starts_in_the_pass_in_which_there_is_room_for_it():
    # Guards against a gang that waits for its next look.
    driver = Driver(workers=2)
    starts = driver.confirm(driver.submit(JOB, make_step(16, 5_000)))
    driver.submit(GANG_JOB, make_step(16, 5_000, gang=True))
    driver.now += 1
    actions = []
    for worker in ('w0', 'w1'):
        ended = [
            (start.run, EndKind.FINISHED)
            for start in starts
            if start.worker == worker
        ]
        actions += driver.report(worker, ended)

    assert len(select_actions(actions, StartRun)) == 16
