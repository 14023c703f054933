"""Weights of amounts and hosts in placement scores."""

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


def weigh_amount(amount: Resources, unit: Resources) -> float:
    """Return the mean share of a unit that an amount takes.

    Best fit by this weight looks at all resources together. Best fit by
    the scarcest resource alone packs no better than first fit, because a
    host that is tight in one resource may strand the others.

    Parameters
    ----------
    amount : Resources
        May be negative.
    unit : Resources
        Resources that it has none of are left out.
    """
    total = 0.0
    count = 0
    if unit.millicores:
        total += amount.millicores / unit.millicores
        count += 1
    if unit.memory_mb:
        total += amount.memory_mb / unit.memory_mb
        count += 1
    if unit.accelerators:
        total += amount.accelerators / unit.accelerators
        count += 1
    if unit.slots:
        total += amount.slots / unit.slots
        count += 1
    return total / (count or 1)


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
