"""Settings of one process, read from YAML."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec import convert
from yaml import safe_load

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry host's scheduler, by IP number and port."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a front end or scheduler process.

    Parameters
    ----------
    name : str
        Unique name of the process in the cell.
    failure_domain : str
        Where its entry host stands.
    store_url : str
        Base URL of the platform's store.
    http_address : str
        IP number and port for HTTP (callers and operators on a front end;
        health and metrics on a scheduler).
    link_address : str
        IP number and port of a scheduler's inner protocol; empty on a
        front end.
    peers : tuple of Peer
        Schedulers to ask for the configuration while the store is down.
    writes_per_s, reads_per_s : float
        The whole cell's share of the store.
    drain_s : float
        How long a planned stop may take.
    log_level : str
        As logbook names it.
    """

    name: str
    failure_domain: str
    store_url: str
    http_address: str
    link_address: str = ''
    peers: tuple[Peer, ...] = ()
    writes_per_s: float = 300.0
    reads_per_s: float = 1500.0
    drain_s: float = 20.0
    log_level: str = 'INFO'


def load_settings(path: Path) -> Settings:
    """Return the settings of a YAML file."""
    return convert(safe_load(path.read_text()), Settings)
