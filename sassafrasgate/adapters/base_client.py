"""Base class of the HTTP clients of a key-value store."""

from __future__ import annotations

from collections import Counter
from typing import Any
from typing import ClassVar
from typing import Protocol
from typing import TYPE_CHECKING

from sassafrasgate.adapters.call_errors import NoResponseError
from sassafrasgate.adapters.connections import HttpConnections
from sassafrasgate.adapters.response_limits import MIB
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.journal.rate_limits import CallKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType
    from typing import Self

    from sassafrasgate.adapters.connections import HttpResponse
    from sassafrasgate.adapters.response_limits import ResponseBudget
    from sassafrasgate.core.items import Item

TIMEOUT_S = 1.0
MAX_CONNECTIONS = 16
# A value has at most 1 MiB, which Base64 makes longer by a third. A conflict
# of a write, too, may return the item.
MAX_ITEM_BYTES = 2 * MIB
# A page ends with the item that exceeds a megabyte of values, or with about
# its 500th.
MAX_PAGE_BYTES = 4 * MIB
# A watch returns all changes at once. When there are more, its prefix is
# listed again in pages.
MAX_CHANGES_BYTES = 4 * MIB
# Values under one prefix, in all pages together.
MAX_LIST_BYTES = 64 * MIB


class CallRateLimiter(Protocol):
    """Limits the rate of a store client's calls."""

    async def acquire(self, kind: str, priority: int) -> None:
        """Wait until a call of ``kind`` may be made."""


class _NoRateLimit:
    async def acquire(self, kind: str, priority: int) -> None:
        return


class BaseStoreClient:
    """HTTP client of a store, whose calls a rate limiter delays.

    Parameters
    ----------
    base_url : str
        Base URL of the store, such as ``http://127.0.0.1:2400``.
    timeout_s : float
        Maximum duration of a call in seconds, in addition to the time that
        a watch waits.
    rate_limiter : CallRateLimiter, optional
        Delays each call until the rate allows it; by default the rate is
        unlimited.
    budget : ResponseBudget, optional
        Budget for responses that all clients of the process share.

    Attributes
    ----------
    calls : collections.Counter
        Number of calls made, by method name.
    """

    # Statuses of responses to calls that certainly had no effect.
    NO_EFFECT_STATUSES: ClassVar[frozenset[int]] = frozenset()

    def __init__(
        self,
        base_url: str,
        timeout_s: float = TIMEOUT_S,
        rate_limiter: CallRateLimiter | None = None,
        budget: ResponseBudget | None = None,
    ) -> None:
        self._connections = HttpConnections(
            base_url, MAX_CONNECTIONS, budget=budget
        )
        self._timeout_s = timeout_s
        self._rate_limiter = rate_limiter or _NoRateLimit()
        self.calls: Counter[str] = Counter()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections."""
        await self._connections.close()

    async def _read(
        self,
        name: str,
        path: str,
        priority: int,
        params: dict[str, str] | None = None,
        wait_s: float = 0.0,
        max_bytes: int = MAX_ITEM_BYTES,
    ) -> HttpResponse:
        await self._rate_limiter.acquire(CallKind.READ, priority)
        return await self._call(
            name,
            'GET',
            path,
            params=params,
            wait_s=wait_s,
            max_bytes=max_bytes,
        )

    async def _write(
        self,
        name: str,
        method: str,
        path: str,
        priority: int,
        content: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse:
        await self._rate_limiter.acquire(CallKind.WRITE, priority)
        return await self._call(
            name,
            method,
            path,
            content=content,
            headers=headers,
            max_bytes=MAX_ITEM_BYTES,
        )

    async def _call(
        self,
        name: str,
        method: str,
        path: str,
        wait_s: float = 0.0,
        **options: Any,
    ) -> HttpResponse:
        self.calls[name] += 1
        try:
            response = await self._connections.call(
                method, path, self._timeout_s + wait_s, **options
            )
        except NoResponseError as error:
            raise StoreUnavailableError(
                f'the store did not respond: {error}; read back what was '
                'written once it responds',
                sent=error.sent,
            ) from error
        if response.status in self.NO_EFFECT_STATUSES:
            raise StoreUnavailableError(
                f'the store rejected {method} {path} with '
                f'{response.status!r}; try again later',
                sent=False,
            )
        if response.status >= 500:
            raise StoreUnavailableError(
                f'the store responded to {method} {path} with '
                f'{response.status!r}; read back what was written once '
                'it has recovered'
            )
        if response.status == 412:
            raise StoreConflictError(
                f'{path!r} is not at the expected revision; read it again'
            )
        return response


class ListedItems:
    """The items of a list that is read in pages, up to a limit.

    Parameters
    ----------
    prefix : str
        Prefix of the keys, for error messages.
    """

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._size = 0
        # An empty first page would end where the list begins.
        self._page_ends = {''}
        self.items: list[Item] = []

    @property
    def last_key(self) -> str:
        """The key after which the next page begins."""
        return self.items[-1].key if self.items else ''

    def add_page(self, items: Iterable[Item], more: bool) -> None:
        """Add the items of a page.

        Parameters
        ----------
        more : bool
            Whether the store announces another page.

        Raises
        ------
        StoreUnavailableError
            When another page would be the same one, or the list exceeds
            `MAX_LIST_BYTES`.
        """
        for item in items:
            self.items.append(item)
            self._size += len(item.key) + len(item.value or b'')
        if more and self.last_key in self._page_ends:
            raise StoreUnavailableError(
                f'a page of the list of {self._prefix!r} ends with '
                f'{self.last_key!r} like one before it; read the list again'
            )
        self._page_ends.add(self.last_key)
        if self._size > MAX_LIST_BYTES:
            raise StoreUnavailableError(
                f'the list of {self._prefix!r} exceeds {MAX_LIST_BYTES} '
                'bytes, which is the limit; remove keys that are not needed'
            )
