"""Tests the clocks.

Lease checks would accept an expired lease if the clock stopped while the
machine is suspended.
"""

from time import CLOCK_BOOTTIME
from time import clock_gettime_ns
from time import time_ns

from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.clocks import wall_ms


def test_now_is_read_from_the_clock_that_counts_suspended_time():
    before = clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000
    now = now_ms()
    assert before <= now <= clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000


def test_wall_clock_is_in_milliseconds():
    before = time_ns() // 1_000_000
    assert before <= wall_ms()
