"""Time limits that tell a silent peer from an event loop that is late."""

from __future__ import annotations

from asyncio import get_running_loop
from asyncio import TimerHandle
from typing import Self
from typing import TYPE_CHECKING

from anyio import CancelScope

if TYPE_CHECKING:
    from types import TracebackType

# A timer that fires later than this shows that the event loop stood still, so
# that a reply which has arrived may not have been read.
LATE_TIMER_S = 0.02
# An extension is this multiple of the delay of the timer, since the loop needs
# more than one iteration to read a reply.
EXTENSION_FACTOR = 2.0
MIN_EXTENSION_S = 0.05
# The end of a pause of the process leaves no queue behind.
MAX_EXTENSION_S = 0.5
MAX_EXTENSIONS = 3


class TimeLimit:
    """Context manager that ends its body after a time.

    The time is extended, within bounds, while the event loop is late.

    Parameters
    ----------
    timeout_s : float
        Time in seconds.

    Raises
    ------
    TimeoutError
        When the body was ended.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._scope = CancelScope()
        self._due = 0.0
        self._extensions = 0
        self._timer: TimerHandle | None = None

    def __enter__(self) -> Self:
        self._scope.__enter__()
        self._set_timer(self._timeout_s)
        return self

    def _set_timer(self, delay_s: float) -> None:
        loop = get_running_loop()
        self._due = loop.time() + delay_s
        self._timer = loop.call_at(self._due, self._expire)

    def _expire(self) -> None:
        late_s = get_running_loop().time() - self._due
        if late_s < LATE_TIMER_S or self._extensions == MAX_EXTENSIONS:
            self._scope.cancel()
            return
        self._extensions += 1
        extension_s = max(MIN_EXTENSION_S, late_s * EXTENSION_FACTOR)
        self._set_timer(min(extension_s, MAX_EXTENSION_S))

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._scope.__exit__(kind, error, traceback)
        if self._scope.cancelled_caught:
            raise TimeoutError(f'no result within {self._timeout_s:g} s')
