"""Replies to queries about jobs and hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import FINAL_STATES
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.quarantine import HealthState
from sassafrasgate.protocol.messages import Explain
from sassafrasgate.protocol.messages import Explanation
from sassafrasgate.protocol.messages import HostList
from sassafrasgate.protocol.messages import HostView
from sassafrasgate.protocol.messages import JobList
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import ListJobs
from sassafrasgate.protocol.messages import Query
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.handlers import reply_refusal
from sassafrasgate.shards.handlers import REQUEST_HANDLERS
from sassafrasgate.shards.state import JobWaiter

if TYPE_CHECKING:
    from sassafrasgate.shards.events import RequestReceived
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import HostEntry
    from sassafrasgate.shards.state import JobEntry
    from sassafrasgate.shards.state import ShardState

MAX_LISTED_JOBS = 1_000
WAIT_MARGIN_MS = 200


def view_job(
    state: ShardState, entry: JobEntry, duplicate: bool = False
) -> JobView:
    """Return a job's state for callers.

    Until its acceptance is durable a job is shown as unknown, since a
    successor would not know it.
    """
    hosts = tuple(placement.host for placement in entry.placements)
    return JobView(
        entry.job_id,
        entry.state if entry.durable else JobState.UNKNOWN,
        entry.reason,
        entry.attempt,
        hosts,
        state.name,
        state.epoch,
        duplicate,
        entry.outcome,
        entry.spec.team,
        entry.spec.job_class,
    )


def refuse_unknown_job(job_id: str) -> Refusal:
    """Return the refusal for a job that this shard does not know."""
    return Refusal(
        RefusalKind.NOT_FOUND,
        f'no job {job_id!r}',
        'check the id; ended jobs are kept for a day',
    )


@REQUEST_HANDLERS.register('query')
def handle_query(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Reply with a job's state, at once or when the job ends."""
    query: Query = request.message
    entry = state.jobs.get(query.job_id)
    if entry is None or not entry.durable:
        yield reply_refusal(request.reply_to, refuse_unknown_job(query.job_id))
        return
    caller = make_waiter(request, query.wait_s, now)
    yield from reply_or_wait(state, query.job_id, caller, now)


def make_waiter(
    request: RequestReceived, wait_s: float, now: int
) -> JobWaiter:
    """Return the waiter for a request that may wait ``wait_s`` seconds."""
    expires_at = now + max(0, int(wait_s * 1000) - WAIT_MARGIN_MS)
    return JobWaiter(request.reply_to, expires_at)


def reply_or_wait(
    state: ShardState,
    job_id: str,
    caller: JobWaiter,
    now: int,
    duplicate: bool = False,
) -> Actions:
    """Reply to a caller at once, or when the job ends if time is left."""
    entry = state.jobs[job_id]
    if entry.state in FINAL_STATES or caller.expires_at <= now:
        yield Reply(caller.reply_to, view_job(state, entry, duplicate))
        return
    waiters = state.waiters.get(job_id, ())
    state.waiters[job_id] = (*waiters, caller)


def reply_to_waiters(state: ShardState, job_id: str) -> Actions:
    """Reply to every caller that waits for a job."""
    view = view_job(state, state.jobs[job_id])
    for waiter in state.waiters.pop(job_id, ()):
        yield Reply(waiter.reply_to, view)


def expire_waiters(state: ShardState, now: int) -> Actions:
    """Reply to callers whose waiting time has ended with the current state."""
    for job_id in list(state.waiters):
        waiters = state.waiters[job_id]
        entry = state.jobs.get(job_id)
        expired = [waiter for waiter in waiters if waiter.expires_at <= now]
        if not expired or entry is None:
            continue
        for waiter in expired:
            yield Reply(waiter.reply_to, view_job(state, entry))
        kept = tuple(w for w in waiters if w.expires_at > now)
        if kept:
            state.waiters[job_id] = kept
        else:
            del state.waiters[job_id]


@REQUEST_HANDLERS.register('explain')
def handle_explain(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Reply with the latest decisions about a job."""
    message: Explain = request.message
    entry = state.jobs.get(message.job_id)
    if entry is None:
        yield reply_refusal(
            request.reply_to, refuse_unknown_job(message.job_id)
        )
        return
    lines = state.explanations.get(message.job_id, ())
    if entry.reason and entry.state is JobState.QUEUED:
        lines = (*lines, f'waiting: {entry.reason}')
    yield Reply(
        request.reply_to, Explanation(entry.job_id, entry.state, lines)
    )


@REQUEST_HANDLERS.register('list-jobs')
def handle_list_jobs(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Reply with the newest jobs of this shard, oldest first."""
    message: ListJobs = request.message
    limit = min(message.limit, MAX_LISTED_JOBS)
    found = [
        view_job(state, entry)
        for entry in state.jobs.values()
        if message.state in ('', entry.state) and not entry.home
    ]
    yield Reply(request.reply_to, JobList(tuple(found[-limit:])))


@REQUEST_HANDLERS.register('list-hosts')
def handle_list_hosts(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Reply with the hosts of this shard."""
    views = tuple(_view_host(state, entry) for entry in state.hosts.values())
    yield Reply(request.reply_to, HostList(views))


def _view_host(state: ShardState, entry: HostEntry) -> HostView:
    host = state.index.hosts[entry.name]
    return HostView(
        entry.name,
        host.failure_domain,
        host.rack,
        find_host_status(state, entry),
        host.capacity,
        state.index.find_reserved(entry.name),
        _sum_usage(state, entry.name),
        len(state.index.list_reservations(entry.name)),
        state.name,
        state.epoch,
    )


def _sum_usage(state: ShardState, host: str) -> Resources:
    total = NO_RESOURCES
    for task in state.index.list_reservations(host):
        usage = state.usage.get(task)
        if usage is not None:
            total = total + Resources(usage.millicores, usage.memory_mb)
    return total


def find_host_status(state: ShardState, entry: HostEntry) -> str:
    """Return a host's status, which tells whether it gets new tasks."""
    if state.index.hosts[entry.name].drained:
        return 'drained'
    if entry.leaving or entry.listed_leaving:
        return 'leaving'
    if entry.silent_since:
        return 'silent'
    if not entry.epoch_acknowledged:
        return 'unknown'
    health = state.health.get_state(entry.name, state.now)
    if health is not HealthState.HEALTHY:
        return str(health)
    return 'open'
