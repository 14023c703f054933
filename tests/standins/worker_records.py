"""Records that workers write about their runs, one JSON object per line.

All processes use the same clock, so that the records of several workers can
be compared.
"""

from __future__ import annotations

from json import dumps
from json import loads
from os import O_APPEND
from os import O_CREAT
from os import O_WRONLY
from os import open as open_file
from os import write
from time import CLOCK_BOOTTIME
from time import clock_gettime_ns
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

SUFFIX = '.jsonl'


def read_shared_clock_ms() -> float:
    """Return the clock that all processes share, in ms."""
    return clock_gettime_ns(CLOCK_BOOTTIME) / 1_000_000


class RecordFile:
    """File to which one process or several append events.

    Parameters
    ----------
    path : Path
        The file; it is created when it does not exist.
    """

    def __init__(self, path: Path) -> None:
        self._file = open_file(path, O_APPEND | O_CREAT | O_WRONLY)

    def append(self, kind: str, at_ms: float, **fields: Any) -> None:
        """Append one event; a process that is killed leaves whole lines.

        Parameters
        ----------
        kind : str
            What has happened; see `tests.soak.histories`.
        at_ms : float
            When it happened, by `read_shared_clock_ms`.
        **fields
            Further fields of the event.
        """
        event = {'kind': kind, 'at_ms': at_ms, **fields}
        write(self._file, dumps(event).encode() + b'\n')


def read_records(
    directory: Path, pattern: str = f'*{SUFFIX}'
) -> list[dict[str, Any]]:
    """Return the events of a directory's files, in order of time."""
    events = []
    for path in sorted(directory.glob(pattern)):
        events += [loads(line) for line in path.read_text().splitlines()]
    return sorted(events, key=lambda event: event['at_ms'])
