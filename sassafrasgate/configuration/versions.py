"""Versions of a configuration: their parts, manifests and differences.

The store holds a manifest, one part per failure domain, and one part for
rules and quotas. A part is named by its digest, so that only parts that
changed are written by a change and read by a process.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import fields
from itertools import groupby
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder
from xxhash import xxh3_128_hexdigest

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.cells import Rule
from sassafrasgate.core.cells import Shard
from sassafrasgate.core.cells import Team
from sassafrasgate.core.errors import SassafrasgateError
from sassafrasgate.core.hosts import Host
from sassafrasgate.core.inputs import DECODE_ERRORS
from sassafrasgate.core.resources import Resources

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

# The store accepts values of up to one megabyte.
MAX_PART_BYTES = 1_000_000
# Number of change ids that the manifest keeps. A writer that lost the reply
# finds its change id there as long as fewer changes have followed it.
MAX_KEPT_CHANGES = 64

Parts = dict[str, bytes]
Decoded = TypeVar('Decoded')


class ConfigurationError(SassafrasgateError):
    """Raised when a stored or received configuration cannot be decoded."""


@dataclass(frozen=True, slots=True)
class PartReference:
    """Reference to a part by its digest.

    Parameters
    ----------
    digest : str
        The xxh3-128 digest of the whole part, in hexadecimal.
    pieces : int
        Number of values of the store into which the part is split; 1 unless
        the part is larger than `MAX_PART_BYTES`.
    """

    digest: str
    pieces: int = 1

    def list_names(self) -> tuple[str, ...]:
        """Return the names of the stored values that make up the part."""
        if self.pieces == 1:
            return (self.digest,)
        return tuple(
            f'{self.digest}/{number}' for number in range(self.pieces)
        )


@dataclass(frozen=True, slots=True)
class Manifest:
    """List of the parts that make up a version of the configuration.

    Parameters
    ----------
    version : int
        Version number; incremented by each accepted change.
    change : str
        Id of the change that made this version.
    cell : str
        Name of the cell.
    domains : tuple of PartReference
        One part for each failure domain, in the order of their names.
    policy : PartReference
        The part that holds rules and quotas.
    earlier : tuple of str
        Ids of the previous changes, latest first.
    """

    version: int
    change: str
    cell: str
    domains: tuple[PartReference, ...]
    policy: PartReference
    earlier: tuple[str, ...] = ()

    def list_names(self) -> tuple[str, ...]:
        """Return the names of all stored values of this version."""
        names = [
            name
            for reference in (*self.domains, self.policy)
            for name in reference.list_names()
        ]
        return tuple(dict.fromkeys(names))

    def find_change(self, version: int) -> str | None:
        """Return the id of the change that made a version.

        Returns
        -------
        str or None
            None for a later version, or one so old that its id is not kept.
        """
        changes = (self.change, *self.earlier)
        age = self.version - version
        return changes[age] if 0 <= age < len(changes) else None


# Name and URL of a host, the indices of its rack, capacity and labels in
# their columns, and whether it is drained.
_HostRow = tuple[str, str, int, int, int, bool]


@dataclass(frozen=True, slots=True)
class _DomainPart:
    """Hosts and shards of one failure domain.

    Hosts refer to the distinct racks, capacities and labels by index.
    """

    failure_domain: str
    racks: tuple[str, ...]
    capacities: tuple[Resources, ...]
    labels: tuple[tuple[str, ...], ...]
    hosts: tuple[_HostRow, ...]
    shards: tuple[tuple[str, tuple[str, ...]], ...]


@dataclass(frozen=True, slots=True)
class _PolicyPart:
    teams: tuple[Team, ...]
    rules: tuple[Rule, ...]


@dataclass(frozen=True, slots=True)
class _EncodedConfiguration:
    manifest: Manifest
    parts: dict[str, bytes]


_ENCODER = Encoder()
_MANIFEST = Decoder(Manifest)
_DOMAIN = Decoder(_DomainPart)
_POLICY = Decoder(_PolicyPart)
_CONFIGURATION = Decoder(_EncodedConfiguration)


def sort_configuration(configuration: Configuration) -> Configuration:
    """Return the configuration with its hosts and shards sorted.

    They are sorted by failure domain and name, so that equal content gives
    equal parts independently of the order of the declaration. Teams and
    rules keep their order.
    """
    return Configuration(
        configuration.version,
        configuration.change,
        configuration.cell,
        tuple(sorted(configuration.hosts, key=_get_sort_key)),
        tuple(sorted(configuration.shards, key=_get_sort_key)),
        configuration.teams,
        configuration.rules,
    )


def _get_sort_key(entry: Host | Shard) -> tuple[str, str]:
    return entry.failure_domain, entry.name


def split_configuration(
    configuration: Configuration, earlier: tuple[str, ...] = ()
) -> tuple[Manifest, Parts]:
    """Return the manifest and the parts of a configuration.

    Parameters
    ----------
    configuration : Configuration
        Configuration whose entries may be in any order.
    earlier : tuple of str
        Ids of the previous changes, latest first.

    Returns
    -------
    Manifest
        Manifest that refers to the parts by digest.
    dict of str to bytes
        Parts by name, each of at most `MAX_PART_BYTES`.

    Examples
    --------
    >>> manifest, parts = split_configuration(configuration)
    >>> join_configuration(manifest, parts) == configuration
    True
    """
    ordered = sort_configuration(configuration)
    hosts = _group_by_domain(ordered.hosts)
    shards = _group_by_domain(ordered.shards)
    parts: Parts = {}
    references = tuple(
        _add_part(
            parts,
            _make_domain_part(
                domain, hosts.get(domain, ()), shards.get(domain, ())
            ),
        )
        for domain in sorted({*hosts, *shards})
    )
    policy = _add_part(
        parts,
        _PolicyPart(ordered.teams, ordered.rules),
    )
    manifest = Manifest(
        ordered.version,
        ordered.change,
        ordered.cell,
        references,
        policy,
        earlier[: MAX_KEPT_CHANGES - 1],
    )
    return manifest, parts


DomainMember = TypeVar('DomainMember', Host, Shard)


def _group_by_domain(
    entries: tuple[DomainMember, ...],
) -> dict[str, tuple[DomainMember, ...]]:
    return {
        domain: tuple(group)
        for domain, group in groupby(
            entries, key=lambda entry: entry.failure_domain
        )
    }


def _make_domain_part(
    domain: str, hosts: Sequence[Host], shards: Sequence[Shard]
) -> _DomainPart:
    racks: dict[str, int] = {}
    capacities: dict[Resources, int] = {}
    labels: dict[tuple[str, ...], int] = {}
    rows = tuple(
        (
            host.name,
            host.url,
            racks.setdefault(host.rack, len(racks)),
            capacities.setdefault(host.capacity, len(capacities)),
            labels.setdefault(host.labels, len(labels)),
            host.drained,
        )
        for host in hosts
    )
    return _DomainPart(
        domain,
        tuple(racks),
        tuple(capacities),
        tuple(labels),
        rows,
        tuple((shard.name, shard.racks) for shard in shards),
    )


def _add_part(parts: Parts, part: object) -> PartReference:
    encoded = _ENCODER.encode(part)
    starts = range(0, len(encoded), MAX_PART_BYTES)
    reference = PartReference(xxh3_128_hexdigest(encoded), len(starts))
    for name, start in zip(reference.list_names(), starts, strict=True):
        parts[name] = encoded[start : start + MAX_PART_BYTES]
    return reference


def join_configuration(
    manifest: Manifest, parts: Mapping[str, bytes]
) -> Configuration:
    """Rebuild a configuration from its manifest and parts.

    Parameters
    ----------
    manifest : Manifest
        Manifest from `split_configuration` or `decode_manifest`.
    parts : mapping of str to bytes
        Parts by name; at least those that the manifest refers to.

    Raises
    ------
    ConfigurationError
        When a part is missing, has another digest or cannot be decoded.
    """
    hosts: list[Host] = []
    shards: list[Shard] = []
    for reference in manifest.domains:
        part = _decode(_DOMAIN, _find_part(reference, parts))
        hosts += _list_hosts(part)
        shards += (
            Shard(name, part.failure_domain, racks)
            for name, racks in part.shards
        )
    policy = _decode(_POLICY, _find_part(manifest.policy, parts))
    return Configuration(
        manifest.version,
        manifest.change,
        manifest.cell,
        tuple(hosts),
        tuple(shards),
        policy.teams,
        policy.rules,
    )


def _list_hosts(part: _DomainPart) -> Iterator[Host]:
    try:
        for name, url, rack, capacity, labels, drained in part.hosts:
            yield Host(
                name,
                url,
                part.racks[rack],
                part.failure_domain,
                part.capacities[capacity],
                part.labels[labels],
                drained,
            )
    except IndexError as error:
        raise ConfigurationError(
            f'the part of failure domain {part.failure_domain!r} refers to '
            'an entry that it does not hold; apply the declaration again'
        ) from error


def _find_part(reference: PartReference, parts: Mapping[str, bytes]) -> bytes:
    missing = [name for name in reference.list_names() if name not in parts]
    if missing:
        raise ConfigurationError(
            f'the part {missing[0]!r} is missing; apply the declaration again'
        )
    encoded = b''.join(parts[name] for name in reference.list_names())
    digest = xxh3_128_hexdigest(encoded)
    if digest != reference.digest:
        raise ConfigurationError(
            f'the part {reference.digest!r} has the digest {digest!r}; '
            'apply the declaration again'
        )
    return encoded


def _decode(decoder: Decoder[Decoded], encoded: bytes) -> Decoded:
    try:
        return decoder.decode(encoded)
    except DECODE_ERRORS as error:
        raise ConfigurationError(
            f'cannot decode {len(encoded)} bytes of a configuration: {error}; '
            'check that all processes run the same release'
        ) from error


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest as the value of its key in the store."""
    return _ENCODER.encode(manifest)


def decode_manifest(encoded: bytes) -> Manifest:
    """Decode a manifest from the value of its key in the store.

    Raises
    ------
    ConfigurationError
        When the value cannot be decoded.
    """
    return _decode(_MANIFEST, encoded)


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode a configuration with all its parts for a peer."""
    return _ENCODER.encode(
        _EncodedConfiguration(*split_configuration(configuration))
    )


def decode_configuration(encoded: bytes) -> Configuration:
    """Decode a configuration that a peer encoded.

    Raises
    ------
    ConfigurationError
        When the bytes cannot be decoded or a part is damaged.
    """
    decoded = _decode(_CONFIGURATION, encoded)
    return join_configuration(decoded.manifest, decoded.parts)


def choose_newer(
    current: Configuration, offered: Configuration
) -> Configuration:
    """Return the configuration with the higher version.

    With equal versions ``current`` is returned, since a version is made by
    one change only and the contents are equal.

    Examples
    --------
    >>> choose_newer(
    ...     Configuration(version=2), Configuration(version=1)
    ... ).version
    2
    """
    return offered if offered.version > current.version else current


@dataclass(frozen=True, slots=True)
class ChangeLine:
    """A difference between two configurations.

    Parameters
    ----------
    action : str
        ``added``, ``removed``, ``changed`` or ``moved``.
    group : str
        Field of `Configuration` that holds the entry, or ``cell``.
    name : str
        Name of the entry.
    details : tuple of str
        Changed fields of the entry, each as ``field: old -> new``.
    """

    action: str
    group: str
    name: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        details = f': {", ".join(self.details)}' if self.details else ''
        return f'{self.action} {self.group} {self.name}{details}'


GROUPS = ('hosts', 'shards', 'teams', 'rules')


def diff_configurations(
    old: Configuration, new: Configuration
) -> tuple[ChangeLine, ...]:
    """Return the differences between two configurations.

    Versions and change ids are not compared.

    Parameters
    ----------
    old, new : Configuration
        Configurations whose hosts and shards may be in any order.

    Examples
    --------
    >>> diff_configurations(old, old)
    ()
    """
    lines: list[ChangeLine] = []
    if old.cell != new.cell:
        detail = f'cell: {old.cell!r} -> {new.cell!r}'
        lines.append(ChangeLine('changed', 'cell', new.cell, (detail,)))
    for group in GROUPS:
        before = {entry.name: entry for entry in getattr(old, group)}
        after = {entry.name: entry for entry in getattr(new, group)}
        lines += _diff_entries(group, before, after)
    kept = [rule.name for rule in old.rules if rule in new.rules]
    order = [rule.name for rule in new.rules if rule in old.rules]
    if kept != order:
        detail = f'order: {", ".join(order)}'
        lines.append(ChangeLine('moved', 'rules', new.cell, (detail,)))
    return tuple(lines)


def _diff_entries(
    group: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[ChangeLine]:
    for name in sorted({*before, *after}):
        if name not in before:
            yield ChangeLine('added', group, name)
        elif name not in after:
            yield ChangeLine('removed', group, name)
        elif before[name] != after[name]:
            details = tuple(_diff_fields('', before[name], after[name]))
            yield ChangeLine('changed', group, name, details)


def _diff_fields(path: str, before: Any, after: Any) -> Iterator[str]:
    for item in fields(before):
        old, new = getattr(before, item.name), getattr(after, item.name)
        if old == new:
            continue
        if isinstance(old, Resources):
            yield from _diff_fields(f'{path}{item.name}.', old, new)
            continue
        yield f'{path}{item.name}: {old!r} -> {new!r}'
