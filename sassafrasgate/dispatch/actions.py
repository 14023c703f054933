"""Actions of the dispatcher: the output of its decisions.

`AppendRecord`, `WithdrawRecords`, `Reply` and `StepDown` come from
`sassafrasgate.shards.actions`.
"""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.workers import Registration
from sassafrasgate.dispatch.identities import RunKey
from sassafrasgate.dispatch.identities import StepKey


@dataclass(frozen=True, slots=True)
class WatchWorker:
    """Begin to poll a worker, or poll it at a new address.

    Parameters
    ----------
    registration : Registration
        Entry of the worker in the store.
    restarts : int
        Initial value for the count of the worker's restarts; higher than in
        any previous action for this worker.
    """

    registration: Registration
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class ForgetWorker:
    """Stop all calls to a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class AllowStarts:
    """Allow or forbid start calls that are not sent yet, to one worker."""

    worker: str
    allowed: bool


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on a worker.

    Parameters
    ----------
    payload : str
        Description of the job, as submitted.
    checkpoint : str
        Checkpoint to resume from; empty for none.
    ticket : str
        Token from the advice service; empty if the queue needs none.
    incarnation_ms : int
        Incarnation of the worker for which the run is planned.
    """

    worker: str
    run: RunKey
    payload: str
    checkpoint: str
    ticket: str
    incarnation_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run, or prevent it from starting."""

    worker: str
    run: RunKey


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Set the pace of a run, from 0 to 100 percent of its full speed."""

    worker: str
    run: RunKey
    percent: int


@dataclass(frozen=True, slots=True)
class AcknowledgeEnds:
    """Allow a worker to drop ended runs from its list.

    Parameters
    ----------
    incarnation_ms : int
        Incarnation of the worker that the list belongs to.
    number : int
        Number of the last entry that may be dropped.
    """

    worker: str
    incarnation_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class ChangeHoldWait:
    """Change how long workers may hold a hold call open, in ms."""

    wait_ms: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advice service about a step.

    Parameters
    ----------
    workers : tuple of str
        Workers to ask about.
    entry_host : str
        Entry host that makes the call.
    expected_ms : int
        Expected time until the response, including queued calls before it.
    """

    step: StepKey
    workers: tuple[str, ...]
    entry_host: str
    expected_ms: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write one line of the decision log.

    Parameters
    ----------
    kind : str
        Kind of the decision, such as 'start', 'stop' or 'end'.
    job : str
        Id of the job or task; empty for decisions about workers.
    fields : tuple of (str, object)
        Names and values of the decision's inputs and outcome.
    """

    kind: str
    job: str = ''
    fields: tuple[tuple[str, object], ...] = ()
