"""The way of a submitted job from its body to the shard's answer."""

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
from sassafrasgate.http.problems import describe_unknown
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.questions import ask_plainly
from sassafrasgate.http.questions import describe_failure
from sassafrasgate.http.questions import is_certainly_not_run
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Submit

if TYPE_CHECKING:
    from sassafrasgate.http.routes import Context


@dataclass(frozen=True, slots=True)
class Submission:
    """A checked job on its way to its home shard.

    Parameters
    ----------
    spec : JobSpec
        What the caller asks for.
    wait_s : float
        How long the caller waits for the end of the job, in seconds.
    fresh : bool
        Whether the key was made for this submission alone.
    """

    spec: JobSpec
    wait_s: float
    fresh: bool = False


async def submit(
    context: Context, submission: Submission
) -> JobView | Problem:
    """Send a job to its home shard and return the view or a problem.

    The problem has state ``not-run`` only when no attempt of the job has
    started or can still start, and ``unknown`` when the effect of the
    submission is not known.
    """
    spec = submission.spec
    job_id = make_job_id(spec.team, spec.key)
    if not context.open_by_team.enter(spec.team):
        return _describe_busy_team(spec.team, job_id)
    message = Submit('', job_id, spec, submission.wait_s)
    try:
        plain = await ask_plainly(context, message, submission.wait_s)
    finally:
        context.open_by_team.leave(spec.team)
    if _is_unconfirmed(plain):
        return describe_unknown(plain.reason, job_id)
    answer = describe_failure(context, plain, job_id)
    if not is_certainly_not_run(plain, submission.fresh):
        return cast('JobView | Problem', answer)
    if isinstance(answer, Problem):
        return replace(answer, state=str(JobState.NOT_RUN))
    return describe_not_run(answer)


def _is_unconfirmed(answer: Any) -> bool:
    """Tell whether an owner can't say if it has accepted the job.

    A job that ended as unknown after its acceptance has an outcome.
    """
    return (
        isinstance(answer, JobView)
        and answer.state is JobState.UNKNOWN
        and answer.outcome is None
    )


def describe_not_run(view: JobView) -> Problem:
    """Return the problem for a job that certainly never runs."""
    return Problem(
        'not-run',
        f'job {view.job_id!r} was not run: {view.reason or "no reason given"}',
        'submit it again with a new key',
        view.job_id,
        str(JobState.NOT_RUN),
    )


def _describe_busy_team(team: str, job_id: str) -> Problem:
    return Problem(
        RefusalKind.OVERLOADED,
        f'team {team!r} has too many open requests in this process',
        'wait for open requests to end, then submit with the same key',
        job_id,
    )
