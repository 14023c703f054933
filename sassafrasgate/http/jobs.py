"""Routes for jobs: submit, query, output, cancel, explain."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.bodies import describe_faults
from sassafrasgate.http.bodies import read_fields
from sassafrasgate.http.bodies import read_seconds
from sassafrasgate.http.outputs import build_output
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.questions import ask
from sassafrasgate.http.routes import register_route
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.http.specifications import check_spec
from sassafrasgate.http.specifications import Faults
from sassafrasgate.http.submissions import Submission
from sassafrasgate.http.submissions import submit
from sassafrasgate.http.views import make_job_path
from sassafrasgate.http.views import render_json
from sassafrasgate.http.views import show_job
from sassafrasgate.http.waits import follow_accepted
from sassafrasgate.http.waits import follow_job
from sassafrasgate.http.waits import WAIT_SLICE_S
from sassafrasgate.protocol.messages import Cancel
from sassafrasgate.protocol.messages import Explain
from sassafrasgate.protocol.messages import Query

if TYPE_CHECKING:
    from starlette.responses import Response

    from sassafrasgate.core.jobs import JobSpec
    from sassafrasgate.http.bodies import CallerRequest
    from sassafrasgate.http.routes import Context

_JOB_CLASSES = frozenset(JobClass) - {JobClass.QUICK}


@register_route('POST', '/v1/jobs', RouteGroup.CALLERS)
async def submit_job(
    request: CallerRequest, context: Context
) -> Response | Problem:
    """Accept a job: 202, or 200 with the same job for a duplicate key."""
    limits = context.limits
    wait_s = read_seconds(request, 'wait', limits.max_wait_s)
    if isinstance(wait_s, Problem):
        return wait_s
    spec = await _read_spec(request, context)
    if isinstance(spec, Problem):
        return spec
    first = await submit(context, Submission(spec, min(wait_s, WAIT_SLICE_S)))
    if isinstance(first, Problem):
        return first
    view = await request.wait_unless_disconnected(
        partial(follow_accepted, context, first, wait_s)
    )
    return render_json(
        show_job(replace(view, duplicate=first.duplicate)),
        200 if first.duplicate else 202,
        {'Location': make_job_path(view.job_id)},
    )


@register_route('GET', '/v1/jobs/{job_id}', RouteGroup.CALLERS)
async def show_job_state(
    request: CallerRequest, context: Context
) -> Response | Problem:
    """Return a job's view, after waiting up to ``wait`` for its end."""
    wait_s = read_seconds(request, 'wait', context.limits.max_wait_s)
    if isinstance(wait_s, Problem):
        return wait_s
    job_id = request.path_params['job_id']
    view = await request.wait_unless_disconnected(
        partial(follow_job, context, job_id, wait_s)
    )
    if isinstance(view, Problem):
        return view
    return render_json(show_job(view))


@register_route('GET', '/v1/jobs/{job_id}/output', RouteGroup.CALLERS)
async def send_output(
    request: CallerRequest, context: Context
) -> Response | Problem:
    """Return the whole output of a finished job."""
    job_id = request.path_params['job_id']
    view = await ask(context, Query('', job_id), job_id)
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
    return await build_output(context, view, view.outcome)


@register_route('DELETE', '/v1/jobs/{job_id}', RouteGroup.CALLERS)
async def cancel_job(
    request: CallerRequest, context: Context
) -> Response | Problem:
    """Cancel a job and return its view."""
    job_id = request.path_params['job_id']
    view = await ask(context, Cancel('', job_id), job_id)
    if isinstance(view, Problem):
        return view
    return render_json(show_job(view))


@register_route('GET', '/v1/jobs/{job_id}/explanation', RouteGroup.CALLERS)
async def explain_job(
    request: CallerRequest, context: Context
) -> Response | Problem:
    """Return the decisions taken for a job, oldest first."""
    job_id = request.path_params['job_id']
    answer = await ask(context, Explain('', job_id), job_id)
    if isinstance(answer, Problem):
        return answer
    return render_json(
        {
            'job_id': answer.job_id,
            'state': answer.state,
            'lines': answer.lines,
        }
    )


async def _read_spec(
    request: CallerRequest, context: Context
) -> JobSpec | Problem:
    limits = context.limits
    fields = await read_fields(
        request, limits.max_job_body, limits.body_timeout_s
    )
    if isinstance(fields, Problem):
        return fields
    spec = check_spec(fields, _JOB_CLASSES, JobClass.BATCH)
    if isinstance(spec, Faults):
        return describe_faults(tuple(str(fault) for fault in spec.faults))
    if len(spec.payload) > limits.max_payload:
        text = f'must have at most {limits.max_payload} bytes'
        return describe_faults((f'payload: {text}',))
    return spec
