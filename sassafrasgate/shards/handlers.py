"""Registries of the handlers of events, requests and journal records."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.protocol.messages import Refused
from sassafrasgate.shards.actions import AppendRecord
from sassafrasgate.shards.actions import Reply

if TYPE_CHECKING:
    from sassafrasgate.core.errors import Refusal
    from sassafrasgate.shards.state import ShardState

Actions = Generator[Any, None, None]
Handler = Callable[['ShardState', Any, int], Actions]
RecordApplier = Callable[['ShardState', Any], None]

EVENT_HANDLERS: Registry[type[Any], Handler] = Registry('shard event')
REQUEST_HANDLERS: Registry[str, Handler] = Registry('shard request')
DURABLE_HANDLERS: Registry[str, Handler] = Registry('durable record')
RECORD_APPLIERS: Registry[str, RecordApplier] = Registry(
    'journal record applier'
)


def write_record(state: ShardState, record: Any) -> Actions:
    """Apply a record to the state and request that it is journaled.

    Replay after a takeover applies records with the same function, so that
    the successor arrives at the same state.
    """
    RECORD_APPLIERS.find(record.kind)(state, record)
    yield AppendRecord(record)


def reply_refusal(reply_to: int, refusal: Refusal) -> Reply:
    """Return the action that replies to a request with a refusal."""
    return Reply(
        reply_to,
        Refused(
            refusal.kind,
            refusal.reason,
            refusal.remedy,
            refusal.retry_after_ms,
        ),
    )
