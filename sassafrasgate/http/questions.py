"""Questions to shards, with what a missing answer means for a caller."""

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

# Bounds what one operator request puts on the links at once.
MAX_CONCURRENT_SHARDS = 16

# An owner refuses for these reasons only after it has looked the job up, so
# no earlier submission with the same key has run either. The other reasons
# say nothing about earlier submissions.
_LOOKED_UP = frozenset(
    {
        RefusalKind.FITS_NOWHERE,
        RefusalKind.NO_ROOM,
        RefusalKind.QUOTA,
        RefusalKind.DEADLINE,
        RefusalKind.STORE_UNAVAILABLE,
    }
)


async def ask(
    context: Context, message: Any, job_id: str = '', wait_s: float = 0.0
) -> Any:
    """Return a shard's answer, or the problem that stands for it.

    Parameters
    ----------
    context : Context
        The application's context.
    message : object
        A registered message with a ``shard`` field.
    job_id : str
        Named in problems.
    wait_s : float
        How long the shard may hold its answer, in seconds.

    Returns
    -------
    object
        The answer message or a `Problem`.
    """
    answer = await ask_plainly(context, message, wait_s)
    return describe_failure(context, answer, job_id)


async def ask_plainly(
    context: Context, message: Any, wait_s: float = 0.0
) -> Any:
    """Return what the gateway answers, or `NoReply` after a time limit."""
    limits = context.limits
    timeout_s = max(wait_s, limits.answer_timeout_s) + limits.answer_margin_s
    with move_on_after(timeout_s + limits.answer_margin_s):
        try:
            return await context.gateway.forward_to_shard(message, timeout_s)
        except SassafrasgateError as error:
            return NoReply(str(error))
    return NoReply(f'no answer came within {timeout_s:g} s')


def describe_failure(context: Context, answer: Any, job_id: str) -> Any:
    """Return the problem that an answer stands for, or the answer itself."""
    if isinstance(answer, NoReply):
        return describe_unknown(answer.reason, job_id)
    if isinstance(answer, Refusal):
        context.metrics.count(REFUSALS, answer.kind)
        return describe_refusal(answer, job_id)
    if isinstance(answer, Refused):
        context.metrics.count(REFUSALS, answer.refusal)
        return describe_refused(answer, job_id)
    return answer


def is_certainly_not_run(answer: Any, fresh: bool) -> bool:
    """Tell whether the answer to a submission proves its job never runs.

    Parameters
    ----------
    answer : object
        As the gateway gave it.
    fresh : bool
        Whether the key was made for this submission alone, so that there
        are no earlier ones.
    """
    if isinstance(answer, Refusal):
        return fresh
    if isinstance(answer, Refused):
        return fresh or answer.refusal in _LOOKED_UP
    return isinstance(answer, JobView) and answer.state is JobState.NOT_RUN


@dataclass(frozen=True, slots=True)
class ShardAnswers:
    """What all shards answered together.

    Parameters
    ----------
    replies : tuple
        Answer messages, in the order of the shards.
    missing : dict of str to str
        Why each other shard is not included.
    """

    replies: tuple[Any, ...]
    missing: dict[str, str]


async def ask_every_shard(
    context: Context, make_message: Callable[[str], Any]
) -> ShardAnswers:
    """Ask all shards concurrently and return what came.

    Parameters
    ----------
    context : Context
        The application's context.
    make_message : callable
        Takes the name of a shard and returns the message for it.
    """
    shards = context.gateway.list_shards()
    send, receive = create_memory_object_stream[tuple[str, Any]](len(shards))
    limiter = CapacityLimiter(MAX_CONCURRENT_SHARDS)

    async def ask_one(shard: str) -> None:
        async with limiter:
            answer = await ask_plainly(context, make_message(shard))
        await send.send((shard, answer))

    async with create_task_group() as group:
        for shard in shards:
            group.start_soon(ask_one, shard)
    send.close()
    with receive:
        answers = dict([pair async for pair in receive])
    failures = (NoReply, Refusal, Refused)
    return ShardAnswers(
        tuple(
            answers[shard]
            for shard in shards
            if not isinstance(answers[shard], failures)
        ),
        {
            shard: answers[shard].reason
            for shard in shards
            if isinstance(answers[shard], failures)
        },
    )
