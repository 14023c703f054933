"""Registries of handlers for the dispatcher's events, requests and records."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Generator
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.registries import Registry
from sassafrasgate.shards.actions import AppendRecord

if TYPE_CHECKING:
    from sassafrasgate.dispatch.state import DispatchState

Actions = Generator[Any, None, None]
Handler = Callable[['DispatchState', Any], Actions]
RecordApplier = Callable[['DispatchState', Any], None]

EVENT_HANDLERS: Registry[type[Any], Handler] = Registry('dispatcher event')
REQUEST_HANDLERS: Registry[str, Handler] = Registry('dispatcher request')
DURABLE_HANDLERS: Registry[str, Handler] = Registry('durable workflow record')
RECORD_APPLIERS: Registry[str, RecordApplier] = Registry(
    'workflow record applier'
)


def write_record(state: DispatchState, record: Any) -> Actions:
    """Apply a record to the state and request that it is persisted.

    Replay after a takeover applies records with the same function, so a
    successor derives the same state from them.
    """
    RECORD_APPLIERS.find(record.kind)(state, record)
    yield AppendRecord(record)
