"""Listening sockets for HTTP."""

from __future__ import annotations

from ipaddress import ip_address
from socket import AF_INET
from socket import AF_INET6
from socket import SO_RCVBUF
from socket import SO_REUSEADDR
from socket import SO_SNDBUF
from socket import socket
from socket import SOL_SOCKET

from sassafrasgate.core.errors import SassafrasgateError

IPV6 = 6
BACKLOG = 1024
# Enough for large bodies from far away; Linux doubles each size.
BUFFER_BYTES = 64 * 1024
# Enough for the small requests and responses of many callers.
SMALL_BUFFER_BYTES = 16 * 1024


class AddressError(SassafrasgateError):
    """The process cannot listen on an address."""

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(
            f'cannot listen on {address!r}: {reason}; use an IP number and '
            'a free port, such as 127.0.0.1:8080'
        )


def open_listener(address: str, buffer_bytes: int = BUFFER_BYTES) -> socket:
    """Return a listening socket, which queues connections for the server.

    Parameters
    ----------
    address : str
        IP number and port; with port 0 the system chooses a free port.
    buffer_bytes : int
        Size of the kernel's receive buffer and send buffer of each
        connection, which bound what it holds for a client that sends or
        reads nothing further.

    Raises
    ------
    AddressError
        If the address is not an IP number with a port, or is in use.
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    try:
        version = ip_address(host).version
        listener = socket(AF_INET6 if version == IPV6 else AF_INET)
    except ValueError as error:
        raise AddressError(address, str(error)) from error
    try:
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, buffer_bytes)
        listener.setsockopt(SOL_SOCKET, SO_SNDBUF, buffer_bytes)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except (OSError, OverflowError, ValueError) as error:
        listener.close()
        raise AddressError(address, str(error)) from error
    return listener
