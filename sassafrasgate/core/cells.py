"""Configuration of a cell: hosts, shards, teams and placement rules."""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.hosts import Host
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Shard:
    """Group of whole racks in one failure domain, managed by one owner.

    Parameters
    ----------
    name : str
        Unique name in the cell.
    failure_domain : str
        Failure domain that contains all its racks.
    racks : tuple of str
        Names of the racks.
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
        Name that callers use in their requests.
    weight : int
        Weight of its fair share relative to other teams.
    quota : Resources
        Maximum that the team's running tasks may reserve in the whole cell;
        zero in a resource means no limit.
    max_queued : int
        Maximum number of the team's jobs that may be queued.
    """

    name: str
    weight: int = 1
    quota: Resources = NO_RESOURCES
    max_queued: int = 10000


@dataclass(frozen=True, slots=True)
class Rule:
    """Where matching jobs may run and whether they may preempt others.

    Parameters
    ----------
    name : str
        Name shown in logs and explanations.
    team, job_class : str
        Team and job class that the rule matches; empty matches all.
    failure_domains, labels : tuple of str
        Failure domains and host labels to which matching jobs are
        restricted; empty for no restriction.
    priority : int
        Added to the priority of matching jobs.
    may_preempt : bool
        Whether matching jobs may preempt jobs of lower classes, which are
        checkpointed first.
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
        Increases by one with each accepted change; 0 before the first.
    change : str
        Id of the change that created this version.
    """

    version: int = 0
    change: str = ''
    cell: str = ''
    hosts: tuple[Host, ...] = ()
    shards: tuple[Shard, ...] = ()
    teams: tuple[Team, ...] = ()
    rules: tuple[Rule, ...] = ()
