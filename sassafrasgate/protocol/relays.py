"""Messages with which an entry host calls the store through another."""

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
        Positional arguments of the method: text, numbers and bytes.
    """

    method: str
    arguments: tuple[Any, ...]


@register_message('relay-answer')
class RelayReply:
    """Result or error of a relayed call.

    Parameters
    ----------
    failure : str
        Kind of the error that the call raised; empty if it succeeded.
    reason : str
        Message of the error.
    result : object
        Return value of the method, as plain data.
    """

    failure: str = ''
    reason: str = ''
    result: Any = None
