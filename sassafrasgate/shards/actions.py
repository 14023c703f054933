"""Actions that the decisions of a shard return to be carried out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to the journal.

    Its effects wait until `RecordsDurable` confirms that it is durable.
    """

    record: Any


@dataclass(frozen=True, slots=True)
class WithdrawRecords:
    """Remove a job's journal records unless they were sent to the store."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Send the reply to a request.

    Parameters
    ----------
    reply_to : int
        Token of the request, from `RequestReceived`.
    """

    reply_to: int
    message: Any


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task on its host.

    Parameters
    ----------
    wait_ms : int
        How long the worker may delay its reply until the task ends, in ms.
    lease_ms : int
        Upper bound on a lease that is not renewed, in ms; 0 for a renewable
        lease of the standard duration.
    """

    host: str
    task: str
    incarnation: str
    demand: Resources
    payload: bytes
    wait_ms: int = 0
    lease_ms: int = 0


@dataclass(frozen=True, slots=True)
class AllowStarts:
    """Allow or forbid start calls that are not sent yet, to one host."""

    host: str
    allowed: bool


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task; a later sync reports its end."""

    host: str
    task: str


@dataclass(frozen=True, slots=True)
class LimitTask:
    """Throttle or checkpoint a task.

    Parameters
    ----------
    measure : str
        'throttle' or 'checkpoint'.
    millicores : int
        CPU limit that a throttle sets.
    """

    host: str
    task: str
    measure: str
    millicores: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseTask:
    """Let the worker discard an ended task whose end is durable."""

    host: str
    task: str


@dataclass(frozen=True, slots=True)
class StoreOutput:
    """Copy a large output from the worker to the store."""

    host: str
    task: str
    job_id: str
    size: int
    digest: str


@dataclass(frozen=True, slots=True)
class FetchOutput:
    """Fetch a large output of a quick request from the worker."""

    host: str
    task: str
    size: int
    digest: str


@dataclass(frozen=True, slots=True)
class SendToShard:
    """Send a message to the owner of another shard."""

    shard: str
    message: Any


@dataclass(frozen=True, slots=True)
class PublishSummary:
    """Publish a summary of this shard's free capacity to other shards."""

    summary: Any


@dataclass(frozen=True, slots=True)
class LogDecision:
    """Write one entry to the decision log.

    Parameters
    ----------
    kind : str
        Kind of decision, such as 'place', 'queue' or 'refuse'.
    candidates : int
        Number of hosts that were considered.
    """

    kind: str
    job: str
    attempt: int = 0
    host: str = ''
    reason: str = ''
    candidates: int = 0


@dataclass(frozen=True, slots=True)
class StepDown:
    """Stop owning the shard at once: a newer owner has taken over."""

    reason: str
