"""HTTP connections that are replaced once they stop answering."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
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

from sassafrasgate.core.errors import SassafrasgateError

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 60.0
# The event loop reads the end of a connection that the peer has closed in
# one round and closes it in the next.
CLOSE_CHECKPOINTS = 2


class NoResponseError(SassafrasgateError):
    """A call got no answer.

    Parameters
    ----------
    message : str
        What failed.
    sent : bool
        False when no connection was made, so that the call had no effect.
    """

    def __init__(self, message: str, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Parameters
    ----------
    call : str
        Method and path of the request, for error messages.
    status : int
        HTTP status.
    content : bytes
        Body.
    headers : mapping
        Without regard to case.
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

    An established connection can go silent for good while new ones work.
    After a timeout the pool takes no more calls: the next call opens a new
    connection, and calls that are under way on the old pool may finish.

    Parameters
    ----------
    base_url : str
        URL that all paths are relative to.
    connections : int
        The most connections of one pool.

    Notes
    -----
    aiohttp takes a twentieth of the processor time of httpx for a call;
    `docs/design.md` has the measurement.
    """

    def __init__(self, base_url: str, connections: int) -> None:
        self._base_url = base_url.rstrip('/')
        self._connections = connections
        self._pool: _Pool | None = None

    def _find_pool(self) -> _Pool:
        # A session needs a running event loop, so it is opened by a call.
        if self._pool is None:
            session = ClientSession(
                connector=TCPConnector(
                    limit=self._connections,
                    keepalive_timeout=KEEP_ALIVE_S,
                    use_dns_cache=False,
                ),
                cookie_jar=DummyCookieJar(),
                auto_decompress=False,
                trust_env=False,
            )
            # A PUT whose answer was lost would be sent twice; aiohttp has
            # no public switch for its repeats.
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
        """Make one call, with no retry.

        Parameters
        ----------
        method, path : str
            HTTP method, and path relative to the base URL.
        timeout_s : float
            Limit for the whole call in seconds.

        Raises
        ------
        NoResponseError
            When there was no complete answer.
        """
        query = f'?{urlencode(params)}' if params else ''
        url = URL(f'{self._base_url}{path}{query}', encoded=True)
        for _ in range(CLOSE_CHECKPOINTS):
            await sleep(0)
        pool = self._find_pool()
        pool.calls += 1
        try:
            async with pool.session.request(
                method,
                url,
                data=content,
                headers=headers,
                timeout=ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
                allow_redirects=False,
            ) as response:
                body = await response.read()
                return HttpResponse(
                    f'{method} {path}', response.status, body, response.headers
                )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise NoResponseError(
                f'cannot connect to {self._base_url!r}: {error}', sent=False
            ) from error
        except TimeoutError as error:
            self._retire(pool)
            raise NoResponseError(
                f'{method} {self._base_url}{path} got no answer in '
                f'{timeout_s:g} s',
                sent=True,
            ) from error
        except (ClientError, OSError) as error:
            raise NoResponseError(
                f'{method} {self._base_url}{path} failed: {error!r}', sent=True
            ) from error
        finally:
            pool.calls -= 1
            await _close_if_unused(pool)

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._pool is pool:
            self._pool = None

    async def close(self) -> None:
        """Close the pool; calls under way fail."""
        pool, self._pool = self._pool, None
        if pool is None:
            return
        pool.retired = True
        await pool.session.close()


async def _close_if_unused(pool: _Pool) -> None:
    if not pool.retired or pool.calls:
        return
    # A cancelled caller would otherwise leave the sockets open.
    with CancelScope(shield=True):
        await pool.session.close()
