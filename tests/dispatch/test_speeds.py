"""Tests of what the reports of a run tell about its speed."""

import pytest

from sassafrasgate.dispatch.speeds import MIN_GAIN_PERCENT
from sassafrasgate.dispatch.speeds import NO_READING
from sassafrasgate.dispatch.speeds import RATE_WINDOW_MS
from sassafrasgate.dispatch.speeds import STALL_MS
from sassafrasgate.dispatch.speeds import update_speed

REPORT_INTERVAL_MS = 2_000
BEGAN_AT = 1_000


def read_reports(*reports):
    """Return the speed after reports, as pairs of time and percent."""
    speed, last_percent = NO_READING, 0
    for after_ms, percent in reports:
        speed = update_speed(speed, last_percent, percent, BEGAN_AT + after_ms)
        last_percent = percent
    return speed


def list_reports(work_ms, until_ms):
    """Return the reports of a run that advances steadily."""
    times = range(0, until_ms, REPORT_INTERVAL_MS)
    return [(at, min(99, at * 100 // work_ms)) for at in times]


@pytest.mark.parametrize('work_ms', [1_000, 12_000, 300_000, 1_800_000])
def test_a_steady_run_is_never_stalled(work_ms):
    # Guards against tasks of some minutes that count as stalled because one
    # percent of them takes longer than the time between two reports.
    reports = list_reports(work_ms, min(work_ms, 200_000))
    for count in range(1, len(reports) + 1):
        speed = read_reports(*reports[:count])
        assert speed.still_ms < speed.find_stall_ms(work_ms)


@pytest.mark.parametrize('work_ms', [1_000, 12_000, 300_000, 1_800_000])
def test_a_rate_is_not_lower_than_reports_can_tell(work_ms):
    # Guards against a run that counts as slow because its progress is rounded
    # down to whole percents.
    true_rate = 100_000 / work_ms
    reports = list_reports(work_ms, min(work_ms, 200_000))
    for count in range(2, len(reports) + 1):
        speed = read_reports(*reports[:count])
        if speed.is_measured:
            assert speed.highest_rate >= 0.6 * true_rate
            assert speed.proven_rate <= true_rate


def test_a_run_that_stops_advancing_is_stalled_after_a_short_time():
    # Guards against runs that stay on a worker on which all tasks stand
    # still: a task of some seconds shows it within a second.
    speed = read_reports((0, 0), (600, 12), (600 + STALL_MS, 12))
    assert speed.still_ms >= speed.find_stall_ms(5_000)
    assert speed.highest_rate == 1000 / STALL_MS


def test_the_own_progress_of_a_run_goes_before_its_estimate():
    # Guards against a run that counts as stalled because its estimate is far
    # too low: it advances by one percent in four seconds.
    speed = read_reports((0, 0), (4_000, 1), (8_000, 2))
    assert speed.find_stall_ms(1_000) > 20_000
    assert speed.find_work_ms() == 400_000


def test_a_first_report_and_less_progress_than_before_begin_a_window():
    # Guards against rates that span a report of another run.
    assert not read_reports((0, 30)).is_measured
    speed = read_reports((0, 30), (1_000, 60), (2_000, 10))
    assert not speed.is_measured
    assert speed.base_percent == 10


def test_a_window_ends_with_enough_progress():
    # Guards against a rate that includes the time before a run became slow.
    speed = read_reports((0, 0), (RATE_WINDOW_MS, 20), (1_500, 21))
    assert speed.gained < MIN_GAIN_PERCENT
    assert speed.highest_rate == 2.0
