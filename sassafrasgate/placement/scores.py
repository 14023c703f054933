"""Scores of hosts for a demand: best fit over the scarcest resource."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources

_NAMES = ('millicores', 'memory_mb', 'accelerators', 'slots', 'connections')


def find_scarcest(demand: Resources, total_free: Resources) -> str:
    """Return the demanded resource of which the fewest tasks would fit.

    Parameters
    ----------
    demand, total_free : Resources
        One task's need, and what all open hosts have free together.
    """
    ratios = [
        (getattr(total_free, name) / need, name)
        for name in _NAMES
        if (need := getattr(demand, name)) > 0
    ]
    return min(ratios)[1] if ratios else 'millicores'


def find_share(
    free: Resources, demand: Resources, resource: str, capacity: Resources
) -> float:
    """Return the share of a resource that stays free on a host, 0 to 1."""
    left: int = getattr(free, resource) - getattr(demand, resource)
    return left / (getattr(capacity, resource) or 1)


def find_dominant_share(amount: Resources, total: Resources) -> float:
    """Return the largest share of any resource that an amount takes.

    Without a total, the task slots stand for the share.
    """
    shares = [
        getattr(amount, name) / whole
        for name in _NAMES
        if (whole := getattr(total, name)) > 0
    ]
    return max(shares, default=float(amount.slots))
