"""Mean shares of resources and cost weights for placement scores."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class ScoreWeights:
    """Cost weights of one job class.

    The costs of a host are added up, and the host with the lowest sum is
    chosen.

    Parameters
    ----------
    remote : float
        Cost of a host outside the local failure domain. The fit costs 0 to
        1, so with a value above 1 locality always decides, and with a
        smaller value a clearly better fit can outweigh it.
    domain, rack, host : float
        Cost for each task of the job that is already in the same failure
        domain, in the same rack or on the same host; a negative value
        keeps the tasks together.
    """

    remote: float = 0.0
    domain: float = 0.0
    rack: float = 0.0
    host: float = 0.0


def compute_mean_share(amount: Resources, unit: Resources) -> float:
    """Return the fraction of a unit that an amount uses, as a mean.

    The mean is taken over the processors, memory, accelerators and slots.
    Connections are not considered.

    Best fit by this mean considers all resources together. Best fit by the
    scarcest resource alone packs no better than first fit, because the
    other resources of a host can be left unusable when that one runs out.

    Parameters
    ----------
    amount : Resources
        Dividend; its values may be negative.
    unit : Resources
        Divisor, for example the capacity of a host. Resources that are
        zero here are left out.
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
