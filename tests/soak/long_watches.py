"""Runs the command line with watches that wait for 20 s.

A watch whose connection has gone silent is then noticed too late. Tasks start
on workers that have said that they are leaving, which the soak test must
detect.
"""

from __future__ import annotations

import sys

from sassafrasgate.commands.main import run_command_line
from sassafrasgate.composition import entry

if __name__ == '__main__':
    entry.REGISTRATION_WATCH_WAIT_S = 20.0
    sys.exit(run_command_line())
