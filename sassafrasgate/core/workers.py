"""Registrations of workers."""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.resources import NO_RESOURCES
from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Registration:
    """Entry with which a worker registers itself.

    Parameters
    ----------
    worker : str
        Id of the worker.
    pool : str
        Pool that it serves.
    address : str
        IP address and port of its API.
    failure_domain : str
        Failure domain in which it is located.
    capacity : Resources
        Resources that it offers to tasks.
    labels : tuple of str
        Labels for its kind and its rack.
    rack : str
        Name of its rack; empty when not reported.
    leaving : bool
        Whether it is leaving and takes no new work.
    machine : str
        Machine of which it is one incarnation; empty when not reported.
    incarnation_ms : int
        Start of the worker's incarnation, in Unix milliseconds.
    remaining_ms : int
        For a leaving worker: minimum time that it remains, in milliseconds.
    """

    worker: str
    pool: str
    address: str
    failure_domain: str = ''
    capacity: Resources = NO_RESOURCES
    labels: tuple[str, ...] = ()
    rack: str = ''
    leaving: bool = False
    machine: str = ''
    incarnation_ms: int = 0
    remaining_ms: int = 0
