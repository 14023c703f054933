"""Waits for the end of a job by long polling of its shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio import current_time
from anyio import sleep

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import FINAL_STATES
from sassafrasgate.http.forwarding import forward
from sassafrasgate.http.problems import Problem
from sassafrasgate.protocol.messages import Query

if TYPE_CHECKING:
    from sassafrasgate.http.routes import Context
    from sassafrasgate.protocol.messages import JobView

# Limits how long a wait delays the stop of this process, and how long it takes
# until a wait continues at the new owner of a shard.
POLL_TIMEOUT_S = 5.0
# Prevents a tight loop if a shard replies early.
MIN_POLL_INTERVAL_S = 0.5


async def wait_for_job(
    context: Context, job_id: str, wait_s: float, latest: JobView | None = None
) -> JobView | Problem:
    """Return the latest view of a job after waiting for its end.

    Parameters
    ----------
    context : Context
        Context of the application.
    job_id : str
        Id of the job.
    wait_s : float
        Maximum wait, in seconds; 0 for a single query.
    latest : JobView, optional
        Latest view that is known already. Once a view is known, a failed
        query does not end the wait.
    """
    end_s = current_time() + wait_s
    while True:
        started_s = current_time()
        timeout_s = max(0.0, min(POLL_TIMEOUT_S, end_s - started_s))
        query = Query('', job_id, timeout_s)
        reply: JobView | Problem = await forward(
            context, query, job_id, timeout_s
        )
        view = latest if isinstance(reply, Problem) else reply
        if view is None:
            return reply
        if view.state in FINAL_STATES or _is_stopping(context):
            return view
        delay_s = (
            started_s + min(MIN_POLL_INTERVAL_S, timeout_s) - current_time()
        )
        await sleep(max(0.0, delay_s))
        if current_time() >= end_s:
            return view
        latest = view


async def wait_after_submission(
    context: Context, view: JobView, wait_s: float
) -> JobView:
    """Return the latest view of a submitted job after waiting for its end.

    Parameters
    ----------
    context : Context
        Context of the application.
    view : JobView
        View in the reply to the submission, which has waited up to
        `POLL_TIMEOUT_S`.
    wait_s : float
        Total wait of the caller, in seconds, including the submission.
    """
    remaining_s = wait_s - POLL_TIMEOUT_S
    if remaining_s <= 0 or view.state in FINAL_STATES:
        return view
    latest = await wait_for_job(context, view.job_id, remaining_s, view)
    return view if isinstance(latest, Problem) else latest


def _is_stopping(context: Context) -> bool:
    refusal = context.gateway.check_readiness()
    return refusal is not None and refusal.kind is RefusalKind.STOPPING
