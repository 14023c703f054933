"""What the dispatcher is told; the input of its decisions.

`RequestReceived`, `RecordsDurable`, `Ticked` and `StopRequested` are those of
`sassafrasgate.shards.events`.
"""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.workers import Registration
from sassafrasgate.core.workflows import Advice
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.dispatch.state import RunKey
from sassafrasgate.dispatch.state import StepKey


@dataclass(frozen=True, slots=True)
class TableChanged:
    """A newer routing table is in force."""

    table: RoutingTable


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """All workers that are registered at one moment."""

    registrations: tuple[Registration, ...]


@dataclass(frozen=True, slots=True)
class WorkerRegistered:
    """A worker's entry is new or has changed."""

    registration: Registration


@dataclass(frozen=True, slots=True)
class WorkerUnregistered:
    """A worker's entry is gone."""

    worker: str


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The entry hosts that can call the advice service, this one first."""

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker answered a hold call.

    Parameters
    ----------
    received_at : int
        Owner's clock when the answer arrived.
    leases_expire_at : int
        Owner's clock from which all that was granted so far has lapsed.
    """

    worker: str
    report: WorkerReport
    received_at: int
    leases_expire_at: int


@dataclass(frozen=True, slots=True)
class WorkerSilent:
    """A hold call got no answer.

    Parameters
    ----------
    leases_expire_at : int
        As in `WorkerReported`.
    reason : str
        What happened, for the log.
    """

    worker: str
    leases_expire_at: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class EpochRefused:
    """A worker has seen an owner with a higher epoch."""

    worker: str


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """A worker answered a start."""

    worker: str
    run: RunKey
    answer: RunReply


@dataclass(frozen=True, slots=True)
class RunUnanswered:
    """A copy of a start got no answer, so it may be carried out later.

    Parameters
    ----------
    last : bool
        Whether the worker's task makes no further try.
    """

    worker: str
    run: RunKey
    last: bool


@dataclass(frozen=True, slots=True)
class RunNotSent:
    """A start was not sent; it certainly has no effect."""

    worker: str
    run: RunKey
    reason: str


@dataclass(frozen=True, slots=True)
class PaceAnswered:
    """A worker has put a run's pace in force."""

    worker: str
    run: RunKey
    percent: int


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A worker answered a stop: the run will not start there any more.

    Parameters
    ----------
    clock_ms : int
        Worker's clock; a later report lists the run if it was there.
    """

    worker: str
    run: RunKey
    clock_ms: int


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """The advice service has answered about a step.

    Parameters
    ----------
    entry_host : str
        Entry host that made the call.
    workers : tuple of str
        Those that the call named.
    answered_at : int
        Owner's clock; the tickets last from shortly before.
    """

    step: StepKey
    entry_host: str
    workers: tuple[str, ...]
    advice: Advice
    answered_at: int


@dataclass(frozen=True, slots=True)
class AdviceFailed:
    """A call for advice brought none."""

    step: StepKey
    entry_host: str
    workers: tuple[str, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class OwnersEnded:
    """The processes of all earlier owners are known to have ended."""


@dataclass(frozen=True, slots=True)
class JournalStalled:
    """Whether the journal has been waiting for the store.

    Parameters
    ----------
    since : int
        Owner's clock when writes began to fail; 0 while they succeed.
    """

    since: int


@dataclass(frozen=True, slots=True)
class PassDue:
    """All events at hand are handled; place what can be placed."""
