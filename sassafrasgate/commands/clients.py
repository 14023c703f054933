"""Client of a front end's API for callers and operators."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import quote

from sassafrasgate.commands.results import CommandError
from sassafrasgate.commands.results import ExitCode
from sassafrasgate.configuration.values import check_url
from sassafrasgate.configuration.values import ValidationIssue

if TYPE_CHECKING:
    from httpx import Response

REQUEST_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0
CONFLICT_STATUSES = frozenset({409, 412})


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """One request to a front end.

    Parameters
    ----------
    method, path : str
        HTTP method and path of the API; see `make_path`.
    body : object
        Body, which is sent as JSON; None for no body.
    params, headers : dict
        Query parameters and header fields.
    accepted_statuses : tuple of int
        Statuses of 400 and above that are returned instead of raised.
    timeout_s : float
        Timeout for the response, in seconds.
    """

    method: str
    path: str
    body: Any = None
    params: dict[str, str] | None = None
    headers: dict[str, str] | None = None
    accepted_statuses: tuple[int, ...] = ()
    timeout_s: float = REQUEST_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """The response to a request.

    Parameters
    ----------
    status : int
        HTTP status.
    content : bytes
        The body as received.
    document : object
        The body decoded from JSON; None when it isn't JSON.
    """

    status: int
    content: bytes
    document: Any

    def list_rows(self, key: str) -> tuple[dict[str, Any], ...]:
        """Return the objects of the document's list.

        The list is the document itself or the document's value of ``key``.
        """
        items = self.document
        if isinstance(items, dict):
            items = items.get(key)
        rows = items if isinstance(items, list) else []
        return tuple(row for row in rows if isinstance(row, dict))


def make_path(*segments: str) -> str:
    """Return a path of the API, with each segment percent-encoded.

    Examples
    --------
    >>> make_path('jobs', 'a/b')
    '/v1/jobs/a%2Fb'
    """
    return '/v1/' + '/'.join(quote(segment, safe='') for segment in segments)


def send_request(url: str, request: ApiRequest) -> ApiResponse:
    """Send one request to a front end and wait for its response.

    Parameters
    ----------
    url : str
        Base URL of the front end, with IP address and port.
    request : ApiRequest
        The request.

    Raises
    ------
    CommandError
        With `ExitCode.BAD_INPUT` when the URL is missing or invalid,
        `ExitCode.UNREACHABLE` when the front end does not respond, and
        `ExitCode.CONFLICT` or `ExitCode.REFUSED` for an error status.
    """
    if not url:
        raise CommandError(
            'no front end is specified; pass --url http://IP:PORT or set '
            'SASSAFRASGATE_URL',
            ExitCode.BAD_INPUT,
        )
    base = check_url(url)
    if isinstance(base, ValidationIssue):
        raise CommandError(
            f'--url: {url!r} {base.problem}; {base.remedy}',
            ExitCode.BAD_INPUT,
        )
    # Imported here because other commands do not need it.
    from httpx import Client
    from httpx import ConnectError
    from httpx import ConnectTimeout
    from httpx import RequestError
    from httpx import Timeout

    timeout = Timeout(request.timeout_s, connect=CONNECT_TIMEOUT_S)
    try:
        # Front ends are reached directly by IP address, not through the
        # proxies that the environment may set.
        with Client(trust_env=False, timeout=timeout) as client:
            response = client.request(
                request.method,
                f'{base}{request.path}',
                json=request.body,
                params=request.params,
                headers=request.headers,
            )
    except (ConnectError, ConnectTimeout) as error:
        raise CommandError(
            f'{base} is not reachable: {error}; nothing was sent, try '
            'another front end',
            ExitCode.UNREACHABLE,
        ) from error
    except RequestError as error:
        raise CommandError(
            _describe_missing_response(request, base, error),
            ExitCode.UNREACHABLE,
        ) from error
    status = response.status_code
    if status >= 400 and status not in request.accepted_statuses:
        raise _make_error(response)
    return ApiResponse(status, response.content, _read_json(response))


def _describe_missing_response(
    request: ApiRequest, base: object, error: Exception
) -> str:
    reason = str(error) or type(error).__name__
    if request.method == 'GET':
        return f'no response from {base}: {reason}; try another front end'
    return (
        f'no response from {base}: {reason}; the request may have taken '
        'effect, check the state before you send it again'
    )


def _read_json(response: Response) -> Any:
    try:
        return json.loads(response.content)
    except ValueError:
        return None


def _make_error(response: Response) -> CommandError:
    """Return the error for a response with an error status.

    Its message comes from the problem details (RFC 9457) of the body, if any.
    """
    status = response.status_code
    code = ExitCode.REFUSED
    if status in CONFLICT_STATUSES:
        code = ExitCode.CONFLICT
    problem = _read_json(response)
    if not isinstance(problem, dict):
        return CommandError(
            f'the front end responded with {status} '
            f'{response.reason_phrase}; check that --url names a front '
            'end of the same release',
            code,
        )
    title = str(problem.get('title') or response.reason_phrase)
    detail = str(problem.get('detail') or '')
    parts = [f'{title} ({status})', detail]
    message = ': '.join(part for part in parts if part)
    remedy = str(problem.get('remedy') or '')
    return CommandError('; '.join(filter(None, (message, remedy))), code)
