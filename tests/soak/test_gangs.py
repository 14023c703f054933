"""Tests of the gangs of runs on workers that are processes of their own."""

import pytest

from tests.standins.gangs import GangDirectory
from tests.standins.gangs import GangOutcome

FIRST, SECOND = 'j.0.0.0', 'j.0.0.1'
DONE = GangOutcome('', 10.0)


@pytest.fixture
def workers(tmp_path):
    return GangDirectory(tmp_path, 'a'), GangDirectory(tmp_path, 'b')


def test_complete_gang_ends_everywhere(workers):
    # Guards against a member that goes on when its gang has ended.
    one, two = workers
    one.add(FIRST, 1, 100)
    one.end(FIRST, 1, 2, DONE)
    assert one.find_outcome(FIRST, 1) is None

    two.add(SECOND, 1, 100)
    one.end(FIRST, 1, 2, DONE)
    two.end(SECOND, 1, 2, GangOutcome(SECOND, 11.0))

    assert one.find_outcome(FIRST, 1).failed_task == ''
    assert two.find_outcome(SECOND, 1).at_ms == 10.0


def test_members_of_another_run_do_not_count(workers):
    # Guards against gangs that are complete with members of an earlier run.
    one, two = workers
    one.add(FIRST, 2, 100)
    two.add(SECOND, 1, 100)
    one.end(FIRST, 2, 2, DONE)

    assert one.find_outcome(FIRST, 2) is None


def test_outcome_is_none_for_a_later_incarnation(workers):
    # Guards against runs that end before they have started: a new
    # incarnation got a run of a gang that had already ended (seed 9202).
    one, two = workers
    one.add(FIRST, 1, 100)
    two.add(SECOND, 1, 100)
    one.end(FIRST, 1, 2, DONE)
    two.discard(SECOND, 1)
    two.add(SECOND, 1, 200)

    assert one.find_outcome(FIRST, 1)
    assert two.find_outcome(SECOND, 1) is None


def test_members_of_an_ended_process_do_not_count(tmp_path):
    # Guards against gangs that go on without a worker that was killed.
    one = GangDirectory(tmp_path, 'a')
    one.add(FIRST, 1, 100)
    (tmp_path / f'member~{SECOND}~1~b~100').touch()
    (tmp_path / 'alive~b').touch()
    one.end(FIRST, 1, 2, DONE)

    assert one.find_outcome(FIRST, 1) is None
