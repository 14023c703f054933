"""Compares the orders of waiting steps under loads that exceed a pool."""

from __future__ import annotations

from random import Random
from typing import Any

from benchmarks.registry import register_measurement
from benchmarks.registry import Table
from sassafrasgate.dispatch import scheduling_passes
from sassafrasgate.dispatch.policies import ORDERS
from tests.dispatch.loads import GANG
from tests.dispatch.loads import KINDS
from tests.dispatch.loads import LoadPlayer
from tests.dispatch.loads import make_arrivals
from tests.dispatch.loads import QUICK
from tests.dispatch.loads import WIDE

SEEDS = (1, 2, 3)
USUAL = {QUICK: 7.5, WIDE: 1.75, GANG: 0.38}
LOAD_S = 20
DRAIN_S = 16
# Factors on the usual rate of quick and of other jobs from second 4 to 16.
LOADS = {
    'usual': (1.0, 1.0),
    'twice': (2.0, 2.0),
    'three times': (3.0, 3.0),
    'burst of quick jobs': (6.0, 1.5),
}
TENANTS = {f't{number}': 3.0 for number in range(5)}


def make_load(seed: int, quick: float, others: float) -> list[Any]:
    """Return the arrivals of a load, evenly from all tenants."""
    random = Random(seed)
    arrivals: list[Any] = []
    for kind, rate in USUAL.items():
        factor = quick if kind is QUICK else others
        for begin_s, end_s, part in (
            (0, 4, 1.0),
            (4, 16, factor),
            (16, LOAD_S, 1.0),
        ):
            for tenant in TENANTS:
                arrivals += make_arrivals(
                    random,
                    tenant,
                    kind,
                    rate * part / len(TENANTS),
                    begin_s,
                    end_s,
                )
    return arrivals


def play(order: str, load: list[Any], seed: int) -> Any:
    """Return the player of a load in one of the orders."""
    usual_order = scheduling_passes.order_steps
    scheduling_passes.order_steps = ORDERS.find(order)
    try:
        player = LoadPlayer(load, TENANTS, seed=seed)
        player.play(LOAD_S + DRAIN_S)
    finally:
        scheduling_passes.order_steps = usual_order
    return player


@register_measurement('orders')
def measure_orders() -> Table:
    """Measure the share of jobs in time by order and load."""
    rows = []
    for name, factors in LOADS.items():
        for order in ORDERS:
            players = [
                play(order, make_load(seed, *factors), seed) for seed in SEEDS
            ]
            shares = [
                sum(p.compute_share_in_time(kind=kind) for p in players)
                / len(players)
                for kind in KINDS
            ]
            rows.append((name, order, *(round(s, 3) for s in shares)))
    return Table(
        'Share of jobs in time by load and order of waiting steps',
        ('load', 'order', *(kind.queue.name for kind in KINDS)),
        tuple(rows),
        (
            f'{len(SEEDS)} seeds, 44 workers, {len(TENANTS)} tenants of equal '
            'weight.',
            'The last order also places surplus last, which counts here too.',
        ),
    )
