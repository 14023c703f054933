"""Decoder of the registrations that workers write to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import DecodeError
from msgspec import Struct
from msgspec.json import Decoder

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workers import Registration

if TYPE_CHECKING:
    from sassafrasgate.core.items import Item

REGISTRATION_PREFIX = 'servers/'
LEAVING_BY_STATE = {'ready': False, 'draining': True}


class _Capacity(Struct, frozen=True, rename='camel'):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _WorkerEntry(Struct, frozen=True, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    # Labels for the worker's kind and its rack.
    labels: list[str]
    machine: str = ''
    # Start of the worker's incarnation, in Unix milliseconds.
    born: int = 0
    remaining_ms: int = 0


_DECODER = Decoder(_WorkerEntry)


def read_registration(item: Item) -> Registration | None:
    """Decode a worker's registration; return None if it is invalid.

    Other programs write the entries, so fields may be missing or have other
    types, and the state may be unknown. The scheduler does not use a worker
    with such an entry.
    """
    try:
        entry = _DECODER.decode(item.value or b'')
    except (DecodeError, ValueError):
        return None
    if (
        entry.state not in LEAVING_BY_STATE
        or not entry.service
        or not entry.address
    ):
        return None
    return Registration(
        item.key.removeprefix(REGISTRATION_PREFIX),
        entry.service,
        entry.address,
        entry.zone,
        Resources(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        tuple(entry.labels),
        entry.labels[-1] if len(entry.labels) > 1 else '',
        LEAVING_BY_STATE[entry.state],
        entry.machine,
        entry.born,
        entry.remaining_ms,
    )
