"""The registry of commands, and the options that several of them take."""

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
    """Refuse an unknown output before the command has any effect."""
    # A daemon never prints a report.
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
    """Return a decorator that makes a function the command ``name``.

    The function's parameters become the command's arguments and options,
    its docstring the help; it returns an `ExitCode`.
    """
    return COMMANDS.register(name)


def print_report(report: Report, output: str) -> ExitCode:
    """Print a report in a registered form."""
    from sassafrasgate.commands.outputs import OUTPUTS

    text = OUTPUTS.find(output)(report)
    if text:
        print(text)
    return ExitCode.OK
