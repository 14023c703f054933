"""Runs the command line with ``python -m sassafrasgate``."""

import sys

from sassafrasgate.commands.main import run_command_line

if __name__ == '__main__':
    sys.exit(run_command_line())
