"""The entry point of the command line (cyclopts)."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from cyclopts import App
from cyclopts import CycloptsError

import sassafrasgate.commands.declarations
import sassafrasgate.commands.hosts
import sassafrasgate.commands.jobs
from sassafrasgate.commands.registries import COMMANDS
from sassafrasgate.commands.results import CommandError
from sassafrasgate.commands.results import ExitCode
import sassafrasgate.commands.roles
import sassafrasgate.commands.views  # noqa: F401
from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.errors import UnknownNameError

if TYPE_CHECKING:
    from collections.abc import Sequence

HELP = """Cluster scheduler for heterogeneous workloads.

Exit codes: 0 success, 1 the request failed or was refused, 2 bad usage or
bad input, 3 conflict with another change, 4 the front end is not reachable.
"""


def build_application() -> App:
    """Return the command-line application with all registered commands."""
    application = App(name='sassafrasgate', help=HELP)
    for name in COMMANDS:
        application.command(COMMANDS.find(name), name=name)
    return application


def run_command_line(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Parameters
    ----------
    arguments : sequence of str or None
        Command-line arguments without the program's name; by default those
        of the process.

    Returns
    -------
    int
        An `ExitCode`.

    Examples
    --------
    >>> run_command_line(['check', 'examples/brazos/declaration'])
    cell brazos: 24 hosts, 4 shards, 2 teams, 5 rules; no faults
    0
    """
    tokens = list(sys.argv[1:] if arguments is None else arguments)
    try:
        result = build_application()(
            tokens, exit_on_error=False, result_action='return_value'
        )
    except CycloptsError:
        # cyclopts has printed the usage error.
        return ExitCode.BAD_INPUT
    except CommandError as error:
        print(f'error: {error}', file=sys.stderr)
        return error.exit_code
    except UnknownNameError as error:
        print(f'error: {error}', file=sys.stderr)
        return ExitCode.BAD_INPUT
    except SassafrasgateError as error:
        print(f'error: {error}', file=sys.stderr)
        return ExitCode.REFUSED
    return result if isinstance(result, int) else ExitCode.OK
