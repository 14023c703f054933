"""The registry of specifications and the check of one variant.

A specification is a function that builds a `minicheck` protocol for a set
of active guards. It is registered with the names of all its guards. It must
hold with all of them and be violated without any single one.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from time import monotonic
from typing import Any

from minicheck import check_safety
from minicheck import Protocol

from sassafrasgate.core.registries import Registry

ALL_GUARDS = 'all guards'
MAX_STATES = 200_000

State = tuple[Any, ...]
Step = tuple[str, State]
Predicate = Callable[[Any], bool]


class Verdict(StrEnum):
    """What the check of one variant established."""

    HOLDS = 'holds'
    VIOLATED = 'violated'
    INCONCLUSIVE = 'inconclusive'
    VACUOUS = 'vacuous'


@dataclass(frozen=True, slots=True)
class Machine:
    """A state machine with what must hold and what must be reachable.

    Parameters
    ----------
    initial : NamedTuple
        The first state.
    list_steps : callable
        Returns the labelled successors of a state.
    invariants : mapping of str to callable
        Predicates over a state that must hold in every reachable state.
    witnesses : mapping of str to callable
        Predicates that some reachable state must satisfy, so that a model
        can't hold only because nothing of interest happens in it.
    """

    initial: Any
    list_steps: Callable[[Any], Iterable[Step]]
    invariants: Mapping[str, Predicate]
    witnesses: Mapping[str, Predicate]


@dataclass(frozen=True, slots=True)
class Specification:
    """A registered model.

    Parameters
    ----------
    name : str
        Name in the table.
    build : callable
        Builds the machine for a set of active guards.
    guards : tuple of str
        Every guard of the model.
    max_states : int
        Where the search stops as inconclusive.
    """

    name: str
    build: Callable[[frozenset[str]], Machine]
    guards: tuple[str, ...]
    max_states: int = MAX_STATES


@dataclass(frozen=True, slots=True)
class Result:
    """The outcome of one variant.

    Parameters
    ----------
    model, variant : str
        Which model, and the guard that was removed or `ALL_GUARDS`.
    states, depth : int
        States found, and the steps of the counterexample or else of the
        longest shortest path.
    verdict, expected : Verdict
        What was found and what must be found.
    detail : str
        Violated invariant, missing witness or why the search stopped.
    trace : tuple of str
        Labels of the shortest counterexample.
    seconds : float
        Duration of the check.
    """

    model: str
    variant: str
    states: int
    depth: int
    verdict: Verdict
    expected: Verdict
    detail: str = ''
    trace: tuple[str, ...] = ()
    seconds: float = 0.0

    @property
    def as_expected(self) -> bool:
        """Whether the verdict is the required one."""
        return self.verdict is self.expected


SPECIFICATIONS: Registry[str, Specification] = Registry('specification')

Build = Callable[[frozenset[str]], Machine]


def register_specification(
    name: str,
    guards: tuple[str, ...],
    max_states: int = MAX_STATES,
    registry: Registry[str, Specification] = SPECIFICATIONS,
) -> Callable[[Build], Build]:
    """Return a decorator that files a builder as a specification."""

    def add_specification(build: Build) -> Build:
        registry.register(name)(Specification(name, build, guards, max_states))
        return build

    return add_specification


def list_variants(specification: Specification) -> tuple[str, ...]:
    """Return the variants of a model: all guards, then each one removed."""
    return (ALL_GUARDS, *specification.guards)


class _Search:
    """Follows a breadth-first search to note depth, witnesses, violation.

    `check_safety` explores the whole space even after a violation; the
    steps end here at the first one, which keeps the counterexample.
    """

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._depths: dict[State, int] = {machine.initial: 0}
        self._violated = False
        self.depth = 0
        self.missing = dict(machine.witnesses)

    def list_steps(self, state: Any) -> Iterable[Step]:
        """Return the successors, none once an invariant is violated."""
        if self._violated:
            return ()
        met = [name for name, met in self.missing.items() if met(state)]
        for name in met:
            del self.missing[name]
        steps = tuple(self._machine.list_steps(state))
        self.depth = self._depths[state]
        for _, successor in steps:
            self._depths.setdefault(successor, self.depth + 1)
        return steps

    def wrap(self, predicate: Predicate) -> Callable[[dict[str, Any]], bool]:
        """Return an invariant over minicheck's dictionary of fields."""
        make = type(self._machine.initial)

        def check(fields: dict[str, Any]) -> bool:
            holds = predicate(make(**fields))
            self._violated = self._violated or not holds
            return holds

        return check


def check_variant(specification: Specification, variant: str) -> Result:
    """Check one variant exhaustively and return its result.

    Parameters
    ----------
    specification : Specification
        The model.
    variant : str
        `ALL_GUARDS` or the name of the guard to remove.

    Returns
    -------
    Result
        ``INCONCLUSIVE`` when the search stopped before the whole space was
        covered and no violation was found.
    """
    started = monotonic()
    guards = frozenset(specification.guards) - {variant}
    machine = specification.build(guards)
    search = _Search(machine)
    protocol = Protocol(
        name=specification.name,
        candidate=False,
        fields=machine.initial._fields,
        initial=machine.initial,
        transitions=search.list_steps,
        invariants={
            name: search.wrap(predicate)
            for name, predicate in machine.invariants.items()
        },
    )
    report = check_safety(protocol, max_states=specification.max_states)
    verdict, detail, trace = _judge(report, search)
    expected = Verdict.HOLDS if variant == ALL_GUARDS else Verdict.VIOLATED
    return Result(
        model=specification.name,
        variant=variant,
        states=report['reachable_states'],
        depth=len(trace) or search.depth,
        verdict=verdict,
        expected=expected,
        detail=detail,
        trace=trace,
        seconds=monotonic() - started,
    )


def _judge(
    report: dict[str, Any], search: _Search
) -> tuple[Verdict, str, tuple[str, ...]]:
    """Return the verdict, a detail and the shortest counterexample."""
    broken = {
        name: tuple(step['label'] for step in found['counterexample'][1:])
        for name, found in report['properties'].items()
        if found['holds'] is False
    }
    if broken:
        name = min(broken, key=lambda name: len(broken[name]))
        return Verdict.VIOLATED, name, broken[name]
    if not report['exhaustive']:
        return Verdict.INCONCLUSIVE, report['incomplete_reason'], ()
    if not report['properties']:
        return Verdict.INCONCLUSIVE, 'no invariant is stated', ()
    if search.missing:
        return Verdict.VACUOUS, f'never: {", ".join(search.missing)}', ()
    return Verdict.HOLDS, '', ()
