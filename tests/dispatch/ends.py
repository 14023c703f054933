"""Ends as done that no owner has acknowledged, and starts after them."""

from __future__ import annotations

from tests.dispatch.violations import RuleViolation


class UnacknowledgedEnds:
    """Finds starts after an end that is acknowledged only later.

    An end counts only if the worker has kept its lease until the
    acknowledgement and has not restarted.
    """

    def __init__(self) -> None:
        # Task of each end, by worker and number of the end.
        self._tasks: dict[tuple[str, int], str] = {}
        self._later_starts: dict[tuple[str, int], str] = {}

    def record_end(self, worker: str, number: int, task: str) -> None:
        """Record a run that has finished on a worker."""
        self._tasks[worker, number] = task

    def record_start(self, task: str, worker: str) -> None:
        """Record that a task starts on a worker."""
        for end, ended_task in self._tasks.items():
            if ended_task == task:
                self._later_starts.setdefault(end, worker)

    def acknowledge(self, worker: str, number: int) -> None:
        """Check the ends of a worker up to a number that is acknowledged."""
        for end in self._list_ends(worker):
            if end[1] > number:
                continue
            task = self._tasks.pop(end)
            started_on = self._later_starts.pop(end, '')
            if started_on:
                raise RuleViolation(
                    f'{task} started on {started_on} after its end on '
                    f'{worker}, which was acknowledged later'
                )

    def forget(self, worker: str) -> None:
        """Forget the ends of a worker whose lease has expired."""
        for end in self._list_ends(worker):
            del self._tasks[end]
            self._later_starts.pop(end, None)

    def _list_ends(self, worker: str) -> list[tuple[str, int]]:
        return [end for end in self._tasks if end[0] == worker]
