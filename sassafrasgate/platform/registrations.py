"""Workers' entries in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import DecodeError
from msgspec import Struct
from msgspec.json import Decoder

from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workers import Registration

if TYPE_CHECKING:
    from sassafrasgate.core.items import Item

ENTRY_PREFIX = 'servers/'
STATES = {'ready': False, 'draining': True}


class _Capacity(Struct, frozen=True, rename='camel'):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Entry(Struct, frozen=True, rename='camel'):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    # The worker's kind and its rack.
    labels: list[str]
    machine: str = ''
    # Unix ms of the start of this life of the worker.
    born: int = 0
    remaining_ms: int = 0


_DECODER = Decoder(_Entry)


def read_registration(item: Item) -> Registration | None:
    """Return the worker that an entry names, or None.

    An entry of another writer may lack fields, hold other types or unknown
    states; it names no worker to use.
    """
    try:
        entry = _DECODER.decode(item.value or b'')
    except (DecodeError, ValueError):
        return None
    if entry.state not in STATES or not entry.service or not entry.address:
        return None
    return Registration(
        item.key.removeprefix(ENTRY_PREFIX),
        entry.service,
        entry.address,
        entry.zone,
        Resources(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpu
        ),
        tuple(entry.labels),
        entry.labels[-1] if len(entry.labels) > 1 else '',
        STATES[entry.state],
        entry.machine,
        entry.born,
        entry.remaining_ms,
    )
