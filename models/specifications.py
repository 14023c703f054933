"""The registry of specifications, and the check of one variant.

A specification consists of a function that builds a state machine for a set
of active guards, and of the names of all its guards. A guard is a rule of
the protocol that can be switched off. The invariants must hold with all
guards active, and at least one must be violated when any single guard is
removed.
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
Transition = tuple[str, State]
Predicate = Callable[[Any], bool]


class Verdict(StrEnum):
    """Outcome of the check of one variant."""

    HOLDS = 'holds'
    VIOLATED = 'violated'
    INCONCLUSIVE = 'inconclusive'
    VACUOUS = 'vacuous'


@dataclass(frozen=True, slots=True)
class StateMachine:
    """A state machine with its invariants and its witnesses.

    Parameters
    ----------
    initial : NamedTuple
        The initial state.
    list_steps : callable
        Returns the labelled transitions from a state.
    invariants : mapping of str to callable
        Predicates that must hold in every reachable state.
    witnesses : mapping of str to callable
        Predicates that must each hold in some reachable state. They rule
        out models whose invariants hold only because the cases of interest
        are unreachable.
    """

    initial: Any
    list_transitions: Callable[[Any], Iterable[Transition]]
    invariants: Mapping[str, Predicate]
    witnesses: Mapping[str, Predicate]


@dataclass(frozen=True, slots=True)
class Specification:
    """A registered model.

    Parameters
    ----------
    name : str
        Name of the model in the table of results.
    build : callable
        Builds the state machine for a set of active guards.
    guards : tuple of str
        Names of all guards of the model.
    max_states : int
        Number of states at which the search stops as inconclusive.
    """

    name: str
    build: Callable[[frozenset[str]], StateMachine]
    guards: tuple[str, ...]
    max_states: int = MAX_STATES


@dataclass(frozen=True, slots=True)
class Result:
    """Result of the check of one variant.

    Parameters
    ----------
    model, variant : str
        Name of the model, and the guard that was removed or `ALL_GUARDS`.
    states, depth : int
        Number of states found, and the length of the counterexample. Without
        one, the depth is the distance of the farthest state from the initial
        one.
    verdict, expected : Verdict
        Verdict of the check, and the verdict that it must reach.
    detail : str
        The violated invariant, the witnesses that no state satisfied, or the
        reason why the search stopped.
    trace : tuple of str
        Labels of the transitions of the shortest counterexample.
    seconds : float
        Duration of the check in seconds.
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
        """Whether the verdict is the expected one."""
        return self.verdict is self.expected


SPECIFICATIONS: Registry[str, Specification] = Registry('specification')

Builder = Callable[[frozenset[str]], StateMachine]


def register_specification(
    name: str,
    guards: tuple[str, ...],
    max_states: int = MAX_STATES,
    registry: Registry[str, Specification] = SPECIFICATIONS,
) -> Callable[[Builder], Builder]:
    """Return a decorator that registers a builder as a specification."""

    def add_specification(build: Builder) -> Builder:
        registry.register(name)(Specification(name, build, guards, max_states))
        return build

    return add_specification


def list_variants(specification: Specification) -> tuple[str, ...]:
    """Return `ALL_GUARDS` and each guard whose removal is a variant."""
    return (ALL_GUARDS, *specification.guards)


class _SearchTracker:
    """Records depth, witnesses and violations of a breadth-first search.

    `check_safety` explores the whole state space even after a violation. The
    tracker returns no transitions after the first violation, so that the
    search ends there and keeps its counterexample.
    """

    def __init__(self, machine: StateMachine) -> None:
        self._machine = machine
        self._depths: dict[State, int] = {machine.initial: 0}
        self._violated = False
        self.depth = 0
        self.unmet_witnesses = dict(machine.witnesses)

    def list_transitions(self, state: Any) -> Iterable[Transition]:
        """Return the transitions; none after a violated invariant."""
        if self._violated:
            return ()
        satisfied = [
            name
            for name, predicate in self.unmet_witnesses.items()
            if predicate(state)
        ]
        for name in satisfied:
            del self.unmet_witnesses[name]
        transitions = tuple(self._machine.list_transitions(state))
        self.depth = self._depths[state]
        for _, successor in transitions:
            self._depths.setdefault(successor, self.depth + 1)
        return transitions

    def adapt_invariant(
        self, predicate: Predicate
    ) -> Callable[[dict[str, Any]], bool]:
        """Adapt an invariant to the dictionary that minicheck passes."""
        make_state = type(self._machine.initial)

        def check(fields: dict[str, Any]) -> bool:
            holds = predicate(make_state(**fields))
            self._violated = self._violated or not holds
            return holds

        return check


def check_variant(specification: Specification, variant: str) -> Result:
    """Check the whole state space of one variant.

    Parameters
    ----------
    specification : Specification
        The model.
    variant : str
        `ALL_GUARDS` or the name of the guard to remove.

    Returns
    -------
    Result
        ``INCONCLUSIVE`` when the search stopped before it had covered the
        whole state space and had found no violation.
    """
    started = monotonic()
    guards = frozenset(specification.guards) - {variant}
    machine = specification.build(guards)
    tracker = _SearchTracker(machine)
    protocol = Protocol(
        name=specification.name,
        candidate=False,
        fields=machine.initial._fields,
        initial=machine.initial,
        transitions=tracker.list_transitions,
        invariants={
            name: tracker.adapt_invariant(predicate)
            for name, predicate in machine.invariants.items()
        },
    )
    report = check_safety(protocol, max_states=specification.max_states)
    verdict, detail, trace = _derive_verdict(report, tracker)
    expected = Verdict.HOLDS if variant == ALL_GUARDS else Verdict.VIOLATED
    return Result(
        model=specification.name,
        variant=variant,
        states=report['reachable_states'],
        depth=len(trace) or tracker.depth,
        verdict=verdict,
        expected=expected,
        detail=detail,
        trace=trace,
        seconds=monotonic() - started,
    )


def _derive_verdict(
    report: dict[str, Any], tracker: _SearchTracker
) -> tuple[Verdict, str, tuple[str, ...]]:
    """Return the verdict, its detail and the shortest counterexample."""
    violations = {
        name: tuple(step['label'] for step in found['counterexample'][1:])
        for name, found in report['properties'].items()
        if found['holds'] is False
    }
    if violations:
        name = min(violations, key=lambda name: len(violations[name]))
        return Verdict.VIOLATED, name, violations[name]
    if not report['exhaustive']:
        return Verdict.INCONCLUSIVE, report['incomplete_reason'], ()
    if not report['properties']:
        return Verdict.INCONCLUSIVE, 'the model has no invariants', ()
    if tracker.unmet_witnesses:
        return (
            Verdict.VACUOUS,
            f'no state satisfies: {", ".join(tracker.unmet_witnesses)}',
            (),
        )
    return Verdict.HOLDS, '', ()
