"""Tests that a crowd of failing requests does not flood the log."""

from sassafrasgate.observability.line_limits import LineLimiter


def test_lines_of_a_kind_are_limited():
    """Guards against a log that costs more than the requests in it."""
    times = [0]
    limiter = LineLimiter(lambda: times[0], max_lines=2)
    assert [limiter.count('a') for _ in range(5)] == [0, 0, None, None, None]
    assert limiter.count('b') == 0
    times[0] = 1_000
    assert [limiter.count('a') for _ in range(2)] == [3, 0]
