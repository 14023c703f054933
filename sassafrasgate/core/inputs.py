"""Decoding of data that other programs have written.

Stored entries, responses, request bodies and messages can hold anything. All
decoders go through `decode_input`, so that a value that cannot be used raises
one type of error, whatever the decoder makes of it. The annotated types below
limit numbers and texts to what later arithmetic and the encodings of the
journal and of the messages can hold.
"""

from __future__ import annotations

from typing import Annotated
from typing import TYPE_CHECKING
from typing import TypeVar

from msgspec import Meta

from sassafrasgate.core.errors import InputError

if TYPE_CHECKING:
    from collections.abc import Callable

# JSON numbers are exact up to this integer, and the sum of two of them fits
# the 64 bits of MessagePack.
MAX_INTEGER = 2**53 - 1
MAX_NAME_LENGTH = 256
MAX_REASON_LENGTH = 200

Natural = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Amount = Annotated[float, Meta(ge=0, le=MAX_INTEGER)]
ShortText = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]

Decoded = TypeVar('Decoded')

# msgspec raises its own errors, which are ValueErrors, and RecursionError for
# deeply nested data, also in fields that are not decoded.
DECODE_ERRORS = (ValueError, RecursionError, OverflowError, TypeError)


def decode_input(
    decode: Callable[[bytes], Decoded], content: bytes
) -> Decoded:
    """Decode bytes that another program has written.

    Parameters
    ----------
    decode : callable
        Decodes the bytes, such as the method of a msgspec decoder.

    Raises
    ------
    InputError
        When the bytes cannot be decoded. The message does not contain them.
    """
    try:
        return decode(content)
    except DECODE_ERRORS as error:
        raise InputError(
            f'cannot decode {len(content)} bytes: '
            f'{str(error)[:MAX_REASON_LENGTH]}; correct the program that '
            'wrote them'
        ) from error
