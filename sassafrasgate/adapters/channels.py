"""Connections that are known to lead to one incarnation of a peer.

A process that ends takes its connections with it. A connection that has
carried a reply of an incarnation can therefore not carry a call to a later
one, while a new connection to the same address may lead to any.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from socket import socket
from typing import Any
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.adapters.call_errors import NoResponseError
from sassafrasgate.adapters.call_errors import ResponseTimeoutError
from sassafrasgate.adapters.connections import HttpConnections
from sassafrasgate.adapters.connections import HttpResponse
from sassafrasgate.adapters.time_limits import TimeLimit

if TYPE_CHECKING:
    from sassafrasgate.adapters.response_limits import ResponseBudget

# Longest wait for one of the calls that a peer may get at the same time.
MAX_QUEUE_TIME_S = 0.3

MakeCall = Callable[['Channel'], Awaitable[HttpResponse]]


class IncarnationError(NoResponseError):
    """A call was not sent because its peer has another incarnation.

    Parameters
    ----------
    expected_ms, found_ms : int
        Start of the incarnation that the call is for, and of the one that
        has replied, in Unix milliseconds.
    """

    def __init__(self, expected_ms: int, found_ms: int) -> None:
        super().__init__(
            f'the call is for incarnation {expected_ms!r}, but the peer is '
            f'incarnation {found_ms!r}; decide again from its new report',
            sent=False,
        )


class Channel:
    """One connection, which is opened by its first call and never again.

    Parameters
    ----------
    base_url : str
        URL that all paths are relative to.
    headers : mapping
        Headers of all calls.
    generation : int
        Generation of the `ChannelPool` that opens the channel.
    budget : ResponseBudget or None
        Budget for responses that all clients of the process share.

    Attributes
    ----------
    incarnation_ms : int or None
        Incarnation that has replied on the connection; None until a reply
        has named one.
    is_open : bool
        Whether the connection has been opened and the peer has not announced
        its end.
    """

    def __init__(
        self,
        base_url: str,
        headers: Mapping[str, str],
        generation: int,
        budget: ResponseBudget | None = None,
    ) -> None:
        self._connections = HttpConnections(
            base_url, 1, self._open_socket, budget
        )
        self._headers = headers
        self.is_open = False
        self.generation = generation
        self.incarnation_ms: int | None = None

    def _open_socket(self, address_info: tuple[Any, ...]) -> socket:
        if self.is_open:
            raise ConnectionAbortedError('the connection has ended')
        self.is_open = True
        family, kind, protocol, _, _ = address_info
        return socket(family, kind, protocol)

    async def call(
        self, path: str, timeout_s: float, content: bytes, max_bytes: int
    ) -> HttpResponse:
        """Make one POST call; see `HttpConnections.call`."""
        response = await self._connections.call(
            'POST',
            path,
            timeout_s,
            content=content,
            headers=self._headers,
            max_bytes=max_bytes,
        )
        if response.headers.get('Connection', '').lower() == 'close':
            self.is_open = False
        return response

    async def close(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await self._connections.close()


class ChannelPool:
    """The channels to one peer.

    After a call without a reply all idle channels are closed, since an
    established connection can stop responding for good while new ones work.

    Parameters
    ----------
    base_url : str
        URL that all paths are relative to.
    channels : int
        Maximum number of calls at the same time.
    headers : mapping
        Headers of all calls.
    budget : ResponseBudget, optional
        Budget for responses that all clients of the process share.

    Notes
    -----
    A peer that closes the connection after each response is identified again
    before each call that is for one incarnation. A restart between the two
    then goes unnoticed.
    """

    def __init__(
        self,
        base_url: str,
        channels: int,
        headers: Mapping[str, str],
        budget: ResponseBudget | None = None,
    ) -> None:
        self._budget = budget
        self._base_url = base_url
        self._headers = dict(headers)
        self._limit = anyio.Semaphore(channels)
        self._idle: list[Channel] = []
        self._generation = 0

    @property
    def idle_count(self) -> int:
        """Number of channels without a call."""
        return len(self._idle)

    async def call(
        self, path: str, timeout_s: float, content: bytes, max_bytes: int
    ) -> tuple[HttpResponse, Channel]:
        """Make one call on any channel.

        Returns
        -------
        tuple of HttpResponse and Channel
            The response, and the channel that has carried it. The caller may
            set the incarnation that the response names.

        Raises
        ------
        NoResponseError
            When no complete response was received.
        """

        async def make_call(channel: Channel) -> HttpResponse:
            return await channel.call(path, timeout_s, content, max_bytes)

        return await self._use_channel(make_call, None)

    async def call_incarnation(
        self,
        path: str,
        timeout_s: float,
        content: bytes,
        max_bytes: int,
        incarnation_ms: int,
        identify: MakeCall,
    ) -> tuple[HttpResponse, Channel]:
        """Make one call that reaches the given incarnation or no process.

        Parameters
        ----------
        incarnation_ms : int
            Start of the incarnation in Unix milliseconds.
        identify : callable
            Makes a call on a channel whose peer is not known yet, and sets
            its incarnation from the response. A response that names none is
            returned in place of the one to the call, which is not sent.

        Raises
        ------
        IncarnationError
            When another incarnation has replied.
        NoResponseError
            When no complete response was received.
        """

        async def make_call(channel: Channel) -> HttpResponse:
            if channel.incarnation_ms is None or not channel.is_open:
                response = await _identify(channel, identify)
                if channel.incarnation_ms is None:
                    return response
            if channel.incarnation_ms != incarnation_ms:
                raise IncarnationError(incarnation_ms, channel.incarnation_ms)
            return await channel.call(path, timeout_s, content, max_bytes)

        return await self._use_channel(make_call, incarnation_ms)

    async def _use_channel(
        self, make_call: MakeCall, incarnation_ms: int | None
    ) -> tuple[HttpResponse, Channel]:
        """Make a call on an idle channel, or on a new one.

        An idle channel may have ended unnoticed; a call on it is not sent
        then, and is made on a new channel.
        """
        await self._acquire()
        try:
            idle = self._take_idle(incarnation_ms)
            if idle is not None:
                try:
                    return await self._call_on(idle, make_call)
                except IncarnationError:
                    raise
                except NoResponseError as error:
                    if error.sent:
                        raise
            channel = Channel(
                self._base_url, self._headers, self._generation, self._budget
            )
            return await self._call_on(channel, make_call)
        finally:
            self._limit.release()

    async def _acquire(self) -> None:
        """Wait until a call may be made, within a time limit."""
        try:
            with TimeLimit(MAX_QUEUE_TIME_S):
                await self._limit.acquire()
        except TimeoutError as error:
            raise NoResponseError(
                f'the calls to {self._base_url!r} have been waiting for '
                f'responses for {MAX_QUEUE_TIME_S:g} s',
                sent=False,
            ) from error

    async def _call_on(
        self, channel: Channel, make_call: MakeCall
    ) -> tuple[HttpResponse, Channel]:
        try:
            response = await make_call(channel)
        except BaseException as error:
            await channel.close()
            if isinstance(error, ResponseTimeoutError):
                await self.close_idle()
            raise
        if channel.generation == self._generation:
            await self._close_replaced(channel)
            self._idle.append(channel)
        else:
            await channel.close()
        return response, channel

    async def _close_replaced(self, channel: Channel) -> None:
        """Close idle channels to incarnations other than that of a channel."""
        known = (None, channel.incarnation_ms)
        if channel.incarnation_ms is None:
            return
        replaced = [c for c in self._idle if c.incarnation_ms not in known]
        self._idle = [c for c in self._idle if c.incarnation_ms in known]
        for other in replaced:
            await other.close()

    def _take_idle(self, incarnation_ms: int | None) -> Channel | None:
        """Return the idle channel that was used last, or None.

        Channels to other incarnations than the given one are left out.
        """
        for index in reversed(range(len(self._idle))):
            known_ms = self._idle[index].incarnation_ms
            if incarnation_ms is None or known_ms in (None, incarnation_ms):
                return self._idle.pop(index)
        return None

    async def close_idle(self) -> None:
        """Close idle channels, and the others after their calls."""
        self._generation += 1
        idle, self._idle = self._idle, []
        for channel in idle:
            await channel.close()


async def _identify(channel: Channel, identify: MakeCall) -> HttpResponse:
    """Identify a channel's peer; a failure leaves the call itself unsent."""
    try:
        return await identify(channel)
    except NoResponseError as error:
        error.sent = False
        raise
