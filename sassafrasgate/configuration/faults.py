"""Faults of files that operators write."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a file, with all that is needed to correct it.

    Parameters
    ----------
    file : str
        The file as it was named to the program.
    line : int
        From 1; 0 when the fault concerns the whole file.
    path : str
        Place within the file, for example ``peers[2].address``; empty for
        the whole document.
    value : str
        The bad value by ``repr``; empty when something is missing.
    problem : str
        What is wrong with it.
    remedy : str
        What to write instead.

    Examples
    --------
    >>> print(Fault('s.yaml', 3, 'drain_s', '-1', 'is below 0', 'use 20'))
    s.yaml:3: drain_s: -1 is below 0; use 20
    """

    file: str
    line: int
    path: str
    value: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        place = f'{self.file}:{self.line}' if self.line else self.file
        path = f'{self.path}: ' if self.path else ''
        value = f'{self.value} ' if self.value else ''
        return f'{place}: {path}{value}{self.problem}; {self.remedy}'


def suggest_name(name: str, known: tuple[str, ...]) -> str:
    """Return a remedy that names the nearest of the known names.

    Examples
    --------
    >>> suggest_name('addres', ('address', 'name'))
    "use 'address'"
    """
    nearest = find_nearest(name, known)
    if nearest:
        return f'use {nearest!r}'
    if not known:
        return 'remove it'
    return f'use one of {", ".join(sorted(known))}'


def find_nearest(name: str, known: tuple[str, ...]) -> str:
    """Return the known name most like ``name``; empty when none is near."""
    # Only files with faults pay for this import.
    from difflib import get_close_matches

    return next(iter(get_close_matches(name, known, 1)), '')
