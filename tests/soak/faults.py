"""The faults that a soak injects, in a registry."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from signal import SIGHUP
from typing import TYPE_CHECKING

import anyio

from sassafrasgate.core.registries import Registry
from tests.soak.proxies import CALM
from tests.soak.proxies import Trouble

if TYPE_CHECKING:
    from random import Random

    from tests.soak.cells import Cell
    from tests.soak.cells import Entry
    from tests.soak.proxies import Proxy

Fault = Callable[['Cell', 'Random'], Awaitable[None]]

FAULTS: Registry[str, Fault] = Registry('fault')


def _pick_entry(cell: Cell, random: Random) -> Entry:
    free = [e for e in cell.entries.values() if not e.ending]
    return random.choice(free or list(cell.entries.values()))


def _pick_worker(cell: Cell, random: Random) -> str:
    return random.choice(sorted(cell.worker_proxies))


async def _trouble(
    proxies: list[Proxy], trouble: Trouble, seconds: float
) -> None:
    for proxy in proxies:
        proxy.trouble = trouble
    await anyio.sleep(seconds)
    for proxy in proxies:
        proxy.trouble = CALM


@FAULTS.register('kill-entry')
async def kill_entry(cell: Cell, random: Random) -> None:
    """A process is killed and started again."""
    await cell.kill(_pick_entry(cell, random))


@FAULTS.register('kill-all')
async def kill_all(cell: Cell, random: Random) -> None:
    """All processes are killed at the same moment."""
    async with anyio.create_task_group() as group:
        for entry in cell.entries.values():
            group.start_soon(cell.kill, entry)


@FAULTS.register('stop-entry')
async def stop_entry(cell: Cell, random: Random) -> None:
    """A process is asked to stop and started again."""
    await cell.stop(_pick_entry(cell, random))


@FAULTS.register('stop-in-turn')
async def stop_in_turn(cell: Cell, random: Random) -> None:
    """Processes are stopped one after the other, overlapping."""
    async with anyio.create_task_group() as group:
        for entry in cell.entries.values():
            group.start_soon(cell.stop, entry)
            await anyio.sleep(random.uniform(0.3, 1.5))


@FAULTS.register('pause-entry')
async def pause_entry(cell: Cell, random: Random) -> None:
    """A process stands still for a while, past its lease or not."""
    entry = _pick_entry(cell, random)
    process = entry.process
    entry.freezes += 1
    process.freeze()
    await anyio.sleep(random.choice((0.3, 1.5, 4.0)))
    process.resume()
    entry.freezes -= 1


@FAULTS.register('hup-entry')
async def hup_entry(cell: Cell, random: Random) -> None:
    """A process is told to read its settings again."""
    entry = _pick_entry(cell, random)
    # Until the interpreter runs our code, nothing can keep the signal from
    # ending the process.
    if not entry.ending and entry.process.read_log():
        entry.process.send_signal(SIGHUP)


@FAULTS.register('cut-store')
async def cut_store(cell: Cell, random: Random) -> None:
    """One host loses the store, in one direction or both, or is refused."""
    trouble = random.choice(
        (
            Trouble(cut_up=True, cut_down=True),
            Trouble(cut_down=True),
            Trouble(cut_up=True),
            Trouble(refuse=True),
        )
    )
    proxy = _pick_entry(cell, random).store_proxy
    if trouble.refuse:
        await proxy.reset()
    await _trouble([proxy], trouble, random.uniform(0.5, 5))


@FAULTS.register('lose-store')
async def lose_store(cell: Cell, random: Random) -> None:
    """The store does not answer anybody for a while."""
    cell.store_process.freeze()
    await anyio.sleep(random.uniform(0.3, 5))
    cell.store_process.resume()


@FAULTS.register('slow-store')
async def slow_store(cell: Cell, random: Random) -> None:
    """The store's answers take longer."""
    proxies = [entry.store_proxy for entry in cell.entries.values()]
    delay_s = random.choice((0.05, 0.12))
    await _trouble(proxies, Trouble(delay_s=delay_s), random.uniform(1, 5))


@FAULTS.register('silence-store')
async def silence_store(cell: Cell, random: Random) -> None:
    """Open connections to the store go silent; new ones work."""
    for entry in cell.entries.values():
        entry.store_proxy.silence()


@FAULTS.register('cut-worker')
async def cut_worker(cell: Cell, random: Random) -> None:
    """A worker is cut off, in one direction or both, and runs on."""
    trouble = random.choice(
        (
            Trouble(cut_up=True, cut_down=True),
            Trouble(cut_down=True),
            Trouble(cut_up=True),
        )
    )
    proxy = cell.worker_proxies[_pick_worker(cell, random)]
    await _trouble([proxy], trouble, random.uniform(0.3, 8))


@FAULTS.register('silence-workers')
async def silence_workers(cell: Cell, random: Random) -> None:
    """Open connections to the workers go silent; new ones work."""
    for proxy in cell.worker_proxies.values():
        proxy.silence()


@FAULTS.register('reset-workers')
async def reset_workers(cell: Cell, random: Random) -> None:
    """Connections to the workers are reset."""
    for proxy in cell.worker_proxies.values():
        await proxy.reset()


@FAULTS.register('restart-worker')
async def restart_worker(cell: Cell, random: Random) -> None:
    """A worker crashes and starts again under its id."""
    await cell.change_worker(_pick_worker(cell, random), 'restart')


@FAULTS.register('fail-worker')
async def fail_worker(cell: Cell, random: Random) -> None:
    """A worker fails most of what it starts."""
    worker = _pick_worker(cell, random)
    await cell.change_worker(worker, 'fail', share=0.9)
    await anyio.sleep(random.uniform(1, 5))
    await cell.change_worker(worker, 'fail', share=0.02)


@FAULTS.register('hang-worker')
async def hang_worker(cell: Cell, random: Random) -> None:
    """What a worker starts stands still."""
    worker = _pick_worker(cell, random)
    await cell.change_worker(worker, 'hang', on=True)
    await anyio.sleep(random.uniform(0.5, 3))
    await cell.change_worker(worker, 'hang', on=False)


@FAULTS.register('drain-worker')
async def drain_worker(cell: Cell, random: Random) -> None:
    """A worker takes no new work for a while."""
    worker = _pick_worker(cell, random)
    await cell.change_worker(worker, 'drain', on=True)
    await anyio.sleep(random.uniform(1, 5))
    await cell.change_worker(worker, 'drain', on=False)


@FAULTS.register('reset-callers')
async def reset_callers(cell: Cell, random: Random) -> None:
    """Connections of callers are reset."""
    await _pick_entry(cell, random).caller_proxy.reset()


@FAULTS.register('change-configuration')
async def change_configuration(cell: Cell, random: Random) -> None:
    """The configuration changes several times in quick succession."""
    for _ in range(random.randint(1, 6)):
        await cell.change_configuration()
        await anyio.sleep(0.1)
