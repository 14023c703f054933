"""Replies to start calls, and start calls that got none."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.dispatch.actions import LogEvent
from sassafrasgate.dispatch.adoptions import mark_running
from sassafrasgate.dispatch.advice import invalidate_ticket
from sassafrasgate.dispatch.entries import RunPhase
from sassafrasgate.dispatch.events import RunAnswered
from sassafrasgate.dispatch.events import RunNotSent
from sassafrasgate.dispatch.events import RunUnanswered
from sassafrasgate.dispatch.evidence import Evidence
from sassafrasgate.dispatch.evidence import EvidenceKind
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.hold_waits import record_unanswered_call
from sassafrasgate.dispatch.reports import lose_run
from sassafrasgate.dispatch.stops import stop_run
from sassafrasgate.shards.actions import StepDown

if TYPE_CHECKING:
    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState

# Time for which a worker gets no new run after it refused one for a reason
# that would also apply to an immediate retry.
REFUSAL_PAUSE_MS = 500
PAUSING_REFUSALS = frozenset(
    {
        StartRefusal.UNHEALTHY,
        StartRefusal.OTHER_INCARNATION,
        StartRefusal.INVALID,
    }
)


@EVENT_HANDLERS.register(RunAnswered)
def handle_start_reply(state: DispatchState, event: RunAnswered) -> Actions:
    """Confirm a run, or remove it if the worker refused to start it."""
    run = state.find_run(event.worker, event.run)
    if run is None:
        return
    refusal = event.reply.refusal
    if refusal is None:
        if event.incarnation_ms in (0, run.incarnation_ms):
            _confirm_run(state, run, event.reply.clock_ms)
        return
    yield LogEvent(
        'start-refused',
        run.key.task,
        (
            ('run', run.key.run),
            ('worker', run.worker),
            ('reason', refusal),
            ('uncertain', run.uncertain),
        ),
    )
    if refusal is StartRefusal.STALE_EPOCH:
        yield StepDown(
            f'worker {run.worker!r} obeys an owner with a higher epoch than '
            f'{state.epoch!r}'
        )
        return
    _apply_refusal(state, run, refusal)
    if run.phase is RunPhase.PRESENT:
        # A report has listed the run, so the refused call was a retry.
        return
    if run.uncertain:
        # The worker may still carry out another call for the same run.
        unsure = state.update_run(run.place, phase=RunPhase.UNSURE)
        yield from stop_run(
            state,
            unsure,
            'another start call for the run is unanswered',
        )
        return
    yield from lose_run(
        state,
        run,
        Evidence(EvidenceKind.REFUSED, f'refused: {refusal}', state.now),
    )


def _confirm_run(state: DispatchState, run: RunEntry, clock_ms: int) -> None:
    state.update_run(
        run.place,
        phase=RunPhase.PRESENT,
        confirmed_clock_ms=max(run.confirmed_clock_ms, clock_ms),
    )
    if run.step in state.steps:
        mark_running(state, run.step.job_id)


def _apply_refusal(
    state: DispatchState, run: RunEntry, refusal: StartRefusal
) -> None:
    if refusal is StartRefusal.NO_TICKET:
        invalidate_ticket(state, run.step, run.worker)
    if refusal in PAUSING_REFUSALS:
        _avoid_worker(state, run.worker)


def _avoid_worker(state: DispatchState, worker: str) -> None:
    if worker in state.workers:
        state.update_worker(worker, avoid_until=state.now + REFUSAL_PAUSE_MS)


@EVENT_HANDLERS.register(RunUnanswered)
def handle_unanswered_start(
    state: DispatchState, event: RunUnanswered
) -> Actions:
    """Handle a start call without a reply.

    The run may still start, so its reservation is kept.
    """
    record_unanswered_call(state)
    run = state.find_run(event.worker, event.run)
    if run is None:
        return
    state.update_run(run.place, uncertain=True)
    yield LogEvent(
        'start-unanswered',
        run.key.task,
        (
            ('run', run.key.run),
            ('worker', run.worker),
            ('sent_ms_ago', state.now - run.started_at),
            ('last_attempt', event.last),
        ),
    )
    if not event.last:
        return
    _avoid_worker(state, run.worker)
    yield from _stop_unconfirmed(state, run, 'the start call got no reply')


def stop_unanswered_starts(state: DispatchState, worker: str) -> Actions:
    """Stop runs whose start calls to a worker were cut short.

    No reply to these calls will arrive, and they may still be carried out.
    """
    for run in state.list_runs_on(worker):
        if run.phase is RunPhase.SENT:
            state.update_run(run.place, uncertain=True)
            yield from _stop_unconfirmed(
                state, run, 'the start call was cut short'
            )


def _stop_unconfirmed(
    state: DispatchState, run: RunEntry, reason: str
) -> Actions:
    if run.phase is RunPhase.PRESENT:
        return
    unsure = state.update_run(run.place, phase=RunPhase.UNSURE)
    yield from stop_run(state, unsure, reason)


@EVENT_HANDLERS.register(RunNotSent)
def handle_unsent_start(state: DispatchState, event: RunNotSent) -> Actions:
    """Remove a run whose start call was never sent."""
    run = state.find_run(event.worker, event.run)
    if run is None:
        return
    _avoid_worker(state, run.worker)
    yield from lose_run(
        state, run, Evidence(EvidenceKind.NOT_SENT, event.reason, state.now)
    )
