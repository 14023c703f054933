"""Checks of a whole configuration, in a registry filled by decorators.

They work on `Configuration` itself, so that a declaration's files and a
configuration that arrives by HTTP pass the same checks.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafrasgate.configuration.faults import suggest_name
from sassafrasgate.configuration.units import format_cores
from sassafrasgate.configuration.units import format_memory
from sassafrasgate.configuration.values import check_job_class
from sassafrasgate.configuration.values import check_name
from sassafrasgate.configuration.values import check_url
from sassafrasgate.configuration.values import ValidationIssue
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from sassafrasgate.core.cells import Configuration
    from sassafrasgate.core.resources import Resources

# Larger than any single machine on sale; a value above it is a slip of unit.
MAX_MILLICORES = 4_096_000
MAX_MEMORY_MB = 64 * 2**20
MAX_ACCELERATORS = 1_024
MAX_SLOTS = 65_536
# A worker has one port, and a client address has this many ports towards it.
MAX_CONNECTIONS = 65_535
MIN_WEIGHT, MAX_WEIGHT = 1, 10_000
MAX_PRIORITY = 100
# The largest whole number that every JSON reader keeps exactly.
MAX_AMOUNT = 2**53 - 1


@dataclass(frozen=True, slots=True)
class ConfigurationIssue:
    """What is wrong with one entry of a configuration.

    Parameters
    ----------
    group : str
        Field of `Configuration` that holds the entry.
    index : int or None
        Position of the entry in the group; None for the cell's name.
    field : str
        Field of the entry; empty for the entry as a whole.
    value : str
        The bad value by ``repr``.
    issue : ValidationIssue
        Problem and remedy.
    """

    group: str
    index: int | None
    field: str
    value: str
    issue: ValidationIssue

    def __str__(self) -> str:
        index = f'[{self.index}]' if self.index is not None else ''
        field = f'.{self.field}' if self.field else ''
        return (
            f'{self.group}{index}{field}: {self.value} '
            f'{self.issue.problem}; {self.issue.remedy}'
        )


CONFIGURATION_CHECKS: Registry[
    str, Callable[[Configuration], Iterator[ConfigurationIssue]]
] = Registry('configuration check')


def check_configuration(
    configuration: Configuration,
) -> tuple[ConfigurationIssue, ...]:
    """Return all issues of a configuration; empty when it can be used.

    Parameters
    ----------
    configuration : Configuration
        Of any version.

    Examples
    --------
    >>> check_configuration(Configuration(cell='brazos'))
    ()
    """
    return tuple(
        issue
        for name in CONFIGURATION_CHECKS
        for issue in CONFIGURATION_CHECKS.find(name)(configuration)
    )


def _find_repeats(
    group: str, field: str, values: Iterable[str], noun: str
) -> Iterator[ConfigurationIssue]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            issue = ValidationIssue(
                f'names two {noun}', 'rename or remove one of them'
            )
            yield ConfigurationIssue(group, index, field, repr(value), issue)
        seen.add(value)


def _apply(
    check: Callable[[object], object],
    group: str,
    field: str,
    values: Iterable[str],
) -> Iterator[ConfigurationIssue]:
    for index, value in enumerate(values):
        result = check(value)
        if isinstance(result, ValidationIssue):
            yield ConfigurationIssue(group, index, field, repr(value), result)


@CONFIGURATION_CHECKS.register('cell')
def check_cell_name(
    configuration: Configuration,
) -> Iterator[ConfigurationIssue]:
    """Find an unusable name of the cell."""
    result = check_name(configuration.cell)
    if isinstance(result, ValidationIssue):
        value = repr(configuration.cell)
        yield ConfigurationIssue('cell', None, '', value, result)


@CONFIGURATION_CHECKS.register('names')
def check_names(
    configuration: Configuration,
) -> Iterator[ConfigurationIssue]:
    """Find names that are unusable or used twice."""
    for group, noun in (
        ('hosts', 'hosts'),
        ('shards', 'shards'),
        ('teams', 'teams'),
        ('rules', 'rules'),
    ):
        names = [entry.name for entry in getattr(configuration, group)]
        yield from _apply(check_name, group, 'name', names)
        yield from _find_repeats(group, 'name', names, noun)


@CONFIGURATION_CHECKS.register('urls')
def check_urls(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find workers without a usable address of their own."""
    urls = [host.url for host in configuration.hosts]
    yield from _apply(check_url, 'hosts', 'url', urls)
    used: dict[str, int] = {}
    for index, host in enumerate(configuration.hosts):
        # One worker can be written with two schemes, but has one address.
        address = host.url.partition('://')[2].rstrip('/')
        first = used.setdefault(address, index)
        if first != index:
            other = configuration.hosts[first].name
            issue = ValidationIssue(
                f'is already the url of {other!r}',
                'give each host a url of its own',
            )
            yield ConfigurationIssue(
                'hosts', index, 'url', repr(host.url), issue
            )


@CONFIGURATION_CHECKS.register('racks')
def check_racks(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find racks that stand in two failure domains."""
    homes: dict[str, str] = {}
    reported: set[tuple[str, str]] = set()
    for index, host in enumerate(configuration.hosts):
        home = homes.setdefault(host.rack, host.failure_domain)
        pair = (host.rack, host.failure_domain)
        if home == host.failure_domain or pair in reported:
            continue
        reported.add(pair)
        issue = ValidationIssue(
            f'stands in the failure domains {home!r} and '
            f'{host.failure_domain!r}',
            'rename one of the racks',
        )
        yield ConfigurationIssue(
            'hosts', index, 'rack', repr(host.rack), issue
        )


def _find_rack_homes(configuration: Configuration) -> dict[str, str]:
    homes: dict[str, str] = {}
    for host in configuration.hosts:
        homes.setdefault(host.rack, host.failure_domain)
    return homes


@CONFIGURATION_CHECKS.register('shards')
def check_shards(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find shards that share racks or span failure domains."""
    homes = _find_rack_homes(configuration)
    domains = tuple(dict.fromkeys(homes.values()))
    owners: dict[str, str] = {}
    for index, shard in enumerate(configuration.shards):
        if shard.failure_domain not in domains:
            yield ConfigurationIssue(
                'shards',
                index,
                'failure_domain',
                repr(shard.failure_domain),
                ValidationIssue(
                    'is not in the inventory',
                    suggest_name(shard.failure_domain, domains),
                ),
            )
        if not shard.racks:
            issue = ValidationIssue(
                'has no racks', 'name its racks or remove it'
            )
            yield ConfigurationIssue(
                'shards', index, 'racks', repr(shard.name), issue
            )
        for rack in shard.racks:
            problem = _judge_rack(shard.failure_domain, rack, homes, owners)
            owners.setdefault(rack, shard.name)
            if problem is not None:
                yield ConfigurationIssue(
                    'shards', index, 'racks', repr(rack), problem
                )


def _judge_rack(
    domain: str, rack: str, homes: dict[str, str], owners: dict[str, str]
) -> ValidationIssue | None:
    if rack not in homes:
        remedy = suggest_name(rack, tuple(homes))
        return ValidationIssue('is not in the inventory', remedy)
    if rack in owners:
        return ValidationIssue(
            f'is already in the shard {owners[rack]!r}',
            'name each rack in one shard',
        )
    if homes[rack] != domain and domain in homes.values():
        return ValidationIssue(
            f'stands in {homes[rack]!r} and not in {domain!r}',
            'keep a shard within one failure domain',
        )
    return None


@CONFIGURATION_CHECKS.register('racks without a shard')
def check_rack_cover(
    configuration: Configuration,
) -> Iterator[ConfigurationIssue]:
    """Find racks whose hosts no shard would use."""
    covered = {rack for shard in configuration.shards for rack in shard.racks}
    for index, host in enumerate(configuration.hosts):
        if host.rack in covered:
            continue
        covered.add(host.rack)
        issue = ValidationIssue(
            'is in no shard', 'add it to a shard of its domain'
        )
        yield ConfigurationIssue(
            'hosts', index, 'rack', repr(host.rack), issue
        )


@CONFIGURATION_CHECKS.register('capacities')
def check_capacities(
    configuration: Configuration,
) -> Iterator[ConfigurationIssue]:
    """Find hosts of an impossible size."""
    for index, host in enumerate(configuration.hosts):
        for value, issue in _judge_capacity(host.capacity):
            yield ConfigurationIssue('hosts', index, 'capacity', value, issue)


def _judge_capacity(
    capacity: Resources,
) -> Iterator[tuple[str, ValidationIssue]]:
    bounds = (
        ('cores', capacity.millicores, 1, MAX_MILLICORES, format_cores),
        ('memory', capacity.memory_mb, 1, MAX_MEMORY_MB, format_memory),
        ('accelerators', capacity.accelerators, 0, MAX_ACCELERATORS, str),
        ('slots', capacity.slots, 1, MAX_SLOTS, str),
        ('connections', capacity.connections, 1, MAX_CONNECTIONS, str),
    )
    for noun, amount, least, most, show in bounds:
        if least <= amount <= most:
            continue
        issue = ValidationIssue(
            f'is an impossible amount of {noun} for a host',
            f'write from {show(least)} to {show(most)}',
        )
        yield repr(show(amount)), issue


@CONFIGURATION_CHECKS.register('teams')
def check_teams(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find quotas below zero and weights that give no share."""
    for index, team in enumerate(configuration.teams):
        quota = team.quota
        for noun, amount, show in (
            ('cores', quota.millicores, format_cores),
            ('memory', quota.memory_mb, format_memory),
            ('accelerators', quota.accelerators, str),
            ('slots', quota.slots, str),
            ('connections', quota.connections, str),
        ):
            if not 0 <= amount <= MAX_AMOUNT:
                issue = ValidationIssue(
                    f'is an impossible quota of {noun}',
                    'write 0 for no limit, or an amount',
                )
                yield ConfigurationIssue(
                    'teams', index, 'quota', repr(show(amount)), issue
                )
        if not MIN_WEIGHT <= team.weight <= MAX_WEIGHT:
            issue = ValidationIssue(
                'is not a usable weight',
                f'write a weight from {MIN_WEIGHT} to {MAX_WEIGHT}',
            )
            yield ConfigurationIssue(
                'teams', index, 'weight', repr(team.weight), issue
            )
        if not 0 <= team.max_queued <= MAX_AMOUNT:
            issue = ValidationIssue(
                'is an impossible number of jobs', 'write 0 or more jobs'
            )
            yield ConfigurationIssue(
                'teams', index, 'max_queued', repr(team.max_queued), issue
            )


@CONFIGURATION_CHECKS.register('rules')
def check_rules(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find rules that name what does not exist."""
    known = {
        'team': tuple(team.name for team in configuration.teams),
        'failure_domains': tuple(
            dict.fromkeys(host.failure_domain for host in configuration.hosts)
        ),
        'labels': tuple(
            dict.fromkeys(
                label for host in configuration.hosts for label in host.labels
            )
        ),
    }
    for index, rule in enumerate(configuration.rules):
        for field, names in (
            ('team', (rule.team,) if rule.team else ()),
            ('failure_domains', rule.failure_domains),
            ('labels', rule.labels),
        ):
            for name in names:
                if name in known[field]:
                    continue
                issue = ValidationIssue(
                    'is not declared', suggest_name(name, known[field])
                )
                yield ConfigurationIssue(
                    'rules', index, field, repr(name), issue
                )
        result = check_job_class(rule.job_class) if rule.job_class else None
        if isinstance(result, ValidationIssue):
            yield ConfigurationIssue(
                'rules', index, 'job_class', repr(rule.job_class), result
            )
        if abs(rule.priority) > MAX_PRIORITY:
            issue = ValidationIssue(
                'is outside the range of priorities',
                f'write from -{MAX_PRIORITY} to {MAX_PRIORITY}',
            )
            yield ConfigurationIssue(
                'rules', index, 'priority', repr(rule.priority), issue
            )
