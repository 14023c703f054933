"""Limit for the large replies that one client of a link gets in a time.

The size of what waits in a socket for one client cannot be read from zmq. A
client that asks for more than it can read in that time gets no reply.
"""

from __future__ import annotations


class ReplyWindow:
    """Bytes that each client has been sent in its current window.

    Parameters
    ----------
    max_bytes : int
        Maximum number of bytes for one client in one window.
    window_ms : int
        Length of a window in milliseconds.
    """

    def __init__(self, max_bytes: int, window_ms: int) -> None:
        self._max_bytes = max_bytes
        self._window_ms = window_ms
        # Start of each client's window, and the bytes sent in it.
        self._windows: dict[bytes, tuple[int, int]] = {}

    def add(self, client: bytes, size: int, now: int) -> bool:
        """Return whether a reply may be sent, and count it if so.

        Parameters
        ----------
        size : int
            Size of the reply in bytes.
        now : int
            Steady clock in ms.
        """
        started, sent_bytes = self._windows.get(client, (now, 0))
        if now - started >= self._window_ms:
            started, sent_bytes = now, 0
        if sent_bytes + size > self._max_bytes:
            return False
        self._windows[client] = (started, sent_bytes + size)
        return True

    def forget(self, client: bytes) -> None:
        """Forget a client that has disconnected."""
        self._windows.pop(client, None)
