"""Transfer of attempts to other shards, with at-most-once semantics.

The home shard journals the transfer before it sends it. The other shard
journals either the acceptance or a permanent refusal before it replies, so
that a repeated or delayed message cannot start the attempt a second time.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.journal.records import AttemptRefused
from sassafrasgate.journal.records import JobAccepted
from sassafrasgate.journal.records import JobRequeued
from sassafrasgate.journal.records import JobTransferred
from sassafrasgate.protocol.messages import Acknowledged
from sassafrasgate.protocol.messages import BorrowShare
from sassafrasgate.protocol.messages import Recall
from sassafrasgate.protocol.messages import ShareTotal
from sassafrasgate.protocol.messages import Summary
from sassafrasgate.protocol.messages import Transfer
from sassafrasgate.protocol.messages import TransferEnded
from sassafrasgate.protocol.messages import TransferReply
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import PublishSummary
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import SendToShard
from sassafrasgate.shards.cancellations import begin_cancel
from sassafrasgate.shards.completions import end_job
from sassafrasgate.shards.events import PeerAnswered
from sassafrasgate.shards.events import SummaryReceived
from sassafrasgate.shards.handlers import DURABLE_HANDLERS
from sassafrasgate.shards.handlers import EVENT_HANDLERS
from sassafrasgate.shards.handlers import REQUEST_HANDLERS
from sassafrasgate.shards.handlers import write_record
from sassafrasgate.shards.placements import choose_hosts_for_job
from sassafrasgate.shards.placements import find_rule_constraints
from sassafrasgate.shards.placements import log_decision
from sassafrasgate.shards.placements import log_placement
from sassafrasgate.shards.placements import make_placements
from sassafrasgate.shards.quota_shares import record_share_total
from sassafrasgate.shards.state import JobEntry
from sassafrasgate.shards.state import TransferEntry

if TYPE_CHECKING:
    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.shards.events import RequestReceived
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState

TRANSFER_DELAY_MS = 1_000
MAX_SUMMARY_AGE_MS = 3_000
SUMMARY_INTERVAL_MS = 1_000
RESEND_INTERVAL_MS = 1_000
# Size of the range of attempt numbers that each home attempt has on the other
# shard. The ranges keep these numbers distinct from those of the home shard
# and of other home attempts.
ATTEMPTS_PER_TRANSFER = 1_000


def find_transfer_target(
    state: ShardState, spec: JobSpec, now: int
) -> str | None:
    """Return the shard with the most free CPU that fits a job, or None.

    Parameters
    ----------
    now : int
        The owner's clock; summaries older than `MAX_SUMMARY_AGE_MS` are
        ignored.
    """
    if spec.job_class is JobClass.SERVICE and spec.tasks > 1:
        return None
    _, domains = find_rule_constraints(state, spec)
    need = spec.demand.scale(spec.tasks)
    best: Summary | None = None
    for name, (summary, received_at) in state.summaries.items():
        if name == state.name or now - received_at > MAX_SUMMARY_AGE_MS:
            continue
        if domains and summary.failure_domain not in domains:
            continue
        if spec.failure_domains and (
            summary.failure_domain not in spec.failure_domains
        ):
            continue
        if not spec.demand.fits_in(summary.largest):
            continue
        if summary.queued or not need.fits_in(summary.free):
            continue
        if best is None or summary.free.millicores > best.free.millicores:
            best = summary
    return best.shard if best is not None else None


def begin_transfer(state: ShardState, entry: JobEntry, shard: str) -> Actions:
    """Journal a transfer, which is sent once its record is durable."""
    summary, received_at = state.summaries[shard]
    need = entry.spec.demand.scale(entry.spec.tasks)
    # Until its next summary, count the job against the other shard's free
    # capacity.
    left = replace(
        summary, free=summary.free - need, largest=summary.largest - need
    )
    state.summaries[shard] = (left, received_at)
    yield from log_decision(
        state,
        LogDecision(
            'transfer', entry.job_id, entry.attempt + 1, reason=f'to {shard}'
        ),
    )
    yield from write_record(
        state, JobTransferred(entry.job_id, entry.attempt + 1, shard)
    )


@DURABLE_HANDLERS.register('transferred')
def send_transfer(
    state: ShardState, record: JobTransferred, now: int
) -> Actions:
    """Send a transfer whose record is durable."""
    transfer = state.transfers.get(record.job_id)
    if transfer is None or transfer.attempt != record.attempt:
        return
    state.transfers[record.job_id] = replace(transfer, durable=True)
    yield from _resend(state, record.job_id, now)


def resend_unanswered(state: ShardState, now: int) -> Actions:
    """Send unanswered transfers, recalls and reports of ends again."""
    for job_id, transfer in list(state.transfers.items()):
        if transfer.durable and transfer.next_at <= now:
            yield from _resend(state, job_id, now)
    for ended, next_at in list(state.unacknowledged_ends.values()):
        if next_at <= now:
            state.unacknowledged_ends[ended.job_id] = (
                ended,
                now + RESEND_INTERVAL_MS,
            )
            yield SendToShard(ended.shard, ended)


def _resend(state: ShardState, job_id: str, now: int) -> Actions:
    transfer = state.transfers.get(job_id)
    entry = state.jobs.get(job_id)
    if transfer is None or entry is None:
        return
    state.transfers[job_id] = replace(
        transfer, next_at=now + RESEND_INTERVAL_MS
    )
    if entry.cancelling:
        yield SendToShard(
            transfer.shard,
            Recall(
                transfer.shard,
                state.name,
                job_id,
                transfer.attempt,
                cancel=True,
            ),
        )
        return
    if transfer.accepted:
        return
    yield SendToShard(
        transfer.shard,
        Transfer(
            transfer.shard,
            state.name,
            state.epoch,
            job_id,
            transfer.attempt,
            entry.spec,
        ),
    )


@EVENT_HANDLERS.register(PeerAnswered)
def handle_peer_reply(
    state: ShardState, event: PeerAnswered, now: int
) -> Actions:
    """Process the reply to a message to another shard."""
    message, reply = event.message, event.reply
    if isinstance(message, BorrowShare):
        if isinstance(reply, ShareTotal):
            record_share_total(state, message, reply)
        return
    if isinstance(message, TransferEnded):
        if isinstance(reply, Acknowledged):
            state.unacknowledged_ends.pop(message.job_id, None)
        return
    transfer = state.transfers.get(message.job_id)
    if transfer is None or transfer.attempt != message.attempt:
        return
    if isinstance(reply, TransferEnded):
        yield from _apply_transfer_end(state, reply)
        return
    if not isinstance(reply, TransferReply):
        return
    if reply.accepted:
        state.transfers[message.job_id] = replace(transfer, accepted=True)
        return
    yield from _reclaim_job(state, message.job_id, reply.reason)


def _reclaim_job(state: ShardState, job_id: str, reason: str) -> Actions:
    """Requeue or cancel a job whose transferred attempt will not run."""
    entry = state.jobs[job_id]
    if entry.cancelling:
        yield from end_job(
            state,
            entry,
            Outcome(JobState.CANCELLED, 'cancelled by its caller'),
        )
        return
    state.needs_pass = True
    yield from write_record(
        state,
        JobRequeued(job_id, entry.attempt, f'transfer refused: {reason}'),
    )


@REQUEST_HANDLERS.register('transfer-ended')
def handle_transfer_ended(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """End a job that another shard has run.

    The report is acknowledged once the end is applied here.
    """
    message: TransferEnded = request.message
    entry = state.jobs.get(message.job_id)
    if entry is None or entry.has_ended or not _is_current(state, message):
        yield Reply(request.reply_to, Acknowledged())
        return
    # This report gets no reply: the sender repeats it and gets the
    # acknowledgement once the job has ended here.
    yield from _apply_transfer_end(state, message)


def _is_current(state: ShardState, message: TransferEnded) -> bool:
    transfer = state.transfers.get(message.job_id)
    return transfer is not None and transfer.attempt == message.attempt


def _apply_transfer_end(state: ShardState, message: TransferEnded) -> Actions:
    entry = state.jobs[message.job_id]
    if message.outcome.state is JobState.NOT_RUN:
        yield from _reclaim_job(state, message.job_id, message.outcome.reason)
        return
    yield from end_job(state, entry, message.outcome)


@REQUEST_HANDLERS.register('transfer')
def accept_transfer(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Accept an attempt of another shard's job, or refuse it permanently."""
    message: Transfer = request.message
    key = (message.job_id, message.home, message.attempt)
    entry = state.jobs.get(message.job_id)
    if key in state.tombstones:
        yield from _reply_refused(state, request, 'attempt already refused')
        return
    if entry is not None and entry.home_attempt == message.attempt:
        yield from _reply_accepted(state, request, entry)
        return
    if entry is not None and not entry.has_ended:
        # An earlier attempt has not ended here; the home shard sends its
        # message again.
        return
    spec = message.spec
    chosen = choose_hosts_for_job(state, spec, spec.tasks)
    if isinstance(chosen, Refusal) or state.stopping:
        reason = 'stopping' if state.stopping else str(chosen.reason)  # type: ignore[union-attr]
        state.transfer_callers.setdefault(key, []).append(request.reply_to)
        yield from write_record(
            state,
            AttemptRefused(message.job_id, message.home, message.attempt),
        )
        yield LogDecision('refuse', message.job_id, reason=reason)
        return
    attempt = message.attempt * ATTEMPTS_PER_TRANSFER + 1
    placements = make_placements(state, message.job_id, attempt, spec, chosen)
    state.transfer_callers.setdefault(key, []).append(request.reply_to)
    yield from write_record(
        state,
        JobAccepted(
            message.job_id,
            spec,
            attempt,
            placements,
            request.wall_ms,
            message.home,
            message.attempt,
        ),
    )
    yield from log_placement(state, message.job_id, attempt, chosen)


def _reply_accepted(
    state: ShardState, request: RequestReceived, entry: JobEntry
) -> Actions:
    if not entry.durable:
        key = (entry.job_id, entry.home, entry.home_attempt)
        state.transfer_callers.setdefault(key, []).append(request.reply_to)
        return
    yield Reply(
        request.reply_to, TransferReply(entry.job_id, entry.home_attempt, True)
    )


def _reply_refused(
    state: ShardState, request: RequestReceived, reason: str
) -> Actions:
    message = request.message
    key = (message.job_id, message.home, message.attempt)
    callers = state.transfer_callers.get(key)
    if callers is not None:
        callers.append(request.reply_to)
        return
    yield Reply(
        request.reply_to,
        TransferReply(message.job_id, message.attempt, False, reason),
    )


@DURABLE_HANDLERS.register('tombstone')
def confirm_refusal(
    state: ShardState, record: AttemptRefused, now: int
) -> Actions:
    """Reply to the home shard, since the refusal is in the journal."""
    key = (record.job_id, record.home, record.home_attempt)
    for reply_to in state.transfer_callers.pop(key, ()):
        yield Reply(
            reply_to,
            TransferReply(
                record.job_id,
                record.home_attempt,
                False,
                'no free capacity, or the owner is stopping',
            ),
        )


def reply_to_transfer_callers(state: ShardState, entry: JobEntry) -> Actions:
    """Reply to the home shard, since the acceptance is in the journal."""
    key = (entry.job_id, entry.home, entry.home_attempt)
    for reply_to in state.transfer_callers.pop(key, ()):
        yield Reply(
            reply_to, TransferReply(entry.job_id, entry.home_attempt, True)
        )


@REQUEST_HANDLERS.register('recall')
def handle_recall(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Reply with the state of an attempt, or refuse it permanently.

    An attempt that is not known here is refused, so that a delayed transfer
    of it is not accepted later.
    """
    message: Recall = request.message
    entry = state.jobs.get(message.job_id)
    if entry is None or entry.home_attempt != message.attempt:
        yield from _refuse_recalled(state, request)
        return
    if entry.has_ended:
        outcome = entry.outcome or Outcome(entry.state, entry.reason)
        yield Reply(
            request.reply_to,
            TransferEnded(
                message.home, entry.job_id, entry.home_attempt, outcome
            ),
        )
        return
    yield Reply(
        request.reply_to, TransferReply(entry.job_id, entry.home_attempt, True)
    )
    if message.cancel:
        yield from begin_cancel(state, entry)


def _refuse_recalled(state: ShardState, request: RequestReceived) -> Actions:
    message: Recall = request.message
    key = (message.job_id, message.home, message.attempt)
    if key in state.tombstones:
        yield from _reply_refused(state, request, 'attempt recalled')
        return
    state.transfer_callers.setdefault(key, []).append(request.reply_to)
    yield from write_record(
        state, AttemptRefused(message.job_id, message.home, message.attempt)
    )


@EVENT_HANDLERS.register(SummaryReceived)
def handle_summary(
    state: ShardState, event: SummaryReceived, now: int
) -> Actions:
    """Store another shard's summary unless a newer epoch sent one."""
    summary: Summary = event.summary
    known = state.summaries.get(summary.shard)
    if known is not None and known[0].epoch > summary.epoch:
        return
    state.summaries[summary.shard] = (summary, now)
    yield from ()


def publish_summary(state: ShardState, now: int) -> Actions:
    """Publish this shard's free capacity at `SUMMARY_INTERVAL_MS`.

    At the same interval this requests a scheduling pass if another shard has
    capacity, since queued jobs may be transferred even while the capacity of
    this shard does not change.
    """
    if now - state.summary_published_at < SUMMARY_INTERVAL_MS:
        return
    state.summary_published_at = now
    state.needs_pass = state.needs_pass or _has_capacity_elsewhere(state, now)
    yield PublishSummary(
        Summary(
            state.name,
            state.epoch,
            state.index.sum_free(),
            state.index.find_largest_free(),
            len(state.queue),
            state.failure_domain,
        )
    )


def _has_capacity_elsewhere(state: ShardState, now: int) -> bool:
    return any(
        name != state.name
        and now - received_at <= MAX_SUMMARY_AGE_MS
        and not summary.queued
        and summary.free.slots > 0
        for name, (summary, received_at) in state.summaries.items()
    )


def resume_transfers(state: ShardState) -> None:
    """Restore the transfers and reports that a new owner must send again."""
    for entry in state.jobs.values():
        if entry.transferred_to and not entry.has_ended:
            state.transfers[entry.job_id] = TransferEntry(
                entry.attempt, entry.transferred_to, durable=True
            )
        if entry.home and entry.has_ended and entry.outcome is not None:
            state.unacknowledged_ends[entry.job_id] = (
                TransferEnded(
                    entry.home,
                    entry.job_id,
                    entry.home_attempt,
                    entry.outcome,
                ),
                0,
            )
