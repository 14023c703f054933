"""Entries of a configuration, built from documents with their places."""

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
class Place:
    """A path within a document."""

    parsed: ParsedDocument
    path: str

    def find_inner(self, name: str) -> Place:
        """Return the place of a key or ``[index]`` within this one."""
        separator = '' if name.startswith('[') or not self.path else '.'
        return Place(self.parsed, f'{self.path}{separator}{name}')

    def make_fault(self, value: str, issue: ValidationIssue) -> Fault:
        """Return the fault of a issue at this place."""
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
        """Tell whether the document has a fault here or further inside."""
        return any(self.covers(fault) for fault in self.parsed.faults)

    def covers(self, fault: Fault) -> bool:
        """Tell whether a fault lies at this place or further inside."""
        if fault.file != self.parsed.file:
            return False
        if not fault.path.startswith(self.path):
            return False
        return fault.path[len(self.path) :][:1] in ('', '.', '[')


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of a configuration and where it was declared.

    Parameters
    ----------
    group : str
        Field of `Configuration` for it.
    value : Host, Shard, Team or Rule
        The entry itself.
    place : Place
        Where it is declared.
    fields : dict
        Places of those fields that are declared elsewhere.
    """

    group: str
    value: Any
    place: Place
    fields: dict[str, Place] = field(default_factory=dict)

    def find_place(self, name: str) -> Place:
        """Return the place of a field."""
        if name in self.fields:
            return self.fields[name]
        return self.place.find_inner(name) if name else self.place


@dataclass(frozen=True, slots=True)
class DeclaredClass:
    """A host class and where it is declared."""

    host_class: HostClass
    place: Place


Classes = dict[str, DeclaredClass]

# Stands for an unknown class, so that its hosts raise no second fault.
_UNKNOWN_CLASS = HostClass(1000, 1024, 1, 1)

BUILDERS: Registry[
    type[Any], Callable[[ParsedDocument, Classes], Iterator[Entry | Fault]]
] = Registry('document builder')

DECLARATION_CHECKS: Registry[
    str, Callable[[ParsedDocuments], Iterator[Fault]]
] = Registry('declaration check')


def build_entries(
    parsed_documents: ParsedDocuments,
) -> tuple[tuple[Entry, ...], tuple[Fault, ...]]:
    """Return the entries of all documents and the faults found on the way.

    Parameters
    ----------
    parsed_documents : tuple of ParsedDocument
        Values of the schemas in `sassafrasgate.configuration.schemas`.
    """
    classes = _collect_classes(parsed_documents)
    found: list[Entry | Fault] = []
    for name in DECLARATION_CHECKS:
        found += DECLARATION_CHECKS.find(name)(parsed_documents)
    for parsed in parsed_documents:
        found += BUILDERS.find(type(parsed.value))(parsed, classes)
    entries = tuple(item for item in found if isinstance(item, Entry))
    if not any(entry.group == 'shards' for entry in entries):
        entries += tuple(_make_default_shards(entries))
    return entries, tuple(item for item in found if isinstance(item, Fault))


def find_cell(parsed_documents: ParsedDocuments) -> str:
    """Return the cell's name; empty when no document gives it."""
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
) -> Iterator[tuple[str, DeclaredClass]]:
    for parsed in _list_inventories(parsed_documents):
        for name, host_class in parsed.value.host_classes.items():
            place = Place(parsed, f'host_classes.{name}')
            yield name, DeclaredClass(host_class, place)


def _collect_classes(parsed_documents: ParsedDocuments) -> Classes:
    return dict(_list_classes(parsed_documents))


def _list_domains(
    parsed_documents: ParsedDocuments,
) -> Iterator[tuple[DomainEntry, Place]]:
    for parsed in _list_inventories(parsed_documents):
        for index, domain in enumerate(parsed.value.failure_domains):
            yield domain, Place(parsed, f'failure_domains[{index}]')


def _find_repeats(
    named: Iterator[tuple[str, Place]], noun: str
) -> Iterator[Fault]:
    seen: dict[str, Place] = {}
    for name, place in named:
        first = seen.setdefault(name, place)
        if not name or first is place:
            continue
        line = first.parsed.find_line(first.path)
        issue = ValidationIssue(
            f'is also the {noun} at {first.parsed.file}:{line}',
            f'declare each {noun} once',
        )
        yield place.make_fault(repr(name), issue)


@DECLARATION_CHECKS.register('cell')
def check_cell(parsed_documents: ParsedDocuments) -> Iterator[Fault]:
    """Find a missing or second cell."""
    cell = find_cell(parsed_documents)
    inventories = tuple(_list_inventories(parsed_documents))
    if not cell and not any(
        Place(parsed, 'cell').has_fault() for parsed in inventories
    ):
        for parsed in (inventories or parsed_documents)[:1]:
            issue = ValidationIssue(
                "the key 'cell' is missing in the inventory",
                'name the cell in one inventory document',
            )
            yield Place(parsed, '').make_fault('', issue)
    for parsed in inventories:
        if parsed.value.cell not in ('', cell):
            issue = ValidationIssue(
                f'is not the cell {cell!r} of another document',
                'declare one cell only',
            )
            place = Place(parsed, 'cell')
            yield place.make_fault(repr(parsed.value.cell), issue)


@DECLARATION_CHECKS.register('host classes')
def check_host_classes(parsed_documents: ParsedDocuments) -> Iterator[Fault]:
    """Find host classes that are declared twice."""
    named = (
        (name, declared.place)
        for name, declared in _list_classes(parsed_documents)
    )
    yield from _find_repeats(named, 'host class')


@DECLARATION_CHECKS.register('failure domains')
def check_failure_domains(
    parsed_documents: ParsedDocuments,
) -> Iterator[Fault]:
    """Find failure domains that are declared twice or have no racks."""
    for parsed in tuple(_list_inventories(parsed_documents))[:1]:
        place = Place(parsed, '')
        if not any(_list_domains(parsed_documents)) and not parsed.faults:
            issue = ValidationIssue(
                'the inventory has no failure domains',
                'declare the hosts of the cell',
            )
            yield place.make_fault('', issue)
    named = (
        (domain.name, place.find_inner('name'))
        for domain, place in _list_domains(parsed_documents)
    )
    yield from _find_repeats(named, 'failure domain')
    for domain, place in _list_domains(parsed_documents):
        if not domain.racks and not place.has_fault():
            issue = ValidationIssue('has no racks', 'add a rack or remove it')
            yield place.make_fault(repr(domain.name), issue)


@DECLARATION_CHECKS.register('racks')
def check_rack_entries(parsed_documents: ParsedDocuments) -> Iterator[Fault]:
    """Find racks that are declared twice in a domain or have no hosts.

    Racks in two failure domains are found by the checks of the whole
    configuration.
    """
    for domain, place in _list_domains(parsed_documents):
        named = (
            (rack.name, place.find_inner(f'racks[{index}].name'))
            for index, rack in enumerate(domain.racks)
        )
        yield from _find_repeats(named, 'rack')
        for index, rack in enumerate(domain.racks):
            inner = place.find_inner(f'racks[{index}]')
            if not rack.hosts and not inner.has_fault():
                issue = ValidationIssue(
                    'has no hosts', 'add hosts or remove it'
                )
                yield inner.make_fault(repr(rack.name), issue)


@BUILDERS.register(Inventory)
def build_inventory(
    parsed: ParsedDocument, classes: Classes
) -> Iterator[Entry | Fault]:
    """Build the hosts of an inventory document."""
    for domain, place in _list_domains((parsed,)):
        for number, rack in enumerate(domain.racks):
            inner = place.find_inner(f'racks[{number}]')
            for index, group in enumerate(rack.hosts):
                yield from _build_hosts(
                    domain.name,
                    rack.name,
                    group,
                    inner.find_inner(f'hosts[{index}]'),
                    classes,
                )


def _build_hosts(
    domain: str, rack: str, group: HostGroup, place: Place, classes: Classes
) -> Iterator[Entry | Fault]:
    declared = _find_class(group, place, classes)
    if isinstance(declared, Fault):
        yield declared
        declared = DeclaredClass(_UNKNOWN_CLASS, place)
    names, name_faults = _expand(group.names, place.find_inner('names'))
    urls, url_faults = _expand(group.urls, place.find_inner('urls'))
    yield from name_faults
    yield from url_faults
    if not group.names and not place.has_fault():
        issue = ValidationIssue(
            'names no hosts', 'add names and urls or remove it'
        )
        yield place.find_inner('names').make_fault('', issue)
    if len(names) != len(urls) and not (
        name_faults
        or url_faults
        or place.find_inner('names').has_fault()
        or place.find_inner('urls').has_fault()
    ):
        issue = ValidationIssue(
            f'there are {len(names)} names and {len(urls)} urls',
            'write one url for each name',
        )
        yield place.make_fault('', issue)
    host_class = declared.host_class
    capacity = _make_resources(host_class)
    rack_path = place.path.rpartition('.hosts')[0]
    labels = tuple(dict.fromkeys((*host_class.labels, *group.labels)))
    # A name or url without its counterpart is still checked by itself.
    pairs = zip_longest(names, urls, fillvalue=('', place))
    for (name, name_place), (url, url_place) in pairs:
        yield Entry(
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
            place,
            {
                'name': name_place,
                'url': url_place,
                'rack': Place(place.parsed, f'{rack_path}.name'),
                'capacity': declared.place,
            },
        )


def _find_class(
    group: HostGroup, place: Place, classes: Classes
) -> DeclaredClass | Fault:
    """Return the capacity of a group and where it is written."""
    named = place.find_inner('host_class')
    if group.capacity is not None:
        if not group.host_class:
            return DeclaredClass(group.capacity, place.find_inner('capacity'))
        issue = ValidationIssue(
            'stands beside capacity', 'write one of the two'
        )
        return named.make_fault(repr(group.host_class), issue)
    if not group.host_class:
        issue = ValidationIssue(
            'there is neither host_class nor capacity', 'write one'
        )
        return place.make_fault('', issue)
    if group.host_class not in classes:
        remedy = suggest_name(group.host_class, tuple(classes))
        issue = ValidationIssue('is not declared in host_classes', remedy)
        return named.make_fault(repr(group.host_class), issue)
    return classes[group.host_class]


def _expand(
    texts: tuple[str, ...], place: Place
) -> tuple[list[tuple[str, Place]], list[Fault]]:
    """Return each text of the ranges with the place it comes from."""
    found: list[tuple[str, Place]] = []
    faults = []
    for index, text in enumerate(texts):
        inner = place.find_inner(f'[{index}]')
        # A single text in place of a list has the path of the list.
        inner = inner if inner.path in place.parsed.lines else place
        result = expand_range(text)
        if isinstance(result, ValidationIssue):
            faults.append(inner.make_fault(repr(text), result))
            continue
        found += [(item, inner) for item in result]
    return found, faults


@BUILDERS.register(Rules)
def build_rules(
    parsed: ParsedDocument, classes: Classes
) -> Iterator[Entry | Fault]:
    """Build the rules and shards of a rules document."""
    content: Rules = parsed.value
    for index, shard in enumerate(content.shards):
        yield Entry(
            'shards',
            Shard(shard.name, shard.failure_domain, shard.racks),
            Place(parsed, f'shards[{index}]'),
        )
    for index, rule in enumerate(content.rules):
        yield Entry(
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
            Place(parsed, f'rules[{index}]'),
        )


@BUILDERS.register(Quotas)
def build_quotas(
    parsed: ParsedDocument, classes: Classes
) -> Iterator[Entry | Fault]:
    """Build the teams of a quotas document."""
    content: Quotas = parsed.value
    for index, team in enumerate(content.teams):
        quota = _make_resources(team.quota)
        yield Entry(
            'teams',
            Team(team.name, team.weight, quota, team.max_queued),
            Place(parsed, f'teams[{index}]'),
        )


def _make_default_shards(entries: tuple[Entry, ...]) -> Iterator[Entry]:
    """Yield one shard for each failure domain."""
    places: dict[str, Place] = {}
    homes: dict[str, str] = {}
    for entry in entries:
        if entry.group != 'hosts':
            continue
        homes.setdefault(entry.value.rack, entry.value.failure_domain)
        path = entry.place.path.partition('.racks')[0]
        places.setdefault(
            entry.value.failure_domain, Place(entry.place.parsed, path)
        )
    for domain, place in places.items():
        racks = tuple(rack for rack, home in homes.items() if home == domain)
        if racks:
            shard = Shard(domain, domain, racks)
            yield Entry('shards', shard, place)


def _make_resources(entry: HostClass | QuotaEntry) -> Resources:
    return Resources(
        entry.cores,
        entry.memory,
        entry.accelerators,
        entry.slots,
        entry.connections,
    )
