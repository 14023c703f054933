"""Hosts as the operators' inventory describes them."""

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
        Base URL of the worker's API, by IP number.
    rack, failure_domain : str
        Where the host stands.
    capacity : Resources
        What the host carries.
    labels : tuple of str
        Free labels that rules can name.
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
