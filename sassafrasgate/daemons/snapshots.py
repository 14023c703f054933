"""When an owner asks for the next snapshot of its journal."""

from __future__ import annotations

SNAPSHOT_ENTRIES = 200


class SnapshotSchedule:
    """Counts entries that no snapshot covers.

    Parameters
    ----------
    uncovered : int
        Entries without a snapshot at the beginning; those of earlier owners
        fill the ring as well.
    """

    def __init__(self, uncovered: int = 0) -> None:
        self._entries = uncovered
        self._covered = 0
        self._asked_at = 0
        self._asked = False

    def note_entry(self) -> None:
        """Count one more entry."""
        self._entries += 1

    def is_due(self) -> bool:
        """Tell whether a snapshot should be asked for, and note that it is."""
        if self._asked or self._entries - self._covered < SNAPSHOT_ENTRIES:
            return False
        self._asked = True
        self._asked_at = self._entries
        return True

    def note_snapshot(self) -> None:
        """Note that the snapshot is in place.

        Entries written since it was asked for are not covered.
        """
        self._asked = False
        self._covered = self._asked_at
