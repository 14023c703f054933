"""What the dispatcher wants done; the output of its decisions.

`AppendRecord`, `Reply` and `StepDown` are those of
`sassafrasgate.shards.actions`.
"""

from __future__ import annotations

from dataclasses import dataclass

from sassafrasgate.core.workers import Registration
from sassafrasgate.dispatch.state import RunKey
from sassafrasgate.dispatch.state import StepKey


@dataclass(frozen=True, slots=True)
class WatchWorker:
    """Keep in touch with a worker from now on, or under a new address.

    Parameters
    ----------
    restarts : int
        Where the count of the worker's restarts begins; higher than for
        any earlier action about the worker.
    """

    registration: Registration
    restarts: int = 0


@dataclass(frozen=True, slots=True)
class ForgetWorker:
    """End all calls to a worker."""

    worker: str


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run on its worker."""

    worker: str
    run: RunKey
    payload: str
    checkpoint: str
    ticket: str
    incarnation_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """End a run, or keep it from starting."""

    worker: str
    run: RunKey


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Let a run work at a share of its speed, from 0 to 100 percent."""

    worker: str
    run: RunKey
    percent: int


@dataclass(frozen=True, slots=True)
class AcknowledgeEnds:
    """Let a worker forget its ends up to a number.

    Parameters
    ----------
    incarnation_ms : int
        The incarnation whose list is meant.
    """

    worker: str
    incarnation_ms: int
    number: int


@dataclass(frozen=True, slots=True)
class ChangeHoldWait:
    """Let looks at all workers wait so long for news, in ms."""

    wait_ms: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advice service about a step.

    Parameters
    ----------
    entry_host : str
        Entry host that is to make the call.
    expected_ms : int
        How long the answer is expected to take, with the calls before it.
    """

    step: StepKey
    workers: tuple[str, ...]
    entry_host: str
    expected_ms: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line for the decision log.

    Parameters
    ----------
    kind : str
        What was decided, such as 'start', 'hold' or 'end'.
    job : str
        Job or task id; empty for decisions about workers.
    fields : tuple of (str, object)
        Inputs of the decision, their age, and the outcome.
    """

    kind: str
    job: str = ''
    fields: tuple[tuple[str, object], ...] = ()
