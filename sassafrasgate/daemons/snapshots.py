"""The schedule of an owner's journal snapshots."""

from __future__ import annotations

SNAPSHOT_INTERVAL_ENTRIES = 200


class SnapshotSchedule:
    """Counts the journal entries that no snapshot covers.

    Parameters
    ----------
    uncovered : int
        Number of uncovered entries at the takeover. Entries of previous
        owners count, since they occupy slots of the ring as well.
    """

    def __init__(self, uncovered: int = 0) -> None:
        self._entries = uncovered
        self._covered = 0
        self._requested_at = 0
        self._is_requested = False

    def count_entry(self) -> None:
        """Count an entry that has been written."""
        self._entries += 1

    def request_if_due(self) -> bool:
        """Return whether a snapshot is due, and mark it as requested if so."""
        if (
            self._is_requested
            or self._entries - self._covered < SNAPSHOT_INTERVAL_ENTRIES
        ):
            return False
        self._is_requested = True
        self._requested_at = self._entries
        return True

    def mark_written(self) -> None:
        """Record that the requested snapshot has been written.

        It does not cover entries that were written after the request.
        """
        self._is_requested = False
        self._covered = self._requested_at
