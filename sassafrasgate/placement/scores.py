"""Scores of hosts for a demand: best fit over the scarcest resource."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources

RESOURCE_NAMES = (
    'millicores',
    'memory_mb',
    'accelerators',
    'slots',
    'connections',
)


@dataclass(frozen=True, slots=True)
class Weights:
    """Weights of one job class; all costs add up, the lowest wins.

    Parameters
    ----------
    hop : float
        Cost of a host outside the local failure domain. The fit costs 0 to
        1, so a cost above 1 makes locality decide, and a lower one lets a
        clearly better fit win.
    domain, rack, host : float
        Cost for each of the job's tasks that is already in the same
        failure domain, rack or host; negative to keep tasks together.
    """

    hop: float = 0.0
    domain: float = 0.0
    rack: float = 0.0
    host: float = 0.0


def find_scarcest(demand: Resources, total_free: Resources) -> str:
    """Return the demanded resource of which the fewest tasks would fit.

    Parameters
    ----------
    demand, total_free : Resources
        One task's need, and what all open hosts have free together.
    """
    ratios = [
        (getattr(total_free, name) / need, name)
        for name in RESOURCE_NAMES
        if (need := getattr(demand, name)) > 0
    ]
    return min(ratios)[1] if ratios else 'millicores'


def find_dominant_share(amount: Resources, total: Resources) -> float:
    """Return the largest share of any resource that an amount takes.

    Without a total, the task slots stand for the share.
    """
    shares = [
        getattr(amount, name) / whole
        for name in RESOURCE_NAMES
        if (whole := getattr(total, name)) > 0
    ]
    return max(shares, default=float(amount.slots))
