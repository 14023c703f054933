"""What a command ends with: a report or an error, and an exit code."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from sassafrasgate.core.errors import SassafrasgateError


class ExitCode(IntEnum):
    """Exit codes of the command line; part of the public interface."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4


class CommandError(SassafrasgateError):
    """A command did not succeed.

    Parameters
    ----------
    message : str
        What went wrong and what to do about it.
    exit_code : ExitCode
        What the process ends with.
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
        Its heading.
    path : str
        Key of the value in a row; dots lead into inner mappings. Several
        paths separated by blanks are shown with slashes between them.
    style : str
        Name of a registered style.
    """

    title: str
    path: str
    style: str = 'text'


@dataclass(frozen=True, slots=True)
class Report:
    """The result of a command, for any output.

    Parameters
    ----------
    document : object
        All of it, as JSON can hold it.
    columns : tuple of Column
        The part that people read.
    rows : tuple of dict
        Mappings that the columns refer to.
    notes : tuple of str
        Lines after the table.
    """

    document: Any
    columns: tuple[Column, ...] = ()
    rows: tuple[dict[str, Any], ...] = ()
    notes: tuple[str, ...] = ()
