"""Units that people write: cores and memory."""

from __future__ import annotations

from decimal import Decimal
from decimal import InvalidOperation
import re

MILLICORES_PER_CORE = 1000
KIB_PER_UNIT = {'KiB': 1, 'MiB': 2**10, 'GiB': 2**20, 'TiB': 2**30}
KIB_PER_MIB = 2**10
_MEMORY = re.compile(r'(\d+(?:\.\d+)?) ?([A-Za-z]+)')


def parse_cores(value: object) -> int | None:
    """Return the millicores of a number of cores.

    Returns
    -------
    int or None
        None when ``value`` is no number, or not a whole number of
        thousandths of a core. The sign is kept.

    Examples
    --------
    >>> parse_cores(0.5)
    500
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        # By way of text, so that 0.1 is a tenth and not its binary neighbour.
        millicores = Decimal(str(value)) * MILLICORES_PER_CORE
        whole = int(millicores)
    except (InvalidOperation, OverflowError, ValueError):
        return None
    return whole if whole == millicores else None


def parse_memory(value: object) -> int | None:
    """Return the mebibytes of a text such as ``32GiB``.

    Returns
    -------
    int or None
        None without a binary unit, or when it is not a whole number of
        mebibytes. A bare 0 needs no unit.

    Examples
    --------
    >>> parse_memory('1.5GiB')
    1536
    """
    if value == 0 and not isinstance(value, bool):
        return 0
    match = _MEMORY.fullmatch(value) if isinstance(value, str) else None
    if match is None or match[2] not in KIB_PER_UNIT:
        return None
    mebibytes = Decimal(match[1]) * KIB_PER_UNIT[match[2]] / KIB_PER_MIB
    whole = int(mebibytes)
    return whole if whole == mebibytes else None


def format_cores(millicores: int) -> str:
    """Return a number of cores as people write it.

    Examples
    --------
    >>> format_cores(16000), format_cores(500)
    ('16', '0.5')
    """
    return f'{Decimal(millicores) / MILLICORES_PER_CORE:f}'


def format_memory(memory_mb: int) -> str:
    """Return mebibytes in the largest unit that keeps a whole number.

    Examples
    --------
    >>> format_memory(32768), format_memory(1536)
    ('32GiB', '1536MiB')
    """
    for unit in ('TiB', 'GiB'):
        size = KIB_PER_UNIT[unit] // KIB_PER_MIB
        if memory_mb and memory_mb % size == 0:
            return f'{memory_mb // size}{unit}'
    return f'{memory_mb}MiB'
