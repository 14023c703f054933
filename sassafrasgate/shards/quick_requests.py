"""Quick requests, which are placed and completed without journal records."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.identifiers import make_task_id
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.core.tasks import EndedTask
from sassafrasgate.core.tasks import TaskOutcome
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Submit
from sassafrasgate.shards.actions import FetchOutput
from sassafrasgate.shards.actions import LogDecision
from sassafrasgate.shards.actions import ReleaseTask
from sassafrasgate.shards.actions import Reply
from sassafrasgate.shards.actions import StartTask
from sassafrasgate.shards.events import OutputFetched
from sassafrasgate.shards.handlers import EVENT_HANDLERS
from sassafrasgate.shards.handlers import reply_refusal
from sassafrasgate.shards.placements import choose_hosts_for_job
from sassafrasgate.shards.state import QuickRequest
from sassafrasgate.shards.state import TaskEntry

if TYPE_CHECKING:
    from collections.abc import Generator

    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.shards.events import RequestReceived
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState

DEFAULT_DEADLINE_MS = 5_000
# Below the task lease, since the lease of a quick request is not renewed and
# its start may use a clock reading as old as a long-polled sync call.
MAX_DEADLINE_MS = 7_000
REPLY_MARGIN_MS = 100
MAX_ATTEMPTS = 3


def start_quick_request(
    state: ShardState, request: RequestReceived, now: int
) -> Actions:
    """Place a quick request at once, or refuse it."""
    submit: Submit = request.message
    refusal = _find_refusal(state, submit.spec)
    if refusal is not None:
        yield from _refuse(state, request, refusal)
        return
    running = state.quick_requests.get(submit.job_id)
    if running is not None:
        # Only one attempt of a key runs at a time, even after its earlier
        # callers have stopped waiting.
        state.quick_requests[submit.job_id] = replace(
            running,
            reply_to=(*running.reply_to, request.reply_to),
            expires_at=now + find_deadline_ms(submit.spec) - REPLY_MARGIN_MS,
        )
        return
    quick = QuickRequest(
        submit.job_id,
        submit.spec,
        (request.reply_to,),
        now + find_deadline_ms(submit.spec) - REPLY_MARGIN_MS,
        0,
        '',
        '',
    )
    refusal = yield from _place(state, quick, now)
    if refusal is not None:
        if refusal.kind is RefusalKind.NO_ROOM and _awaits_hosts(state):
            refusal = Refusal(
                RefusalKind.NOT_READY,
                f'the new owner of shard {state.name!r} is waiting for the '
                'first replies of its workers',
                'send the request again after a second',
            )
        yield from _refuse(state, request, refusal)


def _awaits_hosts(state: ShardState) -> bool:
    """Return whether some hosts have not acknowledged this owner yet.

    Hosts that are known to be unresponsive do not count.
    """
    return any(
        not host.epoch_acknowledged and not host.silent_since
        for host in state.hosts.values()
    )


def find_deadline_ms(spec: JobSpec) -> int:
    """Return how long a quick request may take, in milliseconds."""
    if spec.deadline_s <= 0:
        return DEFAULT_DEADLINE_MS
    return int(spec.deadline_s * 1000)


def _find_refusal(state: ShardState, spec: JobSpec) -> Refusal | None:
    if state.stopping:
        return Refusal(
            RefusalKind.STOPPING,
            f'the owner of shard {state.name!r} is stopping',
            'send the request again; another process takes over',
        )
    if state.find_team(spec.team) is None:
        return Refusal(
            RefusalKind.INVALID,
            f'unknown team {spec.team!r}',
            'name a team of the quotas file, or add it there and apply',
        )
    if spec.deadline_s * 1000 > MAX_DEADLINE_MS:
        return Refusal(
            RefusalKind.INVALID,
            f'deadline_s of a quick request is {spec.deadline_s!r}',
            f'use at most {MAX_DEADLINE_MS / 1000:g}, or submit a job of '
            'class urgent',
        )
    if not spec.idempotent or spec.tasks != 1:
        return Refusal(
            RefusalKind.INVALID,
            f'a quick request must be idempotent and have one task, not '
            f'idempotent={spec.idempotent!r} tasks={spec.tasks!r}',
            'submit it as a job of class urgent instead',
        )
    return None


def _refuse(
    state: ShardState, request: RequestReceived, refusal: Refusal
) -> Actions:
    yield LogDecision('refuse', request.message.job_id, reason=refusal.reason)
    yield reply_refusal(request.reply_to, refusal)


def _place(
    state: ShardState, quick: QuickRequest, now: int
) -> Generator[Any, None, Refusal | None]:
    chosen = choose_hosts_for_job(
        state, quick.spec, 1, frozenset(quick.tried_hosts)
    )
    if isinstance(chosen, Refusal):
        return chosen
    host = chosen.hosts[0]
    attempt = quick.attempt + 1
    # The epoch and a sequence number make the task id unique among all tasks
    # of one key, so that a worker takes none for a repeated start.
    state.quick_sequence += 1
    task = make_task_id(
        f'{quick.job_id}~{state.epoch}', state.quick_sequence, attempt
    )
    demand = state.demand_estimator.estimate_demand(quick.spec)
    incarnation = state.hosts[host].incarnation
    state.add_task(
        TaskEntry(
            task,
            quick.job_id,
            host,
            demand,
            incarnation,
            team=quick.spec.team,
        )
    )
    state.quick_requests[quick.job_id] = replace(
        quick, attempt=attempt, task=task, host=host
    )
    wait_ms = max(1, quick.expires_at - now)
    yield LogDecision(
        'route',
        quick.job_id,
        attempt,
        host,
        f'score={chosen.score:.3f}',
        chosen.candidates,
    )
    yield StartTask(
        host,
        task,
        incarnation,
        demand,
        quick.spec.payload,
        wait_ms=wait_ms,
        lease_ms=wait_ms + REPLY_MARGIN_MS,
    )
    return None


def retry_quick_request(
    state: ShardState, job_id: str, reason: str, now: int
) -> Actions:
    """Place a quick request on another host after an unsuccessful attempt.

    The earlier attempt must be certain not to run any more.
    """
    quick = state.quick_requests[job_id]
    if not quick.reply_to:
        del state.quick_requests[job_id]
        return
    tried = replace(quick, tried_hosts=(*quick.tried_hosts, quick.host))
    if now >= quick.expires_at or len(tried.tried_hosts) >= MAX_ATTEMPTS:
        refusal: Refusal | None = Refusal(
            RefusalKind.OVERLOADED,
            f'{len(tried.tried_hosts)} workers refused the request: {reason}',
            'send the request again later',
        )
    else:
        refusal = yield from _place(state, tried, now)
    if refusal is None:
        return
    del state.quick_requests[job_id]
    yield LogDecision('refuse', job_id, quick.attempt, reason=refusal.reason)
    for reply_to in quick.reply_to:
        yield reply_refusal(reply_to, refusal)


def end_quick_request(
    state: ShardState, job_id: str, ended: EndedTask, now: int
) -> Actions:
    """Reply to a quick request with its task's output, or retry it."""
    quick = state.quick_requests[job_id]
    if quick.ended is not None:
        return
    if ended.outcome is TaskOutcome.FINISHED and ended.size > len(
        ended.output
    ):
        state.quick_requests[job_id] = replace(quick, ended=ended)
        yield FetchOutput(quick.host, quick.task, ended.size, ended.digest)
        return
    succeeded = ended.outcome is TaskOutcome.FINISHED
    if not succeeded and len(quick.tried_hosts) + 1 < MAX_ATTEMPTS:
        yield ReleaseTask(quick.host, quick.task)
        reason = ended.reason or str(ended.outcome)
        yield from retry_quick_request(state, job_id, reason, now)
        return
    outcome = Outcome(
        JobState.FINISHED if succeeded else JobState.FAILED,
        '' if succeeded else (ended.reason or str(ended.outcome)),
        ended.output,
        0,
        ended.size,
        ended.digest,
    )
    yield from _reply(state, quick, outcome)


@EVENT_HANDLERS.register(OutputFetched)
def handle_fetched_output(
    state: ShardState, event: OutputFetched, now: int
) -> Actions:
    """Reply to a quick request whose large output has been fetched."""
    for quick in list(state.quick_requests.values()):
        if quick.task != event.task:
            continue
        outcome = Outcome(
            JobState.FINISHED,
            '',
            event.data,
            0,
            len(event.data),
            event.digest,
        )
        yield from _reply(state, quick, outcome)


def _reply(
    state: ShardState, quick: QuickRequest, outcome: Outcome
) -> Actions:
    state.quick_requests.pop(quick.job_id, None)
    yield ReleaseTask(quick.host, quick.task)
    view = JobView(
        quick.job_id,
        outcome.state,
        outcome.reason,
        quick.attempt,
        (quick.host,),
        state.name,
        state.epoch,
        False,
        outcome,
        quick.spec.team,
        quick.spec.job_class,
    )
    for reply_to in quick.reply_to:
        yield Reply(reply_to, view)


def expire_quick_requests(state: ShardState, now: int) -> Actions:
    """Reply "unknown" to callers whose deadline has passed.

    The reservation and the entry stay until the task has certainly ended,
    so that a request with the same key does not run concurrently on a second
    host.
    """
    expired = [
        quick
        for quick in state.quick_requests.values()
        if quick.reply_to and quick.expires_at <= now
    ]
    for quick in expired:
        state.quick_requests[quick.job_id] = replace(quick, reply_to=())
        view = JobView(
            quick.job_id,
            JobState.UNKNOWN,
            'the worker did not respond within the deadline',
            quick.attempt,
            (quick.host,),
            state.name,
            state.epoch,
        )
        yield LogDecision(
            'expire', quick.job_id, quick.attempt, quick.host, view.reason
        )
        if quick.ended is not None:
            # The task has ended, but its output has not been fetched.
            yield ReleaseTask(quick.host, quick.task)
        for reply_to in quick.reply_to:
            yield Reply(reply_to, view)
