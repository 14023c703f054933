"""Data of the accounts of tenants, beside the sums of their runs."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator


@dataclass(frozen=True, slots=True)
class CapOutlook:
    """What runs of a tenant are expected to release soon.

    Parameters
    ----------
    at : int
        Owner's clock, in ms, when this was computed.
    released : Resources
        What the runs are charged for that end within the horizon of
        `sassafrasgate.dispatch.caps`.
    """

    at: int
    released: Resources


@dataclass(frozen=True, slots=True)
class CappedPeriod:
    """Period in which steps of a tenant wait because of its cap.

    Parameters
    ----------
    since : int
        Owner's clock, in ms, when a step first lacked room.
    seen_at : int
        Owner's clock, in ms, when a step last lacked room.
    """

    since: int
    seen_at: int


@dataclass(slots=True)
class PassCaps:
    """What a scheduling pass has found about caps.

    Parameters
    ----------
    unseen : dict or None
        What `compute_unseen_usage` returns; None before the first use.
    promised : dict
        Demand of tasks whose step waits for advice, by tenant.
    exhausted : dict
        Resources that later steps of a tenant may not use in this pass.
    rejected_millicores : dict
        The smallest task of each tenant that lacked room, in millicores.
    reached : set of str
        Tenants of which a step lacked room.
    """

    unseen: dict[str, Resources] | None = None
    promised: dict[str, Resources] = field(default_factory=dict)
    exhausted: dict[str, frozenset[str]] = field(default_factory=dict)
    rejected_millicores: dict[str, int] = field(default_factory=dict)
    reached: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PriorUsage:
    """What tasks that may run unseen are charged for.

    Parameters
    ----------
    reserved : Resources
        The part that owners reserve on workers, whose sum on a worker is at
        most its capacity.
    unreserved : Resources
        The rest, such as the processor time of best-effort tasks.
    """

    reserved: Resources = NO_RESOURCES
    unreserved: Resources = NO_RESOURCES

    @property
    def charged(self) -> Resources:
        """The sum of both parts."""
        return self.reserved + self.unreserved

    def __add__(self, other: PriorUsage) -> PriorUsage:
        return PriorUsage(
            self.reserved + other.reserved, self.unreserved + other.unreserved
        )

    def scale(self, count: int) -> PriorUsage:
        """Return ``count`` times this usage."""
        return PriorUsage(
            self.reserved.scale(count), self.unreserved.scale(count)
        )

    def __sub__(self, other: PriorUsage) -> PriorUsage:
        return PriorUsage(
            self.reserved - other.reserved, self.unreserved - other.unreserved
        )


NO_USAGE = PriorUsage()


class PriorRuns:
    """Tasks that may run unseen, with their sums by tenant.

    A job whose definition is gone has one entry under its own id.
    """

    def __init__(self) -> None:
        self._usages: dict[str, tuple[str, PriorUsage]] = {}
        self._totals: dict[str, PriorUsage] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._usages

    def add(self, names: list[str], tenant: str, usage: PriorUsage) -> None:
        """Add tasks with the same demand, or a job, that may run unseen."""
        self._usages.update(dict.fromkeys(names, (tenant, usage)))
        total = self._totals.get(tenant, NO_USAGE)
        self._totals[tenant] = total + usage.scale(len(names))

    def settle(self, name: str) -> None:
        """Remove a task that has been seen, or certainly runs nowhere."""
        tenant, usage = self._usages.pop(name, ('', NO_USAGE))
        if usage is not NO_USAGE:
            self._totals[tenant] = self._totals[tenant] - usage

    def clear(self) -> None:
        """Remove all tasks, since none can run unseen any more."""
        self._usages.clear()
        self._totals.clear()

    def list_totals(self) -> Iterator[tuple[str, PriorUsage]]:
        """Yield each tenant with the sum over its tasks."""
        yield from self._totals.items()

    def list_by_job(self) -> Iterator[tuple[str, Resources]]:
        """Yield the job of each entry, and what the entry is charged for."""
        for name, (_, usage) in self._usages.items():
            yield name.split('.', 1)[0], usage.charged
