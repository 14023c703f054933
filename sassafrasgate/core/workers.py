"""Workers as they register themselves."""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.resources import NOTHING
from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Registration:
    """A worker's own entry.

    Parameters
    ----------
    worker : str
        Its id.
    pool : str
        Pool that it serves.
    address : str
        IP number and port of its API.
    failure_domain : str
        Where it stands.
    capacity : Resources
        What it has for tasks.
    labels : tuple of str
        Its kind and its rack.
    rack : str
        The rack alone; empty when not told.
    leaving : bool
        Whether it takes no new work.
    machine : str
        The machine that it is a life of; empty when not told.
    born_ms : int
        Unix ms of the incarnation's start.
    remaining_ms : int
        For a worker that is leaving: least time that is left.
    """

    worker: str
    pool: str
    address: str
    failure_domain: str = ''
    capacity: Resources = NOTHING
    labels: tuple[str, ...] = ()
    rack: str = ''
    leaving: bool = False
    machine: str = ''
    born_ms: int = 0
    remaining_ms: int = 0
