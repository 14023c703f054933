"""Arithmetic of fair shares, for teams and tenants alike.

An account's dominant share is the largest fraction that it has of any
resource (dominant resource fairness, Ghodsi et al. 2011). Divided by the
weight, it tells which account has the least for what it is entitled to.
"""

from __future__ import annotations

from itertools import accumulate
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sassafrasgate.core.resources import Resources


def compute_dominant_share(amount: Resources, total: Resources) -> float:
    """Return the largest fraction of a resource that an amount uses.

    When ``total`` is zero, the number of task slots is returned instead.
    """
    # The fields are read one by one, since this runs for each waiting step.
    shares = []
    if total.millicores > 0:
        shares.append(amount.millicores / total.millicores)
    if total.memory_mb > 0:
        shares.append(amount.memory_mb / total.memory_mb)
    if total.accelerators > 0:
        shares.append(amount.accelerators / total.accelerators)
    if total.slots > 0:
        shares.append(amount.slots / total.slots)
    if total.connections > 0:
        shares.append(amount.connections / total.connections)
    return max(shares, default=float(amount.slots))


def compute_weighted_share(
    amount: Resources, total: Resources, weight: float
) -> float:
    """Return the dominant share of an amount, divided by a weight.

    The account for which it is lowest is served next.
    """
    return compute_dominant_share(amount, total) / weight


def find_fair_level(
    wanted: Mapping[str, float], weights: Mapping[str, float]
) -> float:
    """Return the weighted share up to which each account can be served.

    This is the weighted max-min fair allocation: an account that wants less
    gets what it wants, and the others divide the rest by weight.

    Parameters
    ----------
    wanted : mapping of str to float
        Share of the whole that each account wants.
    weights : mapping of str to float
        Positive weight of each of these accounts.

    Returns
    -------
    float
        Share for each unit of weight; infinity if all get what they want.

    Examples
    --------
    >>> find_fair_level({'a': 0.2, 'b': 2.0}, {'a': 1.0, 'b': 1.0})
    0.8
    >>> find_fair_level({'a': 0.2, 'b': 0.5}, {'a': 1.0, 'b': 1.0})
    inf
    """
    names = sorted(wanted, key=lambda name: wanted[name] / weights[name])
    # Added up from the end: differences of weights of unlike size cancel.
    weights_left = list(accumulate(weights[name] for name in reversed(names)))
    left = 1.0
    for name, weight_left in zip(names, reversed(weights_left), strict=True):
        level = left / weight_left
        if wanted[name] > weights[name] * level:
            return level
        left -= wanted[name]
    return inf
