"""Runs the command line without the check of tenants' caps.

Tenants then have more running than they may, which the soak test must detect.
"""

from __future__ import annotations

import sys

from sassafrasgate.commands.main import run_command_line
from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.dispatch import caps

if __name__ == '__main__':
    caps.find_cap = lambda *_: NO_RESOURCES
    sys.exit(run_command_line())
