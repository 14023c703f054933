"""Pools of HTTP connections that are replaced after a timeout."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientResponseError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from anyio import CancelScope
from anyio import sleep
from yarl import URL

from sassafrasgate.adapters.call_errors import CutOffReason
from sassafrasgate.adapters.call_errors import NoResponseError
from sassafrasgate.adapters.call_errors import ResponseCutOffError
from sassafrasgate.adapters.call_errors import ResponseTimeoutError
from sassafrasgate.adapters.idle_connections import close_on_unrequested_data
from sassafrasgate.adapters.response_limits import read_body
from sassafrasgate.adapters.response_limits import ResponseBudget
from sassafrasgate.adapters.response_limits import SMALL_RESPONSE_BYTES
from sassafrasgate.adapters.time_limits import TimeLimit

if TYPE_CHECKING:
    from socket import socket

CONNECT_TIMEOUT_S = 1.0
MAX_CAUSE_LENGTH = 200
KEEP_ALIVE_S = 60.0
# When the peer has closed an idle connection, the event loop reads its end
# in one iteration and closes it in the next. Each call lets both pass first,
# so that it does not use such a connection.
CLOSE_LOOP_ITERATIONS = 2


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response whose body has been read completely.

    Parameters
    ----------
    call : str
        Method and path of the request, for error messages.
    status : int
        HTTP status.
    content : bytes
        Body.
    headers : mapping
        Response headers; their names are case-insensitive.
    """

    call: str
    status: int
    content: bytes
    headers: Mapping[str, str]

    @property
    def text(self) -> str:
        """The body as text, for error messages."""
        return self.content.decode(errors='replace')


@dataclass(slots=True)
class _Pool:
    session: ClientSession
    calls: int = 0
    retired: bool = False


class HttpConnections:
    """A pool of connections to one address.

    An established connection can stop responding for good while new ones
    work. After a timeout the pool is therefore retired: the next call opens
    a new one, and calls in flight on the old one may finish.

    Parameters
    ----------
    base_url : str
        URL that all paths are relative to.
    connections : int
        Maximum number of open connections of a pool.
    open_socket : callable, optional
        Returns the socket for a new connection; raises `OSError` if none may
        be opened.
    budget : ResponseBudget, optional
        Budget that all clients of the process share; by default one of this
        pool's own.

    Notes
    -----
    A call through aiohttp takes a twentieth of the processor time of one
    through httpx; `docs/design.md` has the measurement.
    """

    def __init__(
        self,
        base_url: str,
        connections: int,
        open_socket: Callable[[Any], socket] | None = None,
        budget: ResponseBudget | None = None,
    ) -> None:
        self._budget = budget or ResponseBudget()
        self._base_url = base_url.rstrip('/')
        self._connections = connections
        self._open_socket = open_socket
        self._pool: _Pool | None = None

    def _get_pool(self) -> _Pool:
        # A session needs a running event loop, so the first call opens it.
        if self._pool is None:
            session = ClientSession(
                connector=TCPConnector(
                    limit=self._connections,
                    keepalive_timeout=KEEP_ALIVE_S,
                    use_dns_cache=False,
                    socket_factory=self._open_socket,
                ),
                cookie_jar=DummyCookieJar(),
                auto_decompress=False,
                trust_env=False,
            )
            # aiohttp would send a PUT again whose response was lost; it has
            # no public option that turns these retries off.
            session._retry_connection = False
            close_on_unrequested_data(session)
            self._pool = _Pool(session)
        return self._pool

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        params: Mapping[str, str] | None = None,
        max_bytes: int = SMALL_RESPONSE_BYTES,
    ) -> HttpResponse:
        """Make one call, without retries.

        Parameters
        ----------
        method, path : str
            HTTP method, and path relative to the base URL.
        timeout_s : float
            Maximum duration of the whole call in seconds, but for time in
            which the event loop of this process is late.
        max_bytes : int
            Maximum size of the response's body in bytes.

        Raises
        ------
        ResponseCutOffError
            When the response is too large or malformed.
        NoResponseError
            When no complete response was received.
        """
        url = self._make_url(path, params)
        for _ in range(CLOSE_LOOP_ITERATIONS):
            await sleep(0)
        pool = self._get_pool()
        pool.calls += 1
        try:
            with TimeLimit(timeout_s):
                return await self._exchange(
                    pool.session,
                    method,
                    url,
                    max_bytes,
                    data=content,
                    headers=headers,
                    timeout=ClientTimeout(
                        total=None, sock_connect=CONNECT_TIMEOUT_S
                    ),
                )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise NoResponseError(
                f'cannot connect to {self._base_url!r}: {error}', sent=False
            ) from error
        except TimeoutError as error:
            self._retire(pool)
            raise ResponseTimeoutError(
                f'{method} {self._base_url}{path} received no response '
                f'within {timeout_s:g} s',
                sent=True,
            ) from error
        except ResponseCutOffError as error:
            raise self._record_cut_off(
                method, path, error.reason, error
            ) from error
        except ClientResponseError as error:
            # aiohttp limits the size and the number of header lines.
            raise self._record_cut_off(
                method, path, CutOffReason.MALFORMED, error
            ) from error
        except (ClientError, OSError, ValueError) as error:
            # aiohttp raises ValueError for what it cannot send or parse.
            raise NoResponseError(
                f'{method} {self._base_url}{path} failed: {error!r}', sent=True
            ) from error
        finally:
            pool.calls -= 1
            await _close_if_unused(pool)

    async def _exchange(
        self,
        session: ClientSession,
        method: str,
        url: URL,
        max_bytes: int,
        **options: Any,
    ) -> HttpResponse:
        # The context closes the connection of a body that was not read whole.
        async with session.request(
            method, url, allow_redirects=False, **options
        ) as response:
            body = await read_body(response, max_bytes, self._budget)
            return HttpResponse(
                f'{method} {url.path}', response.status, body, response.headers
            )

    def _record_cut_off(
        self, method: str, path: str, reason: CutOffReason, cause: Exception
    ) -> ResponseCutOffError:
        error = ResponseCutOffError(
            reason,
            f'the response to {method} {self._base_url}{path} was cut off: '
            f'{str(cause)[:MAX_CAUSE_LENGTH]}; check that the address '
            'leads to the right peer',
        )
        self._budget.handle_cut_off(reason, error)
        return error

    def _make_url(self, path: str, params: Mapping[str, str] | None) -> URL:
        query = f'?{urlencode(params)}' if params else ''
        reason: object = 'it has no host or port'
        try:
            url = URL(f'{self._base_url}{path}{query}', encoded=True)
            # yarl checks the host and the port only when they are read.
            if url.host and url.port:
                return url
        except ValueError as error:
            reason = error
        raise NoResponseError(
            f'cannot call {self._base_url!r}: {reason}', sent=False
        )

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = None

    async def close(self) -> None:
        """Close the pool; calls in flight fail."""
        pool, self._pool = self._pool, None
        if pool is None:
            return
        pool.retired = True
        await pool.session.close()


async def _close_if_unused(pool: _Pool) -> None:
    if not pool.retired or pool.calls:
        return
    # Shielded, since a cancelled caller would leave the sockets open.
    with CancelScope(shield=True):
        await pool.session.close()
