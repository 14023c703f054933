"""Route for quick requests, whose response body is the task's output."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from uuid import uuid4

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobState
from sassafrasgate.http.bodies import describe_faults
from sassafrasgate.http.bodies import read_json_object
from sassafrasgate.http.limits import DEFAULT_QUICK_DEADLINE_S
from sassafrasgate.http.outputs import build_output_response
from sassafrasgate.http.problems import describe_unknown
from sassafrasgate.http.problems import Problem
from sassafrasgate.http.routes import register_route
from sassafrasgate.http.routes import RouteGroup
from sassafrasgate.http.specifications import Faults
from sassafrasgate.http.specifications import parse_spec
from sassafrasgate.http.submissions import Submission
from sassafrasgate.http.submissions import submit

if TYPE_CHECKING:
    from starlette.responses import Response

    from sassafrasgate.http.bodies import HttpRequest
    from sassafrasgate.http.routes import Context
    from sassafrasgate.protocol.messages import JobView

_QUICK = frozenset({JobClass.QUICK})


@register_route('POST', '/v1/requests', RouteGroup.CALLERS)
async def run_request(
    request: HttpRequest, context: Context
) -> Response | Problem:
    """Run a quick request and return the output of its task."""
    submission = await _read_submission(request, context)
    if isinstance(submission, Problem):
        return submission
    view = await submit(context, submission)
    if isinstance(view, Problem):
        return view
    if view.state is JobState.FINISHED and view.outcome is not None:
        return await build_output_response(context, view, view.outcome)
    return _describe_missing_output(view)


async def _read_submission(
    request: HttpRequest, context: Context
) -> Submission | Problem:
    limits = context.limits
    fields = await read_json_object(
        request, limits.max_request_body_bytes, limits.body_timeout_s
    )
    if isinstance(fields, Problem):
        return fields
    has_generated_key = 'key' not in fields
    if has_generated_key:
        fields['key'] = uuid4().hex
    spec = parse_spec(fields, _QUICK, JobClass.QUICK)
    if isinstance(spec, Faults):
        return describe_faults(tuple(str(fault) for fault in spec.faults))
    if spec.deadline_s > limits.max_quick_deadline_s:
        max_s = limits.max_quick_deadline_s
        text = f'must be at most {max_s:g} for class quick'
        return describe_faults((f'deadline_s: {text}',))
    deadline_s = spec.deadline_s or DEFAULT_QUICK_DEADLINE_S
    spec = replace(spec, deadline_s=deadline_s)
    return Submission(spec, deadline_s, has_generated_key)


def _describe_missing_output(view: JobView) -> Problem:
    reason = view.reason or f'its state is {str(view.state)!r}'
    if view.state is JobState.FAILED:
        return Problem(
            'task-failed',
            f'job {view.job_id!r} failed: {reason}',
            'correct the payload, or submit it with a new key',
            view.job_id,
            str(view.state),
        )
    if view.state is JobState.CANCELLED:
        return Problem(
            'cancelled',
            f'job {view.job_id!r} was cancelled: {reason}',
            'submit it with a new key',
            view.job_id,
            str(view.state),
        )
    return describe_unknown(reason, view.job_id)
