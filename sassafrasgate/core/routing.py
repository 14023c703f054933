"""Queues and pools as configured by the operators."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from sassafrasgate.core.caller_limits import CallerLimits
from sassafrasgate.core.caller_limits import DEFAULT_LIMITS


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
