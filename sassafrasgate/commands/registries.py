"""The registry of commands, and options that several commands share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import TYPE_CHECKING

from cyclopts import Parameter

from sassafrasgate.commands.results import ExitCode
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from sassafrasgate.commands.results import Report

Command = Callable[..., ExitCode]

COMMANDS: Registry[str, Command] = Registry('command')

Url = Annotated[
    str,
    Parameter(
        name='--url',
        env_var='SASSAFRASGATE_URL',
        help='Base URL of a front end, by IP number and port.',
    ),
]


def check_output(_: type, value: str) -> None:
    """Reject an unknown output format before the command has any effect."""
    # Imported here because a daemon never prints a report.
    from sassafrasgate.commands.outputs import OUTPUTS

    if value not in OUTPUTS:
        known = ', '.join(OUTPUTS)
        raise ValueError(f'unknown output {value!r}; use one of {known}')


Output = Annotated[
    str,
    Parameter(
        name='--output',
        help='How to print: table or json.',
        validator=check_output,
    ),
]


def register_command(name: str) -> Callable[[Any], Any]:
    """Return a decorator that registers a function as the command ``name``.

    The function's parameters become the command's arguments and options, and
    its docstring becomes the help text. It returns an `ExitCode`.
    """
    return COMMANDS.register(name)


def print_report(report: Report, output: str) -> ExitCode:
    """Print a report in a registered output format."""
    from sassafrasgate.commands.outputs import OUTPUTS

    text = OUTPUTS.find(output)(report)
    if text:
        print(text)
    return ExitCode.OK
