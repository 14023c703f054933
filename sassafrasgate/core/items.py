"""Values of the platform's store and host list, as data."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Item:
    """One key of the store.

    Parameters
    ----------
    key : str
        Path-like name.
    value : bytes or None
        Up to a megabyte; None in a watch when the key was deleted.
    revision : int
        Grows with every write of the whole store.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class Changes:
    """What a watch saw after a revision."""

    revision: int
    items: tuple[Item, ...] = ()


@dataclass(frozen=True, slots=True)
class HostStatus:
    """One line of the platform's lagging host list."""

    name: str
    leaving: bool = False
