"""Decoder of the registrations that workers write to the store."""

from __future__ import annotations

import re
from typing import Annotated
from typing import TYPE_CHECKING

from msgspec import Meta
from msgspec import Struct
from msgspec.json import Decoder

from sassafrasgate.core.addresses import parse_address
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.errors import InvalidEntryError
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.inputs import Natural
from sassafrasgate.core.inputs import ShortText
from sassafrasgate.core.resources import Resources
from sassafrasgate.core.workers import Registration

if TYPE_CHECKING:
    from sassafrasgate.core.items import Item

REGISTRATION_PREFIX = 'servers/'
LEAVING_BY_STATE = {'ready': False, 'draining': True}
# The id is sent in a header of each call.
ID_PATTERN = re.compile(r'[!-~]{1,200}')
MAX_LABELS = 64


class _Capacity(Struct, frozen=True, rename='camel'):
    cpu: Natural
    mem_mb: Natural
    gpu: Natural = 0


class _WorkerEntry(Struct, frozen=True, rename='camel'):
    service: Annotated[ShortText, Meta(min_length=1)]
    address: ShortText
    zone: ShortText
    state: ShortText
    capacity: _Capacity
    # Labels for the worker's kind and its rack.
    labels: Annotated[list[ShortText], Meta(max_length=MAX_LABELS)]
    machine: ShortText = ''
    # Start of the worker's incarnation, in Unix milliseconds.
    born: Natural = 0
    remaining_ms: Natural = 0


_DECODER = Decoder(_WorkerEntry)


def read_registration(item: Item) -> Registration:
    """Decode a worker's registration.

    Other programs write the entries, so that they may hold anything. The
    scheduler does not use a worker whose entry is invalid.

    Raises
    ------
    InvalidEntryError
        When the entry does not describe a worker that can be used.
    """
    worker = item.key.removeprefix(REGISTRATION_PREFIX)
    try:
        entry = decode_input(_DECODER.decode, item.value or b'')
        _check_entry(worker, entry)
    except InputError as error:
        raise InvalidEntryError(item.key, item.revision, str(error)) from error
    return Registration(
        worker,
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


def _check_entry(worker: str, entry: _WorkerEntry) -> None:
    if not ID_PATTERN.fullmatch(worker):
        raise InputError(
            f'{worker!r} is not a worker id; use 1 to 200 printable ASCII '
            'characters without spaces'
        )
    if entry.state not in LEAVING_BY_STATE:
        raise InputError(
            f'the state {entry.state!r} is unknown; use one of '
            f'{", ".join(LEAVING_BY_STATE)}'
        )
    address = parse_address(entry.address)
    if address is None or not address.has_valid_port:
        raise InputError(
            f'{entry.address!r} is not an IP number with a port from 1 to '
            '65535; register the address of the worker'
        )
