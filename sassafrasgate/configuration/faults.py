"""Faults in the files that operators write."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in a file, with what is needed to locate and correct it.

    Parameters
    ----------
    file : str
        Path of the file as it was given to the program.
    line : int
        Line number from 1; 0 when the fault concerns the whole file.
    path : str
        Path within the document, for example ``peers[2].address``; empty for
        the whole document.
    value : str
        The ``repr`` of the invalid value; empty when a value is missing.
    problem : str
        What is wrong with the value.
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
        position = f'{self.file}:{self.line}' if self.line else self.file
        path = f'{self.path}: ' if self.path else ''
        value = f'{self.value} ' if self.value else ''
        return f'{position}: {path}{value}{self.problem}; {self.remedy}'


def suggest_name(name: str, known: tuple[str, ...]) -> str:
    """Return a remedy that suggests the known name closest to ``name``.

    Without a close match the remedy lists all known names.

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
    """Return the known name closest to ``name``; empty without a match."""
    # Imported here so that valid files do not pay for loading difflib.
    from difflib import get_close_matches

    return next(iter(get_close_matches(name, known, 1)), '')
