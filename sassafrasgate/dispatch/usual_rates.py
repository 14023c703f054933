"""Usual rates of steps, with which single runs are compared."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sassafrasgate.dispatch.entries import RunEntry
    from sassafrasgate.dispatch.identities import StepKey
    from sassafrasgate.dispatch.state import DispatchState

# Older rates are ignored.
MAX_RATE_AGE_MS = 2_500


@dataclass(slots=True)
class StepRates:
    """Rates of the runs of one step, which are sorted once.

    Parameters
    ----------
    rates : list of float
        Rates of all runs, in ascending order, in percent per second.
    places : dict
        Ascending places in this list of the runs on each worker.
    medians : dict
        Medians without the runs of a worker, as far as computed.
    """

    rates: list[float]
    places: dict[str, list[int]]
    medians: dict[str, float | None] = field(default_factory=dict)

    def find_median_elsewhere(self, worker: str) -> float | None:
        """Return the median of the rates on other workers, None for none."""
        if worker not in self.medians:
            self.medians[worker] = self._compute_median(worker)
        return self.medians[worker]

    def _compute_median(self, worker: str) -> float | None:
        left_out = self.places.get(worker, [])
        count = len(self.rates) - len(left_out)
        if not count:
            return None
        lower = self._get_rate((count - 1) // 2, left_out)
        return (lower + self._get_rate(count // 2, left_out)) / 2

    def _get_rate(self, place: int, left_out: list[int]) -> float:
        """Return the rate at a place in the list without some places."""
        for other in left_out:
            if other > place:
                break
            place += 1
        return self.rates[place]


class UsualRates:
    """Usual rates of the tasks of each step, for one check of all workers.

    All runs of a step are looked at once, however many of them are compared.
    """

    def __init__(self, state: DispatchState) -> None:
        self._state = state
        self._steps: dict[StepKey, StepRates] = {}

    def find(self, run: RunEntry) -> float | None:
        """Return the usual rate of a run's step, or None if unknown.

        It is the median rate on other workers, or else the rate of the run
        of the step that finished last.
        """
        rates = self._steps.get(run.step)
        if rates is None:
            rates = self._steps[run.step] = _measure_step(
                self._state, run.step
            )
        usual_rate = rates.find_median_elsewhere(run.worker)
        if usual_rate is not None:
            return usual_rate
        return self._state.step_rates.get(run.step)


def _measure_step(state: DispatchState, key: StepKey) -> StepRates:
    return make_step_rates(
        (run.speed.rate, run.worker)
        for run in state.list_runs_of(key)
        if run.speed.gained > 0
        and state.now - run.speed.measured_at <= MAX_RATE_AGE_MS
    )


def make_step_rates(rates: Iterable[tuple[float, str]]) -> StepRates:
    """Sort rates, which are given with the workers of their runs."""
    in_order = sorted(rates)
    places: dict[str, list[int]] = {}
    for place, (_, worker) in enumerate(in_order):
        places.setdefault(worker, []).append(place)
    return StepRates([rate for rate, _ in in_order], places)
