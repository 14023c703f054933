"""Decoder of the operators' limits for callers."""

from __future__ import annotations

from msgspec import Raw
from msgspec.json import Decoder

from sassafrasgate.core.caller_limits import CallerLimits
from sassafrasgate.core.caller_limits import DEFAULT_LIMITS
from sassafrasgate.core.caller_limits import MAX_BODY_BYTES
from sassafrasgate.core.errors import InputError
from sassafrasgate.core.inputs import decode_input
from sassafrasgate.core.inputs import MAX_INTEGER

_DECODER = Decoder(dict[str, Raw])
_NUMBER_DECODER = Decoder(int)


def read_caller_limits(value: Raw) -> CallerLimits:
    """Return the limits; a lacking or odd value has its default.

    The maximum size of a body can only be lowered, since a larger job would
    not fit into a record.
    """
    try:
        fields = decode_input(_DECODER.decode, bytes(value))
    except InputError:
        return DEFAULT_LIMITS
    defaults = DEFAULT_LIMITS
    return CallerLimits(
        _read_number(fields, 'maxHeaderBytes', defaults.max_header_bytes),
        min(
            MAX_BODY_BYTES,
            _read_number(fields, 'maxBodyBytes', defaults.max_body_bytes),
        ),
        _read_number(fields, 'headerTimeoutMs', defaults.header_timeout_ms),
        _read_number(fields, 'idleTimeoutMs', defaults.idle_timeout_ms),
    )


def _read_number(fields: dict[str, Raw], name: str, default: int) -> int:
    if name not in fields:
        return default
    try:
        number = decode_input(_NUMBER_DECODER.decode, bytes(fields[name]))
    except InputError:
        return default
    return number if 0 < number <= MAX_INTEGER else default
