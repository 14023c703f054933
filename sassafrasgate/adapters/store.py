"""Client of a key-value store with the project's own HTTP interface."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import TypeVar
from urllib.parse import quote

from msgspec.json import Decoder
from msgspec.json import encode

from sassafrasgate.adapters.base_client import BaseStoreClient
from sassafrasgate.adapters.base_client import ListedItems
from sassafrasgate.adapters.base_client import MAX_CHANGES_BYTES
from sassafrasgate.adapters.base_client import MAX_PAGE_BYTES
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import StoreError
from sassafrasgate.core.errors import StoreLeaseLostError
from sassafrasgate.core.errors import StoreLogTrimmedError
from sassafrasgate.core.errors import StoreUnavailableError
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import HostStatus
from sassafrasgate.core.items import Item
from sassafrasgate.journal.rate_limits import CallPriority

if TYPE_CHECKING:
    from sassafrasgate.adapters.connections import HttpResponse


Value = TypeVar('Value')


@dataclass(frozen=True, slots=True)
class _Page:
    revision: int
    items: tuple[Item, ...]
    more: bool


@dataclass(frozen=True, slots=True)
class _GrantedLease:
    lease: str


class Store(BaseStoreClient):
    """Client of the store, which sends each call once and never retries.

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

    Notes
    -----
    Every method raises `StoreUnavailableError` when no response was received,
    with ``sent`` false if the call certainly had no effect, and `StoreError`
    when the store rejected the call.

    Examples
    --------
    >>> async with Store('http://127.0.0.1:2400') as store:
    ...     revision = await store.create('owners/s1', b'host-3')
    ...     await store.swap('owners/s1', b'host-4', revision)
    """

    async def get(
        self, key: str, priority: int = CallPriority.NORMAL
    ) -> Item | None:
        """Return a key's item, or None when the key does not exist."""
        response = await self._read(
            'get', _make_key_path(key), priority=priority
        )
        if response.status == 404:
            return None
        _check_status(response, 200)
        return Item(key, response.content, _read_revision(response))

    async def create(
        self,
        key: str,
        value: bytes,
        lease: str = '',
        priority: int = CallPriority.NORMAL,
    ) -> int:
        """Write a new key and return its revision.

        Raises
        ------
        StoreConflictError
            When the key exists.
        StoreLeaseLostError
            When the lease has expired.
        """
        headers = {'If-None-Match': '*'}
        return await self._put('create', key, value, headers, lease, priority)

    async def swap(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: str = '',
        priority: int = CallPriority.NORMAL,
    ) -> int:
        """Replace the value at ``revision`` and return the new revision.

        Without ``lease`` the key is no longer bound to any lease.

        Raises
        ------
        StoreConflictError
            When the key is gone or has another revision.
        StoreLeaseLostError
            When the lease has expired.
        """
        headers = {'If-Match': f'"{revision}"'}
        return await self._put('swap', key, value, headers, lease, priority)

    async def delete(
        self,
        key: str,
        revision: int | None = None,
        priority: int = CallPriority.NORMAL,
    ) -> bool:
        """Delete a key and return whether it existed.

        Raises
        ------
        StoreConflictError
            When ``revision`` is given and the key has another one.
        """
        headers = {} if revision is None else {'If-Match': f'"{revision}"'}
        response = await self._write(
            'delete',
            'DELETE',
            _make_key_path(key),
            headers=headers,
            priority=priority,
        )
        _check_status(response, 204, 404)
        return response.status == 204

    async def list(
        self, prefix: str, priority: int = CallPriority.NORMAL
    ) -> tuple[Item, ...]:
        """Return the items under a prefix, sorted by key."""
        return (await self.read_prefix(prefix, priority)).items

    async def read_prefix(
        self,
        prefix: str,
        priority: int = CallPriority.NORMAL,
        values: bool = True,
    ) -> Changes:
        """Return the items under a prefix and the revision to watch from.

        Makes one call per megabyte of values. The revision is that of the
        first call, so that a watch from it misses no change; the watch may
        repeat changes that later calls have already returned.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        values : bool
            Whether to read the values; if false, each value is None.
        """
        listed = ListedItems(prefix)
        revision = 0
        params = {'prefix': prefix, 'values': 'true' if values else 'false'}
        while True:
            response = await self._read(
                'list',
                '/v1/keys',
                params=params,
                priority=priority,
                max_bytes=MAX_PAGE_BYTES,
            )
            page = _decode_body(_check_status(response, 200), _Page)
            revision = revision or page.revision
            listed.add_page(page.items, page.more)
            if not page.more:
                return Changes(revision, tuple(listed.items))
            params = {**params, 'after': listed.last_key}

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        priority: int = CallPriority.NORMAL,
    ) -> Changes:
        """Return the changes under a prefix, waiting for the first one.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : int
            Revision of the last change seen, from the previous call or
            `read_prefix`.
        wait_s : float
            Maximum time that the store waits for a change, in seconds. If
            none occurs, the result has no items.

        Raises
        ------
        StoreLogTrimmedError
            When the store no longer holds all changes after ``after``.
        """
        response = await self._read(
            'watch',
            '/v1/watch',
            params={
                'prefix': prefix,
                'after': str(after),
                'wait': f'{wait_s:g}',
            },
            priority=priority,
            wait_s=wait_s,
            max_bytes=MAX_CHANGES_BYTES,
        )
        if response.status == 410:
            raise StoreLogTrimmedError(
                f'the store has no changes of {prefix!r} after revision '
                f'{after!r}; list the prefix and watch from there'
            )
        return _decode_body(_check_status(response, 200), Changes)

    async def grant_lease(
        self, ttl_s: float, priority: int = CallPriority.HIGH
    ) -> str:
        """Return the id of a new lease of ``ttl_s`` seconds."""
        response = await self._write(
            'grant_lease',
            'POST',
            '/v1/leases',
            content=encode({'ttl': ttl_s}),
            priority=priority,
        )
        return _decode_body(_check_status(response, 201), _GrantedLease).lease

    async def renew_lease(
        self, lease: str, priority: int = CallPriority.HIGH
    ) -> bool:
        """Renew a lease for its full duration; False if it has expired."""
        response = await self._write(
            'renew_lease',
            'POST',
            f'/v1/leases/{quote(lease, safe="")}/renew',
            priority=priority,
        )
        if response.status == 409:
            return False
        _check_status(response, 204)
        return True

    async def revoke_lease(
        self, lease: str, priority: int = CallPriority.NORMAL
    ) -> None:
        """Revoke a lease and delete its keys; ignore an expired lease."""
        response = await self._write(
            'revoke_lease',
            'DELETE',
            f'/v1/leases/{quote(lease, safe="")}',
            priority=priority,
        )
        _check_status(response, 204, 409)

    async def list_hosts(
        self, priority: int = CallPriority.NORMAL
    ) -> tuple[HostStatus, ...]:
        """Return the platform's host list, which lags behind the hosts."""
        response = await self._read(
            'list_hosts',
            '/v1/hosts',
            priority=priority,
            max_bytes=MAX_PAGE_BYTES,
        )
        return _decode_body(
            _check_status(response, 200), tuple[HostStatus, ...]
        )

    async def _put(
        self,
        name: str,
        key: str,
        value: bytes,
        headers: dict[str, str],
        lease: str,
        priority: int,
    ) -> int:
        if lease:
            headers['Lease'] = lease
        response = await self._write(
            name,
            'PUT',
            _make_key_path(key),
            content=value,
            headers=headers,
            priority=priority,
        )
        if response.status == 409:
            raise StoreLeaseLostError(
                f'lease {lease!r} of {key!r} has expired; grant a new one'
            )
        return _read_revision(_check_status(response, 200))


def _make_key_path(key: str) -> str:
    return f'/v1/keys/{quote(key)}'


def _check_status(response: HttpResponse, *expected: int) -> HttpResponse:
    if response.status in expected:
        return response
    raise StoreError(
        f'the store rejected {response.call!r} with '
        f'{response.status!r} '
        f'{response.text[:200]!r}; correct the request'
    )


def _read_revision(response: HttpResponse) -> int:
    tag = response.headers.get('ETag', '')
    if not (revision := tag.strip('"')).isdecimal():
        raise StoreUnavailableError(
            f'the store sent ETag {tag!r}, which is not a revision; '
            'check that the store URL leads to the store'
        )
    return int(revision)


def _decode_body(response: HttpResponse, kind: type[Value]) -> Value:
    try:
        return decode_input(Decoder(kind).decode, response.content)
    except InputError as error:
        raise StoreUnavailableError(
            f'cannot decode a response of the store: {error}; check that '
            'the store URL leads to the store'
        ) from error
