"""What the product needs of the platform's key-value store."""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections import Counter

    from sassafrasgate.core.items import Changes
    from sassafrasgate.core.items import Item


class KeyStore(Protocol):
    """A client of the store; each call is made once and never repeated.

    Every method raises `StoreUnavailableError` when no answer came, with
    ``sent`` false if the call certainly had no effect, and `StoreError` when
    the store refused the call. Priorities are those of
    `sassafrasgate.journal.budget.CallPriority`.
    """

    @property
    def calls(self) -> Counter[str]:
        """Number of calls made, by the name of the method."""

    async def get(self, key: str, priority: int = ...) -> Item | None:
        """Return a key's item, or None when there is no such key."""

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
        """Delete a key, if it has ``revision``."""

    async def read_prefix(self, prefix: str, priority: int = ...) -> Changes:
        """Return the items under a prefix and where to watch from."""

    async def watch(
        self, prefix: str, after: int, wait_s: float, priority: int = ...
    ) -> Changes:
        """Return changes under a prefix, waiting for the first one.

        Raises
        ------
        StoreLogTrimmedError
            When the store has dropped changes after ``after``.
        """

    async def grant_lease(self, ttl_s: float, priority: int = ...) -> str:
        """Return the id of a new lease of ``ttl_s`` seconds."""

    async def renew_lease(self, lease: str, priority: int = ...) -> bool:
        """Give a lease its whole time again; False if it has expired."""

    async def revoke_lease(self, lease: str, priority: int = ...) -> None:
        """End a lease, which deletes its keys; an expired one is no error."""
