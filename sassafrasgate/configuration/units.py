"""Parses and formats amounts of cores and memory."""

from __future__ import annotations

from decimal import Decimal
from decimal import InvalidOperation
import re

MILLICORES_PER_CORE = 1000
KIB_PER_UNIT = {'KiB': 1, 'MiB': 2**10, 'GiB': 2**20, 'TiB': 2**30}
KIB_PER_MIB = 2**10
_MEMORY = re.compile(r'(\d+(?:\.\d+)?) ?([A-Za-z]+)')


def parse_cores(value: object) -> int | None:
    """Convert a number of cores to millicores.

    Returns
    -------
    int or None
        None when ``value`` is not a number, or not a whole number of
        millicores. Negative numbers are accepted.

    Examples
    --------
    >>> parse_cores(0.5)
    500
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        # Converted from text, so that 0.1 is exactly one tenth and not the
        # nearest binary fraction.
        millicores = Decimal(str(value)) * MILLICORES_PER_CORE
        whole = int(millicores)
    except (InvalidOperation, OverflowError, ValueError):
        return None
    return whole if whole == millicores else None


def parse_memory(value: object) -> int | None:
    """Convert an amount of memory such as ``32GiB`` to mebibytes.

    Returns
    -------
    int or None
        None when the binary unit is missing, or when the amount is not a
        whole number of mebibytes. The number 0 needs no unit.

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
    """Format millicores as a number of cores.

    Examples
    --------
    >>> format_cores(16000), format_cores(500)
    ('16', '0.5')
    """
    return f'{Decimal(millicores) / MILLICORES_PER_CORE:f}'


def format_memory(memory_mb: int) -> str:
    """Format mebibytes in the largest unit that gives a whole number.

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
