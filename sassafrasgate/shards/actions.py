"""What a shard wants done; the output of its decisions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from sassafrasgate.core.resources import Resources


@dataclass(frozen=True, slots=True)
class Persist:
    """Append a record; its effects wait for `RecordsDurable`."""

    record: Any


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Drop a job's records if they have not been sent to the store."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request."""

    reply_to: int
    message: Any


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task on its host.

    Parameters
    ----------
    wait_ms : int
        How long the worker may hold the answer for the task's end.
    lease_ms : int
        Length of the first lease.
    """

    host: str
    task: str
    incarnation: str
    demand: Resources
    payload: bytes
    wait_ms: int = 0
    lease_ms: int = 0


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task; its end comes with a later sync."""

    host: str
    task: str


@dataclass(frozen=True, slots=True)
class LimitTask:
    """Throttle or checkpoint a task that outgrows its reservation.

    Parameters
    ----------
    measure : str
        'throttle' or 'checkpoint'.
    millicores : int
        The limit that a throttle sets.
    """

    host: str
    task: str
    measure: str
    millicores: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseTask:
    """Let the worker forget an ended task, whose end is durable."""

    host: str
    task: str


@dataclass(frozen=True, slots=True)
class StoreOutput:
    """Copy a large output from the worker into the store."""

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
class SendPeer:
    """Send a message to the owner of another shard."""

    shard: str
    message: Any


@dataclass(frozen=True, slots=True)
class PublishSummary:
    """Let other shards know this shard's free capacity."""

    summary: Any


@dataclass(frozen=True, slots=True)
class LogDecision:
    """One line for the decision log.

    Parameters
    ----------
    kind : str
        What was decided, such as 'place', 'queue' or 'refuse'.
    """

    kind: str
    job: str
    attempt: int = 0
    host: str = ''
    reason: str = ''
    candidates: int = 0


@dataclass(frozen=True, slots=True)
class GiveUpShard:
    """Stop at once: another owner has taken over."""

    reason: str
