"""Faults between single pairs of processes, and around the current owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from tests.soak.faults import apply_network_fault
from tests.soak.faults import FAULTS
from tests.soak.faults import pick_entry
from tests.soak.faults import pick_worker
from tests.soak.proxies import NetworkFault

if TYPE_CHECKING:
    from random import Random

    from tests.soak.cells import Cell
    from tests.soak.entry_hosts import EntryHost
    from tests.soak.proxies import Proxy

CUTS = (
    NetworkFault(drop_to_target=True, drop_from_target=True),
    NetworkFault(drop_from_target=True),
    NetworkFault(drop_to_target=True),
    NetworkFault(hold_to_target=True, hold_from_target=True),
    NetworkFault(hold_from_target=True),
    NetworkFault(hold_to_target=True),
    NetworkFault(refuse=True),
)
CUT_S = (0.5, 12.0)
TAKEOVER_TIMEOUT_S = 8.0
STOP_AFTER_TAKEOVER_S = (0.2, 3.0)
OWNER_POLL_INTERVAL_S = 0.05


async def _cut(proxies: list[Proxy], random: Random) -> None:
    """Apply one kind of cut to some proxies for 0.5 to 12 s."""
    fault = random.choice(CUTS)
    seconds = random.uniform(*CUT_S)
    if fault.refuse:
        for proxy in proxies:
            await proxy.reset()
    await apply_network_fault(proxies, fault, seconds)


async def _pick_owner(cell: Cell, random: Random) -> EntryHost:
    owner = await cell.find_owner()
    return pick_entry(cell, random) if owner is None else owner[0]


@FAULTS.register('cut-worker-pairs')
async def cut_worker_pairs(cell: Cell, random: Random) -> None:
    """Cut some pairs of an entry host and a worker."""
    pairs = sorted(cell.topology.to_workers)
    chosen = random.sample(pairs, random.randint(1, 4))
    await _cut([cell.topology.to_workers[pair] for pair in chosen], random)


@FAULTS.register('cut-hosts')
async def cut_hosts(cell: Cell, random: Random) -> None:
    """Cut the link from one entry host to another, or those in both ways."""
    first, second = random.choice(sorted(cell.topology.links))
    proxies = [cell.topology.links[first, second]]
    if random.random() < 0.5:
        proxies.append(cell.topology.links[second, first])
    await _cut(proxies, random)


@FAULTS.register('cut-store-long')
async def cut_store_long(cell: Cell, random: Random) -> None:
    """Cut one entry host off from the store for up to 12 s."""
    await _cut([pick_entry(cell, random).store_proxy], random)


@FAULTS.register('isolate-owner')
async def isolate_owner(cell: Cell, random: Random) -> None:
    """Cut the owner off from the other hosts and the store.

    It still reaches its workers. Its successor may not reach some of them.
    """
    owner = await _pick_owner(cell, random)
    async with anyio.create_task_group() as group:
        group.start_soon(_cut, [owner.store_proxy], random)
        if random.random() < 0.8:
            links = cell.topology.list_links_of(owner.name)
            group.start_soon(_cut, links, random)
        lost = random.sample(sorted(cell.worker_proxies), random.randint(0, 3))
        proxies = [
            proxy
            for (entry, worker), proxy in cell.topology.to_workers.items()
            if worker in lost and entry != owner.name
        ]
        group.start_soon(_cut, proxies, random)


@FAULTS.register('isolate-worker-from-owner')
async def isolate_worker_from_owner(cell: Cell, random: Random) -> None:
    """Cut the owner off from some workers that other hosts reach."""
    owner = await _pick_owner(cell, random)
    workers = random.sample(sorted(cell.worker_proxies), random.randint(1, 3))
    await _cut(
        [cell.topology.to_workers[owner.name, name] for name in workers],
        random,
    )


@FAULTS.register('stop-new-owner')
async def stop_new_owner(cell: Cell, random: Random) -> None:
    """Stop the next owner with SIGTERM soon after it has taken over."""
    previous = await cell.find_owner()
    with anyio.move_on_after(TAKEOVER_TIMEOUT_S):
        while True:
            owner = await cell.find_owner()
            if owner is not None and owner != previous:
                break
            await anyio.sleep(OWNER_POLL_INTERVAL_S)
        await anyio.sleep(random.uniform(*STOP_AFTER_TAKEOVER_S))
    if owner is not None and owner != previous:
        await cell.stop(owner[0])


@FAULTS.register('replace-owner')
async def replace_owner(cell: Cell, random: Random) -> None:
    """Kill, stop or pause the owner, so that another host takes over."""
    owner = await _pick_owner(cell, random)
    kind = random.choice(('kill', 'stop', 'pause'))
    if kind == 'kill':
        await cell.kill(owner)
    if kind == 'stop':
        await cell.stop(owner)
    if kind == 'pause':
        await cell.pause(owner, random.uniform(1, 8))


@FAULTS.register('pause-entry-long')
async def pause_entry_long(cell: Cell, random: Random) -> None:
    """Suspend an entry host's process for up to 8 s."""
    await cell.pause(pick_entry(cell, random), random.uniform(0.3, 8))


@FAULTS.register('kill-worker')
async def kill_worker(cell: Cell, random: Random) -> None:
    """Kill a worker's process; it starts again under its id and address."""
    await cell.workers.kill(pick_worker(cell, random))


@FAULTS.register('kill-workers')
async def kill_workers(cell: Cell, random: Random) -> None:
    """Kill the processes of several workers at the same time."""
    names = random.sample(sorted(cell.worker_proxies), random.randint(2, 4))
    async with anyio.create_task_group() as group:
        for name in names:
            group.start_soon(cell.workers.kill, name)


@FAULTS.register('pause-worker')
async def pause_worker(cell: Cell, random: Random) -> None:
    """Suspend a worker's process for up to 8 s."""
    name = pick_worker(cell, random)
    await cell.workers.pause(name, random.uniform(0.3, 8))
