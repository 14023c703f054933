"""Check of the starts on workers that had said that they were leaving."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# No run starts later than this after the store has acknowledged that a worker
# is leaving, if the last disturbance has been over for the recovery time.
DRAIN_MS = 2_000
RECOVERY_MS = 3_000
# Faults that disturb neither an entry host nor its connections.
UNRELATED_FAULTS = frozenset(
    {'drain-worker', 'change-configuration', 'fail-worker', 'hang-worker'}
)


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault and the time in which it was active.

    Parameters
    ----------
    began_ms, ended_ms : int
        Clock of `tests.standins.store.read_clock_ms`, in ms.
    """

    name: str
    began_ms: int
    ended_ms: int


def find_late_starts(
    starts: Iterable[dict[str, Any]], faults: Iterable[InjectedFault]
) -> list[str]:
    """Return the starts that came too late, as violations.

    Parameters
    ----------
    starts : iterable of dict
        Starts on leaving workers, as the stand-in for the workers records
        them: ``task``, ``worker``, ``at_ms`` and ``leaving_since_ms``.
    faults : iterable of InjectedFault
        All faults of the run.
    """
    disturbing = [
        fault for fault in faults if fault.name not in UNRELATED_FAULTS
    ]
    return [
        f'{start["task"]} started on {start["worker"]} '
        f'{start["at_ms"] - start["leaving_since_ms"]} ms after the store had '
        'acknowledged that it was leaving'
        for start in starts
        if start['at_ms'] - start['leaving_since_ms'] > DRAIN_MS
        and not any(
            fault.began_ms <= start['at_ms']
            and fault.ended_ms >= start['at_ms'] - RECOVERY_MS
            for fault in disturbing
        )
    ]
