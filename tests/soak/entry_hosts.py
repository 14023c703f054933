"""Entry hosts of a soak test."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from tests.processes import ManagedProcess
from tests.soak.proxies import Proxy


@dataclass(slots=True)
class EntryHost:
    """An entry host with its process and proxies.

    Parameters
    ----------
    shift_ms : int
        Difference between its time of day and that of the machine, in ms.
    restarting : bool
        Set from a kill or a stop of the process until the next one starts.
    suspend_count : int
        Number of faults that keep the process suspended; a suspended
        process cannot stop.
    """

    name: str
    settings: Path
    shift_ms: int
    caller_address: str
    ready_address: str
    store_proxy: Proxy
    caller_proxy: Proxy
    process: ManagedProcess
    restarting: bool = False
    suspend_count: int = 0
