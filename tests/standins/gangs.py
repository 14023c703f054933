"""Gangs of runs on workers that are processes of their own.

The members of a gang run together. Workers see each other's members as files
of a directory; one file with the outcome ends all members at once.
"""

from __future__ import annotations

from contextlib import contextmanager
from contextlib import suppress
from dataclasses import dataclass
from fcntl import flock
from fcntl import LOCK_EX
from fcntl import LOCK_NB
from fcntl import LOCK_SH
from fcntl import LOCK_UN
from json import dumps
from json import loads
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class GangOutcome:
    """End of all members of a gang.

    Parameters
    ----------
    failed_task : str
        Task whose failure has ended the gang; empty if the gang is done.
    at_ms : float
        When the gang ended, by the clock that all processes share.
    members : tuple of str
        The members that it ends. A run that a new incarnation of a worker
        starts under the same number is none of them.
    """

    failed_task: str
    at_ms: float
    members: tuple[str, ...] = ()


class GangDirectory:
    """Members and outcomes of gangs, as one worker's process sees them.

    Parameters
    ----------
    path : Path
        Directory that all workers use.
    worker : str
        Worker of this process. Members of its previous processes are removed.

    Notes
    -----
    A process that ends releases its locks, so that the members of a killed
    worker no longer count although their files still exist.
    """

    def __init__(self, path: Path, worker: str) -> None:
        self._path = path
        self._worker = worker
        path.mkdir(parents=True, exist_ok=True)
        self._lock = (path / 'lock').open('w')
        with self.lock():
            for member in path.glob(f'member~*~{worker}~*'):
                member.unlink()
            self._alive = (path / f'alive~{worker}').open('w')
            flock(self._alive, LOCK_EX)
        self._members: dict[tuple[str, int], str] = {}

    @contextmanager
    def lock(self) -> Iterator[None]:
        """Exclude changes by other processes."""
        flock(self._lock, LOCK_EX)
        try:
            yield
        finally:
            flock(self._lock, LOCK_UN)

    def add(self, task: str, run: int, incarnation_ms: int) -> None:
        """Add a member."""
        name = f'member~{task}~{run}~{self._worker}~{incarnation_ms}'
        self._members[task, run] = name
        (self._path / name).touch()

    def discard(self, task: str, run: int) -> None:
        """Remove a member of this worker if it is present."""
        name = self._members.pop((task, run), '')
        if name:
            (self._path / name).unlink(missing_ok=True)

    def find_outcome(self, task: str, run: int) -> GangOutcome | None:
        """Return the outcome for a member, None while its gang runs."""
        outcome = self._read_outcome(task, run)
        if outcome and self._members.get((task, run)) in outcome.members:
            return outcome
        return None

    def _read_outcome(self, task: str, run: int) -> GangOutcome | None:
        with suppress(FileNotFoundError):
            found = loads(self._find_outcome_path(task, run).read_text())
            return GangOutcome(
                found['failed_task'], found['at_ms'], tuple(found['members'])
            )
        return None

    def end(
        self, task: str, run: int, size: int, outcome: GangOutcome
    ) -> None:
        """End a member's gang if it is complete and has no outcome yet."""
        with self.lock():
            members = self._list_members(task, run)
            if len(members) != size or self.find_outcome(task, run):
                return
            path = self._find_outcome_path(task, run)
            written = path.with_name(f'new~{path.name}')
            written.write_text(
                dumps(
                    {
                        'failed_task': outcome.failed_task,
                        'at_ms': outcome.at_ms,
                        'members': members,
                    }
                )
            )
            written.rename(path)

    def _list_members(self, task: str, run: int) -> list[str]:
        """Return the members whose workers' processes have not ended."""
        step = task.rpartition('.')[0]
        members = self._path.glob(f'member~{step}.*~{run}~*')
        return [
            member.name
            for member in members
            if self._is_alive(member.name.split('~')[3])
        ]

    def _is_alive(self, worker: str) -> bool:
        if worker == self._worker:
            return True
        with (self._path / f'alive~{worker}').open() as file:
            try:
                flock(file, LOCK_SH | LOCK_NB)
            except BlockingIOError:
                return True
        return False

    def _find_outcome_path(self, task: str, run: int) -> Path:
        step = task.rpartition('.')[0]
        return self._path / f'outcome~{step}~{run}'
