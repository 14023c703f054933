"""Settings of the process of an entry host, read from YAML."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sassafrasgate.configuration.settings import load_document
from sassafrasgate.configuration.values import Address
from sassafrasgate.configuration.values import Count
from sassafrasgate.configuration.values import ListenAddress
from sassafrasgate.configuration.values import LogLevel
from sassafrasgate.configuration.values import Name
from sassafrasgate.configuration.values import NotNegative
from sassafrasgate.configuration.values import Positive

if TYPE_CHECKING:
    from pathlib import Path


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of the process of an entry host.

    Parameters
    ----------
    name : str
        Unique name of the entry host.
    failure_domain : str
        Failure domain of the entry host.
    caller_address, ready_address, metrics_address : str
        IP number and port for callers, for readiness checks of the load
        balancer, and for metrics.
    link_address : str
        IP number and port for the inner protocol.
    store_address, advice_address : str
        IP number and port of the store and of the advice service of the
        platform; the latter is empty if the platform gives no advice.
    processor_share, processor_speed : float
        Share of a core that the host has, and the relative speed of that
        core.
    writes_per_s, reads_per_s : float
        Rate limits for calls to the store by all entry hosts together.
    owner_ttl_s : float
        Duration of the process's lease in the store, in seconds. The shard
        of an owner that does not respond is taken over after this time.
    outage_grace_s : float
        Seconds after the expiry of its lease for which an owner may still
        send commands to workers while the store is down. A new owner waits
        as long for a worker that does not respond.
    stop_s : float
        Maximum time from a request to stop to the end of the process, in
        seconds.
    manages_overload : bool
        Whether an overloaded pool is served by priority and least work, and
        refuses what would be late, also in a cell without tenants.
    max_key_age_ms : int
        Age of the routing table, in ms, from which on a host that cannot
        confirm it accepts no key of a tenant; 0 for no limit.
    response_memory_mib : int
        Memory for the bodies of large responses that are read at the same
        time, in MiB.
    memory_mb : float
        Memory that the process may use, in MiB.
    max_descriptors : int
        Number of file descriptors that the process may have open.
    platform : str
        Registered name of the adapters for the store, the workers and the
        callers.
    log_level : str
        Lowest level of the log, as logbook names it.
    """

    name: Name
    failure_domain: Name
    caller_address: ListenAddress
    ready_address: ListenAddress
    metrics_address: ListenAddress
    link_address: Address
    store_address: Address
    advice_address: str = ''
    processor_share: Positive = 1.0
    processor_speed: Positive = 1.0
    writes_per_s: Positive = 400.0
    reads_per_s: Positive = 2000.0
    owner_ttl_s: Positive = 1.5
    outage_grace_s: NotNegative = 8.0
    stop_s: Positive = 6.0
    manages_overload: bool = False
    max_key_age_ms: Count = 0
    response_memory_mib: Count = 32
    memory_mb: Positive = 512.0
    max_descriptors: Count = 4096
    platform: str = 'kv'
    log_level: LogLevel = 'INFO'


def load_entry_settings(path: Path) -> EntrySettings:
    """Return the settings of a YAML file.

    Raises
    ------
    SettingsError
        When the file has faults; it names all of them.
    """
    parsed = load_document(path, EntrySettings)
    settings: EntrySettings = parsed.value
    return settings
