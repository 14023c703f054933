"""Runs the command line as ``python -m sassafrasgate``."""

from __future__ import annotations

from signal import SIG_IGN
from signal import SIGHUP
from signal import signal
import sys

if sys.argv[1:2] == ['serve']:
    # The default action of SIGHUP would end a daemon that is told to reload
    # while it still imports its modules. The signal can be ignored then,
    # because the settings are read afterwards anyway.
    signal(SIGHUP, SIG_IGN)

from sassafrasgate.commands.main import run_command_line

sys.exit(run_command_line())
