"""Addresses under which each entry host reaches other processes.

Each pair of processes has a proxy of its own, so that a process can be
reachable for one entry host and not for another. The store holds the real
addresses; an entry host sees those of its proxies.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class AddressMap:
    """Addresses of the proxies of all entry hosts.

    Parameters
    ----------
    paths : mapping of str to mapping of str to str
        Address of the proxy by the real address of its target, for each
        entry host. A host has no proxy before its own address.

    Raises
    ------
    ValueError
        When the addresses differ in length. Encoded texts are translated in
        place, so that their lengths must not change.
    """

    def __init__(self, paths: Mapping[str, Mapping[str, str]]) -> None:
        self._paths = {
            host: {
                real.encode(): proxied.encode()
                for real, proxied in by_target.items()
            }
            for host, by_target in paths.items()
        }
        self._targets: dict[bytes, bytes] = {}
        for by_real in self._paths.values():
            for real, proxied in by_real.items():
                self._targets[real] = real
                self._targets[proxied] = real
        if len({len(address) for address in self._targets}) > 1:
            raise ValueError(
                'the addresses differ in length; use ports of five digits'
            )
        self._pattern = re.compile(
            rb'(?<!\d)(?:%s)(?!\d)'
            % b'|'.join(re.escape(address) for address in self._targets)
        )

    def localize(self, host: str, data: bytes) -> bytes:
        """Replace all addresses by those that an entry host uses."""
        if not self._targets:
            return data
        path = self._paths.get(host, {})

        def replace(match: re.Match[bytes]) -> bytes:
            target = self._targets[match[0]]
            return path.get(target, target)

        return self._pattern.sub(replace, data)

    def restore(self, data: bytes) -> bytes:
        """Replace the addresses of proxies by those of their targets."""
        if not self._targets:
            return data
        return self._pattern.sub(lambda match: self._targets[match[0]], data)
