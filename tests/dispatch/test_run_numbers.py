"""Tests of runs of one task that have the same number.

Starts are not in the journal, so a new owner may give a number that a previous
owner has given. Each place that knows a run tells the two apart:

| place | what identifies a run |
| --- | --- |
| runs that may be present, replies to their calls | worker, task, number |
| ends that have been applied, also in snapshots | number, worker, its life |
| failures of a gang | number, epoch of the owner that started it |
| end that has ended a job | worker, its life, number in its list of ends |
| acknowledged ends | worker, its life, number in its list of ends |
"""

from dataclasses import replace

from msgspec.msgpack import decode
from msgspec.msgpack import encode
import pytest

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workflows import EndKind
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import Workflow
from sassafrasgate.core.workflows import WorkflowState
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import StartRun
from sassafrasgate.dispatch.actions import StopRun
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import RunUnanswered
from sassafrasgate.dispatch.events import StopAnswered
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.recovery import list_snapshot_records
from sassafrasgate.dispatch.recovery import replay_records
from sassafrasgate.dispatch.state import DispatchState
from sassafrasgate.dispatch.transitions import decide
from sassafrasgate.journal.records import decode_records
from sassafrasgate.journal.records import encode_records
from sassafrasgate.journal.records import Takeover
from sassafrasgate.journal.workflows import RunEnded
from sassafrasgate.journal.workflows import WorkflowAccepted
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.events import RecordsDurable
from tests.dispatch.drivers import Driver
from tests.dispatch.drivers import select_actions
from tests.dispatch.simulation import make_step
from tests.dispatch.simulation import QUEUE

JOB = '00000000000000aa'
TASK = f'{JOB}.0.0.0'
RUN = RunKey(TASK, 1)


def start_task(driver, step=None):
    """Start a task as run 1; return its start and the other worker."""
    (start,) = driver.confirm(driver.submit(JOB, step or make_step(1)))
    assert start.run == RUN
    return start, 'w1' if start.worker == 'w0' else 'w0'


@pytest.mark.parametrize(
    'how',
    [EndKind.LAPSED, EndKind.STOPPED, EndKind.PEER_ENDED, EndKind.FAILED],
)
def test_end_of_a_previous_run_does_not_hide_a_success(how):
    # Guards against a task that starts again after its end was acknowledged:
    # a late end of a previous owner's run 1 hid the success of this owner's.
    driver = Driver()
    start, other = start_task(driver)
    assert not select_actions(
        driver.report(other, ended=((RUN, how),)), StartRun
    )
    actions = driver.finish(start)
    assert driver.state.jobs[JOB].durable_state is WorkflowState.COMPLETED
    assert not select_actions(actions, StartRun)
    assert select_actions(actions, AcknowledgeEnds)


def test_success_of_a_previous_run_completes_the_task():
    # Guards against a task that runs on, or again, although a run of it has
    # succeeded elsewhere.
    driver = Driver()
    start, other = start_task(driver)
    actions = driver.report(other, ended=((RUN, EndKind.FINISHED),))
    assert driver.state.jobs[JOB].durable_state is WorkflowState.COMPLETED
    assert (start.worker, RUN) in [
        (stop.worker, stop.run) for stop in select_actions(actions, StopRun)
    ]


def test_running_duplicate_does_not_replace_the_current_run():
    # Guards against an owner that forgets its own run: the entry of the run
    # with the same number on another worker took its place.
    driver = Driver()
    start, other = start_task(driver)
    free = driver.state.free_resources[start.worker]
    driver.running[other][RUN] = 10
    stops = select_actions(driver.report(other), StopRun)
    assert [(stop.worker, stop.run) for stop in stops] == [(other, RUN)]
    assert len(driver.state.runs) == 2
    # The reply concerns the duplicate alone.
    driver.feed(StopAnswered(other, RUN, driver.now))
    driver.now += 100
    assert not select_actions(driver.report(start.worker), StartRun)
    assert driver.state.free_resources[start.worker] == free
    driver.report(other, ended=((RUN, EndKind.STOPPED),))
    assert [run.worker for run in driver.state.runs.values()] == [start.worker]
    actions = driver.finish(start)
    assert driver.state.jobs[JOB].durable_state is WorkflowState.COMPLETED
    assert not select_actions(actions, StartRun)


def test_end_of_a_duplicate_member_does_not_stop_the_gang():
    # Guards against a gang that starts again, and loses its work, because a
    # member of a previous owner's run has ended.
    driver = Driver(3)
    gang = make_step(2, gang=True, demand=Resources(6_000, 500))
    starts = driver.confirm(driver.submit(JOB, gang))
    (other,) = {'w0', 'w1', 'w2'} - {start.worker for start in starts}
    driver.running[other][RUN] = 10
    stops = select_actions(driver.report(other), StopRun)
    assert [(stop.worker, stop.run) for stop in stops] == [(other, RUN)]
    actions = driver.report(other, ended=((RUN, EndKind.STOPPED),))
    assert not select_actions(actions, StopRun)
    for start in starts:
        driver.finish(start)
    assert driver.state.jobs[JOB].durable_state is WorkflowState.COMPLETED


@pytest.mark.parametrize(
    'make_reply',
    [
        lambda worker, now: RunAnswered(
            worker, RUN, RunReply(now, StartRefusal.OLD_RUN)
        ),
        lambda worker, now: RunUnanswered(worker, RUN, True),
        lambda worker, now: StopAnswered(worker, RUN, now),
    ],
    ids=['refused', 'unanswered', 'stopped'],
)
def test_reply_of_another_worker_leaves_the_run_alone(make_reply):
    # Guards against a run that is given up for the reply to a call for
    # another worker's run of the same number.
    driver = Driver()
    start, other = start_task(driver)
    before = driver.state.runs[start.worker, RUN]
    assert not driver.feed(make_reply(other, driver.now))
    assert driver.state.runs[start.worker, RUN] == before


def test_job_is_shown_as_completed_once_the_record_of_its_end_is_durable():
    # Guards against a job that callers see as completed although a successor
    # would not know: the record of another run with the same number was
    # taken for the one that has ended the job.
    driver = Driver()
    start, other = start_task(driver)
    records = []

    def report_end(worker, how):
        report = _make_report(driver, worker, how)
        actions = decide(driver.state, report, driver.now, driver.now)
        found = [a.record for a in actions if isinstance(a, AppendRecord)]
        records.append(tuple(found))

    report_end(other, EndKind.LAPSED)
    report_end(start.worker, EndKind.FINISHED)
    driver.feed(RecordsDurable(records[0]))
    assert driver.state.jobs[JOB].durable_state is not WorkflowState.COMPLETED
    driver.feed(RecordsDurable(records[1]))
    assert driver.state.jobs[JOB].durable_state is WorkflowState.COMPLETED


def _make_report(driver, worker, how):
    """Return a report that no decision has been made on."""
    captured = []
    feed, driver.feed = driver.feed, captured.append
    driver.report(worker, ended=((RUN, how),))
    driver.feed = feed
    (report,) = captured
    assert isinstance(report, WorkerReported)
    return report


def test_failures_of_two_runs_with_one_number_both_count():
    # Guards against more attempts than the queue allows.
    driver = Driver()
    start, other = start_task(driver)
    driver.report(other, ended=((RUN, EndKind.FAILED),))
    driver.report(start.worker, ended=((RUN, EndKind.FAILED),))
    assert driver.state.tasks[TASK].failures == 2
    (run,) = driver.state.runs.values()
    assert run.key.run == 2


def make_end(index, run, how, worker, number=1, epoch=0):
    return RunEnded(
        f'{JOB}.0.0.{index}', run, how, '', worker, 7, number, 0, epoch
    )


def make_state(step, epoch=2):
    state = DispatchState('cell', 'second')
    accepted = WorkflowAccepted(JOB, QUEUE, Workflow('payload', (step,)), 0)
    replay_records(state, (accepted, Takeover(epoch, 'second')))
    return state


def restore(state, epoch=3):
    """Return a successor's state, restored from an encoded snapshot."""
    successor = DispatchState('cell', 'third')
    records = decode_records(encode_records(list_snapshot_records(state)))
    replay_records(successor, (*records, Takeover(epoch, 'third')))
    return successor


@pytest.mark.parametrize('with_snapshot', [False, True])
def test_both_ends_are_read_from_the_journal(with_snapshot):
    # Guards against a later owner that starts the task again because it reads
    # the ends as the one that wrote them did.
    state = make_state(make_step(1))
    replay_records(state, (make_end(0, 1, EndKind.LAPSED, 'w0'),))
    if with_snapshot:
        state = restore(state)
    replay_records(state, (make_end(0, 1, EndKind.FINISHED, 'w1'),))
    assert state.jobs[JOB].state is WorkflowState.COMPLETED


def test_end_that_is_listed_again_after_a_snapshot_is_counted_once():
    # Guards against attempts that are used up by reports of one failure.
    failed = make_end(0, 1, EndKind.FAILED, 'w0')
    state = make_state(make_step(1))
    replay_records(state, (failed,))
    successor = restore(state)
    replay_records(successor, (failed,))
    assert successor.tasks[TASK].failures == 1
    replay_records(successor, (replace(failed, worker='w1'),))
    assert successor.tasks[TASK].failures == 2


@pytest.mark.parametrize(
    'ends, failures',
    [
        # Two members of one run of this owner.
        ([(0, 1, 2), (1, 1, 2)], 1),
        # Two members of one run of a previous owner.
        ([(0, 1, 0), (1, 1, 0)], 1),
        # A run of this owner, and a late end of a previous owner's.
        ([(0, 1, 2), (1, 1, 0)], 2),
        # The same the other way round.
        ([(0, 1, 0), (1, 1, 2)], 2),
        # Two runs of this owner.
        ([(0, 1, 2), (1, 2, 2)], 2),
    ],
)
def test_failed_runs_of_a_gang_are_told_apart_by_epoch(ends, failures):
    # Guards against a gang that starts more often than its queue allows, and
    # against one that fails for one attempt counted twice.
    state = make_state(make_step(2, gang=True))
    replay_records(
        state,
        [
            make_end(index, run, EndKind.FAILED, f'w{number}', epoch=epoch)
            for number, (index, run, epoch) in enumerate(ends)
        ],
    )
    (step,) = state.steps.values()
    assert step.gang_failures == failures
    (step,) = restore(state).steps.values()
    assert step.gang_failures == failures
    assert step.failed_gang_runs


def test_end_of_a_run_names_the_epoch_of_the_owner_that_started_it():
    # Guards against records from which a gang's runs can't be told apart.
    driver = Driver()
    driver.state.epoch = 4
    start, other = start_task(driver)
    driver.report(other, ended=((RUN, EndKind.FAILED),))
    driver.report(start.worker, ended=((RUN, EndKind.FAILED),))
    records = [a.record for a in select_actions(driver.actions, AppendRecord)]
    epochs = [r.epoch for r in records if isinstance(r, RunEnded)]
    assert epochs == [0, 4]


def rewrite_fields(records, change):
    """Return records as another release has encoded them."""
    rows = decode(encode_records(records))
    return decode_records(
        encode([(kind, change(kind, fields)) for kind, fields in rows])
    )


def drop_new_fields(kind, fields):
    for name in ('ended_runs', 'failed_gang_runs'):
        fields.pop(name, None)
    if kind == 'run-ended':
        fields.pop('epoch')
    return fields


def add_unknown_field(kind, fields):
    return {**fields, 'of-a-later-release': [1, 'a']}


@pytest.mark.parametrize(
    'how, failures', [(EndKind.FINISHED, 0), (EndKind.FAILED, 0)]
)
def test_snapshot_of_an_earlier_release_hides_no_success(how, failures):
    # Guards against a task that starts again, after an upgrade, since the
    # snapshot names the runs that have ended by their numbers only. A failure
    # that it hides may be the one that the snapshot has counted.
    state = make_state(make_step(1))
    replay_records(state, (make_end(0, 1, EndKind.LAPSED, 'w0'),))
    successor = DispatchState('cell', 'third')
    records = rewrite_fields(list_snapshot_records(state), drop_new_fields)
    replay_records(successor, records)
    replay_records(successor, (make_end(0, 1, how, 'w1'),))
    assert successor.jobs[JOB].has_ended is (how is EndKind.FINISHED)
    assert successor.tasks[TASK].failures == failures


def test_records_of_an_earlier_release_are_read():
    # Guards against a shard that can't be taken over after an upgrade.
    ends = [
        make_end(0, 1, EndKind.LAPSED, 'w0'),
        make_end(0, 1, EndKind.FINISHED, 'w1'),
    ]
    state = make_state(make_step(1))
    replay_records(state, rewrite_fields(ends, drop_new_fields))
    assert state.jobs[JOB].state is WorkflowState.COMPLETED


def test_unknown_fields_of_a_later_release_are_ignored():
    # Guards against a shard that the previous release can't take over while
    # hosts are restarted in turn: fields may be added to records.
    state = make_state(make_step(2, gang=True))
    replay_records(state, (make_end(0, 1, EndKind.FAILED, 'w0', epoch=2),))
    records = tuple(list_snapshot_records(state))
    assert rewrite_fields(records, add_unknown_field) == decode_records(
        encode_records(records)
    )


def test_numbers_are_still_written_for_the_previous_release():
    # Guards against an earlier release that counts ends again while hosts are
    # restarted in turn.
    state = make_state(make_step(2, gang=True))
    ends = [
        make_end(0, 1, EndKind.FAILED, 'w0', epoch=2),
        make_end(0, 1, EndKind.LAPSED, 'w1', number=2),
    ]
    replay_records(state, ends)
    *_, progress = list_snapshot_records(state)
    assert progress.ended == ((0, (1,)), (-1, (1,)))
