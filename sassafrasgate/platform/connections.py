"""HTTP connections that are replaced once they stop answering."""

from __future__ import annotations

from dataclasses import dataclass
from ssl import PROTOCOL_TLS_CLIENT
from ssl import SSLContext
from typing import TYPE_CHECKING

from anyio import CancelScope
from anyio import fail_after
from httpx import AsyncHTTPTransport
from httpx import ConnectError
from httpx import ConnectTimeout
from httpx import Limits
from httpx import Request
from httpx import TransportError

from sassafrasgate.core.errors import SassafrasgateError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from httpx import Response

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_S = 60.0

# httpx otherwise loads the system's certificates once per client, which
# costs about a megabyte each. The platform's APIs use plain HTTP, and an
# https URL fails closed because this context trusts no authority.
_NO_AUTHORITIES = SSLContext(PROTOCOL_TLS_CLIENT)


class NoAnswerError(SassafrasgateError):
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


@dataclass(slots=True)
class _Pool:
    transport: AsyncHTTPTransport
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
    """

    def __init__(self, base_url: str, connections: int) -> None:
        self._base_url = base_url.rstrip('/')
        self._connections = connections
        self._pool = self._open_pool()

    def _open_pool(self) -> _Pool:
        # The transport without httpx's client: its redirects, cookies and
        # authentication are not used and cost about a fifth of the
        # processor time of a call.
        return _Pool(
            AsyncHTTPTransport(
                limits=Limits(
                    max_connections=self._connections,
                    max_keepalive_connections=self._connections,
                    keepalive_expiry=KEEP_ALIVE_S,
                ),
                trust_env=False,
                verify=_NO_AUTHORITIES,
            )
        )

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        params: Mapping[str, str] | None = None,
    ) -> Response:
        """Make one call, with no retry.

        Parameters
        ----------
        method, path : str
            HTTP method, and path relative to the base URL.
        timeout_s : float
            Limit for the whole call in seconds.

        Raises
        ------
        NoAnswerError
            When there was no complete answer.
        """
        request = Request(
            method,
            f'{self._base_url}{path}',
            content=content,
            headers=headers,
            params=params,
            extensions={'timeout': {'connect': CONNECT_TIMEOUT_S}},
        )
        pool = self._pool
        pool.calls += 1
        try:
            with fail_after(timeout_s):
                return await _exchange(pool.transport, request)
        except TimeoutError as error:
            self._retire(pool)
            raise NoAnswerError(
                f'{method} {self._base_url}{path} got no answer in '
                f'{timeout_s:g} s',
                sent=True,
            ) from error
        except (ConnectError, ConnectTimeout) as error:
            raise NoAnswerError(
                f'cannot connect to {self._base_url!r}: {error}', sent=False
            ) from error
        except TransportError as error:
            raise NoAnswerError(
                f'{method} {self._base_url}{path} failed: {error}', sent=True
            ) from error
        finally:
            pool.calls -= 1
            await self._close_if_unused(pool)

    def _retire(self, pool: _Pool) -> None:
        if pool.retired:
            return
        pool.retired = True
        self._pool = self._open_pool()

    async def _close_if_unused(self, pool: _Pool) -> None:
        if not pool.retired or pool.calls:
            return
        # A cancelled caller would otherwise leave the sockets open.
        with CancelScope(shield=True):
            await pool.transport.aclose()

    async def close(self) -> None:
        """Close the pool; calls under way fail."""
        self._pool.retired = True
        await self._pool.transport.aclose()


async def _exchange(
    transport: AsyncHTTPTransport, request: Request
) -> Response:
    """Return the complete response to a request."""
    response = await transport.handle_async_request(request)
    response.request = request
    try:
        await response.aread()
    finally:
        await response.aclose()
    return response
