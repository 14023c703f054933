"""Addresses of a cell's processes and the proxies between pairs of them."""

from __future__ import annotations

from functools import partial
from json import dumps
from typing import TYPE_CHECKING

from tests.processes import find_free_address
from tests.soak.proxies import Proxy
from tests.soak.proxies import ProxyGroup
from tests.standins.addresses import AddressMap

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup

# Texts are translated in place, so all addresses have the same length.
MIN_PORT = 10_000


def _find_address() -> str:
    while True:
        address = find_free_address()
        if int(address.rpartition(':')[2]) >= MIN_PORT:
            return address


def _make_proxy(target: str) -> Proxy:
    proxy = Proxy(target)
    proxy.address = _find_address()
    return proxy


class Topology:
    """Proxies between each entry host and every process that it calls.

    Parameters
    ----------
    entries, workers : list of str
        Names of the entry hosts and ids of the workers.

    Attributes
    ----------
    worker_addresses, link_addresses : dict of str to str
        Real addresses of the workers, and of the entry hosts' links.
    to_workers, links : dict of (str, str) to Proxy
        Proxy for each pair of an entry host and the worker or the other
        entry host that it calls.
    to_store : dict of str to Proxy
        Proxy between each entry host and the store.
    """

    def __init__(self, entries: list[str], workers: list[str]) -> None:
        self.worker_addresses = {name: _find_address() for name in workers}
        self.link_addresses = {name: _find_address() for name in entries}
        self._view_addresses = {name: _find_address() for name in entries}
        self.to_workers = {
            (entry, name): _make_proxy(address)
            for entry in entries
            for name, address in self.worker_addresses.items()
        }
        self.links = {
            (entry, name): _make_proxy(address)
            for entry in entries
            for name, address in self.link_addresses.items()
            if name != entry
        }
        self.to_store = {
            name: _make_proxy(address)
            for name, address in self._view_addresses.items()
        }
        self._translate_links()

    def _list_paths(self) -> dict[str, dict[str, str]]:
        paths: dict[str, dict[str, str]] = {
            name: {} for name in self.link_addresses
        }
        for (entry, name), proxy in self.to_workers.items():
            paths[entry][self.worker_addresses[name]] = proxy.address
        for (entry, name), proxy in self.links.items():
            paths[entry][self.link_addresses[name]] = proxy.address
        return paths

    def _translate_links(self) -> None:
        """Let hosts that tell each other addresses keep their own proxies."""
        addresses = AddressMap(self._list_paths())
        for (entry, name), proxy in self.links.items():
            proxy.translate_to_target = partial(addresses.localize, name)
            proxy.translate_from_target = partial(addresses.localize, entry)

    def write_views(self, path: Path) -> None:
        """Write the file that the stand-in for the store reads."""
        document = {
            'views': self._view_addresses,
            'paths': self._list_paths(),
        }
        path.write_text(dumps(document))

    async def run(self, group: TaskGroup) -> None:
        """Start all proxies in a task group."""
        for proxies in (self.to_workers, self.links, self.to_store):
            for proxy in proxies.values():
                await group.start(proxy.run)

    def group_by_worker(self) -> dict[str, ProxyGroup]:
        """Return the proxies before each worker."""
        return {
            name: ProxyGroup(
                [
                    proxy
                    for (_, target), proxy in self.to_workers.items()
                    if target == name
                ]
            )
            for name in self.worker_addresses
        }

    def list_links_of(self, entry: str) -> list[Proxy]:
        """Return the proxies of all links to and from an entry host."""
        return [proxy for pair, proxy in self.links.items() if entry in pair]
