"""Tests of the start of many tasks at once."""

import anyio
import pytest

from sassafrasgate.daemons.starters import TASKS_PER_ITERATION
from sassafrasgate.daemons.starters import TaskStarter

pytestmark = pytest.mark.anyio

TASKS = 270
TIMEOUT_S = 5.0


@pytest.fixture
def anyio_backend():
    return 'asyncio'


async def test_new_owner_opens_few_workers_in_one_iteration_of_the_loop():
    # Guards against an owner that loses its lease while it opens the clients
    # of all workers at once.
    iteration = 0
    started = []

    async def count_iterations():
        nonlocal iteration
        while True:
            iteration += 1
            await anyio.sleep(0)

    async def open_worker():
        started.append(iteration)

    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as group:
            starter = TaskStarter(group)
            group.start_soon(count_iterations)
            for _ in range(TASKS):
                starter.start_soon(open_worker)
            group.start_soon(starter.run)
            while len(started) < TASKS:
                await anyio.sleep(0)
            group.cancel_scope.cancel()

    most = max(started.count(number) for number in set(started))
    assert most <= TASKS_PER_ITERATION
