"""Builds the entries of a configuration from declaration documents.

Each entry keeps its location, so that a fault found later is reported with
its file and line.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from itertools import zip_longest
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.configuration.documents import ParsedDocument
from sassafrasgate.configuration.faults import Fault
from sassafrasgate.configuration.faults import suggest_name
from sassafrasgate.configuration.ranges import expand_range
from sassafrasgate.configuration.schemas import HostClass
from sassafrasgate.configuration.schemas import HostGroup
from sassafrasgate.configuration.schemas import Inventory
from sassafrasgate.configuration.schemas import Quotas
from sassafrasgate.configuration.schemas import Rules
from sassafrasgate.configuration.values import ValidationIssue
from sassafrasgate.core.cells import Rule
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.registries import Registry
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from sassafrasgate.configuration.schemas import DomainEntry
    from sassafrasgate.configuration.schemas import QuotaEntry

ParsedDocuments = tuple[ParsedDocument, ...]


@dataclass(frozen=True, slots=True)
class Location:
    """A path within a parsed document."""

    parsed: ParsedDocument
    path: str

    def get_child(self, name: str) -> Location:
        """Return the location of a key or an ``[index]`` below this one."""
        separator = '' if name.startswith('[') or not self.path else '.'
        return Location(self.parsed, f'{self.path}{separator}{name}')

    def make_fault(self, value: str, issue: ValidationIssue) -> Fault:
        """Return the fault that reports an issue at this location."""
        line = self.parsed.find_line(self.path)
        return Fault(
            self.parsed.file,
            line,
            self.path,
            value,
            issue.problem,
            issue.remedy,
        )

    def has_fault(self) -> bool:
        """Return whether the document has faults at or below this location."""
        return any(self.contains(fault) for fault in self.parsed.faults)

    def contains(self, fault: Fault) -> bool:
        """Return whether a fault lies at or below this location."""
        if fault.file != self.parsed.file:
            return False
        if not fault.path.startswith(self.path):
            return False
        return fault.path[len(self.path) :][:1] in ('', '.', '[')


@dataclass(frozen=True, slots=True)
class DeclaredEntry:
    """One entry of a configuration and where it was declared.

    Parameters
    ----------
    group : str
        Field of `Configuration` that holds the entry.
    value : Host, Shard, Team or Rule
        The entry itself.
    location : Location
        Where the entry is declared.
    field_locations : dict
        Locations of those fields that are declared elsewhere, by field name.
    """

    group: str
    value: Any
    location: Location
    field_locations: dict[str, Location] = field(default_factory=dict)

    def find_location(self, name: str) -> Location:
        """Return the location of a field; an empty name means the entry."""
        if name in self.field_locations:
            return self.field_locations[name]
        return self.location.get_child(name) if name else self.location


@dataclass(frozen=True, slots=True)
class DeclaredHostClass:
    """A host class and where it is declared."""

    host_class: HostClass
    location: Location


HostClasses = dict[str, DeclaredHostClass]

# Used in place of an unknown host class, so that its hosts cause no further
# faults.
_PLACEHOLDER_CLASS = HostClass(1000, 1024, 1, 1)

BUILDERS: Registry[
    type[Any],
    Callable[[ParsedDocument, HostClasses], Iterator[DeclaredEntry | Fault]],
] = Registry('document builder')

DECLARATION_CHECKS: Registry[
    str, Callable[[ParsedDocuments], Iterator[Fault]]
] = Registry('declaration check')


def build_entries(
    parsed_documents: ParsedDocuments,
) -> tuple[tuple[DeclaredEntry, ...], tuple[Fault, ...]]:
    """Return the entries of all documents and the faults found in them.

    Parameters
    ----------
    parsed_documents : tuple of ParsedDocument
        Documents read by the schemas in
        `sassafrasgate.configuration.schemas`.
    """
    classes = _collect_classes(parsed_documents)
    found: list[DeclaredEntry | Fault] = []
    for name in DECLARATION_CHECKS:
        found += DECLARATION_CHECKS.find(name)(parsed_documents)
    for parsed in parsed_documents:
        found += BUILDERS.find(type(parsed.value))(parsed, classes)
    entries = tuple(item for item in found if isinstance(item, DeclaredEntry))
    if not any(entry.group == 'shards' for entry in entries):
        entries += tuple(_make_default_shards(entries))
    return entries, tuple(item for item in found if isinstance(item, Fault))


def find_cell(parsed_documents: ParsedDocuments) -> str:
    """Return the name of the cell; empty when no document names it."""
    cells = [
        parsed.value.cell for parsed in _list_inventories(parsed_documents)
    ]
    return next((cell for cell in cells if cell), '')


def _list_inventories(
    parsed_documents: ParsedDocuments,
) -> Iterator[ParsedDocument]:
    for parsed in parsed_documents:
        if isinstance(parsed.value, Inventory):
            yield parsed


def _list_classes(
    parsed_documents: ParsedDocuments,
) -> Iterator[tuple[str, DeclaredHostClass]]:
    for parsed in _list_inventories(parsed_documents):
        for name, host_class in parsed.value.host_classes.items():
            location = Location(parsed, f'host_classes.{name}')
            yield name, DeclaredHostClass(host_class, location)


def _collect_classes(parsed_documents: ParsedDocuments) -> HostClasses:
    return dict(_list_classes(parsed_documents))


def _list_domains(
    parsed_documents: ParsedDocuments,
) -> Iterator[tuple[DomainEntry, Location]]:
    for parsed in _list_inventories(parsed_documents):
        for index, domain in enumerate(parsed.value.failure_domains):
            yield domain, Location(parsed, f'failure_domains[{index}]')


def _find_duplicates(
    named: Iterator[tuple[str, Location]], noun: str
) -> Iterator[Fault]:
    seen: dict[str, Location] = {}
    for name, location in named:
        first = seen.setdefault(name, location)
        if not name or first is location:
            continue
        line = first.parsed.find_line(first.path)
        issue = ValidationIssue(
            f'is also the {noun} at {first.parsed.file}:{line}',
            f'declare each {noun} once',
        )
        yield location.make_fault(repr(name), issue)


@DECLARATION_CHECKS.register('cell')
def check_cell(parsed_documents: ParsedDocuments) -> Iterator[Fault]:
    """Find a missing cell name, or a second one that differs."""
    cell = find_cell(parsed_documents)
    inventories = tuple(_list_inventories(parsed_documents))
    if not cell and not any(
        Location(parsed, 'cell').has_fault() for parsed in inventories
    ):
        for parsed in (inventories or parsed_documents)[:1]:
            issue = ValidationIssue(
                "the key 'cell' is missing in the inventory",
                'name the cell in one inventory document',
            )
            yield Location(parsed, '').make_fault('', issue)
    for parsed in inventories:
        if parsed.value.cell not in ('', cell):
            issue = ValidationIssue(
                f'is not the cell {cell!r} of another document',
                'declare one cell only',
            )
            location = Location(parsed, 'cell')
            yield location.make_fault(repr(parsed.value.cell), issue)


@DECLARATION_CHECKS.register('host classes')
def check_host_classes(parsed_documents: ParsedDocuments) -> Iterator[Fault]:
    """Find host classes that are declared twice."""
    named = (
        (name, declared.location)
        for name, declared in _list_classes(parsed_documents)
    )
    yield from _find_duplicates(named, 'host class')


@DECLARATION_CHECKS.register('failure domains')
def check_failure_domains(
    parsed_documents: ParsedDocuments,
) -> Iterator[Fault]:
    """Find failure domains that are declared twice or have no racks."""
    for parsed in tuple(_list_inventories(parsed_documents))[:1]:
        location = Location(parsed, '')
        if not any(_list_domains(parsed_documents)) and not parsed.faults:
            issue = ValidationIssue(
                'the inventory has no failure domains',
                'declare the hosts of the cell',
            )
            yield location.make_fault('', issue)
    named = (
        (domain.name, location.get_child('name'))
        for domain, location in _list_domains(parsed_documents)
    )
    yield from _find_duplicates(named, 'failure domain')
    for domain, location in _list_domains(parsed_documents):
        if not domain.racks and not location.has_fault():
            issue = ValidationIssue('has no racks', 'add a rack or remove it')
            yield location.make_fault(repr(domain.name), issue)


@DECLARATION_CHECKS.register('racks')
def check_rack_entries(parsed_documents: ParsedDocuments) -> Iterator[Fault]:
    """Find racks that are declared twice in a domain or have no hosts.

    `sassafrasgate.configuration.checks.check_racks` finds racks that are
    declared in two failure domains.
    """
    for domain, location in _list_domains(parsed_documents):
        named = (
            (rack.name, location.get_child(f'racks[{index}].name'))
            for index, rack in enumerate(domain.racks)
        )
        yield from _find_duplicates(named, 'rack')
        for index, rack in enumerate(domain.racks):
            rack_location = location.get_child(f'racks[{index}]')
            if not rack.hosts and not rack_location.has_fault():
                issue = ValidationIssue(
                    'has no hosts', 'add hosts or remove it'
                )
                yield rack_location.make_fault(repr(rack.name), issue)


@BUILDERS.register(Inventory)
def build_inventory(
    parsed: ParsedDocument, classes: HostClasses
) -> Iterator[DeclaredEntry | Fault]:
    """Build the hosts of an inventory document."""
    for domain, location in _list_domains((parsed,)):
        for number, rack in enumerate(domain.racks):
            rack_location = location.get_child(f'racks[{number}]')
            for index, group in enumerate(rack.hosts):
                yield from _build_hosts(
                    domain.name,
                    rack.name,
                    group,
                    rack_location.get_child(f'hosts[{index}]'),
                    classes,
                )


def _build_hosts(
    domain: str,
    rack: str,
    group: HostGroup,
    location: Location,
    classes: HostClasses,
) -> Iterator[DeclaredEntry | Fault]:
    declared = _find_class(group, location, classes)
    if isinstance(declared, Fault):
        yield declared
        declared = DeclaredHostClass(_PLACEHOLDER_CLASS, location)
    names, name_faults = _expand_ranges(
        group.names, location.get_child('names')
    )
    urls, url_faults = _expand_ranges(group.urls, location.get_child('urls'))
    yield from name_faults
    yield from url_faults
    if not group.names and not location.has_fault():
        issue = ValidationIssue(
            'names no hosts', 'add names and urls or remove it'
        )
        yield location.get_child('names').make_fault('', issue)
    if len(names) != len(urls) and not (
        name_faults
        or url_faults
        or location.get_child('names').has_fault()
        or location.get_child('urls').has_fault()
    ):
        issue = ValidationIssue(
            f'there are {len(names)} names and {len(urls)} urls',
            'write one url for each name',
        )
        yield location.make_fault('', issue)
    host_class = declared.host_class
    capacity = _make_resources(host_class)
    rack_path = location.path.rpartition('.hosts')[0]
    labels = tuple(dict.fromkeys((*host_class.labels, *group.labels)))
    # Where there are more names than URLs or the reverse, the surplus ones
    # are still checked on their own.
    pairs = zip_longest(names, urls, fillvalue=('', location))
    for (name, name_location), (url, url_location) in pairs:
        yield DeclaredEntry(
            'hosts',
            Host(
                name,
                url.rstrip('/'),
                rack,
                domain,
                capacity,
                labels,
                group.drained,
            ),
            location,
            {
                'name': name_location,
                'url': url_location,
                'rack': Location(location.parsed, f'{rack_path}.name'),
                'capacity': declared.location,
            },
        )


def _find_class(
    group: HostGroup, location: Location, classes: HostClasses
) -> DeclaredHostClass | Fault:
    """Return the capacity of a host group and where it is declared."""
    class_location = location.get_child('host_class')
    if group.capacity is not None:
        if not group.host_class:
            return DeclaredHostClass(
                group.capacity, location.get_child('capacity')
            )
        issue = ValidationIssue(
            'is given together with capacity', 'write one of the two'
        )
        return class_location.make_fault(repr(group.host_class), issue)
    if not group.host_class:
        issue = ValidationIssue(
            'has neither host_class nor capacity', 'write one'
        )
        return location.make_fault('', issue)
    if group.host_class not in classes:
        remedy = suggest_name(group.host_class, tuple(classes))
        issue = ValidationIssue('is not declared in host_classes', remedy)
        return class_location.make_fault(repr(group.host_class), issue)
    return classes[group.host_class]


def _expand_ranges(
    texts: tuple[str, ...], location: Location
) -> tuple[list[tuple[str, Location]], list[Fault]]:
    """Return the texts that the ranges expand to, with their locations."""
    found: list[tuple[str, Location]] = []
    faults = []
    for index, text in enumerate(texts):
        item_location = location.get_child(f'[{index}]')
        # A single text given instead of a list has the path of the list.
        item_location = (
            item_location
            if item_location.path in location.parsed.lines
            else location
        )
        result = expand_range(text)
        if isinstance(result, ValidationIssue):
            faults.append(item_location.make_fault(repr(text), result))
            continue
        found += [(item, item_location) for item in result]
    return found, faults


@BUILDERS.register(Rules)
def build_rules(
    parsed: ParsedDocument, classes: HostClasses
) -> Iterator[DeclaredEntry | Fault]:
    """Build the rules and shards of a rules document."""
    content: Rules = parsed.value
    for index, shard in enumerate(content.shards):
        yield DeclaredEntry(
            'shards',
            Shard(shard.name, shard.failure_domain, shard.racks),
            Location(parsed, f'shards[{index}]'),
        )
    for index, rule in enumerate(content.rules):
        yield DeclaredEntry(
            'rules',
            Rule(
                rule.name,
                rule.team,
                rule.job_class,
                rule.failure_domains,
                rule.labels,
                rule.priority,
                rule.may_preempt,
            ),
            Location(parsed, f'rules[{index}]'),
        )


@BUILDERS.register(Quotas)
def build_quotas(
    parsed: ParsedDocument, classes: HostClasses
) -> Iterator[DeclaredEntry | Fault]:
    """Build the teams of a quotas document."""
    content: Quotas = parsed.value
    for index, team in enumerate(content.teams):
        quota = _make_resources(team.quota)
        yield DeclaredEntry(
            'teams',
            Team(team.name, team.weight, quota, team.max_queued),
            Location(parsed, f'teams[{index}]'),
        )


def _make_default_shards(
    entries: tuple[DeclaredEntry, ...],
) -> Iterator[DeclaredEntry]:
    """Yield one shard for each failure domain, with all of its racks."""
    locations: dict[str, Location] = {}
    domains_by_rack: dict[str, str] = {}
    for entry in entries:
        if entry.group != 'hosts':
            continue
        domains_by_rack.setdefault(
            entry.value.rack, entry.value.failure_domain
        )
        path = entry.location.path.partition('.racks')[0]
        locations.setdefault(
            entry.value.failure_domain, Location(entry.location.parsed, path)
        )
    for domain, location in locations.items():
        racks = tuple(
            rack
            for rack, rack_domain in domains_by_rack.items()
            if rack_domain == domain
        )
        if racks:
            shard = Shard(domain, domain, racks)
            yield DeclaredEntry('shards', shard, location)


def _make_resources(entry: HostClass | QuotaEntry) -> Resources:
    return Resources(
        entry.cores,
        entry.memory,
        entry.accelerators,
        entry.slots,
        entry.connections,
    )
