"""Registries of the dispatcher's handlers."""

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
    """Apply a record to the state and ask for its persistence.

    Replay after a takeover applies records with the same function, so that
    a successor's state cannot differ from what the record meant.
    """
    RECORD_APPLIERS.find(record.kind)(state, record)
    yield AppendRecord(record)
