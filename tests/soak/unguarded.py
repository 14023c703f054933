"""Runs the command line without a safety check of the dispatcher.

The runs of a worker that does not respond are treated as lost at once,
although they may continue until their leases expire. Tasks then run twice,
which the soak test must detect.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from sassafrasgate.commands.main import run_command_line
from sassafrasgate.dispatch.events import WorkerSilent
from sassafrasgate.dispatch.evidence import Evidence
from sassafrasgate.dispatch.evidence import EvidenceKind
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.reports import lose_worker_runs

if TYPE_CHECKING:
    from sassafrasgate.dispatch.handlers import Actions
    from sassafrasgate.dispatch.state import DispatchState


def _lose_runs_at_once(state: DispatchState, event: WorkerSilent) -> Actions:
    if event.worker in state.workers:
        evidence = Evidence(EvidenceKind.REPORT, 'silent', state.now)
        yield from lose_worker_runs(state, event.worker, evidence)


EVENT_HANDLERS._items[WorkerSilent] = _lose_runs_at_once

if __name__ == '__main__':
    sys.exit(run_command_line())
