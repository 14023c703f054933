"""Waits for the end of a job, in slices."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio import current_time
from anyio import sleep

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import FINAL_STATES
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.questions import ask
from sassafrasgate.protocol.messages import Query

if TYPE_CHECKING:
    from sassafrasgate.http.routes import Context
    from sassafrasgate.protocol.messages import JobView

# A stop of this process ends a wait after one slice, and a wait goes on with
# the new owner when a shard changes hands.
WAIT_SLICE_S = 5.0
# Keeps a shard that answers early from being asked again at once.
MIN_PAUSE_S = 0.5


async def follow_job(
    context: Context, job_id: str, wait_s: float, last: JobView | None = None
) -> JobView | Problem:
    """Return the latest view of a job after waiting for its end.

    Parameters
    ----------
    context : Context
        The application's context.
    job_id : str
        The job.
    wait_s : float
        Longest wait, in seconds; 0 to ask once.
    last : JobView, optional
        What is known already. Once there is a view, a question without an
        answer does not end the wait.
    """
    end = current_time() + wait_s
    while True:
        started = current_time()
        slice_s = max(0.0, min(WAIT_SLICE_S, end - started))
        query = Query('', job_id, slice_s)
        answer: JobView | Problem = await ask(context, query, job_id, slice_s)
        view = last if isinstance(answer, Problem) else answer
        if view is None:
            return answer
        if view.state in FINAL_STATES or _is_stopping(context):
            return view
        pause_s = started + min(MIN_PAUSE_S, slice_s) - current_time()
        await sleep(max(0.0, pause_s))
        if current_time() >= end:
            return view
        last = view


async def follow_accepted(
    context: Context, view: JobView, wait_s: float
) -> JobView:
    """Return the latest view of a job whose submission was just answered.

    Parameters
    ----------
    context : Context
        The application's context.
    view : JobView
        The answer to the submission, which took up to one slice.
    wait_s : float
        How long the caller waits in all, in seconds.
    """
    left_s = wait_s - WAIT_SLICE_S
    if left_s <= 0 or view.state in FINAL_STATES:
        return view
    latest = await follow_job(context, view.job_id, left_s, view)
    return view if isinstance(latest, Problem) else latest


def _is_stopping(context: Context) -> bool:
    refusal = context.gateway.check_readiness()
    return refusal is not None and refusal.kind is RefusalKind.STOPPING
