"""Data of a scheduling pass, which may be decided in several parts."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from sassafrasgate.core.resources import Resources
from sassafrasgate.dispatch.entries import WorkerEntry
from sassafrasgate.dispatch.identities import StepKey
from sassafrasgate.dispatch.tenant_accounts import PassCaps


@dataclass(slots=True)
class GangReservation:
    """Capacity of a worker that is reserved for a gang.

    Parameters
    ----------
    start_at : int
        Owner's clock, in ms, when the gang is expected to start.
    spare : Resources
        Capacity that the gang leaves free at that time.
    """

    start_at: int
    spare: Resources


@dataclass(slots=True)
class PassPlan:
    """Working data of one scheduling pass.

    Parameters
    ----------
    usable : dict
        Workers that may get new runs, by pool and id.
    paused : dict
        Slow workers that would be usable, by pool and id. They get the runs
        of steps that may run nowhere else.
    allowances : dict
        Maximum number of further runs on each worker in probation.
    max_free : dict
        By pool, the largest amount of each resource that is free on one
        usable worker when the pass began. A larger demand cannot be placed.
    total_free : dict
        By pool, the sums that `find_total_free` has computed.
    capacity : dict
        By pool, the sums that `sum_capacity` has computed.
    reservations : dict
        Capacity that is reserved for gangs, by worker.
    reserved_gangs : int
        Number of gangs for which capacity is reserved.
    over_share : dict
        Tenants with waiting steps beyond their shares, by pool.
    keeps_room : bool
        Whether room is kept for small steps that fit on no worker.
    kept_workers : set of str
        Workers with room that is kept for small steps.
    by_free : dict
        By pool, the usable workers in the order that `list_by_free` has
        computed.
    run_ends : dict
        Expected ends of the runs on a worker, with the resources that they
        release.
    caps : PassCaps
        What the pass has found about the caps of tenants.
    starts_left : int
        Number of further runs that the current part of the pass may start.
    is_interrupted : bool
        Whether the part has ended at a step of which another task can start.
    """

    usable: dict[str, dict[str, WorkerEntry]]
    paused: dict[str, dict[str, WorkerEntry]]
    allowances: dict[str, int]
    max_free: dict[str, Resources]
    total_free: dict[str, Resources] = field(default_factory=dict)
    capacity: dict[str, Resources] = field(default_factory=dict)
    reservations: dict[str, GangReservation] = field(default_factory=dict)
    reserved_gangs: int = 0
    over_share: dict[str, set[str]] = field(default_factory=dict)
    keeps_room: bool = False
    kept_workers: set[str] = field(default_factory=set)
    by_free: dict[str, list[str]] = field(default_factory=dict)
    run_ends: dict[str, list[tuple[int, Resources]]] = field(
        default_factory=dict
    )
    caps: PassCaps = field(default_factory=PassCaps)
    starts_left: int = 0
    is_interrupted: bool = False

    @property
    def is_part_full(self) -> bool:
        """Whether the current part of the pass may start no further run."""
        return self.starts_left <= 0


@dataclass(frozen=True, slots=True)
class OpenPass:
    """A scheduling pass of which a part is left.

    Parameters
    ----------
    plan : PassPlan
        Plan of the whole pass.
    keys : tuple of StepKey
        Steps that were waiting when the pass began, in their order.
    place : int
        Place of the step with which the pass goes on.
    """

    plan: PassPlan
    keys: tuple[StepKey, ...]
    place: int = 0
