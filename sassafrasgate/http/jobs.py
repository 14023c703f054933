"""Routes for callers that submit, query, cancel and explain jobs."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.bodies import describe_faults
from sassafrasgate.http.bodies import read_json_object
from sassafrasgate.http.bodies import read_seconds
from sassafrasgate.http.forwarding import forward
from sassafrasgate.http.json_responses import make_job_object
from sassafrasgate.http.json_responses import make_job_path
from sassafrasgate.http.json_responses import render_json
from sassafrasgate.http.long_polling import POLL_TIMEOUT_S
from sassafrasgate.http.long_polling import wait_after_submission
from sassafrasgate.http.long_polling import wait_for_job
from sassafrasgate.http.outputs import build_output_response
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.routes import register_route
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.http.specifications import Faults
from sassafrasgate.http.specifications import parse_spec
from sassafrasgate.http.submissions import Submission
from sassafrasgate.http.submissions import submit
from sassafrasgate.protocol.messages import Cancel
from sassafrasgate.protocol.messages import Explain
from sassafrasgate.protocol.messages import Query

if TYPE_CHECKING:
    from starlette.responses import Response

    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.http.bodies import HttpRequest
    from sassafrasgate.http.routes import Context

_JOB_CLASSES = frozenset(JobClass) - {JobClass.QUICK}


@register_route('POST', '/v1/jobs', RouteGroup.CALLERS)
async def submit_job(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Submit a job; a duplicate key returns the earlier job.

    The status is 202 for a new job and 200 for a duplicate key.
    """
    limits = context.limits
    wait_s = read_seconds(request, 'wait', limits.max_wait_s)
    if isinstance(wait_s, Problem):
        return wait_s
    spec = await _read_spec(request, context)
    if isinstance(spec, Problem):
        return spec
    accepted = await submit(
        context, Submission(spec, min(wait_s, POLL_TIMEOUT_S))
    )
    if isinstance(accepted, Problem):
        return accepted
    view = await request.run_until_disconnect(
        partial(wait_after_submission, context, accepted, wait_s)
    )
    return render_json(
        make_job_object(replace(view, duplicate=accepted.duplicate)),
        200 if accepted.duplicate else 202,
        {'Location': make_job_path(view.job_id)},
    )


@register_route('GET', '/v1/jobs/{job_id}', RouteGroup.CALLERS)
async def get_job(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Return a job's view after waiting up to ``wait`` seconds for its end."""
    wait_s = read_seconds(request, 'wait', context.limits.max_wait_s)
    if isinstance(wait_s, Problem):
        return wait_s
    job_id = request.path_params['job_id']
    view = await request.run_until_disconnect(
        partial(wait_for_job, context, job_id, wait_s)
    )
    if isinstance(view, Problem):
        return view
    return render_json(make_job_object(view))


@register_route('GET', '/v1/jobs/{job_id}/output', RouteGroup.CALLERS)
async def get_output(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Return the whole output of a finished job."""
    job_id = request.path_params['job_id']
    view = await forward(context, Query('', job_id), job_id)
    if isinstance(view, Problem):
        return view
    if view.state is not JobState.FINISHED or view.outcome is None:
        return Problem(
            'no-output',
            f'job {job_id!r} is {str(view.state)!r}; only finished jobs '
            'have an output',
            f'GET {make_job_path(job_id)}?wait=60 until it has finished',
            job_id,
        )
    return await build_output_response(context, view, view.outcome)


@register_route('DELETE', '/v1/jobs/{job_id}', RouteGroup.CALLERS)
async def cancel_job(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Cancel a job and return its view."""
    job_id = request.path_params['job_id']
    view = await forward(context, Cancel('', job_id), job_id)
    if isinstance(view, Problem):
        return view
    return render_json(make_job_object(view))


@register_route('GET', '/v1/jobs/{job_id}/explanation', RouteGroup.CALLERS)
async def explain_job(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Return the decisions about a job, oldest first."""
    job_id = request.path_params['job_id']
    reply = await forward(context, Explain('', job_id), job_id)
    if isinstance(reply, Problem):
        return reply
    return render_json(
        {
            'job_id': reply.job_id,
            'state': reply.state,
            'lines': reply.lines,
        }
    )


async def _read_spec(
    request: HttpRequest, context: Context
) -> JobSpec | Problem:
    limits = context.limits
    fields = await read_json_object(
        request, limits.max_job_body_bytes, limits.body_timeout_s
    )
    if isinstance(fields, Problem):
        return fields
    spec = parse_spec(fields, _JOB_CLASSES, JobClass.BATCH)
    if isinstance(spec, Faults):
        return describe_faults(tuple(str(fault) for fault in spec.faults))
    if len(spec.payload) > limits.max_payload_bytes:
        text = f'must have at most {limits.max_payload_bytes} bytes'
        return describe_faults((f'payload: {text}',))
    return spec
