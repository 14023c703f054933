"""Events that the decisions of a shard take as input.

The class names are label values of the metric for decision times, so
renaming a class changes that metric.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sassafrasgate.core.cells import Configuration
from sassafrasgate.core.tasks import StartReply
from sassafrasgate.core.tasks import SyncReply


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A message from a front end or another shard.

    Parameters
    ----------
    reply_to : int
        Token for the `Reply` action; 0 when no reply is expected.
    message : object
        A registered message of the inner protocol.
    wall_ms : int
        Wall clock in ms, used for retention only.
    expires_at : int
        Owner's clock, in ms, until which the sender waits for the reply; 0
        if that is not known.
    """

    reply_to: int
    message: Any
    wall_ms: int = 0
    expires_at: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration has been published."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class RecordsDurable:
    """Records have become durable in the journal."""

    records: tuple[Any, ...]
    wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class WithdrawalAnswered:
    """The journal has replied to a request to withdraw a job's records.

    Parameters
    ----------
    withdrawn : bool
        Whether the records were removed before they were sent to the store.
    records : int
        Number of removed records.
    """

    job_id: str
    withdrawn: bool
    records: int = 0


@dataclass(frozen=True, slots=True)
class HostSynced:
    """A worker replied to a sync call.

    Parameters
    ----------
    received_at : int
        The owner's clock in ms when the reply arrived.
    """

    host: str
    reply: SyncReply
    received_at: int


@dataclass(frozen=True, slots=True)
class HostSilent:
    """A worker did not respond to a sync call in time."""

    host: str


@dataclass(frozen=True, slots=True)
class HostListed:
    """The platform's host list has been read.

    Parameters
    ----------
    leaving : frozenset of str
        Hosts that the list marks as about to leave the platform.
    """

    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """A worker replied to a start call.

    Parameters
    ----------
    received_at : int
        The owner's clock in ms when the reply arrived.
    """

    host: str
    task: str
    reply: StartReply
    received_at: int


@dataclass(frozen=True, slots=True)
class StartUnanswered:
    """A start call got no reply, so the task may be running.

    Parameters
    ----------
    start_before_clock : int
        Reading of the worker's clock, in ms, from which it refuses the
        start.
    """

    host: str
    task: str
    start_before_clock: int


@dataclass(frozen=True, slots=True)
class StartNotSent:
    """A start was not sent, so the task is certainly not running."""

    host: str
    task: str
    reason: str


@dataclass(frozen=True, slots=True)
class OutputStored:
    """Copying a large output to the store has finished or failed.

    Parameters
    ----------
    chunks : int
        Number of chunks in the store; 0 when the copy failed.
    size : int
        Length of the output in bytes.
    """

    task: str
    chunks: int
    size: int
    digest: str


@dataclass(frozen=True, slots=True)
class OutputFetched:
    """The large output of a quick request has been fetched in full."""

    task: str
    data: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class SummaryReceived:
    """A summary of another shard's free capacity has arrived."""

    summary: Any


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Another shard replied to a message, or failed to.

    Parameters
    ----------
    message : object
        The message that was sent with `SendToShard`.
    reply : object or None
        The reply; None when none arrived in time.
    """

    message: Any
    reply: Any


@dataclass(frozen=True, slots=True)
class Ticked:
    """The periodic timer has fired.

    Parameters
    ----------
    fired_at : int
        Owner's clock, in ms, when it fired; 0 for the time of the decision.
        The event may wait in the inbox before reports of workers that arrived
        meanwhile, so only leases that had expired by then are known to have
        no later renewal.
    due_at : int
        Owner's clock, in ms, when it was to fire; 0 if that is not known. The
        event loop may have stood still since.
    """

    wall_ms: int = 0
    fired_at: int = 0
    due_at: int = 0


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is about to stop, so no new work may be accepted."""
