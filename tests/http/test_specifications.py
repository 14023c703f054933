"""Guards the validation of submitted jobs."""

from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies
import pytest

from sassafrasgate.core.jobs import JobClass
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.resources import Resources
from sassafrasgate.http.specifications import Faults
from sassafrasgate.http.specifications import FIELDS
from sassafrasgate.http.specifications import parse_spec

ALL = frozenset(JobClass)
ANY_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text('ab1-='),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text('ab1-='), inner)
    ),
    max_leaves=5,
)


def check(**fields):
    return parse_spec({'team': 't', 'key': 'k', **fields}, ALL, JobClass.BATCH)


# The result must not depend on the speed of the machine, on a random seed or
# on stored examples.
@settings(
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(strategies.dictionaries(strategies.sampled_from([*FIELDS]), ANY_JSON))
def test_any_json_value_gives_a_spec_or_faults(fields):
    assert isinstance(check(**fields), JobSpec | Faults)


@pytest.mark.parametrize(
    ('cores', 'millicores'),
    [(1, 1000), (0.29, 290), (0.0001, 1), (1.0005, 1001), (0.1 + 0.2, 300)],
)
def test_cores_are_never_rounded_down(cores, millicores):
    spec = check(resources={'cores': cores, 'memory_mb': 64})
    assert spec.demand == Resources(millicores, 64, 0, 1, 1)


@pytest.mark.parametrize(
    'fields',
    [
        {'resources': {'cores': 1, 'millicores': 1000}},
        {'resources': {'cores': float('inf')}},
        {'resources': {'slots': 1.0}},
        {'payload': 'a', 'payload_base64': 'YQ=='},
        {'payload_base64': 'YQ'},
        {'tasks': 2},
        {'class': ['batch']},
        {'idempotent': 1},
        {'priority': 101},
        {'failure_domains': 'd1'},
        {'team': 'a\nb'},
        {'class': 'quick', 'idempotent': False},
    ],
)
def test_invalid_field_is_one_fault(fields):
    result = check(**fields)
    assert isinstance(result, Faults)
    assert len(result.faults) == 1


def test_all_fields_reach_the_spec():
    spec = check(
        **{'class': 'gang', 'tasks': 4, 'priority': -3, 'deadline_s': 9},
        idempotent=False,
        run_time_s=1.5,
        failure_domains=['d2', 'd1', 'd2'],
        payload_base64='AP8=',
    )
    rest = (4, False, -3, 9.0, 1.5, ('d1', 'd2'), b'\x00\xff')
    assert spec == JobSpec('t', 'k', JobClass.GANG, spec.demand, *rest)
