"""Runs the command line without one guard of the dispatcher.

Runs of a silent worker move at once, though they may go on until their
lease has lapsed. The soak has to notice that a task then runs twice.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from sassafrasgate.commands.main import run_command_line
from sassafrasgate.dispatch.handlers import EVENT_HANDLERS
from sassafrasgate.dispatch.reports import lose_worker_runs
from sassafrasgate.dispatch.reports import WorkerSilent

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sassafrasgate.dispatch.actions import Action
    from sassafrasgate.dispatch.state import DispatchState


def _move_at_once(
    state: DispatchState, event: WorkerSilent
) -> Iterator[Action]:
    if event.worker in state.workers:
        yield from lose_worker_runs(state, event.worker, 'silent')


EVENT_HANDLERS._items[WorkerSilent] = _move_at_once  # type: ignore[assignment]

if __name__ == '__main__':
    sys.exit(run_command_line())
