"""Resource quotas of teams: the share of one shard and its use."""

from __future__ import annotations

from dataclasses import fields
from types import MappingProxyType
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sassafrasgate.core.cells import Team

_NAMES = tuple(field.name for field in fields(Resources))


class QuotaReleaseError(SassafrasgateError):
    """A release exceeds what the team has reserved."""

    def __init__(
        self, team: str, amount: Resources, reserved: Resources
    ) -> None:
        super().__init__(
            f'team {team!r} released {amount!r} but has only {reserved!r} '
            f'reserved; release each reservation exactly once'
        )


class QuotaLedger:
    """Reservations of each team in a shard, and its share of the quota.

    Parameters
    ----------
    teams : iterable of Team
        Teams with their cell-wide quotas; zero for a resource means that
        it has no limit.
    shards : int
        Number of shards among which each quota is divided.

    Examples
    --------
    >>> from sassafrasgate.core.cells import Team
    >>> ledger = QuotaLedger([Team('a', quota=Resources(4000))], shards=2)
    >>> ledger.check_quota('a', Resources(2000)) is None
    True
    >>> ledger.check_quota('a', Resources(2001)).kind.value
    'quota'
    """

    def __init__(self, teams: Iterable[Team] = (), shards: int = 1) -> None:
        self._quotas: dict[str, Resources] = {}
        self._shares: dict[str, Resources] = {}
        self._reserved: dict[str, Resources] = {}
        self._view = MappingProxyType(self._reserved)
        self.set_teams(teams, shards)

    @property
    def reserved(self) -> Mapping[str, Resources]:
        """Reserved resources by team, as a live, read-only view."""
        return self._view

    def set_teams(self, teams: Iterable[Team], shards: int) -> None:
        """Replace all quotas and divide each evenly among the shards.

        The division rounds down, so that the shares never add up to more
        than the quota.
        """
        self._quotas = {team.name: team.quota for team in teams}
        self._shares = {
            name: _map_amounts(quota, lambda amount: amount // max(1, shards))
            for name, quota in self._quotas.items()
        }

    def set_share(self, team: str, share: Resources) -> Resources:
        """Set a team's share and return the share that takes effect.

        The result is never below what the team has reserved, since a lower
        share does not stop running tasks. A caller that divides the quota
        among shards must count the returned amount. Resources without a
        quota remain unlimited.
        """
        in_force = share.take_maximum(self.find_reserved(team))
        self._shares[team] = in_force
        self._quotas.setdefault(team, share)
        return in_force

    def find_share(self, team: str) -> Resources:
        """Return a team's share; zero for a team without one."""
        return self._shares.get(team, NO_RESOURCES)

    def find_reserved(self, team: str) -> Resources:
        """Return what a team has reserved in this shard."""
        return self._reserved.get(team, NO_RESOURCES)

    def check_quota(self, team: str, demand: Resources) -> Refusal | None:
        """Return a refusal if a reservation would exceed the team's share."""
        quota = self._quotas.get(team, NO_RESOURCES)
        if quota == NO_RESOURCES:
            return None
        wanted = self.find_reserved(team) + demand
        share = self.find_share(team)
        short = [
            name
            for name in _NAMES
            if getattr(demand, name) > 0
            and getattr(quota, name) > 0
            and getattr(wanted, name) > getattr(share, name)
        ]
        if not short:
            return None
        limits = ', '.join(
            f'{name} {getattr(wanted, name)} > {getattr(share, name)}'
            for name in short
        )
        return Refusal(
            RefusalKind.QUOTA,
            f'team {team!r} would exceed its share in this shard: {limits}',
            "wait for the team's work to end, or raise its quota",
        )

    def reserve(self, team: str, demand: Resources) -> None:
        """Add a reservation, even beyond the team's share.

        The amount is counted in any case, since the task may already run.
        """
        self._reserved[team] = self.find_reserved(team) + demand

    def release(self, team: str, demand: Resources) -> None:
        """Subtract a released reservation.

        Raises
        ------
        QuotaReleaseError
            When the team has reserved less than ``demand``.
        """
        reserved = self.find_reserved(team)
        if not demand.fits_in(reserved):
            raise QuotaReleaseError(team, demand, reserved)
        left = reserved - demand
        if left == NO_RESOURCES:
            del self._reserved[team]
            return
        self._reserved[team] = left


def _map_amounts(
    amounts: Resources, change: Callable[[int], int]
) -> Resources:
    return Resources(
        **{name: change(getattr(amounts, name)) for name in _NAMES}
    )
