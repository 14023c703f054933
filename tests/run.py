"""Run pytest and compare the failures with KNOWN-RED.txt.

A test that KNOWN-RED.txt lists may fail: its failure is printed, but does
not make the run fail. Any other failure is an error, as is an entry that
names a test that does not exist.
"""

from __future__ import annotations

from pathlib import Path
import sys

import pytest

KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def read_known_red() -> set[str]:
    """Return the test ids of the lines that start with ``test:``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


class KnownRedReport:
    """A pytest plugin that separates known failures from new ones."""

    def __init__(self, known: set[str]) -> None:
        self.known = known
        self.seen: set[str] = set()
        self.known_failures: set[str] = set()
        self.new_failures: set[str] = set()

    def pytest_collection_finish(self, session: pytest.Session) -> None:
        """Store the ids of the collected tests."""
        self.seen = {item.nodeid for item in session.items}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Store the test id of a failure as a known or a new one."""
        if not report.failed:
            return
        if report.nodeid in self.known:
            self.known_failures.add(report.nodeid)
            return
        self.new_failures.add(report.nodeid)


def run_tests(arguments: list[str]) -> int:
    """Run pytest and return the exit status for the whole run."""
    report = KnownRedReport(read_known_red())
    status = pytest.main(arguments, plugins=[report])
    for test in sorted(report.known_failures):
        print(f'known red (see KNOWN-RED.txt): {test}')
    if not arguments and (missing := report.known - report.seen):
        print(f'KNOWN-RED.txt names tests that do not exist: {missing}')
        return 1
    if status == pytest.ExitCode.TESTS_FAILED and not report.new_failures:
        return 0
    return int(status)


if __name__ == '__main__':
    sys.exit(run_tests(sys.argv[1:]))
