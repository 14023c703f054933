"""Line fits through measured points, and resource usage of processes."""

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
    """Resource usage of a process at one time.

    Parameters
    ----------
    at : float
        Monotonic clock reading of the sample, in seconds.
    processor_s : float
        User and system processor time since the process started.
    resident_mb : float
        Resident memory, in MB of 1,000,000 bytes.
    """

    at: float
    processor_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Return the processor time and resident memory of a process."""
    stat = Path(f'/proc/{pid}/stat').read_text()
    # The program name in parentheses may contain spaces. Fields 14 and 15 of
    # the file, utime and stime, are at indices 11 and 12 after the name.
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    status = Path(f'/proc/{pid}/status').read_text()
    resident = next(
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith('VmRSS')
    )
    return Usage(monotonic(), ticks / TICKS_PER_S, resident * 1024 / 1e6)


def measure_usage(
    pids: Iterable[int], seconds: float
) -> list[tuple[float, float]]:
    """Measure the load and resident memory of processes over a time.

    Returns
    -------
    list of tuple
        For each process: its processor seconds per second, and its resident
        MB at the end.
    """
    pids = list(pids)
    before = [read_usage(pid) for pid in pids]
    sleep(seconds)
    return [
        compare_usage(old, read_usage(pid))
        for old, pid in zip(before, pids, strict=True)
    ]


def compare_usage(old: Usage, new: Usage) -> tuple[float, float]:
    """Return processor seconds per second between samples, and final MB."""
    processor_s = new.processor_s - old.processor_s
    return processor_s / (new.at - old.at), new.resident_mb


def fit_slope(
    name: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Return the least-squares line through the points."""
    slope, intercept = linear_regression(sizes, values)
    return Slope(name, slope, intercept)
