"""A process's share of the calls that the platform's store can bear."""

from __future__ import annotations

from enum import IntEnum
from enum import StrEnum


class CallKind(StrEnum):
    """Kinds of calls with a rate of their own."""

    READ = 'read'
    WRITE = 'write'


class CallPriority(IntEnum):
    """Order in which waiting calls get tokens, first the lowest number."""

    HIGH = 0
    NORMAL = 1
    LOW = 2
