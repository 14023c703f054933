"""Runs another module with a time of day that differs from the machine's.

``python -m tests.soak.shifted_clocks MILLISECONDS MODULE [ARGUMENT ...]``
"""

from __future__ import annotations

from runpy import run_module
import sys

from sassafrasgate.observability import clocks


def shift_time_of_day(shift_ms: int) -> None:
    """Shift `wall_ms` for the modules that are imported afterwards."""
    read_wall_ms = clocks.wall_ms
    clocks.wall_ms = lambda: read_wall_ms() + shift_ms


if __name__ == '__main__':
    shift_time_of_day(int(sys.argv[1]))
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    run_module(module, run_name='__main__', alter_sys=True)
