"""Submission of a validated job to its home shard."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import cast
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.identifiers import make_job_id
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.forwarding import convert_failure
from sassafrasgate.http.forwarding import forward_raw
from sassafrasgate.http.forwarding import proves_not_run
from sassafrasgate.http.problems import describe_unknown
from sassafrasgate.http.problems import Problem
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Submit

if TYPE_CHECKING:
    from sassafrasgate.http.routes import Context


@dataclass(frozen=True, slots=True)
class Submission:
    """A validated job to submit to its home shard.

    Parameters
    ----------
    spec : JobSpec
        Specification of the job.
    wait_s : float
        How long the shard may wait for the end of the job before it
        replies, in seconds.
    has_generated_key : bool
        Whether the key was generated for this submission.
    """

    spec: JobSpec
    wait_s: float
    has_generated_key: bool = False


async def submit(
    context: Context, submission: Submission
) -> JobView | Problem:
    """Submit a job to its home shard; return its view or a problem.

    The problem has state ``not-run`` only if no attempt of the job has
    started or can still start, and ``unknown`` if the effect of the
    submission is unknown.
    """
    spec = submission.spec
    job_id = make_job_id(spec.team, spec.key)
    if not context.team_limiter.acquire(spec.team):
        return _describe_team_limit(spec.team, job_id)
    message = Submit('', job_id, spec, submission.wait_s)
    try:
        reply = await forward_raw(context, message, submission.wait_s)
    finally:
        context.team_limiter.release(spec.team)
    if _is_acceptance_unknown(reply):
        return describe_unknown(reply.reason, job_id)
    result = convert_failure(context, reply, job_id)
    if not proves_not_run(reply, submission.has_generated_key):
        return cast('JobView | Problem', result)
    if isinstance(result, Problem):
        return replace(result, state=str(JobState.NOT_RUN))
    return describe_not_run(result)


def _is_acceptance_unknown(reply: Any) -> bool:
    """Return whether the owner does not know if it has accepted the job.

    A job that was accepted and ended with an unknown result has an outcome.
    """
    return (
        isinstance(reply, JobView)
        and reply.state is JobState.UNKNOWN
        and reply.outcome is None
    )


def describe_not_run(view: JobView) -> Problem:
    """Return the problem for a job that has not run and never will."""
    return Problem(
        'not-run',
        f'job {view.job_id!r} was not run: {view.reason or "no reason given"}',
        'submit it again with a new key',
        view.job_id,
        str(JobState.NOT_RUN),
    )


def _describe_team_limit(team: str, job_id: str) -> Problem:
    return Problem(
        RefusalKind.OVERLOADED,
        f'team {team!r} has too many open requests in this process',
        'wait for open requests to end, then submit with the same key',
        job_id,
    )
