"""Registry of the faults that a soak test injects."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from signal import SIGHUP
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.registries import Registry
from tests.soak.proxies import NetworkFault
from tests.soak.proxies import NO_FAULT

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from tests.soak.cells import Cell
    from tests.soak.entry_hosts import EntryHost
    from tests.soak.proxies import Proxy
    from tests.soak.proxies import ProxyGroup

FaultInjector = Callable[['Cell', 'Random'], Awaitable[None]]

FAULTS: Registry[str, FaultInjector] = Registry('fault')


def pick_entry(cell: Cell, random: Random) -> EntryHost:
    """Return a random entry host whose process runs, if there is one."""
    running = [e for e in cell.entries.values() if not e.restarting]
    return random.choice(running or list(cell.entries.values()))


def pick_worker(cell: Cell, random: Random) -> str:
    """Return the id of a random worker."""
    return random.choice(sorted(cell.worker_proxies))


async def apply_network_fault(
    proxies: Sequence[Proxy | ProxyGroup],
    fault: NetworkFault,
    seconds: float,
) -> None:
    """Apply a fault to some proxies for some time."""
    for proxy in proxies:
        proxy.fault = fault
    await anyio.sleep(seconds)
    for proxy in proxies:
        proxy.fault = NO_FAULT


@FAULTS.register('kill-entry')
async def kill_entry(cell: Cell, random: Random) -> None:
    """Kill an entry host's process and start it again."""
    await cell.kill(pick_entry(cell, random))


@FAULTS.register('kill-all')
async def kill_all(cell: Cell, random: Random) -> None:
    """Kill the processes of all entry hosts at the same time."""
    async with anyio.create_task_group() as group:
        for entry in cell.entries.values():
            group.start_soon(cell.kill, entry)


@FAULTS.register('stop-entry')
async def stop_entry(cell: Cell, random: Random) -> None:
    """Stop an entry host's process with SIGTERM and start it again."""
    await cell.stop(pick_entry(cell, random))


@FAULTS.register('stop-in-turn')
async def stop_in_turn(cell: Cell, random: Random) -> None:
    """Stop all entry hosts one after the other; the stops may overlap."""
    async with anyio.create_task_group() as group:
        for entry in cell.entries.values():
            group.start_soon(cell.stop, entry)
            await anyio.sleep(random.uniform(0.3, 1.5))


@FAULTS.register('pause-entry')
async def pause_entry(cell: Cell, random: Random) -> None:
    """Suspend a process, for less or more time than its lease lasts."""
    entry = pick_entry(cell, random)
    await cell.pause(entry, random.choice((0.3, 1.5, 4.0)))


@FAULTS.register('hup-entry')
async def hup_entry(cell: Cell, random: Random) -> None:
    """Make an entry host reload its settings with SIGHUP."""
    entry = pick_entry(cell, random)
    # SIGHUP ends the process until its handler is installed; a log shows
    # that the program runs.
    if not entry.restarting and entry.process.read_log():
        entry.process.send_signal(SIGHUP)


@FAULTS.register('cut-store')
async def cut_store(cell: Cell, random: Random) -> None:
    """Cut one entry host off from the store.

    Bytes are lost in one direction or both, or connections are refused.
    """
    fault = random.choice(
        (
            NetworkFault(drop_to_target=True, drop_from_target=True),
            NetworkFault(drop_from_target=True),
            NetworkFault(drop_to_target=True),
            NetworkFault(refuse=True),
        )
    )
    proxy = pick_entry(cell, random).store_proxy
    if fault.refuse:
        await proxy.reset()
    await apply_network_fault([proxy], fault, random.uniform(0.5, 5))


@FAULTS.register('lose-store')
async def lose_store(cell: Cell, random: Random) -> None:
    """Suspend the process of the store for a while."""
    cell.store_process.freeze()
    await anyio.sleep(random.uniform(0.3, 5))
    cell.store_process.resume()


@FAULTS.register('slow-store')
async def slow_store(cell: Cell, random: Random) -> None:
    """Delay the calls to the store and its responses."""
    proxies = [entry.store_proxy for entry in cell.entries.values()]
    delay_s = random.choice((0.05, 0.12))
    await apply_network_fault(
        proxies, NetworkFault(delay_s=delay_s), random.uniform(1, 5)
    )


@FAULTS.register('silence-store')
async def silence_store(cell: Cell, random: Random) -> None:
    """Drop all bytes on open connections to the store; new ones work."""
    for entry in cell.entries.values():
        entry.store_proxy.silence()


@FAULTS.register('cut-worker')
async def cut_worker(cell: Cell, random: Random) -> None:
    """Drop the bytes to a worker, from it, or both; its tasks continue."""
    fault = random.choice(
        (
            NetworkFault(drop_to_target=True, drop_from_target=True),
            NetworkFault(drop_from_target=True),
            NetworkFault(drop_to_target=True),
        )
    )
    proxy = cell.worker_proxies[pick_worker(cell, random)]
    await apply_network_fault([proxy], fault, random.uniform(0.3, 8))


@FAULTS.register('silence-workers')
async def silence_workers(cell: Cell, random: Random) -> None:
    """Drop all bytes on open connections to workers; new ones work."""
    for proxy in cell.worker_proxies.values():
        proxy.silence()


@FAULTS.register('reset-workers')
async def reset_workers(cell: Cell, random: Random) -> None:
    """Close all open connections to the workers."""
    for proxy in cell.worker_proxies.values():
        await proxy.reset()


@FAULTS.register('restart-worker')
async def restart_worker(cell: Cell, random: Random) -> None:
    """Restart a worker under its id, with the loss of all its tasks."""
    await cell.workers.set_fault(pick_worker(cell, random), 'restart')


@FAULTS.register('fail-worker')
async def fail_worker(cell: Cell, random: Random) -> None:
    """Let most tasks that a worker starts fail."""
    worker = pick_worker(cell, random)
    await cell.workers.set_fault(worker, 'fail', share=0.9)
    await anyio.sleep(random.uniform(1, 5))
    await cell.workers.set_fault(worker, 'fail', share=0.02)


@FAULTS.register('hang-worker')
async def hang_worker(cell: Cell, random: Random) -> None:
    """Let the tasks that a worker starts make no progress for a minute."""
    worker = pick_worker(cell, random)
    await cell.workers.set_fault(worker, 'hang', on=True)
    await anyio.sleep(random.uniform(0.5, 3))
    await cell.workers.set_fault(worker, 'hang', on=False)


@FAULTS.register('drain-worker')
async def drain_worker(cell: Cell, random: Random) -> None:
    """Mark a worker as draining for a while."""
    worker = pick_worker(cell, random)
    await cell.workers.set_fault(worker, 'drain', on=True)
    await anyio.sleep(random.uniform(1, 5))
    await cell.workers.set_fault(worker, 'drain', on=False)


@FAULTS.register('reset-callers')
async def reset_callers(cell: Cell, random: Random) -> None:
    """Close all open connections of callers to one entry host."""
    await pick_entry(cell, random).caller_proxy.reset()


@FAULTS.register('change-configuration')
async def change_configuration(cell: Cell, random: Random) -> None:
    """Change the configuration several times at intervals of 0.1 s."""
    for _ in range(random.randint(1, 6)):
        await cell.change_configuration()
        await anyio.sleep(0.1)
