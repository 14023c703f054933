"""Hosts of a shard with what is reserved and free on each."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from types import MappingProxyType
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.errors import UnknownNameError
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.scores import weigh_amount

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sassafrasgate.core.hosts import Host

_ROUNDING = 1e-9
_NO_HOSTS: list[tuple[float, str]] = []
_NO_TASKS: Mapping[str, Resources] = MappingProxyType({})


class NoRoomError(SassafrasgateError):
    """A reservation would exceed what is free on a host."""

    def __init__(
        self, name: str, task: str, demand: Resources, free: Resources
    ) -> None:
        super().__init__(
            f'host {name!r} has {free!r} free, too little for {demand!r} of '
            f'task {task!r}; choose a host again with choose_hosts'
        )


class HostIndex:
    """Hosts with their reservations; the only place that counts them.

    A task counts from its reservation until its release, whether or not it
    is known to run. Hosts are open for new work or closed; closing a host
    keeps its reservations.

    Examples
    --------
    >>> from sassafrasgate.core.hosts import Host
    >>> from sassafrasgate.core.resources import Resources
    >>> index = HostIndex()
    >>> index.add_host(Host('h1', '', 'r1', 'd1', Resources(4000, 1024)))
    >>> index.reserve('h1', 'job.0.1', Resources(1000, 256))
    >>> index.find_free('h1').millicores
    3000
    """

    def __init__(self) -> None:
        self._hosts: dict[str, Host] = {}
        # Free amounts of open hosts are kept apart, since the scan for
        # candidates reads only these.
        self._open: dict[str, Resources] = {}
        self._closed: dict[str, Resources] = {}
        self._removed: dict[str, bool] = {}
        self._tasks: dict[str, dict[str, Resources]] = {}
        self._first: dict[tuple[str, str], Resources] = {}
        # Open hosts by failure domain, fullest first. Plain lists with
        # bisection: at a few hundred hosts, moving the tail of a list on
        # insertion costs less than a tree or nested lists.
        self._orders: dict[str, list[tuple[float, str]]] = {}
        self._total = NO_RESOURCES
        self._largest = NO_RESOURCES
        self._hosts_view = MappingProxyType(self._hosts)
        self._open_view = MappingProxyType(self._open)

    @property
    def hosts(self) -> Mapping[str, Host]:
        """Hosts by name, including closed ones."""
        return self._hosts_view

    @property
    def open_free(self) -> Mapping[str, Resources]:
        """Free amounts of the open hosts by name."""
        return self._open_view

    def add_host(self, host: Host) -> None:
        """Add a host, open unless drained, or replace its description.

        Reservations and openness of a host that is already known stay; a
        smaller capacity may leave a negative amount free.
        """
        name = host.name
        self._raise_largest(host.capacity)
        if name not in self._hosts:
            self._hosts[name] = host
            self._tasks[name] = {}
            self._closed[name] = host.capacity
            self.set_open(name, not host.drained)
            return
        # Closed while it changes, since it may move between domains.
        is_open = self._removed.pop(name, name in self._open)
        self._close(name)
        change = host.capacity - self._hosts[name].capacity
        self._hosts[name] = host
        self._change_free(name, change)
        self.set_open(name, is_open)

    def remove_host(self, name: str) -> None:
        """Close a host and forget it once its last task is released.

        Reservations outlive the inventory entry, because their tasks may
        still run when the host is added again.
        """
        self._check_known(name)
        if name in self._removed:
            return
        self._removed[name] = self.is_open(name)
        self._close(name)
        self._forget_if_empty(name)

    def set_open(self, name: str, is_open: bool) -> None:
        """Allow or stop new work on a host; reservations stay.

        A host that was removed from the inventory stays closed.
        """
        self._check_known(name)
        if name in self._removed:
            self._removed[name] = is_open
            return
        if not is_open:
            self._close(name)
            return
        if name in self._open:
            return
        free = self._closed.pop(name)
        self._open[name] = free
        insort(self._find_order(name), (self.weigh(free), name))
        self._total = self._total + free.take_maximum(NO_RESOURCES)

    def is_open(self, name: str) -> bool:
        """Tell whether a host gets new work."""
        self._check_known(name)
        return name in self._open

    def reserve(
        self,
        name: str,
        task: str,
        demand: Resources,
        force: bool = False,
    ) -> None:
        """Reserve an amount for a task; a repeat keeps the larger amount.

        Parameters
        ----------
        force : bool
            Reserve even beyond what is free, or on a closed host whose
            capacity is exceeded. Only for recovery, where the task may
            already run.

        Raises
        ------
        NoRoomError
            When the amount exceeds what is free and ``force`` is not set.
        UnknownNameError
            When the host is unknown.
        """
        self._check_known(name)
        held = self._tasks[name].get(task, NO_RESOURCES)
        self._set_reservation(name, task, held.take_maximum(demand), force)
        self._first.setdefault((name, task), demand)

    def resize(
        self,
        name: str,
        task: str,
        demand: Resources,
        force: bool = False,
    ) -> None:
        """Change a reservation, never below the task's first one.

        Raises
        ------
        NoRoomError
            When the growth exceeds what is free and ``force`` is not set.
        UnknownNameError
            When the host is unknown or holds no such task.
        """
        self._check_known(name)
        if task not in self._tasks[name]:
            raise UnknownNameError('task', task, tuple(self._tasks[name]))
        amount = demand.take_maximum(self._first[name, task])
        self._set_reservation(name, task, amount, force)

    def release(self, name: str, task: str) -> bool:
        """Free a task's reservation; False when there is none."""
        held = self._tasks.get(name, {}).pop(task, None)
        if held is None:
            return False
        del self._first[name, task]
        self._change_free(name, held)
        self._forget_if_empty(name)
        return True

    def find_free(self, name: str) -> Resources:
        """Return what is free on a host; negative after forced amounts."""
        self._check_known(name)
        free = self._open.get(name)
        return self._closed[name] if free is None else free

    def find_reserved(self, name: str) -> Resources:
        """Return the sum of a host's reservations."""
        return self._hosts_view[name].capacity - self.find_free(name)

    def tasks_on(self, name: str) -> Mapping[str, Resources]:
        """Return the reservations of a host by task; empty if unknown."""
        return MappingProxyType(self._tasks.get(name, _NO_TASKS))

    def find_tightest(
        self,
        domain: str,
        demand: Resources,
        is_usable: Callable[[str], bool] | None = None,
    ) -> tuple[float, str] | None:
        """Return the fullest open host of a domain with room for a demand.

        Parameters
        ----------
        domain : str
            Failure domain to look in.
        demand : Resources
            What must be free.
        is_usable : callable, optional
            Tells for a host name whether the host may be used.

        Returns
        -------
        tuple of float and str, or None
            The weight of what is free before, see `weigh`, and the host;
            of equal hosts the first by name.
        """
        entries = self._orders.get(domain, _NO_HOSTS)
        free = self._open
        for number in range(self._find_start(entries, demand), len(entries)):
            name = entries[number][1]
            if demand.fits_in(free[name]) and (
                is_usable is None or is_usable(name)
            ):
                return entries[number]
        return None

    def count_candidates(self, demand: Resources) -> int:
        """Return how many open hosts are not plainly too full."""
        return sum(
            len(entries) - self._find_start(entries, demand)
            for entries in self._orders.values()
        )

    def list_domains(self) -> list[str]:
        """Return the failure domains that have had open hosts."""
        return list(self._orders)

    def weigh(self, amount: Resources) -> float:
        """Return the mean share of the largest host that an amount takes.

        Linear in the amount, so that hosts sorted by the weight of what is
        free are also sorted by what would be left after any one demand.
        """
        return weigh_amount(amount, self._largest)

    def list_fitting(self, demand: Resources) -> list[str]:
        """Return the open hosts that have room for a demand."""
        return [
            name for name, free in self._open.items() if demand.fits_in(free)
        ]

    def total_free(self) -> Resources:
        """Return the sum of what is free on open hosts.

        A host with a negative amount free counts as having none.
        """
        return self._total

    def largest_free(self) -> Resources:
        """Return the most that is free of each resource on an open host.

        The amounts may come from different hosts, so a demand that does
        not fit in them fits on no host, but not the reverse.
        """
        largest = NO_RESOURCES
        for free in self._open.values():
            largest = largest.take_maximum(free)
        return largest

    def _check_known(self, name: str) -> None:
        if name not in self._hosts:
            raise UnknownNameError('host', name, tuple(sorted(self._hosts)))

    def _find_order(self, name: str) -> list[tuple[float, str]]:
        domain = self._hosts[name].failure_domain
        return self._orders.setdefault(domain, [])

    def _remove_from_order(self, name: str, free: Resources) -> None:
        entries = self._find_order(name)
        del entries[bisect_left(entries, (self.weigh(free), name))]

    def _find_start(
        self, entries: list[tuple[float, str]], demand: Resources
    ) -> int:
        # The margin covers rounding; a host before the start has less
        # free, all resources together, than the demand takes.
        return bisect_left(entries, (self.weigh(demand) - _ROUNDING, ''))

    def _raise_largest(self, capacity: Resources) -> None:
        """Sort all hosts again when the unit of their weights changes."""
        largest = self._largest.take_maximum(capacity)
        if largest == self._largest:
            return
        self._largest = largest
        self._orders = {}
        for name, free in self._open.items():
            self._find_order(name).append((self.weigh(free), name))
        for entries in self._orders.values():
            entries.sort()

    def _close(self, name: str) -> None:
        free = self._open.pop(name, None)
        if free is None:
            return
        self._closed[name] = free
        self._remove_from_order(name, free)
        self._total = self._total - free.take_maximum(NO_RESOURCES)

    def _set_reservation(
        self, name: str, task: str, amount: Resources, force: bool
    ) -> None:
        tasks = self._tasks[name]
        held = tasks.get(task, NO_RESOURCES)
        growth = amount - held
        free = self.find_free(name)
        # Only resources that grow need room: a host whose other resources
        # are over-reserved by recovery may still shrink or move in these.
        if not force and not growth.fits_in(free.take_maximum(NO_RESOURCES)):
            raise NoRoomError(name, task, growth, free)
        tasks[task] = amount
        self._change_free(name, NO_RESOURCES - growth)

    def _change_free(self, name: str, change: Resources) -> None:
        free = self._open.get(name)
        if free is None:
            self._closed[name] = self._closed[name] + change
            return
        changed = free + change
        self._open[name] = changed
        self._remove_from_order(name, free)
        insort(self._find_order(name), (self.weigh(changed), name))
        if NO_RESOURCES.fits_in(free) and NO_RESOURCES.fits_in(changed):
            self._total = self._total + change
            return
        self._total = (
            self._total
            + changed.take_maximum(NO_RESOURCES)
            - free.take_maximum(NO_RESOURCES)
        )

    def _forget_if_empty(self, name: str) -> None:
        if name not in self._removed or self._tasks[name]:
            return
        del self._removed[name]
        del self._tasks[name]
        del self._closed[name]
        del self._hosts[name]
