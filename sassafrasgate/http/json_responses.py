"""JSON responses and the JSON form of a job."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from msgspec.json import encode
from starlette.responses import Response

from sassafrasgate.core.jobs import JobState

if TYPE_CHECKING:
    from sassafrasgate.core.jobs import Outcome
    from sassafrasgate.protocol.messages import JobView

JSON = 'application/json'


def make_job_path(job_id: str) -> str:
    """Return the URL path of a job."""
    return f'/v1/jobs/{job_id}'


def render_json(
    content: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a JSON response that caches must not store."""
    return Response(
        encode(content),
        status,
        {'Cache-Control': 'no-store', **(headers or {})},
        JSON,
    )


def make_job_object(view: JobView) -> dict[str, Any]:
    """Return the JSON object of a job, without the content of its output."""
    members = {
        'job_id': view.job_id,
        'state': view.state,
        'reason': view.reason,
        'team': view.team,
        'class': view.job_class,
        'attempt': view.attempt,
        'hosts': view.hosts,
        'shard': view.shard,
        'epoch': view.epoch,
        'duplicate': view.duplicate,
    }
    if view.outcome is not None:
        members['outcome'] = _make_outcome_object(view.outcome)
    if view.state is JobState.FINISHED:
        members['output'] = f'{make_job_path(view.job_id)}/output'
    return members


def _make_outcome_object(outcome: Outcome) -> dict[str, Any]:
    return {
        'state': outcome.state,
        'reason': outcome.reason,
        'size': outcome.size,
        'digest': outcome.digest,
    }
