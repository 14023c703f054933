"""Queues and pools as configured by the operators."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from sassafrasgate.core.caller_limits import CallerLimits
from sassafrasgate.core.caller_limits import DEFAULT_LIMITS
from sassafrasgate.core.tenants import digest_key
from sassafrasgate.core.tenants import match_digest
from sassafrasgate.core.tenants import Tenant


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """Durations of calls to the advice service, in milliseconds.

    Parameters
    ----------
    decide_ms : float
        Fixed duration of each call.
    each_ms : float
        Additional duration for each worker that the call names.
    valid_ms : float
        How long a ticket stays valid.
    """

    decide_ms: float
    each_ms: float
    valid_ms: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of workflows.

    Parameters
    ----------
    name : str
        Unique name in the routing table.
    host, prefix : str
        Host header and path prefix of its requests.
    pool : str
        Pool whose workers run its tasks.
    priority : int
        0 is the highest priority and may preempt others.
    max_attempts : int
        Maximum number of failed runs of one task, or of one gang.
    stretch : float
        Factor from the length of a job's critical path to its objective for
        the completion time.
    target_latency_ms : int
        Constant added to the objective, in milliseconds.
    timeout_ms : int
        Maximum time until the reply to a request, in milliseconds.
    advice : AdviceTiming or None
        None when any worker of the pool may run its tasks without a ticket.
    public : bool
        Whether calls need no key of a tenant.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 0
    advice: AdviceTiming | None = None
    public: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of workers that run the same service.

    Parameters
    ----------
    enforces_capacity : bool
        Whether its workers refuse tasks that exceed their capacity.
    spare : bool
        Whether its machines are switched off.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False


# Without slots, because cached_property stores the indexes in __dict__.
@dataclass(frozen=True)
class RoutingTable:
    """One version of the configured queues and pools.

    Parameters
    ----------
    version : int
        Only increases; 0 when no table has been read yet.
    tenants : tuple of Tenant, or None
        None when the cell has no tenants and calls need no key.
    limits : CallerLimits
        Limits of what callers may send.

    Notes
    -----
    A table may have more than a thousand queues, and each request and each
    waiting step looks one up, so lookups use indexes.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()
    tenants: tuple[Tenant, ...] | None = None
    limits: CallerLimits = DEFAULT_LIMITS

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest matching path prefix."""
        prefixes = self._by_host.get(host, {})
        for length in self._lengths:
            queue = prefixes.get(path[:length])
            if queue is not None:
                return queue
        return None

    def find_queue_by_name(self, name: str) -> Queue | None:
        """Return the queue with the given name, or None."""
        return self._by_name.get(name)

    def find_tenant(self, name: str) -> Tenant | None:
        """Return the tenant with the given name, or None."""
        return self._tenants_by_name.get(name)

    def find_tenant_by_key(self, key: str) -> Tenant | None:
        """Return the tenant that holds an API key, or None."""
        digest = digest_key(key)
        known, tenant = self._tenants_by_digest.get(digest, (b'', None))
        return tenant if match_digest(digest, known) else None

    @cached_property
    def _tenants_by_name(self) -> dict[str, Tenant]:
        return {tenant.name: tenant for tenant in self.tenants or ()}

    @cached_property
    def _tenants_by_digest(self) -> dict[bytes, tuple[bytes, Tenant]]:
        return {
            digest: (digest, tenant)
            for tenant in self.tenants or ()
            for digest in tenant.key_digests
        }

    @cached_property
    def _by_name(self) -> dict[str, Queue]:
        return {queue.name: queue for queue in reversed(self.queues)}

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Queue]]:
        """Queues by host and prefix."""
        found: dict[str, dict[str, Queue]] = {}
        for queue in reversed(self.queues):
            found.setdefault(queue.host, {})[queue.prefix] = queue
        return found

    @cached_property
    def _lengths(self) -> list[int]:
        """Distinct lengths of the prefixes, longest first."""
        lengths = {len(queue.prefix) for queue in self.queues}
        return sorted(lengths, reverse=True)
