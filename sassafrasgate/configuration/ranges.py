"""Ranges of numbered names, such as ``rack-a-[01-06]``."""

from __future__ import annotations

import re

from sassafrasgate.configuration.values import ValidationIssue

# Covers a rack or a row of racks; a longer range is probably a typing error.
MAX_RANGE = 1000
_RANGE = re.compile(r'\[(\d+)-(\d+)\]')


def expand_range(text: str) -> tuple[str, ...] | ValidationIssue:
    """Return the texts that a range in brackets expands to.

    Parameters
    ----------
    text : str
        Text with at most one range. The numbers are padded with zeros to the
        width of the first one.

    Returns
    -------
    tuple of str or ValidationIssue
        Only ``text`` itself when it has no range.

    Examples
    --------
    >>> expand_range('w-[09-11]')
    ('w-09', 'w-10', 'w-11')
    """
    matches = list(_RANGE.finditer(text))
    if not matches:
        return (text,)
    if len(matches) > 1:
        return ValidationIssue(
            'has more than one range', 'write one entry for each'
        )
    first, last = int(matches[0][1]), int(matches[0][2])
    if not first <= last < first + MAX_RANGE:
        return ValidationIssue(
            'has an invalid range',
            f'write the lower number first and at most {MAX_RANGE} numbers',
        )
    width = len(matches[0][1])
    before, after = text[: matches[0].start()], text[matches[0].end() :]
    return tuple(
        f'{before}{number:0{width}d}{after}'
        for number in range(first, last + 1)
    )
