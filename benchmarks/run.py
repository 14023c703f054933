"""Run every registered measurement, or those named on the command line.

Prints one table for each and writes all figures to results.json next to
this module, with the versions and the load of the machine at the start.
"""

from __future__ import annotations

from dataclasses import asdict
from importlib import import_module
import json
from os import cpu_count
from os import getloadavg
from pathlib import Path
from platform import python_version
import sys
from time import monotonic

from benchmarks.registry import format_table
from benchmarks.registry import MEASUREMENTS

RESULTS = Path(__file__).parent / 'results.json'
# Modules that register measurements when they are imported.
MODULES = ('benchmarks.placement', 'benchmarks.capacity', 'benchmarks.cells')


def run_measurements(names: list[str]) -> dict[str, object]:
    """Run measurements in the order of their registration."""
    figures: dict[str, object] = {
        'python': python_version(),
        'cores': cpu_count(),
        'load_at_start': getloadavg()[0],
    }
    for name in names:
        started = monotonic()
        table = MEASUREMENTS.find(name)()
        print(format_table(table), flush=True)
        figures[name] = {
            **asdict(table),
            'took_s': round(monotonic() - started, 1),
        }
    return figures


def main() -> None:
    """Run what the command line names, by default everything.

    A partial run is printed only, so that the file always holds figures of
    one whole run.
    """
    for module in MODULES:
        import_module(module)
    names = sys.argv[1:]
    figures = run_measurements(names or list(MEASUREMENTS))
    if not names:
        RESULTS.write_text(json.dumps(figures, indent=1) + '\n')


if __name__ == '__main__':
    main()
