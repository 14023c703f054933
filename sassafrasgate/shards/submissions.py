"""Submission of jobs, from the duplicate check to the first start."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Placement
from sassafrasgate.journal.records import JobAccepted
from sassafrasgate.journal.records import JobPlaced
from sassafrasgate.placement.admission import AdmissionLoad
from sassafrasgate.placement.admission import check_admission
from sassafrasgate.placement.policies import Assignment
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Submit
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import StartTask
from sassafrasgate.shards.actions import WithdrawRecords
from sassafrasgate.shards.events import WithdrawalAnswered
from sassafrasgate.shards.handlers import DURABLE_HANDLERS
from sassafrasgate.shards.handlers import EVENT_HANDLERS
from sassafrasgate.shards.handlers import reply_refusal
from sassafrasgate.shards.handlers import REQUEST_HANDLERS
from sassafrasgate.shards.handlers import write_record
from sassafrasgate.shards.placements import choose_hosts_for_job
from sassafrasgate.shards.placements import fits_nowhere
from sassafrasgate.shards.placements import log_decision
from sassafrasgate.shards.placements import log_placement
from sassafrasgate.shards.placements import make_placements
from sassafrasgate.shards.quick_requests import start_quick_request
from sassafrasgate.shards.state import PendingSubmit
from sassafrasgate.shards.state import TaskPhase
from sassafrasgate.shards.transfers import reply_to_transfer_callers
from sassafrasgate.shards.views import make_waiter
from sassafrasgate.shards.views import reply_or_wait

if TYPE_CHECKING:
    from sassafrasgate.shards.events import RequestReceived
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState

# Below the front end's timeout for an acceptance, so that callers get "not
# run" instead of no reply.
ACCEPT_TIMEOUT_MS = 8_000
MAX_QUEUED_JOBS = 100_000


@REQUEST_HANDLERS.register('submit')
def accept_submit(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Accept a job, or refuse it; a refused job never runs."""
    submit: Submit = request.message
    if submit.spec.job_class is JobClass.QUICK:
        yield from start_quick_request(state, request, now)
        return
    if submit.job_id in state.jobs:
        yield from _reply_to_duplicate(state, request, now)
        return
    refusal = _find_refusal(state, submit.spec, now)
    if refusal is not None:
        yield from refuse_submit(state, request, refusal)
        return
    yield from _accept_job(state, request, now)


def refuse_submit(
    state: ShardState, request: RequestReceived, refusal: Refusal
) -> Actions:
    """Refuse a job of which no record has been written."""
    submit: Submit = request.message
    yield from log_decision(
        state, LogDecision('refuse', submit.job_id, reason=refusal.reason)
    )
    yield reply_refusal(request.reply_to, refusal)


def _find_refusal(
    state: ShardState, spec: JobSpec, now: int
) -> Refusal | None:
    if state.stopping:
        return Refusal(
            RefusalKind.STOPPING,
            f'the owner of shard {state.name!r} is stopping',
            'submit again; another process takes the shard over',
        )
    team = state.find_team(spec.team)
    if team is None:
        return Refusal(
            RefusalKind.INVALID,
            f'unknown team {spec.team!r}',
            'name a team of the quotas file, or add it there and apply',
        )
    load = AdmissionLoad(
        state.queue.count_queued(spec.team),
        team.max_queued,
        len(state.queue),
        MAX_QUEUED_JOBS,
        state.queue.count_ahead(spec.team, spec.job_class),
        state.start_rate.compute_rate(now),
    )
    return check_admission(spec, load)


def _reply_to_duplicate(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    submit: Submit = request.message
    entry = state.jobs[submit.job_id]
    if entry.spec != submit.spec:
        yield reply_refusal(
            request.reply_to,
            Refusal(
                RefusalKind.CONFLICT,
                f'key {submit.spec.key!r} of team {submit.spec.team!r} '
                'belongs to a job with another description',
                'use a new key for a new job, or repeat the first request',
            ),
        )
        return
    caller = make_waiter(request, submit.wait_s, now)
    pending = state.pending_submits.get(submit.job_id)
    if pending is not None:
        state.pending_submits[submit.job_id] = replace(
            pending, callers=(*pending.callers, caller)
        )
        return
    yield from reply_or_wait(state, submit.job_id, caller, now, True)


def _accept_job(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    submit: Submit = request.message
    spec = submit.spec
    chosen = choose_hosts_for_job(state, spec, spec.tasks)
    if (
        isinstance(chosen, Refusal)
        and fits_nowhere(chosen)
        and not state.fits_elsewhere(spec)
    ):
        yield from refuse_submit(state, request, chosen)
        return
    # Queued jobs keep their order; only urgent jobs overtake the queue.
    may_overtake = spec.job_class is JobClass.URGENT or not len(state.queue)
    placements: tuple[Placement, ...] = ()
    if isinstance(chosen, Assignment) and may_overtake:
        placements = make_placements(state, submit.job_id, 1, spec, chosen)
    yield from write_record(
        state,
        JobAccepted(
            submit.job_id,
            spec,
            1 if placements else 0,
            placements,
            request.wall_ms,
        ),
    )
    if request.reply_to:
        caller = make_waiter(request, submit.wait_s, now)
        state.pending_submits[submit.job_id] = PendingSubmit(
            now + ACCEPT_TIMEOUT_MS, (caller,)
        )
    if isinstance(chosen, Assignment) and placements:
        state.start_rate.record_starts(now)
        yield from log_placement(state, submit.job_id, 1, chosen)
        return
    state.needs_pass = True
    reason = (
        chosen.reason
        if isinstance(chosen, Refusal)
        else 'waiting behind earlier jobs'
    )
    state.update_job(submit.job_id, reason=reason)
    yield from log_decision(
        state, LogDecision('queue', submit.job_id, reason=reason)
    )


@DURABLE_HANDLERS.register('accepted')
def confirm_accepted(
    state: ShardState, record: JobAccepted, now: int
) -> Actions:
    """Reply to the callers and start the tasks of a durable acceptance."""
    if record.job_id not in state.jobs:
        return
    state.update_job(record.job_id, durable=True)
    pending = state.pending_submits.pop(record.job_id, None)
    if pending is not None:
        for position, caller in enumerate(pending.callers):
            yield from reply_or_wait(
                state, record.job_id, caller, now, position > 0
            )
    yield from reply_to_transfer_callers(state, state.jobs[record.job_id])
    yield from start_placed_tasks(state, record.job_id, record.placements)


@DURABLE_HANDLERS.register('placed')
def confirm_placed(state: ShardState, record: JobPlaced, now: int) -> Actions:
    """Start the tasks of a placement that is in the journal."""
    yield from start_placed_tasks(state, record.job_id, record.placements)


def start_placed_tasks(
    state: ShardState, job_id: str, placements: tuple[Placement, ...]
) -> Actions:
    """Start the tasks of placements that are still planned."""
    spec = state.jobs[job_id].spec
    for placement in placements:
        task = state.tasks.get(placement.task)
        if task is None or task.phase is not TaskPhase.PLANNED:
            continue
        yield StartTask(
            placement.host,
            placement.task,
            placement.incarnation,
            placement.demand,
            spec.payload,
        )


def expire_submits(state: ShardState, now: int) -> Actions:
    """Ask the journal to withdraw acceptances whose callers time out."""
    for job_id, pending in list(state.pending_submits.items()):
        if pending.expires_at > now or pending.withdrawing:
            continue
        state.pending_submits[job_id] = replace(pending, withdrawing=True)
        yield WithdrawRecords(job_id)


@EVENT_HANDLERS.register(WithdrawalAnswered)
def finish_withdrawal(
    state: ShardState, event: WithdrawalAnswered, now: int
) -> Actions:
    """Reply "not run" if the records were withdrawn, else "unknown"."""
    pending = state.pending_submits.pop(event.job_id, None)
    entry = state.jobs.get(event.job_id)
    if entry is None:
        return
    if not event.withdrawn:
        if pending is None:
            return
        view = JobView(
            event.job_id,
            JobState.UNKNOWN,
            'the store has not confirmed the acceptance',
            shard=state.name,
            epoch=state.epoch,
        )
        for caller in pending.callers:
            yield Reply(caller.reply_to, view)
        return
    for placement in entry.placements:
        state.drop_task(placement.task)
    state.queue.remove(event.job_id)
    state.jobs.pop(event.job_id)
    state.explanations.pop(event.job_id, None)
    state.needs_pass = True
    view = JobView(
        event.job_id,
        JobState.NOT_RUN,
        'the store did not respond in time; nothing was written',
        shard=state.name,
        epoch=state.epoch,
    )
    yield LogDecision('withdraw', event.job_id, reason=view.reason)
    for caller in pending.callers if pending else ():
        yield Reply(caller.reply_to, view)
