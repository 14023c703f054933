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
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from anyio import CancelScope
from anyio import sleep
from yarl import URL

from sassafrasgate.adapters.time_limits import TimeLimit
from sassafrasgate.core.errors import SassafrasgateError

if TYPE_CHECKING:
    from socket import socket

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 60.0
# When the peer has closed an idle connection, the event loop reads its end
# in one iteration and closes it in the next. Each call lets both pass first,
# so that it does not use such a connection.
CLOSE_LOOP_ITERATIONS = 2


class NoResponseError(SassafrasgateError):
    """An HTTP call received no complete response.

    Parameters
    ----------
    message : str
        What failed.
    sent : bool
        False when no connection was established, so that the call had no
        effect.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class ResponseTimeoutError(NoResponseError):
    """A response did not arrive within the call's time limit."""


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
    ) -> None:
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
    ) -> HttpResponse:
        """Make one call, without retries.

        Parameters
        ----------
        method, path : str
            HTTP method, and path relative to the base URL.
        timeout_s : float
            Maximum duration of the whole call in seconds, but for time in
            which the event loop of this process is late.

        Raises
        ------
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
        except (ClientError, OSError, ValueError) as error:
            # aiohttp raises ValueError for what it cannot send or parse.
            raise NoResponseError(
                f'{method} {self._base_url}{path} failed: {error!r}', sent=True
            ) from error
        finally:
            pool.calls -= 1
            await _close_if_unused(pool)

    async def _exchange(
        self, session: ClientSession, method: str, url: URL, **options: Any
    ) -> HttpResponse:
        async with session.request(
            method, url, allow_redirects=False, **options
        ) as response:
            body = await response.read()
            return HttpResponse(
                f'{method} {url.path}', response.status, body, response.headers
            )

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
