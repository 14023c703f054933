"""Output formats of reports and styles of table cells, in registries."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.configuration.units import format_cores
from sassafrasgate.configuration.units import format_memory
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrasgate.commands.results import Column
    from sassafrasgate.commands.results import Report

OUTPUTS: Registry[str, Callable[[Report], str]] = Registry('output')
STYLES: Registry[str, Callable[[Any], str]] = Registry('table style')

COLUMN_SEPARATOR = '  '
MISSING_VALUE = '-'


@STYLES.register('text')
def format_text_cell(value: Any) -> str:
    """Return a value as text; the items of a list are joined by commas."""
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list | tuple):
        return ','.join(str(item) for item in value) or MISSING_VALUE
    return MISSING_VALUE if value in (None, '') else str(value)


@STYLES.register('cores')
def format_cores_cell(value: Any) -> str:
    """Return an amount of millicores as a number of cores."""
    return format_cores(value) if isinstance(value, int) else MISSING_VALUE


@STYLES.register('memory')
def format_memory_cell(value: Any) -> str:
    """Return an amount of memory, given in MiB, with its unit."""
    return format_memory(value) if isinstance(value, int) else MISSING_VALUE


@OUTPUTS.register('json')
def render_json(report: Report) -> str:
    """Return the whole document as JSON."""
    return json.dumps(report.document, indent=2, ensure_ascii=False)


@OUTPUTS.register('table')
def render_table(report: Report) -> str:
    """Return the rows as aligned columns, then the notes."""
    lines = []
    if report.columns and report.rows:
        titles = [column.title for column in report.columns]
        cells = [
            [_format_cell(column, row) for column in report.columns]
            for row in report.rows
        ]
        widths = [
            max(len(line[index]) for line in (titles, *cells))
            for index in range(len(titles))
        ]
        lines = [_join_cells(line, widths) for line in (titles, *cells)]
    return '\n'.join((*lines, *report.notes))


def _join_cells(cells: list[str], widths: list[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return COLUMN_SEPARATOR.join(padded).rstrip()


def _format_cell(column: Column, row: dict[str, Any]) -> str:
    format_value = STYLES.find(column.style)
    return '/'.join(
        format_value(_get_value(row, path)) for path in column.path.split()
    )


def _get_value(row: Any, path: str) -> Any:
    for key in path.split('.'):
        row = row.get(key) if isinstance(row, dict) else None
    return row
