"""Compares admission by predicted completion with accepting everything."""

from __future__ import annotations

from typing import Any

from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from tests.dispatch.load_replays import CLASSES
from tests.dispatch.load_replays import LoadReplay

SEEDS = range(1, 7)
# Multiples of the usual rates by second, of all classes and of quick jobs.
LOADS: dict[str, tuple[list[float], list[float]]] = {
    'calm': ([0.6] * 12, []),
    'all at 2.5 for 4 s': ([0.8] * 3 + [2.5] * 4 + [0.8] * 7, []),
    'all at 3.5 for 6 s': ([0.8] * 3 + [3.5] * 6 + [0.8] * 8, []),
    'quick at 6 for 4 s': ([0.8] * 14, [0.8] * 3 + [6.0] * 4 + [0.8] * 7),
    'quick at 10 for 6 s': ([0.9] * 16, [0.8] * 3 + [10.0] * 6 + [0.8] * 7),
}


def _find_mean(replays: list[Any], *arguments: Any) -> float:
    shares = [float(replay.find_share(*arguments)) for replay in replays]
    return sum(shares) / len(shares)


@register_measurement('admission-under-load')
def measure_admission() -> Table:
    """Measure what callers get out of their jobs in bursts."""
    rows = []
    for load, (rates, quick_rates) in LOADS.items():
        for policy, admits_all in (('accept all', True), ('predict', False)):
            replays = [
                LoadReplay(
                    rates, quick_rates, seed=seed, admits_all=admits_all
                ).run()
                for seed in SEEDS
            ]
            useless = sum(replay.count_useless() for replay in replays)
            refused = sum(replay.count_refused() for replay in replays)
            rows.append(
                (
                    f'{load}, {policy}',
                    sum(len(replay.calls) for replay in replays),
                    _find_mean(replays),
                    *(_find_mean(replays, kind) for kind in CLASSES),
                    useless,
                    refused,
                )
            )
    return Table(
        'Worth of jobs to their callers, as a share of what was possible',
        (
            'load, policy',
            'jobs',
            'all',
            *(kind.queue.name for kind in CLASSES),
            'accepted, no use',
            'refused',
        ),
        tuple(rows),
        (
            'A job is worth its core-seconds in time, a fifth of them late.',
            f'12 workers of 16 cores, {len(SEEDS)} seeds, virtual time.',
        ),
    )
