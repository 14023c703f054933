"""Tests of the check of the workers' records."""

from json import dumps

import pytest

from tests.soak.histories import find_violations
from tests.soak.histories import History
from tests.soak.histories import summarize

SPEC = dumps([{'count': 1, 'cpu': 500, 'memMb': 500, 'estimateMs': 200}])
CHAIN = dumps(
    [
        {'count': 1, 'cpu': 500, 'memMb': 500, 'estimateMs': 200},
        {'count': 1, 'cpu': 1, 'memMb': 1, 'estimateMs': 2, 'after': [0]},
    ]
)
TASK = 'j.0.0.0'
NEXT_TASK = 'j.0.1.0'


def born(at_ms, worker='a', life=1):
    return {
        'kind': 'born',
        'at_ms': at_ms,
        'worker': worker,
        'born': life,
        'pid': life,
    }


def kill(at_ms, worker='a', life=1):
    return {'kind': 'killed', 'at_ms': at_ms, 'worker': worker, 'pid': life}


def start(at_ms, worker='a', run=1, task=TASK, life=1, spec=SPEC):
    return {
        'kind': 'start',
        'at_ms': at_ms,
        'worker': worker,
        'born': life,
        'task': task,
        'run': run,
        'epoch': 1_000_000,
        'spec': spec,
    }


def end(at_ms, how, worker='a', run=1, task=TASK, life=1, number=1):
    return {
        'kind': 'end',
        'at_ms': at_ms,
        'worker': worker,
        'born': life,
        'task': task,
        'run': run,
        'how': how,
        'number': number,
    }


def ack(at_ms, worker='a', life=1, cursor=1):
    return {
        'kind': 'ack',
        'at_ms': at_ms,
        'worker': worker,
        'born': life,
        'cursor': cursor,
    }


def lapse(at_ms, worker='a', life=1):
    return {'kind': 'lapse', 'at_ms': at_ms, 'worker': worker, 'born': life}


def check(*events):
    workers = (born(0, 'a'), born(0, 'b'), born(0, 'c'), born(0, 'd'))
    return find_violations(History((*workers, *events)))


def assert_one(violations, text):
    assert len(violations) == 1, violations
    assert text in violations[0]


def test_runs_one_after_the_other_are_accepted():
    # Guards against a check that reports correct runs.
    assert not check(
        start(10),
        end(20, 'failed'),
        start(30, 'b', run=2),
        end(40, 'done', 'b', run=2),
        ack(50),
        ack(50, 'b'),
    )


def test_two_runs_at_once():
    # Guards against a missed second run while the first one is present.
    violations = check(start(10), start(20, 'b', run=2))

    assert_one(violations, f"{TASK} started on b while present on ['a']")


def test_second_run_that_starts_before_the_first_one_ends():
    # Guards against a check that only sees runs which never end.
    violations = check(
        start(10), start(20, 'b', run=2), end(21, 'stopped', 'b', run=2)
    )

    assert_one(violations, 'while present on')


def test_two_runs_at_once_on_one_worker():
    # Guards against a check that compares workers and not runs.
    assert_one(check(start(10), start(20, run=2)), "while present on ['a']")


def test_run_after_the_worker_was_killed():
    # Guards against runs that outlive their worker's process in the check.
    assert not check(start(10), kill(20), start(30, 'b', run=2))


def test_run_before_the_worker_was_killed():
    # Guards against a kill that hides what happened before it.
    violations = check(start(10), start(15, 'b', run=2), kill(20))

    assert_one(violations, 'while present on')


def test_run_after_the_worker_has_restarted():
    # Guards against runs that outlive their incarnation in the check.
    restarted = born(20, life=2) | {'pid': 1}

    assert not check(start(10), restarted, start(30, 'b', run=2))


def test_unexpected_end_of_a_worker():
    # Guards against workers that crash, which would end runs silently.
    assert_one(check(born(20, life=2)), 'a has ended unexpectedly')


def test_expected_end_of_a_worker():
    # Guards against a check that reports the soak's own kills.
    assert not check(kill(15), born(20, life=2))


def test_run_after_a_lapse():
    # Guards against a check that ignores that leases expire.
    assert not check(
        start(10), lapse(20), end(20, 'lapsed'), start(30, 'b', run=2)
    )


@pytest.mark.parametrize('acknowledged_ms', [25, 45])
def test_start_after_an_acknowledged_end(acknowledged_ms):
    # Guards against starts after an end, whether the owner has acknowledged
    # it before the start or does so afterwards.
    violations = check(
        start(10),
        end(20, 'done'),
        start(30, 'b', run=2),
        ack(acknowledged_ms),
    )

    assert_one(violations, 'started after its end was acknowledged')


def test_start_after_an_end_that_is_never_acknowledged():
    # Guards against a check that reports ends which died with the worker.
    assert not check(
        start(10),
        end(20, 'done'),
        kill(25),
        born(26, life=2),
        ack(27, life=2),
        start(30, 'b', run=2),
    )


def test_lapse_between_end_and_acknowledgement():
    # Guards against a check that reports ends on a worker that counted as
    # lost before the owner acknowledged them.
    assert not check(
        start(10),
        end(20, 'done'),
        lapse(25),
        start(30, 'b', run=2),
        ack(40),
    )


@pytest.mark.parametrize('lapse_ms', [15, 45])
def test_lapse_outside_end_and_acknowledgement(lapse_ms):
    # Guards against a lapse at another time that excuses a second run.
    violations = check(
        start(10),
        end(20, 'done'),
        start(30, 'b', run=2),
        ack(40),
        lapse(lapse_ms),
    )

    assert_one(violations, 'started after its end was acknowledged')


def test_lapse_of_another_worker():
    # Guards against a lapse elsewhere that excuses a second run.
    violations = check(
        start(10),
        end(20, 'done'),
        lapse(25, 'b'),
        start(30, 'c', run=2),
        ack(40),
    )

    assert_one(violations, 'started after its end was acknowledged')


def test_acknowledgement_below_the_end():
    # Guards against acknowledgements that are counted for later ends.
    assert not check(
        start(10),
        end(20, 'done', number=2),
        ack(25, cursor=1),
        start(30, 'b', run=2),
    )


def test_start_after_the_last_attempt():
    # Guards against more attempts than the queue allows.
    failures = [
        event
        for number, worker in enumerate('abc', 1)
        for event in (
            start(10 * number, worker, run=number),
            end(10 * number + 1, 'failed', worker, run=number),
            ack(10 * number + 2, worker),
        )
    ]

    assert not check(*failures)
    assert_one(
        check(*failures, start(50, 'd', run=4)),
        'started after its last attempt',
    )


def test_failure_that_is_lost_with_its_worker():
    # Guards against a check that counts failures which no owner knows.
    failures = [
        event
        for number, worker in enumerate('abc', 1)
        for event in (
            start(10 * number, worker, run=number),
            end(10 * number + 1, 'failed', worker, run=number),
        )
    ]

    assert not check(*failures, kill(40, 'c'), start(50, 'd', run=4))


def test_step_that_starts_too_early():
    # Guards against a step that starts before the one that it follows.
    violations = check(
        start(10, spec=CHAIN), start(20, 'b', task=NEXT_TASK, spec=CHAIN)
    )

    assert_one(violations, f'{NEXT_TASK} started before {TASK} was done')


def test_step_that_starts_in_time():
    # Guards against a check that reports correct orders of steps.
    assert not check(
        start(10, spec=CHAIN),
        end(15, 'done'),
        start(20, 'b', task=NEXT_TASK, spec=CHAIN),
    )


def test_violation_that_a_worker_reports():
    # Guards against reports of workers that are not passed on.
    event = {
        'kind': 'violation',
        'at_ms': 10,
        'worker': 'a',
        'born': 1,
        'text': 'a is over its capacity',
    }

    assert check(event) == ['a is over its capacity']


def test_end_without_a_start():
    # Guards against records from which a start is missing.
    assert_one(check(end(10, 'done')), 'ended without a start')


def test_summary():
    # Guards against counts that other tests rely on.
    summary = summarize(
        History(
            (born(0), start(10), end(20, 'done'), start(30, task='j.0.0.1'))
        )
    )

    assert summary['started'] == [TASK, 'j.0.0.1']
    assert summary['finished'] == [TASK]
    assert (summary['starts'], summary['running']) == (2, 1)


GANG = dumps(
    [
        {'count': 2, 'cpu': 1, 'memMb': 1, 'estimateMs': 2, 'gang': True},
        {'count': 1, 'cpu': 1, 'memMb': 1, 'estimateMs': 2, 'after': [0]},
    ]
)
OTHER_MEMBER = 'j.0.0.1'


def play_gang(*events):
    """Let a gang start on two workers, of which one is killed at its end."""
    history = History(
        [
            born(0),
            born(0, 'b', 2),
            start(10, spec=GANG),
            start(10, 'b', task=OTHER_MEMBER, life=2, spec=GANG),
            kill(20, 'b', 2),
            *events,
        ]
    )
    return summarize(history)


def test_the_end_of_one_member_stands_for_the_gang():
    # Guards against a report of work that is not done, or of a step that
    # starts too early, because the worker of another member was killed with
    # its records (soak seed 43002).
    found = play_gang(
        end(21, 'done'), start(30, task=NEXT_TASK, run=1, spec=GANG)
    )

    assert found['violations'] == []
    assert {TASK, OTHER_MEMBER} <= set(found['finished'])


def test_a_gang_without_an_end_is_not_done():
    # Guards against a check that takes a gang for done that has failed.
    found = play_gang(
        end(21, 'failed'), start(30, task=NEXT_TASK, run=1, spec=GANG)
    )

    assert len(found['violations']) == 2
    assert found['finished'] == []
