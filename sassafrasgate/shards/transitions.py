"""The state transition of a shard, its only entry point for events."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.errors import Refusal
from sassafrasgate.core.errors import RefusalKind
from sassafrasgate.shards import cancellations as _cancellations  # noqa: F401
from sassafrasgate.shards import timers as _timers  # noqa: F401
from sassafrasgate.shards.events import RequestReceived
from sassafrasgate.shards.handlers import EVENT_HANDLERS
from sassafrasgate.shards.handlers import reply_refusal
from sassafrasgate.shards.handlers import REQUEST_HANDLERS
from sassafrasgate.shards.scheduling_passes import place_queued_jobs

if TYPE_CHECKING:
    from sassafrasgate.shards.handlers import Actions
    from sassafrasgate.shards.state import ShardState


def decide(state: ShardState, event: Any, now: int) -> tuple[Any, ...]:
    """Apply an event to a shard's state and return the resulting actions.

    Parameters
    ----------
    state : ShardState
        Changed in place; only the calling task may use it.
    event : object
        One of `sassafrasgate.shards.events`.
    now : int
        The owner's clock in ms, which counts suspended time.

    Returns
    -------
    tuple
        Actions of `sassafrasgate.shards.actions`, in the order in which
        they are to be carried out.
    """
    state.needs_pass = False
    state.now = now
    actions = list(EVENT_HANDLERS.find(type(event))(state, event, now))
    if state.needs_pass and len(state.queue):
        state.needs_pass = False
        actions.extend(place_queued_jobs(state, now))
    return tuple(actions)


@EVENT_HANDLERS.register(RequestReceived)
def dispatch_request(
    state: ShardState, event: RequestReceived, now: int
) -> Actions:
    """Pass a request to the handler of its kind."""
    kind = event.message.kind
    if kind not in REQUEST_HANDLERS:
        yield reply_refusal(
            event.reply_to,
            Refusal(
                RefusalKind.INVALID,
                f'a shard does not handle messages of kind {kind!r}',
                'run the same release on every entry host',
            ),
        )
        return
    yield from REQUEST_HANDLERS.find(kind)(state, event, now)
