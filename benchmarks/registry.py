"""Registry of measurements, their result tables and text format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line through measured points.

    Parameters
    ----------
    name : str
        The measured quantity with its unit, and the size that varies.
    per_unit : float
        Increase of the quantity per unit of size.
    at_zero : float
        Value of the line at size 0.
    """

    name: str
    per_unit: float
    at_zero: float


@dataclass(frozen=True, slots=True)
class Table:
    """Results of one measurement.

    Parameters
    ----------
    title : str
        What was measured, with units.
    columns : tuple of str
        Headings of the columns.
    rows : tuple of tuple
        Cells of each row: text, integers or floats.
    notes : tuple of str
        Explanations that are printed below the table.
    slopes : tuple of Slope
        Lines fitted through the rows of a measurement with several sizes.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str | int | float, ...], ...]
    notes: tuple[str, ...] = ()
    slopes: tuple[Slope, ...] = ()


MEASUREMENTS: Registry[str, Callable[[], Table]] = Registry('measurement')
register_measurement = MEASUREMENTS.register


def format_table(table: Table) -> str:
    """Return a table as aligned text."""
    cells = [table.columns, *(map(format_cell, row) for row in table.rows)]
    lines = [list(line) for line in cells]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    text = [
        '  '.join(
            cell.ljust(width) if number == 0 else cell.rjust(width)
            for number, (cell, width) in enumerate(
                zip(line, widths, strict=True)
            )
        ).rstrip()
        for line in lines
    ]
    slope_lines = [
        f'{slope.name}: {slope.at_zero:.4g} + {slope.per_unit:.4g} each'
        for slope in table.slopes
    ]
    return '\n'.join([table.title, *text, *slope_lines, *table.notes, ''])


def format_cell(cell: str | int | float) -> str:
    """Return one cell as text.

    Floats have three significant digits; those from 1000 are rounded to
    integers.
    """
    if not isinstance(cell, float):
        return str(cell)
    return f'{cell:.0f}' if abs(cell) >= 1000 else f'{cell:.3g}'
