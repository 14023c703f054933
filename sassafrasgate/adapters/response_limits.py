"""Limits of what a process reads of the responses to its calls.

A body is counted as it arrives, whatever its head announces. The bodies that
a process reads at the same time share a budget: a body of more than one piece
reserves all that it may need before it is read on, so that calls with large
bodies wait for each other and small ones for none.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from anyio import Event

from sassafrasgate.adapters.call_errors import CutOffReason
from sassafrasgate.adapters.call_errors import ResponseCutOffError

if TYPE_CHECKING:
    from aiohttp import ClientResponse

MIB = 1024 * 1024
# Default for the bodies that a process reads at the same time. It holds the
# largest body of each kind more than once.
RESPONSE_BUDGET_BYTES = 32 * MIB
# Default for responses that hold a few fields.
SMALL_RESPONSE_BYTES = MIB // 16


HandleCutOff = Callable[[CutOffReason, ResponseCutOffError], None]


def ignore_cut_off(reason: CutOffReason, error: ResponseCutOffError) -> None:
    """Leave a response that was cut off to its caller."""


@dataclass(frozen=True, slots=True)
class _Waiting:
    bytes_needed: int
    granted: Event


class ResponseBudget:
    """The memory for all bodies that a process reads at the same time.

    Parameters
    ----------
    budget_bytes : int
        Total size of the reservations. A larger one is granted while there is
        no other.
    handle_cut_off : callable
        Called with the reason and the error of each response that is cut
        off.
    """

    def __init__(
        self,
        budget_bytes: int = RESPONSE_BUDGET_BYTES,
        handle_cut_off: HandleCutOff = ignore_cut_off,
    ) -> None:
        self.handle_cut_off = handle_cut_off
        self._budget_bytes = budget_bytes
        self._reserved_bytes = 0
        self._waiting: deque[_Waiting] = deque()

    @property
    def reserved_bytes(self) -> int:
        """Sum of the reservations."""
        return self._reserved_bytes

    def _fits(self, size: int) -> bool:
        total = self._reserved_bytes + size
        return not self._reserved_bytes or total <= self._budget_bytes

    async def reserve(self, size: int) -> None:
        """Reserve a number of bytes, in the order of the calls."""
        if not self._waiting and self._fits(size):
            self._reserved_bytes += size
            return
        waiting = _Waiting(size, Event())
        self._waiting.append(waiting)
        try:
            await waiting.granted.wait()
        except BaseException:
            if waiting.granted.is_set():
                self.release(size)
            else:
                self._waiting.remove(waiting)
                self._grant()
            raise

    def release(self, size: int) -> None:
        """Return a reservation."""
        self._reserved_bytes -= size
        self._grant()

    def _grant(self) -> None:
        while self._waiting and self._fits(self._waiting[0].bytes_needed):
            granted = self._waiting.popleft()
            self._reserved_bytes += granted.bytes_needed
            granted.granted.set()


async def read_body(
    response: ClientResponse, max_bytes: int, budget: ResponseBudget
) -> bytes:
    """Return the body of a response.

    Parameters
    ----------
    response : ClientResponse
        Response of which only the head has been read.
    max_bytes : int
        Maximum size of the body in bytes.
    budget : ResponseBudget
        Budget of the process.

    Raises
    ------
    ResponseCutOffError
        When the body is larger. The rest of it is not read.
    """
    announced = response.content_length
    if announced is not None and announced > max_bytes:
        raise ResponseCutOffError(
            CutOffReason.ANNOUNCED_SIZE,
            f'a body of {announced} bytes was announced, {max_bytes} are read',
        )
    first = await response.content.readany()
    if response.content.at_eof() and len(first) <= max_bytes:
        return first
    size = max_bytes if announced is None else announced
    await budget.reserve(size)
    try:
        return await _read_on(response, first, max_bytes)
    finally:
        budget.release(size)


async def _read_on(
    response: ClientResponse, first: bytes, max_bytes: int
) -> bytes:
    # One buffer, since a list of small pieces takes many times their size.
    body = bytearray(first)
    while len(body) <= max_bytes:
        piece = await response.content.readany()
        if not piece:
            return bytes(body)
        body += piece
    raise ResponseCutOffError(
        CutOffReason.SIZE,
        f'the body has not ended after {max_bytes} bytes, which is the limit',
    )
