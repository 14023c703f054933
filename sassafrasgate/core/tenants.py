"""Tenants: client accounts that share a cell, their keys and limits."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources

# Tenant of a call without a key, on a public queue or in a cell that has no
# tenants.
NO_TENANT = ''


@dataclass(frozen=True, slots=True)
class Tenant:
    """A client account as configured by the operators.

    Parameters
    ----------
    name : str
        Unique name in the routing table.
    key_digests : tuple of bytes
        Digests of its API keys, see `digest_key`. The keys themselves are
        not kept, so that no log or view can show them.
    weight : float
        Share of the cell when all is full, relative to other tenants, and
        the number of jobs in a second that the tenant is entitled to.
    cap : Resources
        What the tenant may have running over all workers; 0 for no limit.
    priority : int
        0 is the highest priority.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    weight: float = 1.0
    cap: Resources = NO_RESOURCES
    priority: int = 0

    @property
    def has_cap(self) -> bool:
        """Whether any resource of the tenant is limited."""
        return self.cap != NO_RESOURCES


def digest_key(key: str) -> bytes:
    """Return the digest by which an API key is known to the processes.

    Examples
    --------
    >>> digest_key('k1') == digest_key('k1'), digest_key('k1') == b'k1'
    (True, False)
    """
    return sha256(key.encode('utf-8', 'surrogateescape')).digest()


def match_digest(digest: bytes, known: bytes) -> bool:
    """Compare two digests in constant time."""
    return compare_digest(digest, known)
