"""Straight lines through measured points, and the use of a process."""

from __future__ import annotations

from dataclasses import dataclass
from os import sysconf
from pathlib import Path
from statistics import linear_regression
from time import monotonic
from time import sleep
from typing import TYPE_CHECKING

from benchmarks.registry import Slope

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

TICKS_PER_S = sysconf('SC_CLK_TCK')


@dataclass(frozen=True, slots=True)
class Usage:
    """What a process has used.

    Parameters
    ----------
    at : float
        When it was read, in seconds.
    processor_s : float
        Processor time since the process started, user and system.
    resident_mb : float
        Resident memory, in MB of 1,000,000 bytes.
    """

    at: float
    processor_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Return what a process has used so far."""
    stat = Path(f'/proc/{pid}/stat').read_text()
    # The name in parentheses may hold spaces; fields 14 and 15 are times.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f'/proc/{pid}/status').read_text()
    resident = next(
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith('VmRSS')
    )
    return Usage(monotonic(), ticks / TICKS_PER_S, resident * 1024 / 1e6)


def watch_processes(
    pids: Iterable[int], seconds: float
) -> list[tuple[float, float]]:
    """Wait, then return each process's load and resident memory.

    Returns
    -------
    list of tuple
        Processor seconds per second, and MB at the end.
    """
    pids = list(pids)
    before = [read_usage(pid) for pid in pids]
    sleep(seconds)
    return [
        compare_usage(old, read_usage(pid))
        for old, pid in zip(before, pids, strict=True)
    ]


def compare_usage(old: Usage, new: Usage) -> tuple[float, float]:
    """Return processor seconds per second between two readings, and MB."""
    busy = new.processor_s - old.processor_s
    return busy / (new.at - old.at), new.resident_mb


def fit_slope(
    name: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Return the least-squares line through the points."""
    slope, intercept = linear_regression(sizes, values)
    return Slope(name, slope, intercept)
