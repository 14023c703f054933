"""Reads YAML documents into data classes and collects all their faults.

The data class is the schema. Its fields may be scalars with a check from
`sassafrasgate.configuration.values`, ``tuple[X, ...]`` (where a single scalar
is read as a list of one item), ``dict[str, X]``, data classes, and
``X | None``.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import fields
from dataclasses import is_dataclass
from dataclasses import MISSING
from functools import cache
from types import NoneType
from types import UnionType
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TYPE_CHECKING
from typing import TypeVar

from yaml import compose_all
from yaml import MappingNode
from yaml import MarkedYAMLError
from yaml import Node
from yaml import ScalarNode
from yaml import SequenceNode
from yaml import YAMLError
from yaml.constructor import SafeConstructor
from yaml.loader import SafeLoader

from sassafrasgate.configuration.faults import Fault
from sassafrasgate.configuration.faults import find_nearest
from sassafrasgate.configuration.faults import suggest_name
from sassafrasgate.configuration.values import CHECKS
from sassafrasgate.configuration.values import ValidationIssue
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from dataclasses import Field
    from pathlib import Path


Schema = TypeVar('Schema')

# Hand-written files are far smaller; a larger one is given by mistake.
MAX_FILE_BYTES = 16 * 2**20


@dataclass(frozen=True, slots=True)
class Document:
    """A YAML document as a tree of nodes with line numbers."""

    file: str
    root: Node


@dataclass(frozen=True, slots=True)
class ParsedDocument:
    """A value read from a document, with the lines of its parts.

    Parameters
    ----------
    file : str
        Name of the file that holds the document.
    value : object
        An instance of the schema. Parts with faults have an empty value.
    lines : dict
        Line number of each path in the document.
    faults : tuple of Fault
        Empty when ``value`` is valid.
    """

    file: str
    value: Any
    lines: dict[str, int]
    faults: tuple[Fault, ...]

    def find_line(self, path: str) -> int:
        """Return the line of a path, or of the nearest part that holds it."""
        while path and path not in self.lines:
            path = path[: max(path.rfind('.'), path.rfind('['), 0)]
        return self.lines.get(path, 1)


def read_documents(path: Path) -> tuple[tuple[Document, ...], Fault | None]:
    """Return the documents of a file, or the fault that makes it unreadable.

    Empty documents are omitted.
    """
    file = str(path)
    try:
        content = path.read_bytes()
    except OSError as error:
        reason = (error.strerror or str(error)).lower()
        remedy = 'check the path and its permissions'
        return (), Fault(file, 0, '', '', f'cannot be read: {reason}', remedy)
    if len(content) > MAX_FILE_BYTES:
        problem = f'{len(content)} is more than {MAX_FILE_BYTES} bytes'
        return (), Fault(file, 0, '', '', problem, 'split the file')
    try:
        text = content.decode()
        roots = tuple(compose_all(text, Loader=SafeLoader))
    except UnicodeDecodeError as error:
        line = content.count(b'\n', 0, error.start) + 1
        invalid = repr(content[error.start : error.end])
        return (), Fault(file, line, '', invalid, 'is not UTF-8', 'convert it')
    except (YAMLError, RecursionError) as error:
        return (), _make_syntax_fault(file, error)
    return tuple(Document(file, root) for root in roots if root), None


def read_document(document: Document, schema: type[Schema]) -> ParsedDocument:
    """Read a document by a schema and collect all its faults.

    Parameters
    ----------
    document : Document
        Document from `read_documents`.
    schema : type
        Frozen data class that serves as the schema.

    Examples
    --------
    >>> documents, fault = read_documents(Path('settings.yaml'))
    >>> read_document(documents[0], Settings).faults
    ()
    """
    reader = _DocumentReader(document.file)
    value = reader.read_node(document.root, schema, '')
    faults = sorted(reader.faults, key=lambda fault: fault.line)
    return ParsedDocument(document.file, value, reader.lines, tuple(faults))


def _make_syntax_fault(file: str, error: Exception) -> Fault:
    line = 0
    problem = str(error).splitlines()[0]
    if isinstance(error, RecursionError):
        problem = 'the document is nested too deeply'
    if isinstance(error, MarkedYAMLError) and error.problem_mark:
        line = error.problem_mark.line + 1
        problem = error.problem or problem
    remedy = 'correct the indentation, the quotes or the brackets there'
    return Fault(file, line, '', '', f'is not YAML: {problem}', remedy)


@cache
def _load_type_hints(schema: type) -> dict[str, Any]:
    return get_type_hints(schema, include_extras=True)


class _DocumentReader:
    """Collects the faults and lines of one document while it is read."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.faults: list[Fault] = []
        self.lines: dict[str, int] = {}

    def add_fault(
        self, node: Node, path: str, value: str, issue: ValidationIssue
    ) -> None:
        line = node.start_mark.line + 1
        fault = Fault(
            self.file, line, path, value, issue.problem, issue.remedy
        )
        self.faults.append(fault)

    def read_node(self, node: Node, hint: Any, path: str) -> Any:
        self.lines[path] = node.start_mark.line + 1
        return NODE_READERS.find(_get_type_kind(hint))(self, node, hint, path)

    def read_scalar(self, node: Node, path: str) -> Any:
        """Return the value that YAML resolves a scalar to, or an issue."""
        try:
            return SafeConstructor().construct_object(node)
        except (YAMLError, ValueError):
            return ValidationIssue('is not a YAML value', 'put it in quotes')

    def list_entries(
        self, node: MappingNode, path: str
    ) -> Iterator[tuple[str, Node, Node]]:
        """Yield key, key node and value node; repeated keys are faults."""
        seen: dict[str, int] = {}
        for key_node, value_node in node.value:
            key = self.read_key(key_node, path)
            if key is None:
                continue
            if key in seen:
                issue = ValidationIssue(
                    f'is also on line {seen[key]}', 'remove one of them'
                )
                self.add_fault(key_node, path, repr(key), issue)
                continue
            seen[key] = key_node.start_mark.line + 1
            yield key, key_node, value_node

    def read_key(self, node: Node, path: str) -> str | None:
        if not isinstance(node, ScalarNode):
            issue = ValidationIssue(
                'a key is not text', 'use a single word as the key'
            )
            self.add_fault(node, path, '', issue)
            return None
        if node.tag == 'tag:yaml.org,2002:merge':
            issue = ValidationIssue('is a merge key', 'write the entries out')
            self.add_fault(node, path, repr(node.value), issue)
            return None
        return str(node.value)


NODE_READERS: Registry[
    str, Callable[[_DocumentReader, Node, Any, str], Any]
] = Registry('kind of schema type')


def _get_type_kind(hint: Any) -> str:
    origin = get_origin(hint)
    if origin is tuple:
        return 'list'
    if origin is dict:
        return 'table'
    if origin is UnionType:
        return 'optional'
    return 'data class' if is_dataclass(hint) else 'scalar'


def make_empty_value(hint: Any) -> Any:
    """Return the empty value that replaces a part with a fault."""
    kind = _get_type_kind(hint)
    if kind == 'list':
        return ()
    if kind == 'table':
        return {}
    if kind == 'optional':
        return None
    if kind == 'scalar':
        return (get_args(hint) or (hint,))[0]()
    hints = _load_type_hints(hint)
    return hint(**{name: make_empty_value(hints[name]) for name in hints})


def join_path(path: str, key: str) -> str:
    """Return the path of a key below ``path``."""
    return f'{path}.{key}' if path else key


@NODE_READERS.register('scalar')
def read_scalar(
    reader: _DocumentReader, node: Node, hint: Any, path: str
) -> Any:
    """Read a scalar and apply its check."""
    if not isinstance(node, ScalarNode):
        shape = 'a list' if isinstance(node, SequenceNode) else 'a mapping'
        issue = ValidationIssue(
            f'is {shape}, not a single value', 'write one value'
        )
        reader.add_fault(node, path, '', issue)
        return make_empty_value(hint)
    value = reader.read_scalar(node, path)
    base, *names = get_args(hint) or (hint,)
    check = CHECKS.find(names[0] if names else base.__name__)
    result = value if isinstance(value, ValidationIssue) else check(value)
    if not isinstance(result, ValidationIssue):
        return result
    invalid_value = node.value if isinstance(value, ValidationIssue) else value
    reader.add_fault(node, path, repr(invalid_value), result)
    return make_empty_value(hint)


@NODE_READERS.register('optional')
def read_optional(
    reader: _DocumentReader, node: Node, hint: Any, path: str
) -> Any:
    """Read the value of a field of type ``X | None``."""
    inner = next(arg for arg in get_args(hint) if arg is not NoneType)
    return reader.read_node(node, inner, path)


@NODE_READERS.register('list')
def read_list(
    reader: _DocumentReader, node: Node, hint: Any, path: str
) -> Any:
    """Read a list; a single scalar is read as a list of one item."""
    inner = get_args(hint)[0]
    if isinstance(node, SequenceNode):
        return tuple(
            reader.read_node(item, inner, f'{path}[{index}]')
            for index, item in enumerate(node.value)
        )
    if isinstance(node, ScalarNode) and _get_type_kind(inner) == 'scalar':
        return (reader.read_node(node, inner, path),)
    issue = ValidationIssue('is not a list', "begin each entry with '- '")
    reader.add_fault(node, path, _format_node(node), issue)
    return ()


@NODE_READERS.register('table')
def read_table(
    reader: _DocumentReader, node: Node, hint: Any, path: str
) -> Any:
    """Read a mapping from names to values of one type."""
    if not isinstance(node, MappingNode):
        issue = ValidationIssue(
            'is not a mapping', "write 'name: value' entries"
        )
        reader.add_fault(node, path, _format_node(node), issue)
        return {}
    inner = get_args(hint)[1]
    return {
        key: reader.read_node(value, inner, join_path(path, key))
        for key, _, value in reader.list_entries(node, path)
    }


@NODE_READERS.register('data class')
def read_data_class(
    reader: _DocumentReader, node: Node, hint: Any, path: str
) -> Any:
    """Read a mapping whose keys are the fields of a data class."""
    if not isinstance(node, MappingNode):
        issue = ValidationIssue(
            'is not a mapping', "write 'key: value' entries"
        )
        reader.add_fault(node, path, _format_node(node), issue)
        return make_empty_value(hint)
    hints = _load_type_hints(hint)
    values: dict[str, Any] = {}
    suggested: set[str] = set()
    for key, key_node, value_node in reader.list_entries(node, path):
        if key in hints:
            values[key] = reader.read_node(
                value_node, hints[key], join_path(path, key)
            )
            continue
        suggested.add(find_nearest(key, tuple(hints)))
        issue = ValidationIssue(
            'is an unknown key', suggest_name(key, tuple(hints))
        )
        reader.add_fault(key_node, path, repr(key), issue)
    for item in fields(hint):
        if item.name in values or not _is_required(item):
            continue
        values[item.name] = make_empty_value(hints[item.name])
        # A misspelt key is reported once, as unknown, and not as missing too.
        if item.name not in suggested:
            issue = ValidationIssue(
                f'the key {item.name!r} is missing', 'add it'
            )
            reader.add_fault(node, path, '', issue)
    return hint(**values)


def _is_required(item: Field[Any]) -> bool:
    return item.default is MISSING and item.default_factory is MISSING


def _format_node(node: Node) -> str:
    return repr(node.value) if isinstance(node, ScalarNode) else ''
