"""Decisions about connections and the bytes that they hold.

They bound memory and descriptors when clients open many connections, send
large bodies at the same time, or never complete a request. Nothing here knows
sockets; `sassafrasgate.http.connections` carries the decisions out.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from sassafrasgate.http.limits import KIB

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

MIB = 1024 * KIB

# Memory that the process needs besides callers' connections and bodies.
PROCESS_BYTES = 72 * MIB
MIN_BUDGET_BYTES = 4 * MIB
# Part of the remaining memory that connections and bodies may use; the rest
# is for the jobs and workers of an owner.
MEMORY_SHARE = 0.4
# Part of the budget that connections without requests may use.
CONNECTIONS_SHARE = 2 / 3
# Part of the budget that large requests may use; the rest is for small ones.
LARGE_SHARE = 3 / 4
# A request that holds no more counts as small.
SMALL_BYTES = 16 * KIB
# Objects of an open connection, in this process and in the kernel.
CONNECTION_BYTES = 12 * KIB
# A body is held in pieces and decoded before the pieces are released.
BODY_COPIES = 2
# Descriptors that the process needs for files.
FILE_DESCRIPTORS = 200
# Part of the other descriptors that callers' connections may use; the rest is
# for workers, the store and other entry hosts.
DESCRIPTORS_SHARE = 0.6
MIN_CONNECTIONS = 16
# Once the budget is exceeded, connections are closed until this part of it is
# in use, so that not each further byte needs a decision.
EVICTION_TARGET = 7 / 8
EVICTED_CONNECTIONS_SHARE = 1 / 64


class ConnectionState(StrEnum):
    """What a connection waits for.

    `SERVED` means that the whole request has arrived or that the application
    decides how to read it, so it may have had an effect.
    """

    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    SERVED = 'served'
    UNREAD = 'unread'
    CLOSING = 'closing'


@dataclass(frozen=True, slots=True)
class AdmissionBudget:
    """What callers may use of the memory and descriptors of a process.

    Parameters
    ----------
    max_bytes : int
        Memory of all connections with what they hold.
    max_connections : int
        Number of open connections.
    """

    max_bytes: int
    max_connections: int

    @property
    def max_large_bytes(self) -> int:
        """Memory that the parts of requests over `SMALL_BYTES` may use."""
        return int(self.max_bytes * LARGE_SHARE)

    @property
    def max_body_bytes(self) -> int:
        """Memory for bodies that an application buffers itself."""
        return self.max_large_bytes // BODY_COPIES


def compute_budget(memory_mb: float, max_descriptors: int) -> AdmissionBudget:
    """Return the budget of a process on a machine.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in MiB.
    max_descriptors : int
        Number of descriptors that the process may have open.
    """
    free_bytes = memory_mb * MIB - PROCESS_BYTES
    max_bytes = max(MIN_BUDGET_BYTES, int(free_bytes * MEMORY_SHARE))
    by_memory = int(max_bytes * CONNECTIONS_SHARE / CONNECTION_BYTES)
    sockets = max_descriptors - FILE_DESCRIPTORS
    by_descriptors = int(sockets * DESCRIPTORS_SHARE)
    return AdmissionBudget(
        max_bytes, max(MIN_CONNECTIONS, min(by_memory, by_descriptors))
    )


# For probes of readiness and metrics, which have listeners of their own.
PROBE_BUDGET = AdmissionBudget(1 * MIB, 32)


@dataclass(slots=True, eq=False)
class ConnectionUsage:
    """What one connection holds; owned by its `AdmissionControl`.

    Parameters
    ----------
    since_ms : int
        Service time at which the state began.
    state : ConnectionState
        What the connection waits for.
    held_bytes : int
        Bytes that it holds beyond `CONNECTION_BYTES`.
    body_bytes : int
        Bytes of the body that have arrived.
    is_paused : bool
        Whether the client has sent so much ahead that it is not read.
    """

    since_ms: int
    state: ConnectionState = ConnectionState.SERVED
    held_bytes: int = 0
    body_bytes: int = 0
    is_paused: bool = False

    @property
    def is_evictable(self) -> bool:
        """Whether the client keeps the process waiting or sends ahead."""
        return self.state is not ConnectionState.SERVED or self.is_paused

    @property
    def large_bytes(self) -> int:
        """Bytes that it holds beyond those of a small request."""
        return max(0, self.held_bytes - SMALL_BYTES)


class ServiceClock:
    """Time during which the process was able to serve, in milliseconds.

    A client is not late while the process is suspended or its event loop is
    busy, since what the client sent waits unread.

    Parameters
    ----------
    now_ms : callable
        Returns a monotonic time.
    max_step_ms : int
        Longest time between two readings that counts in full.
    """

    def __init__(self, now_ms: Callable[[], int], max_step_ms: int) -> None:
        self._now_ms = now_ms
        self._max_step_ms = max_step_ms
        self._last_ms = now_ms()
        self._service_ms = 0

    def read(self) -> int:
        """Return the service time."""
        now_ms = self._now_ms()
        step_ms = min(now_ms - self._last_ms, self._max_step_ms)
        self._service_ms += step_ms
        self._last_ms = now_ms
        return self._service_ms


class AdmissionControl:
    """Decides which connections of a process may stay open.

    Those that hold most for longest without finishing are closed first. A
    request that is being served is chosen only if its client sends so much
    ahead that its connection is not read; it is served to its end.

    Parameters
    ----------
    budget : AdmissionBudget
        What all connections together may use.
    clock : ServiceClock
        Time in which the states of connections are measured.
    """

    def __init__(self, budget: AdmissionBudget, clock: ServiceClock) -> None:
        self.budget = budget
        self._clock = clock
        self._usages: set[ConnectionUsage] = set()
        # Their requests are still served, but their clients have left.
        self._detached: set[ConnectionUsage] = set()
        self.used_bytes = 0
        self.large_bytes = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._usages)

    @property
    def is_over_budget(self) -> bool:
        """Whether connections have to be closed."""
        return (
            self.used_bytes > self.budget.max_bytes
            or self.large_bytes > self.budget.max_large_bytes
        )

    def open(self) -> ConnectionUsage:
        """Count a new connection, which is not evictable yet."""
        usage = ConnectionUsage(self._clock.read())
        self._usages.add(usage)
        self.used_bytes += CONNECTION_BYTES
        return usage

    def disconnect(self, usage: ConnectionUsage) -> None:
        """Stop counting a connection whose socket is closed.

        What it holds counts until `close`.
        """
        if usage not in self._usages:
            return
        self._usages.remove(usage)
        self._detached.add(usage)
        self.used_bytes -= CONNECTION_BYTES

    def close(self, usage: ConnectionUsage) -> None:
        """Stop counting what a connection held."""
        self.disconnect(usage)
        self._detached.remove(usage)
        self.hold(usage, -usage.held_bytes)

    def hold(self, usage: ConnectionUsage, amount: int) -> None:
        """Change the number of bytes that a connection holds."""
        large_bytes = usage.large_bytes
        usage.held_bytes += amount
        self.used_bytes += amount
        self.large_bytes += usage.large_bytes - large_bytes

    def enter(self, usage: ConnectionUsage, state: ConnectionState) -> None:
        """Change what a connection waits for."""
        usage.state = state
        usage.since_ms = self._clock.read()

    def make_room(self) -> list[ConnectionUsage] | None:
        """Return the connections to close for a new one; None to refuse it."""
        excess = self.connections + 1 - self.budget.max_connections
        if len(self._detached) >= self.budget.max_connections:
            return None
        if excess <= 0:
            return []
        batch = int(self.budget.max_connections * EVICTED_CONNECTIONS_SHARE)
        victims = self._rank(self._usages)[: max(excess, batch)]
        return victims if len(victims) >= excess else None

    def find_excess(self) -> list[ConnectionUsage]:
        """Return the connections to close so that the budget holds."""
        budget = self.budget
        victims: list[ConnectionUsage] = []
        if self.large_bytes > budget.max_large_bytes:
            goal = self.large_bytes - budget.max_large_bytes * EVICTION_TARGET
            large = (usage for usage in self._usages if usage.large_bytes)
            victims = _take(
                self._rank(large), goal, lambda usage: usage.large_bytes
            )
        freed = sum(_cost(usage) for usage in victims)
        if self.used_bytes - freed <= budget.max_bytes:
            return victims
        goal = self.used_bytes - freed - budget.max_bytes * EVICTION_TARGET
        others = self._rank(self._usages - set(victims))
        return victims + _take(others, goal, _cost)

    def _rank(
        self, usages: Iterable[ConnectionUsage]
    ) -> list[ConnectionUsage]:
        """Sort evictable connections, those that hold most longest first."""
        now_ms = self._clock.read()

        def weigh(usage: ConnectionUsage) -> int:
            return _cost(usage) * (now_ms - usage.since_ms + 1)

        found = (usage for usage in usages if usage.is_evictable)
        return sorted(found, key=weigh, reverse=True)


def _cost(usage: ConnectionUsage) -> int:
    return CONNECTION_BYTES + usage.held_bytes


def _take(
    ranked: list[ConnectionUsage],
    goal: float,
    measure: Callable[[ConnectionUsage], int],
) -> list[ConnectionUsage]:
    """Return the first connections that together reach a number of bytes."""
    taken = []
    for usage in ranked:
        if goal <= 0:
            break
        taken.append(usage)
        goal -= measure(usage)
    return taken
