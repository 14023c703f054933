"""Tests demand estimates and actions on usage beyond reservations."""

from hypothesis import given
from hypothesis import settings
from hypothesis.strategies import integers
from hypothesis.strategies import lists
import pytest

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.resources import Resources
from sassafrasgate.placement.sizing import DemandEstimator
from sassafrasgate.placement.sizing import ESCALATION_INTERVAL_MS
from sassafrasgate.placement.sizing import MIN_SAMPLES
from sassafrasgate.placement.sizing import OveruseStep
from sassafrasgate.placement.sizing import plan_overuse
from sassafrasgate.placement.sizing import ReservationUsage
from tests.placement.builders import DEMAND
from tests.placement.builders import make_spec

SMALL = Resources(1000, 1000)


@settings(derandomize=True, deadline=None)
@given(lists(integers(0, 100_000), max_size=80))
def test_estimate_is_never_below_the_declared_demand(peaks):
    estimator = DemandEstimator()
    for peak in peaks:
        estimator.record_peak(make_spec(), Resources(peak, peak))
    estimate = estimator.estimate_demand(make_spec())
    assert DEMAND.fits_in(estimate)
    assert estimate.millicores <= 4 * DEMAND.millicores


def test_estimate_grows_with_usage_but_not_with_one_outlier():
    estimator = DemandEstimator()
    for _ in range(MIN_SAMPLES + 12):
        estimator.record_peak(make_spec(), Resources(1500, 1024))
    estimator.record_peak(make_spec(), Resources(90_000, 90_000))
    assert estimator.estimate_demand(make_spec()) == Resources(
        1500, 1024, 0, 1, 1
    )
    other = make_spec(JobClass.SERVICE)
    assert estimator.estimate_demand(other) == other.demand


def use(task, job_class, memory, step=None, at=0):
    return ReservationUsage(
        task, job_class, SMALL, Resources(1000, memory), 0, step, at
    )


def test_excess_usage_is_granted_from_free_capacity():
    (action,) = plan_overuse(
        Resources(0, 500), [use('a', JobClass.BATCH, 1400)], 0
    )
    assert action.step is OveruseStep.RESIZE
    assert action.reservation == Resources(1000, 1400)


def test_lowest_class_is_reclaimed_first_and_only_as_far_as_needed():
    tasks = [
        use('urgent', JobClass.URGENT, 1500),
        use('batch', JobClass.BATCH, 2000),
        use('service', JobClass.SERVICE, 1200),
        use('within', JobClass.BATCH, 900),
    ]
    actions = plan_overuse(Resources(0, 700), tasks, 0)
    steps = {action.task: action.step for action in actions}
    assert steps == {
        'urgent': OveruseStep.RESIZE,
        'service': OveruseStep.RESIZE,
        'batch': OveruseStep.THROTTLE,
    }


@pytest.mark.parametrize(
    ('last', 'following'),
    [
        (OveruseStep.THROTTLE, OveruseStep.CHECKPOINT),
        (OveruseStep.CHECKPOINT, OveruseStep.STOP),
    ],
)
def test_steps_escalate_only_after_the_escalation_interval(last, following):
    task = use('a', JobClass.BATCH, 2000, last, 1000)
    nothing = Resources()
    assert (
        plan_overuse(nothing, [task], 1000 + ESCALATION_INTERVAL_MS - 1) == ()
    )
    (action,) = plan_overuse(nothing, [task], 1000 + ESCALATION_INTERVAL_MS)
    assert action.step is following
