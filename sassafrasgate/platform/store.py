"""Client of the key-value store of the users' platform."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from msgspec import Struct
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
from sassafrasgate.core.inputs import Natural
from sassafrasgate.core.items import Changes
from sassafrasgate.core.items import Item
from sassafrasgate.journal.rate_limits import CallPriority

if TYPE_CHECKING:
    from sassafrasgate.adapters.connections import HttpResponse

HEADERS = {'Content-Type': 'application/json'}
OK = 200
NOT_FOUND = 404
LOG_TRIMMED = 410

Value = TypeVar('Value')


class _Item(Struct, frozen=True, rename='camel'):
    key: str
    revision: Natural
    value: str = ''
    deleted: bool = False


class _RangePage(Struct, frozen=True, rename='camel'):
    items: list[_Item]
    truncated: bool
    current_rev: Natural


class _Events(Struct, frozen=True, rename='camel'):
    events: list[_Item]
    current_rev: Natural


class _Written(Struct, frozen=True, rename='camel'):
    revision: Natural


class _Lease(Struct, frozen=True, rename='camel'):
    lease: Natural


_DECODERS: dict[type, Decoder[Any]] = {
    kind: Decoder(kind)
    for kind in (_Item, _RangePage, _Events, _Written, _Lease)
}


class PlatformStore(BaseStoreClient):
    """Client of the store, which sends each call once and never retries.

    It implements `sassafrasgate.core.stores.KeyStore` and raises the same
    errors as `sassafrasgate.adapters.store.Store`.

    Parameters
    ----------
    base_url : str
        Base URL of the store, such as ``http://10.200.1.7:8169``.
    timeout_s : float
        Maximum duration of a call in seconds, in addition to the time that
        a watch waits.
    rate_limiter : CallRateLimiter, optional
        Delays each call until the rate allows it; by default the rate is
        unlimited.
    budget : ResponseBudget, optional
        Budget for responses that all clients of the process share.
    """

    # The store sends these when it is busy or its rate limits are exceeded;
    # the call then had no effect.
    NO_EFFECT_STATUSES = frozenset({429, 503})

    async def get(
        self, key: str, priority: int = CallPriority.NORMAL
    ) -> Item | None:
        """Return a key's item, or None when the key does not exist."""
        response = await self._read(
            'get', '/api/kv-key', priority, params={'key': key}
        )
        if response.status == NOT_FOUND:
            return None
        return _make_item(_read_body(response, _Item))

    async def create(
        self,
        key: str,
        value: bytes,
        lease: str = '',
        priority: int = CallPriority.NORMAL,
    ) -> int:
        """Write a new key and return its revision."""
        return await self._put('create', key, value, 0, lease, priority)

    async def swap(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: str = '',
        priority: int = CallPriority.NORMAL,
    ) -> int:
        """Replace the value at ``revision`` and return the new revision."""
        return await self._put('swap', key, value, revision, lease, priority)

    async def delete(
        self,
        key: str,
        revision: int | None = None,
        priority: int = CallPriority.NORMAL,
    ) -> bool:
        """Delete a key; return True even if it did not exist."""
        conditions = []
        if revision is not None:
            conditions = [{'key': key, 'revision': revision}]
        await self._commit_transaction(
            'delete', conditions, [], [key], priority
        )
        return True

    async def read_prefix(
        self,
        prefix: str,
        priority: int = CallPriority.NORMAL,
        values: bool = True,
    ) -> Changes:
        """Return the items under a prefix and the revision to watch from."""
        listed = ListedItems(prefix)
        revision = 0
        params = {'prefix': prefix}
        while True:
            response = await self._read(
                'list',
                '/api/kv-range',
                priority,
                params=params,
                max_bytes=MAX_PAGE_BYTES,
            )
            page = _read_body(response, _RangePage)
            revision = revision or page.current_rev
            listed.add_page(
                (_make_item(item) for item in page.items), page.truncated
            )
            if not page.truncated:
                return Changes(revision, tuple(listed.items))
            params = {'prefix': prefix, 'after': listed.last_key}

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        priority: int = CallPriority.NORMAL,
    ) -> Changes:
        """Return the changes under a prefix, waiting for the first one."""
        response = await self._read(
            'watch',
            '/api/kv-watch',
            priority,
            params={
                'prefix': prefix,
                'after': str(after),
                'waitMs': str(int(wait_s * 1000)),
            },
            wait_s=wait_s,
            max_bytes=MAX_CHANGES_BYTES,
        )
        if response.status == LOG_TRIMMED:
            raise StoreLogTrimmedError(
                f'the store has no changes of {prefix!r} after revision '
                f'{after!r}; list the prefix and watch from there'
            )
        return read_changes(response)

    async def grant_lease(
        self, ttl_s: float, priority: int = CallPriority.HIGH
    ) -> str:
        """Return the id of a new lease of ``ttl_s`` seconds."""
        response = await self._write(
            'grant_lease',
            'POST',
            '/api/kv-lease',
            priority,
            encode({'ttlMs': int(ttl_s * 1000)}),
            HEADERS,
        )
        return str(_read_body(response, _Lease).lease)

    async def renew_lease(
        self, lease: str, priority: int = CallPriority.HIGH
    ) -> bool:
        """Renew a lease for its full duration; False if it has expired."""
        response = await self._write(
            'renew_lease', 'POST', f'/api/kv-keep/{lease}', priority
        )
        return _read_lease_status(response)

    async def revoke_lease(
        self, lease: str, priority: int = CallPriority.NORMAL
    ) -> None:
        """Revoke a lease and delete its keys; ignore an expired lease."""
        response = await self._write(
            'revoke_lease', 'DELETE', f'/api/kv-lease-end/{lease}', priority
        )
        _read_lease_status(response)

    async def _put(
        self,
        name: str,
        key: str,
        value: bytes,
        revision: int,
        lease: str,
        priority: int,
    ) -> int:
        put: dict[str, object] = {
            'key': key,
            'value': b64encode(value).decode(),
        }
        if lease:
            put['lease'] = int(lease)
        response = await self._commit_transaction(
            name, [{'key': key, 'revision': revision}], [put], [], priority
        )
        return _read_body(response, _Written).revision

    async def _commit_transaction(
        self,
        name: str,
        conditions: list[dict[str, object]],
        puts: list[dict[str, object]],
        deletes: list[str],
        priority: int,
    ) -> HttpResponse:
        body = encode(
            {'ifRevision': conditions, 'puts': puts, 'deletes': deletes}
        )
        response = await self._write(
            name, 'POST', '/api/kv-txn', priority, body, HEADERS
        )
        if response.status == NOT_FOUND:
            raise StoreLeaseLostError(
                'the lease of a write has expired; grant a new one'
            )
        return response


def read_changes(response: HttpResponse) -> Changes:
    """Return the changes in the store's response to a watch.

    Raises
    ------
    StoreError
        When the response cannot be used.
    """
    changes = _read_body(response, _Events)
    return Changes(
        changes.current_rev,
        tuple(_make_item(item) for item in changes.events),
    )


def _read_lease_status(response: HttpResponse) -> bool:
    if response.status == NOT_FOUND:
        return False
    if response.status != OK:
        raise _make_rejection_error(response)
    return True


def _make_rejection_error(response: HttpResponse) -> StoreError:
    return StoreError(
        f'the store rejected {response.call!r} with {response.status!r} '
        f'{response.text[:200]!r}; correct the request'
    )


def _read_body(response: HttpResponse, kind: type[Value]) -> Value:
    if response.status != OK:
        raise _make_rejection_error(response)
    try:
        value: Value = decode_input(_DECODERS[kind].decode, response.content)
        return value
    except InputError as error:
        raise StoreUnavailableError(
            f'cannot decode a response of the store: {error}; check that '
            'the store address leads to the store'
        ) from error


def _make_item(item: _Item) -> Item:
    """Return an item; a value that is not Base64 counts as empty.

    One unreadable value must not hide the other keys of the prefix, and no
    decoder accepts an empty value.
    """
    if item.deleted:
        return Item(item.key, None, item.revision)
    try:
        value = b64decode(item.value)
    except ValueError:
        value = b''
    return Item(item.key, value, item.revision)
