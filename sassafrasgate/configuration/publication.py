"""Publishes configurations to the store and reads them back.

The parts are written first, as keys that must not exist, and the manifest
last, by compare-and-swap. A version whose manifest can be read is therefore
complete.
"""

from __future__ import annotations

from dataclasses import replace
from random import uniform
from typing import Protocol
from typing import TYPE_CHECKING
from uuid import uuid4

from anyio import sleep

from sassafrasgate.configuration.versions import ConfigurationError
from sassafrasgate.configuration.versions import decode_manifest
from sassafrasgate.configuration.versions import encode_manifest
from sassafrasgate.configuration.versions import join_configuration
from sassafrasgate.configuration.versions import sort_configuration
from sassafrasgate.configuration.versions import split_configuration
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError

if TYPE_CHECKING:
    from sassafrasgate.configuration.versions import Manifest
    from sassafrasgate.core.cells import Configuration
    from sassafrasgate.core.items import Item

# Lies under the prefix of the only watch that each process keeps.
MANIFEST_KEY = 'control/configuration'
PART_PREFIX = 'configuration/parts/'
# Attempts for each write in all. A write is idempotent, so repeating it is
# safe.
MAX_WRITE_ATTEMPTS = 4
# Upper bound of the delay after the first attempt; it doubles each time.
INITIAL_BACKOFF_S = 0.05


class Store(Protocol):
    """Operations of the platform's store that this module uses."""

    async def get(self, key: str) -> Item | None:
        """Return the item of a key, or None when the key does not exist.

        Raises
        ------
        StoreUnavailableError
            When the store does not reply.
        """

    async def create(self, key: str, value: bytes) -> int:
        """Write a key that must not exist; return its revision.

        Raises
        ------
        StoreConflictError
            When the key exists.
        StoreUnavailableError
            When the store does not reply; the write may have taken effect.
        """

    async def swap(self, key: str, value: bytes, revision: int) -> int:
        """Write a key that must have ``revision``; return its new revision.

        Raises
        ------
        StoreConflictError
            When the key has another revision.
        StoreUnavailableError
            When the store does not reply; the write may have taken effect.
        """


async def read_configuration(
    store: Store, known: Configuration | None = None
) -> Configuration | None:
    """Return the configuration in force, or None before the first one.

    Parameters
    ----------
    store : Store
        The platform's store.
    known : Configuration or None
        A configuration that was read before; parts that it shares with the
        one in force are not read again.

    Raises
    ------
    StoreUnavailableError
        When the store does not reply.
    ConfigurationError
        When the stored configuration is incomplete or damaged.
    """
    item = await store.get(MANIFEST_KEY)
    if item is None or item.value is None:
        return None
    manifest = decode_manifest(item.value)
    parts = split_configuration(known)[1] if known is not None else {}
    for name in manifest.list_names():
        if name in parts:
            continue
        part = await store.get(PART_PREFIX + name)
        if part is None or part.value is None:
            raise ConfigurationError(
                f'the part {name!r} of version {manifest.version} is not in '
                'the store; apply the declaration again'
            )
        parts[name] = part.value
    return join_configuration(manifest, parts)


async def publish_configuration(
    store: Store, new: Configuration, expected_version: int
) -> Configuration | Refusal:
    """Publish a configuration if the expected version is current.

    Parameters
    ----------
    store : Store
        The platform's store.
    new : Configuration
        Configuration to publish; its version is ignored. Its change id, or
        a generated one if that is empty, identifies the change, so that
        publishing the same change again has no further effect.
    expected_version : int
        Version that ``new`` was made from; 0 for the first configuration.

    Returns
    -------
    Configuration or Refusal
        The configuration with its new version. After a refusal the change
        has not taken effect and never will. The kind of the refusal is
        ``conflict`` when another version is current, or
        ``store-unavailable`` when the store did not reply before the
        manifest was written.

    Raises
    ------
    StoreUnavailableError
        When the store stopped replying while the manifest was written, so
        that it is unknown whether the change took effect.
    ConfigurationError
        When the stored manifest cannot be decoded.
    """
    change = new.change or uuid4().hex
    accepted = sort_configuration(
        replace(new, version=expected_version + 1, change=change)
    )
    try:
        current = await _read_manifest(store)
        if _is_decided(current, accepted):
            return _determine_outcome(current, accepted)
        earlier = _list_changes(current)
        manifest, parts = split_configuration(accepted, earlier)
        # The store already holds the parts of the manifest in force.
        stored = set(current[0].list_names()) if current is not None else ()
        for name, part in parts.items():
            if name not in stored:
                await _create_part(store, PART_PREFIX + name, part)
    except StoreUnavailableError as error:
        return Refusal(
            RefusalKind.STORE_UNAVAILABLE,
            f'the store did not reply: {error}',
            'the change has not taken effect; apply it again later',
        )
    return await _write_manifest(store, accepted, manifest, current)


StoredManifest = tuple['Manifest', int]


async def _read_manifest(store: Store) -> StoredManifest | None:
    item = await store.get(MANIFEST_KEY)
    if item is None or item.value is None:
        return None
    return decode_manifest(item.value), item.revision


def _list_changes(current: StoredManifest | None) -> tuple[str, ...]:
    if current is None:
        return ()
    return current[0].change, *current[0].earlier


def _is_decided(
    current: StoredManifest | None, accepted: Configuration
) -> bool:
    """Return whether the base version of a change is no longer current.

    The outcome of the change can then be determined.
    """
    version = current[0].version if current is not None else 0
    return version != accepted.version - 1


def _determine_outcome(
    current: StoredManifest | None, accepted: Configuration
) -> Configuration | Refusal:
    """Return the outcome of a change that has been decided.

    Later changes may have followed, so the change is looked up by version
    among the change ids that the manifest keeps.

    Raises
    ------
    StoreUnavailableError
        When so many changes have followed that the manifest no longer keeps
        the change id of the version.
    """
    version = 0
    if current is not None:
        version = current[0].version
        found_change = current[0].find_change(accepted.version)
        if found_change == accepted.change:
            return accepted
        if found_change is None and version > accepted.version:
            raise StoreUnavailableError(
                f'version {version} is too far past {accepted.version} to '
                f'tell whether change {accepted.change!r} took effect; '
                'compare the declaration with the configuration in force'
            )
    return Refusal(
        RefusalKind.CONFLICT,
        f'the change was made from version {accepted.version - 1}, and '
        f'version {version} is current',
        f'compare the declaration with version {version} and apply it again',
    )


async def _back_off(attempt: int) -> None:
    await sleep(uniform(0, INITIAL_BACKOFF_S * 2**attempt))


async def _create_part(store: Store, key: str, part: bytes) -> None:
    """Create a part.

    A part that exists already has the same content, since its key holds the
    digest of the content.
    """
    for attempt in range(MAX_WRITE_ATTEMPTS):
        try:
            await store.create(key, part)
        except StoreConflictError:
            return
        except StoreUnavailableError as error:
            last_error = error
        else:
            return
        await _back_off(attempt)
        if await store.get(key) is not None:
            return
    raise last_error


async def _write_manifest(
    store: Store,
    accepted: Configuration,
    manifest: Manifest,
    current: StoredManifest | None,
) -> Configuration | Refusal:
    """Write the manifest by compare-and-swap and return the outcome.

    After a lost reply the manifest is read back. If it is unchanged, the
    write may still be in flight, so the same write is sent again until one
    of them takes effect. Repeating it is safe because all of them carry the
    same change.
    """
    encoded = encode_manifest(manifest)
    for attempt in range(MAX_WRITE_ATTEMPTS):
        try:
            if current is None:
                await store.create(MANIFEST_KEY, encoded)
            else:
                await store.swap(MANIFEST_KEY, encoded, current[1])
        except (StoreConflictError, StoreUnavailableError):
            await _back_off(attempt)
        else:
            return accepted
        found = await _read_back(store, accepted)
        if _is_decided(found, accepted):
            return _determine_outcome(found, accepted)
    raise _make_unknown_outcome_error(accepted)


async def _read_back(
    store: Store, accepted: Configuration
) -> StoredManifest | None:
    for attempt in range(MAX_WRITE_ATTEMPTS):
        try:
            return await _read_manifest(store)
        except StoreUnavailableError:
            await _back_off(attempt)
    raise _make_unknown_outcome_error(accepted)


def _make_unknown_outcome_error(
    accepted: Configuration,
) -> StoreUnavailableError:
    return StoreUnavailableError(
        f'the store did not confirm whether change {accepted.change!r} took '
        'effect; read the configuration in force before applying it again'
    )
