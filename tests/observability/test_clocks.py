"""Guards lease checks against a clock that stops with the machine."""

from time import CLOCK_BOOTTIME
from time import clock_gettime_ns
from time import time_ns

from sassafrasgate.observability.clocks import now_ms
from sassafrasgate.observability.clocks import wall_ms


def test_now_is_between_two_readings_of_the_suspend_counting_clock():
    before = clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000
    now = now_ms()
    assert before <= now <= clock_gettime_ns(CLOCK_BOOTTIME) // 1_000_000


def test_wall_clock_is_in_milliseconds():
    before = time_ns() // 1_000_000
    assert before <= wall_ms()
