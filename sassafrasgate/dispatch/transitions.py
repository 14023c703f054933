"""The one entry point of the dispatcher's decisions."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.dispatch import recovery as _recovery  # noqa: F401
from sassafrasgate.dispatch import requests as _requests  # noqa: F401
from sassafrasgate.dispatch import scheduling_passes as _scheduling_passes  # noqa: F401
from sassafrasgate.dispatch import start_replies as _start_replies  # noqa: F401
from sassafrasgate.dispatch import timers as _timers  # noqa: F401
from sassafrasgate.dispatch.handlers import DURABLE_HANDLERS
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.shards.events import RecordsDurable

if TYPE_CHECKING:
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState


def decide(
    state: DispatchState, event: Any, now: int, wall_ms: int
) -> tuple[Any, ...]:
    """Apply an event to the dispatcher's state and return what to do.

    Parameters
    ----------
    state : DispatchState
        Changed in place; it belongs to the calling task alone.
    event : object
        One of `sassafrasgate.dispatch.events`, or of those that it names.
    now : int
        The owner's suspend-counting clock in milliseconds.
    wall_ms : int
        Unix time in milliseconds.

    Returns
    -------
    tuple
        Actions of `sassafrasgate.dispatch.actions`, in order.
    """
    state.now = now
    state.wall_ms = wall_ms
    return tuple(EVENT_HANDLERS.find(type(event))(state, event))


@EVENT_HANDLERS.register(RecordsDurable)
def handle_durable_records(
    state: DispatchState, event: RecordsDurable
) -> Actions:
    """Let the effects of durable records follow."""
    for record in event.records:
        if record.kind in DURABLE_HANDLERS:
            yield from DURABLE_HANDLERS.find(record.kind)(state, record)
