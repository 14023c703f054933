"""Start of many tasks without holding up the others of a process."""

from __future__ import annotations

from math import inf
from typing import Any
from typing import TYPE_CHECKING

from sassafrasgate.core.streams import receive_batches
from sassafrasgate.daemons.inboxes import make_task_inbox

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from anyio.abc import TaskGroup

# To open the client of a worker and to send its first call takes about a
# millisecond. A new owner has hundreds of workers, and its lease is renewed by
# the same event loop.
TASKS_PER_ITERATION = 8


class TaskStarter:
    """Starts a few tasks in each iteration of the event loop.

    Parameters
    ----------
    group : TaskGroup
        Task group in which the tasks run.
    """

    def __init__(self, group: TaskGroup) -> None:
        self._group = group
        self._sender, self._inbox = make_task_inbox(inf)

    def start_soon(self, function: Callable[[], Awaitable[Any]]) -> None:
        """Start a task as soon as those before it have been started."""
        self._sender.send_nowait(function)

    async def run(self) -> None:
        """Start tasks until cancelled."""
        async for batch in receive_batches(self._inbox, TASKS_PER_ITERATION):
            for function in batch:
                self._group.start_soon(function)
