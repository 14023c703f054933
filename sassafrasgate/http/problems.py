"""Problem details (RFC 9457), with a registry of problem types.

Every `RefusalKind` names a problem type; the other types are for failures that
exist only in the HTTP interface.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.json import encode
from starlette.responses import Response

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.core.errors import Refusal
    from sassafrasgate.protocol.messages import Refused

MEDIA_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:sassafrasgate:problem:'


@dataclass(frozen=True, slots=True)
class ProblemType:
    """Status, title and retry delay of all problems of one type.

    Parameters
    ----------
    name : str
        Last part of the type URI.
    status : int
        HTTP status.
    title : str
        Short text, the same for all problems of the type.
    retry_after_s : int
        Value of the ``Retry-After`` header, in seconds; 0 for no header.
    """

    name: str
    status: int
    title: str
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class Problem:
    """The problem details of one failed request.

    Parameters
    ----------
    name : str
        Name of a registered problem type.
    detail : str
        The error in this request.
    remedy : str
        What the caller can do about it.
    job_id : str
        Id of the job, if known.
    state : str
        State of the job, such as ``not-run`` or ``unknown``; empty if the
        problem does not determine it.
    faults : tuple of str
        All faults of an invalid body.
    version : int
        Configuration version in force, for a failed compare-and-swap.
    allow : str
        Value of the ``Allow`` header of a response with status 405.
    """

    name: str
    detail: str
    remedy: str
    job_id: str = ''
    state: str = ''
    faults: tuple[str, ...] = ()
    version: int = 0
    allow: str = ''


PROBLEM_TYPES: Registry[str, ProblemType] = Registry('problem type')


def register_problem_type(name: str) -> Callable[[type], ProblemType]:
    """Return a decorator that registers a class body as a problem type.

    The class sets ``status``, ``title`` and optionally ``retry_after_s``.
    """

    def add_problem_type(body: type) -> ProblemType:
        values = {
            key: value
            for key, value in vars(body).items()
            if not key.startswith('__')
        }
        return PROBLEM_TYPES.register(name)(ProblemType(name, **values))

    return add_problem_type


@register_problem_type(RefusalKind.INVALID)
class _Invalid:
    status = 400
    title = 'Request is not valid'


@register_problem_type(RefusalKind.FITS_NOWHERE)
class _FitsNowhere:
    status = 422
    title = 'Job fits on no host of the inventory'


@register_problem_type(RefusalKind.NO_ROOM)
class _NoRoom:
    status = 503
    title = 'No host has room now'
    retry_after_s = 2


@register_problem_type(RefusalKind.QUOTA)
class _Quota:
    status = 429
    title = 'Quota of the team is used up'
    retry_after_s = 5


@register_problem_type(RefusalKind.OVERLOADED)
class _Overloaded:
    status = 503
    title = 'Too many requests are open'
    retry_after_s = 1


@register_problem_type(RefusalKind.DEADLINE)
class _Deadline:
    status = 503
    title = 'Deadline can not be met'
    retry_after_s = 2


@register_problem_type(RefusalKind.NOT_OWNER)
class _NotOwner:
    status = 503
    title = 'Shard is changing its owner'
    retry_after_s = 1


@register_problem_type(RefusalKind.NOT_READY)
class _NotReady:
    status = 503
    title = 'Process is not ready'
    retry_after_s = 1


@register_problem_type(RefusalKind.NOT_FOUND)
class _NotFound:
    status = 404
    title = 'Not found'


@register_problem_type(RefusalKind.UNAUTHENTICATED)
class _Unauthenticated:
    status = 401
    title = 'Request has no known key'


@register_problem_type(RefusalKind.FORBIDDEN)
class _Forbidden:
    status = 403
    title = 'Resource belongs to another account'


@register_problem_type(RefusalKind.STORE_UNAVAILABLE)
class _StoreUnavailable:
    status = 503
    title = 'Store does not answer'
    retry_after_s = 5


@register_problem_type(RefusalKind.CONFLICT)
class _Conflict:
    status = 409
    title = 'Request conflicts with an earlier one'


@register_problem_type(RefusalKind.STOPPING)
class _Stopping:
    status = 503
    title = 'Process is stopping'
    retry_after_s = 1


@register_problem_type(RefusalKind.FAILED)
class _Failed:
    status = 503
    title = 'Request has failed unexpectedly'
    retry_after_s = 60


@register_problem_type('not-run')
class _NotRun:
    status = 503
    title = 'Job was not run'
    retry_after_s = 2


@register_problem_type('unknown')
class _Unknown:
    status = 504
    title = 'Outcome is not known'


@register_problem_type('task-failed')
class _TaskFailed:
    status = 502
    title = 'Task failed on its host'


@register_problem_type('cancelled')
class _Cancelled:
    status = 409
    title = 'Job was cancelled'


@register_problem_type('no-output')
class _NoOutput:
    status = 409
    title = 'Job has no output'


@register_problem_type('output-damaged')
class _OutputDamaged:
    status = 502
    title = 'Output does not match its digest'


@register_problem_type('output-unavailable')
class _OutputUnavailable:
    status = 503
    title = 'Output can not be read now'
    retry_after_s = 5


@register_problem_type('body-too-large')
class _BodyTooLarge:
    status = 413
    title = 'Request body is too large'


@register_problem_type('body-timeout')
class _BodyTimeout:
    status = 408
    title = 'Request body did not arrive in time'


@register_problem_type('version-required')
class _VersionRequired:
    status = 428
    title = 'If-Match is required'


@register_problem_type('version-changed')
class _VersionChanged:
    status = 412
    title = 'Another configuration version is in force'


@register_problem_type('no-route')
class _NoRoute:
    status = 404
    title = 'No such path'


@register_problem_type('method-not-allowed')
class _MethodNotAllowed:
    status = 405
    title = 'Method is not allowed here'


@register_problem_type('internal')
class _Internal:
    status = 500
    title = 'Internal error'


def describe_refusal(refusal: Refusal, job_id: str = '') -> Problem:
    """Return the problem for a refusal of this process."""
    return Problem(refusal.kind, refusal.reason, refusal.remedy, job_id)


def describe_refused(reply: Refused, job_id: str = '') -> Problem:
    """Return the problem for a refusal of a shard's owner."""
    return Problem(reply.refusal, reply.reason, reply.remedy, job_id)


def describe_unknown(reason: str, job_id: str = '') -> Problem:
    """Return the problem for a request whose effect is unknown."""
    if not job_id:
        return Problem(
            'unknown', reason, 'read the current state before trying again'
        )
    return Problem(
        'unknown',
        f'the outcome of job {job_id!r} is unknown: {reason}',
        f'GET /v1/jobs/{job_id}, or submit again with the same key',
        job_id,
        'unknown',
    )


def render_problem(problem: Problem) -> Response:
    """Return the response for a problem."""
    problem_type = PROBLEM_TYPES.find(problem.name)
    headers = {'Cache-Control': 'no-store'}
    if problem_type.retry_after_s:
        headers['Retry-After'] = str(problem_type.retry_after_s)
    if problem.allow:
        headers['Allow'] = problem.allow
    members = {
        'type': f'{TYPE_PREFIX}{problem_type.name}',
        'title': problem_type.title,
        'status': problem_type.status,
        'detail': problem.detail,
        'remedy': problem.remedy,
    }
    optional = {
        'job_id': problem.job_id,
        'state': problem.state,
        'faults': problem.faults,
        'version': problem.version,
    }
    members |= {key: value for key, value in optional.items() if value}
    return Response(encode(members), problem_type.status, headers, MEDIA_TYPE)
