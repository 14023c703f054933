"""Versions of the configuration in the platform's store."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from uuid import uuid4

from msgspec.msgpack import decode
from msgspec.msgpack import encode

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.core.errors import StoreConflictError
from sassafrasgate.core.errors import StoreUnavailableError

MANIFEST_KEY = 'control/configuration'


def advance(current: Configuration, offered: Configuration) -> Configuration:
    """Return the newer of two configurations."""
    return offered if offered.version > current.version else current


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a whole configuration, encoded."""
    return encode(configuration)


def decode_configuration(data: bytes) -> Configuration:
    """Return the configuration of its encoded form."""
    return decode(data, type=Configuration)


async def read_configuration(store: Any) -> Configuration | None:
    """Return the accepted configuration."""
    item = await store.get(MANIFEST_KEY)
    return decode_configuration(item.value) if item else None


async def publish_configuration(
    store: Any, new: Configuration, expected_version: int
) -> Configuration | Refusal:
    """Put a configuration in force by compare-and-swap."""
    item = await store.get(MANIFEST_KEY)
    current = decode_configuration(item.value) if item else Configuration()
    if current.version != expected_version:
        return Refusal(
            RefusalKind.CONFLICT,
            f'version {current.version} is in force, not {expected_version}',
            'read the new version, check the difference, and apply again',
        )
    new = replace(new, version=expected_version + 1, change=uuid4().hex)
    try:
        if item is None:
            await store.create(MANIFEST_KEY, encode_configuration(new))
        else:
            await store.swap(
                MANIFEST_KEY, encode_configuration(new), item.revision
            )
    except (StoreConflictError, StoreUnavailableError):
        found = await read_configuration(store)
        if found is None or found.change != new.change:
            return Refusal(RefusalKind.CONFLICT, 'lost a race', 'read again')
    return new
