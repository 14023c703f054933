"""Schemas of the documents of a declaration, registered by kind."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from sassafrasgate.configuration.values import Cores
from sassafrasgate.configuration.values import Count
from sassafrasgate.configuration.values import JobClassName
from sassafrasgate.configuration.values import Memory
from sassafrasgate.configuration.values import Name
from sassafrasgate.core.registries import Registry


@dataclass(frozen=True, slots=True)
class HostClass:
    """Capacity and labels that a class of equal hosts shares."""

    cores: Cores
    memory: Memory
    slots: Count
    connections: Count
    accelerators: Count = 0
    labels: tuple[Name, ...] = ()


@dataclass(frozen=True, slots=True)
class HostGroup:
    """Hosts of one rack that differ only in name and URL.

    Parameters
    ----------
    names, urls : tuple of str
        One URL for each name; a range such as ``w-[1-6]`` expands to several.
    host_class : str
        Name of an entry of ``host_classes``.
    capacity : HostClass or None
        Given instead of ``host_class`` for hosts that belong to no class.
    labels : tuple of str
        Labels in addition to those of the host class.
    drained : bool
        Whether the hosts are drained and get no new work.
    """

    names: tuple[str, ...]
    urls: tuple[str, ...]
    host_class: str = ''
    capacity: HostClass | None = None
    labels: tuple[Name, ...] = ()
    drained: bool = False


@dataclass(frozen=True, slots=True)
class RackEntry:
    """A rack with its hosts."""

    name: Name
    hosts: tuple[HostGroup, ...]


@dataclass(frozen=True, slots=True)
class DomainEntry:
    """A failure domain with its racks."""

    name: Name
    racks: tuple[RackEntry, ...]


@dataclass(frozen=True, slots=True)
class ShardEntry:
    """A shard and its racks.

    When no shards are declared, each failure domain is one shard.
    """

    name: Name
    failure_domain: Name
    racks: tuple[Name, ...]


@dataclass(frozen=True, slots=True)
class RuleEntry:
    """A placement rule; see `sassafrasgate.core.cells.Rule`."""

    name: Name
    team: str = ''
    job_class: JobClassName = ''
    failure_domains: tuple[Name, ...] = ()
    labels: tuple[Name, ...] = ()
    priority: int = 0
    may_preempt: bool = False


@dataclass(frozen=True, slots=True)
class QuotaEntry:
    """Limits on the resources that a team may reserve; 0 means no limit."""

    cores: Cores = 0
    memory: Memory = 0
    accelerators: Count = 0
    slots: Count = 0
    connections: Count = 0


@dataclass(frozen=True, slots=True)
class TeamEntry:
    """A team with its weight and quota."""

    name: Name
    weight: int = 1
    quota: QuotaEntry = QuotaEntry()
    max_queued: Count = 10000


SCHEMAS: Registry[str, type[Any]] = Registry('kind of document')


@SCHEMAS.register('inventory')
@dataclass(frozen=True, slots=True)
class Inventory:
    """Content of an inventory document: the hosts of a cell."""

    cell: Name = ''
    host_classes: dict[str, HostClass] = field(default_factory=dict)
    failure_domains: tuple[DomainEntry, ...] = ()
    kind: str = 'inventory'


@SCHEMAS.register('rules')
@dataclass(frozen=True, slots=True)
class Rules:
    """Content of a rules document: placement rules and shards."""

    rules: tuple[RuleEntry, ...] = ()
    shards: tuple[ShardEntry, ...] = ()
    kind: str = 'rules'


@SCHEMAS.register('quotas')
@dataclass(frozen=True, slots=True)
class Quotas:
    """Content of a quotas document: the teams and their quotas."""

    teams: tuple[TeamEntry, ...] = ()
    kind: str = 'quotas'
