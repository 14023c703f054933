"""Addresses that consist of an IP number and a port."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address
from ipaddress import IPv4Address
from ipaddress import IPv6Address
import re

PORTS = range(1, 2**16)

_ADDRESS = re.compile(
    r'(?:\[(?P<v6>[^][]+)\]|(?P<v4>[^][:]+)):(?P<port>[1-9][0-9]{0,4})'
)


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP number and a port.

    Parameters
    ----------
    number : IPv4Address or IPv6Address
        The IP number.
    port : int
        The port, which may be out of range.
    """

    number: IPv4Address | IPv6Address
    port: int

    @property
    def has_valid_port(self) -> bool:
        """Whether the port is in `PORTS`."""
        return self.port in PORTS

    def __str__(self) -> str:
        if isinstance(self.number, IPv6Address):
            return f'[{self.number}]:{self.port}'
        return f'{self.number}:{self.port}'


def parse_address(text: str) -> SocketAddress | None:
    """Return the parts of an address; None if it has no IP number and port.

    Parameters
    ----------
    text : str
        IP number and port; an IPv6 number is written in brackets.

    Examples
    --------
    >>> str(parse_address('127.0.0.1:8080'))
    '127.0.0.1:8080'
    >>> parse_address('localhost:8080')
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        return None
    try:
        number = ip_address(match['v6'] or match['v4'])
    except ValueError:
        return None
    if isinstance(number, IPv6Address) != (match['v6'] is not None):
        return None
    return SocketAddress(number, int(match['port']))
