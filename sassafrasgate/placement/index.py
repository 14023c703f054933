"""Hosts of a shard, with the reserved and free resources of each."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from types import MappingProxyType
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.errors import UnknownNameError
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.scores import compute_mean_share

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sassafrasgate.core.hosts import Host

_ROUNDING_MARGIN = 1e-9
_NO_HOSTS: list[tuple[float, str]] = []
_NO_RESERVATIONS: Mapping[str, Resources] = MappingProxyType({})


class NoRoomError(SassafrasgateError):
    """A reservation exceeds the free resources of a host."""

    def __init__(
        self, name: str, task: str, demand: Resources, free: Resources
    ) -> None:
        super().__init__(
            f'host {name!r} has {free!r} free, less than the {demand!r} '
            f'needed by task {task!r}; choose a host again with choose_hosts'
        )


class HostIndex:
    """Hosts with their reservations, indexed for best-fit searches.

    All reservations of a shard are accounted here. A task is counted from
    its reservation until its release, even if it isn't confirmed to be
    running. A host is either open, so that it accepts new tasks, or closed;
    closing a host keeps its reservations.

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
        # Free resources by host; those of open hosts are stored separately,
        # since the search for candidates reads only these.
        self._open_free: dict[str, Resources] = {}
        self._closed_free: dict[str, Resources] = {}
        # Hosts removed from the inventory, and whether each is to be open
        # when it is added again.
        self._removed: dict[str, bool] = {}
        self._tasks: dict[str, dict[str, Resources]] = {}
        self._initial: dict[tuple[str, str], Resources] = {}
        # Open hosts by failure domain, sorted from fullest to emptiest.
        # With a few hundred hosts, bisection in a plain list is faster than
        # a tree or nested lists, although an insertion moves the tail.
        self._sorted_hosts: dict[str, list[tuple[float, str]]] = {}
        self._total_free = NO_RESOURCES
        self._largest_capacity = NO_RESOURCES
        self._hosts_view = MappingProxyType(self._hosts)
        self._open_view = MappingProxyType(self._open_free)

    @property
    def hosts(self) -> Mapping[str, Host]:
        """All hosts by name, including closed ones."""
        return self._hosts_view

    @property
    def free_on_open_hosts(self) -> Mapping[str, Resources]:
        """Free resources of the open hosts by name."""
        return self._open_view

    def add_host(self, host: Host) -> None:
        """Add a host or replace its description.

        A new host is open unless it is drained. A host that is already in
        the index keeps its reservations and stays open or closed; if its
        capacity shrinks, its free resources may become negative.
        """
        name = host.name
        self._update_largest_capacity(host.capacity)
        if name not in self._hosts:
            self._hosts[name] = host
            self._tasks[name] = {}
            self._closed_free[name] = host.capacity
            self.set_open(name, not host.drained)
            return
        # Close the host during the change, since it may move to another
        # failure domain.
        is_open = self._removed.pop(name, name in self._open_free)
        self._close(name)
        change = host.capacity - self._hosts[name].capacity
        self._hosts[name] = host
        self._change_free(name, change)
        self.set_open(name, is_open)

    def remove_host(self, name: str) -> None:
        """Close a host, and delete it once its last task is released.

        Reservations are kept until then, since their tasks may still be
        running when the host is added again.
        """
        self._check_known(name)
        if name in self._removed:
            return
        self._removed[name] = self.is_open(name)
        self._close(name)
        self._delete_if_unused(name)

    def set_open(self, name: str, is_open: bool) -> None:
        """Open or close a host for new tasks; its reservations are kept.

        A removed host stays closed; the value applies if it is added again.
        """
        self._check_known(name)
        if name in self._removed:
            self._removed[name] = is_open
            return
        if not is_open:
            self._close(name)
            return
        if name in self._open_free:
            return
        free = self._closed_free.pop(name)
        self._open_free[name] = free
        insort(
            self._get_sorted_hosts(name), (self.compute_mean_share(free), name)
        )
        self._total_free = self._total_free + free.take_maximum(NO_RESOURCES)

    def is_open(self, name: str) -> bool:
        """Return whether a host accepts new tasks."""
        self._check_known(name)
        return name in self._open_free

    def reserve(
        self,
        name: str,
        task: str,
        demand: Resources,
        force: bool = False,
    ) -> None:
        """Reserve resources for a task.

        For a task that already holds a reservation, the larger amount of
        each resource applies.


        Parameters
        ----------
        force : bool
            Reserve even if the free resources do not suffice. Only for
            recovery, where the task may already be running.

        Raises
        ------
        NoRoomError
            When the free resources do not suffice and ``force`` is not
            set.
        UnknownNameError
            When the host is unknown.
        """
        self._check_known(name)
        held = self._tasks[name].get(task, NO_RESOURCES)
        self._set_reservation(name, task, held.take_maximum(demand), force)
        self._initial.setdefault((name, task), demand)

    def resize(
        self,
        name: str,
        task: str,
        demand: Resources,
        force: bool = False,
    ) -> None:
        """Change a reservation, at least to the task's initial one.

        Raises
        ------
        NoRoomError
            When the free resources do not suffice for the increase and
            ``force`` is not set.
        UnknownNameError
            When the host is unknown or the task has no reservation there.
        """
        self._check_known(name)
        if task not in self._tasks[name]:
            raise UnknownNameError('task', task, tuple(self._tasks[name]))
        amount = demand.take_maximum(self._initial[name, task])
        self._set_reservation(name, task, amount, force)

    def release(self, name: str, task: str) -> bool:
        """Release the reservation of a task; False if it has none."""
        held = self._tasks.get(name, {}).pop(task, None)
        if held is None:
            return False
        del self._initial[name, task]
        self._change_free(name, held)
        self._delete_if_unused(name)
        return True

    def find_free(self, name: str) -> Resources:
        """Return a host's free resources; negative if overcommitted."""
        self._check_known(name)
        free = self._open_free.get(name)
        return self._closed_free[name] if free is None else free

    def find_reserved(self, name: str) -> Resources:
        """Return the sum of a host's reservations."""
        return self._hosts_view[name].capacity - self.find_free(name)

    def list_reservations(self, name: str) -> Mapping[str, Resources]:
        """Return a host's reservations by task; empty for an unknown host."""
        return MappingProxyType(self._tasks.get(name, _NO_RESERVATIONS))

    def find_best_fit(
        self,
        domain: str,
        demand: Resources,
        is_usable: Callable[[str], bool] | None = None,
    ) -> tuple[float, str] | None:
        """Return the fullest open host of a domain where a demand fits.

        Parameters
        ----------
        domain : str
            Failure domain to search.
        demand : Resources
            Resources that the host must have free.
        is_usable : callable, optional
            Predicate that tells for a host name whether it may be used.

        Returns
        -------
        tuple of float and str, or None
            Mean share of the host's free resources, see
            `compute_mean_share`, and the name of the host. Of equally full
            hosts, the first by name is returned.
        """
        entries = self._sorted_hosts.get(domain, _NO_HOSTS)
        free = self._open_free
        for position in range(
            self._find_first_candidate(entries, demand), len(entries)
        ):
            name = entries[position][1]
            if demand.fits_in(free[name]) and (
                is_usable is None or is_usable(name)
            ):
                return entries[position]
        return None

    def count_candidates(self, demand: Resources) -> int:
        """Return how many open hosts have a large enough mean free share."""
        return sum(
            len(entries) - self._find_first_candidate(entries, demand)
            for entries in self._sorted_hosts.values()
        )

    def list_domains(self) -> list[str]:
        """Return the failure domains that have or had open hosts."""
        return list(self._sorted_hosts)

    def compute_mean_share(self, amount: Resources) -> float:
        """Return the mean share that an amount takes of the largest capacity.

        The result is linear in the amount. Hosts sorted by the share of
        their free resources are therefore also sorted by the share that
        would remain after placing any given demand.
        """
        return compute_mean_share(amount, self._largest_capacity)

    def list_fitting(self, demand: Resources) -> list[str]:
        """Return the names of the open hosts where a demand fits."""
        return [
            name
            for name, free in self._open_free.items()
            if demand.fits_in(free)
        ]

    def sum_free(self) -> Resources:
        """Return the sum of the free resources of the open hosts.

        Negative free resources of an overcommitted host count as zero.
        """
        return self._total_free

    def find_largest_free(self) -> Resources:
        """Return the largest free amount of each resource on an open host.

        The amounts may belong to different hosts: a demand that exceeds
        them fits on no host, but one within them may fit on no host either.
        """
        largest = NO_RESOURCES
        for free in self._open_free.values():
            largest = largest.take_maximum(free)
        return largest

    def _check_known(self, name: str) -> None:
        if name not in self._hosts:
            raise UnknownNameError('host', name, tuple(sorted(self._hosts)))

    def _get_sorted_hosts(self, name: str) -> list[tuple[float, str]]:
        domain = self._hosts[name].failure_domain
        return self._sorted_hosts.setdefault(domain, [])

    def _remove_sorted(self, name: str, free: Resources) -> None:
        entries = self._get_sorted_hosts(name)
        del entries[
            bisect_left(entries, (self.compute_mean_share(free), name))
        ]

    def _find_first_candidate(
        self, entries: list[tuple[float, str]], demand: Resources
    ) -> int:
        # Hosts before this position have a smaller mean free share than the
        # demand takes, so it cannot fit there. The margin covers rounding.
        return bisect_left(
            entries, (self.compute_mean_share(demand) - _ROUNDING_MARGIN, '')
        )

    def _update_largest_capacity(self, capacity: Resources) -> None:
        """Sort all hosts again if the largest capacity grows."""
        largest = self._largest_capacity.take_maximum(capacity)
        if largest == self._largest_capacity:
            return
        self._largest_capacity = largest
        self._sorted_hosts = {}
        for name, free in self._open_free.items():
            self._get_sorted_hosts(name).append(
                (self.compute_mean_share(free), name)
            )
        for entries in self._sorted_hosts.values():
            entries.sort()

    def _close(self, name: str) -> None:
        free = self._open_free.pop(name, None)
        if free is None:
            return
        self._closed_free[name] = free
        self._remove_sorted(name, free)
        self._total_free = self._total_free - free.take_maximum(NO_RESOURCES)

    def _set_reservation(
        self, name: str, task: str, amount: Resources, force: bool
    ) -> None:
        tasks = self._tasks[name]
        held = tasks.get(task, NO_RESOURCES)
        increase = amount - held
        free = self.find_free(name)
        # Only resources that increase need free capacity, so reservations can
        # change even if recovery has overcommitted other resources.
        if not force and not increase.fits_in(free.take_maximum(NO_RESOURCES)):
            raise NoRoomError(name, task, increase, free)
        tasks[task] = amount
        self._change_free(name, NO_RESOURCES - increase)

    def _change_free(self, name: str, change: Resources) -> None:
        free = self._open_free.get(name)
        if free is None:
            self._closed_free[name] = self._closed_free[name] + change
            return
        changed = free + change
        self._open_free[name] = changed
        self._remove_sorted(name, free)
        insort(
            self._get_sorted_hosts(name),
            (self.compute_mean_share(changed), name),
        )
        if NO_RESOURCES.fits_in(free) and NO_RESOURCES.fits_in(changed):
            self._total_free = self._total_free + change
            return
        self._total_free = (
            self._total_free
            + changed.take_maximum(NO_RESOURCES)
            - free.take_maximum(NO_RESOURCES)
        )

    def _delete_if_unused(self, name: str) -> None:
        if name not in self._removed or self._tasks[name]:
            return
        del self._removed[name]
        del self._tasks[name]
        del self._closed_free[name]
        del self._hosts[name]
