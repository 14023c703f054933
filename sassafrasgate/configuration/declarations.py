"""Declarations of a cell, which operators keep in version control.

A declaration is a directory with ``inventory*.yaml``, ``rules.yaml`` and
``quotas.yaml``, or one file whose documents have the key ``kind``.
"""

from __future__ import annotations

from fnmatch import fnmatch
from typing import Any
from typing import TYPE_CHECKING

from yaml import MappingNode
from yaml import ScalarNode

from sassafrasgate.configuration.builders import build_entries
from sassafrasgate.configuration.builders import find_cell
from sassafrasgate.configuration.checks import check_configuration
from sassafrasgate.configuration.documents import read_document
from sassafrasgate.configuration.documents import read_documents
from sassafrasgate.configuration.faults import Fault
from sassafrasgate.configuration.faults import suggest_name
from sassafrasgate.configuration.schemas import SCHEMAS
from sassafrasgate.core.cells import Configuration

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from sassafrasgate.configuration.builders import DeclaredEntry
    from sassafrasgate.configuration.documents import Document
    from sassafrasgate.configuration.documents import ParsedDocument

FILE_KINDS = {
    'inventory*.yaml': 'inventory',
    'rules.yaml': 'rules',
    'quotas.yaml': 'quotas',
}
GROUPS = ('hosts', 'shards', 'teams', 'rules')


def check_declaration(path: Path) -> Configuration | tuple[Fault, ...]:
    """Return the configuration that a declaration describes, or its faults.

    Parameters
    ----------
    path : Path
        A directory, or one file whose documents have the key ``kind``.

    Returns
    -------
    Configuration or tuple of Fault
        The configuration has version 0 and no change id. The faults are
        ordered by file and line. When a document cannot be read at all,
        entries are not checked against each other, since some of them are
        missing.
    """
    files, faults = _list_files(path)
    parsed_documents: list[ParsedDocument] = []
    unreadable: list[Fault] = []
    for file, kind in files:
        documents, fault = read_documents(file)
        unreadable += [fault] if fault else []
        for document in documents:
            found = _find_kind(document, kind)
            if isinstance(found, Fault):
                unreadable.append(found)
                continue
            parsed_documents.append(
                read_document(document, SCHEMAS.find(found))
            )
    faults += unreadable
    for parsed in parsed_documents:
        faults += parsed.faults
    if unreadable or not parsed_documents:
        return _sort_faults(faults)
    entries, found_faults = build_entries(tuple(parsed_documents))
    faults += found_faults
    configuration, entries_by_group = _join_entries(
        find_cell(tuple(parsed_documents)), entries
    )
    faults += _find_configuration_faults(
        configuration, entries_by_group, tuple(faults)
    )
    return _sort_faults(faults) if faults else configuration


def _sort_faults(faults: list[Fault]) -> tuple[Fault, ...]:
    return tuple(sorted(faults, key=lambda fault: (fault.file, fault.line)))


def _list_files(path: Path) -> tuple[list[tuple[Path, str]], list[Fault]]:
    """Return the files with the kind of document that each should hold."""
    if not path.is_dir():
        return [(path, '')], []
    files: list[tuple[Path, str]] = []
    faults = []
    for file in sorted(path.iterdir()):
        kinds = [
            kind
            for pattern, kind in FILE_KINDS.items()
            if fnmatch(file.name, pattern)
        ]
        if kinds:
            files.append((file, kinds[0]))
        elif file.suffix in ('.yaml', '.yml'):
            remedy = f'name it as one of {", ".join(FILE_KINDS)}'
            problem = 'is not the name of a file of a declaration'
            faults.append(
                Fault(str(file), 0, '', repr(file.name), problem, remedy)
            )
    if not files:
        remedy = 'write inventory.yaml, rules.yaml and quotas.yaml'
        problem = 'the directory holds no files of a declaration'
        faults.append(Fault(str(path), 0, '', '', problem, remedy))
    return files, faults


def _find_kind(document: Document, expected: str) -> str | Fault:
    """Return the kind of a document, by its key or by the name of its file."""
    root = document.root
    given, line = expected, root.start_mark.line + 1
    if isinstance(root, MappingNode):
        for key, value in root.value:
            if key.value == 'kind' and isinstance(value, ScalarNode):
                given, line = str(value.value), value.start_mark.line + 1
    known = tuple(SCHEMAS)
    if not given:
        problem = "the key 'kind' is missing"
        remedy = f'write the kind of the document: {", ".join(known)}'
        return Fault(document.file, line, '', '', problem, remedy)
    if given not in known or (expected and given != expected):
        remedy = suggest_name(given, (expected,) if expected else known)
        problem = 'is the wrong kind of document here'
        return Fault(document.file, line, 'kind', repr(given), problem, remedy)
    return given


def _join_entries(
    cell: str, entries: tuple[DeclaredEntry, ...]
) -> tuple[Configuration, dict[str, tuple[DeclaredEntry, ...]]]:
    """Return the configuration, and the declared entries of each group."""
    entries_by_group = {
        group: tuple(entry for entry in entries if entry.group == group)
        for group in GROUPS
    }
    groups: dict[str, Any] = {
        group: tuple(entry.value for entry in group_entries)
        for group, group_entries in entries_by_group.items()
    }
    return Configuration(cell=cell, **groups), entries_by_group


def _find_configuration_faults(
    configuration: Configuration,
    entries_by_group: dict[str, tuple[DeclaredEntry, ...]],
    known: tuple[Fault, ...],
) -> Iterator[Fault]:
    """Yield faults of the whole configuration that are not known yet.

    A part that has a fault holds an empty value, so issues with that value
    are left out. An issue with a host class is reported once, not for each
    of its hosts.
    """
    reported = set()
    for issue in check_configuration(configuration):
        if issue.index is None:
            # `check_cell` or the schema has reported the name already.
            continue
        location = entries_by_group[issue.group][issue.index].find_location(
            issue.field
        )
        if any(location.contains(fault) for fault in known):
            continue
        fault = location.make_fault(issue.value, issue.issue)
        if fault not in reported:
            reported.add(fault)
            yield fault
