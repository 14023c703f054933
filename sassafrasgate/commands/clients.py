"""Calls to a front end over the caller and operator API."""

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

CALL_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 5.0
CONFLICT_STATUSES = frozenset({409, 412})


@dataclass(frozen=True, slots=True)
class Call:
    """One request to a front end.

    Parameters
    ----------
    method, path : str
        As in the design page; see `make_path`.
    body : object
        Sent as JSON; None for no body.
    params, headers : dict
        Query and header fields.
    accepted : tuple of int
        Statuses of 400 and above that are results and not errors.
    timeout_s : float
        How long to wait for the response.
    """

    method: str
    path: str
    body: Any = None
    params: dict[str, str] | None = None
    headers: dict[str, str] | None = None
    accepted: tuple[int, ...] = ()
    timeout_s: float = CALL_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class Reply:
    """The response to a call.

    Parameters
    ----------
    status : int
        HTTP status.
    content : bytes
        The body as it is.
    document : object
        The body as JSON holds it; None when it isn't JSON.
    """

    status: int
    content: bytes
    document: Any

    def list_rows(self, noun: str) -> tuple[dict[str, Any], ...]:
        """Return the entries of a list, alone or under the key ``noun``."""
        found = self.document
        if isinstance(found, dict):
            found = found.get(noun)
        rows = found if isinstance(found, list) else []
        return tuple(row for row in rows if isinstance(row, dict))


def make_path(*parts: str) -> str:
    """Return a path of the API, with each part quoted.

    Examples
    --------
    >>> make_path('jobs', 'a/b')
    '/v1/jobs/a%2Fb'
    """
    return '/v1/' + '/'.join(quote(part, safe='') for part in parts)


def call_front_end(url: str, call: Call) -> Reply:
    """Send one request to a front end and wait for its response.

    Parameters
    ----------
    url : str
        Base URL by IP number and port.
    call : Call
        The request.

    Raises
    ------
    CommandError
        With `ExitCode.BAD_INPUT` for an unusable URL,
        `ExitCode.UNREACHABLE` when there is no response,
        `ExitCode.CONFLICT` or `ExitCode.REFUSED` for an error status.
    """
    if not url:
        raise CommandError(
            'no front end is named; write --url http://IP:PORT or set '
            'SASSAFRASGATE_URL',
            ExitCode.BAD_INPUT,
        )
    base = check_url(url)
    if isinstance(base, ValidationIssue):
        raise CommandError(
            f'--url: {url!r} {base.problem}; {base.remedy}',
            ExitCode.BAD_INPUT,
        )
    # Only commands that call a front end pay for this import.
    from httpx import Client
    from httpx import ConnectError
    from httpx import ConnectTimeout
    from httpx import RequestError
    from httpx import Timeout

    timeout = Timeout(call.timeout_s, connect=CONNECT_TIMEOUT_S)
    try:
        # Addresses are numeric; proxies of the environment do not apply.
        with Client(trust_env=False, timeout=timeout) as client:
            response = client.request(
                call.method,
                f'{base}{call.path}',
                json=call.body,
                params=call.params,
                headers=call.headers,
            )
    except (ConnectError, ConnectTimeout) as error:
        raise CommandError(
            f'{base} is not reachable: {error}; nothing was sent, try '
            'another front end',
            ExitCode.UNREACHABLE,
        ) from error
    except RequestError as error:
        raise CommandError(
            _describe_silence(call, base, error), ExitCode.UNREACHABLE
        ) from error
    status = response.status_code
    if status >= 400 and status not in call.accepted:
        raise _make_refusal(response)
    return Reply(status, response.content, _read_json(response))


def _describe_silence(call: Call, base: object, error: Exception) -> str:
    reason = str(error) or type(error).__name__
    if call.method == 'GET':
        return f'{base} gave no response: {reason}; try another front end'
    return (
        f'{base} gave no response: {reason}; the request may have taken '
        'effect, look at the state before sending it again'
    )


def _read_json(response: Response) -> Any:
    try:
        return json.loads(response.content)
    except ValueError:
        return None


def _make_refusal(response: Response) -> CommandError:
    """Return the error for problem details (RFC 9457) or another body."""
    status = response.status_code
    code = ExitCode.REFUSED
    if status in CONFLICT_STATUSES:
        code = ExitCode.CONFLICT
    problem = _read_json(response)
    if not isinstance(problem, dict):
        return CommandError(
            f'the front end answered {status} {response.reason_phrase}; '
            'check that --url names a front end of the same release',
            code,
        )
    title = str(problem.get('title') or response.reason_phrase)
    detail = str(problem.get('detail') or '')
    parts = [f'{title} ({status})', detail]
    message = ': '.join(part for part in parts if part)
    remedy = str(problem.get('remedy') or '')
    return CommandError('; '.join(filter(None, (message, remedy))), code)
