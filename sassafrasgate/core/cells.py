"""The operators' configuration of one cell, as frozen data."""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.hosts import Host
from sassafrasgate.core.resources import NOTHING
from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Shard:
    """Whole racks of one failure domain under one owner.

    Parameters
    ----------
    name : str
        Unique name in the cell.
    failure_domain : str
        Where all its racks stand.
    racks : tuple of str
        Its racks.
    """

    name: str
    failure_domain: str
    racks: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Team:
    """A team with its weight and quota.

    Parameters
    ----------
    name : str
        As callers name it.
    weight : int
        Fair share relative to other teams.
    quota : Resources
        Most that the team's running tasks may reserve in the whole cell;
        zero in a resource means no limit.
    max_queued : int
        Most jobs of the team that may wait.
    """

    name: str
    weight: int = 1
    quota: Resources = NOTHING
    max_queued: int = 10000


@dataclass(frozen=True, slots=True)
class Rule:
    """Where work may go and what it may displace.

    Parameters
    ----------
    name : str
        For logs and explanations.
    team, job_class : str
        What the rule matches; empty for all.
    failure_domains, labels : tuple of str
        Where matching jobs may run; empty for anywhere.
    priority : int
        Added to the priority of matching jobs.
    may_preempt : bool
        Whether matching jobs may preempt lower classes by checkpoint.
    """

    name: str
    team: str = ''
    job_class: str = ''
    failure_domains: tuple[str, ...] = ()
    labels: tuple[str, ...] = ()
    priority: int = 0
    may_preempt: bool = False


@dataclass(frozen=True, slots=True)
class Configuration:
    """One accepted version of a cell's configuration.

    Parameters
    ----------
    version : int
        Grows by one with each accepted change; 0 for none yet.
    change : str
        Id of the change that made this version.
    """

    version: int = 0
    change: str = ''
    cell: str = ''
    hosts: tuple[Host, ...] = ()
    shards: tuple[Shard, ...] = ()
    teams: tuple[Team, ...] = ()
    rules: tuple[Rule, ...] = ()
