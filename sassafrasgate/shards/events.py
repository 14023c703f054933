"""What a shard is told; the input of its decisions."""

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
        Token that a `Reply` action names; 0 when no answer is expected.
    message : object
        A registered message of the inner protocol.
    wall_ms : int
        Wall clock in milliseconds, for retention only.
    """

    reply_to: int
    message: Any
    wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class RecordsDurable:
    """Records are in the journal."""

    records: tuple[Any, ...]
    wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class WithdrawalAnswered:
    """The journal has, or has not, dropped a job's unsent records.

    Parameters
    ----------
    records : int
        How many it has dropped.
    """

    job_id: str
    withdrawn: bool
    records: int = 0


@dataclass(frozen=True, slots=True)
class HostSynced:
    """A worker answered; ``received_at`` is the owner's clock in ms."""

    host: str
    reply: SyncReply
    received_at: int


@dataclass(frozen=True, slots=True)
class HostSilent:
    """A worker did not answer in time."""

    host: str


@dataclass(frozen=True, slots=True)
class HostListed:
    """The platform's host list marks these hosts as leaving."""

    leaving: frozenset[str]


@dataclass(frozen=True, slots=True)
class StartAnswered:
    """A worker answered a start."""

    host: str
    task: str
    reply: StartReply
    received_at: int


@dataclass(frozen=True, slots=True)
class StartUnanswered:
    """A start was sent and got no answer, so the task may run.

    Parameters
    ----------
    start_before_clock : int
        The worker refuses the start from this reading of its clock on.
    """

    host: str
    task: str
    start_before_clock: int


@dataclass(frozen=True, slots=True)
class StartNotSent:
    """A start was not sent, so the task certainly does not run."""

    host: str
    task: str
    reason: str


@dataclass(frozen=True, slots=True)
class OutputStored:
    """A large output is in the store."""

    task: str
    chunks: int
    size: int
    digest: str


@dataclass(frozen=True, slots=True)
class OutputFetched:
    """A large output of a quick request has arrived whole."""

    task: str
    data: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class SummaryReceived:
    """Free capacity of another shard."""

    summary: Any


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Another shard answered; ``answer`` is None when it did not.

    Parameters
    ----------
    message : object
        The message that was sent with `SendPeer`.
    """

    message: Any
    answer: Any


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed."""

    wall_ms: int = 0


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process is about to stop; nothing new is accepted."""
