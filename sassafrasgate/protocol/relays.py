"""Messages with which one entry host calls the store for another."""

from __future__ import annotations

from typing import Any

from sassafrasgate.protocol.messages import register_message


@register_message('relay-call')
class RelayCall:
    """Asks an entry host to make one call to the store.

    Parameters
    ----------
    method : str
        Name of the store's method.
    arguments : tuple
        Its positional arguments: text, numbers and bytes.
    """

    method: str
    arguments: tuple[Any, ...]


@register_message('relay-answer')
class RelayAnswer:
    """What came of a relayed call.

    Parameters
    ----------
    failure : str
        Kind of the error that the call raised; empty for a result.
    reason : str
        Text of the error.
    result : object
        What the method returned, as plain data.
    """

    failure: str = ''
    reason: str = ''
    result: Any = None
