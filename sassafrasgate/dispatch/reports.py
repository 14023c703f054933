"""Reports of workers about ended and current runs, and missing reports."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import EndKind
from sassafrasgate.dispatch.actions import AcknowledgeEnds
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.adoptions import adopt_opened_runs
from sassafrasgate.dispatch.adoptions import adopt_run
from sassafrasgate.dispatch.adoptions import find_named_task
from sassafrasgate.dispatch.entries import RunEntry
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.events import EpochRefused
from sassafrasgate.dispatch.events import WorkerReported
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.evidence import Evidence
from sassafrasgate.dispatch.evidence import EvidenceKind
from sassafrasgate.dispatch.handlers import DURABLE_HANDLERS
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.handlers import write_record
from sassafrasgate.dispatch.health import record_run_end
from sassafrasgate.dispatch.hold_waits import record_unanswered_call
from sassafrasgate.dispatch.identities import EndNumber
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.progress import requeue_task
from sassafrasgate.dispatch.recovery import forget_expired_terms
from sassafrasgate.dispatch.requests import publish_end
from sassafrasgate.dispatch.speeds import update_speed
from sassafrasgate.dispatch.stops import forget_unknown_runs
from sassafrasgate.dispatch.stops import is_gone
from sassafrasgate.dispatch.stops import stop_job_runs
from sassafrasgate.dispatch.stops import stop_run
from sassafrasgate.dispatch.stops import stop_step_runs
from sassafrasgate.dispatch.stragglers import record_finished_run
from sassafrasgate.journal.workflows import RunEnded
from sassafrasgate.shards.actions import StepDown
from sassafrasgate.shards.attempts import ClockReading

if TYPE_CHECKING:
    from sassafrasgate.core.workflows import EndedRun
    from sassafrasgate.dispatch.entries import WorkerEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.prior_leases import LeaseBound
    from sassafrasgate.dispatch.state import DispatchState


@EVENT_HANDLERS.register(WorkerReported)
def handle_report(state: DispatchState, event: WorkerReported) -> Actions:
    """Update the runs of a worker from its report.

    A run that the report does not list is gone, unless its start call may
    still be carried out. A report of an incarnation that has ended says
    nothing about the current one.
    """
    entry = state.workers.get(event.worker)
    if entry is None:
        return
    report = event.report
    if report.incarnation_ms in entry.past_incarnations:
        yield _describe_past_report(event, entry)
        return
    restarted = (
        bool(entry.incarnation_ms)
        and report.incarnation_ms != entry.incarnation_ms
    )
    if restarted and state.may_be_replaced:
        # A successor may have learned of ends on the previous incarnation.
        return
    if (
        not restarted
        and entry.reading
        and report.clock_ms < entry.reading.clock
    ):
        return
    if entry.silent_since or not entry.epoch_acknowledged or restarted:
        yield _describe_return(state, event, restarted)
    if restarted:
        yield from _process_restart(state, event)
    state.update_worker(
        event.worker,
        epoch_acknowledged=True,
        incarnation_ms=report.incarnation_ms,
        reading=ClockReading(report.clock_ms, event.received_at),
        last_end_number=0 if restarted else entry.last_end_number,
        acknowledged_end=0 if restarted else entry.acknowledged_end,
        silent_since=0,
        leases_expire_at=max(entry.leases_expire_at, event.leases_expire_at),
        leases_expired=False,
    )
    for ended in report.ended:
        yield from _process_ended(state, event, ended)
    yield from _repeat_acknowledgement(state, event)
    yield from _process_running(state, event)
    yield from adopt_opened_runs(state)
    if report.lists_all_ends and event.worker in state.unreconciled_workers:
        state.settle_worker(event.worker)
    if restarted or not entry.epoch_acknowledged or entry.silent_since:
        state.update_free_resources(event.worker)
        state.needs_pass = True


def _process_restart(state: DispatchState, event: WorkerReported) -> Actions:
    """Handle the runs of a worker that has restarted.

    Runs that the previous incarnation has listed are lost. A start call for a
    run that no report has listed, or a repeated call, may still reach the
    new incarnation, so these runs are kept. Calls to the new incarnation
    carry a higher fencing token, so the next report shows whether the run
    has started there.
    """
    evidence = Evidence(
        EvidenceKind.REPORT, 'the worker restarted', event.received_at
    )
    for run in state.list_runs_on(event.worker):
        if run.place not in state.runs:
            continue
        if run.listed and not run.uncertain:
            yield from lose_run(state, run, evidence)
            continue
        state.update_run(
            run.place,
            incarnation_ms=event.report.incarnation_ms,
            phase=RunPhase.PRESENT,
            confirmed_clock_ms=event.report.clock_ms,
            stop_confirmed_clock_ms=0,
            listed=False,
        )
    _forget_all_unknown_runs(state, event.worker)
    entry = state.workers[event.worker]
    state.update_worker(
        event.worker,
        past_incarnations=entry.past_incarnations | {entry.incarnation_ms},
    )


def _describe_past_report(
    event: WorkerReported, entry: WorkerEntry
) -> LogEvent:
    return LogEvent(
        'past-report',
        '',
        (
            ('worker', event.worker),
            ('reported_incarnation_ms', event.report.incarnation_ms),
            ('incarnation_ms', entry.incarnation_ms),
            ('running', len(event.report.running)),
            ('ended', len(event.report.ended)),
        ),
    )


def _describe_return(
    state: DispatchState, event: WorkerReported, restarted: bool
) -> LogEvent:
    entry = state.workers[event.worker]
    silent_ms = state.now - entry.silent_since if entry.silent_since else 0
    return LogEvent(
        'worker-answers',
        '',
        (
            ('worker', event.worker),
            ('restarted', restarted),
            ('first', not entry.epoch_acknowledged),
            ('silent_ms', silent_ms),
            ('running', len(event.report.running)),
            ('ended', len(event.report.ended)),
        ),
    )


def _process_ended(
    state: DispatchState, event: WorkerReported, ended: EndedRun
) -> Actions:
    entry = state.workers[event.worker]
    if ended.number <= entry.last_end_number:
        return
    state.update_worker(event.worker, last_end_number=ended.number)
    key = RunKey(ended.task, ended.run)
    forget_unknown_runs(state, event.worker, frozenset({key}))
    if ended.how is EndKind.FINISHED:
        # After another end, a previous owner may have started it again.
        state.prior_runs.settle(ended.task)
    run = state.find_run(event.worker, key)
    yield from write_record(
        state,
        RunEnded(
            ended.task,
            ended.run,
            ended.how,
            ended.checkpoint,
            event.worker,
            event.report.incarnation_ms,
            ended.number,
            state.wall_ms,
            run.epoch if run is not None else 0,
            _find_max_attempts(state, ended),
        ),
    )
    yield _describe_end(state, event, ended, run)
    if run is None:
        yield from _stop_if_finished(state, ended.task)
        return
    record_run_end(state, run, ended.how)
    if ended.how is EndKind.FINISHED:
        record_finished_run(state, run)
    state.remove_run(run.place)
    yield from reschedule_step(state, run)


def _find_max_attempts(state: DispatchState, ended: EndedRun) -> int:
    """Return the number of failures that end the job; 0 without a failure."""
    named = find_named_task(state, ended.task)
    if named is None or ended.how is not EndKind.FAILED:
        return 0
    return state.find_queue_of(state.jobs[named[0].job_id]).max_attempts


def _repeat_acknowledgement(
    state: DispatchState, event: WorkerReported
) -> Actions:
    """Acknowledge durable ends again that the worker still lists.

    The task for a worker's new address does not know what was acknowledged.
    """
    acknowledged = state.workers[event.worker].acknowledged_end
    if any(end.number <= acknowledged for end in event.report.ended):
        yield AcknowledgeEnds(
            event.worker, event.report.incarnation_ms, acknowledged
        )


def _stop_if_finished(state: DispatchState, task: str) -> Actions:
    """Stop the runs of a task that a run of a previous owner has finished."""
    named = find_named_task(state, task)
    if named is None or not state.find_task(task).finished:
        return
    places = state.runs_by_task.get(task, set())
    if state.find_step(named[0]).gang:
        places = state.runs_by_step.get(named[0], set())
    for place in list(places):
        yield from stop_run(
            state,
            state.runs[place],
            'a run of a previous owner has finished the task',
        )


def _describe_end(
    state: DispatchState,
    event: WorkerReported,
    ended: EndedRun,
    run: RunEntry | None,
) -> LogEvent:
    fields: tuple[tuple[str, object], ...] = (
        ('run', ended.run),
        ('worker', event.worker),
        ('how', ended.how),
        ('number', ended.number),
    )
    if run is not None:
        fields += (
            ('ran_ms', state.now - run.started_at),
            ('expected_ms', run.expected_ms),
        )
    return LogEvent('end', ended.task, fields)


def reschedule_step(state: DispatchState, run: RunEntry) -> Actions:
    """Queue tasks of a step again, or stop runs, after a run is gone."""
    job = state.jobs.get(run.step.job_id)
    entry = state.steps.get(run.step)
    if job is None or entry is None:
        return
    step = state.find_step(run.step)
    if job.has_ended:
        # Members of a gang that has finished end without a stop call.
        if not job.runs_stopped and not (step.gang and not entry.open_tasks):
            yield from stop_job_runs(state, job.job_id)
        return
    if run.key.task in state.runs_by_task:
        # The run was a duplicate, such as one of a previous owner.
        return
    if not step.gang:
        requeue_task(state, run.step, run.index)
        return
    if entry.open_tasks and run.step in state.runs_by_step:
        yield from stop_step_runs(
            state, run.step, 'another member of the gang has ended or is lost'
        )
        return
    for index in range(step.tasks):
        requeue_task(state, run.step, index)


def _process_running(state: DispatchState, event: WorkerReported) -> Actions:
    listed: set[RunKey] = set()
    for running in event.report.running:
        key = RunKey(running.task, running.run)
        listed.add(key)
        run = state.find_run(event.worker, key)
        if run is None:
            yield from adopt_run(state, event.worker, running)
            continue
        state.runs[run.place] = replace(
            run,
            phase=RunPhase.PRESENT,
            confirmed_clock_ms=run.confirmed_clock_ms or event.report.clock_ms,
            listed=True,
            checkpoint=running.checkpoint or run.checkpoint,
            load=running.load,
            load_at=event.received_at,
            percent=running.percent,
            percent_at=event.received_at,
            speed=update_speed(
                run.speed, run.percent, running.percent, event.received_at
            ),
        )
    if not event.report.lists_all_ends:
        # A run that has ended may be on a later page.
        return
    clock_ms = event.report.clock_ms
    unknown = state.workers[event.worker].unknown_runs
    forget_unknown_runs(state, event.worker, unknown - listed)
    evidence = Evidence(
        EvidenceKind.REPORT, 'the worker does not list it', event.received_at
    )
    for run in state.list_runs_on(event.worker):
        if run.key in listed or not is_gone(run, clock_ms):
            continue
        yield from lose_run(state, run, evidence)


def lose_run(
    state: DispatchState, run: RunEntry, evidence: Evidence
) -> Actions:
    """Remove a run that is certainly gone and whose end no report lists."""
    state.remove_run(run.place)
    task = state.find_task(run.key.task)
    state.update_task(
        run.key.task,
        next_run=max(task.next_run, run.key.run + 1),
        checkpoint=run.checkpoint or task.checkpoint,
    )
    if run.checkpoint and run.step in state.steps:
        state.update_step(run.step, checkpoint=run.checkpoint)
    yield LogEvent(
        'lose',
        run.key.task,
        (
            ('run', run.key.run),
            ('worker', run.worker),
            ('ran_ms', state.now - run.started_at),
            ('percent', run.percent),
            ('reason', evidence.reason),
            *evidence.describe(
                run, state.workers.get(run.worker), state.now, state.epoch
            ),
        ),
    )
    yield from reschedule_step(state, run)


def lose_worker_runs(
    state: DispatchState, worker: str, evidence: Evidence
) -> Actions:
    """Remove all runs of a worker, which are certainly gone."""
    for run in state.list_runs_on(worker):
        if run.place in state.runs:
            yield from lose_run(state, run, evidence)
    _forget_all_unknown_runs(state, worker)


def _forget_all_unknown_runs(state: DispatchState, worker: str) -> None:
    unknown = state.workers[worker].unknown_runs
    forget_unknown_runs(state, worker, unknown)


@EVENT_HANDLERS.register(WorkerSilent)
def handle_silence(state: DispatchState, event: WorkerSilent) -> Actions:
    """Start no new runs on a worker that does not respond."""
    record_unanswered_call(state)
    entry = state.workers.get(event.worker)
    if entry is None:
        return
    state.update_worker(
        event.worker,
        silent_since=entry.silent_since or state.now,
        leases_expire_at=max(entry.leases_expire_at, event.leases_expire_at),
    )
    if entry.silent_since:
        return
    yield LogEvent(
        'worker-silent',
        '',
        (
            ('worker', event.worker),
            ('runs', len(state.runs_by_worker.get(event.worker, ()))),
            ('leases_expire_in_ms', event.leases_expire_at - state.now),
            ('reason', event.reason),
        ),
    )


def expire_leases(state: DispatchState, known_until: int) -> Actions:
    """Handle leases that have expired without a report.

    Runs on silent workers are lost once all leases there have expired.
    Workers that previous owners may have used count as reconciled once the
    leases of those owners have expired. An owner that may have been replaced
    concludes nothing from time: its successor may renew the leases.

    Parameters
    ----------
    known_until : int
        Owner's clock, in ms, up to which all reports have been handled.
        Later ones, which may still wait in the inbox, may show that a lease
        has been renewed.
    """
    if state.may_be_replaced:
        return
    for worker, entry in list(state.workers.items()):
        if not entry.silent_since or entry.leases_expired:
            continue
        if not entry.leases_expire_at or known_until < entry.leases_expire_at:
            continue
        state.update_worker(worker, leases_expired=True)
        evidence = Evidence(
            EvidenceKind.LEASE_EXPIRED,
            'the lease of the silent worker has expired',
            entry.leases_expire_at,
        )
        yield from lose_worker_runs(state, worker, evidence)
    forget_expired_terms(state, known_until)
    for worker, bound in list(state.unreconciled_workers.items()):
        if known_until < _find_settling_time(state, worker, bound):
            continue
        state.settle_worker(worker)
        yield LogEvent(
            'worker-settled',
            '',
            (
                ('worker', worker),
                ('reason', 'leases of previous owners have expired'),
                ('grantor', bound.grantor),
                ('waited_ms', state.now - state.took_over_at),
                ('evidence_age_ms', state.now - bound.expires_at),
            ),
        )


def _find_settling_time(
    state: DispatchState, worker: str, bound: LeaseBound
) -> float:
    """Return when a worker counts as reconciled without a complete report.

    One that replies will list the rest of its ends.
    """
    entry = state.workers.get(worker)
    if entry is None or not entry.epoch_acknowledged:
        return bound.expires_at
    if not entry.silent_since:
        return inf
    return max(bound.expires_at, entry.leases_expire_at)


@EVENT_HANDLERS.register(EpochRefused)
def handle_epoch_refusal(state: DispatchState, event: EpochRefused) -> Actions:
    """Step down because a worker obeys a later owner."""
    yield StepDown(
        f'worker {event.worker!r} obeys an owner with a higher epoch than '
        f'{state.epoch!r}'
    )


@DURABLE_HANDLERS.register('run-ended')
def acknowledge_end(state: DispatchState, record: RunEnded) -> Actions:
    """Acknowledge the durable end of a run, and publish the job's end."""
    job_id = record.task.split('.', 1)[0]
    entry = state.jobs.get(job_id)
    end = EndNumber(record.worker, record.born_ms, record.number)
    if entry is not None and entry.ended_by == end:
        yield from publish_end(state, job_id)
    worker = state.workers.get(record.worker)
    if worker is not None and worker.incarnation_ms == record.born_ms:
        number = max(worker.acknowledged_end, record.number)
        state.update_worker(record.worker, acknowledged_end=number)
    yield AcknowledgeEnds(record.worker, record.born_ms, record.number)


def list_incomplete_gangs(state: DispatchState) -> list[StepKey]:
    """Return gangs of which only some members are present or starting."""
    found = []
    for key, runs in state.runs_by_step.items():
        if key not in state.steps or not state.steps[key].open_tasks:
            continue
        step = state.find_step(key)
        if step.gang and len(runs) < step.tasks:
            found.append(key)
    return found


def stop_incomplete_gangs(state: DispatchState) -> Actions:
    """Stop what a previous owner left of a gang.

    The gang starts again once all its members are gone.
    """
    if state.unreconciled_workers:
        return
    for key in list_incomplete_gangs(state):
        yield from stop_step_runs(state, key, 'the gang is incomplete')
