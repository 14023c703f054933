"""Events of the dispatcher: the input of its decisions.

`RequestReceived`, `RecordsDurable`, `WithdrawalAnswered`, `Ticked` and
`StopRequested` come from `sassafrasgate.shards.events`.

The class names are label values of the metric ``decision_seconds``.
"""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.routing import RoutingTable
from sassafrasgate.core.workers import Registration
from sassafrasgate.core.workflows import Advice
from sassafrasgate.core.workflows import RunReply
from sassafrasgate.core.workflows import StartRefusal
from sassafrasgate.core.workflows import WorkerReport
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import StepKey


@dataclass(frozen=True, slots=True)
class TableChanged:
    """The operators have published a newer routing table."""

    table: RoutingTable


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """Complete list of the registered workers at one moment."""

    registrations: tuple[Registration, ...]


@dataclass(frozen=True, slots=True)
class RegistrationsConfirmed:
    """The store has confirmed all changes of workers' entries so far.

    Parameters
    ----------
    confirmed_at : int
        Owner's clock, in ms, when the store's reply arrived.
    """

    confirmed_at: int


@dataclass(frozen=True, slots=True)
class WorkerRegistered:
    """A worker's entry in the store was created or changed."""

    registration: Registration


@dataclass(frozen=True, slots=True)
class WorkerUnregistered:
    """A worker's entry in the store was deleted."""

    worker: str


@dataclass(frozen=True, slots=True)
class WitnessesChanged:
    """Other entry hosts can take the shard over than before.

    Parameters
    ----------
    names : tuple of str
        Process names and incarnations of these hosts.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The entry hosts that can call the advice service have changed.

    Parameters
    ----------
    names : tuple of str
        Names of the entry hosts; the owner's own host is the first.
    """

    names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class WorkerReported:
    """A worker has replied to a hold call.

    Parameters
    ----------
    received_at : int
        Owner's clock, in ms, when the report arrived.
    leases_expire_at : int
        Owner's clock, in ms, from which every lease granted so far has
        expired.
    """

    worker: str
    report: WorkerReport
    received_at: int
    leases_expire_at: int


@dataclass(frozen=True, slots=True)
class WorkerSilent:
    """A worker did not respond to a hold call.

    Parameters
    ----------
    leases_expire_at : int
        Owner's clock, in ms, from which every lease granted so far has
        expired.
    reason : str
        Why the call failed, for the log.
    """

    worker: str
    leases_expire_at: int
    reason: str = ''


@dataclass(frozen=True, slots=True)
class EpochRefused:
    """A worker has refused a call because it obeys a higher epoch."""

    worker: str


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """A worker has replied to a start call.

    Parameters
    ----------
    incarnation_ms : int
        Incarnation that has replied; 0 if it is not known.
    """

    worker: str
    run: RunKey
    reply: RunReply
    incarnation_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunUnanswered:
    """A start call got no reply, so the worker may still carry it out.

    Parameters
    ----------
    last : bool
        Whether the call will not be repeated.
    """

    worker: str
    run: RunKey
    last: bool


@dataclass(frozen=True, slots=True)
class RunNotSent:
    """A start call was never sent, so it certainly has no effect."""

    worker: str
    run: RunKey
    reason: str


@dataclass(frozen=True, slots=True)
class PaceAnswered:
    """A worker has applied a new pace to a run."""

    worker: str
    run: RunKey
    percent: int


@dataclass(frozen=True, slots=True)
class StopAnswered:
    """A worker has replied to a stop call, so the run cannot start any more.

    Parameters
    ----------
    clock_ms : int
        Worker's clock, in ms, when it replied. A later report still lists
        the run if the run was present.
    """

    worker: str
    run: RunKey
    clock_ms: int


@dataclass(frozen=True, slots=True)
class StopFailed:
    """A stop call has had no effect, or its effect is unknown.

    Parameters
    ----------
    refusal : StartRefusal or None
        Why the worker refused the call; None if it did not reply.
    reason : str
        Why the call failed, for the log.
    """

    worker: str
    run: RunKey
    refusal: StartRefusal | None = None
    reason: str = ''


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """The advice service has replied to a call about a step.

    Parameters
    ----------
    entry_host : str
        Entry host that made the call.
    workers : tuple of str
        Workers that the call asked about.
    answered_at : int
        Owner's clock, in ms, when the reply arrived. The tickets became
        valid shortly before.
    """

    step: StepKey
    entry_host: str
    workers: tuple[str, ...]
    advice: Advice
    answered_at: int


@dataclass(frozen=True, slots=True)
class AdviceFailed:
    """A call to the advice service has failed."""

    step: StepKey
    entry_host: str
    workers: tuple[str, ...]
    reason: str


@dataclass(frozen=True, slots=True)
class LeaseConfirmed:
    """The store has confirmed this owner's lease.

    Parameters
    ----------
    expires_at : int
        Owner's clock, in ms, until which no other process can replace this
        owner because the lease has expired.
    """

    expires_at: int


@dataclass(frozen=True, slots=True)
class OwnersEnded:
    """The processes of all previous owners have ended."""


@dataclass(frozen=True, slots=True)
class JournalStalled:
    """Writes of the journal have begun to fail, or succeed again.

    Parameters
    ----------
    since : int
        Owner's clock, in ms, when writes began to fail; 0 if they succeed
        again.
    """

    since: int


@dataclass(frozen=True, slots=True)
class PassDue:
    """A scheduling pass is due.

    It is sent once no other event is waiting to be handled.
    """
