"""Rules for the slots of a journal's ring buffer, shared with the models.

A slot is compared with the entry that belongs there, for a reader of the log
and for an owner that writes it. An entry is durable once it and all entries
before it are in their slots; only then do callers and workers get replies
that rest on it. A new owner continues the log with its takeover record, by a
compare-and-swap of the slot in which it has found no entry of the log.
"""

from __future__ import annotations

from enum import StrEnum


class SlotState(StrEnum):
    """Content of a ring slot relative to an expected entry number."""

    FREE = 'free'
    PRESENT = 'present'
    NEWER = 'newer'


def classify_slot(found: int | None, expected: int) -> SlotState:
    """Compare the entry of a slot with an expected entry.

    Parameters
    ----------
    found : int or None
        Number of the entry in the slot; None when the slot is empty.
    expected : int
        Number of an entry that belongs in the slot.

    Returns
    -------
    SlotState
        ``FREE`` when the slot is empty or holds an earlier entry.

    Examples
    --------
    >>> classify_slot(7, 7 + 512)
    <SlotState.FREE: 'free'>
    """
    if found is None or found < expected:
        return SlotState.FREE
    return SlotState.PRESENT if found == expected else SlotState.NEWER


def ends_log(found_epoch: int, log_epoch: int) -> bool:
    """Return whether a reader stops before an entry because of its epoch.

    An entry of a lower epoch than one before it was written behind the
    takeover record of a later owner. It has never been durable.

    Parameters
    ----------
    found_epoch : int
        Epoch of the entry that the reader has found.
    log_epoch : int
        Highest epoch in the log before that entry.
    """
    return found_epoch < log_epoch


def may_replace_entry(
    found_sequence: int,
    found_epoch: int,
    expected: int,
    epoch: int,
    takeover_sequence: int,
) -> bool:
    """Return whether an owner may write its entry over another one.

    It may replace an entry of an earlier lap around the ring, which a
    snapshot covers. It may also replace an entry of a lower epoch with a
    higher number than its own takeover record: a previous owner sent that
    entry concurrently with the one whose number the takeover record has, and
    could not write the latter. Nobody has got a reply that rests on an entry
    behind the missing one.

    An entry of a lower epoch with the takeover record's own number belongs
    to the log: its owner wrote it after the new owner had read the slot.

    Parameters
    ----------
    found_sequence, found_epoch : int
        Number and epoch of the entry in the slot.
    expected, epoch : int
        Number of the entry to write, and epoch of its owner.
    takeover_sequence : int
        Number of the owner's takeover record.
    """
    if found_epoch > epoch:
        return False
    if found_sequence < expected:
        return True
    return found_epoch < epoch and found_sequence > takeover_sequence


def is_slot_covered(sequence: int, snapshot_sequence: int, slots: int) -> bool:
    """Return whether an entry would overwrite only entries in the snapshot.

    Parameters
    ----------
    sequence, snapshot_sequence : int
        Number of the entry, and of the last one that the snapshot covers.
    slots : int
        Number of slots in the ring.
    """
    return sequence - snapshot_sequence <= slots


def is_successor_pointer(
    sequence: int, pointer_epoch: int, next_sequence: int, epoch: int
) -> bool:
    """Return whether a snapshot was written by a successor of this owner.

    A successor has a higher epoch. Its snapshot may cover fewer entries than
    this owner has numbered, since some of those may still be in flight. A
    pointer of this epoch, or of a lower one, was written by this owner in a
    write whose reply was lost, or by a delayed write of a previous owner.

    Parameters
    ----------
    sequence, pointer_epoch : int
        Number of the last entry that the found snapshot covers, and epoch of
        its writer.
    next_sequence, epoch : int
        Number of the next entry of this owner, and its epoch.
    """
    return pointer_epoch > epoch or sequence >= next_sequence
