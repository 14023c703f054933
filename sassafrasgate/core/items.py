"""Data that the platform's store and host list return."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store with its value.

    Parameters
    ----------
    key : str
        Path-like name.
    value : bytes or None
        At most a megabyte; None in a watch when the key was deleted.
    revision : int
        Revision of the last write to the key. Each write to any key
        increases the revision of the store.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """Items that a read or a watch returned, and the store's revision."""

    revision: int
    items: tuple[Item, ...] = ()


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Entry of the platform's host list, which may be out of date."""

    name: str
    leaving: bool = False
