"""Monotonic and wall clock of a process, in whole milliseconds."""

from __future__ import annotations

from time import CLOCK_BOOTTIME
from time import clock_gettime_ns
from time import time_ns

_NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return the time since boot in milliseconds.

    CLOCK_BOOTTIME is monotonic and, unlike `time.monotonic`, continues to
    run while the machine is suspended. Lease checks rely on both properties.
    """
    return clock_gettime_ns(CLOCK_BOOTTIME) // _NS_PER_MS


def wall_ms() -> int:
    """Return the milliseconds since the Unix epoch.

    The wall clock can be set forwards or backwards. Use it for display and
    retention only.
    """
    return time_ns() // _NS_PER_MS
