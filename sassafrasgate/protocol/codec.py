"""MessagePack encoding of envelopes for the internal protocol."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from msgspec import convert
from msgspec.msgpack import Decoder
from msgspec.msgpack import Encoder

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.errors import UnknownNameError
from sassafrasgate.core.inputs import DECODE_ERRORS
from sassafrasgate.protocol.messages import MESSAGES

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message with the fields that match replies to requests.

    Parameters
    ----------
    request : int
        Id of the request; 0 for a message that expects no reply.
    answer : bool
        Whether this is the reply to request ``request``.
    attempt : int
        Number of the attempt to send the request, from 1.
    timeout_ms : int
        How long the sender waits for the reply, in milliseconds; 0 for
        messages without a reply.
    body : object
        A registered message.
    """

    request: int
    answer: bool
    attempt: int
    timeout_ms: int
    body: Any


@dataclass(frozen=True, slots=True)
class _Frame:
    protocol: int
    kind: str
    request: int
    answer: bool
    attempt: int
    timeout_ms: int
    body: Any


_ENCODER = Encoder()
_DECODER = Decoder(_Frame)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the frame for an envelope."""
    return _ENCODER.encode(
        _Frame(
            PROTOCOL_VERSION,
            envelope.body.kind,
            envelope.request,
            envelope.answer,
            envelope.attempt,
            envelope.timeout_ms,
            envelope.body,
        )
    )


def decode_envelope(frame: bytes) -> Envelope:
    """Return the envelope that a frame encodes.

    Raises
    ------
    MessageError
        When the frame is not valid MessagePack, has another protocol
        version, or its body does not match the message class of its kind.
    """
    try:
        raw = _DECODER.decode(frame)
        if raw.protocol != PROTOCOL_VERSION:
            raise MessageError(
                f'protocol version {raw.protocol!r} is not supported; run '
                f'version {PROTOCOL_VERSION} on every entry host'
            )
        body = convert(raw.body, MESSAGES.find(raw.kind))
    except (*DECODE_ERRORS, UnknownNameError) as error:
        raise MessageError(
            f'cannot decode a frame of {len(frame)} bytes: {error}; check '
            'that all processes run the same release'
        ) from error
    return Envelope(raw.request, raw.answer, raw.attempt, raw.timeout_ms, body)
