"""Results of commands: reports, errors and exit codes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from sassafrasgate.core.errors import SassafrasgateError


class ExitCode(IntEnum):
    """Exit codes of the command line, which are part of its interface."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4


class CommandError(SassafrasgateError):
    """A command has failed.

    Parameters
    ----------
    message : str
        What went wrong and what the user can do about it.
    exit_code : ExitCode
        Exit code of the process.
    """

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True)
class Column:
    """One column of a table.

    Parameters
    ----------
    title : str
        Heading of the column.
    path : str
        Key of the value in a row. Dots separate the keys of nested mappings.
        The values of several paths, which blanks separate, are joined by
        slashes.
    style : str
        Name of the registered style that formats the value.
    """

    title: str
    path: str
    style: str = 'text'


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command, independent of the output format.

    Parameters
    ----------
    document : object
        The whole result, which can be encoded as JSON.
    columns : tuple of Column
        Columns of the table.
    rows : tuple of dict
        Rows of the table, as mappings from which the columns take values.
    notes : tuple of str
        Lines that follow the table.
    """

    document: Any
    columns: tuple[Column, ...] = ()
    rows: tuple[dict[str, Any], ...] = ()
    notes: tuple[str, ...] = ()
