"""Settings of a front end or scheduler process, read from YAML."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.configuration.documents import read_document
from sassafrasgate.configuration.documents import read_documents
from sassafrasgate.configuration.faults import Fault
from sassafrasgate.configuration.values import Address
from sassafrasgate.configuration.values import Count
from sassafrasgate.configuration.values import ListenAddress
from sassafrasgate.configuration.values import LogLevel
from sassafrasgate.configuration.values import Name
from sassafrasgate.configuration.values import NotNegative
from sassafrasgate.configuration.values import Positive
from sassafrasgate.configuration.values import Url
from sassafrasgate.configuration.values import ValidationIssue
from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.registries import Registry

if TYPE_CHECKING:
    from pathlib import Path

    from sassafrasgate.configuration.documents import ParsedDocument


@dataclass(frozen=True, slots=True)
class Peer:
    """Name and address (IP number and port) of another scheduler."""

    name: Name
    address: Address


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a front end or scheduler process.

    Parameters
    ----------
    name : str
        Unique name of the process in the cell.
    failure_domain : str
        Failure domain of its entry host.
    store_url : str
        Base URL of the platform's store.
    http_address : str
        IP number and port for HTTP (callers and operators on a front end;
        health and metrics on a scheduler).
    link_address : str
        IP number and port for the inner protocol of a scheduler; empty on a
        front end.
    peers : tuple of Peer
        Schedulers from which the configuration is requested while the store
        is down.
    writes_per_s, reads_per_s : float
        Rate limits for calls to the store by all processes of the cell
        together.
    drain_s : float
        Maximum duration of a planned stop, in seconds.
    owner_ttl_s : float
        Duration of a scheduler's lease in the store, in seconds. The shards
        of an owner that does not respond are taken over after this time.
    outage_grace_s : float
        Seconds after the expiry of its lease for which an owner may still
        send commands to workers while the store is down. A new owner waits
        as long before it declares work lost on a host that does not respond.
    response_memory_mib : int
        Memory for the bodies of large responses that are read at the same
        time, in MiB.
    memory_mb : float
        Memory that the process may use, in MiB.
    max_descriptors : int
        Number of file descriptors that the process may have open.
    log_level : str
        Lowest level of the log, as logbook names it.
    """

    name: Name
    failure_domain: Name
    store_url: Url
    http_address: ListenAddress
    link_address: Address = ''
    peers: tuple[Peer, ...] = ()
    writes_per_s: Positive = 300.0
    reads_per_s: Positive = 1500.0
    drain_s: NotNegative = 20.0
    owner_ttl_s: Positive = 3.0
    outage_grace_s: NotNegative = 120.0
    response_memory_mib: Count = 32
    memory_mb: Positive = 512.0
    max_descriptors: Count = 4096
    log_level: LogLevel = 'INFO'


class SettingsError(SassafrasgateError):
    """Raised when a settings file has faults.

    Parameters
    ----------
    faults : tuple of Fault
        All faults of the file, in the order of their lines.
    """

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        noun = 'fault' if len(faults) == 1 else 'faults'
        lines = [f'{len(faults)} {noun} in the settings:']
        lines += [f'  {fault}' for fault in faults]
        super().__init__('\n'.join(lines))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class SettingsIssue:
    """A conflict between settings that are each valid by themselves."""

    path: str
    value: str
    issue: ValidationIssue


SettingsChecks = Registry[str, Callable[[Any], Iterator[SettingsIssue]]]

SETTINGS_CHECKS: SettingsChecks = Registry('settings check')


def load_settings(path: Path) -> Settings:
    """Return the settings of a YAML file.

    The entry of the process itself is removed from the peers, so that all
    settings files of a cell can contain the same list of peers.

    Parameters
    ----------
    path : Path
        A file with one YAML document.

    Returns
    -------
    Settings
        Settings whose values have all been checked.

    Raises
    ------
    SettingsError
        When the file has faults; it names all of them.
    """
    parsed = load_document(path, Settings, SETTINGS_CHECKS)
    settings: Settings = parsed.value
    others = tuple(
        peer for peer in settings.peers if peer.name != settings.name
    )
    return replace(settings, peers=others)


def load_document(
    path: Path, kind: type[Any], checks: SettingsChecks | None = None
) -> ParsedDocument:
    """Read a file with one YAML document into a settings class.

    Parameters
    ----------
    kind : type
        A data class used as the schema.
    checks : Registry, optional
        Checks of the settings as a whole.

    Raises
    ------
    SettingsError
        When the file has faults; it names all of them.
    """
    documents, fault = read_documents(path)
    if fault is not None:
        raise SettingsError((fault,))
    if len(documents) != 1:
        problem = f'holds {len(documents)} YAML documents'
        remedy = 'write the settings of one process in one document'
        raise SettingsError((Fault(str(path), 0, '', '', problem, remedy),))
    parsed = read_document(documents[0], kind)
    faults = parsed.faults
    if checks is not None:
        faults += _run_checks(parsed, checks)
    if faults:
        raise SettingsError(
            tuple(sorted(faults, key=lambda fault: fault.line))
        )
    return parsed


def _run_checks(
    parsed: ParsedDocument, checks: SettingsChecks
) -> tuple[Fault, ...]:
    found = []
    for name in checks:
        for issue in checks.find(name)(parsed.value):
            found.append(
                Fault(
                    parsed.file,
                    parsed.find_line(issue.path),
                    issue.path,
                    issue.value,
                    issue.issue.problem,
                    issue.issue.remedy,
                )
            )
    return tuple(found)


@SETTINGS_CHECKS.register('own addresses')
def check_own_addresses(settings: Settings) -> Iterator[SettingsIssue]:
    """Find a link address that is the HTTP address too."""
    address = settings.link_address
    if address and address == settings.http_address:
        issue = ValidationIssue('is also http_address', 'use another port')
        yield SettingsIssue('link_address', repr(address), issue)


@SETTINGS_CHECKS.register('peers')
def check_peers(settings: Settings) -> Iterator[SettingsIssue]:
    """Find peers that share a name or an address."""
    own = Peer(settings.name, settings.link_address)
    names = {own.name: own.address}
    addresses = {own.address: own.name}
    for index, peer in enumerate(settings.peers):
        if peer == own:
            continue
        # An empty value has already been reported as a fault.
        if peer.name and peer.name in names:
            issue = ValidationIssue(
                f'is already the name of {names[peer.name]!r}',
                'give each process a name of its own',
            )
            path = f'peers[{index}].name'
            yield SettingsIssue(path, repr(peer.name), issue)
        if peer.address and peer.address in addresses:
            issue = ValidationIssue(
                f'is already the address of {addresses[peer.address]!r}',
                'give each process an address of its own',
            )
            path = f'peers[{index}].address'
            yield SettingsIssue(path, repr(peer.address), issue)
        names.setdefault(peer.name, peer.address)
        addresses.setdefault(peer.address, peer.name)
