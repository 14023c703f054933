"""Tests of the verdicts of the model runner."""

from typing import NamedTuple

import pytest

from models.run import list_checks
from models.run import load_specifications
from models.run import report_results
from models.specifications import ALL_GUARDS
from models.specifications import check_variant
from models.specifications import register_specification
from models.specifications import Specification
from models.specifications import SPECIFICATIONS
from models.specifications import StateMachine
from models.specifications import Verdict
from sassafrasgate.core.registries import Registry


class Counter(NamedTuple):
    count: int = 0


def build_counter(guards):
    limit = 3 if 'limit' in guards else 9
    return StateMachine(
        Counter(),
        lambda s: [('add', Counter(s.count + 1))] if s.count < limit else [],
        {'small': lambda s: s.count <= 5},
        {'counts': lambda s: s.count == 3},
    )


def make_specification(build=build_counter, max_states=100):
    return Specification('counter', build, ('limit',), max_states)


def test_removing_a_needed_guard_violates_the_model(capsys):
    results = [
        check_variant(make_specification(), variant)
        for variant in (ALL_GUARDS, 'limit')
    ]
    assert [r.verdict for r in results] == [Verdict.HOLDS, Verdict.VIOLATED]
    assert (results[0].states, results[0].depth) == (4, 3)
    assert results[1].trace == ('add',) * 6
    assert report_results(results) == 0


@pytest.mark.parametrize(
    ('invariant', 'variant'),
    [(lambda s: True, 'limit'), (lambda s: s.count < 2, ALL_GUARDS)],
    ids=['a guard without effect', 'a model that is violated'],
)
def test_an_unexpected_verdict_fails_the_run(invariant, variant, capsys):
    # Without this check, a guard on which no invariant depends would appear
    # to be necessary.
    def build(guards):
        machine = build_counter(guards)
        return StateMachine(
            machine.initial, machine.list_transitions, {'i': invariant}, {}
        )

    result = check_variant(make_specification(build), variant)
    assert report_results([result]) == 1
    assert 'NOT AS EXPECTED' in capsys.readouterr().out


@pytest.mark.parametrize('variant', [ALL_GUARDS, 'limit'])
def test_an_inconclusive_verdict_fails_the_run(variant):
    # The search reaches the maximum number of states before it has covered
    # the state space.
    result = check_variant(make_specification(max_states=2), variant)
    assert result.verdict is Verdict.INCONCLUSIVE
    assert report_results([result]) == 1


def test_an_unsatisfied_witness_fails_the_run():
    def build(guards):
        machine = build_counter(guards)
        unreachable = {'reaches 4': lambda s: s.count == 4}
        return StateMachine(
            machine.initial,
            machine.list_transitions,
            machine.invariants,
            unreachable,
        )

    result = check_variant(make_specification(build), ALL_GUARDS)
    assert result.verdict is Verdict.VACUOUS
    assert report_results([result]) == 1


def test_a_run_without_variants_fails():
    assert report_results([]) == 1


def test_every_guard_of_a_model_has_a_variant():
    registry = Registry('specification')
    register_specification('counter', ('limit',), registry=registry)(
        build_counter
    )
    assert list_checks(registry) == [
        ('counter', ALL_GUARDS),
        ('counter', 'limit'),
    ]


def test_no_model_searches_more_than_200_000_states():
    load_specifications()
    limits = [SPECIFICATIONS.find(name).max_states for name in SPECIFICATIONS]
    assert limits
    assert max(limits) <= 200_000
