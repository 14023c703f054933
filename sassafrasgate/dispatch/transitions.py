"""State transitions of the dispatcher, with `decide` as the only entry point.

Importing this module registers the handlers of all events.
"""

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
    """Apply an event to the dispatcher's state and return the actions.

    Parameters
    ----------
    state : DispatchState
        State of the dispatcher, changed in place. Only the calling task may
        use it.
    event : object
        An event of `sassafrasgate.dispatch.events`, or one of those that its
        docstring names.
    now : int
        Owner's clock, in ms. It is monotonic and includes time in which the
        machine was suspended.
    wall_ms : int
        Unix time in milliseconds.

    Returns
    -------
    tuple
        Actions to carry out, in order. See `sassafrasgate.dispatch.actions`.
    """
    state.now = now
    state.wall_ms = wall_ms
    return tuple(EVENT_HANDLERS.find(type(event))(state, event))


@EVENT_HANDLERS.register(RecordsDurable)
def handle_durable_records(
    state: DispatchState, event: RecordsDurable
) -> Actions:
    """Carry out what had to wait until records were durable."""
    for record in event.records:
        if record.kind in DURABLE_HANDLERS:
            yield from DURABLE_HANDLERS.find(record.kind)(state, record)
