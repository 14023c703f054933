"""Runs the command line as ``python -m sassafrasgate``."""

from __future__ import annotations

import sys

from sassafrasgate.commands.main import run_command_line

sys.exit(run_command_line())
