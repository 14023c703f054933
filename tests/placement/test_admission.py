"""Tests the validation of job specs and the admission to the queue."""

import pytest

from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.admission import AdmissionLoad
from sassafrasgate.placement.admission import check_admission
from sassafrasgate.placement.admission import check_spec
from sassafrasgate.placement.admission import MAX_PAYLOAD_BYTES
from sassafrasgate.placement.admission import StartRate
from tests.placement.builders import make_spec


@pytest.mark.parametrize(
    'fields',
    [
        {'team': ''},
        {'key': ''},
        {'key': 'k' * 600},
        {'demand': Resources(-1, 1, 0, 1, 1)},
        {'demand': Resources(1, 1, 0, 0, 1)},
        {'demand': Resources(1, 0, 0, 1, 1)},
        {'tasks': 0},
        {'tasks': 2},
        {'priority': 101},
        {'deadline_s': float('nan')},
        {'deadline_s': -1.0},
        {'run_time_s': float('inf')},
        {'payload': b'x' * (MAX_PAYLOAD_BYTES + 1)},
    ],
)
def test_invalid_specs_are_refused(fields):
    assert check_spec(make_spec(**fields)).kind is RefusalKind.INVALID


def test_gang_may_have_several_tasks():
    assert check_spec(make_spec(JobClass.GANG, tasks=9)) is None


@pytest.mark.parametrize(
    ('load', 'kind'),
    [
        (AdmissionLoad(10, 10, 10, 100), RefusalKind.OVERLOADED),
        (AdmissionLoad(0, 10, 100, 100), RefusalKind.OVERLOADED),
        (AdmissionLoad(9, 10, 9, 100, 51, 10.0), RefusalKind.DEADLINE),
    ],
)
def test_full_queues_and_unreachable_deadlines_are_refused(load, kind):
    assert check_admission(make_spec(deadline_s=5.0), load).kind is kind


def test_jobs_are_admitted_unless_their_deadline_is_unreachable():
    spec = make_spec(deadline_s=5.0)
    for load in (
        AdmissionLoad(9, 10, 9, 100, 50, 10.0),
        AdmissionLoad(9, 10, 9, 100, 50, 0.0),
    ):
        assert check_admission(spec, load) is None
    late = AdmissionLoad(9, 10, 9, 100, 5000, 10.0)
    assert check_admission(make_spec(), late) is None


def test_start_rate_follows_the_load_and_decays_without_starts():
    rate = StartRate()
    assert rate.compute_rate(0) == 0
    for now in range(0, 60_000, 100):
        rate.record_starts(now)
    assert rate.compute_rate(60_000) == pytest.approx(10, rel=0.05)
    assert rate.compute_rate(90_000) < 1
