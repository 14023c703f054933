"""The operators' queues and pools, as frozen data."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property


@dataclass(frozen=True, slots=True)
class AdviceTerms:
    """What a call for advice costs, in ms.

    Parameters
    ----------
    decide_ms : float
        Time of each call.
    each_ms : float
        Time for each worker that the call names.
    valid_ms : float
        How long a ticket lasts.
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
        Unique in a table.
    host, prefix : str
        Host header and start of the path of its requests.
    pool : str
        Whose workers run its tasks.
    priority : int
        0 comes first and may preempt others.
    max_attempts : int
        Most failed runs of one task, or of one gang.
    stretch : float
        A job's objective in multiples of its longest chain of work.
    target_latency_ms : int
        Added to the objective.
    timeout_ms : int
        Longest time for the answer to one request.
    advice : AdviceTerms or None
        None when any worker of the pool may run its tasks.
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
    advice: AdviceTerms | None = None


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of workers that run the same service.

    Parameters
    ----------
    enforces_capacity : bool
        Whether its workers refuse what does not fit.
    spare : bool
        Whether its machines are off.
    """

    name: str
    enforces_capacity: bool = False
    spare: bool = False


# Without slots, so that its indexes can be kept.
@dataclass(frozen=True)
class RoutingTable:
    """One version of the queues and pools.

    Parameters
    ----------
    version : int
        Only increases; 0 for none yet.

    Notes
    -----
    A table may have more than a thousand queues, and each request and each
    waiting step looks one up.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    pools: tuple[Pool, ...] = ()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a request's path."""
        prefixes = self._by_host.get(host, {})
        for length in self._lengths:
            queue = prefixes.get(path[:length])
            if queue is not None:
                return queue
        return None

    def name_queue(self, name: str) -> Queue | None:
        """Return a queue by its name, or None."""
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
        """Lengths of prefixes, the longest first."""
        lengths = {len(queue.prefix) for queue in self.queues}
        return sorted(lengths, reverse=True)
