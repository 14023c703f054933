"""Forwards requests to shards and converts failures to problems."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from anyio import CapacityLimiter
from anyio import create_memory_object_stream
from anyio import create_task_group
from anyio import move_on_after

from sassafrasgate.core.errors import NoReply
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.problems import describe_refusal
from sassafrasgate.http.problems import describe_refused
from sassafrasgate.http.problems import describe_unknown
from sassafrasgate.observability.metrics import REFUSALS
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Refused

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.http.routes import Context

# Limits the load that one operator request puts on the links.
MAX_CONCURRENT_SHARDS = 16

# An owner refuses for these reasons only after it has looked up the job, so no
# earlier submission with the same key has run either. Refusals of other kinds
# leave open whether an earlier submission has run.
_KINDS_AFTER_LOOKUP = frozenset(
    {
        RefusalKind.FITS_NOWHERE,
        RefusalKind.NO_ROOM,
        RefusalKind.QUOTA,
        RefusalKind.DEADLINE,
        RefusalKind.STORE_UNAVAILABLE,
    }
)


async def forward(
    context: Context, message: Any, job_id: str = '', wait_s: float = 0.0
) -> Any:
    """Forward a message to its shard; return the reply or a problem.

    Parameters
    ----------
    context : Context
        Context of the application.
    message : object
        A registered message with a ``shard`` field.
    job_id : str
        Id of the job, for problems.
    wait_s : float
        How long the shard may wait before it replies, in seconds.

    Returns
    -------
    object
        The reply message or a `Problem`.
    """
    reply = await forward_raw(context, message, wait_s)
    return convert_failure(context, reply, job_id)


async def forward_raw(
    context: Context, message: Any, wait_s: float = 0.0
) -> Any:
    """Return the gateway's result, or `NoReply` after a time limit."""
    limits = context.limits
    timeout_s = max(wait_s, limits.reply_timeout_s) + limits.reply_margin_s
    with move_on_after(timeout_s + limits.reply_margin_s):
        try:
            return await context.gateway.forward_to_shard(message, timeout_s)
        except SassafrasgateError as error:
            return NoReply(str(error))
    return NoReply(f'no reply arrived within {timeout_s:g} s')


def convert_failure(context: Context, reply: Any, job_id: str) -> Any:
    """Return the problem for a failure; return any other reply unchanged."""
    if isinstance(reply, NoReply):
        return describe_unknown(reply.reason, job_id)
    if isinstance(reply, Refusal):
        context.metrics.count(REFUSALS, reply.kind)
        return describe_refusal(reply, job_id)
    if isinstance(reply, Refused):
        context.metrics.count(REFUSALS, reply.refusal)
        return describe_refused(reply, job_id)
    return reply


def proves_not_run(reply: Any, has_generated_key: bool) -> bool:
    """Return whether the reply to a submission proves its job never runs.

    Parameters
    ----------
    reply : object
        Result of the gateway, not converted to a problem.
    has_generated_key : bool
        Whether the key was generated for this submission, so that no
        earlier submission has the same key.
    """
    if isinstance(reply, Refusal):
        return has_generated_key
    if isinstance(reply, Refused):
        return has_generated_key or reply.refusal in _KINDS_AFTER_LOOKUP
    return isinstance(reply, JobView) and reply.state is JobState.NOT_RUN


@dataclass(frozen=True, slots=True)
class ShardReplies:
    """Replies of all shards to one request.

    Parameters
    ----------
    replies : tuple
        Reply messages, in the order of the shards.
    missing : dict of str to str
        By name of a shard without a reply, the reason.
    """

    replies: tuple[Any, ...]
    missing: dict[str, str]


async def forward_to_all_shards(
    context: Context, make_message: Callable[[str], Any]
) -> ShardReplies:
    """Forward a message to all shards concurrently and return the replies.

    Parameters
    ----------
    context : Context
        Context of the application.
    make_message : callable
        Takes the name of a shard and returns the message for it.
    """
    shards = context.gateway.list_shards()
    send, receive = create_memory_object_stream[tuple[str, Any]](len(shards))
    limiter = CapacityLimiter(MAX_CONCURRENT_SHARDS)

    async def forward_to_one(shard: str) -> None:
        async with limiter:
            reply = await forward_raw(context, make_message(shard))
        await send.send((shard, reply))

    async with create_task_group() as group:
        for shard in shards:
            group.start_soon(forward_to_one, shard)
    send.close()
    with receive:
        replies = dict([pair async for pair in receive])
    failures = (NoReply, Refusal, Refused)
    return ShardReplies(
        tuple(
            replies[shard]
            for shard in shards
            if not isinstance(replies[shard], failures)
        ),
        {
            shard: replies[shard].reason
            for shard in shards
            if isinstance(replies[shard], failures)
        },
    )
