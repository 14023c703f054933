"""Runs the command line as ``python -m sassafrasgate``."""

from __future__ import annotations

from signal import SIG_IGN
from signal import SIGHUP
from signal import signal
import sys

if sys.argv[1:2] == ['serve']:
    # A daemon that is told to reload while it imports its modules reads its
    # settings afterwards anyway; the default action would end it.
    signal(SIGHUP, SIG_IGN)

from sassafrasgate.commands.main import run_command_line

sys.exit(run_command_line())
