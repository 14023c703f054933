"""Tests of workers that leave the choice of an advised step and come back.

| way out | way back |
| --- | --- |
| refused ticket | the step asks for a new one |
| expired ticket | the step asks for a new one |
| restart after the call | the step asks for a ticket of the new incarnation |
| restart during the call | the ticket counts for the old one, as above |
| not named, since it was away | its new incarnation is asked about |
| not named, as the policy says | none: the policy doesn't change |
| silence | its next report |
| failed call | the call is repeated after a delay |
| entry deleted | its entry; its ticket is kept |
| refusal for another reason | a pause of 500 ms |
"""

import pytest

from sassafrasgate.core.workers import Registration
from sassafrasgate.core.workflows import Advice
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.dispatch.actions import AskAdvice
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.events import AdviceAnswered
from sassafrasgate.dispatch.events import AdviceFailed
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import WorkerRegistered
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.events import WorkerUnregistered
from tests.dispatch.drivers import CAPACITY
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import INCARNATION_MS
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step

JOB = '5c0e7a21d94b36f8'
ADMITTED = 'w0'
VALID_MS = 2_000
TICK_MS = 100
# Longer than the validity of a ticket and any pause or delay.
MAX_TICKS = 40


class AdvisedStep:
    """A step that only one worker may run, and the service that says so."""

    def __init__(self, gang):
        self.driver = Driver(workers=2)
        self.step = make_step(2 if gang else 1, gang=gang)
        self.started = set()
        self.calls = []

    def submit(self):
        """Submit the job; return the call for advice about both workers."""
        self.take(self.driver.submit(JOB, self.step, queue='advised'))
        (call,) = self.calls
        assert set(call.workers) == {'w0', 'w1'}
        return call

    def take(self, actions):
        """Keep the calls for advice; return the start calls."""
        self.calls.extend(select_actions(actions, AskAdvice))
        return select_actions(actions, StartRun)

    def answer(self, call, named=(ADMITTED,), valid_ms=VALID_MS):
        """Let the service reply to a call; return the start calls."""
        self.calls.remove(call)
        tickets = tuple(
            (name, 'ticket') for name in named if name in call.workers
        )
        event = AdviceAnswered(
            call.step,
            call.entry_host,
            call.workers,
            Advice(tickets, valid_ms),
            self.driver.now,
        )
        return self.take(self.driver.feed(event))

    def refuse(self, start, refusal):
        reply = RunReply(self.driver.now, refusal)
        event = RunAnswered(start.worker, start.run, reply)
        return self.take(self.driver.feed(event))

    def restart(self, worker, incarnation_ms):
        self.driver.now += 1
        self.driver.running[worker].clear()
        self.driver.ends[worker] = 0
        return self.take(
            self.driver.report(worker, incarnation_ms=incarnation_ms)
        )

    def run(self, starts=(), incarnation_ms=INCARNATION_MS):
        """Answer all calls until the tasks have started."""
        starts = list(starts)
        for _ in range(MAX_TICKS):
            for start in starts:
                assert start.worker == ADMITTED
                assert start.incarnation_ms == incarnation_ms
            self.driver.confirm(starts)
            self.started.update(start.run.task for start in starts)
            if len(self.started) == self.step.tasks:
                return
            starts = [
                start
                for call in list(self.calls)
                for start in self.answer(call)
            ]
            starts += self.take(self.driver.wait(TICK_MS))
        pytest.fail(f'the tasks have not started: {self.started}')


@pytest.fixture(params=[False, True], ids=['single', 'gang'])
def advised(request):
    return AdvisedStep(request.param)


def test_worker_that_refused_its_ticket_gets_another_one(advised):
    # Guards against a job that stays queued beside an idle worker: a refused
    # ticket took the worker out of the step for good.
    starts = advised.answer(advised.submit())
    assert len(starts) == advised.step.tasks
    late = [
        start
        for refused in starts
        for start in advised.refuse(refused, StartRefusal.NO_TICKET)
    ]
    advised.run(late)


def test_ticket_counts_for_the_incarnation_that_was_asked_about(advised):
    # Guards against a start with a ticket of the worker's previous life,
    # which was taken for one of its new life. The reply came after the
    # restart.
    call = advised.submit()
    advised.restart(ADMITTED, 900)
    assert not advised.answer(call)
    assert advised.calls
    advised.run(incarnation_ms=900)


def test_worker_that_restarts_with_a_ticket_gets_another_one(advised):
    # Guards against a gang, or a task, that waits until the ticket of the
    # previous life has expired.
    call = advised.submit()
    driver = advised.driver
    driver.feed(WorkerSilent(ADMITTED, driver.now + 5_000, 'no reply'))
    assert not advised.answer(call, valid_ms=60_000)
    assert not advised.restart(ADMITTED, 900)
    advised.run(incarnation_ms=900)


def test_worker_that_was_away_during_the_call_is_asked_about_again(advised):
    # Guards against a job that stays queued since the service did not name a
    # worker that was down when it decided.
    call = advised.submit()
    assert not advised.answer(call, named=())
    for _ in range(MAX_TICKS):
        advised.take(advised.driver.wait(TICK_MS))
    # The policy does not change for a worker that has stayed.
    assert not advised.calls
    advised.restart(ADMITTED, 900)
    advised.run(incarnation_ms=900)


def test_expired_ticket_is_renewed(advised):
    # Guards against a job that waits for capacity longer than its tickets
    # are valid.
    driver = advised.driver
    starts = driver.confirm(
        driver.submit('00000000000000aa', make_step(2, demand=CAPACITY))
    )
    advised.take(driver.submit(JOB, advised.step, queue='advised'))
    (call,) = advised.calls
    assert not advised.answer(call)
    driver.now += VALID_MS
    actions = [driver.finish(start) for start in starts]
    advised.run([start for found in actions for start in advised.take(found)])


def test_silent_worker_is_used_after_its_next_report(advised):
    # Guards against a worker that stays out of a step because it was silent
    # when the service named it.
    call = advised.submit()
    driver = advised.driver
    driver.feed(WorkerSilent(ADMITTED, driver.now + 5_000, 'no reply'))
    assert not advised.answer(call)
    driver.now += 500
    advised.run(advised.take(driver.report(ADMITTED)))


def test_failed_call_is_repeated(advised):
    # Guards against a step that is never asked about again after a call that
    # the service did not answer.
    call = advised.submit()
    advised.calls.remove(call)
    event = AdviceFailed(call.step, call.entry_host, call.workers, 'no reply')
    advised.run(advised.take(advised.driver.feed(event)))


def test_worker_without_an_entry_for_a_while_keeps_its_ticket(advised):
    # Guards against a worker that stays out of a step because its entry was
    # gone when the service named it, such as after an outage of the store.
    call = advised.submit()
    driver = advised.driver
    registration = driver.state.workers[ADMITTED].registration
    assert isinstance(registration, Registration)
    driver.feed(WorkerUnregistered(ADMITTED))
    assert not advised.answer(call)
    advised.run(advised.take(driver.feed(WorkerRegistered(registration))))


@pytest.mark.parametrize(
    'refusal', [StartRefusal.UNHEALTHY, StartRefusal.OTHER_INCARNATION]
)
def test_refusal_for_another_reason_is_followed_by_a_pause(advised, refusal):
    # Guards against a worker that stays out of a step after a refusal that
    # does not concern the step.
    starts = advised.answer(advised.submit())
    late = [
        start
        for refused in starts
        for start in advised.refuse(refused, refusal)
    ]
    advised.run(late)
