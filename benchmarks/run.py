"""Runs all registered measurements, or those named on the command line.

Prints a table for each. A run of all measurements also writes the results to
results.json next to this module, with the Python version, the number of cores
and the load of the machine at the start.
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

RESULTS_PATH = Path(__file__).parent / 'results.json'
# Importing these modules registers their measurements.
MODULES = (
    'benchmarks.placement',
    'benchmarks.orders',
    'benchmarks.passes',
    'benchmarks.admission',
    'benchmarks.capacity',
    'benchmarks.cells',
)


def run_measurements(names: list[str]) -> dict[str, object]:
    """Run measurements in the given order; return and print their results."""
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
    """Run the measurements that the command line names, by default all.

    A partial run only prints its tables, so that the file always contains
    the results of one complete run.
    """
    for module in MODULES:
        import_module(module)
    names = sys.argv[1:]
    figures = run_measurements(names or list(MEASUREMENTS))
    if not names:
        RESULTS_PATH.write_text(json.dumps(figures, indent=1) + '\n')


if __name__ == '__main__':
    main()
