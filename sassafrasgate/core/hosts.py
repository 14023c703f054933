"""Hosts as described in the operators' inventory."""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Host:
    """One worker host of the inventory.

    Parameters
    ----------
    name : str
        Unique name in the whole cell.
    url : str
        Base URL of the worker's API, with an IP address as the host.
    rack, failure_domain : str
        Location of the host.
    capacity : Resources
        Resources that the host offers to tasks.
    labels : tuple of str
        Free-form labels that rules can refer to.
    drained : bool
        Whether an operator has drained the host.
    """

    name: str
    url: str
    rack: str
    failure_domain: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    drained: bool = False
