"""Clocks of a process, in whole milliseconds."""

from __future__ import annotations

from time import CLOCK_BOOTTIME
from time import clock_gettime_ns
from time import time_ns

_NS_PER_MS = 1_000_000


def now_ms() -> int:
    """Return the time since boot in milliseconds.

    CLOCK_BOOTTIME never steps and, unlike `time.monotonic`, goes on while
    the machine is suspended. Lease checks rely on this.
    """
    return clock_gettime_ns(CLOCK_BOOTTIME) // _NS_PER_MS


def wall_ms() -> int:
    """Return the milliseconds since the Unix epoch.

    The wall clock can step. Use it for display and retention only.
    """
    return time_ns() // _NS_PER_MS
