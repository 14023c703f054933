"""Interface of clients of the platform's key-value store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import Counter

    from sassafrasgate.core.items import Changes
    from sassafrasgate.core.items import Item


class KeyStore(Protocol):
    """Client of the store, which sends each call once and never retries.

    Every method raises `StoreUnavailableError` when no reply was received,
    with ``sent`` false if the call had no effect, and `StoreError` when the
    store rejected the call. Priorities are those of
    `sassafrasgate.journal.rate_limits.CallPriority`.
    """

    @property
    def calls(self) -> Counter[str]:
        """Number of calls made, by method name."""

    async def get(self, key: str, priority: int = ...) -> Item | None:
        """Return a key's item, or None when the key does not exist."""

    async def create(
        self, key: str, value: bytes, lease: str = ..., priority: int = ...
    ) -> int:
        """Write a new key and return its revision.

        Raises
        ------
        StoreConflictError
            When the key exists.
        StoreLeaseLostError
            When the lease has expired.
        """

    async def swap(
        self,
        key: str,
        value: bytes,
        revision: int,
        lease: str = ...,
        priority: int = ...,
    ) -> int:
        """Replace the value at ``revision`` and return the new revision.

        Raises
        ------
        StoreConflictError
            When the key is gone or has another revision.
        StoreLeaseLostError
            When the lease has expired.
        """

    async def delete(
        self, key: str, revision: int | None = ..., priority: int = ...
    ) -> bool:
        """Delete a key, if it has ``revision``; return whether it existed."""

    async def read_prefix(self, prefix: str, priority: int = ...) -> Changes:
        """Return the items under a prefix and the revision to watch from."""

    async def watch(
        self, prefix: str, after: int, wait_s: float, priority: int = ...
    ) -> Changes:
        """Return the changes under a prefix after a revision.

        Waits up to ``wait_s`` seconds for the first change.

        Raises
        ------
        StoreLogTrimmedError
            When the store no longer holds all changes after ``after``.
        """

    async def grant_lease(self, ttl_s: float, priority: int = ...) -> str:
        """Return the id of a new lease of ``ttl_s`` seconds."""

    async def renew_lease(self, lease: str, priority: int = ...) -> bool:
        """Renew a lease for its full duration; False if it has expired."""

    async def revoke_lease(self, lease: str, priority: int = ...) -> None:
        """Revoke a lease and delete its keys; ignore an expired lease."""
