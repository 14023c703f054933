"""Short forms for many equal names, such as ``rack-a-[01-06]``."""

from __future__ import annotations

import re

from sassafrasgate.configuration.values import ValidationIssue

# A rack or a row of racks; more in one range is a slip of a digit.
MAX_RANGE = 1000
_RANGE = re.compile(r'\[(\d+)-(\d+)\]')


def expand_range(text: str) -> tuple[str, ...] | ValidationIssue:
    """Return the texts that a range in brackets stands for.

    Parameters
    ----------
    text : str
        With at most one range. Leading zeros of the first number are kept.

    Returns
    -------
    tuple of str or ValidationIssue
        ``text`` itself when it has no range.

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
            'has an unusable range',
            f'write the lower number first and at most {MAX_RANGE} numbers',
        )
    width = len(matches[0][1])
    before, after = text[: matches[0].start()], text[matches[0].end() :]
    return tuple(
        f'{before}{number:0{width}d}{after}'
        for number in range(first, last + 1)
    )
