"""Checks of a whole configuration.

They work on `Configuration` itself, so that the files of a declaration and a
configuration received by HTTP pass the same checks.
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

# Beyond any single machine on sale; a larger value was probably written in
# the wrong unit.
MAX_MILLICORES = 4_096_000
MAX_MEMORY_MB = 64 * 2**20
MAX_ACCELERATORS = 1_024
MAX_SLOTS = 65_536
# A worker listens on one port, to which one client address can open a
# connection from each of its 65,535 ports.
MAX_CONNECTIONS = 65_535
MIN_WEIGHT, MAX_WEIGHT = 1, 10_000
MAX_PRIORITY = 100
# The largest integer that every JSON parser represents exactly.
MAX_AMOUNT = 2**53 - 1


@dataclass(frozen=True, slots=True)
class ConfigurationIssue:
    """A problem with one entry of a configuration.

    Parameters
    ----------
    group : str
        Field of `Configuration` that holds the entry.
    index : int or None
        Position of the entry in the group; None for the name of the cell.
    field : str
        Field of the entry; empty for the entry as a whole.
    value : str
        The ``repr`` of the invalid value.
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
    """Return all issues of a configuration; empty when it is valid.

    Parameters
    ----------
    configuration : Configuration
        Configuration to check, of any version.

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


def _find_duplicates(
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


def _apply_check(
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
    """Find an invalid name of the cell."""
    result = check_name(configuration.cell)
    if isinstance(result, ValidationIssue):
        value = repr(configuration.cell)
        yield ConfigurationIssue('cell', None, '', value, result)


@CONFIGURATION_CHECKS.register('names')
def check_names(
    configuration: Configuration,
) -> Iterator[ConfigurationIssue]:
    """Find names that are invalid, or used twice in one group."""
    for group, noun in (
        ('hosts', 'hosts'),
        ('shards', 'shards'),
        ('teams', 'teams'),
        ('rules', 'rules'),
    ):
        names = [entry.name for entry in getattr(configuration, group)]
        yield from _apply_check(check_name, group, 'name', names)
        yield from _find_duplicates(group, 'name', names, noun)


@CONFIGURATION_CHECKS.register('urls')
def check_urls(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find hosts with an invalid URL or with the URL of another host."""
    urls = [host.url for host in configuration.hosts]
    yield from _apply_check(check_url, 'hosts', 'url', urls)
    used: dict[str, int] = {}
    for index, host in enumerate(configuration.hosts):
        # URLs that differ only in the scheme name the same worker.
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
    """Find racks that are declared in two failure domains."""
    domains_by_rack: dict[str, str] = {}
    reported: set[tuple[str, str]] = set()
    for index, host in enumerate(configuration.hosts):
        domain = domains_by_rack.setdefault(host.rack, host.failure_domain)
        pair = (host.rack, host.failure_domain)
        if domain == host.failure_domain or pair in reported:
            continue
        reported.add(pair)
        issue = ValidationIssue(
            f'is in the failure domains {domain!r} and '
            f'{host.failure_domain!r}',
            'rename one of the racks',
        )
        yield ConfigurationIssue(
            'hosts', index, 'rack', repr(host.rack), issue
        )


def _map_racks_to_domains(configuration: Configuration) -> dict[str, str]:
    domains_by_rack: dict[str, str] = {}
    for host in configuration.hosts:
        domains_by_rack.setdefault(host.rack, host.failure_domain)
    return domains_by_rack


@CONFIGURATION_CHECKS.register('shards')
def check_shards(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find shards without racks, sharing racks or spanning domains."""
    domains_by_rack = _map_racks_to_domains(configuration)
    domains = tuple(dict.fromkeys(domains_by_rack.values()))
    shards_by_rack: dict[str, str] = {}
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
            rack_issue = _check_rack(
                shard.failure_domain, rack, domains_by_rack, shards_by_rack
            )
            shards_by_rack.setdefault(rack, shard.name)
            if rack_issue is not None:
                yield ConfigurationIssue(
                    'shards', index, 'racks', repr(rack), rack_issue
                )


def _check_rack(
    domain: str,
    rack: str,
    domains_by_rack: dict[str, str],
    shards_by_rack: dict[str, str],
) -> ValidationIssue | None:
    if rack not in domains_by_rack:
        remedy = suggest_name(rack, tuple(domains_by_rack))
        return ValidationIssue('is not in the inventory', remedy)
    if rack in shards_by_rack:
        return ValidationIssue(
            f'is already in the shard {shards_by_rack[rack]!r}',
            'name each rack in one shard',
        )
    if domains_by_rack[rack] != domain and domain in domains_by_rack.values():
        return ValidationIssue(
            f'is in {domains_by_rack[rack]!r} and not in {domain!r}',
            'keep a shard within one failure domain',
        )
    return None


@CONFIGURATION_CHECKS.register('racks without a shard')
def check_unassigned_racks(
    configuration: Configuration,
) -> Iterator[ConfigurationIssue]:
    """Find racks that belong to no shard, so that their hosts get no work."""
    assigned = {rack for shard in configuration.shards for rack in shard.racks}
    for index, host in enumerate(configuration.hosts):
        if host.rack in assigned:
            continue
        assigned.add(host.rack)
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
    """Find capacities outside the range of possible machines."""
    for index, host in enumerate(configuration.hosts):
        for value, issue in _check_capacity(host.capacity):
            yield ConfigurationIssue('hosts', index, 'capacity', value, issue)


def _check_capacity(
    capacity: Resources,
) -> Iterator[tuple[str, ValidationIssue]]:
    bounds = (
        ('cores', capacity.millicores, 1, MAX_MILLICORES, format_cores),
        ('memory', capacity.memory_mb, 1, MAX_MEMORY_MB, format_memory),
        ('accelerators', capacity.accelerators, 0, MAX_ACCELERATORS, str),
        ('slots', capacity.slots, 1, MAX_SLOTS, str),
        ('connections', capacity.connections, 1, MAX_CONNECTIONS, str),
    )
    for noun, amount, minimum, maximum, format_amount in bounds:
        if minimum <= amount <= maximum:
            continue
        issue = ValidationIssue(
            f'is an impossible amount of {noun} for a host',
            f'write from {format_amount(minimum)} to {format_amount(maximum)}',
        )
        yield repr(format_amount(amount)), issue


@CONFIGURATION_CHECKS.register('teams')
def check_teams(configuration: Configuration) -> Iterator[ConfigurationIssue]:
    """Find quotas, weights and queue limits that are out of range."""
    for index, team in enumerate(configuration.teams):
        quota = team.quota
        for noun, amount, format_amount in (
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
                    'teams', index, 'quota', repr(format_amount(amount)), issue
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
    """Find rules with undeclared names or values that are out of range."""
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
