"""Problem details (RFC 9457), in a registry by name.

The names are those of `RefusalKind` and, for what only HTTP can go wrong
with, a few more.
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
    """What all problems of one name have in common.

    Parameters
    ----------
    name : str
        Last part of the type URI.
    status : int
        HTTP status.
    title : str
        Short text that does not vary.
    retry_after_s : int
        Seconds for the ``Retry-After`` header; 0 for no header.
    """

    name: str
    status: int
    title: str
    retry_after_s: int = 0


@dataclass(frozen=True, slots=True)
class Problem:
    """One failed request.

    Parameters
    ----------
    name : str
        A registered problem type.
    detail : str
        What was wrong in this request.
    remedy : str
        What the caller can do.
    job_id : str
        The job, where known.
    state : str
        What is certain about the job: ``not-run`` or ``unknown``; empty
        when the problem says nothing about it.
    faults : tuple of str
        All faults of an invalid body.
    version : int
        Configuration version in force, for a lost compare-and-swap.
    allow : str
        Value of the ``Allow`` header of a 405.
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


def register_problem(name: str) -> Callable[[type], ProblemType]:
    """Return a decorator that files a class body as a problem type.

    The class sets ``status``, ``title`` and optionally ``retry_after_s``.
    """

    def add_problem(body: type) -> ProblemType:
        values = {
            key: value
            for key, value in vars(body).items()
            if not key.startswith('__')
        }
        return PROBLEM_TYPES.register(name)(ProblemType(name, **values))

    return add_problem


@register_problem(RefusalKind.INVALID)
class _Invalid:
    status = 400
    title = 'Request is not valid'


@register_problem(RefusalKind.FITS_NOWHERE)
class _FitsNowhere:
    status = 422
    title = 'Job fits on no host of the inventory'


@register_problem(RefusalKind.NO_ROOM)
class _NoRoom:
    status = 503
    title = 'No host has room now'
    retry_after_s = 2


@register_problem(RefusalKind.QUOTA)
class _Quota:
    status = 429
    title = 'Quota of the team is used up'
    retry_after_s = 5


@register_problem(RefusalKind.OVERLOADED)
class _Overloaded:
    status = 503
    title = 'Too many requests are open'
    retry_after_s = 1


@register_problem(RefusalKind.DEADLINE)
class _Deadline:
    status = 503
    title = 'Deadline can not be met'
    retry_after_s = 2


@register_problem(RefusalKind.NOT_OWNER)
class _NotOwner:
    status = 503
    title = 'Shard is changing its owner'
    retry_after_s = 1


@register_problem(RefusalKind.NOT_READY)
class _NotReady:
    status = 503
    title = 'Process is not ready'
    retry_after_s = 1


@register_problem(RefusalKind.NOT_FOUND)
class _NotFound:
    status = 404
    title = 'Not found'


@register_problem(RefusalKind.STORE_UNAVAILABLE)
class _StoreUnavailable:
    status = 503
    title = 'Store does not answer'
    retry_after_s = 5


@register_problem(RefusalKind.CONFLICT)
class _Conflict:
    status = 409
    title = 'Request conflicts with an earlier one'


@register_problem(RefusalKind.STOPPING)
class _Stopping:
    status = 503
    title = 'Process is stopping'
    retry_after_s = 1


@register_problem('not-run')
class _NotRun:
    status = 503
    title = 'Job was not run'
    retry_after_s = 2


@register_problem('unknown')
class _Unknown:
    status = 504
    title = 'Outcome is not known'


@register_problem('task-failed')
class _TaskFailed:
    status = 502
    title = 'Task failed on its host'


@register_problem('cancelled')
class _Cancelled:
    status = 409
    title = 'Job was cancelled'


@register_problem('no-output')
class _NoOutput:
    status = 409
    title = 'Job has no output'


@register_problem('output-damaged')
class _OutputDamaged:
    status = 502
    title = 'Output does not match its digest'


@register_problem('output-unavailable')
class _OutputUnavailable:
    status = 503
    title = 'Output can not be read now'
    retry_after_s = 5


@register_problem('body-too-large')
class _BodyTooLarge:
    status = 413
    title = 'Request body is too large'


@register_problem('body-timeout')
class _BodyTimeout:
    status = 408
    title = 'Request body did not arrive in time'


@register_problem('version-required')
class _VersionRequired:
    status = 428
    title = 'If-Match is required'


@register_problem('version-changed')
class _VersionChanged:
    status = 412
    title = 'Another configuration version is in force'


@register_problem('no-route')
class _NoRoute:
    status = 404
    title = 'No such path'


@register_problem('method-not-allowed')
class _MethodNotAllowed:
    status = 405
    title = 'Method is not allowed here'


@register_problem('internal')
class _Internal:
    status = 500
    title = 'Internal error'


def describe_refusal(refusal: Refusal, job_id: str = '') -> Problem:
    """Return the problem for a refusal by this process."""
    return Problem(refusal.kind, refusal.reason, refusal.remedy, job_id)


def describe_refused(answer: Refused, job_id: str = '') -> Problem:
    """Return the problem for a refusal by a shard's owner."""
    return Problem(answer.refusal, answer.reason, answer.remedy, job_id)


def describe_unknown(reason: str, job_id: str = '') -> Problem:
    """Return the problem for a request without a known effect."""
    if not job_id:
        return Problem(
            'unknown', reason, 'read the current state before trying again'
        )
    return Problem(
        'unknown',
        f'it is not known what became of job {job_id!r}: {reason}',
        f'GET /v1/jobs/{job_id}, or submit again with the same key',
        job_id,
        'unknown',
    )


def render_problem(problem: Problem) -> Response:
    """Return the response for a problem."""
    kind = PROBLEM_TYPES.find(problem.name)
    headers = {'Cache-Control': 'no-store'}
    if kind.retry_after_s:
        headers['Retry-After'] = str(kind.retry_after_s)
    if problem.allow:
        headers['Allow'] = problem.allow
    members = {
        'type': f'{TYPE_PREFIX}{kind.name}',
        'title': kind.title,
        'status': kind.status,
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
    return Response(encode(members), kind.status, headers, MEDIA_TYPE)
